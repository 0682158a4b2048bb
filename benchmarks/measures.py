"""The three measures of a run: waiting time, packing and control cost."""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import fmean

from benchmarks.driver import DriverResult, PackingSample
from benchmarks.measure import LatencyHistogram
from benchmarks.workloads import Arrival, Workload
from redwingplank.config import DeadlineClass, Service, WorkloadKind
from redwingplank.standin.history import HistoryEventKind

__all__ = ["ControlCost", "Measures", "Packing", "Waiting", "measure_run"]

WARM_UP_FRACTION = 0.1  # fraction of the run that packing leaves out


@dataclass(frozen=True)
class Waiting:
    """Waiting time of one deadline class, from submission to the first start of each task.

    Parameters
    ----------
    tasks, late, never_started : int
        Number of tasks, of tasks that did not start within the time that their service allows,
        and of tasks that did not start at all.
    p50_s, p99_s, mean_s : float
        Waiting times of all tasks. A task that never started counts with its wait until the end
        of the run, or is left out if its caller cancels the job.
    """

    tasks: int
    late: int
    never_started: int
    p50_s: float
    p99_s: float
    mean_s: float


@dataclass(frozen=True)
class Packing:
    """Means over the run of the fractions that `PackingSample` describes."""

    reserved_millicores: float
    reserved_memory: float
    occupied_vms: float
    used_millicores: float
    used_memory: float
    fragmentation: float


@dataclass(frozen=True)
class ControlCost:
    """Cost of the decisions.

    Parameters
    ----------
    starts : int
        Number of attempts started.
    cpu_us_per_start : float
        Processor time of all ticks divided by the number of starts, in microseconds.
    cpu_fraction : float
        Processor time of all ticks divided by the duration of the run.
    tick_p99_ms : float
        99th percentile of the processor time of a tick, in milliseconds.
    bytes_per_s : float
        Size of messages with workers and of journal records per second of the run.
    store_writes_per_s : float
        Journal commits per second of the run.
    """

    starts: int
    cpu_us_per_start: float
    cpu_fraction: float
    tick_p99_ms: float
    bytes_per_s: float
    store_writes_per_s: float


@dataclass(frozen=True)
class Measures:
    """The three measures of one run."""

    waiting_by_class: dict[DeadlineClass, Waiting]
    packing: Packing
    control: ControlCost


def measure_run(workload: Workload, result: DriverResult) -> Measures:
    """Compute the three measures of a finished run."""
    return Measures(
        waiting_by_class=_measure_waiting(workload, result),
        packing=_measure_packing(workload, result),
        control=_measure_control(result),
    )


def _measure_waiting(workload: Workload, result: DriverResult) -> dict[DeadlineClass, Waiting]:
    started_at_s: dict[str, float] = {}
    for event in result.events:
        if event.kind is HistoryEventKind.TASK_STARTED:
            started_at_s.setdefault(event.subject, event.time_s)
    waits: dict[DeadlineClass, list[tuple[float, bool, bool]]] = {}
    for arrival in workload.arrivals:
        service = _find_service(workload, arrival)
        if service.kind is WorkloadKind.SERVICE or not _is_accepted(arrival, result):
            continue
        rows = waits.setdefault(service.deadline_class, [])
        rows += _iterate_waits(arrival, service, started_at_s, result.now_s)
    return {each: _summarise(rows) for each, rows in sorted(waits.items()) if rows}


def _iterate_waits(
    arrival: Arrival, service: Service, started_at_s: dict[str, float], now_s: float
) -> Iterable[tuple[float, bool, bool]]:
    for index in range(arrival.spec.task_count):
        at_s = started_at_s.get(f"{arrival.spec.job_id}/{index}")
        if at_s is None and arrival.cancel_at_s is not None:
            continue
        wait_s = (now_s if at_s is None else at_s) - arrival.at_s
        yield wait_s, at_s is None or wait_s > service.start_within_s, at_s is None


def _summarise(rows: list[tuple[float, bool, bool]]) -> Waiting:
    histogram = LatencyHistogram()
    for wait_s, _, _ in rows:
        histogram.record_s(max(0.0, wait_s))
    return Waiting(
        tasks=len(rows),
        late=sum(is_late for _, is_late, _ in rows),
        never_started=sum(has_not_started for _, _, has_not_started in rows),
        p50_s=histogram.percentile_s(50),
        p99_s=histogram.percentile_s(99),
        mean_s=fmean(wait_s for wait_s, _, _ in rows),
    )


def _measure_packing(workload: Workload, result: DriverResult) -> Packing:
    from_s = WARM_UP_FRACTION * workload.duration_s
    samples = [each for each in result.packing if from_s <= each.time_s <= workload.duration_s]
    names = [name for name in PackingSample.__dataclass_fields__ if name != "time_s"]
    return Packing(**{name: fmean(getattr(each, name) for each in samples) for name in names})


def _measure_control(result: DriverResult) -> ControlCost:
    starts = sum(event.kind is HistoryEventKind.TASK_STARTED for event in result.events)
    cpu_s = sum(result.tick_durations_s)
    histogram = LatencyHistogram()
    for duration_s in result.tick_durations_s:
        histogram.record_s(duration_s)
    total_bytes = result.request_bytes + result.report_bytes + result.journal_bytes
    return ControlCost(
        starts=starts,
        cpu_us_per_start=cpu_s * 1e6 / max(1, starts),
        cpu_fraction=cpu_s / result.now_s,
        tick_p99_ms=histogram.percentile_s(99) * 1e3,
        bytes_per_s=total_bytes / result.now_s,
        store_writes_per_s=result.journal_commits / result.now_s,
    )


def _find_service(workload: Workload, arrival: Arrival) -> Service:
    spec = arrival.spec
    service = workload.declarations.find_service(spec.organisation, spec.service)
    if service is None:
        raise KeyError(f"workload {workload.name} declares no service {spec.service!r}")
    return service


def _is_accepted(arrival: Arrival, result: DriverResult) -> bool:
    return result.outcomes_by_job.get(arrival.spec.job_id) in ("accepted", "duplicate", None)
