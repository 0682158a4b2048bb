"""Caches the scores of workers within one pass."""

from collections.abc import Callable
from typing import NamedTuple

from redwingplank.batch.entities import Step, Worker

__all__ = ["ScoreCache"]


class _ScoreKey(NamedTuple):
    """All of a step that the score of a worker depends on."""

    queue: str
    image: str
    data_rack: str
    needs_gpus: bool
    is_lasting: bool
    is_serving: bool


class ScoreCache:
    """Scores of workers, shared by the steps for which they are equal.

    A score is valid until the next pass or until its worker gets a run, whichever is earlier:
    nothing else that a score depends on changes within a pass.

    Parameters
    ----------
    score : callable
        Returns the score of a worker for a step.
    """

    def __init__(self, score: Callable[[Worker, Step], float]) -> None:
        self._score = score
        self._scores_by_key: dict[_ScoreKey, dict[str, float]] = {}

    def begin_pass(self) -> None:
        """Forget all scores."""
        self._scores_by_key.clear()

    def forget_worker(self, worker: Worker) -> None:
        """Forget the scores of a worker that got a run."""
        for scores in self._scores_by_key.values():
            scores.pop(worker.id, None)

    def scorer(self, step: Step) -> Callable[[Worker], float]:
        """Return the function that returns the score of a worker for a step."""
        scores = self._scores_by_key.setdefault(_make_key(step), {})

        def score(worker: Worker) -> float:
            found = scores.get(worker.id)
            if found is None:
                found = scores[worker.id] = self._score(worker, step)
            return found

        return score


def _make_key(step: Step) -> _ScoreKey:
    spec = step.spec
    return _ScoreKey(
        step.job.spec.queue,
        spec.image,
        spec.data_rack,
        bool(spec.amounts.gpus),
        spec.is_lasting,
        bool(spec.target_ms),
    )
