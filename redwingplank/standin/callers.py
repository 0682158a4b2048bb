"""Records of the answers that callers received, for comparison with the history."""

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
    """Whether work ran, according to the system's answer."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request and its answer, as seen by the caller.

    Parameters
    ----------
    request_id : str
        Id that the system gave the request; empty if the caller never received it.
    organisation, key : str
        Organisation of the request, and its ``Idempotency-Key`` or an empty string.
    ran : Ran
        YES for a complete answer, otherwise as stated in the error; UNKNOWN without an answer.
    digest : str
        Digest of the body that the caller received; empty without a body.
    answered_request_id : str
        Request id in the answer.
    is_idempotent : bool
        Whether the request may run more than once.
    is_cut : bool
        Whether the answer or the connection broke off although the caller had not left.
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
    """One job and its state, as seen by the caller.

    Parameters
    ----------
    job_id : str
        Id of the job.
    organisation : str
        Organisation of the job.
    task_count : int
        Number of tasks.
    is_accepted : bool
        Whether the system answered that the job was accepted.
    ran : Ran
        NO if the system answered that the job was refused and did not run.
    last_state : str
        State of the job at the end of the run; empty if the system no longer knew the job.
    is_idempotent : bool
        Whether an attempt of a task may be repeated after an unknown outcome.
    cancelled_at_s : float or None
        Time on the stand-ins' clock at which the caller received the confirmation that the
        cancellation is in force.
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
    """All answers that callers received in one run."""

    requests: tuple[RequestRecord, ...] = ()
    jobs: tuple[JobRecord, ...] = ()


def records_to_dict(records: CallerRecords) -> dict[str, Any]:
    """Return records as a JSON value."""
    return asdict(records)


def records_from_dict(values: dict[str, Any]) -> CallerRecords:
    """Return the records that `records_to_dict` converted."""
    requests = tuple(
        RequestRecord(**{**each, "ran": Ran(each["ran"])}) for each in values["requests"]
    )
    jobs = tuple(JobRecord(**{**each, "ran": Ran(each["ran"])}) for each in values["jobs"])
    return CallerRecords(requests, jobs)
