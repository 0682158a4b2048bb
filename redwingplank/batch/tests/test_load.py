"""Patterns of load that the sites see: each with what the decisions have to make of it."""

from collections.abc import Iterator
from typing import Any

import pytest

from redwingplank.batch import placement
from redwingplank.batch.emulated_worker import Fault
from redwingplank.batch.emulator import EmulatedCell
from redwingplank.batch.model import JobSpec
from redwingplank.batch.tests.cells import make_config, make_job, make_worker, step

DOMAINS = ("a", "b", "c", "d")
PROOF_CORES = 1000


def make_domains_cell(workers_per_domain: int = 3) -> EmulatedCell:
    count = workers_per_domain * len(DOMAINS)
    workers = [make_worker(number, domain=DOMAINS[number % 4]) for number in range(count)]
    cell = EmulatedCell(make_config(), workers)
    cell.run_for(1.0)
    return cell


def proofs(cell: EmulatedCell, per_s: float, for_s: float) -> Iterator[JobSpec]:
    """Submit jobs of six short tasks at an even pace."""
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
    """Return how many jobs were not complete by their objective (1.5 times the work and 0.25 s)."""
    return sum(
        cell.completed_s_by_id.get(spec.job_id, float("inf")) > spec.submitted_unix_s + 1.75
        for spec in specs
    )


class TestOwnersChangeUnderLoad:
    """Small jobs keep coming while one owner after the other goes, and some workers are slow."""

    def play(self, *, is_told: bool) -> int:
        kinds = ("slow", "fast", "fast")
        workers = [
            make_worker(number, kind=kinds[number % 3], slowness=2.2 if number % 3 == 0 else 1.0)
            for number in range(12)
        ]
        cell = EmulatedCell(make_config(), workers)
        cell.run_for(1.0)
        list(proofs(cell, 6.0, 5.0))
        specs: list[JobSpec] = []
        for _ in range(4):
            if not is_told:
                cell.learned = b""
            cell.replace_owner()
            specs += proofs(cell, 6.0, 2.0)
        cell.run_for(5.0)
        assert not cell.violations
        return count_late(cell, specs)

    def test_each_owner_begins_with_what_the_last_one_learned(self):
        late, late_when_untold = self.play(is_told=True), self.play(is_told=False)
        assert late <= late_when_untold / 2


class TestDomainCutUnderSmallJobs:
    """Many jobs of a few short tasks run when a failure domain is cut off for 5 s."""

    def play(self) -> tuple[EmulatedCell, int]:
        cell = make_domains_cell()
        specs = list(proofs(cell, 10.0, 8.0))
        cut = [w for w in cell.workers.values() if w.entry.failure_domain == "b"]
        for worker in cut:
            worker.faults.add(Fault.CUT)
        specs += proofs(cell, 10.0, 5.0)
        for worker in cut:
            worker.faults.clear()
        specs += proofs(cell, 10.0, 4.0)
        cell.run_for(5.0)
        return cell, count_late(cell, specs)

    def test_fewer_jobs_wait_for_the_cut_domain(self, monkeypatch: pytest.MonkeyPatch):
        cell, late = self.play()
        assert not cell.violations
        assert len(cell.completed_s_by_id) == 170
        monkeypatch.setattr(placement.Placement, "home", lambda *_: "")
        _, late_when_spread = self.play()
        assert late <= late_when_spread / 2


class TestManyStepsAtFullWorkers:
    """Hundreds of workers are full while many steps wait: what a pass costs must not grow so."""

    WORKERS = 100
    STEPS = 40

    def count_fits(self, monkeypatch: pytest.MonkeyPatch, cell: EmulatedCell) -> int:
        """Return how often one pass asks whether a worker has room."""
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
