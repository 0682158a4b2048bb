"""Caches the scores of workers within one pass."""

from collections.abc import Callable
from typing import NamedTuple

from redwingplank.batch.entities import Step
from redwingplank.batch.worker import Worker

__all__ = ["ScoreCache"]


class _ScoreKey(NamedTuple):
    """All of a step that the score of a worker depends on.

    `cpu_millicores` is 0 while no score depends on the CPU of a task.
    """

    queue: str
    image: str
    cpu_millicores: int
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
    depends_on_cpu : callable
        Returns whether scores depend on the CPU that a task reserves, as they do while subjects
        are known to slow each other down.
    """

    def __init__(
        self, score: Callable[[Worker, Step], float], depends_on_cpu: Callable[[], bool]
    ) -> None:
        self._score = score
        self._depends_on_cpu = depends_on_cpu
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
        cpu_millicores = step.spec.amounts.cpu_millicores if self._depends_on_cpu() else 0
        scores = self._scores_by_key.setdefault(_make_key(step, cpu_millicores), {})

        def score(worker: Worker) -> float:
            found = scores.get(worker.id)
            if found is None:
                found = scores[worker.id] = self._score(worker, step)
            return found

        return score


def _make_key(step: Step, cpu_millicores: int) -> _ScoreKey:
    spec = step.spec
    return _ScoreKey(
        step.job.spec.queue,
        spec.image,
        cpu_millicores,
        spec.data_rack,
        bool(spec.amounts.gpus),
        spec.is_lasting,
        bool(spec.target_ms),
    )
