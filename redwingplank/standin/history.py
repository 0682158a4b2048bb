"""What really happened at the stand-ins, for checks after a run."""

from dataclasses import asdict, dataclass, field
from enum import StrEnum

from redwingplank.core import NO_RESOURCES, Resources

__all__ = ["History", "HistoryEvent", "HistoryEventKind", "event_from_dict", "event_to_dict"]


class HistoryEventKind(StrEnum):
    """Kinds of events at workers and upstreams."""

    WORKER_STARTED = "worker_started"
    TASK_STARTED = "task_started"
    TASK_ENDED = "task_ended"
    REQUEST_STARTED = "request_started"
    REQUEST_ENDED = "request_ended"
    VM_LEAVING = "vm_leaving"


@dataclass(frozen=True, slots=True)
class HistoryEvent:
    """One event.

    Parameters
    ----------
    time_s : float
        The stand-in's clock, in seconds.
    kind : HistoryEventKind
        What happened.
    vm : str
        Where.
    subject : str
        Task id, or the request's id.
    attempt : int
        Of a task.
    amount : Resources
        The worker's capacity, or the task's reservation.
    organisation, key, digest : str
        Of a request: whose it is, its ``Idempotency-Key`` and the digest of its answer.
    detail : str
        How it ended.
    """

    time_s: float
    kind: HistoryEventKind
    vm: str
    subject: str = ""
    attempt: int = 0
    amount: Resources = NO_RESOURCES
    organisation: str = ""
    key: str = ""
    digest: str = ""
    detail: str = ""


@dataclass(slots=True)
class History:
    """Events in the order in which they happened."""

    events: list[HistoryEvent] = field(default_factory=list)

    def add(self, event: HistoryEvent) -> None:
        """Append one event."""
        self.events.append(event)


def event_to_dict(event: HistoryEvent) -> dict:
    """Return an event as a JSON value."""
    return asdict(event)


def event_from_dict(values: dict) -> HistoryEvent:
    """Return the event that `event_to_dict` wrote."""
    amount = values["amount"]
    accelerators = tuple((kind, count) for kind, count in amount["accelerators"])
    resources = Resources(amount["millicores"], amount["memory_mib"], accelerators)
    kind = HistoryEventKind(values["kind"])
    return HistoryEvent(**{**values, "kind": kind, "amount": resources})
