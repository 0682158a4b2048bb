"""What a scripted service does with each request: how far it reads, its effect, its answer."""

import enum
from dataclasses import dataclass
from typing import TypeAlias

__all__ = [
    "Answer",
    "AnswerPlan",
    "Cut",
    "EffectAfter",
    "Ending",
    "Exchange",
    "NoEffect",
    "ReadAll",
    "ReadPart",
    "Step",
    "StopListening",
]


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and body of an answer, and where it redirects to unless that is empty."""

    status: int
    body: bytes = b"{}"
    location: str = ""


class Cut(enum.Enum):
    """Where an answer breaks off."""

    NONE = enum.auto()
    IN_HEAD = enum.auto()
    IN_BODY = enum.auto()


class Ending(enum.Enum):
    """What becomes of the connection after an exchange."""

    KEEP = enum.auto()
    CLOSE = enum.auto()
    """Closed as usual; the kernel resets it if sent bytes were never read."""
    RESET = enum.auto()
    SILENT = enum.auto()
    """Left open, without a further byte read or sent."""


@dataclass(frozen=True, slots=True)
class ReadAll:
    """Read the whole request, with a pause of `pause_s` seconds after `pause_at` bytes."""

    pause_at: int = 0
    pause_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ReadPart:
    """Read `count` bytes of the request and leave the others in the buffers of the kernel."""

    count: int


@dataclass(frozen=True, slots=True)
class NoEffect:
    """The request is not carried out."""


@dataclass(frozen=True, slots=True)
class EffectAfter:
    """The request is carried out `delay_s` seconds after it was read, whatever its caller does."""

    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AnswerPlan:
    """How a request is answered.

    Parameters
    ----------
    answer : Answer or None
        The answer; None for that of the service, which is known once the request is carried out.
    delay_s : float
        Seconds before the answer.
    pieces, interval_s : int, float
        Number of parts in which it is sent, and the seconds between them.
    cut : Cut
        Where it breaks off.
    """

    answer: Answer | None = None
    delay_s: float = 0.0
    pieces: int = 1
    interval_s: float = 0.0
    cut: Cut = Cut.NONE


@dataclass(frozen=True, slots=True)
class Exchange:
    """What is done with one request; one that is not read whole has no effect and no answer."""

    reading: ReadAll | ReadPart = ReadAll()
    effect: NoEffect | EffectAfter = EffectAfter()
    answer: AnswerPlan | None = AnswerPlan()
    ending: Ending = Ending.KEEP

    def __post_init__(self) -> None:
        if isinstance(self.reading, ReadPart) and self.ending is Ending.KEEP:
            raise ValueError("the rest of the request would be read as the next one; end otherwise")


@dataclass(frozen=True, slots=True)
class StopListening:
    """Further connects are refused; open connections remain."""


Step: TypeAlias = Exchange | StopListening
