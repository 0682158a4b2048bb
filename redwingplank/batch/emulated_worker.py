"""A worker in memory that keeps the rules of a real one."""

from dataclasses import dataclass, field

from redwingplank.batch.model import (
    Amounts,
    CompletionKind,
    RunCompletion,
    StepSpec,
    TaskId,
    WorkerEntry,
)

__all__ = ["EmulatedRun", "EmulatedWorker", "Fault", "make_restarted_entry"]


@dataclass
class EmulatedRun:
    """A task at work."""

    task: TaskId
    attempt: int
    spec: StepSpec
    work_s: float
    done_s: float = 0.0
    stopping_at_s: float | None = None
    pace: float = 1.0


class Fault:
    """Names of what can be wrong with a worker."""

    CUT = "cut"
    HANG = "hang"
    FAIL_ALL = "fail_all"
    SLOW = "slow"


@dataclass
class EmulatedWorker:
    """A worker process.

    Parameters
    ----------
    entry : WorkerEntry
        What it publishes.
    slowness : float
        Factor on all run times.
    """

    entry: WorkerEntry
    slowness: float = 1.0
    faults: set[str] = field(default_factory=set)
    token: int = 0
    lease_until_s: float = 0.0
    runs: dict[tuple[TaskId, int], EmulatedRun] = field(default_factory=dict)
    blocked: dict[TaskId, int] = field(default_factory=dict)
    ends: list[RunCompletion] = field(default_factory=list)
    end_count: int = 0
    ended_done: set[TaskId] = field(default_factory=set)
    """Every task that ever ended as done here; survives crashes."""

    @property
    def used(self) -> Amounts:
        """What runs reserve, those being stopped included."""
        total = Amounts()
        for run in self.runs.values():
            total = total.plus(run.spec.reserved)
        return total

    def crash(self, born_ms: int) -> None:
        """Lose everything and begin anew."""
        self.runs.clear()
        self.blocked.clear()
        self.ends.clear()
        self.end_count = 0
        self.token = 0
        self.lease_until_s = 0.0
        self.entry = make_restarted_entry(self.entry, born_ms)

    def end(self, run: EmulatedRun, kind: CompletionKind) -> None:
        """End a run and list it."""
        del self.runs[(run.task, run.attempt)]
        self.end_count += 1
        self.blocked[run.task] = max(self.blocked.get(run.task, 0), run.attempt)
        if kind is CompletionKind.DONE:
            self.ended_done.add(run.task)
        saved = "saved" if run.spec.saves and run.done_s > 0.5 else ""
        self.ends.append(RunCompletion(self.end_count, run.task, run.attempt, kind, saved))


def make_restarted_entry(entry: WorkerEntry, born_ms: int) -> WorkerEntry:
    """Return what a worker publishes in its next life."""
    values = {name: getattr(entry, name) for name in entry.__dataclass_fields__}
    values["born_ms"] = born_ms
    return WorkerEntry(**values)
