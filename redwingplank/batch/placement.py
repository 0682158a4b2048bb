"""Chooses workers for the tasks of a step."""

import heapq
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from redwingplank.batch.entities import Step
from redwingplank.batch.model import Amounts, StepSpec
from redwingplank.batch.neighbours import processor_share
from redwingplank.batch.score_cache import ScoreCache
from redwingplank.batch.state import OwnerState
from redwingplank.batch.worker import Worker

__all__ = ["EligibleWorkers", "Placement"]

DISTURBANCE_FACTOR = 1.5
"""Score factor against running filler tasks and serving tasks on the same worker."""
LOAD_WEIGHT = 0.35
"""Relative increase of the score of a full worker over that of an empty one."""
PACKING_WEIGHT = 1.0
"""Relative increase of the score of an empty worker over that of a full one, for tasks with GPUs:
they fill workers that are in use, and others stay whole for tasks that need many GPUs."""


@dataclass(frozen=True, slots=True)
class EligibleWorkers:
    """The eligible workers of a service at the beginning of a pass.

    Free capacity only shrinks during a pass, so a task that does not fit into `most_free`, the
    largest free amount of each resource, fits on no worker.

    Parameters
    ----------
    workers : list of Worker
        All eligible workers, avoided ones included.
    most_free : Amounts
        Largest free amount of each resource on the workers that are not avoided.
    by_free_cpu : list of Worker
        The workers that are not avoided, by free CPU, smallest first.
    free_cpu_millicores : list of int
        Free CPU of each worker of `by_free_cpu`.
    """

    workers: list[Worker]
    most_free: Amounts
    by_free_cpu: list[Worker]
    free_cpu_millicores: list[int]

    def select_with_free_cpu(self, need: Amounts) -> list[Worker]:
        """Return the workers that may have room for `need`: all others have too little CPU."""
        return self.by_free_cpu[bisect_left(self.free_cpu_millicores, need.cpu_millicores) :]


class Placement:
    """Ranks workers for a step.

    Parameters
    ----------
    state : OwnerState
        Jobs and workers of the owner.
    """

    def __init__(self, state: OwnerState) -> None:
        self._state = state
        # The method is looked up at each call, so that `benchmarks/owner_cost.py` can count calls.
        self.scores = ScoreCache(
            lambda worker, step: self.score(worker, step),
            lambda: state.interference.pair_count > 0,
        )

    def find_eligible_workers(self, service: str, now_s: float) -> EligibleWorkers:
        """Return the workers of a service that may be given work now.

        Avoided workers are included, but do not count for the largest free capacity.
        """
        workers = [
            worker
            for worker in self._state.workers_by_id.values()
            if worker.entry.service == service
            and worker.is_confirmed
            and worker.is_listed
            and not worker.is_unreachable
            and not worker.entry.is_draining
            and worker.clock_ms is not None
            and worker.is_capacity_known
        ]
        usable = [worker for worker in workers if now_s >= worker.avoided_until_s]
        usable.sort(key=lambda worker: worker.free.cpu_millicores)
        free_amounts = [worker.free for worker in usable]
        most_free = Amounts(*(max(parts, default=0) for parts in zip(*free_amounts, strict=True)))
        free_cpu_millicores = [free.cpu_millicores for free in free_amounts]
        return EligibleWorkers(workers, most_free, usable, free_cpu_millicores)

    def meets_requirements(self, worker: Worker, step: Step) -> bool:
        """Return whether a worker could run a task of the step if no other task ran there."""
        spec = step.spec
        if spec.required_label and spec.required_label not in worker.entry.labels:
            return False
        return worker.entry.capacity.holds(spec.reserved)

    def _select_meeting_requirements(self, workers: list[Worker], step: Step) -> list[Worker]:
        """Return the workers for which `meets_requirements` holds.

        The conditions are repeated here because a call for each worker takes longer.
        """
        label, (cpu_millicores, memory_mib, gpus) = step.spec.required_label, step.spec.reserved
        return [
            worker
            for worker in workers
            if cpu_millicores <= worker.entry.capacity[0]
            and memory_mib <= worker.entry.capacity[1]
            and gpus <= worker.entry.capacity[2]
            and (not label or label in worker.entry.labels)
        ]

    def fits(self, worker: Worker, step: Step, now_s: float) -> bool:
        """Return whether a worker has free capacity for one more task of the step."""
        spec = step.spec
        if now_s < worker.avoided_until_s or not worker.free.holds(spec.reserved):
            return False
        return not self.is_at_step_limit(worker, step) and self.meets_requirements(worker, step)

    def is_at_step_limit(self, worker: Worker, step: Step) -> bool:
        """Return whether a worker runs as many tasks of the step as it may."""
        limit = step.spec.max_per_worker
        return bool(limit) and worker.step_counts.get(step.key, 0) >= limit

    def select_for_advice(
        self, eligible: EligibleWorkers, step: Step, limit: int, now_s: float
    ) -> tuple[str, ...]:
        """Return the ids of at most `limit` workers to name in a call to the advice service.

        Workers that could take a task now come first, among them those that are known to be
        allowed, then those with the best score. Workers that the service refused are left out, and
        so are those that can take no more tasks of the step: a wide step needs other ones.
        """
        fitting_ids = {
            worker.id
            for worker in eligible.select_with_free_cpu(step.spec.reserved)
            if self.fits(worker, step, now_s)
        }
        refused, tickets = step.refused_workers, step.tickets_by_worker
        groups: tuple[list[Worker], ...] = ([], [], [], [])
        has_limit = bool(step.spec.max_per_worker)
        for worker in self._select_meeting_requirements(eligible.workers, step):
            if worker.id in refused or (has_limit and self.is_at_step_limit(worker, step)):
                continue
            does_not_fit, has_no_ticket = worker.id not in fitting_ids, worker.id not in tickets
            groups[2 * does_not_fit + has_no_ticket].append(worker)
        score = self.scores.scorer(step)
        chosen: list[str] = []
        for group in groups:
            scored = [(score(worker), worker.id) for worker in group]
            chosen.extend(worker_id for _, worker_id in heapq.nsmallest(limit, scored))
            if len(chosen) >= limit:
                break
        return tuple(chosen[:limit])

    def preferred_domain(self, fitting: Iterable[Worker], step: Step) -> str:
        """Return the preferred failure domain for the tasks of a step.

        It is the domain with most runs of the step. If the step has no runs, it is the domain with
        free capacity for most of its tasks; equal domains are compared by the mean score of
        their best workers. Lasting steps get an empty string, because their tasks are better
        spread over several domains.
        """
        if step.spec.is_lasting:
            return ""
        domains = Counter(
            run.worker.entry.failure_domain for task in step.tasks.used() for run in task.runs
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
        """Return the sort key of a failure domain with the given workers; smaller is better.

        The key is the number of tasks that do not fit there, and the mean score of the workers
        for the tasks that fit.
        """
        scores: list[float] = []
        score = self.scores.scorer(step)
        for worker in workers:
            task_count = min(step.spec.count, self._count_fitting_tasks(worker, step))
            scores.extend([score(worker)] * task_count)
        best = sorted(scores)[: step.spec.count]
        return step.spec.count - len(best), sum(best) / len(best)

    def choose_gang(self, workers: list[Worker], step: Step, now_s: float) -> list[Worker] | None:
        """Return a worker for each task of a gang, None if not all tasks fit."""
        spec = step.spec
        fitting = [worker for worker in workers if self.fits(worker, step, now_s)]
        is_suspect = any(task.is_suspect for task in step.tasks.used())
        score = self.scores.scorer(step)
        fitting.sort(
            key=lambda worker: (
                now_s < worker.guarded_until_s,
                is_suspect and worker.has_young_run(now_s),
                score(worker),
                worker.id,
            )
        )
        if spec.same_rack:
            for rack in sorted({worker.entry.rack for worker in fitting}):
                inside = [worker for worker in fitting if worker.entry.rack == rack]
                chosen = self._assign_gang(inside, step)
                if chosen is not None:
                    return chosen
        return self._assign_gang(fitting, step)

    def _assign_gang(self, workers: list[Worker], step: Step) -> list[Worker] | None:
        chosen: list[Worker] = []
        for worker in workers:
            chosen.extend([worker] * self._count_fitting_tasks(worker, step))
            if len(chosen) >= step.spec.count:
                return chosen[: step.spec.count]
        return None

    def _count_fitting_tasks(self, worker: Worker, step: Step) -> int:
        spec = step.spec
        task_count = _count_tasks_within(worker.free, spec)
        if spec.max_per_worker:
            task_count = min(task_count, spec.max_per_worker - worker.step_counts.get(step.key, 0))
        return max(0, task_count)

    def score(self, worker: Worker, step: Step) -> float:
        """Return the score of a worker for a step; smaller is better.

        It is the expected run time relative to other workers, increased by the load of the worker,
        if filler tasks and serving tasks would disturb each other, and by the slowdown that the
        task and those present are known to cause each other.
        """
        spec = step.spec
        entry = worker.entry
        speeds = self._state.speeds
        score = speeds.worker_factor(entry) * speeds.distance_factor(spec, entry)
        if spec.amounts.gpus:
            score *= 1.0 + PACKING_WEIGHT * worker.free.gpus / max(1, entry.capacity.gpus)
        else:
            score *= 1.0 + LOAD_WEIGHT * _used_share(worker.reserved, entry.capacity)
        if self._would_disturb(worker, spec):
            score *= DISTURBANCE_FACTOR
        if worker.filler_percent < 100 and not spec.is_lasting:
            score *= DISTURBANCE_FACTOR
        interference = self._state.interference
        if interference.pair_count:
            subject = spec.image or step.job.spec.queue
            share = processor_share(spec.amounts.cpu_millicores, entry.capacity.cpu_millicores)
            score *= interference.slowdown(worker.id, subject, share)
        return score

    def _would_disturb(self, worker: Worker, spec: StepSpec) -> bool:
        if not spec.image:
            return False
        return any(
            run.spec is not None
            and run.spec.image
            and bool(run.spec.target_ms) != bool(spec.target_ms)
            for run in worker.runs_by_key.values()
        )


def _count_tasks_within(room: Amounts, spec: StepSpec) -> int:
    """Return how many tasks of a step fit into an amount, without its other limits."""
    counts = [free // need for free, need in zip(room, spec.reserved, strict=True) if need > 0]
    return min(counts, default=spec.count)


def _used_share(used: Amounts, capacity: Amounts) -> float:
    return used.cpu_millicores / capacity.cpu_millicores if capacity.cpu_millicores else 0.0
