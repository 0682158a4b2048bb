"""Chooses workers for the tasks of a step."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from redwingplank.batch.entities import Step, Worker
from redwingplank.batch.model import Amounts, StepSpec
from redwingplank.batch.state import OwnerState

__all__ = ["Placement", "Usable", "named_for_advice"]

DISTURBANCE_FACTOR = 1.5
"""Preference against putting tasks that fill beside tasks that serve."""
LOAD_WEIGHT = 0.35
"""How much a full worker counts against one that is empty."""


@dataclass(frozen=True, slots=True)
class Usable:
    """The workers of a service that may be given work, and the most room that any of them has.

    During a pass room only shrinks: what `most_free` does not hold fits nowhere.
    """

    workers: list[Worker]
    most_free: Amounts


class Placement:
    """Ranks workers for a step.

    Parameters
    ----------
    state : OwnerState
        The tables.
    """

    def __init__(self, state: OwnerState) -> None:
        self._state = state

    def find_eligible_workers(self, service: str, now_s: float) -> Usable:
        """Return the workers of a service that may be given work now."""
        workers = [
            worker
            for worker in self._state.workers_by_id.values()
            if worker.entry.service == service
            and worker.is_confirmed
            and worker.is_listed
            and not worker.is_unreachable
            and not worker.entry.is_draining
            and worker.clock_ms is not None
        ]
        rooms = [worker.free for worker in workers if now_s >= worker.avoided_until_s]
        most_free = Amounts(*(max(parts, default=0) for parts in zip(*rooms, strict=True)))
        return Usable(workers, most_free)

    def meets_requirements(self, worker: Worker, step: Step) -> bool:
        """Return whether a worker, if it were empty, could run a task of the step."""
        spec = step.spec
        if spec.required_label and spec.required_label not in worker.entry.labels:
            return False
        return worker.entry.capacity.holds(spec.reserved)

    def fits(self, worker: Worker, step: Step, now_s: float) -> bool:
        """Return whether a worker has room for one more task of the step."""
        spec = step.spec
        if now_s < worker.avoided_until_s or not worker.free.holds(spec.reserved):
            return False
        if spec.max_per_worker and worker.step_counts.get(step.key, 0) >= spec.max_per_worker:
            return False
        return self.meets_requirements(worker, step)

    def home(self, fitting: Iterable[Worker], step: Step) -> str:
        """Return the failure domain that a step's tasks are best kept in.

        It is the one that has most of the step's runs; without any, the one with room for most of
        its tasks, on the best of the workers that fit. Empty for tasks that last, which are better
        spread.
        """
        if step.spec.is_lasting:
            return ""
        domains = Counter(
            run.worker.entry.failure_domain for task in step.tasks for run in task.runs
        )
        if domains:
            return domains.most_common(1)[0][0]
        workers_by_domain: dict[str, list[Worker]] = {}
        for worker in fitting:
            workers_by_domain.setdefault(worker.entry.failure_domain, []).append(worker)
        return min(
            sorted(workers_by_domain),
            key=lambda domain: self._domain_score(workers_by_domain[domain], step),
            default="",
        )

    def _domain_score(self, workers: list[Worker], step: Step) -> tuple[int, float]:
        """Return how many tasks find no room on some workers, and the mean score of the others."""
        scores: list[float] = []
        for worker in workers:
            room = min(step.spec.count, self._room_for(worker, step))
            scores.extend([self.score(worker, step)] * room)
        best = sorted(scores)[: step.spec.count]
        return step.spec.count - len(best), sum(best) / len(best)

    def choose_gang(self, workers: list[Worker], step: Step, now_s: float) -> list[Worker] | None:
        """Return a worker for each task of a gang, None if not all have room."""
        spec = step.spec
        fitting = [worker for worker in workers if self.fits(worker, step, now_s)]
        fitting.sort(key=lambda worker: (self.score(worker, step), worker.id))
        if spec.same_rack:
            for rack in sorted({worker.entry.rack for worker in fitting}):
                inside = [worker for worker in fitting if worker.entry.rack == rack]
                chosen = self._fill(inside, step)
                if chosen is not None:
                    return chosen
        return self._fill(fitting, step)

    def _fill(self, workers: list[Worker], step: Step) -> list[Worker] | None:
        chosen: list[Worker] = []
        for worker in workers:
            chosen.extend([worker] * self._room_for(worker, step))
            if len(chosen) >= step.spec.count:
                return chosen[: step.spec.count]
        return None

    def _room_for(self, worker: Worker, step: Step) -> int:
        spec = step.spec
        counts = [
            free // need for free, need in zip(worker.free, spec.reserved, strict=True) if need > 0
        ]
        room = min(counts, default=spec.count)
        if spec.max_per_worker:
            room = min(room, spec.max_per_worker - worker.step_counts.get(step.key, 0))
        return max(0, room)

    def score(self, worker: Worker, step: Step) -> float:
        """Return an expected run time, weighted by what else speaks for or against a worker."""
        spec = step.spec
        entry = worker.entry
        speeds = self._state.speeds
        score = speeds.factor(entry) * speeds.distance(spec, entry)
        score *= 1.0 + LOAD_WEIGHT * _used_share(worker.reserved, entry.capacity)
        if self._disturbs(worker, spec):
            score *= DISTURBANCE_FACTOR
        if worker.filler_percent < 100 and not spec.is_lasting:
            score *= DISTURBANCE_FACTOR
        return score

    def _disturbs(self, worker: Worker, spec: StepSpec) -> bool:
        if not spec.image:
            return False
        return any(
            run.spec is not None
            and run.spec.image
            and bool(run.spec.target_ms) != bool(spec.target_ms)
            for run in worker.runs_by_key.values()
        )


def _used_share(used: Amounts, capacity: Amounts) -> float:
    return used.cpu_millicores / capacity.cpu_millicores if capacity.cpu_millicores else 0.0


def named_for_advice(workers: list[Worker], step: Step, limit: int) -> tuple[str, ...]:
    """Return the workers to ask advice about: those known as allowed, then the emptiest."""
    known = [worker.id for worker in workers if worker.id in step.allowed]
    others = [
        worker
        for worker in workers
        if worker.id not in step.allowed and worker.id not in step.refused
    ]
    others.sort(key=lambda worker: (_used_share(worker.reserved, worker.entry.capacity), worker.id))
    return tuple((known + [worker.id for worker in others])[:limit])
