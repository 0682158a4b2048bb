"""Starts that wait to be sent, in the decisions of an owner."""

from redwingplank.batch.owner import JobOwner
from redwingplank.batch.runs import Run, RunState
from redwingplank.batch.tests.cells import make_cell, make_job, step

NOW_S = 200.0


def make_owner() -> tuple[JobOwner, Run]:
    """Return an owner, and a run that it has planned and not yet stored."""
    cell = make_cell(1)
    cell.submit(make_job("a", step(1), at_s=cell.now_s))
    cell.owner.tick(cell.now_s, cell.now_s)
    (run,) = cell.owner.state.jobs_by_id["a"].runs()
    return cell.owner, run


def store(owner: JobOwner) -> list[Run]:
    """Store all records, and return the starts that may be sent then."""
    owner.confirm_stored_records(owner.pop_records(10), NOW_S)
    return owner.tick(NOW_S, NOW_S).starts


class TestQueuedStart:
    # Guards against a second command for a run that waits, which may fail after the first one was
    # carried out, so that the task would be started elsewhere.
    def test_is_commanded_once_however_often_its_job_is_stored(self):
        owner, run = make_owner()
        assert store(owner) == [run]
        owner.state.mark_dirty(owner.state.jobs_by_id["a"])
        assert run.state is RunState.PLANNED
        assert store(owner) == []

    def test_can_be_withdrawn_until_it_is_sent(self):
        owner, run = make_owner()
        store(owner)
        owner.withdraw_start(run, NOW_S)
        assert owner.state.jobs_by_id["a"].runs() == []

    def test_cannot_be_withdrawn_once_it_is_sent(self):
        owner, run = make_owner()
        store(owner)
        assert owner.mark_start_sent(run, NOW_S)
        owner.withdraw_start(run, NOW_S)
        assert owner.state.jobs_by_id["a"].runs() == [run]
