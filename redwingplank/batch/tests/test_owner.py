"""Tests of the owner with an emulated cell: the life cycle of jobs, with and without faults."""

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from redwingplank.batch.emulated_worker import Fault
from redwingplank.batch.model import AdvicePolicy, JobState, QueuePolicy, StartOutcome
from redwingplank.batch.placement import Placement
from redwingplank.batch.tests.cells import make_cell, make_config, make_job, step


class TestPath:
    def test_steps_run_in_order_and_the_job_completes(self):
        cell = make_cell()
        cell.submit(make_job("a", step(6), step(3, after=(0,)), at_s=cell.now_s))
        cell.run_for(4.0)
        assert cell.state("a") is JobState.COMPLETED
        assert cell.violations == []
        assert cell.starts == 9

    def test_a_submission_that_comes_twice_is_one_job(self):
        cell = make_cell()
        for _ in range(2):
            cell.submit(make_job("a", step(2), at_s=cell.now_s))
        cell.run_for(3.0)
        assert cell.starts == 2

    def test_room_is_never_exceeded(self):
        cell = make_cell(2)
        cell.submit(make_job("a", step(40, cpu=3000, estimate_s=0.3), at_s=cell.now_s))
        cell.run_for(8.0)
        assert cell.state("a") is JobState.COMPLETED
        assert cell.violations == []

    def test_completion_is_told_only_once_it_is_stored(self):
        cell = make_cell()
        cell.submit(make_job("a", step(1), at_s=cell.now_s))
        cell.run_for(0.3)
        cell.is_store_unavailable = True
        cell.run_for(2.0)
        assert cell.state("a") is JobState.RUNNING
        cell.is_store_unavailable = False
        cell.run_for(0.5)
        assert cell.state("a") is JobState.COMPLETED

    def test_pending_counts_jobs_without_a_start(self):
        cell = make_cell(1)
        cell.submit(make_job("a", step(4, estimate_s=5.0), at_s=cell.now_s))
        cell.run_for(0.5)
        cell.submit(make_job("b", step(1, estimate_s=5.0), at_s=cell.now_s))
        cell.run_for(0.5)
        assert cell.owner.pending_count("proof") == 1

    # Guards against a count of waiting jobs that leaves out those whose starts are refused.
    @pytest.mark.parametrize("is_owner_replaced", [False, True])
    def test_pending_counts_jobs_whose_starts_are_refused(self, is_owner_replaced):
        cell = make_cell(1)
        cell.workers["w0"].faults.add(Fault.REFUSE)
        cell.submit(make_job("a", step(2, estimate_s=5.0), at_s=cell.now_s))
        cell.run_for(5.0)
        if is_owner_replaced:
            cell.replace_owner()
            cell.run_for(1.0)
        assert cell.owner.pending_count("proof") == 1
        cell.workers["w0"].faults.clear()
        cell.run_for(2.0)
        assert cell.owner.pending_count("proof") == 0

    # Guards against counting a job as waiting that an earlier owner has let begin.
    def test_pending_leaves_out_jobs_that_began_before_this_owner(self):
        cell = make_cell(1)
        cell.submit(make_job("a", step(1, estimate_s=0.5), step(1, after=(0,)), at_s=cell.now_s))
        cell.submit(make_job("b", step(1, estimate_s=9.0), at_s=cell.now_s))
        cell.run_for(1.5)
        cell.replace_owner()
        cell.run_for(1.0)
        assert cell.owner.pending_count("proof") == 0

    def test_a_ticket_is_asked_for_where_the_queue_is_advised(self):
        queue = QueuePolicy("q", "h", "/q/", "render", advice=AdvicePolicy(0.1, 0.01, 2.5))
        cell = make_cell(config=make_config(queue))
        cell.submit(make_job("a", step(4), queue="q", at_s=cell.now_s))
        cell.run_for(3.0)
        assert cell.state("a") is JobState.COMPLETED


class TestEnds:
    def test_a_task_that_always_fails_uses_up_its_attempts(self):
        cell = make_cell(3)
        for worker in cell.workers.values():
            worker.faults.add(Fault.FAIL_ALL)
        cell.submit(make_job("a", step(1), queue="extract", at_s=cell.now_s))
        cell.run_for(20.0)
        assert cell.state("a") is JobState.FAILED
        assert cell.starts == 2

    def test_a_worker_that_fails_everything_is_avoided(self):
        cell = make_cell(4)
        cell.workers["w0"].faults.add(Fault.FAIL_ALL)
        for number in range(12):
            cell.submit(make_job(f"j{number}", step(4, estimate_s=0.2), at_s=cell.now_s))
            cell.run_for(0.5)
        cell.run_for(5.0)
        states = [cell.state(f"j{number}") for number in range(12)]
        assert states == [JobState.COMPLETED] * 12

    def test_a_run_without_progress_is_stopped_and_repeated_elsewhere(self):
        cell = make_cell(2)
        cell.workers["w0"].faults.add(Fault.HANG)
        cell.submit(make_job("a", step(4, estimate_s=0.4), at_s=cell.now_s))
        cell.run_for(12.0)
        assert cell.state("a") is JobState.COMPLETED
        assert cell.violations == []

    def test_a_lasting_task_is_started_again_however_it_ends(self):
        cell = make_cell(2)
        cell.submit(make_job("a", step(2, is_lasting=True), queue="watch", at_s=cell.now_s))
        cell.run_for(1.0)
        for worker in cell.workers.values():
            worker.faults.add(Fault.FAIL_ALL)
        cell.run_for(0.3)
        for worker in cell.workers.values():
            worker.faults.clear()
        cell.run_for(6.0)
        assert sum(len(worker.runs) for worker in cell.workers.values()) == 2

    def test_a_gang_starts_whole_or_not_at_all(self):
        cell = make_cell(2)
        cell.submit(make_job("busy", step(5, cpu=3000, estimate_s=1.0), at_s=cell.now_s))
        cell.run_for(0.2)
        cell.submit(make_job("g", step(4, cpu=3500, is_gang=True), at_s=cell.now_s))
        cell.run_for(0.4)
        assert not any(
            run.task.job_id == "g"
            for worker in cell.workers.values()
            for run in worker.runs.values()
        )
        cell.run_for(6.0)
        assert cell.state("g") is JobState.COMPLETED


class TestOccurrences:
    """Failure: one job with many occurrences that are due takes all memory of owner after owner."""

    def make_cell(self, repeat_count: int):
        cell = make_cell()
        job = make_job("a", step(1, cpu=100, estimate_s=0.05), at_s=cell.now_s)
        cell.submit(replace(job, repeat_count=repeat_count, first_run_unix_s=1.0))
        return cell

    def test_only_some_are_opened_at_a_time(self):
        cell = self.make_cell(repeat_count=5000)
        assert len(cell.owner.state.jobs_by_id["a"].steps_by_key) <= 200
        cell.replace_owner()
        assert len(cell.owner.state.jobs_by_id["a"].steps_by_key) <= 200

    def test_all_run_once_over_several_owners(self):
        cell = self.make_cell(repeat_count=500)
        for _ in range(8):
            cell.run_for(1.0)
            cell.replace_owner()
        cell.run_for(20.0)
        assert cell.state("a") is JobState.COMPLETED
        assert cell.starts == 500
        assert cell.violations == []


class TestCancel:
    def test_everything_of_a_cancelled_job_stops(self):
        cell = make_cell()
        cell.submit(make_job("a", step(6, estimate_s=30.0), at_s=cell.now_s))
        cell.run_for(1.0)
        cell.owner.cancel("a", cell.now_s)
        cell.run_for(2.0)
        assert cell.state("a") is JobState.CANCELLED
        assert not any(worker.runs for worker in cell.workers.values())

    def test_an_order_that_is_under_way_is_stopped_too(self):
        cell = make_cell()
        cell.submit(make_job("a", step(6, estimate_s=30.0), at_s=cell.now_s))
        cell.run_for(0.04)
        cell.owner.cancel("a", cell.now_s)
        cell.run_for(3.0)
        assert not any(worker.runs for worker in cell.workers.values())

    def test_an_unknown_job_cannot_be_cancelled(self):
        cell = make_cell()
        assert cell.owner.cancel("nobody", cell.now_s) is None


class TestWorkersLost:
    def test_a_cut_workers_tasks_wait_for_its_lease(self):
        cell = make_cell(2)
        cell.submit(make_job("a", step(4, estimate_s=3.0), at_s=cell.now_s))
        cell.run_for(1.0)
        cell.workers["w0"].faults.add(Fault.CUT)
        cell.run_for(20.0)
        assert cell.state("a") is JobState.COMPLETED
        assert cell.violations == []

    def test_copies_are_made_of_tasks_out_of_sight(self):
        cell = make_cell(2)
        cell.submit(make_job("a", step(4, estimate_s=1.0, may_copy=True), at_s=cell.now_s))
        cell.run_for(0.4)
        cell.workers["w0"].faults.add(Fault.CUT)
        cell.run_for(3.5)
        assert cell.state("a") is JobState.COMPLETED

    def test_a_reborn_worker_frees_its_tasks_at_once(self):
        cell = make_cell(2)
        cell.submit(make_job("a", step(4, estimate_s=1.0), at_s=cell.now_s))
        cell.run_for(0.5)
        cell.crash("w0")
        cell.run_for(3.5)
        assert cell.state("a") is JobState.COMPLETED
        assert cell.violations == []

    def test_ends_of_a_new_process_are_not_acknowledged_unseen(self):
        cell = make_cell(1)
        cell.submit(make_job("a", step(4, estimate_s=0.2), at_s=cell.now_s))
        cell.run_for(2.0)
        worker = cell.owner.state.workers_by_id["w0"]
        assert worker.acknowledged_completion_number == 4
        cell.owner.mark_worker_unreachable(worker, cell.now_s)
        assert (
            cell.owner.next_poll(worker, cell.now_s, leases_until_s=cell.now_s).acknowledged_number
            == 0
        )

    def test_a_start_that_reached_the_new_process_is_not_repeated(self):
        cell = make_cell(1)
        host, worker = cell.workers["w0"], cell.owner.state.workers_by_id["w0"]
        while cell.now_s - worker.answered_s > 0.03:
            cell.run_for(0.02)
        host.crash(2)
        host.clock_offset_s = -host.clock_rate * cell.now_s
        cell.submit(make_job("a", step(2, estimate_s=3.0), at_s=cell.now_s))
        cell.run_for(0.06)
        assert worker.born_ms == 1
        cell.owner.list_workers([cell.workers["w0"].entry], cell.now_s)
        assert len(worker.runs_by_key) == 2
        cell.run_for(5.0)
        assert cell.state("a") is JobState.COMPLETED
        assert cell.starts == 2
        assert cell.violations == []


class TestWorkersThatLeft:
    """Pattern: the owner changes after a worker was taken off the list of workers."""

    def test_the_next_owner_gives_it_nothing(self):
        cell = make_cell(2)
        cell.run_for(1.0)
        entries = [worker.entry for worker in cell.workers.values()]
        cell.workers["w0"].entry = replace(entries[0], is_draining=True)
        cell.replace_owner()
        cell.submit(make_job("a", step(6), at_s=cell.now_s))
        cell.run_for(4.0)
        assert cell.state("a") is JobState.COMPLETED
        assert not cell.workers["w0"].ended_done

    def test_an_owner_forgets_it_once_its_runs_are_gone(self):
        cell = make_cell(2)
        owner = cell.owner
        left = owner.state.workers_by_id["w0"]
        owner.mark_worker_unreachable(left, cell.now_s)
        owner.list_workers([cell.workers["w1"].entry], cell.now_s)
        assert "w0" not in owner.state.workers_by_id


class TestHostsOfEndedRuns:
    """Pattern: a worker was drained and left, and the owner changes soon after."""

    def test_a_run_that_ended_there_delays_nothing(self):
        cell = make_cell(2)
        cell.submit(make_job("a", step(1, is_lasting=True), queue="watch", at_s=cell.now_s))
        cell.run_for(1.0)
        (host,) = (worker for worker in cell.workers.values() if worker.runs)
        (other,) = (worker for worker in cell.workers.values() if worker is not host)
        host.entry = replace(host.entry, is_draining=True)
        cell.run_for(2.0)
        assert other.runs
        host.faults.add(Fault.CUT)
        cell.crash(other.entry.worker_id)
        cell.replace_owner()
        cell.run_for(2.0)
        assert other.runs
        assert cell.violations == []

    def test_what_is_done_stays_stored(self):
        cell = make_cell(2)
        cell.submit(make_job("a", step(3), step(2, after=(0,), estimate_s=5.0), at_s=cell.now_s))
        cell.run_for(2.0)
        cell.replace_owner()
        cell.run_for(8.0)
        assert cell.state("a") is JobState.COMPLETED
        assert cell.starts == 5
        assert cell.violations == []


class TestTakeover:
    def test_running_tasks_go_on(self):
        cell = make_cell()
        cell.submit(make_job("a", step(6, estimate_s=3.0), at_s=cell.now_s))
        cell.run_for(1.0)
        cell.replace_owner()
        cell.run_for(6.0)
        assert cell.state("a") is JobState.COMPLETED
        assert cell.starts == 6
        assert cell.violations == []

    def test_nothing_of_an_ended_job_is_started(self):
        cell = make_cell()
        cell.submit(make_job("a", step(6), at_s=cell.now_s))
        cell.submit(make_job("b", step(1, estimate_s=50.0), at_s=cell.now_s))
        cell.run_for(3.0)
        cell.owner.cancel("b", cell.now_s)
        cell.run_for(1.0)
        cell.replace_owner()
        cell.run_for(3.0)
        assert cell.starts == 7
        assert cell.state("a") is JobState.COMPLETED
        assert cell.state("b") is JobState.CANCELLED
        assert all(
            worker.reserved.cpu_millicores == 0
            for worker in cell.owner.state.workers_by_id.values()
        )

    @pytest.mark.parametrize("is_known", [True, False], ids=["ended job", "unknown job"])
    def test_what_is_being_stopped_still_takes_its_room(self, is_known):
        cell = make_cell(1)
        cell.submit(make_job("a", step(1, cpu=8000, estimate_s=30.0), at_s=cell.now_s))
        cell.run_for(1.0)
        cell.owner.cancel("a", cell.now_s)
        cell.run_for(0.04)
        if not is_known:
            del cell.specs_by_id["a"]
        cell.replace_owner()
        cell.submit(make_job("b", step(1, cpu=8000), at_s=cell.now_s))
        cell.run_for(3.0)
        assert cell.violations == []
        assert cell.state("b") is JobState.COMPLETED

    def test_tasks_of_a_worker_out_of_sight_are_not_repeated_before_its_lease_is_over(self):
        cell = make_cell(2)
        cell.submit(make_job("a", step(4, estimate_s=4.0), at_s=cell.now_s))
        cell.run_for(1.0)
        cell.workers["w0"].faults.add(Fault.CUT)
        cell.replace_owner()
        cell.run_for(30.0)
        assert cell.state("a") is JobState.COMPLETED
        assert cell.violations == []

    def test_tasks_that_no_unseen_worker_can_have_start_at_once(self):
        cell = make_cell(2)
        cell.submit(make_job("a", step(10, estimate_s=2.0), at_s=cell.now_s))
        cell.run_for(1.0)
        cell.workers["w0"].faults.add(Fault.CUT)
        cell.replace_owner()
        cell.run_for(5.0)
        done = [task for task in cell.checks.acknowledged_done if task.job_id == "a"]
        assert len(done) >= 4
        assert cell.violations == []


class TestRandomFaults:
    @pytest.mark.parametrize("seed", range(60))
    def test_nothing_is_promised_and_broken(self, seed):
        cell = make_cell(5, seed=seed)
        rng = cell.rng
        for number in range(40):
            steps = [step(rng.randint(1, 6), estimate_s=rng.choice([0.2, 0.8, 2.0]))]
            if rng.random() < 0.5:
                steps.append(step(rng.randint(1, 4), after=(0,), estimate_s=0.4))
            cell.submit(make_job(f"j{number}", *steps, at_s=cell.now_s))
            _inject_random_fault(cell)
            cell.run_for(0.6)
        cell.lost_command_fraction = 0.0
        for worker in cell.workers.values():
            worker.faults.clear()
        cell.run_for(60.0)
        assert cell.violations == []
        unfinished = [job_id for job_id in cell.specs_by_id if not cell.state(job_id).is_final]
        assert unfinished == []

    # Guards against an emulated cell that is kinder than the real one: the fault of 6b6b901.
    @pytest.mark.parametrize("seed", range(60))
    def test_nothing_runs_on_after_its_cancellation(self, seed):
        cell = make_cell(3, seed=seed)
        rng = cell.rng
        cell.longest_submission_delay_s = rng.choice([0.0, 1.5])
        for number in range(25):
            name = f"j{number}"
            length_s = rng.choice([0.2, 0.8, 2.0])
            steps = [step(rng.randint(1, 6), estimate_s=length_s, saves=rng.random() < 0.3)]
            steps.append(step(rng.randint(1, 4), after=(0,), estimate_s=length_s))
            cell.submit(make_job(name, *steps, queue="extract", at_s=cell.now_s))
            _cancel_at_random_moment(cell, name)
            _inject_random_fault(cell)
            _inject_fault_of_store_and_memory(cell)
            cell.run_for(rng.choice([0.1, 0.6, 2.0]))
        cell.lost_command_fraction = 0.0
        for worker in cell.workers.values():
            worker.faults.clear()
        cell.run_for(60.0)
        assert cell.violations == []
        unfinished = [job_id for job_id in cell.specs_by_id if not cell.state(job_id).is_final]
        assert unfinished == []

    @settings(max_examples=25, deadline=None, suppress_health_check=list(HealthCheck))
    @given(st.integers(0, 10_000))
    def test_takeovers_at_any_moment_keep_the_promises(self, seed):
        cell = make_cell(3, seed=seed)
        cell.lost_command_fraction = 0.1
        for number in range(8):
            cell.submit(make_job(f"j{number}", step(3), step(2, after=(0,)), at_s=cell.now_s))
            cell.run_for(cell.rng.random())
            if cell.rng.random() < 0.4:
                cell.replace_owner()
        cell.lost_command_fraction = 0.0
        cell.run_for(40.0)
        assert cell.violations == []
        assert all(cell.state(job_id) is JobState.COMPLETED for job_id in cell.specs_by_id)


def _inject_random_fault(cell):
    rng = cell.rng
    worker = rng.choice(list(cell.workers.values()))
    chance = rng.random()
    if chance < 0.15:
        worker.faults.add(Fault.CUT)
        cell.after(rng.uniform(0.5, 9.0), lambda: worker.faults.discard(Fault.CUT))
    elif chance < 0.25:
        cell.crash(worker.entry.worker_id)
    elif chance < 0.35:
        cell.replace_owner()
    elif chance < 0.45:
        worker.faults.add(Fault.HANG)
        cell.after(4.0, lambda: worker.faults.discard(Fault.HANG))
    elif chance < 0.55:
        cell.lost_command_fraction = rng.choice([0.0, 0.15, 0.3])
    elif chance < 0.6:
        cell.is_store_unavailable = True
        cell.after(3.0, lambda: setattr(cell, "is_store_unavailable", False))


def _cancel_at_random_moment(cell, job_id):
    """Cancel a job just after its submission, later, or as soon as it has ended in memory."""
    chance = cell.rng.random()
    if chance < 0.4:
        cell.after(cell.rng.choice([0.0, 0.05, 0.5, 2.0]), lambda: cell.cancel(job_id))
    elif chance < 0.9:
        _cancel_once_ended(cell, job_id)


def _cancel_once_ended(cell, job_id):
    job = cell.owner.state.jobs_by_id.get(job_id)
    if job is not None and job.state.is_final:
        cell.cancel(job_id)
    elif cell.now_s < 200.0:
        cell.after(0.02, lambda: _cancel_once_ended(cell, job_id))


def _inject_fault_of_store_and_memory(cell):
    """Let the store refuse the owner, runs fail, or all workers and the owner be lost."""
    chance = cell.rng.random()
    if chance < 0.2:
        cell.is_store_refusing_owner = True
        cell.after(cell.rng.choice([1.0, 5.0]), lambda: _end_refusal(cell))
        if cell.rng.random() < 0.7:
            cell.after(cell.rng.uniform(0.5, 4.9), lambda: _lose_workers_and_owner(cell))
    elif chance < 0.3:
        worker = cell.rng.choice(list(cell.workers.values()))
        worker.faults.add(Fault.FAIL_ALL)
        cell.after(1.0, lambda: worker.faults.discard(Fault.FAIL_ALL))


def _end_refusal(cell):
    cell.is_store_refusing_owner = False


def _lose_workers_and_owner(cell):
    for worker_id in cell.workers:
        cell.crash(worker_id)
    cell.replace_owner()


class TestUnexpectedErrors:
    """An error while a report is applied must not start work again that has run."""

    def make_failing_cell(self, monkeypatch, failures: int):
        cell = make_cell()
        left = [failures]

        def fail(*_args):
            if left[0]:
                left[0] -= 1
                raise ZeroDivisionError("float division by zero")

        monkeypatch.setattr(cell.owner.state.speeds, "record_run_time", fail)
        cell.submit(make_job("a", step(6), at_s=cell.now_s))
        return cell

    def test_a_completion_that_could_not_be_applied_is_applied_with_the_next_report(
        self, monkeypatch
    ):
        cell = self.make_failing_cell(monkeypatch, failures=3)
        cell.run_for(5.0)
        assert cell.violations == []
        assert cell.starts == 6
        assert cell.state("a") is JobState.COMPLETED

    def test_no_task_runs_twice_while_the_error_lasts(self, monkeypatch):
        cell = self.make_failing_cell(monkeypatch, failures=1_000_000)
        cell.run_for(20.0)
        assert cell.violations == []
        assert cell.starts == 6

    def test_a_step_that_cannot_be_planned_does_not_stop_other_jobs(self, monkeypatch):
        cell = make_cell()
        fits = Placement.fits

        def fail_for_a(self, worker, step, now_s):
            if step.key.job_id == "a":
                raise KeyError("malformed")
            return fits(self, worker, step, now_s)

        monkeypatch.setattr(Placement, "fits", fail_for_a)
        for job_id in ("a", "b"):
            cell.submit(make_job(job_id, step(2), at_s=cell.now_s))
        cell.run_for(3.0)
        assert cell.state("a") is JobState.QUEUED
        assert cell.state("b") is JobState.COMPLETED


class TestUnansweredStart:
    """Pattern: a failure domain is cut off silently while jobs arrive.

    The poll that waits at a worker fails only after its wait; until then starts would go on to a
    worker that cannot hear them, and each of their tasks waits for a lease to expire.
    """

    def test_the_worker_is_asked_at_once_and_gets_nothing_until_it_answers(self):
        cell = make_cell(2)
        cell.submit(make_job("a", step(1), at_s=cell.now_s))
        cell.run_for(0.04)
        (run,) = (run for job in cell.owner.state.jobs_by_id.values() for run in job.runs())
        cell.owner.handle_start_outcome(run, StartOutcome.UNKNOWN, cell.now_s)
        assert cell.owner.state.commands.polls == [run.worker]
        cell.submit(make_job("b", step(4), at_s=cell.now_s))
        cell.run_for(0.3)
        hosts = {run.worker.id for run in cell.owner.state.jobs_by_id["b"].runs()}
        assert hosts and run.worker.id not in hosts
