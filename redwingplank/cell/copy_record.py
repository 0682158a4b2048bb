"""Records of a store call and its copies, made when the call has ended."""

import enum
from dataclasses import dataclass

__all__ = ["CallEnd", "CallRecord", "CopyRecord", "CopyResult"]


class CopyResult(enum.Enum):
    """What came back for one copy."""

    ANSWERED = enum.auto()
    REFUSED = enum.auto()
    """The store refused it: certainly without effect."""
    NOT_SENT = enum.auto()
    """There was no connection: certainly without effect."""
    BROKEN = enum.auto()
    """Its connection broke."""
    NO_ANSWER = enum.auto()
    """A time-out expired."""
    UNUSABLE = enum.auto()
    """Its answer does not tell whether it was carried out."""
    DROPPED = enum.auto()
    """Cancelled while under way, because the answer to another copy began."""
    CANCELLED = enum.auto()
    """Cancelled while under way together with the whole call."""
    FAILED = enum.auto()
    """An unexpected error in this program."""


class CallEnd(enum.Enum):
    """What decided the outcome of a call."""

    COPY = enum.auto()
    """What came back for the copy that is marked as deciding."""
    DEADLINE = enum.auto()
    """No copy was answered in time."""
    DROPPED = enum.auto()
    """Copies were dropped for an answer that then broke off or was none."""
    CANCELLED = enum.auto()


@dataclass(frozen=True, slots=True)
class CopyRecord:
    """One copy of a call; times are on the clock of `now_s`.

    The fields from `status` on are those of `CallTrace`, as they were when the copy ended.
    """

    sent_s: float
    ended_s: float
    result: CopyResult
    is_deciding: bool = False
    status: int = 0
    error: str = ""
    local_port: int = 0
    is_kept: bool = False
    is_writing: bool = False
    body_bytes: int = 0


@dataclass(frozen=True, slots=True)
class CallRecord:
    """A call that has ended, with its copies in the order in which they were sent."""

    copies: tuple[CopyRecord, ...]
    end: CallEnd
