"""Tests of tasks that crash the workers that start them, and of the tasks beside them."""

from dataclasses import replace

import pytest

from redwingplank.batch.emulated_crashes import CrashingTasks
from redwingplank.batch.emulated_worker import Fault
from redwingplank.batch.model import Amounts, JobState
from redwingplank.batch.tests.cells import make_cell, make_job, step

SETTLE_S = 60.0
"""More than ten times as long as a crashed worker is away."""


def is_deadly(task):
    return task.job_id.startswith("deadly") and task.position == 0


def make_crashing_cell(workers: int = 8, **values):
    cell = make_cell(workers)
    return cell, CrashingTasks(cell, is_deadly, **values)


def submit_innocents(cell, count: int = 12, **values) -> list[str]:
    names = [f"j{number}" for number in range(count)]
    for name in names:
        cell.submit(make_job(name, step(3, estimate_s=1.0, **values), at_s=cell.now_s))
    return names


class TestTasksThatCrashTheirWorkers:
    """Failure: a task crashes the workers that start it, one after the other, without an end."""

    @pytest.mark.parametrize(
        "values",
        [{}, {"may_copy": True}, {"is_gang": True}, {"is_lasting": True}, {"saves": True}],
        ids=["plain", "copies", "gang", "lasting", "checkpoints"],
    )
    def test_their_jobs_are_given_up(self, values):
        cell, tasks = make_crashing_cell()
        cell.submit(make_job("deadly", step(4, estimate_s=1.0, **values), at_s=cell.now_s))
        innocents = submit_innocents(cell)
        cell.run_for(SETTLE_S)
        assert cell.state("deadly") is JobState.FAILED
        assert cell.violations == []
        assert tasks.crashes <= 4
        assert {cell.state(name) for name in innocents} == {JobState.COMPLETED}

    @pytest.mark.parametrize("down_s", [0.3, 1.5, 3.7, 9.0])
    @pytest.mark.parametrize("keeps_id", [False, True], ids=["new id", "same id"])
    def test_however_long_their_workers_are_away(self, down_s, keeps_id):
        cell, tasks = make_crashing_cell(down_s=down_s, keeps_id=keeps_id)
        cell.submit(make_job("deadly", step(4, estimate_s=1.0), at_s=cell.now_s))
        innocents = submit_innocents(cell)
        cell.run_for(SETTLE_S)
        assert cell.state("deadly") is JobState.FAILED
        assert cell.violations == []
        assert tasks.crashes <= 5
        assert {cell.state(name) for name in innocents} == {JobState.COMPLETED}

    @pytest.mark.parametrize("every_s", [0.7, 2.0, 3.3, 5.0, 7.1])
    def test_a_new_owner_knows_the_crashes_that_earlier_owners_saw(self, every_s):
        cell, tasks = make_crashing_cell()
        cell.submit(make_job("deadly", step(4, estimate_s=1.0), at_s=cell.now_s))
        innocents = submit_innocents(cell)
        for _ in range(round(SETTLE_S / every_s)):
            cell.run_for(every_s)
            cell.replace_owner()
        cell.run_for(SETTLE_S)
        assert cell.state("deadly") is JobState.FAILED
        assert cell.violations == []
        assert tasks.crashes <= 5
        assert {cell.state(name) for name in innocents} == {JobState.COMPLETED}

    def test_a_crash_counts_once_over_several_owners(self):
        cell = make_cell(4)
        cell.submit(make_job("a", step(1, estimate_s=60.0), at_s=cell.now_s))
        cell.run_for(1.0)
        (host,) = (worker for worker in cell.workers.values() if worker.runs)
        cell.take_down(host)
        cell.replace_owner()
        cell.run_for(1.0)
        cell.bring_back(host, keeps_id=False)
        for _ in range(4):
            cell.run_for(1.0)
            (task,) = (
                task
                for job in cell.owner.state.jobs_by_id.values()
                for step in job.steps_by_key.values()
                for task in step.tasks
            )
            assert task.crashes == 1
            cell.replace_owner()

    def test_a_worker_that_restarts_twice_crashed_once_under_a_start_that_was_accepted(self):
        cell = make_cell(1)
        cell.submit(make_job("a", step(1, estimate_s=60.0), at_s=cell.now_s))
        while not cell.starts:
            cell.run_for(0.02)
        cell.run_for(0.02)
        (run,) = cell.owner.state.jobs_by_id["a"].runs()
        assert run.is_accepted and not run.is_listed
        for _ in range(2):
            cell.crash("w0")
            cell.owner.list_workers([cell.workers["w0"].entry], cell.now_s)
        (task,) = next(iter(cell.owner.state.jobs_by_id["a"].steps_by_key.values())).tasks
        assert task.proven_crashes == 1

    @pytest.mark.parametrize("seed", range(12))
    def test_many_at_once_in_a_busy_cell(self, seed):
        cell = make_cell(12, seed=seed)
        tasks = CrashingTasks(cell, is_deadly)
        for number in range(60):
            name = f"deadly{number}" if number % 10 == 3 else f"j{number}"
            cell.submit(make_job(name, step(cell.rng.randint(2, 7)), at_s=cell.now_s))
            cell.run_for(0.15)
            if number in (20, 40):
                cell.replace_owner()
        cell.run_for(SETTLE_S)
        states = {name: cell.state(name) for name in cell.specs_by_id}
        wrong = {
            name: state
            for name, state in states.items()
            if state is not (JobState.FAILED if "deadly" in name else JobState.COMPLETED)
        }
        assert wrong == {}
        assert cell.violations == []
        assert tasks.crashes <= 6 * 4


class TestTasksBesideThem:
    """Failure: tasks that only shared a crashed worker wait for its lease, or are given up."""

    def test_they_start_again_once_another_process_answers_at_the_address(self):
        cell = make_cell(1)
        cell.submit(make_job("a", step(3, estimate_s=1.5), at_s=cell.now_s))
        cell.run_for(0.5)
        (worker,) = cell.workers.values()
        cell.take_down(worker)
        cell.run_for(1.5)
        cell.bring_back(worker, keeps_id=False)
        cell.run_for(1.0)
        assert cell.starts == 6

    def test_what_shared_every_crash_of_another_task_completes(self):
        cell, _ = make_crashing_cell(workers=2)
        cell.submit(make_job("deadly", step(1, estimate_s=1.0), at_s=cell.now_s))
        names = submit_innocents(cell, 2)
        cell.run_for(SETTLE_S)
        assert cell.state("deadly") is JobState.FAILED
        assert {cell.state(name) for name in names} == {JobState.COMPLETED}

    @pytest.mark.parametrize("rounds", [1, 2, 3, 4])
    def test_no_task_is_given_up_for_crashes_of_whole_racks(self, rounds):
        cell = make_cell(6)
        names = submit_innocents(cell, 6)
        cell.submit(make_job("watch", step(4, is_lasting=True), queue="watch", at_s=cell.now_s))
        for _ in range(rounds):
            cell.run_for(0.7)
            victims = [worker for worker in cell.workers.values() if not worker.is_down][:4]
            for worker in victims:
                cell.take_down(worker)
            cell.run_for(2.0)
            for worker in victims:
                cell.bring_back(worker, keeps_id=False)
        cell.run_for(SETTLE_S)
        assert {cell.state(name) for name in names} == {JobState.COMPLETED}
        assert cell.state("watch") is JobState.RUNNING
        assert cell.violations == []

    def test_a_worker_that_was_only_silent_counts_for_nothing(self):
        cell = make_cell(3)
        cell.submit(make_job("a", step(1, estimate_s=60.0), at_s=cell.now_s))
        for _ in range(6):
            cell.run_for(1.0)
            (host,) = (worker for worker in cell.workers.values() if worker.runs)
            host.faults.add(Fault.CUT)
            cell.run_for(9.0)
            host.faults.discard(Fault.CUT)
            cell.run_for(1.0)
        assert cell.state("a") is JobState.RUNNING

    def test_a_worker_that_left_as_planned_counts_for_nothing(self):
        cell = make_cell(3)
        cell.submit(make_job("a", step(1, estimate_s=60.0), at_s=cell.now_s))
        for _ in range(6):
            cell.run_for(1.0)
            (host,) = (worker for worker in cell.workers.values() if worker.runs)
            host.entry = replace(host.entry, is_draining=True)
            cell.run_for(1.0)
            cell.take_down(host)
            cell.bring_back(host, keeps_id=False)
            (new,) = (w for w in cell.workers.values() if not w.is_down and w.entry.is_draining)
            new.entry = replace(new.entry, is_draining=False)
        cell.run_for(3.0)
        assert cell.state("a") is JobState.RUNNING


class TestCapacityThatShrinks:
    """Failure: a start is sent to a worker whose capacity shrank after the start was planned."""

    def shrink_worker(self, cell, cpu_millicores: int) -> None:
        worker = cell.workers["w0"]
        worker.entry = replace(worker.entry, capacity=Amounts(cpu_millicores, 16000, 0))

    def test_a_planned_start_that_waited_for_the_store_is_not_sent(self):
        cell = make_cell(1)
        cell.lost_write_fraction = 1.0
        cell.submit(make_job("a", step(4, cpu=2000), at_s=cell.now_s))
        cell.run_for(0.2)
        self.shrink_worker(cell, 3000)
        cell.run_for(1.0)
        cell.lost_write_fraction = 0.0
        cell.run_for(8.0)
        assert cell.violations == []
        assert cell.state("a") is JobState.COMPLETED

    # Guards against starts by the capacity of the process before, until the new entry is read.
    @pytest.mark.parametrize("restart_after_s", [0.5, 0.6, 0.7, 0.8, 0.9])
    def test_a_worker_that_is_back_with_less_is_not_filled_by_its_old_entry(self, restart_after_s):
        cell = make_cell(1)
        cell.run_for(restart_after_s)
        cell.crash("w0")
        self.shrink_worker(cell, 3000)
        cell.submit(make_job("a", step(4, cpu=2000), at_s=cell.now_s))
        cell.run_for(8.0)
        assert cell.violations == []
        assert cell.state("a") is JobState.COMPLETED

    def test_what_runs_goes_on_and_nothing_starts_until_it_fits(self):
        cell = make_cell(1)
        cell.submit(make_job("a", step(4, cpu=2000, estimate_s=3.0), at_s=cell.now_s))
        cell.run_for(0.5)
        self.shrink_worker(cell, 2500)
        cell.run_for(0.7)
        cell.submit(make_job("b", step(2, cpu=2000), at_s=cell.now_s))
        cell.run_for(8.0)
        assert cell.violations == []
        assert cell.starts == 6
        assert cell.state("b") is JobState.COMPLETED

    def test_a_new_owner_reads_the_room_that_is_left(self):
        cell = make_cell(1)
        cell.submit(make_job("a", step(3, cpu=2000, estimate_s=3.0), at_s=cell.now_s))
        cell.run_for(0.5)
        self.shrink_worker(cell, 4000)
        cell.submit(make_job("b", step(1, cpu=2000), at_s=cell.now_s))
        cell.replace_owner()
        cell.run_for(8.0)
        assert cell.violations == []
        assert cell.state("b") is JobState.COMPLETED
