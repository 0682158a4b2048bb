"""Seeded workloads for the policy benchmarks: declarations, workers and arrivals of jobs."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

import msgspec
import numpy as np

from redwingplank.config import (
    DeadlineClass,
    Declarations,
    Organisation,
    PlacementPolicyName,
    Service,
    Spread,
    WorkloadKind,
)
from redwingplank.core import Resources
from redwingplank.scheduling.messages import JobSpec
from redwingplank.standin.workers import TaskProgram

__all__ = ["WORKLOADS_BY_NAME", "Arrival", "WorkerPlan", "Workload", "make_workload"]

CORES = 1000  # in millicores
GIB = 1024  # in MiB
# Times of the two waves of cancellations, as fractions of the duration.
FIRST_WAVE_FRACTION, SECOND_WAVE_FRACTION = 0.4, 0.7
# Fractions of the bulk jobs that a wave cancels, and of the multi-task jobs that fit on no worker.
WAVE_CANCELLED_FRACTION = 0.3
NEVER_RUNNABLE_FRACTION = 0.01
RUN_TIME_SIGMA = 0.8  # of the lognormal distribution of run times
MAX_TASKS_PER_JOB = 64


@dataclass(frozen=True)
class WorkerPlan:
    """Name, rack, capacity and relative speed of one worker."""

    name: str
    rack: str
    capacity: Resources
    speed: float


@dataclass(frozen=True)
class Arrival:
    """A job, the time when it arrives, and the time when its caller cancels it, if it does."""

    at_s: float
    spec: JobSpec
    cancel_at_s: float | None = None


@dataclass(frozen=True)
class Workload:
    """Input of a run of the driver.

    Parameters
    ----------
    name : str
        Key of `WORKLOADS_BY_NAME`.
    declarations : Declarations
        Organisations and services.
    workers : tuple of WorkerPlan
        The workers that tasks run on.
    arrivals : tuple of Arrival
        The jobs in the order of their arrival.
    duration_s : float
        Length of the period in which jobs arrive, in seconds.
    """

    name: str
    declarations: Declarations
    workers: tuple[WorkerPlan, ...]
    arrivals: tuple[Arrival, ...]
    duration_s: float


@dataclass(frozen=True)
class _Kind:
    """The jobs of one service: fraction of the load, mean sizes and range of used resources."""

    organisation: str
    service: Service
    load_fraction: float
    mean_run_s: float
    mean_tasks: float
    used_fractions: tuple[float, float]


def make_workload(
    name: str,
    seed: int,
    policy: PlacementPolicyName,
    *,
    load: float = 0.8,
    duration_s: float = 300.0,
    workers: int = 24,
) -> Workload:
    """Return a workload; the arrivals do not depend on the policy.

    Parameters
    ----------
    name : str
        ``"bureau"`` or ``"cooperative"``.
    seed : int
        Seed of the random numbers.
    policy : PlacementPolicyName
        Placement policy of every service.
    load : float
        Offered processor time divided by the processor time of all workers.
    duration_s : float
        Length of the period in which jobs arrive, in seconds.
    workers : int
        Number of workers.
    """
    generator = np.random.default_rng(seed)
    make_plans, make_kinds = WORKLOADS_BY_NAME[name]
    plans = make_plans(generator, workers)
    kinds = [replace(kind, service=replace(kind.service, policy=policy)) for kind in make_kinds()]
    processors = sum(plan.capacity.millicores * plan.speed for plan in plans)
    arrivals: list[Arrival] = []
    for kind in kinds:
        if kind.service.kind is not WorkloadKind.SERVICE:
            arrivals += _make_arrivals(generator, kind, processors * load, duration_s)
    return Workload(
        name=name,
        declarations=_make_declarations(kinds),
        workers=plans,
        arrivals=tuple(sorted(arrivals, key=lambda arrival: arrival.at_s)),
        duration_s=duration_s,
    )


def _make_arrivals(
    generator: np.random.Generator, kind: _Kind, millicores: float, duration_s: float
) -> list[Arrival]:
    task_work = kind.service.resources.millicores * kind.mean_run_s * kind.mean_tasks
    job_count = max(1, round(millicores * kind.load_fraction * duration_s / task_work))
    times_s = np.sort(generator.uniform(0.0, duration_s, job_count))
    return [
        _make_arrival(generator, kind, index, float(at_s), duration_s)
        for index, at_s in enumerate(times_s)
    ]


def _make_arrival(
    generator: np.random.Generator, kind: _Kind, index: int, at_s: float, duration_s: float
) -> Arrival:
    run_s = float(generator.lognormal(-(RUN_TIME_SIGMA**2) / 2, RUN_TIME_SIGMA) * kind.mean_run_s)
    used_fraction = float(generator.uniform(*kind.used_fractions))
    task_count = round(kind.mean_tasks)
    if kind.service.kind is WorkloadKind.BATCH and kind.mean_tasks > 1:
        task_count = int(min(MAX_TASKS_PER_JOB, generator.geometric(1 / kind.mean_tasks)))
    resources = kind.service.resources
    program = TaskProgram(
        run_s=max(run_s, 0.05),
        used_millicores=round(resources.millicores * used_fraction),
        used_memory_mib=round(resources.memory_mib * used_fraction),
    )
    is_never_runnable = kind.mean_tasks > 1 and generator.random() < NEVER_RUNNABLE_FRACTION
    spec = JobSpec(
        job_id=f"{kind.organisation}-{kind.service.name}-{index}",
        organisation=kind.organisation,
        service=kind.service.name,
        task_count=task_count,
        resources=resources * 1000 if is_never_runnable else None,
        payload=msgspec.json.encode(program),
    )
    return Arrival(at_s, spec, _cancel_at_s(generator, kind, at_s, duration_s))


def _cancel_at_s(
    generator: np.random.Generator, kind: _Kind, at_s: float, duration_s: float
) -> float | None:
    is_in_wave = generator.random() < WAVE_CANCELLED_FRACTION
    if kind.service.deadline_class is not DeadlineClass.BULK or not is_in_wave:
        return None
    waves_s = (FIRST_WAVE_FRACTION * duration_s, SECOND_WAVE_FRACTION * duration_s)
    return next((wave_s for wave_s in waves_s if wave_s > at_s), None)


def _make_declarations(kinds: list[_Kind]) -> Declarations:
    services_by_organisation: dict[str, dict[str, Service]] = {}
    for kind in kinds:
        services = services_by_organisation.setdefault(kind.organisation, {})
        services[kind.service.name] = kind.service
    return Declarations(
        revision=1,
        organisations_by_name={
            name: Organisation(name, services_by_name=services)
            for name, services in services_by_organisation.items()
        },
    )


def _make_service(
    name: str, kind: WorkloadKind, deadline_class: DeadlineClass, resources: Resources, **values
) -> Service:
    start_within_s = {
        DeadlineClass.URGENT: 6.9,
        DeadlineClass.STANDARD: 120.0,
        DeadlineClass.BULK: 3600.0,
    }[deadline_class]
    priority = {
        DeadlineClass.URGENT: 900,
        DeadlineClass.STANDARD: 500,
        DeadlineClass.BULK: 100,
    }[deadline_class]
    return Service(
        name=name,
        template=name,
        kind=kind,
        priority=priority,
        deadline_class=deadline_class,
        start_within_s=start_within_s,
        resources=resources,
        **values,
    )


def _make_bureau_kinds() -> list[_Kind]:
    proof = _make_service(
        "proof",
        WorkloadKind.BATCH,
        DeadlineClass.URGENT,
        Resources(2 * CORES, 4 * GIB),
        run_time_s=4.0,
    )
    extraction = _make_service(
        "extraction",
        WorkloadKind.BATCH,
        DeadlineClass.BULK,
        Resources(4 * CORES, 6 * GIB),
        run_time_s=30.0,
        is_checkpointable=True,
    )
    watcher = _make_service(
        "watcher",
        WorkloadKind.SERVICE,
        DeadlineClass.STANDARD,
        Resources(1 * CORES, 2 * GIB),
        count=24,
        spread=Spread.RACK,
    )
    rehearsal = _make_service(
        "rehearsal",
        WorkloadKind.GANG,
        DeadlineClass.STANDARD,
        Resources(12 * CORES, 20 * GIB),
        run_time_s=20.0,
    )
    kinds = []
    for organisation, fraction in (("orchestra", 0.5), ("conservatory", 0.3), ("library", 0.2)):
        kinds += [
            _Kind(organisation, proof, 0.15 * fraction, 4.0, 1, (0.4, 1.0)),
            _Kind(organisation, extraction, 0.70 * fraction, 25.0, 16, (0.3, 1.2)),
            _Kind(organisation, watcher, 0.0, 0.0, 1, (0.5, 1.0)),
            _Kind(organisation, rehearsal, 0.15 * fraction, 20.0, 6, (0.6, 1.0)),
        ]
    return kinds


def _make_cooperative_kinds() -> list[_Kind]:
    quote = _make_service(
        "quote",
        WorkloadKind.BATCH,
        DeadlineClass.URGENT,
        Resources(1 * CORES, 2 * GIB),
        run_time_s=1.5,
    )
    estimate = _make_service(
        "estimate",
        WorkloadKind.BATCH,
        DeadlineClass.STANDARD,
        Resources(8 * CORES, 24 * GIB),
        run_time_s=15.0,
    )
    catalogue = _make_service(
        "catalogue",
        WorkloadKind.BATCH,
        DeadlineClass.BULK,
        Resources(6 * CORES, 30 * GIB),
        run_time_s=40.0,
        is_checkpointable=True,
    )
    kinds = []
    for organisation, fraction in (("asahikawa", 0.4), ("hakodate", 0.3), ("obihiro", 0.3)):
        kinds += [
            _Kind(organisation, quote, 0.25 * fraction, 1.5, 1, (0.4, 1.1)),
            _Kind(organisation, estimate, 0.45 * fraction, 12.0, 1, (0.3, 1.0)),
            _Kind(organisation, catalogue, 0.30 * fraction, 30.0, 8, (0.3, 1.1)),
        ]
    return kinds


def _make_plans(
    generator: np.random.Generator, count: int, memory_mib: int, rack_size: int
) -> tuple[WorkerPlan, ...]:
    speeds = generator.choice([0.5, 0.75, 1.0, 1.5, 2.0], size=count)
    return tuple(
        WorkerPlan(
            f"worker-{index:05d}",
            f"rack-{index // rack_size}",
            Resources(64 * CORES, memory_mib),
            float(speed),
        )
        for index, speed in enumerate(speeds)
    )


def _make_bureau_plans(generator: np.random.Generator, count: int) -> tuple[WorkerPlan, ...]:
    return _make_plans(generator, count, 128 * GIB, 8)


def _make_cooperative_plans(generator: np.random.Generator, count: int) -> tuple[WorkerPlan, ...]:
    return _make_plans(generator, count, 256 * GIB, 6)


MakePlans = Callable[[np.random.Generator, int], tuple[WorkerPlan, ...]]
MakeKinds = Callable[[], list[_Kind]]

WORKLOADS_BY_NAME: Mapping[str, tuple[MakePlans, MakeKinds]] = {
    "bureau": (_make_bureau_plans, _make_bureau_kinds),
    "cooperative": (_make_cooperative_plans, _make_cooperative_kinds),
}
