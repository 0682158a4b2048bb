"""Places waiting tasks on workers."""

import numpy as np
from numpy.typing import NDArray

from redwingplank.config import Spread
from redwingplank.scheduling.entities import Job, Phase, Task
from redwingplank.scheduling.gangs import count_places, is_gang
from redwingplank.scheduling.learning import Learning
from redwingplank.scheduling.lifecycle import TaskLifecycle
from redwingplank.scheduling.parking import Parking
from redwingplank.scheduling.placer import NO_ROW
from redwingplank.scheduling.queue import Lane
from redwingplank.scheduling.state import ShardState
from redwingplank.scheduling.vm_table import Amounts

__all__ = ["Starter"]


class Starter:
    """Takes waiting tasks in order and gives each the best place.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    lifecycle : TaskLifecycle
        Changes tasks.
    learning : Learning
        Knows what tasks really need.
    """

    def __init__(self, state: ShardState, lifecycle: TaskLifecycle, learning: Learning) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._learning = learning
        self._parking = Parking(state)

    @property
    def parking(self) -> Parking:
        """Lanes that found no room."""
        return self._parking

    def run(self, now_s: float) -> None:
        """Place tasks until nothing more fits or the tick's bounds are reached."""
        state = self._state
        self._parking.release_fitting()
        if not state.may_start(now_s, is_volatile=True):
            return
        misses = starts = 0
        while starts < state.settings.max_starts_per_tick:
            lane = state.queue.top()
            if lane is None or misses >= state.settings.max_misses_per_tick:
                break
            job = lane.head()
            if job is None:
                continue
            if not state.may_start(now_s, job.is_volatile):
                break
            placed, missed = self._place_next(lane, job, now_s)
            starts += placed
            misses += missed

    def _place_next(self, lane: Lane, job: Job, now_s: float) -> tuple[int, int]:
        state = self._state
        need = self._need(lane, job)
        if is_gang(job):
            return self._place_gang(lane, job, need, now_s)
        if not state.shares.may_start(lane.usage, need):
            self._parking.park_for_quota(lane, need, 1, now_s)
            return 0, 0
        if self._parking.is_full(need):
            self._parking.park_for_room(lane, need, now_s)
            return 0, 0
        task = job.queued[0]
        row = self._choose(task, need)
        if row == NO_ROW:
            self._parking.park_for_room(lane, need, now_s)
            return 0, 1
        lane.blocked_since_s = -1.0
        job.queued.popleft()
        self._place(task, row, need, now_s)
        return 1, 0

    def _place_gang(self, lane: Lane, job: Job, need: Amounts, now_s: float) -> tuple[int, int]:
        state = self._state
        members = [task for task in job.queued if task.phase is Phase.QUEUED]
        count = len(members)
        if not state.shares.may_start(lane.usage, need, count):
            self._parking.park_for_quota(lane, need, count, now_s)
            return 0, 0
        if count_places(state.table, need, job.held_rows) < count:
            self._parking.park_for_room(lane, need, now_s)
            return 0, 1
        lane.blocked_since_s = -1.0
        job.queued.clear()
        for task in members:
            self._place(task, self._choose(task, need), need, now_s)
        return count, 0

    def _need(self, lane: Lane, job: Job) -> Amounts:
        spec = job.spec
        return self._learning.need(spec.organisation, spec.service, lane.declared)

    def _choose(self, task: Task, need: Amounts) -> int:
        state = self._state
        job = task.job
        return state.placer.choose(
            need, job.service.policy, self._failed_rows(task), self._rack_counts(job)
        )

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

    def _place(self, task: Task, row: int, need: Amounts, now_s: float) -> None:
        state = self._state
        worker = state.workers_by_row[row]
        self._lifecycle.place(task, worker, need, now_s)
        state.decide(
            "task_placed",
            task=task.task_id,
            attempt=task.attempt,
            vm=worker.name,
            policy=task.job.service.policy,
            waited_ms=int(task.waited_s * 1000),
        )
