"""The tasks of a step. Memory is taken by those that run, or of which something is remembered."""

from collections.abc import Collection, Iterator

from redwingplank.batch.bit_sets import iterate_bits
from redwingplank.batch.model import StepKey, TaskId
from redwingplank.batch.runs import Run

__all__ = ["Task", "TaskTable"]


class Task:
    """One task with its history and the runs of it that may exist."""

    __slots__ = (
        "attempt",
        "bad_workers",
        "crashes",
        "failed_attempts",
        "failures",
        "id",
        "is_done",
        "isolation_wait_from_s",
        "last_end_s",
        "last_failed_attempt",
        "not_before_s",
        "proven_crashes",
        "runs",
        "saved",
        "suspicions",
        "unseen_crashes",
    )

    def __init__(self, task_id: TaskId) -> None:
        self.id = task_id
        self.is_done = False
        self.runs: list[Run] = []
        self.attempt = 0
        self.failures = 0
        self.last_failed_attempt = 0
        self.failed_attempts: set[int] = set()
        """Counted failed attempts of a task that may be copied; others fail in their order."""
        self.saved = ""
        self.not_before_s = 0.0
        self.last_end_s = 0.0
        self.bad_workers: set[str] = set()
        self.crashes = 0
        """Number of workers that crashed while they may have run the task."""
        self.proven_crashes = 0
        """Number of workers that crashed while they certainly ran the task."""
        self.unseen_crashes = 0
        """Number of workers that crashed when the task may have ended there, as nobody heard."""
        self.suspicions = 0
        """Number of these crashes that followed a start of the task."""
        self.isolation_wait_from_s: float | None = None
        """Time since when the task waits for a worker without other starts, None if it does not."""

    def is_failure_counted(self, attempt: int, *, may_copy: bool) -> bool:
        """Return whether the failure of an attempt was counted, by this owner or an earlier one."""
        if may_copy:
            return attempt in self.failed_attempts
        return attempt <= self.last_failed_attempt

    def count_failure(self, attempt: int, *, may_copy: bool) -> None:
        """Count the failure of an attempt."""
        self.failures += 1
        self.last_failed_attempt = max(attempt, self.last_failed_attempt)
        if may_copy:
            self.failed_attempts.add(attempt)

    @property
    def is_suspect(self) -> bool:
        """Whether the task may be what crashed a worker, or has just left one unreachable."""
        return self.suspicions > 0 or any(run.is_lost_at_start for run in self.runs)

    @property
    def needs_isolation(self) -> bool:
        """Whether the task has to start where nothing else has just started."""
        return self.suspicions > 1


class TaskTable:
    """The tasks of a step, by their positions.

    A task exists as an object from its first use until it is done and has no runs. A step may have
    many thousands of tasks, and a job many occurrences of it, of which few run at a time.

    Parameters
    ----------
    key : StepKey
        Key of the step.
    count : int
        Number of tasks.
    """

    __slots__ = ("_count", "_first_unused", "_key", "_released_bits", "_used_by_position")

    def __init__(self, key: StepKey, count: int) -> None:
        self._key = key
        self._count = count
        self._used_by_position: dict[int, Task] = {}
        self._released_bits = 0
        """Bit set of the tasks that are done and are no objects now."""
        self._first_unused = 0
        """Position before which every task has been used."""

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[Task]:
        return (self[position] for position in range(self._count))

    def __getitem__(self, position: int) -> Task:
        task = self._used_by_position.get(position)
        if task is not None:
            return task
        if not 0 <= position < self._count:
            raise IndexError(position)
        task = Task(TaskId(*self._key, position))
        task.is_done = bool(self._released_bits >> position & 1)
        self._released_bits &= ~(1 << position)
        self._used_by_position[position] = task
        return task

    def used(self) -> Collection[Task]:
        """Return the tasks that are objects now, in the order of their first use."""
        return self._used_by_position.values()

    def release(self, task: Task) -> None:
        """Keep no more of a task than that it is done, if it is done and has no runs."""
        if task.is_done and not task.runs and task.id.position in self._used_by_position:
            del self._used_by_position[task.id.position]
            self._released_bits |= 1 << task.id.position

    def mark_done(self, bits: int) -> int:
        """Mark tasks of a new table as done; return how many there are."""
        self._released_bits = bits & ((1 << self._count) - 1)
        return self._released_bits.bit_count()

    def done_bits(self) -> int:
        """Return the bit set of the tasks that are done."""
        bits = self._released_bits
        for position, task in self._used_by_position.items():
            if task.is_done:
                bits |= 1 << position
        return bits

    def count_unused(self, left_out: int = 0) -> int:
        """Return the number of tasks that are no objects and not done, but for a bit set."""
        unused = self._count - self._released_bits.bit_count() - len(self._used_by_position)
        if not left_out:
            return unused
        positions = iterate_bits(left_out & ~self._released_bits)
        return unused - sum(position not in self._used_by_position for position in positions)

    def iterate_unused(self, left_out: int = 0) -> Iterator[Task]:
        """Create the objects of tasks that are none and not done, but for a bit set, in order."""
        self._skip_used()
        for position in range(self._first_unused, self._count):
            is_left_out = (self._released_bits | left_out) >> position & 1
            if not is_left_out and position not in self._used_by_position:
                yield self[position]

    def _skip_used(self) -> None:
        while self._first_unused < self._count and self._is_used(self._first_unused):
            self._first_unused += 1

    def _is_used(self, position: int) -> bool:
        return position in self._used_by_position or bool(self._released_bits >> position & 1)
