"""Builders of emulated cells, workers, jobs and steps for the tests."""

from redwingplank.batch.emulated_worker import EmulatedWorker
from redwingplank.batch.emulator import EmulatedCell
from redwingplank.batch.model import (
    Amounts,
    CellConfig,
    JobSpec,
    QueuePolicy,
    StepSpec,
    WorkerEntry,
)

PROOF = QueuePolicy("proof", "h", "/proof/", "render", 0, 4, 1.5, 0.25)
EXTRACT = QueuePolicy("extract", "h", "/extract/", "render", 2, 2, 2.2, 1.2)
WATCH = QueuePolicy("watch", "h", "/watch/", "render", 1, 3, 2.2, 2.5)
CORES_8 = Amounts(8000, 16000, 0)


def make_config(*queues: QueuePolicy) -> CellConfig:
    chosen = queues or (PROOF, EXTRACT, WATCH)
    return CellConfig(1, {queue.name: queue for queue in chosen})


def make_worker(
    number: int, capacity: Amounts = CORES_8, domain: str = "a", kind: str = "k", **values
) -> EmulatedWorker:
    name = f"w{number}"
    rack = f"r{number % 3}"
    entry = WorkerEntry(name, f"{name}:80", domain, "render", capacity, kind, rack, (kind,), 1)
    return EmulatedWorker(entry, **values)


def make_cell(
    worker_count: int = 4, seed: int = 0, config=None, clock_rates=(), **values
) -> EmulatedCell:
    """Return a cell that has run for a second; the clocks of workers may differ from the start."""
    workers = [make_worker(number) for number in range(worker_count)]
    for worker, rate in zip(workers, clock_rates, strict=False):
        worker.clock_offset_s, worker.clock_rate = 1000 * (rate - 1) - 50, rate
    cell = EmulatedCell(config or make_config(), workers, seed, **values)
    cell.run_for(1.0)
    return cell


def make_job(
    job_id: str, *steps: StepSpec, queue: str = "proof", at_s: float = 0.0, organisation: str = ""
) -> JobSpec:
    return JobSpec(job_id, queue, "payload", steps, at_s, organisation=organisation)


def step(count: int = 1, cpu: int = 2000, estimate_s: float = 0.5, **values) -> StepSpec:
    return StepSpec(count, Amounts(cpu, 1000, 0), estimate_s, **values)
