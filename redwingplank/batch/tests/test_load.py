"""Patterns of load that the sites see: each with what the decisions have to make of it."""

from collections.abc import Iterator

import pytest

from redwingplank.batch import placement
from redwingplank.batch.emulator import EmulatedCell, Fault
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
