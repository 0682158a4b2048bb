"""Ranks the workers with free capacity once for all tasks of a step."""

import heapq
from collections.abc import Iterable

from redwingplank.batch.entities import Step, Task, Worker
from redwingplank.batch.placement import Placement

__all__ = ["Candidates"]

REMOTE_DOMAIN_FACTOR = 1.25
"""Score factor for workers outside the preferred failure domain.

A step that is spread over several failure domains is delayed when any one of them is cut off.
"""


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
        fitting = [worker for worker in workers if placement.fits(worker, step, now_s)]
        self._preferred_domain = placement.preferred_domain(fitting, step)
        self._ranked = [(self._score(worker), worker.id, worker) for worker in fitting]
        heapq.heapify(self._ranked)

    def pop_best(self, task: Task) -> Worker | None:
        """Remove and return the best worker for a task, None if no worker has free capacity.

        Call `reinsert` with the worker afterwards. Workers on which the task failed or made no
        progress before come after all others.
        """
        deprioritized = []
        while self._ranked and self._ranked[0][2].id in task.bad_workers:
            deprioritized.append(heapq.heappop(self._ranked))
        if self._ranked:
            chosen = heapq.heappop(self._ranked)
        elif deprioritized:
            chosen = deprioritized.pop(0)
        else:
            return None
        for entry in deprioritized:
            heapq.heappush(self._ranked, entry)
        return chosen[2]

    def reinsert(self, worker: Worker) -> None:
        """Rank a worker again after a task was assigned to it, if another one fits."""
        if self._placement.fits(worker, self._step, self._now_s):
            heapq.heappush(self._ranked, (self._score(worker), worker.id, worker))

    def _score(self, worker: Worker) -> float:
        """Return the score of a worker, which is worse outside the preferred failure domain."""
        score = self._placement.score(worker, self._step)
        is_remote = (
            bool(self._preferred_domain) and worker.entry.failure_domain != self._preferred_domain
        )
        return score * REMOTE_DOMAIN_FACTOR if is_remote else score
