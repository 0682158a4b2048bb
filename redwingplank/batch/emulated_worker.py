"""An in-memory worker that follows the protocol of real workers."""

from dataclasses import dataclass, field

from redwingplank.batch.model import (
    Amounts,
    CompletionKind,
    RunCompletion,
    StepSpec,
    TaskId,
    WorkerEntry,
)

__all__ = ["EmulatedRun", "EmulatedWorker", "Fault", "StartOrder", "make_restarted_entry"]

CHECKPOINT_PERIOD_S = 0.5
"""Work after which a run that saves its progress writes a checkpoint."""


@dataclass(frozen=True)
class StartOrder:
    """What a start command tells a worker."""

    task: TaskId
    attempt: int
    payload: str
    spec: StepSpec
    saved: str
    lease_ms: int
    token: int
    epoch: int
    """First token of the owner's epoch."""


@dataclass
class EmulatedRun:
    """A run on an emulated worker.

    `work_s` is the run time of the whole task and `done_s` the part of it that is done, both at
    slowness 1 and full pace.
    """

    task: TaskId
    attempt: int
    spec: StepSpec
    work_s: float
    done_s: float = 0.0
    stopping_at_s: float | None = None
    pace: float = 1.0
    started_s: float = 0.0
    saved: str = ""
    """Last checkpoint."""
    is_late: bool = False
    """Whether the worker carried out the start after its time-out."""
    is_overdue: bool = False
    """Whether it was reported that the run should have ended."""

    def advance(self, work_s: float) -> bool:
        """Add work; return whether a checkpoint was written."""
        count = self.done_s // CHECKPOINT_PERIOD_S
        self.done_s += work_s
        is_due = self.spec.saves and self.done_s // CHECKPOINT_PERIOD_S > count
        if is_due:
            self.save()
        return is_due

    def save(self) -> None:
        """Write a checkpoint, which names the task and the work that is done."""
        self.saved = f"{self.task}@{self.done_s:.3f}"

    def resume(self, saved: str) -> None:
        """Go on from a checkpoint, an empty text for none."""
        self.saved = saved
        self.done_s = float(saved.rpartition("@")[2] or 0.0)


class Fault:
    """Names of the faults of an emulated worker.

    CUT: no start, stop or poll reaches it. HANG: runs make no progress. FAIL_ALL: all runs fail.
    SLOW: runs take longer. REFUSE: it refuses all starts.
    """

    CUT = "cut"
    HANG = "hang"
    FAIL_ALL = "fail_all"
    SLOW = "slow"
    REFUSE = "refuse"


@dataclass
class EmulatedWorker:
    """An emulated worker process.

    Parameters
    ----------
    entry : WorkerEntry
        Entry that the worker publishes.
    slowness : float
        Factor on all run times.
    faults : set of str
        Present faults, names from `Fault`.
    """

    entry: WorkerEntry
    slowness: float = 1.0
    faults: set[str] = field(default_factory=set)
    is_down: bool = False
    """Whether the process has ended; nothing reaches it and it is not listed."""
    is_listed: bool = True
    """Whether the platform lists the process, which it may not do while it cannot be reached."""
    clock_offset_s: float = 0.0
    clock_rate: float = 1.0
    """Seconds of the worker's clock in a second; not below 1 less `max_clock_drift`."""
    is_reached: bool = False
    """Whether the process has carried out a call that was not late."""
    token: int = 0
    lease_until_s: float = 0.0
    """End of the lease on the worker's clock."""
    runs: dict[tuple[TaskId, int], EmulatedRun] = field(default_factory=dict)
    blocked: dict[TaskId, int] = field(default_factory=dict)
    """Highest attempt of each task that ended or was stopped here.

    Neither this attempt nor an earlier one may start again.
    """
    former_token: int = 0
    """Highest token that any earlier process has received."""
    former_blocked: dict[TaskId, int] = field(default_factory=dict)
    """Highest attempt of each task that ended or was stopped in an earlier process."""
    ends: list[RunCompletion] = field(default_factory=list)
    end_count: int = 0
    list_limit: int = 500
    """Largest number of completions in one report; further ones follow once these are
    acknowledged."""
    reported_count: int = 0
    """Number of the last completion that a poll has reported."""
    lapsed_count: int = 0
    """Number of the last completion before the lease last expired."""
    ended_done: set[TaskId] = field(default_factory=set)
    """All tasks that ever completed successfully on this worker; it survives crashes."""

    def clock_s(self, now_s: float) -> float:
        """Return the time on the worker's clock."""
        return self.clock_offset_s + self.clock_rate * now_s

    def was_refused_before(self, order: StartOrder) -> bool:
        """Return whether an earlier process would have refused a start for good."""
        is_fenced = order.token < self.former_token
        return is_fenced or order.attempt <= self.former_blocked.get(order.task, 0)

    def take_lease(self, until_ms: int, now_s: float, longest_s: float) -> None:
        """Take a lease until a time of the worker's clock, shortened to the longest one."""
        until_s = min(until_ms / 1000, self.clock_s(now_s) + longest_s)
        self.lease_until_s = max(self.lease_until_s, until_s)

    @property
    def used(self) -> Amounts:
        """Amounts that all runs reserve, those being stopped included."""
        total = Amounts()
        for run in self.runs.values():
            total = total.plus(run.spec.reserved)
        return total

    def crash(self, born_ms: int) -> None:
        """Restart the process with a new incarnation; all runs and reported state are lost."""
        self.lose_memory()
        self.entry = make_restarted_entry(self.entry, born_ms)

    def lose_memory(self) -> None:
        """Forget all runs and all that was reported, as the end of the process does."""
        self.former_token = max(self.former_token, self.token)
        for task, attempt in self.blocked.items():
            self.former_blocked[task] = max(attempt, self.former_blocked.get(task, 0))
        self.runs.clear()
        self.blocked.clear()
        self.ends.clear()
        self.end_count = self.reported_count = self.lapsed_count = 0
        self.is_reached = False
        self.token = 0
        self.lease_until_s = 0.0

    def unsettled_tasks(self) -> list[TaskId]:
        """Return the tasks that run, or whose end no poll has reported yet."""
        unreported = [end.task for end in self.ends if end.number > self.reported_count]
        return [run.task for run in self.runs.values()] + unreported

    def find_done(self, task: TaskId) -> RunCompletion | None:
        """Return the listed successful completion of a task, if the lease has lasted since."""
        for end in self.ends:
            if end.task == task and end.kind is CompletionKind.DONE:
                return end if end.number > self.lapsed_count else None
        return None

    @property
    def is_reachable(self) -> bool:
        """Whether commands and polls reach the process."""
        return not self.is_down and Fault.CUT not in self.faults

    def end(self, run: EmulatedRun, kind: CompletionKind) -> None:
        """End a run and add its completion to those that are reported."""
        del self.runs[(run.task, run.attempt)]
        self.end_count += 1
        self.blocked[run.task] = max(self.blocked.get(run.task, 0), run.attempt)
        if kind is CompletionKind.DONE:
            self.ended_done.add(run.task)
        self.ends.append(RunCompletion(self.end_count, run.task, run.attempt, kind, run.saved))


def make_restarted_entry(entry: WorkerEntry, born_ms: int) -> WorkerEntry:
    """Return the entry that a worker publishes after a restart."""
    values = {name: getattr(entry, name) for name in entry.__dataclass_fields__}
    values["born_ms"] = born_ms
    return WorkerEntry(**values)
