"""Tests of runs that ended before their worker crashed, of which no owner was told in time."""

import pytest

from redwingplank.batch.emulated_crashes import CrashingTasks
from redwingplank.batch.emulated_worker import Fault
from redwingplank.batch.model import JobState
from redwingplank.batch.tests.cells import make_cell, make_job, step

ROUNDS = 7
"""More losses in a row than the crashes after which a task is given up."""
DOWN_S = 3.7
SETTLE_S = 40.0


def find_host(cell):
    """Return the worker that runs the only task, None while none does."""
    return next((worker for worker in cell.workers.values() if worker.runs), None)


def await_host(cell):
    """Advance the time until the only task runs, and return its worker."""
    until_s = cell.now_s + SETTLE_S
    while (host := find_host(cell)) is None and cell.now_s < until_s:
        cell.run_for(0.02)
        assert cell.state("a") is JobState.RUNNING
    assert host is not None, "the task was not started"
    return host


def await_end(cell, host):
    """Advance the time until the run on a worker has ended."""
    while host.runs:
        cell.run_for(0.02)
    assert [end.kind.name for end in host.ends] == ["DONE"]


def end_unheard(cell, host):
    """Let a run end while the owner hears nothing, and replace the owner."""
    cell.run_for(0.1)
    host.faults.add(Fault.CUT)
    await_end(cell, host)
    cell.replace_owner()


def end_unstored(cell, host):
    """Let a run end while the store refuses the owner, which hears of it, and replace the owner."""
    cell.is_store_refusing_owner = True
    await_end(cell, host)
    cell.run_for(0.4)
    cell.replace_owner()


def end_behind_a_cut(cell, host):
    """Let a run end while its worker is cut off from an owner that stays."""
    cell.run_for(0.1)
    host.faults.add(Fault.CUT)
    await_end(cell, host)
    cell.run_for(1.0)


def lose(cell, host, *, keeps_id):
    """Let a worker crash and come back."""
    cell.take_down(host)
    host.faults.clear()
    cell.run_for(DOWN_S)
    cell.bring_back(host, keeps_id=keeps_id)


def find_task_counts(cell):
    """Return the crashes of the only task of job "a", the proven ones, and those nobody saw."""
    (only_step,) = cell.owner.state.jobs_by_id["a"].steps_by_key.values()
    (task,) = only_step.tasks
    return task.crashes, task.proven_crashes, task.unseen_crashes


class TestRunsThatEndedBeforeTheirWorkersCrashed:
    # Guards against a job that is shown as failed although no worker crashed under its task.
    @pytest.mark.parametrize("end", [end_unheard, end_unstored, end_behind_a_cut])
    @pytest.mark.parametrize("estimate_s", [0.3, 0.6, 1.5])
    @pytest.mark.parametrize("keeps_id", [False, True], ids=["new id", "same id"])
    @pytest.mark.parametrize("values", [{}, {"saves": True}, {"is_gang": True}])
    def test_do_not_fail_their_job(self, end, estimate_s, keeps_id, values):
        cell = make_cell(8)
        cell.submit(make_job("a", step(1, estimate_s=estimate_s, **values), at_s=cell.now_s))
        cell.run_for(0.1)
        for _ in range(ROUNDS):
            host = await_host(cell)
            end(cell, host)
            lose(cell, host, keeps_id=keeps_id)
        cell.run_for(SETTLE_S)
        assert cell.state("a") is JobState.COMPLETED
        assert cell.violations == []

    # Guards against a poll that was broken off being taken for a crash under a run that went on.
    def test_do_not_fail_their_job_after_a_reset_of_their_connections(self):
        cell = make_cell(8)
        cell.submit(make_job("a", step(1, estimate_s=1.5), at_s=cell.now_s))
        cell.run_for(0.1)
        for _ in range(ROUNDS):
            host = await_host(cell)
            cell.run_for(0.04)
            known = cell.owner.state.workers_by_id[host.entry.worker_id]
            cell.owner.mark_worker_unreachable(known, cell.now_s, is_broken_off=True)
            cell.run_for(0.6)
            assert not known.is_unreachable
            end_unheard(cell, host)
            lose(cell, host, keeps_id=False)
        cell.run_for(SETTLE_S)
        assert cell.state("a") is JobState.COMPLETED
        assert cell.violations == []

    # Guards against seen crashes that make up for those that nobody saw, or the reverse.
    def test_count_only_beside_two_crashes_under_their_task(self):
        cell = make_cell(8)
        cell.submit(make_job("a", step(1, estimate_s=1.5), at_s=cell.now_s))
        cell.run_for(0.1)
        for is_seen in (False, False, False, True, False):
            host = await_host(cell)
            if is_seen:
                cell.run_for(1.0)
            else:
                end_unheard(cell, host)
            lose(cell, host, keeps_id=False)
        await_host(cell)
        assert find_task_counts(cell) == (5, 1, 4)
        cell.run_for(SETTLE_S)
        assert cell.state("a") is JobState.COMPLETED


class TestTasksThatCrashTheirWorkersAsOwnersAreLost:
    # Guards against a task without a bound, as each crash of its workers also loses the owner.
    @pytest.mark.parametrize("values", [{}, {"is_gang": True}, {"is_lasting": True}])
    @pytest.mark.parametrize("lost_after_s", [0.02, 0.1, 1.0, 3.0])
    def test_are_given_up(self, values, lost_after_s):
        cell = make_cell(8)
        tasks = CrashingTasks(cell, lambda task: task.position == 0)
        cell.submit(make_job("a", step(1, estimate_s=1.0, **values), at_s=cell.now_s))
        until_s = cell.now_s + 2 * SETTLE_S
        while cell.state("a") is not JobState.FAILED and cell.now_s < until_s:
            crashes = tasks.crashes
            while tasks.crashes == crashes and cell.now_s < until_s:
                cell.run_for(0.02)
                if cell.state("a") is JobState.FAILED:
                    break
            cell.run_for(lost_after_s)
            cell.replace_owner()
        cell.run_for(1.0)
        assert cell.state("a") is JobState.FAILED
        assert tasks.crashes <= 5
        assert cell.violations == []
