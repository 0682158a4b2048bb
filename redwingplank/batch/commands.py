"""What an owner wants done by its runtime."""

from dataclasses import dataclass, field

from redwingplank.batch.entities import Run, Step, Worker

__all__ = ["AskAdvice", "Commands", "PaceRun"]


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask which of some workers may run a step.

    `work_s` is how long the advice service will need.
    """

    step: Step
    workers: tuple[str, ...]
    work_s: float
    valid_s: float


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Let a run work at a share of its speed."""

    run: Run
    percent: int


@dataclass(slots=True)
class Commands:
    """Everything that was decided since the runtime last took it."""

    starts: list[Run] = field(default_factory=list)
    stops: list[Run] = field(default_factory=list)
    paces: list[PaceRun] = field(default_factory=list)
    advice: list[AskAdvice] = field(default_factory=list)
    polls: list[Worker] = field(default_factory=list)
    """Workers whose next report settles an order that was not answered."""
