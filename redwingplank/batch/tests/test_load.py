"""Tests of the scheduling decisions under load patterns that occur at the sites."""

import zlib
from collections.abc import Iterator
from typing import Any

import pytest

from redwingplank.batch import placement
from redwingplank.batch.emulated_worker import Fault
from redwingplank.batch.emulator import EmulatedCell
from redwingplank.batch.model import AdvicePolicy, Amounts, JobSpec, QueuePolicy, StepSpec
from redwingplank.batch.tests.cells import make_config, make_job, make_worker, step

DOMAINS = ("a", "b", "c", "d")
PROOF_CORES = 1000


def make_domains_cell(workers_per_domain: int = 3) -> EmulatedCell:
    count = workers_per_domain * len(DOMAINS)
    workers = [make_worker(number, domain=DOMAINS[number % 4]) for number in range(count)]
    cell = EmulatedCell(make_config(), workers)
    cell.run_for(1.0)
    return cell


def submit_proof_jobs(cell: EmulatedCell, per_s: float, for_s: float) -> Iterator[JobSpec]:
    """Submit jobs of six short tasks at a constant rate, and yield each one."""
    for _ in range(round(per_s * for_s)):
        spec = make_job(
            f"proof-{len(cell.specs_by_id)}",
            step(6, cpu=PROOF_CORES, estimate_s=1.0),
            at_s=cell.now_s,
        )
        cell.submit(spec)
        yield spec
        cell.run_for(1.0 / per_s)


def count_late(cell: EmulatedCell, specs: list[JobSpec]) -> int:
    """Return the number of jobs that were not complete by their objective.

    It is 1.75 s after the submission: 1.5 times the run time of 1 s, and 0.25 s.
    """
    return sum(
        cell.completed_s_by_id.get(spec.job_id, float("inf")) > spec.submitted_unix_s + 1.75
        for spec in specs
    )


class TestOwnersChangeUnderLoad:
    """A new owner must not assume that slow workers are fast.

    Small jobs arrive at a constant rate, every third worker is slow, and the owner changes four
    times. More jobs are late if the new owners do not restore the learned run times.
    """

    def run(self, *, is_restored: bool) -> int:
        kinds = ("slow", "fast", "fast")
        workers = [
            make_worker(number, kind=kinds[number % 3], slowness=2.2 if number % 3 == 0 else 1.0)
            for number in range(12)
        ]
        cell = EmulatedCell(make_config(), workers)
        cell.run_for(1.0)
        list(submit_proof_jobs(cell, 6.0, 5.0))
        specs: list[JobSpec] = []
        for _ in range(4):
            if not is_restored:
                cell.stored_speeds = b""
            cell.replace_owner()
            specs += submit_proof_jobs(cell, 6.0, 2.0)
        cell.run_for(5.0)
        assert not cell.violations
        return count_late(cell, specs)

    def test_each_owner_begins_with_what_the_last_one_learned(self):
        late, late_without_speeds = self.run(is_restored=True), self.run(is_restored=False)
        assert late <= late_without_speeds / 2


class TestDomainCutUnderSmallJobs:
    """A failure domain that is cut off must delay few of the running jobs.

    Many jobs of a few short tasks run when one domain is cut off for 5 s. A job that is spread over
    all domains waits for the runs on the unreachable workers.
    """

    def run(self) -> tuple[EmulatedCell, int]:
        cell = make_domains_cell()
        specs = list(submit_proof_jobs(cell, 10.0, 8.0))
        cut = [w for w in cell.workers.values() if w.entry.failure_domain == "b"]
        for worker in cut:
            worker.faults.add(Fault.CUT)
        specs += submit_proof_jobs(cell, 10.0, 5.0)
        for worker in cut:
            worker.faults.clear()
        specs += submit_proof_jobs(cell, 10.0, 4.0)
        cell.run_for(5.0)
        return cell, count_late(cell, specs)

    def test_fewer_jobs_wait_for_the_cut_domain(self, monkeypatch: pytest.MonkeyPatch):
        cell, late = self.run()
        assert not cell.violations
        assert len(cell.completed_s_by_id) == 170
        monkeypatch.setattr(placement.Placement, "preferred_domain", lambda *_: "")
        _, late_when_spread = self.run()
        assert late <= late_when_spread / 2


class TestManyStepsAtFullWorkers:
    """The cost of a pass must not grow with the product of workers and waiting tasks.

    Hundreds of workers may be full while many steps wait.
    """

    WORKERS = 100
    STEPS = 40

    def count_fits(self, monkeypatch: pytest.MonkeyPatch, cell: EmulatedCell) -> int:
        """Return the number of checks in one pass whether a task fits on a worker."""
        calls = 0
        fits = placement.Placement.fits

        def counted(*arguments: Any) -> bool:
            nonlocal calls
            calls += 1
            return fits(*arguments)

        with monkeypatch.context() as patch:
            patch.setattr(placement.Placement, "fits", counted)
            cell.owner.tick(cell.now_s, cell.now_s)
        return calls

    def make_cell(self) -> EmulatedCell:
        cell = EmulatedCell(make_config(), [make_worker(number) for number in range(self.WORKERS)])
        cell.run_for(1.0)
        return cell

    def test_a_pass_asks_no_worker_where_nothing_can_fit(self, monkeypatch: pytest.MonkeyPatch):
        cell = self.make_cell()
        full = step(4 * self.WORKERS, cpu=2000, estimate_s=30.0)
        cell.submit(make_job("full", full, at_s=cell.now_s))
        cell.run_for(1.0)
        for number in range(self.STEPS):
            cell.submit(make_job(f"waits-{number}", step(6, cpu=2000), at_s=cell.now_s))
        assert self.count_fits(monkeypatch, cell) == 0

    def test_a_step_asks_each_worker_once_and_not_for_each_task(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        cell = self.make_cell()
        tasks = 50
        cell.submit(make_job("wide", step(tasks, cpu=2000), at_s=cell.now_s))
        assert self.count_fits(monkeypatch, cell) <= self.WORKERS + tasks


class TestWideStepsUnderAdvice:
    """A step may need more workers than one call to the advice service names.

    Its tasks may not share workers, and the service allows only some of them for the step.
    """

    def test_every_task_of_a_wide_lasting_step_runs(self):
        queue = QueuePolicy(
            "watch", "h", "/watch/", "render", advice=AdvicePolicy(0.45, 0.0065, 2.5)
        )
        workers = [make_worker(number) for number in range(150)]
        cell = EmulatedCell(
            make_config(queue), workers, is_allowed=lambda _, worker: int(worker[1:]) % 2 == 0
        )
        cell.run_for(1.0)
        wide = step(60, cpu=2000, is_lasting=True, max_per_worker=1)
        cell.submit(make_job("wide", wide, queue="watch", at_s=cell.now_s))
        cell.run_for(8.0)
        assert sum(len(worker.runs) for worker in cell.workers.values()) == 60
        assert not cell.violations


class TestLargeGangsBesideSmallTasks:
    """Tasks of one GPU must not leave every worker without room for gangs of whole workers.

    The small tasks alone keep half of the GPUs busy. The service allows a gang only some workers.
    """

    WORKERS = 8

    def run(self) -> tuple[EmulatedCell, list[JobSpec]]:
        large = QueuePolicy(
            "large", "h", "/l/", "render", 1, 2, 2.2, 1.0, AdvicePolicy(0.5, 0.008, 2)
        )
        small = QueuePolicy(
            "small", "h", "/s/", "render", 2, 2, 4.0, 3.0, AdvicePolicy(0.1, 0.002, 2)
        )
        workers = [
            make_worker(number, capacity=Amounts(32000, 64000, 8)) for number in range(self.WORKERS)
        ]
        cell = EmulatedCell(
            make_config(large, small),
            workers,
            is_allowed=lambda key, worker: key.job_id[0] == "s"
            or zlib.crc32(f"{key.job_id}{worker}".encode()) % 2 == 0,
        )
        cell.run_for(1.0)
        gangs = []
        for number in range(60):
            tasks = StepSpec(8, Amounts(2800, 7400, 1), 2.4)
            cell.submit(make_job(f"small-{number}", tasks, queue="small", at_s=cell.now_s))
            if number % 4 == 2:
                gang = StepSpec(2, Amounts(15000, 23000, 8), 2.0, is_gang=True)
                gangs.append(make_job(f"gang-{number}", gang, queue="large", at_s=cell.now_s))
                cell.submit(gangs[-1])
            cell.run_for(0.6)
        cell.run_for(20.0)
        return cell, gangs

    def test_gangs_end_in_time(self):
        cell, gangs = self.run()
        assert not cell.violations
        times = [
            cell.completed_s_by_id.get(gang.job_id, float("inf")) - gang.submitted_unix_s
            for gang in gangs
        ]
        objective_s = 2.2 * 2.0 + 1.0
        assert sum(each <= objective_s for each in times) >= 0.8 * len(times)

    def test_small_tasks_are_not_starved(self):
        cell, _ = self.run()
        smalls = [spec for name, spec in cell.specs_by_id.items() if name.startswith("small")]
        late_s = 3 * (4.0 * 2.4 + 3.0)
        assert all(
            cell.completed_s_by_id[spec.job_id] - spec.submitted_unix_s <= late_s for spec in smalls
        )


class TestSlowKindAmongManyWorkers:
    """Urgent jobs must not end late on workers of a slow kind while fast ones have room.

    One call for advice names a part of the workers only, a third of them are slow, and the service
    allows two thirds of those that are named.
    """

    def count_late(self) -> tuple[int, int]:
        queue = QueuePolicy(
            "p", "h", "/p/", "render", 0, 4, 1.5, 0.3, AdvicePolicy(0.03, 0.0004, 2)
        )
        workers = [
            make_worker(number, kind="slow" if number % 3 == 0 else "fast", slowness=slowness)
            for number in range(150)
            for slowness in ([1.7] if number % 3 == 0 else [0.7])
        ]
        cell = EmulatedCell(
            make_config(queue),
            workers,
            is_allowed=lambda key, worker: zlib.crc32(f"{key.job_id}{worker}".encode()) % 3 != 0,
        )
        cell.run_for(1.0)
        specs = []
        for number in range(200):
            spec = make_job(
                f"job-{number}", step(8, cpu=4000, estimate_s=0.8), queue="p", at_s=cell.now_s
            )
            cell.submit(spec)
            specs.append(spec)
            cell.run_for(0.033)
        cell.run_for(6.0)
        assert not cell.violations
        measured = specs[40:]
        late = sum(
            cell.completed_s_by_id[spec.job_id] - spec.submitted_unix_s > 1.5 * 0.8 + 0.3
            for spec in measured
        )
        return late, len(measured)

    def test_few_jobs_are_late(self):
        late, count = self.count_late()
        assert late <= count / 20
