"""Polls that fail just after a start, in virtual time: what is stored of the run."""

import asyncio

import pytest

from redwingplank.cell.tests.test_worker_slots import Owner
from redwingplank.platform.site.http import NoAnswerError, NotSentError
from redwingplank.standin.virtual_time import run_virtual


async def poll_after_start(monkeypatch, error: Exception) -> tuple[bool, bool]:
    """Let a poll fail after a start.

    Returns
    -------
    tuple of bool
        Whether the worker is unreachable, and whether the begin of the run is to be stored.
    """
    owner = Owner(monkeypatch)

    async def fail(*_):
        raise error

    run = owner.starts[0]
    await owner.commands.start(run)
    monkeypatch.setattr(owner.workers, "poll", fail)
    owner.poller.poll_now(run.worker)
    await asyncio.sleep(0.1)
    await owner.tasks.stop()
    job = owner.owner.state.jobs_by_id["a"]
    had_begun = job.steps_by_key[run.task_id.step_key].had_begun(run.incarnation, run.task_id)
    return run.worker.is_unreachable, had_begun and "a" in owner.owner.state.dirty_jobs


class TestPollsAfterAStart:
    # Guards against a crash under a task that the next owner can't tell from one after its end.
    def test_that_are_broken_off_store_the_begin(self, monkeypatch):
        found = run_virtual(poll_after_start(monkeypatch, NoAnswerError("reset", is_broken=True)))
        assert found == (True, True)

    # Guards against a worker that is only cut off being taken for one that crashed.
    @pytest.mark.parametrize("error", [NoAnswerError("time-out"), NotSentError("no connection")])
    def test_that_only_time_out_store_nothing(self, monkeypatch, error):
        assert run_virtual(poll_after_start(monkeypatch, error)) == (True, False)
