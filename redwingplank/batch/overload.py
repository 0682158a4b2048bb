"""Orders steps by benefit while a service has less capacity than its jobs need to end in time.

In the order by slack, every job is served when it is about to miss its objective. With more work
than capacity, that spends capacity on many jobs that then end late. In an overload, this module
prefers the jobs that bring most for the capacity that they still need.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from redwingplank.batch.entities import Job, Step
from redwingplank.batch.model import NO_AMOUNTS, Amounts, CellConfig, StepKey, StepSpec
from redwingplank.batch.ranking import Rank, chain_s, rank_by_benefit, rank_step, rank_turn
from redwingplank.batch.state import OwnerState

__all__ = ["Overload"]

UPDATE_PERIOD_S = 0.1
"""Time between two measurements of the load."""
ENTER_LOAD = 1.2
"""Load above which a service is overloaded.

It is above 1, because short peaks that the slack of the jobs absorbs need no other order.
"""
LEAVE_LOAD = 1.0
"""Load below which an overload ends."""
MIN_USED_SHARE = 0.5
"""Capacity is not short while less than this share of every resource is reserved.

Steps then wait for something else, such as a ticket, a label or a quota.
"""
TURN_S = 10.0
"""Time after which the step of a queue that has waited longest ranks first in an overload."""
BASE_BENEFIT = 0.3
"""Part of a job's benefit that does not grow with its work, relative to an average job."""
MIN_SAMPLE_WEIGHT = 0.02
"""Smallest weight of a new job in the mean of its queue."""
MIN_CORE_S = 0.001
"""Lower bound of the core-seconds of a task; some tasks declare no CPU."""


class _WaitingStep(NamedTuple):
    """A step with tasks to start.

    `waiting_count` is the number of these tasks, and `remaining_s` the expected time of the
    longest chain of steps that starts with the step.
    """

    step: Step
    waiting_count: int
    remaining_s: float


@dataclass(slots=True)
class _QueueTurns:
    """Which step of a queue has its turn, and since when each step waits for one."""

    key: StepKey | None = None
    began_s: float = float("-inf")
    ended_s_by_key: dict[StepKey, float] = field(default_factory=dict)

    def update(self, steps: list[Step], now_s: float) -> None:
        """Give the turn to the step that has waited longest, once every `TURN_S`."""
        waiting_s_by_key = {
            step.key: self.ended_s_by_key.get(step.key, step.opened_s) for step in steps
        }
        self.ended_s_by_key = {
            key: ended_s for key, ended_s in self.ended_s_by_key.items() if key in waiting_s_by_key
        }
        if self.key is not None and self.key not in waiting_s_by_key:
            self.key = None
        if now_s - self.began_s < TURN_S or not waiting_s_by_key:
            return
        if self.key is not None:
            self.ended_s_by_key[self.key] = waiting_s_by_key[self.key] = now_s
        oldest = min(waiting_s_by_key, key=lambda key: (waiting_s_by_key[key], key))
        self.key = oldest if now_s - waiting_s_by_key[oldest] >= TURN_S else None
        if self.key is not None:
            self.began_s = now_s


class Overload:
    """Measures the load of each service, and ranks steps by the order that its load calls for.

    Parameters
    ----------
    state : OwnerState
        Jobs and workers of the owner.

    Notes
    -----
    The load of a service is the largest ratio, over the resources, of what is needed to what its
    workers have. Needed are the amounts that runs reserve, and for each step that can still be in
    time its work divided by the time that is left for it. Steps that wait for the quota of their
    organisation, and lasting ones, do not count.

    Services whose queues all have the same priority always keep the order of `rank_step`. Nothing
    is stored: a new owner measures the load of the jobs and workers that it finds.
    """

    def __init__(self, state: OwnerState) -> None:
        self._state = state
        self._config: CellConfig | None = None
        self._services: frozenset[str] = frozenset()
        """Services whose queues have different priorities."""
        self._overloaded: set[str] = set()
        self._turns_by_queue: dict[str, _QueueTurns] = {}
        self._mean_core_s_by_queue: dict[str, tuple[float, int]] = {}
        """Mean work of the jobs of each queue, with the number of jobs."""
        self._density_by_step: dict[StepKey, float] = {}
        """Benefit density of the steps that waited when an overload was last measured."""
        self._chains_by_job: dict[str, list[float]] = {}
        """Expected times of the longest chains that start with the steps of a job, in this pass."""
        self._undone_by_occurrence: dict[tuple[str, int], float] = {}
        """Core-seconds of the tasks of an occurrence that are not done, in this pass."""
        self._updated_s = float("-inf")

    def begin_pass(self) -> None:
        """Forget what was computed for whole jobs: it is the same for all their steps in a pass."""
        self._chains_by_job.clear()
        self._undone_by_occurrence.clear()

    def record_job(self, job: Job) -> None:
        """Determine the work of a job, and add it to the mean of its queue."""
        job.core_s = sum(spec.count * _task_core_s(spec) for spec in job.spec.steps)
        mean, count = self._mean_core_s_by_queue.get(job.spec.queue, (job.core_s, 0))
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / (count + 1))
        mean += weight * (job.core_s - mean)
        self._mean_core_s_by_queue[job.spec.queue] = mean, count + 1

    def is_overloaded(self, service: str) -> bool:
        """Return whether a service had too much work to do when its load was last measured."""
        return service in self._overloaded

    def rank(self, step: Step, now_s: float) -> Rank:
        """Return the sort key of a step; the smallest key comes first."""
        waiting = self._make_waiting_step(step)
        queue = self._state.queue_of(step.job)
        if queue is None or queue.service not in self._overloaded or step.spec.is_lasting:
            return rank_step(step, waiting.remaining_s, now_s)
        turns = self._turns_by_queue.get(queue.name)
        if turns is not None and turns.key == step.key:
            return rank_turn(step)
        density = self._density_by_step.get(step.key)
        if density is None:
            density = self._benefit_density(waiting)
        return rank_by_benefit(step, waiting.remaining_s, queue.priority, density, now_s)

    def _benefit_density(self, waiting: _WaitingStep) -> float:
        """Return the benefit of a job divided by the work that remains.

        Both are relative to an average job of the queue. Work that is done does not count, nor does
        work of the step itself that is under way, so jobs that have begun come before others. Of
        other steps of the job all tasks that are not done count.
        """
        step, job = waiting.step, waiting.step.job
        mean, _ = self._mean_core_s_by_queue[job.spec.queue]
        # A task that is lost with its worker may start again although it still counts as hosted.
        own_count = max(1, waiting.waiting_count)
        remaining = own_count * _task_core_s(step.spec)
        of_others = self._undone_core_s(step) - step.undone_count * _task_core_s(step.spec)
        remaining += max(0.0, of_others)
        benefit = BASE_BENEFIT + (1 - BASE_BENEFIT) * job.core_s / mean
        return benefit * mean / remaining

    def _undone_core_s(self, step: Step) -> float:
        """Return the core-seconds of the tasks that are not done in the occurrence of a step."""
        key = step.key.job_id, step.key.occurrence
        found = self._undone_by_occurrence.get(key)
        if found is None:
            steps = step.job.steps_by_key
            found = sum(
                steps[step.key._replace(step=number)].undone_count * _task_core_s(spec)
                for number, spec in enumerate(step.job.spec.steps)
            )
            self._undone_by_occurrence[key] = found
        return found

    def update(self, now_s: float) -> None:
        """Measure the load of the services whose queues have different priorities, if it is due."""
        if self._state.config is not self._config:
            self._apply_config(self._state.config)
        if not self._services or now_s - self._updated_s < UPDATE_PERIOD_S:
            return
        self._updated_s = now_s
        self.begin_pass()
        self._density_by_step.clear()
        waiting_by_service: dict[str, list[_WaitingStep]] = {name: [] for name in self._services}
        for step in self._state.open_steps.values():
            queue = self._state.queue_of(step.job)
            # Steps that wait for the quota of their organisation need no capacity now.
            is_waiting = step.waiting_count and not step.waits_for_quota
            if is_waiting and queue is not None and queue.service in self._services:
                waiting_by_service[queue.service].append(self._make_waiting_step(step))
        for service, waiting_list in waiting_by_service.items():
            self._update_service(service, waiting_list, now_s)

    def _make_waiting_step(self, step: Step) -> _WaitingStep:
        spec = step.job.spec
        chains = self._chains_by_job.get(spec.job_id)
        if chains is None:
            chains = chain_s(spec, self._state.speeds, spec.queue)
            self._chains_by_job[spec.job_id] = chains
        return _WaitingStep(step, step.waiting_count, chains[step.key.step])

    def _apply_config(self, config: CellConfig) -> None:
        self._config = config
        priorities_by_service: dict[str, set[int]] = {}
        for queue in config.queues_by_name.values():
            priorities_by_service.setdefault(queue.service, set()).add(queue.priority)
        self._services = frozenset(
            name for name, priorities in priorities_by_service.items() if len(priorities) > 1
        )
        self._overloaded &= self._services
        self._turns_by_queue = {}

    def _update_service(self, service: str, waiting: list[_WaitingStep], now_s: float) -> None:
        was_overloaded = service in self._overloaded
        load = self._measure_load(service, waiting, now_s)
        if load > ENTER_LOAD:
            self._overloaded.add(service)
        elif load < LEAVE_LOAD:
            self._overloaded.discard(service)
        is_overloaded = service in self._overloaded
        if is_overloaded != was_overloaded:
            event = "overload_began" if is_overloaded else "overload_ended"
            self._state.log_decision(event, service=service, load=load, steps=len(waiting))
        if is_overloaded:
            self._density_by_step.update(
                (each.step.key, self._benefit_density(each)) for each in waiting
            )
        if is_overloaded or was_overloaded:
            self._update_turns(service, waiting if is_overloaded else [], now_s)

    def _measure_load(self, service: str, waiting: list[_WaitingStep], now_s: float) -> float:
        capacity, reserved = self._sum_workers(service)
        used_share = _largest_share(reserved, capacity)
        if used_share < MIN_USED_SHARE:
            return used_share
        totals: list[float] = list(reserved)
        for step, waiting_count, remaining_s in waiting:
            slack_s = step.job.objective_s - now_s - remaining_s
            if step.spec.is_lasting or slack_s < 0:
                continue
            own_s = self._state.speeds.expected_s(step.spec, step.job.spec.queue)
            share = waiting_count * own_s / (own_s + slack_s)
            for resource, amount in enumerate(step.spec.reserved):
                totals[resource] += share * amount
        return _largest_share(totals, capacity)

    def _sum_workers(self, service: str) -> tuple[Amounts, Amounts]:
        """Return the capacity of the workers that a service can use, and what is reserved there."""
        usable = [
            worker
            for worker in self._state.workers_by_id.values()
            if worker.is_confirmed
            and worker.is_listed
            and not worker.is_unreachable
            and worker.entry.service == service
        ]
        return (
            _sum_amounts(worker.entry.capacity for worker in usable),
            _sum_amounts(worker.reserved for worker in usable),
        )

    def _update_turns(self, service: str, waiting: list[_WaitingStep], now_s: float) -> None:
        steps_by_queue: dict[str, list[Step]] = {}
        for step, _, _ in waiting:
            if not step.spec.is_lasting:
                steps_by_queue.setdefault(step.job.spec.queue, []).append(step)
        for queue in self._state.config.queues_by_name.values():
            if queue.service == service:
                turns = self._turns_by_queue.setdefault(queue.name, _QueueTurns())
                turns.update(steps_by_queue.get(queue.name, []), now_s)


def _largest_share(totals: Iterable[float], capacity: Amounts) -> float:
    """Return the largest ratio, over the resources, of a total to the capacity."""
    return max(
        (total / limit for total, limit in zip(totals, capacity, strict=True) if limit > 0),
        default=0.0,
    )


def _sum_amounts(amounts: Iterable[Amounts]) -> Amounts:
    """Return the sum of many amounts; faster than adding them one by one."""
    return Amounts(*(sum(parts) for parts in zip(NO_AMOUNTS, *amounts, strict=True)))


def _task_core_s(spec: StepSpec) -> float:
    """Return the estimated core-seconds of one task of a step; lasting tasks have no end."""
    if spec.is_lasting:
        return MIN_CORE_S
    return max(MIN_CORE_S, spec.amounts.cpu_millicores / 1000 * spec.estimate_s)
