"""History of the events at the stand-ins, for checks after a run."""

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
    """One event at a worker or an upstream.

    Parameters
    ----------
    time_s : float
        Time of the event on the stand-in's clock, in seconds.
    kind : HistoryEventKind
        Kind of the event.
    vm : str
        Name of the VM.
    subject : str
        Id of the task or request.
    attempt : int
        Number of the task's attempt; 0 for other events.
    amount : Resources
        Capacity of the worker, or reservation of the task.
    organisation, key, digest : str
        For a request: its organisation, its ``Idempotency-Key`` and the digest of its answer.
    detail : str
        How the task or request ended.
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
    """Return the event that `event_to_dict` converted."""
    amount = values["amount"]
    accelerators = tuple((kind, count) for kind, count in amount["accelerators"])
    resources = Resources(amount["millicores"], amount["memory_mib"], accelerators)
    kind = HistoryEventKind(values["kind"])
    return HistoryEvent(**{**values, "kind": kind, "amount": resources})
