"""Makes room for work that waits too long: preemption, reservations and backfill."""

from dataclasses import dataclass
from functools import partial

import numpy as np
from numpy.typing import NDArray

from redwingplank.platform import TaskCommandKind
from redwingplank.scheduling.entities import Job, Phase, StopReason, Task, Worker
from redwingplank.scheduling.gangs import is_gang
from redwingplank.scheduling.learning import Learning
from redwingplank.scheduling.lifecycle import TaskLifecycle
from redwingplank.scheduling.placer import NO_ROW
from redwingplank.scheduling.queue import Lane
from redwingplank.scheduling.state import ShardState
from redwingplank.scheduling.vm_table import Amounts

__all__ = ["CapacityReclaimer"]

HOLD_CHECK_S = 10.0


@dataclass(slots=True, eq=False)
class _Hold:
    job: Job
    rows: tuple[int, ...]
    ready_at_s: float


class CapacityReclaimer:
    """Keeps VMs for jobs that find no room.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    lifecycle : TaskLifecycle
        Changes tasks.
    learning : Learning
        Predicts run times.

    Notes
    -----
    A job of a more urgent class may stop tasks of less urgent ones. Any job that waits long gets
    a reservation: VMs that take nothing else until it fits, but for tasks that are expected to
    have ended by then.
    """

    def __init__(self, state: ShardState, lifecycle: TaskLifecycle, learning: Learning) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._learning = learning
        self._holds: list[_Hold] = []
        self._preemptions_left = 0

    def begin_tick(self) -> None:
        """Allow the preemptions of one tick, and drop holds whose job needs them no more."""
        self._preemptions_left = self._state.settings.max_preemptions_per_tick
        for hold in self._holds:
            if hold.job.is_final or hold.job.is_cancelled or not hold.job.queued:
                self.release(hold.job)
                return

    def make_room(self, lane: Lane, job: Job, need: Amounts, count: int, now_s: float) -> bool:
        """Try to make room for a job that found none; return whether VMs are kept for it."""
        if job.held_rows:
            return False
        waited_s = now_s - job.queued[0].queued_at_s
        settings = self._state.settings
        patience_s = settings.preempt_after_fraction * job.service.start_within_s
        if count == 1 and waited_s >= patience_s and self._preempt(lane, job, need, now_s):
            return True
        if now_s - lane.blocked_since_s >= settings.reserve_after_s:
            return self._reserve(job, need, count, now_s)
        return False

    def next_try_s(self, lane: Lane, job: Job, now_s: float) -> float:
        """Return when `make_room` may do more for a job than now, or infinity."""
        settings = self._state.settings
        queued_at_s = job.queued[0].queued_at_s
        patience_s = settings.preempt_after_fraction * job.service.start_within_s
        tries = [queued_at_s + patience_s, lane.blocked_since_s + settings.reserve_after_s]
        return min((due_s for due_s in tries if due_s > now_s), default=now_s + HOLD_CHECK_S)

    def release(self, job: Job) -> None:
        """End a job's holds."""
        if not job.held_rows:
            return
        for row in job.held_rows:
            self._state.table.set_held(row, False)
            self._state.freed_rows[row] = None
        job.held_rows = ()
        self._holds = [hold for hold in self._holds if hold.job is not job]

    def find_held(self, job: Job, need: Amounts) -> int:
        """Return a VM that is kept for the job and has room, or `NO_ROW`."""
        for row in job.held_rows:
            if self._state.table.is_schedulable[row] and self._state.table.fits(row, need):
                return row
        return NO_ROW

    def find_backfill(self, job: Job, need: Amounts, now_s: float) -> int:
        """Return a VM kept for another job where this one ends in time, or `NO_ROW`."""
        if not self._holds:
            return NO_ROW
        ends_at_s = now_s + self._learning.run_time_s(job)
        table = self._state.table
        for hold in self._holds:
            if hold.job is job or ends_at_s > hold.ready_at_s:
                continue
            for row in hold.rows:
                if table.is_schedulable[row] and table.fits(row, need):
                    return row
        return NO_ROW

    def _hold(self, job: Job, rows: tuple[int, ...], ready_at_s: float, now_s: float) -> None:
        for row in rows:
            self._state.table.set_held(row, True)
        job.held_rows = rows
        self._holds.append(_Hold(job, rows, ready_at_s))
        names = ",".join(self._state.workers_by_row[row].name for row in rows[:8])
        self._state.log_decision(
            "vm_held", job=job.job_id, vms=names, ready_in_s=ready_at_s - now_s
        )
        check_s = max(ready_at_s, now_s) + HOLD_CHECK_S
        self._state.due.call_at(check_s, partial(self._expire, job, rows))

    def _expire(self, job: Job, rows: tuple[int, ...], now_s: float) -> None:
        if job.held_rows != rows:
            return
        table = self._state.table
        if all(table.is_schedulable[row] for row in rows) and not is_gang(job):
            self._state.due.call_at(now_s + HOLD_CHECK_S, partial(self._expire, job, rows))
            if self._expected_end_s(job, now_s) <= now_s + HOLD_CHECK_S:
                return
        self.release(job)

    def _expected_end_s(self, job: Job, now_s: float) -> float:
        workers = [self._state.workers_by_row[row] for row in job.held_rows]
        return max((self._ready_at_s(worker, None, now_s) for worker in workers), default=now_s)

    def _preempt(self, lane: Lane, job: Job, need: Amounts, now_s: float) -> bool:
        table = self._state.table
        queue_class = int(job.service.deadline_class)
        if self._preemptions_left <= 0 or queue_class + 1 >= len(table.preemptible):
            return False
        possible = table.free + sum(table.preemptible[queue_class + 1 :])
        row = self._least_deficit(need, possible, self._usable_rows())
        if row == NO_ROW:
            return False
        worker = self._state.workers_by_row[row]
        victims = self._victims(worker, need, queue_class)
        if not victims or len(victims) > self._preemptions_left:
            return False
        self._preemptions_left -= len(victims)
        self._hold(job, (row,), now_s, now_s)
        for task in victims:
            self._stop_victim(task, job, now_s)
        return True

    def _stop_victim(self, task: Task, job: Job, now_s: float) -> None:
        keeps = task.job.service.is_checkpointable
        kind = TaskCommandKind.CHECKPOINT if keeps else TaskCommandKind.STOP
        self._state.log_decision("task_preempted", task=task.task_id, by=job.job_id, how=kind)
        self._lifecycle.stop(task, StopReason.PREEMPTED, kind, now_s)

    def _victims(self, worker: Worker, need: Amounts, queue_class: int) -> list[Task]:
        candidates = [
            task
            for task in worker.tasks_by_id.values()
            if task.is_preemptible
            and task.stop_reason is None
            and task.phase is Phase.RUNNING
            and task.job.service.deadline_class > queue_class
        ]
        candidates.sort(key=_preemption_rank)
        missing = need - self._state.table.free[: len(need), worker.row]
        chosen: list[Task] = []
        for task in candidates:
            if (missing <= 0).all():
                break
            assert task.amounts is not None
            amounts = np.zeros_like(missing)
            amounts[: len(task.amounts)] = task.amounts[: len(amounts)]
            if (amounts[missing > 0] > 0).any():
                chosen.append(task)
                missing = missing - amounts
        return chosen if (missing <= 0).all() else []

    def _usable_rows(self) -> NDArray[np.bool_]:
        table = self._state.table
        return table.is_schedulable & ~table.is_held

    def _least_deficit(self, need: Amounts, possible: Amounts, usable: NDArray[np.bool_]) -> int:
        order = self._by_deficit(need, possible, usable)
        return int(order[0]) if len(order) else NO_ROW

    def _by_deficit(
        self, need: Amounts, possible: Amounts, usable: NDArray[np.bool_]
    ) -> NDArray[np.int64]:
        table = self._state.table
        width = len(need)
        fits = usable & (possible[:width] >= need[:, None]).all(axis=0)
        rows = np.flatnonzero(fits)
        deficit = np.maximum(need[:, None] - table.free[:width, rows], 0)
        score = (deficit * table.inverse[:width, rows]).sum(axis=0)
        return rows[np.argsort(score, kind="stable")]

    def _reserve(self, job: Job, need: Amounts, count: int, now_s: float) -> bool:
        if len(self._holds) >= self._state.settings.max_reservations:
            return False
        table = self._state.table
        drainable = table.capacity - table.standing
        rows = self._by_deficit(need, drainable, self._usable_rows())
        chosen: list[int] = []
        places = 0
        for row in rows.tolist():
            if places >= count:
                break
            chosen.append(row)
            places += _places(drainable[: len(need), row], need)
        if places < count:
            return False
        workers = [self._state.workers_by_row[row] for row in chosen]
        ready_at_s = max(self._ready_at_s(worker, need, now_s) for worker in workers)
        self._hold(job, tuple(chosen), ready_at_s, now_s)
        return True

    def _ready_at_s(self, worker: Worker, need: Amounts | None, now_s: float) -> float:
        """Return when enough tasks of a worker are expected to have ended."""
        ends = sorted(
            (task.placed_at_s + self._learning.run_time_s(task.job), task.task_id)
            for task in worker.tasks_by_id.values()
        )
        if need is None:
            return max(now_s, ends[-1][0]) if ends else now_s
        free = self._state.table.free[: len(need), worker.row].copy()
        for end_s, task_id in ends:
            if (free >= need).all():
                return now_s
            amounts = worker.tasks_by_id[task_id].amounts
            assert amounts is not None
            free[: len(amounts)] += amounts[: len(free)]
            if (free >= need).all():
                return max(now_s, end_s)
        return now_s


def _places(capacity: Amounts, need: Amounts) -> int:
    wanted = need > 0
    return int((capacity[wanted] // need[wanted]).min()) if wanted.any() else 1 << 31


def _preemption_rank(task: Task) -> tuple[int, int, bool, float, str]:
    service = task.job.service
    return (
        -int(service.deadline_class),
        service.priority,
        not service.is_checkpointable,
        -task.placed_at_s,
        task.task_id,
    )
