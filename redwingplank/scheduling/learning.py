"""Learns sizes, run times and worker speeds from what really happened."""

from collections import deque
from dataclasses import dataclass, field

from redwingplank.platform import TaskCompletion
from redwingplank.scheduling.entities import Job, Task, Worker
from redwingplank.scheduling.state import ShardState
from redwingplank.scheduling.vm_table import Amounts

__all__ = ["Learning", "TemplateStats"]

_MAX_SAMPLES = 64
_MIN_SAMPLES = 8
_SUMMARISE_EVERY = 16
_SIZE_PERCENTILE = 0.95
_RUN_TIME_PERCENTILE = 0.9
_SPEED_WEIGHT = 0.1
_MIN_SPEED, _MAX_SPEED = 0.1, 10.0


@dataclass(slots=True, eq=False)
class TemplateStats:
    """What was seen of one organisation's service.

    Parameters
    ----------
    millicores, memory_mib : deque of int
        Highest usage of the last tasks that ended.
    run_times_s : deque of float
        Run times of the last tasks that completed, on a worker of speed 1.
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
    """Keeps statistics of each organisation's services and the speed of workers.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._stats_by_service: dict[tuple[str, str], TemplateStats] = {}

    def stats(self, organisation: str, service: str) -> TemplateStats:
        """Return the statistics of a service, made when they are first asked for."""
        key = (organisation, service)
        found = self._stats_by_service.get(key)
        if found is None:
            found = self._stats_by_service[key] = TemplateStats()
        return found

    def need(self, organisation: str, service: str, declared: Amounts) -> Amounts:
        """Return what to reserve: the larger of declared and learnt, if any VM could hold it."""
        stats = self._stats_by_service.get((organisation, service))
        if stats is None or not stats.learnt_memory_mib:
            return declared
        if stats.learnt_millicores <= declared[0] and stats.learnt_memory_mib <= declared[1]:
            return declared
        need = declared.copy()
        need[0] = max(need[0], stats.learnt_millicores)
        need[1] = max(need[1], stats.learnt_memory_mib)
        return need if self._could_run(organisation, need) else declared

    def _could_run(self, organisation: str, need: Amounts) -> bool:
        table = self._state.table
        fits = (table.capacity[: len(need)] >= need[:, None]).all(axis=0)
        usage = self._state.shares.find(organisation)
        is_granted = usage.grant is None or bool(
            (usage.grant[: len(need)] >= need[: len(usage.grant)]).all()
        )
        return is_granted and bool(fits.any())

    def note_usage(self, task: Task, millicores: int, memory_mib: int) -> None:
        """Keep the highest usage of a task."""
        if millicores > task.peak_millicores:
            task.peak_millicores = millicores
        if memory_mib > task.peak_memory_mib:
            task.peak_memory_mib = memory_mib

    def note_end(self, task: Task, worker: Worker, end: TaskCompletion, is_completed: bool) -> None:
        """Learn from an attempt that ran."""
        spec = task.job.spec
        stats = self.stats(spec.organisation, spec.service)
        if task.peak_memory_mib or task.peak_millicores:
            stats.millicores.append(task.peak_millicores)
            stats.memory_mib.append(task.peak_memory_mib)
            task.peak_millicores = task.peak_memory_mib = 0
        if is_completed and end.run_time_s > 0:
            self._note_speed(stats, worker, end.run_time_s)
            speed = float(self._state.table.speed[worker.row])
            stats.run_times_s.append(end.run_time_s * speed)
        stats.sample_count += 1
        if stats.sample_count % _SUMMARISE_EVERY == 0:
            _summarise(stats)

    def _note_speed(self, stats: TemplateStats, worker: Worker, run_time_s: float) -> None:
        if stats.median_run_time_s <= 0:
            return
        table = self._state.table
        seen = stats.median_run_time_s / run_time_s
        speed = float(table.speed[worker.row])
        learnt = speed + _SPEED_WEIGHT * (seen - speed)
        table.speed[worker.row] = min(_MAX_SPEED, max(_MIN_SPEED, learnt))

    def run_time_s(self, job: Job) -> float:
        """Return the time after which most tasks of the job have ended."""
        spec = job.spec
        stats = self._stats_by_service.get((spec.organisation, spec.service))
        declared_s = job.service.run_time_s if spec.run_time_s is None else spec.run_time_s
        return stats.high_run_time_s if stats and stats.high_run_time_s else declared_s


def _summarise(stats: TemplateStats) -> None:
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
