"""Cancelled jobs whose further occurrences fall due later, also for the next owner."""

from dataclasses import replace

import pytest

from redwingplank.batch.model import JobSpec, JobState
from redwingplank.batch.owner import JobOwner
from redwingplank.batch.settings import BatchSettings
from redwingplank.batch.tests.cells import make_config, make_job, step

ID = "a"
BEGIN_UNIX_S = 1_000_000.0
INTERVAL_S = 5.0
COUNT = 4


def make_repeated_job() -> JobSpec:
    job = make_job(ID, step())
    return replace(job, repeat_count=COUNT, first_run_unix_s=BEGIN_UNIX_S, interval_s=INTERVAL_S)


def make_owner(epoch: int) -> JobOwner:
    return JobOwner(BatchSettings(), epoch, make_config(), lambda *_, **__: None)


def cancel_at_first_owner(is_end_recorded: bool) -> bytes:
    """Cancel the job during its first occurrence; return its record before or after that."""
    owner = make_owner(1)
    owner.submit(make_repeated_job(), 0.0, BEGIN_UNIX_S)
    owner.tick(0.0, BEGIN_UNIX_S)
    owner.state.mark_dirty(owner.state.jobs_by_id[ID])
    (before,) = owner.pop_records(1)
    assert owner.cancel(ID, 1.0) is not None
    (after,) = owner.pop_records(1)
    return (after if is_end_recorded else before).value


class TestNextOwner:
    # Guards against occurrences of a cancelled job that start when they are due, for an owner whose
    # clock is ahead or behind.
    @pytest.mark.parametrize("is_end_recorded", [True, False])
    @pytest.mark.parametrize("ahead_s", [-7.0, -1.0, 0.0, 3.0, 7.0])
    def test_opens_no_occurrence_of_a_cancelled_job(self, is_end_recorded, ahead_s):
        record = cancel_at_first_owner(is_end_recorded)
        owner = make_owner(2)
        owner.restore_job(make_repeated_job(), record, 2.0, BEGIN_UNIX_S + 2.0 + ahead_s)
        if not is_end_recorded:
            assert owner.cancel(ID, 2.0, "cancellation_stored") is not None
        job = owner.state.jobs_by_id[ID]
        due_count = job.due_count
        for tenths in range(20, 400):
            owner.tick(tenths / 10, BEGIN_UNIX_S + tenths / 10 + ahead_s)
            assert not owner.state.open_steps
        assert (job.state, job.due_count) == (JobState.CANCELLED, due_count)

    # Guards against a test above that would pass whatever the owner does.
    def test_opens_those_of_another_one(self):
        owner = make_owner(1)
        owner.submit(make_repeated_job(), 0.0, BEGIN_UNIX_S)
        for tenths in range(400):
            owner.tick(tenths / 10, BEGIN_UNIX_S + tenths / 10)
        assert len(owner.state.open_steps) == COUNT
