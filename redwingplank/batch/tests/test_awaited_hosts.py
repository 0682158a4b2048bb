"""Tests of tasks that wait for workers of earlier owners."""

import pytest

from redwingplank.batch.model import JobState
from redwingplank.batch.owner import JobOwner
from redwingplank.batch.settings import BatchSettings
from redwingplank.batch.tests.cells import make_cell, make_job, step

RESTART_BOUND_S = 8.0
"""A task that lasts has to run again after 7 s without a disruption; a change of owners that is
noticed late leaves 1 s more."""
LONG_LEASES = BatchSettings(lease_s=6.5, lease_limit_s=10.0)


def record_decisions(monkeypatch):
    """Return a list that the decisions of all owners made afterwards are added to."""
    decisions = []

    def make(self, settings, epoch, config, _log, init=JobOwner.__init__):
        init(
            self, settings, epoch, config, lambda event, **fields: decisions.append((event, fields))
        )

    monkeypatch.setattr(JobOwner, "__init__", make)
    return decisions


def make_cell_with_lasting_job(**values):
    """Return a cell of three workers, and a worker that runs one of the two tasks of job "a".

    Both tasks last, and each takes up a worker.
    """
    cell = make_cell(3, **values)
    cell.submit(make_job("a", step(2, 8000, is_lasting=True), queue="watch"))
    cell.run_for(1.0)
    hosts = [worker for worker in cell.workers.values() if worker.runs]
    assert len(hosts) == 2
    return cell, hosts[0]


def count_running(cell):
    return sum(len(worker.runs) for worker in cell.workers.values() if not worker.is_down)


class TestLog:
    # Guards against a takeover whose log does not tell which worker a late task had waited for.
    def test_names_the_silent_worker_and_the_longest_wait(self, monkeypatch):
        cell, host = make_cell_with_lasting_job()
        cell.take_down(host)
        decisions = record_decisions(monkeypatch)
        cell.replace_owner()
        cell.owner.log_unlisted_hosts(cell.now_s)
        (awaited,) = [fields for event, fields in decisions if event == "host_awaited"]
        assert awaited["worker"] == host.entry.worker_id
        assert awaited["tasks"] == 1
        waited_from_s = cell.now_s
        while not any(event == "host_free" for event, _ in decisions):
            cell.run_for(0.1)
        assert abs(cell.now_s - waited_from_s - awaited["remaining_s"]) < 0.2

    # Guards against a worker that is listed but does not answer, and is left out of the log.
    def test_names_a_listed_worker_that_does_not_answer(self, monkeypatch):
        cell, host = make_cell_with_lasting_job()
        host.faults.add("cut")
        decisions = record_decisions(monkeypatch)
        cell.replace_owner()
        cell.run_for(2.0)
        assert [fields["worker"] for event, fields in decisions if event == "host_awaited"] == [
            "w0"
        ]
        assert cell.state("a") is JobState.RUNNING


class TestLastingTasksAfterAChangeOfOwners:
    # Guards against a next owner that waits for longer than leases last after its predecessor.
    @pytest.mark.parametrize("died_before_s", [0.1, 2.0, 4.0])
    def test_start_again_in_time(self, died_before_s):
        cell, host = make_cell_with_lasting_job(settings=LONG_LEASES)
        cell.take_down(host)
        cell.run_for(died_before_s)
        cell.replace_owner()
        cell.run_for(RESTART_BOUND_S)
        assert count_running(cell) == 2
        assert cell.violations == []

    # Guards against the same if the worker and the owner are lost while the store serves nobody.
    def test_start_again_in_time_after_an_outage_of_the_store(self):
        cell, host = make_cell_with_lasting_job(settings=LONG_LEASES)
        cell.is_store_unavailable = True
        cell.run_for(0.3)
        cell.take_down(host)
        cell.run_for(2.5)
        cell.is_store_unavailable = False
        cell.replace_owner()
        cell.run_for(RESTART_BOUND_S)
        assert count_running(cell) == 2
        assert cell.violations == []

    # Guards against an owner whose wait adds to those of its predecessors.
    def test_start_again_in_time_after_two_changes(self):
        cell, host = make_cell_with_lasting_job(settings=LONG_LEASES)
        cell.take_down(host)
        for _ in range(2):
            cell.run_for(2.0)
            cell.replace_owner()
        cell.run_for(RESTART_BOUND_S)
        assert count_running(cell) == 2
        assert cell.violations == []
