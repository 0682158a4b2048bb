"""Tests of tasks that wait for workers of earlier owners."""

from redwingplank.batch.model import JobState
from redwingplank.batch.owner import JobOwner
from redwingplank.batch.tests.cells import make_cell, make_job, step


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
    """Return a cell in which the two tasks of job "a" last, each on a worker of its own."""
    cell = make_cell(2, **values)
    cell.submit(make_job("a", step(2, 8000, is_lasting=True), queue="watch"))
    cell.run_for(1.0)
    assert sorted(len(worker.runs) for worker in cell.workers.values()) == [1, 1]
    return cell


class TestLog:
    # Guards against a takeover whose log does not tell which worker a late task had waited for.
    def test_names_the_silent_worker_and_the_longest_wait(self, monkeypatch):
        cell = make_cell_with_lasting_job()
        cell.take_down(cell.workers["w0"])
        decisions = record_decisions(monkeypatch)
        cell.replace_owner()
        cell.owner.log_unlisted_hosts(cell.now_s)
        (awaited,) = [fields for event, fields in decisions if event == "host_awaited"]
        assert awaited["worker"] == "w0"
        assert awaited["tasks"] == 1
        waited_from_s = cell.now_s
        while not any(event == "host_free" for event, _ in decisions):
            cell.run_for(0.1)
        assert abs(cell.now_s - waited_from_s - awaited["remaining_s"]) < 0.2

    # Guards against a worker that is listed but does not answer, and is left out of the log.
    def test_names_a_listed_worker_that_does_not_answer(self, monkeypatch):
        cell = make_cell_with_lasting_job()
        cell.workers["w0"].faults.add("cut")
        decisions = record_decisions(monkeypatch)
        cell.replace_owner()
        cell.run_for(2.0)
        assert [fields["worker"] for event, fields in decisions if event == "host_awaited"] == [
            "w0"
        ]
        assert cell.state("a") is JobState.RUNNING
