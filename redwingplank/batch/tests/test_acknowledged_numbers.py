"""Which completions a poll acknowledges while their effects are not stored."""

from dataclasses import replace

import pytest

from redwingplank.batch.model import CompletionKind, PollReport, RunCompletion, TaskId
from redwingplank.batch.owner import JobOwner
from redwingplank.batch.settings import BatchSettings
from redwingplank.batch.tests.cells import make_config, make_job, make_worker, step

NOW_S = 100.0
INTERVAL_S = 10.0


def ignore(*_arguments, **_fields):
    """Log nothing."""


def make_owner(spec, progress, now_unix_s=NOW_S, epoch=2):
    owner = JobOwner(BatchSettings(), epoch, make_config(), ignore)
    owner.restore_job(spec, progress, NOW_S, now_unix_s)
    owner.list_workers([make_worker(number).entry for number in range(2)], NOW_S)
    return owner


def report(owner, number, task, kind=CompletionKind.DONE, saved=""):
    """Let a worker list the completion of a run of an earlier owner."""
    completion = RunCompletion(1, task, 4096 + number, kind, saved)
    worker = owner.state.workers_by_id[f"w{number}"]
    owner.apply_report(worker, PollReport(1000, 1, (), (completion,)), NOW_S, NOW_S)


def acknowledged(owner, number):
    worker = owner.state.workers_by_id[f"w{number}"]
    return owner.next_poll(worker, NOW_S, leases_until_s=NOW_S).acknowledged_number


def store(owner):
    records = owner.pop_records(28)
    owner.confirm_stored_records(records, NOW_S)
    return records[-1].value


class TestOccurrenceThatIsNotDue:
    # Guards against a completion that an owner whose clock is behind acknowledges, because it does
    # not know the occurrence that an earlier owner has started.
    def test_its_completion_waits_for_the_store(self):
        spec = replace(
            make_job("a", step(1)),
            repeat_count=2,
            first_run_unix_s=NOW_S,
            interval_s=INTERVAL_S,
        )
        first = make_owner(spec, None, NOW_S + INTERVAL_S, epoch=1)
        for number in range(2):
            report(first, number, TaskId("a", number, 0, 0), CompletionKind.FAILED)
        owner = make_owner(spec, store(first), NOW_S - INTERVAL_S)
        report(owner, 0, TaskId("a", 1, 0, 0))
        assert acknowledged(owner, 0) == 0
        store(owner)
        assert acknowledged(owner, 0) == 1


class TestCompletionThatChangesNothing:
    # Guards against the completion of a copy that is acknowledged before that of the other one is
    # stored: only the latter is lost with its worker, and the task starts again.
    @pytest.mark.parametrize("kind", list(CompletionKind))
    def test_waits_for_the_completion_of_the_other_copy(self, kind):
        owner = make_owner(make_job("a", step(2, may_copy=True)), None)
        task = TaskId("a", 0, 0, 0)
        report(owner, 0, task)
        report(owner, 1, task, kind, "half")
        assert (acknowledged(owner, 0), acknowledged(owner, 1)) == (0, 0)
        store(owner)
        assert (acknowledged(owner, 0), acknowledged(owner, 1)) == (1, 1)

    # Guards against one of an ended job that is acknowledged before the end is stored.
    @pytest.mark.parametrize("kind", list(CompletionKind))
    def test_waits_for_the_end_of_its_job(self, kind):
        owner = make_owner(make_job("a", step(2)), None)
        owner.cancel("a", NOW_S)
        report(owner, 0, TaskId("a", 0, 0, 1), kind)
        assert acknowledged(owner, 0) == 0
        store(owner)
        assert acknowledged(owner, 0) == 1
