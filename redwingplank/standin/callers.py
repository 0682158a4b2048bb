"""What callers were told, for comparison with what really happened."""

from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Any

__all__ = [
    "CallerRecords",
    "JobRecord",
    "Ran",
    "RequestRecord",
    "records_from_dict",
    "records_to_dict",
]


class Ran(StrEnum):
    """Whether the system says that work ran."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request as its caller saw it.

    Parameters
    ----------
    request_id : str
        The id that the system gave the request, empty if the caller never learnt it.
    organisation, key : str
        Whose it is and its ``Idempotency-Key``, empty for none.
    ran : Ran
        YES with a whole answer, otherwise what the error said; UNKNOWN without an answer.
    digest : str
        Digest of the body that the caller got, empty for none.
    answered_request_id : str
        The request id inside the answer.
    is_idempotent : bool
        Whether it may run more than once.
    is_cut : bool
        The answer broke off, or the connection did, though the caller stayed.
    """

    request_id: str
    organisation: str
    key: str = ""
    ran: Ran = Ran.UNKNOWN
    digest: str = ""
    answered_request_id: str = ""
    is_idempotent: bool = True
    is_cut: bool = False


@dataclass(frozen=True, slots=True)
class JobRecord:
    """One job as its caller saw it.

    Parameters
    ----------
    job_id : str
        The job.
    organisation : str
        Whose it is.
    task_count : int
        Its tasks.
    is_accepted : bool
        The system said that it was accepted.
    ran : Ran
        NO when the system said that the job was refused and did not run.
    last_state : str
        Its state when the run was over, empty if the system no longer knew it.
    is_idempotent : bool
        Whether an attempt of a task may be repeated after an unknown outcome.
    cancelled_at_s : float or None
        When the caller learnt that the cancellation is in force, on the stand-ins' clock.
    """

    job_id: str
    organisation: str
    task_count: int = 1
    is_accepted: bool = True
    ran: Ran = Ran.UNKNOWN
    last_state: str = ""
    is_idempotent: bool = True
    cancelled_at_s: float | None = None


@dataclass(frozen=True, slots=True)
class CallerRecords:
    """All that callers were told in one run."""

    requests: tuple[RequestRecord, ...] = ()
    jobs: tuple[JobRecord, ...] = ()


def records_to_dict(records: CallerRecords) -> dict[str, Any]:
    """Return records as a JSON value."""
    return asdict(records)


def records_from_dict(values: dict[str, Any]) -> CallerRecords:
    """Return the records that `records_to_dict` wrote."""
    requests = tuple(
        RequestRecord(**{**each, "ran": Ran(each["ran"])}) for each in values["requests"]
    )
    jobs = tuple(JobRecord(**{**each, "ran": Ran(each["ran"])}) for each in values["jobs"])
    return CallerRecords(requests, jobs)
