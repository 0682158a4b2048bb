"""Workers with more completions than one report lists, in emulated cells.

Failure: an owner takes a list that may be cut for the whole one, and starts tasks again whose
completions come with a later report.
"""

import pytest

from redwingplank.batch.emulated_worker import Fault
from redwingplank.batch.emulator import EmulatedCell
from redwingplank.batch.model import Amounts, JobState
from redwingplank.batch.reports import MAX_LISTED_COMPLETIONS
from redwingplank.batch.tests.cells import make_cell, make_config, make_job, make_worker, step

SMALL_MILLICORES = 10
BEFORE_LEASES_END_S = 3.0
AFTER_LEASES_END_S = 14.0
"""Longer than the leases of earlier owners may last after a new owner has begun."""
AFTER_AVOIDANCE_S = 20.0
"""Longer than a worker is avoided after failures."""


def make_cell_with_completions(per_worker: int, worker_count: int = 2) -> EmulatedCell:
    """Return a cell in which one job has ended everywhere, and the owner knows of none of it."""
    capacity = Amounts(SMALL_MILLICORES * per_worker, 10**9, 0)
    workers = [make_worker(number, capacity) for number in range(worker_count)]
    cell = EmulatedCell(make_config(), workers)
    cell.run_for(1.0)
    count = worker_count * per_worker
    cell.submit(make_job("a", step(count, SMALL_MILLICORES, estimate_s=1.0)))
    while cell.starts < count:
        cell.run_for(0.1)
    cut_off(cell)
    cell.run_for(1.5)
    assert [len(worker.ends) for worker in cell.workers.values()] == [per_worker] * worker_count
    return cell


def cut_off(cell: EmulatedCell) -> None:
    for worker in cell.workers.values():
        worker.faults.add(Fault.CUT)


def reconnect(cell: EmulatedCell) -> None:
    for worker in cell.workers.values():
        worker.faults.clear()


def assert_ran_once(cell: EmulatedCell, count: int) -> None:
    assert cell.state("a") is JobState.COMPLETED
    assert cell.violations == []
    assert cell.starts == count


class TestNewOwner:
    @pytest.mark.parametrize(
        "per_worker",
        [
            MAX_LISTED_COMPLETIONS - 1,
            MAX_LISTED_COMPLETIONS,
            MAX_LISTED_COMPLETIONS + 1,
            750,
            2 * MAX_LISTED_COMPLETIONS,
            1300,
        ],
    )
    def test_starts_nothing_that_a_later_report_shows_as_done(self, per_worker):
        cell = make_cell_with_completions(per_worker)
        reconnect(cell)
        cell.replace_owner()
        cell.run_for(BEFORE_LEASES_END_S)
        assert_ran_once(cell, 2 * per_worker)

    # Guards against waiting by time alone: this owner has renewed the leases meanwhile.
    def test_waits_while_the_store_keeps_it_from_acknowledging(self):
        cell = make_cell_with_completions(750)
        reconnect(cell)
        cell.replace_owner()
        cell.is_store_unavailable = True
        cell.run_for(AFTER_LEASES_END_S)
        cell.is_store_unavailable = False
        cell.run_for(BEFORE_LEASES_END_S)
        assert_ran_once(cell, 1500)

    # Guards against a record which says that a worker runs nothing, as it had listed nothing more.
    def test_is_followed_by_one_that_knows_what_was_not_listed_yet(self):
        cell = make_cell_with_completions(750)
        reconnect(cell)
        for _ in range(4):
            cell.replace_owner()
            cell.run_for(0.4)
        cell.run_for(BEFORE_LEASES_END_S)
        assert_ran_once(cell, 1500)

    # Guards against the same for a worker that did not answer the first poll of this owner.
    def test_waits_for_a_worker_that_answers_late(self):
        cell = make_cell_with_completions(750)
        cell.replace_owner()
        cell.run_for(0.8)
        assert all(worker.is_unreachable for worker in cell.owner.state.workers_by_id.values())
        reconnect(cell)
        cell.run_for(0.4)
        cell.replace_owner()
        cell.run_for(BEFORE_LEASES_END_S)
        assert_ran_once(cell, 1500)

    # Guards against taking a worker for a new, empty process because its published entry is old.
    def test_waits_for_a_worker_whose_entry_is_of_an_earlier_process(self):
        cell = make_cell(0)
        worker = make_worker(0, Amounts(SMALL_MILLICORES * 750, 10**9, 0))
        cell.workers["w0"] = worker
        old_entry = worker.entry
        worker.crash(2)
        cell._poll("w0")
        cell.run_for(1.0)
        cell.submit(make_job("a", step(750, SMALL_MILLICORES, estimate_s=1.0)))
        while cell.starts < 750:
            cell.run_for(0.1)
        worker.faults.add(Fault.CUT)
        cell.run_for(1.5)
        worker.faults.clear()
        new_entry, worker.entry = worker.entry, old_entry
        cell.replace_owner()
        worker.entry = new_entry
        cell.run_for(BEFORE_LEASES_END_S)
        assert_ran_once(cell, 750)

    # Guards against attempts beyond the limit, whose earlier failures a later report shows.
    def test_counts_failures_that_a_later_report_shows(self):
        cell = make_cell_with_completions(750, worker_count=1)
        worker = cell.workers["w0"]
        failed = [end._replace(kind=end.kind.FAILED) for end in worker.ends[600:]]
        worker.ends[600:] = failed
        worker.ended_done.difference_update(end.task for end in failed)
        reconnect(cell)
        cell.replace_owner()
        cell.run_for(AFTER_AVOIDANCE_S)
        assert_ran_once(cell, 750 + len(failed))


class TestUnreachableWorker:
    # Guards against an owner that never starts anything on a worker whose list was cut once.
    def test_is_used_again_after_its_list_was_whole(self):
        cell = make_cell_with_completions(750)
        reconnect(cell)
        cell.replace_owner()
        cell.run_for(BEFORE_LEASES_END_S)
        cell.submit(make_job("b", step(20, SMALL_MILLICORES, estimate_s=0.2)))
        cell.run_for(2.0)
        assert cell.state("b") is JobState.COMPLETED

    # Guards against tasks that wait for ever for a worker that went away before its list was whole.
    def test_is_given_up_once_every_lease_has_expired(self):
        cell = make_cell_with_completions(750)
        reconnect(cell)
        cell.is_store_unavailable = True
        cell.replace_owner()
        cell.run_for(1.0)
        lost = cell.workers["w0"]
        cell.take_down(lost)
        cell.is_store_unavailable = False
        cell.run_for(AFTER_LEASES_END_S + 10.0)
        assert cell.state("a") is JobState.COMPLETED
        assert cell.violations == []

    # Guards against forgetting the lease that this owner has granted, together with the worker.
    def test_is_waited_for_while_its_lease_lasts_although_it_is_not_listed(self):
        cell = make_cell_with_completions(750)
        full_workers = list(cell.workers.values())
        cell.workers["w9"] = make_worker(9, Amounts(20 * SMALL_MILLICORES, 10**9, 0))
        cell._poll("w9")
        reconnect(cell)
        cell.lost_write_fraction = 1.0
        cell.replace_owner()
        cell.run_for(9.0)
        for worker in full_workers:
            worker.faults.add(Fault.CUT)
            worker.is_listed = False
        cell.run_for(2.0)
        cell.lost_write_fraction = 0.0
        cell.run_for(1.0)
        for worker in full_workers:
            worker.is_listed = True
        reconnect(cell)
        cell.run_for(BEFORE_LEASES_END_S)
        assert_ran_once(cell, 1500)
