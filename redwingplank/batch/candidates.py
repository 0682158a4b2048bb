"""Ranks the workers with free capacity once for all tasks of a step."""

import heapq
from collections.abc import Iterable

from redwingplank.batch.entities import Step, Task
from redwingplank.batch.placement import Placement
from redwingplank.batch.worker import Worker

__all__ = ["Candidates"]

REMOTE_DOMAIN_FACTOR = 1.25
"""Score factor for workers outside the preferred failure domain.

A step that is spread over several failure domains is delayed when any one of them is cut off.
"""

ISOLATION_WAIT_S = 2.0
"""Longest time that a task waits for a worker without other starts."""


class Candidates:
    """The workers with free capacity for tasks of one step, best first.

    Parameters
    ----------
    placement : Placement
        Determines free capacity and scores of workers.
    workers : iterable of Worker
        Workers that are eligible for tasks of the step.
    step : Step
        Step with tasks to start.
    now_s : float
        Current time in seconds.
    """

    def __init__(
        self, placement: Placement, workers: Iterable[Worker], step: Step, now_s: float
    ) -> None:
        self._placement = placement
        self._step = step
        self._now_s = now_s
        self._base_score = placement.scores.scorer(step)
        fitting = [worker for worker in workers if placement.fits(worker, step, now_s)]
        self._preferred_domain = placement.preferred_domain(fitting, step)
        self._ranked = [self._rank(worker) for worker in fitting]
        heapq.heapify(self._ranked)

    @property
    def are_left(self) -> bool:
        """Whether any worker has free capacity."""
        return bool(self._ranked)

    def pop_best(self, task: Task) -> Worker | None:
        """Remove and return the best worker for a task, None if the task has to wait.

        Call `reinsert` with the worker afterwards. Workers on which the task failed or made no
        progress before come after all others.
        """
        if task.is_suspect:
            return self._pop_for_suspect(task)
        deprioritized = []
        while self._ranked and self._ranked[0][-1].id in task.bad_workers:
            deprioritized.append(heapq.heappop(self._ranked))
        if self._ranked:
            chosen = heapq.heappop(self._ranked)
        elif deprioritized:
            chosen = deprioritized.pop(0)
        else:
            return None
        for entry in deprioritized:
            heapq.heappush(self._ranked, entry)
        return chosen[-1]

    def _pop_for_suspect(self, task: Task) -> Worker | None:
        """Remove and return the worker where a crash would show its cause and cost least."""
        if not self._ranked:
            return None
        chosen = min(self._ranked, key=lambda entry: self._crash_rank(entry[-1], task))
        if self._has_to_wait(task, chosen[-1]):
            return None
        task.isolation_wait_from_s = None
        self._ranked.remove(chosen)
        heapq.heapify(self._ranked)
        return chosen[-1]

    def _has_to_wait(self, task: Task, worker: Worker) -> bool:
        """Return whether a task that needs isolation is better not started on a worker now."""
        if not task.needs_isolation or not worker.has_young_run(self._now_s):
            return False
        if task.isolation_wait_from_s is None:
            task.isolation_wait_from_s = self._now_s
        return self._now_s - task.isolation_wait_from_s < ISOLATION_WAIT_S

    def _crash_rank(self, worker: Worker, task: Task) -> tuple[bool, bool, int, str]:
        return (
            worker.has_young_run(self._now_s),
            worker.id in task.bad_workers,
            worker.reserved.cpu_millicores,
            worker.id,
        )

    def reinsert(self, worker: Worker) -> None:
        """Rank a worker again after a task was assigned to it, if another one fits."""
        if self._placement.fits(worker, self._step, self._now_s):
            heapq.heappush(self._ranked, self._rank(worker))

    def _rank(self, worker: Worker) -> tuple[bool, float, str, Worker]:
        is_guarded = self._now_s < worker.guarded_until_s
        return is_guarded, self._score(worker), worker.id, worker

    def _score(self, worker: Worker) -> float:
        """Return the score of a worker, which is worse outside the preferred failure domain."""
        score = self._base_score(worker)
        is_remote = (
            bool(self._preferred_domain) and worker.entry.failure_domain != self._preferred_domain
        )
        return score * REMOTE_DOMAIN_FACTOR if is_remote else score
