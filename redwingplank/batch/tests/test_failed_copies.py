"""Failures of a task of which two runs exist at the same time."""

from redwingplank.batch.emulated_worker import Fault
from redwingplank.batch.model import JobState
from redwingplank.batch.tests.cells import make_cell, make_job, step


def fail_copy_before_the_first_run(cell):
    """Let both runs of a task fail, the later one first; no worker takes another one."""
    cell.submit(
        make_job("a", step(1, estimate_s=9.0, may_copy=True), queue="extract", at_s=cell.now_s)
    )
    cell.run_for(0.5)
    first = next(worker for worker in cell.workers.values() if worker.runs)
    other = next(worker for worker in cell.workers.values() if worker is not first)
    first.faults.add(Fault.CUT)
    while not other.runs:
        cell.run_for(0.02)
    other.faults |= {Fault.FAIL_ALL, Fault.REFUSE}
    cell.run_for(1.0)
    first.faults |= {Fault.FAIL_ALL, Fault.REFUSE}
    cell.run_for(0.1)
    assert list(cell.failure_counts.values()) == [2]
    return first, other


class TestFailedCopies:
    # Guards against a failure that is acknowledged and not counted, because a later run of the task
    # failed before: the task is started after its attempts are used up.
    def test_are_counted_in_any_order(self):
        cell = make_cell(2)
        for worker in fail_copy_before_the_first_run(cell):
            worker.faults.clear()
        cell.run_for(3.0)
        assert (cell.state("a"), cell.starts) == (JobState.FAILED, 2)

    # Guards against a failure that is counted again by the next owner, which sees it listed again.
    def test_are_counted_once_over_owners(self):
        cell = make_cell(1)
        (worker,) = cell.workers.values()
        cell.submit(make_job("a", step(1, may_copy=True), queue="extract", at_s=cell.now_s))
        cell.run_for(0.1)
        worker.faults |= {Fault.FAIL_ALL, Fault.REFUSE}
        job = cell.owner.state.jobs_by_id["a"]
        (task,) = job.steps_by_key[next(iter(job.steps_by_key))].tasks
        while not task.failures or job.stored_version < job.version:
            cell.run_for(0.02)
        assert worker.ends
        cell.replace_owner()
        worker.faults.clear()
        cell.run_for(3.0)
        assert (cell.state("a"), cell.starts) == (JobState.COMPLETED, 2)
