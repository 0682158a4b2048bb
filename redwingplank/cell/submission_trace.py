"""What a submission did at the store and at peers, and what decided its outcome."""

import enum
from dataclasses import dataclass

from redwingplank.cell.copy_record import CallEnd, CallRecord, CopyRecord, CopyResult

__all__ = ["DecidingCause", "PeerRecord", "PeerResult", "SubmissionTrace"]


class DecidingCause(enum.Enum):
    """What decided the outcome of a submission; bounded, as it labels a metric."""

    NOTHING_ASKED = enum.auto()
    KEY = enum.auto()
    STORE_AWAY = enum.auto()
    """The store is known to be unreachable, so no call was made."""
    ANSWERED = enum.auto()
    REFUSED = enum.auto()
    NOT_SENT = enum.auto()
    BROKEN = enum.auto()
    NO_ANSWER = enum.auto()
    UNUSABLE = enum.auto()
    DROPPED = enum.auto()
    FAILED = enum.auto()
    CANCELLED = enum.auto()
    DEADLINE = enum.auto()
    PEER = enum.auto()
    EARLIER_ATTEMPT = enum.auto()
    """An earlier attempt to submit the job was accepted, or has an unknown outcome."""
    KNOWN_TO_OWNER = enum.auto()
    """The owner has the job, so that an earlier attempt has stored it."""
    CANCELLED_BEFORE = enum.auto()
    """The store has a cancellation in the place of the job."""


_CAUSES_BY_END = {
    CallEnd.DEADLINE: DecidingCause.DEADLINE,
    CallEnd.DROPPED: DecidingCause.DROPPED,
    CallEnd.CANCELLED: DecidingCause.CANCELLED,
}


class PeerResult(enum.Enum):
    """What came back from a peer, or why it was not asked."""

    ACCEPTED = enum.auto()
    NOT_RUN = enum.auto()
    UNKNOWN = enum.auto()
    UNREACHABLE = enum.auto()
    """No connection to the peer, so it certainly did nothing."""
    NO_ANSWER = enum.auto()
    CANCELLED = enum.auto()
    """This node's own request ended while the peer was asked, by cancellation or a fault."""
    BREAKER_OPEN = enum.auto()
    """Not asked: a node of its failure domain failed a short time ago."""
    NO_TIME_LEFT = enum.auto()
    """Not asked."""


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """A peer that was asked to store a job, or was not; times are on the clock of `now_s`."""

    address: str
    asked_s: float
    ended_s: float
    result: PeerResult
    error: str = ""


class SubmissionTrace:
    """Collects what one submission did.

    Parameters
    ----------
    started_s : float
        Time at which the submission began, on the clock of `now_s`.
    """

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.copies: tuple[CopyRecord, ...] = ()
        self.peers: list[PeerRecord] = []
        self.cause = DecidingCause.NOTHING_ASKED
        self.decided_by = ""
        """The copy or peer that decided, such as ``copy_2``; empty if it was none of them."""

    @property
    def is_plain(self) -> bool:
        """Whether the first copy of the only call was answered, which needs no further words."""
        copies = self.copies
        is_answered = len(copies) == 1 and copies[0].result is CopyResult.ANSWERED
        return is_answered and not self.peers

    def record_call(self, record: CallRecord) -> None:
        """Record the store call, which decides as far as is known."""
        self.copies = record.copies
        self.decide(_CAUSES_BY_END.get(record.end, DecidingCause.FAILED))
        for number, copy in enumerate(record.copies, 1):
            if copy.is_deciding:
                self.decide(DecidingCause[copy.result.name], f"copy_{number}")

    def record_peer(self, record: PeerRecord) -> None:
        """Record what came back from a peer."""
        self.peers.append(record)

    def decide(self, cause: DecidingCause, decided_by: str = "") -> None:
        """Note what decides the outcome, in place of what was noted before."""
        self.cause = cause
        self.decided_by = decided_by

    def decide_by_peer(self) -> None:
        """Note that the answer of the peer that was asked last decides."""
        self.decide(DecidingCause.PEER, f"peer_{len(self.peers)}")
