"""Ranks the workers with room once for all tasks of a step."""

import heapq
from collections.abc import Iterable

from redwingplank.batch.entities import Step, Task, Worker
from redwingplank.batch.placement import Placement

__all__ = ["Candidates"]

AWAY_FACTOR = 1.25
"""Preference against spreading a step over failure domains: each that it touches may be cut off."""


class Candidates:
    """The workers with room for tasks of one step, the best first.

    Parameters
    ----------
    placement : Placement
        Tells room and scores.
    workers : iterable of Worker
        That may be given work.
    step : Step
        With tasks to start.
    now_s : float
        The present time.
    """

    def __init__(
        self, placement: Placement, workers: Iterable[Worker], step: Step, now_s: float
    ) -> None:
        self._placement = placement
        self._step = step
        self._now_s = now_s
        fitting = [worker for worker in workers if placement.fits(worker, step, now_s)]
        self._home = placement.home(fitting, step)
        self._ranked = [(self._score(worker), worker.id, worker) for worker in fitting]
        heapq.heapify(self._ranked)

    def pop_best(self, task: Task) -> Worker | None:
        """Return the best worker for a task, None if none has room; call `put_back` after.

        A worker on which the task made no progress before comes after all others.
        """
        passed = []
        while self._ranked and self._ranked[0][2].id in task.bad_workers:
            passed.append(heapq.heappop(self._ranked))
        if self._ranked:
            chosen = heapq.heappop(self._ranked)
        elif passed:
            chosen = passed.pop(0)
        else:
            return None
        for entry in passed:
            heapq.heappush(self._ranked, entry)
        return chosen[2]

    def reinsert(self, worker: Worker) -> None:
        """Rank a worker again that was given a task, if it has room for another."""
        if self._placement.fits(worker, self._step, self._now_s):
            heapq.heappush(self._ranked, (self._score(worker), worker.id, worker))

    def _score(self, worker: Worker) -> float:
        """Return the score of a worker; those outside the step's failure domain count as worse."""
        score = self._placement.score(worker, self._step)
        is_away = bool(self._home) and worker.entry.failure_domain != self._home
        return score * AWAY_FACTOR if is_away else score
