"""Frees capacity for work that waits too long, by preemption, reservations and backfill."""

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

# Interval between checks of whether a reservation is still worth keeping.
RESERVATION_CHECK_S = 10.0


@dataclass(slots=True, eq=False)
class _Reservation:
    job: Job
    rows: tuple[int, ...]
    ready_at_s: float


class CapacityReclaimer:
    """Reserves VMs for jobs that find too little free capacity.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    lifecycle : TaskLifecycle
        Carries out the state changes of tasks.
    learning : Learning
        Predicts the run times of tasks.

    Notes
    -----
    A job of a more urgent class may preempt tasks of less urgent classes. Any job that waits long
    gets a reservation: VMs on which no other task is started until the job fits, except for tasks
    that are expected to end by then (backfill).
    """

    def __init__(self, state: ShardState, lifecycle: TaskLifecycle, learning: Learning) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._learning = learning
        self._reservations: list[_Reservation] = []
        self._preemptions_left = 0

    def begin_tick(self) -> None:
        """Reset the tick's preemption limit, and release a reservation that is no longer needed.

        At most one reservation is released in each tick.
        """
        self._preemptions_left = self._state.settings.max_preemptions_per_tick
        for reservation in self._reservations:
            if (
                reservation.job.is_final
                or reservation.job.is_cancelled
                or not reservation.job.queued
            ):
                self.release(reservation.job)
                return

    def reclaim_capacity(
        self, lane: Lane, job: Job, need: Amounts, count: int, now_s: float
    ) -> bool:
        """Try to free capacity for a job that found none; return whether VMs were reserved."""
        if job.reserved_rows:
            return False
        waited_s = now_s - job.queued[0].queued_at_s
        settings = self._state.settings
        preempt_after_s = settings.preempt_after_fraction * job.service.start_within_s
        if count == 1 and waited_s >= preempt_after_s and self._preempt(lane, job, need, now_s):
            return True
        if now_s - lane.blocked_since_s >= settings.reserve_after_s:
            return self._reserve(job, need, count, now_s)
        return False

    def next_retry_s(self, lane: Lane, job: Job, now_s: float) -> float:
        """Return the earliest later time at which `reclaim_capacity` may do more for a job."""
        settings = self._state.settings
        queued_at_s = job.queued[0].queued_at_s
        preempt_after_s = settings.preempt_after_fraction * job.service.start_within_s
        retry_times_s = [
            queued_at_s + preempt_after_s,
            lane.blocked_since_s + settings.reserve_after_s,
        ]
        return min(
            (due_s for due_s in retry_times_s if due_s > now_s), default=now_s + RESERVATION_CHECK_S
        )

    def release(self, job: Job) -> None:
        """Release the VMs that are reserved for a job."""
        if not job.reserved_rows:
            return
        for row in job.reserved_rows:
            self._state.table.set_reserved(row, False)
            self._state.freed_rows[row] = None
        job.reserved_rows = ()
        self._reservations = [
            reservation for reservation in self._reservations if reservation.job is not job
        ]

    def find_reserved_row(self, job: Job, need: Amounts) -> int:
        """Return the row of a VM reserved for the job that the need fits on, or `NO_ROW`."""
        for row in job.reserved_rows:
            if self._state.table.is_schedulable[row] and self._state.table.fits(row, need):
                return row
        return NO_ROW

    def find_backfill_row(self, job: Job, need: Amounts, now_s: float) -> int:
        """Return a VM reserved for another job where this job ends in time, or `NO_ROW`."""
        if not self._reservations:
            return NO_ROW
        expected_end_s = now_s + self._learning.run_time_s(job)
        table = self._state.table
        for reservation in self._reservations:
            if reservation.job is job or expected_end_s > reservation.ready_at_s:
                continue
            for row in reservation.rows:
                if table.is_schedulable[row] and table.fits(row, need):
                    return row
        return NO_ROW

    def _add_reservation(
        self, job: Job, rows: tuple[int, ...], ready_at_s: float, now_s: float
    ) -> None:
        for row in rows:
            self._state.table.set_reserved(row, True)
        job.reserved_rows = rows
        self._reservations.append(_Reservation(job, rows, ready_at_s))
        names = ",".join(self._state.workers_by_row[row].name for row in rows[:8])
        self._state.log_decision(
            "vm_held", job=job.job_id, vms=names, ready_in_s=ready_at_s - now_s
        )
        check_s = max(ready_at_s, now_s) + RESERVATION_CHECK_S
        self._state.due.call_at(check_s, partial(self._check_reservation, job, rows))

    def _check_reservation(self, job: Job, rows: tuple[int, ...], now_s: float) -> None:
        if job.reserved_rows != rows:
            return
        table = self._state.table
        if all(table.is_schedulable[row] for row in rows) and not is_gang(job):
            self._state.due.call_at(
                now_s + RESERVATION_CHECK_S, partial(self._check_reservation, job, rows)
            )
            if self._expected_end_s(job, now_s) <= now_s + RESERVATION_CHECK_S:
                return
        self.release(job)

    def _expected_end_s(self, job: Job, now_s: float) -> float:
        workers = [self._state.workers_by_row[row] for row in job.reserved_rows]
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
        victims = self._choose_victims(worker, need, queue_class)
        if not victims or len(victims) > self._preemptions_left:
            return False
        self._preemptions_left -= len(victims)
        self._add_reservation(job, (row,), now_s, now_s)
        for task in victims:
            self._stop_victim(task, job, now_s)
        return True

    def _stop_victim(self, task: Task, job: Job, now_s: float) -> None:
        is_checkpointable_task = task.job.service.is_checkpointable
        kind = TaskCommandKind.CHECKPOINT if is_checkpointable_task else TaskCommandKind.STOP
        self._state.log_decision("task_preempted", task=task.task_id, by=job.job_id, how=kind)
        self._lifecycle.stop(task, StopReason.PREEMPTED, kind, now_s)

    def _choose_victims(self, worker: Worker, need: Amounts, queue_class: int) -> list[Task]:
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
        return table.is_schedulable & ~table.is_reserved

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
        if len(self._reservations) >= self._state.settings.max_reservations:
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
            places += _count_places(drainable[: len(need), row], need)
        if places < count:
            return False
        workers = [self._state.workers_by_row[row] for row in chosen]
        ready_at_s = max(self._ready_at_s(worker, need, now_s) for worker in workers)
        self._add_reservation(job, tuple(chosen), ready_at_s, now_s)
        return True

    def _ready_at_s(self, worker: Worker, need: Amounts | None, now_s: float) -> float:
        """Return when enough tasks of a worker are expected to have ended for `need` to fit.

        Without a need this is the expected end of all its tasks.
        """
        expected_ends = sorted(
            (task.placed_at_s + self._learning.run_time_s(task.job), task.task_id)
            for task in worker.tasks_by_id.values()
        )
        if need is None:
            return max(now_s, expected_ends[-1][0]) if expected_ends else now_s
        free = self._state.table.free[: len(need), worker.row].copy()
        for end_s, task_id in expected_ends:
            if (free >= need).all():
                return now_s
            amounts = worker.tasks_by_id[task_id].amounts
            assert amounts is not None
            free[: len(amounts)] += amounts[: len(free)]
            if (free >= need).all():
                return max(now_s, end_s)
        return now_s


def _count_places(capacity: Amounts, need: Amounts) -> int:
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
