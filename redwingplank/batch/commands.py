"""Commands of an owner to its runtime."""

from dataclasses import dataclass, field

from redwingplank.batch.entities import Step
from redwingplank.batch.runs import Run
from redwingplank.batch.worker import Worker

__all__ = ["AskAdvice", "Commands", "PaceRun"]


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask the advice service which of the named workers may run a step.

    `work_s` is the time that the service will work on the call, `valid_s` is how long the tickets
    of its answer are valid.
    """

    step: Step
    workers: tuple[str, ...]
    work_s: float
    valid_s: float


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Set the speed of a run to a percentage of its full speed."""

    run: Run
    percent: int


@dataclass(slots=True)
class Commands:
    """All commands since the runtime last collected them."""

    starts: list[Run] = field(default_factory=list)
    stops: list[Run] = field(default_factory=list)
    paces: list[PaceRun] = field(default_factory=list)
    advice: list[AskAdvice] = field(default_factory=list)
    polls: list[Worker] = field(default_factory=list)
    """Workers whose next report settles whether a run with an unanswered start command exists."""
