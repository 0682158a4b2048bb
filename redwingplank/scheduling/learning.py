"""Estimates of task sizes, run times and worker speeds from completed attempts."""

from collections import deque
from dataclasses import dataclass, field

from redwingplank.platform import TaskCompletion
from redwingplank.scheduling.entities import Job, Task, Worker
from redwingplank.scheduling.state import ShardState
from redwingplank.scheduling.vm_table import Amounts

__all__ = ["Learning", "TemplateStats"]

_MAX_SAMPLES = 64
"""Samples that are kept of each service; the oldest are discarded."""
_MIN_SAMPLES = 8
"""Samples below which nothing is estimated."""
_SAMPLES_PER_UPDATE = 16
_SIZE_PERCENTILE = 0.95
_RUN_TIME_PERCENTILE = 0.9
_SPEED_SMOOTHING = 0.1
"""Weight of a new sample in the moving average of a worker's speed."""
_MIN_SPEED, _MAX_SPEED = 0.1, 10.0


@dataclass(slots=True, eq=False)
class TemplateStats:
    """Samples and estimates of one organisation's service.

    Parameters
    ----------
    millicores, memory_mib : deque of int
        Peak usage of the last attempts that completed with any outcome.
    run_times_s : deque of float
        Run times of the last successful attempts, scaled to a worker of speed 1.
    """

    millicores: deque[int] = field(default_factory=lambda: deque(maxlen=_MAX_SAMPLES))
    memory_mib: deque[int] = field(default_factory=lambda: deque(maxlen=_MAX_SAMPLES))
    run_times_s: deque[float] = field(default_factory=lambda: deque(maxlen=_MAX_SAMPLES))
    learnt_millicores: int = 0
    learnt_memory_mib: int = 0
    median_run_time_s: float = 0.0
    high_run_time_s: float = 0.0
    sample_count: int = 0


class Learning:
    """Maintains estimates for each organisation's services and for the speed of workers.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._stats_by_service: dict[tuple[str, str], TemplateStats] = {}

    def find_stats(self, organisation: str, service: str) -> TemplateStats:
        """Return the statistics of a service, which are created at the first call."""
        key = (organisation, service)
        found = self._stats_by_service.get(key)
        if found is None:
            found = self._stats_by_service[key] = TemplateStats()
        return found

    def find_reservation(self, organisation: str, service: str, declared: Amounts) -> Amounts:
        """Return the amounts to reserve for a task.

        These are the larger of the declared and the learnt amounts, or the declared ones if no VM
        has the capacity for them or they exceed the organisation's grant.
        """
        stats = self._stats_by_service.get((organisation, service))
        if stats is None or not stats.learnt_memory_mib:
            return declared
        if stats.learnt_millicores <= declared[0] and stats.learnt_memory_mib <= declared[1]:
            return declared
        need = declared.copy()
        need[0] = max(need[0], stats.learnt_millicores)
        need[1] = max(need[1], stats.learnt_memory_mib)
        return need if self._can_ever_run(organisation, need) else declared

    def _can_ever_run(self, organisation: str, need: Amounts) -> bool:
        table = self._state.table
        fits = (table.capacity[: len(need)] >= need[:, None]).all(axis=0)
        usage = self._state.shares.find(organisation)
        is_granted = not usage.has_grant or usage.may_ever_use(need.tolist())
        return is_granted and bool(fits.any())

    def record_usage(self, task: Task, millicores: int, memory_mib: int) -> None:
        """Update the peak usage of a task."""
        if millicores > task.peak_millicores:
            task.peak_millicores = millicores
        if memory_mib > task.peak_memory_mib:
            task.peak_memory_mib = memory_mib

    def record_completion(
        self, task: Task, worker: Worker, completion: TaskCompletion, is_completed: bool
    ) -> None:
        """Record the peak usage and the run time of an attempt that ran."""
        spec = task.job.spec
        stats = self.find_stats(spec.organisation, spec.service)
        if task.peak_memory_mib or task.peak_millicores:
            stats.millicores.append(task.peak_millicores)
            stats.memory_mib.append(task.peak_memory_mib)
            task.peak_millicores = task.peak_memory_mib = 0
        if is_completed and completion.run_time_s > 0:
            self._update_speed(stats, worker, completion.run_time_s)
            speed = float(self._state.table.speed[worker.row])
            stats.run_times_s.append(completion.run_time_s * speed)
        stats.sample_count += 1
        if stats.sample_count % _SAMPLES_PER_UPDATE == 0:
            _update_estimates(stats)

    def _update_speed(self, stats: TemplateStats, worker: Worker, run_time_s: float) -> None:
        if stats.median_run_time_s <= 0:
            return
        table = self._state.table
        observed = stats.median_run_time_s / run_time_s
        speed = float(table.speed[worker.row])
        learnt = speed + _SPEED_SMOOTHING * (observed - speed)
        table.speed[worker.row] = min(_MAX_SPEED, max(_MIN_SPEED, learnt))

    def run_time_s(self, job: Job) -> float:
        """Return the run time in seconds that most tasks of the job do not exceed.

        It is the learnt high percentile, or the declared run time before anything is learnt.
        """
        spec = job.spec
        stats = self._stats_by_service.get((spec.organisation, spec.service))
        declared_s = job.service.run_time_s if spec.run_time_s is None else spec.run_time_s
        return stats.high_run_time_s if stats and stats.high_run_time_s else declared_s


def _update_estimates(stats: TemplateStats) -> None:
    if len(stats.millicores) >= _MIN_SAMPLES:
        stats.learnt_millicores = _percentile(stats.millicores, _SIZE_PERCENTILE)
        stats.learnt_memory_mib = _percentile(stats.memory_mib, _SIZE_PERCENTILE)
    if len(stats.run_times_s) >= _MIN_SAMPLES:
        run_times_s = sorted(stats.run_times_s)
        stats.median_run_time_s = run_times_s[len(run_times_s) // 2]
        stats.high_run_time_s = run_times_s[int(len(run_times_s) * _RUN_TIME_PERCENTILE)]


def _percentile(samples: deque[int], fraction: float) -> int:
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
