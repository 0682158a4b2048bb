"""Places waiting tasks on workers."""

from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from redwingplank.config import Spread
from redwingplank.scheduling.blocked_lanes import BlockedLanes
from redwingplank.scheduling.capacity_reclaimer import CapacityReclaimer
from redwingplank.scheduling.entities import Job, Phase, Task
from redwingplank.scheduling.gangs import count_places, is_gang
from redwingplank.scheduling.learning import Learning
from redwingplank.scheduling.lifecycle import TaskLifecycle
from redwingplank.scheduling.placer import NO_CHOICE, NO_ROW, Choice
from redwingplank.scheduling.queue import Lane
from redwingplank.scheduling.state import ShardState
from redwingplank.scheduling.vm_table import Amounts

__all__ = ["Starter"]

# The mean rate of starts is updated once per window, with this weight of the latest window.
_RATE_WINDOW_S = 1.0
_RATE_WEIGHT = 0.2


@dataclass(frozen=True, slots=True)
class _Result:
    """Number of tasks placed, and of searches that found no VM with enough free capacity."""

    starts: int
    misses: int


class Starter:
    """Places waiting tasks, in the order of the queue, each on the worker that suits it best.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    lifecycle : TaskLifecycle
        Carries out the state changes of tasks.
    learning : Learning
        Predicts the resources that tasks actually need.
    """

    def __init__(self, state: ShardState, lifecycle: TaskLifecycle, learning: Learning) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._learning = learning
        self._blocked_lanes = BlockedLanes(state)
        self._reclaimer = CapacityReclaimer(state, lifecycle, learning)
        self._rate_window_start_s = 0.0
        self._starts = 0

    @property
    def blocked_lanes(self) -> BlockedLanes:
        """Lanes that wait for free capacity, a grant or the lease."""
        return self._blocked_lanes

    def run(self, now_s: float) -> None:
        """Place tasks until nothing more fits or a limit of the tick is reached."""
        state = self._state
        self._blocked_lanes.release_fitting()
        if not state.may_start(now_s, is_volatile=True):
            return
        self._reclaimer.begin_tick()
        self._update_start_rate(now_s)
        misses = starts = 0
        max_starts = self._compute_max_starts()
        while starts < max_starts:
            lane = state.queue.top()
            if lane is None or misses >= state.settings.max_misses_per_tick:
                break
            job = lane.head()
            if job is None:
                continue
            if not state.may_start(now_s, job.is_volatile):
                self._blocked_lanes.block_for_mode(lane)
                continue
            result = self._place_job(lane, job, max_starts - starts, now_s)
            starts += result.starts
            misses += result.misses
        self._starts += starts

    def _compute_max_starts(self) -> int:
        """Return the limit on starts, lowered after many completions to keep the tick short."""
        max_starts = self._state.settings.max_starts_per_tick
        completion_count, self._state.completions_in_tick = self._state.completions_in_tick, 0
        return max(max_starts // 4, max_starts - completion_count // 2)

    def _update_start_rate(self, now_s: float) -> None:
        """Update the mean rate of starts, from which waiting times are predicted."""
        passed_s = now_s - self._rate_window_start_s
        if passed_s < _RATE_WINDOW_S:
            return
        rate = self._starts / passed_s
        self._state.starts_per_s += _RATE_WEIGHT * (rate - self._state.starts_per_s)
        self._rate_window_start_s, self._starts = now_s, 0

    def _place_job(self, lane: Lane, job: Job, max_starts: int, now_s: float) -> _Result:
        """Place tasks of one job for as long as its organisation stays first in order."""
        state = self._state
        self._lifecycle.refresh(job)
        need = self._need(job)
        if is_gang(job):
            result = self._place_gang(lane, job, need, now_s)
        else:
            result = self._place_tasks(lane, job, need, max_starts, now_s)
        if result.starts:
            state.shares.update(lane.usage)
            state.queue.reorder(lane.usage)
        return result

    def _place_tasks(
        self, lane: Lane, job: Job, need: Amounts, max_starts: int, now_s: float
    ) -> _Result:
        state = self._state
        next_share = state.queue.next_share(lane.queue_class)
        starts = 0
        while starts < max_starts and lane.head() is job:
            if starts and lane.usage.share > next_share:
                break
            if not state.shares.may_start(lane.usage, need):
                self._blocked_lanes.block_for_quota(lane, need, 1, now_s)
                break
            choice = self._choose(job, need, now_s)
            if choice.row == NO_ROW:
                is_searched = bool(job.queued[0].failure_workers)
                is_searched |= not self._blocked_lanes.is_full(need)
                self._block_for_capacity(lane, job, need, 1, now_s)
                return _Result(starts, int(is_searched))
            if job.reserved_rows:
                self._reclaimer.release(job)
            lane.blocked_since_s = -1.0
            self._place(job.queued.popleft(), choice, need, now_s)
            state.shares.update(lane.usage)
            starts += 1
        return _Result(starts, 0)

    def _block_for_capacity(
        self, lane: Lane, job: Job, need: Amounts, count: int, now_s: float
    ) -> None:
        if lane.blocked_since_s < 0:
            lane.blocked_since_s = now_s
        self._reclaimer.reclaim_capacity(lane, job, need, count, now_s)
        self._blocked_lanes.block_for_capacity(lane, need)
        self._blocked_lanes.retry_at(lane, self._reclaimer.next_retry_s(lane, job, now_s))

    def _place_gang(self, lane: Lane, job: Job, need: Amounts, now_s: float) -> _Result:
        state = self._state
        members = [task for task in job.queued if task.phase is Phase.QUEUED]
        count = len(members)
        if not state.shares.may_start(lane.usage, need, count):
            self._blocked_lanes.block_for_quota(lane, need, count, now_s)
            return _Result(0, 0)
        if count_places(state.table, need, job.reserved_rows) < count:
            self._block_for_capacity(lane, job, need, count, now_s)
            return _Result(0, 1)
        self._reclaimer.release(job)
        job.queued.clear()
        for avoids_failed in (True, False):
            if self._place_members(members, need, avoids_failed, now_s):
                lane.blocked_since_s = -1.0
                return _Result(count, 0)
        job.queued.extend(members)
        self._block_for_capacity(lane, job, need, count, now_s)
        return _Result(0, 1)

    def _place_members(
        self, members: list[Task], need: Amounts, avoids_failed: bool, now_s: float
    ) -> bool:
        """Place all tasks of a gang and return True, or place none of them."""
        placed: list[Task] = []
        for task in members:
            choice = self._choose_schedulable(task, need, avoids_failed)
            if choice.row == NO_ROW:
                for other in placed:
                    self._lifecycle.undo_placement(other)
                return False
            self._place(task, choice, need, now_s)
            placed.append(task)
        return True

    def _need(self, job: Job) -> Amounts:
        declared = self._lifecycle.declared(job)
        return self._learning.find_reservation(job.spec.organisation, job.spec.service, declared)

    def _choose(self, job: Job, need: Amounts, now_s: float) -> Choice:
        if job.reserved_rows:
            row = self._reclaimer.find_reserved_row(job, need)
            if row != NO_ROW:
                return Choice(row, len(job.reserved_rows), "reserved_vm")
        if job.queued[0].failure_workers or not self._blocked_lanes.is_full(need):
            choice = self._choose_schedulable(job.queued[0], need)
            if choice.row != NO_ROW:
                return choice
        row = self._reclaimer.find_backfill_row(job, need, now_s)
        return NO_CHOICE if row == NO_ROW else Choice(row, 1, "backfill")

    def _choose_schedulable(self, task: Task, need: Amounts, avoids_failed: bool = True) -> Choice:
        job = task.job
        avoided = self._failed_rows(task) if avoids_failed else ()
        return self._state.placer.choose(need, job.service.policy, avoided, self._rack_counts(job))

    def _failed_rows(self, task: Task) -> tuple[int, ...]:
        if not task.failure_workers:
            return ()
        workers = map(self._state.workers_by_name.get, task.failure_workers)
        return tuple(worker.row for worker in workers if worker is not None)

    def _rack_counts(self, job: Job) -> NDArray[np.int64] | None:
        if job.service.spread is Spread.NONE or not any(job.used_by_rack.values()):
            return None
        counts = np.zeros(self._state.table.rack_count, np.int64)
        for rack, count in job.used_by_rack.items():
            counts[rack] = count
        return counts

    def _place(self, task: Task, choice: Choice, need: Amounts, now_s: float) -> None:
        state = self._state
        worker = state.workers_by_row[choice.row]
        self._lifecycle.place(task, worker, need, now_s)
        line = (
            f"event=task_placed task={task.log_id} attempt={task.attempt} vm={worker.log_name} "
            f"policy={task.job.service.policy} waited_ms={int(task.waited_s * 1000)} "
            f"candidates={choice.candidates} reason={choice.reason}"
        )
        state.decisions.append(line)
        task.job.history.append(line)
