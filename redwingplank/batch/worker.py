"""The mutable state of an owner: workers."""

from collections import deque
from typing import NamedTuple

from redwingplank.batch.entities import Job, Task
from redwingplank.batch.model import NO_AMOUNTS, Incarnation, StepKey, TaskId, WorkerEntry
from redwingplank.batch.runs import PROBATION_S, Run

__all__ = ["PendingCompletion", "Worker"]


CLOCK_TOLERANCE_MS = 500
"""The clock of a process is known to this, as it may be slow and answers take time. The clock of a
process that has restarted begins at another value."""


class PendingCompletion(NamedTuple):
    """A completion to acknowledge once `version` of the job is stored.

    Without a job it is acknowledged immediately.
    """

    number: int
    job: "Job | None"
    version: int


class Worker:
    """A worker with its capacity, its lease and the runs that may exist there."""

    __slots__ = (
        "acknowledged_completion_number",
        "answered_s",
        "assumed_until_ms",
        "avoided_until_s",
        "awaits_whole_report",
        "born_ms",
        "clock_at_s",
        "clock_ms",
        "entry",
        "failures_in_row",
        "filler_percent",
        "free",
        "granted_until_ms",
        "guarded_until_s",
        "handled_completion_number",
        "id",
        "is_broken_off",
        "is_confirmed",
        "is_listed",
        "is_unreachable",
        "last_start_s",
        "paced_s",
        "pending_completions",
        "reserved",
        "restart_count",
        "restarted_s",
        "runs_by_key",
        "silent_s",
        "step_counts",
        "taken_until_ms",
        "unconfirmed_until_s",
    )

    def __init__(self, entry: WorkerEntry, unconfirmed_until_s: float) -> None:
        self.entry = entry
        self.id = entry.worker_id
        self.born_ms = entry.born_ms
        self.is_listed = True
        self.is_confirmed = False
        """Whether a report has listed all that may have run there for earlier owners."""
        self.awaits_whole_report = True
        """Whether no report has listed all completions since the worker last began to answer."""
        self.unconfirmed_until_s = unconfirmed_until_s
        self.restart_count = 0
        """Number of restarts of its process that this owner has seen."""
        self.restarted_s = float("-inf")
        """Time at which the last restart was seen. Polls sent after it fence the process."""
        self.is_unreachable = False
        self.is_broken_off = False
        """Whether it became unreachable as it broke off a poll, which would have told of an end."""
        self.silent_s = 0.0
        """Time at which the worker became unreachable."""
        self.answered_s = 0.0
        self.clock_ms: int | None = None
        """Worker's clock in its last report, received at `clock_at_s`; None before the present
        process has reported to a poll that fences it."""
        self.clock_at_s = 0.0
        self.granted_until_ms = 0
        """Latest end of a lease that this owner has granted, on the worker's clock."""
        self.assumed_until_ms = 0
        """Latest end of a lease that the worker may have had before its first report."""
        self.taken_until_ms = 0
        """Latest end of a lease that the process may have taken from a command to the one before
        it, 0 if there was none. A next owner does not expect it."""
        self.runs_by_key: dict[tuple[TaskId, int], Run] = {}
        self.reserved = NO_AMOUNTS
        self.free = entry.capacity
        """Capacity that no run reserves."""
        self.step_counts: dict[StepKey, int] = {}
        self.handled_completion_number = 0
        self.acknowledged_completion_number = 0
        self.pending_completions: deque[PendingCompletion] = deque()
        self.failures_in_row = 0
        self.avoided_until_s = 0.0
        self.last_start_s = float("-inf")
        self.guarded_until_s = 0.0
        """Time until which a suspect that has just started should stay without other starts."""
        self.filler_percent = 100
        """Speed of the filler tasks on the worker, as a percentage of full speed."""
        self.paced_s = 0.0

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation that the worker is known to have."""
        return Incarnation(self.id, self.entry.address, self.born_ms)

    @property
    def has_restarted(self) -> bool:
        """Whether its process has restarted since this owner knows it.

        The new one takes a lease on the clock of the one before it for the longest one.
        """
        return self.restart_count > 0

    def note_restart(self, born_ms: int, now_s: float) -> None:
        """Forget what the former process has told, and fence it off from the new one."""
        self.born_ms = born_ms
        self.restart_count += 1
        self.restarted_s = now_s
        self.clock_ms = None
        self.granted_until_ms = self.assumed_until_ms = self.taken_until_ms = 0
        self.handled_completion_number = self.acknowledged_completion_number = 0
        self.pending_completions.clear()
        self.failures_in_row = 0
        self.avoided_until_s = 0.0

    @property
    def lease_until_ms(self) -> int:
        """Latest end of any lease that the worker may have, on its clock; 0 before it reports."""
        return max(self.granted_until_ms, self.assumed_until_ms)

    @property
    def is_capacity_known(self) -> bool:
        """Whether the published entry is that of the present process, or of a later one."""
        return self.entry.born_ms >= self.born_ms

    def has_replaced(self, earlier: Incarnation) -> bool:
        """Return whether the worker's incarnation proves that an earlier one has ended."""
        is_same_place = self.id == earlier.worker_id or self.entry.address == earlier.address
        return is_same_place and 0 < earlier.born_ms < self.born_ms

    def update_entry(self, entry: WorkerEntry) -> None:
        """Replace the published entry of the worker and recompute the free capacity."""
        self.entry = entry
        self.free = entry.capacity.minus(self.reserved)

    def record_start(self, task: Task, now_s: float) -> None:
        """Record that a run of a task has been planned or has begun."""
        self.last_start_s = now_s
        if task.is_suspect:
            self.guarded_until_s = now_s + PROBATION_S
        if task.needs_isolation:
            self.avoided_until_s = max(self.avoided_until_s, now_s + PROBATION_S)

    def has_young_run(self, now_s: float) -> bool:
        """Return whether a run on the worker is so young that a crash would make it a suspect."""
        return now_s - self.last_start_s < PROBATION_S

    def add_run(self, run: Run) -> None:
        """Add a run and reserve capacity for it."""
        self.runs_by_key[run.key] = run
        self.reserved = self.reserved.plus(run.reserved)
        self.free = self.free.minus(run.reserved)
        key = run.task_id.step_key
        self.step_counts[key] = self.step_counts.get(key, 0) + 1

    def remove_run(self, run: Run) -> None:
        """Remove a run and release its capacity; a run that is not known is ignored."""
        if self.runs_by_key.pop(run.key, None) is None:
            return
        self.reserved = self.reserved.minus(run.reserved)
        self.free = self.free.plus(run.reserved)
        key = run.task_id.step_key
        left = self.step_counts.get(key, 0) - 1
        if left > 0:
            self.step_counts[key] = left
        else:
            self.step_counts.pop(key, None)

    def acknowledge_stored_completions(self) -> None:
        """Acknowledge the completions whose effects are stored."""
        pending = self.pending_completions
        while pending:
            number, job, version = pending[0]
            if job is not None and job.stored_version < version:
                return
            self.acknowledged_completion_number = number
            pending.popleft()

    def clock_now_ms(self, now_s: float) -> int:
        """Return an estimate of the worker's clock in milliseconds.

        Apart from clock drift, it lags behind by the time that the last report took to arrive.
        """
        assert self.clock_ms is not None
        return self.clock_ms + round((now_s - self.clock_at_s) * 1000)

    def shows_clock(self, clock_ms: int | None, now_s: float) -> bool:
        """Return whether an answer with a clock is one of the process that has reported."""
        if clock_ms is None or self.clock_ms is None:
            return False
        return abs(clock_ms - self.clock_now_ms(now_s)) <= CLOCK_TOLERANCE_MS

    def lease_left_s(self, until_ms: int, now_s: float) -> float:
        """Return the time until an end of a lease on the worker's clock, negative after it."""
        return (until_ms - self.clock_now_ms(now_s)) / 1000

    def is_lease_expired(self, now_s: float, max_clock_drift: float, margin_ms: float) -> bool:
        """Return whether every lease that may have been granted has certainly expired."""
        if self.clock_ms is None:
            return now_s >= self.unconfirmed_until_s
        elapsed_ms = (now_s - self.clock_at_s) * 1000 * (1 - max_clock_drift)
        return self.clock_ms + elapsed_ms > self.lease_until_ms + margin_ms
