"""Jobs whose queue is removed from the configuration, put back or changed, in an emulated cell.

Failure: while the queue is away the limit of attempts is unknown, and a limit of one is assumed.
"""

from dataclasses import replace

import pytest

from redwingplank.batch.emulated_worker import Fault
from redwingplank.batch.emulator import EmulatedCell
from redwingplank.batch.model import JobState, QueuePolicy
from redwingplank.batch.tests.cells import EXTRACT, PROOF, make_cell, make_job, step

RETRIES_S = 16.0
"""Longer than a worker is avoided after failures."""


def make_running_cell(queue: QueuePolicy, **values) -> EmulatedCell:
    """Return a cell with a job that has begun to run."""
    cell = make_cell()
    cell.set_queues(queue, EXTRACT)
    cell.submit(make_job("a", step(estimate_s=5.0, **values), at_s=cell.now_s))
    cell.run_for(0.3)
    assert cell.starts
    return cell


def fail_runs(cell: EmulatedCell, duration_s: float = 0.3) -> None:
    """Let all runs of the next `duration_s` end as failed."""
    for worker in cell.workers.values():
        worker.faults.add(Fault.FAIL_ALL)
    cell.run_for(duration_s)
    for worker in cell.workers.values():
        worker.faults.discard(Fault.FAIL_ALL)
    cell.run_for(0.5)


def failure_count(cell: EmulatedCell) -> int:
    steps = cell.owner.state.jobs_by_id["a"].steps_by_key.values()
    return sum(task.failures for each in steps for task in each.tasks)


class TestQueueThatIsAway:
    # Guards against a job that is shown as failed after one of several attempts.
    @pytest.mark.parametrize("max_attempts", [2, 4])
    @pytest.mark.parametrize("count", [1, 3])
    @pytest.mark.parametrize("is_owner_replaced", [False, True])
    def test_a_failed_run_leaves_the_job_its_other_attempts(
        self, max_attempts, count, is_owner_replaced
    ):
        queue = replace(PROOF, max_attempts=max_attempts)
        cell = make_running_cell(queue, count=count)
        cell.set_queues(EXTRACT)
        fail_runs(cell)
        if is_owner_replaced:
            cell.replace_owner()
            cell.run_for(1.0)
        assert cell.state("a") is JobState.RUNNING
        assert failure_count(cell) == count
        cell.set_queues(queue, EXTRACT)
        cell.run_for(RETRIES_S)
        assert cell.state("a") is JobState.COMPLETED
        assert cell.starts == 2 * count
        assert cell.violations == []

    # Guards against an end that only a new owner learns, whose limit is unknown from the beginning.
    def test_a_failure_that_a_new_owner_finds_is_not_the_last(self):
        cell = make_running_cell(PROOF, count=2)
        for worker in cell.workers.values():
            worker.faults.update((Fault.CUT, Fault.FAIL_ALL))
        cell.run_for(0.1)
        cell.set_queues(EXTRACT)
        cell.replace_owner()
        for worker in cell.workers.values():
            worker.faults.clear()
        cell.run_for(2.0)
        assert cell.state("a") is JobState.RUNNING
        cell.set_queues(PROOF, EXTRACT)
        cell.run_for(RETRIES_S)
        assert cell.state("a") is JobState.COMPLETED

    # Guards against the same for a gang, whose failures are counted together.
    def test_a_gang_keeps_its_other_attempts(self):
        cell = make_running_cell(PROOF, count=3, is_gang=True)
        cell.set_queues(EXTRACT)
        fail_runs(cell)
        assert cell.state("a") is JobState.RUNNING
        cell.set_queues(PROOF, EXTRACT)
        cell.run_for(RETRIES_S)
        assert cell.state("a") is JobState.COMPLETED

    # Guards against starts beyond the limit, because the last failure was not judged.
    @pytest.mark.parametrize("is_owner_replaced", [False, True])
    def test_a_job_without_attempts_left_fails_when_the_queue_is_back(self, is_owner_replaced):
        queue = replace(PROOF, max_attempts=1)
        cell = make_running_cell(queue)
        cell.set_queues(EXTRACT)
        fail_runs(cell)
        assert cell.state("a") is JobState.RUNNING
        if is_owner_replaced:
            cell.config = replace(cell.config, queues_by_name={"proof": queue})
            cell.replace_owner()
        else:
            cell.set_queues(queue, EXTRACT)
        cell.run_for(RETRIES_S)
        assert cell.state("a") is JobState.FAILED
        assert cell.starts == 1

    def test_a_job_of_a_queue_that_stays_away_waits(self):
        cell = make_running_cell(PROOF)
        cell.set_queues(EXTRACT)
        fail_runs(cell)
        cell.run_for(RETRIES_S)
        assert cell.state("a") is JobState.RUNNING
        assert cell.starts == 1

    # Guards against an order by an objective without the stretch and the target of the queue.
    def test_the_objective_is_that_of_the_queue_that_came_back(self):
        cell = make_cell()
        cell.set_queues(EXTRACT)
        cell.submit(make_job("a", step(), at_s=cell.now_s))
        without_queue_s = cell.owner.state.jobs_by_id["a"].objective_s
        cell.set_queues(PROOF, EXTRACT)
        objective_s = cell.owner.state.jobs_by_id["a"].objective_s
        assert objective_s == pytest.approx(without_queue_s + 0.5 * (PROOF.stretch - 1) + 0.25)


class TestChangedLimit:
    # Guards against a start after as many failures as the queue allows since the change.
    def test_a_lowered_limit_ends_a_job_that_has_reached_it(self):
        cell = make_running_cell(PROOF)
        fail_runs(cell, 0.1)
        assert failure_count(cell)
        starts = cell.starts
        cell.set_queues(replace(PROOF, max_attempts=1), EXTRACT)
        cell.run_for(RETRIES_S)
        assert cell.state("a") is JobState.FAILED
        assert cell.starts == starts
