"""Tests of workers that restart under their ids and carry out calls of their former processes."""

import pytest

from redwingplank.batch.emulated_worker import Fault
from redwingplank.batch.model import Amounts, OrganisationPolicy, PollReport
from redwingplank.batch.settings import BatchSettings
from redwingplank.batch.tests.cells import make_cell, make_job, step

LONG_LEASES = BatchSettings(lease_s=6.5, lease_limit_s=10.0)
RESTART_BOUND_S = 9.0
"""A task that lasts has to run again so long after its last run, with a margin of 0.5 s."""


class RestartingCell:
    """A cell of two workers, of which only the first starts tasks until `open_other` is called."""

    def __init__(self, settings=LONG_LEASES):
        self.cell = make_cell(2, settings=settings)
        self.host, self.other = self.cell.workers.values()
        self.other.faults.add(Fault.REFUSE)

    def submit_lasting(self, name="a"):
        self.cell.submit(make_job(name, step(1, 8000, is_lasting=True), queue="watch"))

    def submit_plain(self):
        """Submit a job with one long task that does not last."""
        self.cell.submit(make_job("a", step(1, 8000, 20.0)))

    def submit_plain_late(self, late_s):
        """Submit such a job, whose start is carried out late, or with None not at all."""
        self.cell.calls.late_s = 1000.0 if late_s is None else late_s
        self.submit_plain()
        self.cell.run_for(0.1)
        self.cell.calls.late_s = None

    def submit_late(self, late_s):
        """Submit a job with one task that lasts, whose start is carried out late."""
        self.cell.calls.late_s = late_s
        self.submit_lasting()
        self.cell.run_for(0.1)
        self.cell.calls.late_s = None

    def start_lasting(self, name="a"):
        """Submit a job with one task that lasts, and wait until it runs on the first worker."""
        self.submit_lasting(name)
        self.wait_for_run()

    def wait_for_run(self, longest_s=6.0):
        """Wait until a task runs on the first worker."""
        until_s = self.cell.now_s + longest_s
        while not self.host.runs and self.cell.now_s < until_s:
            self.cell.run_for(0.1)
        assert self.host.runs

    def delay_calls(self, late_s, during_s=0.32):
        """Let the calls of a period go unanswered, and be carried out late."""
        self.cell.calls.late_s = late_s
        self.cell.run_for(during_s)
        self.cell.calls.late_s = None

    def crash_host(self):
        self.cell.crash(self.host.entry.worker_id)

    def cut_host(self):
        self.host.faults.add(Fault.CUT)

    def open_other(self):
        self.other.faults.discard(Fault.REFUSE)

    def replace_owner(self, **values):
        self.cell.replace_owner(**values)


class TestLeaseOfAFormerProcess:
    # Guards against a next owner that takes the lease of a restarted worker for a granted one.
    def test_is_waited_for_by_the_next_owner(self):
        world = RestartingCell()
        world.start_lasting()
        world.delay_calls(0.4)
        world.crash_host()
        world.cell.run_for(0.5)
        world.wait_for_run()
        world.replace_owner()
        world.cell.run_for(0.5)
        world.cut_host()
        world.open_other()
        world.cell.run_for(RESTART_BOUND_S)
        assert world.cell.violations == []
        assert world.other.runs

    # Guards against a next owner that never reached the worker, and counts from its own beginning.
    def test_is_waited_for_by_a_next_owner_that_does_not_reach_the_worker(self):
        world = RestartingCell()
        world.start_lasting()
        world.delay_calls(0.4)
        world.crash_host()
        world.cell.run_for(0.5)
        world.wait_for_run()
        world.cut_host()
        world.replace_owner()
        world.open_other()
        world.cell.run_for(RESTART_BOUND_S)
        assert world.cell.violations == []
        assert world.other.runs

    # Guards against a poll of the former process that renews the lease of the next one.
    @pytest.mark.parametrize("late_s", [1.5, 4.0, 8.0])
    def test_is_not_taken_after_the_first_report(self, late_s):
        world = RestartingCell()
        world.start_lasting()
        world.delay_calls(late_s)
        world.crash_host()
        world.wait_for_run()
        world.cell.run_for(late_s)
        world.cut_host()
        world.open_other()
        world.cell.run_for(20.0)
        assert world.cell.violations == []
        assert world.other.runs

    # Guards against a second change of owners, after which nobody knows of the restart.
    def test_is_waited_for_after_a_restart_between_two_owners(self):
        world = RestartingCell()
        world.delay_calls(0.33)
        world.crash_host()
        world.cell.run_for(0.34)
        world.replace_owner()
        world.start_lasting()
        world.replace_owner()
        world.cut_host()
        world.open_other()
        world.cell.run_for(RESTART_BOUND_S)
        assert world.cell.violations == []
        assert world.other.runs


class TestStartOfAFormerProcess:
    # Guards against a restart that the list shows, after which an unanswered start counts as lost.
    @pytest.mark.parametrize("late_s", [2.0, 4.0, 12.0])
    def test_is_waited_for_while_the_worker_is_cut_off(self, late_s):
        world = RestartingCell()
        world.submit_late(late_s)
        world.cut_host()
        world.cell.run_for(0.8)
        world.crash_host()
        world.open_other()
        world.cell.run_for(30.0)
        assert world.cell.violations == []
        assert world.other.runs or world.host.runs

    # Guards against the same where the worker is reached again before the start is carried out.
    @pytest.mark.parametrize("late_s", [2.0, 4.0, 12.0])
    def test_is_refused_once_the_next_process_has_reported(self, late_s):
        world = RestartingCell()
        world.submit_late(late_s)
        world.crash_host()
        world.open_other()
        world.cell.run_for(late_s + 3.0)
        assert world.cell.violations == []
        assert len(world.other.runs) + len(world.host.runs) == 1


class TestRepeatedRestart:
    # Guards against a wait that begins anew with each restart of a worker that nobody reaches: no
    # call has been sent there since the first one.
    def test_does_not_lengthen_the_wait(self):
        world = RestartingCell()
        world.submit_late(2.0)
        world.cut_host()
        world.open_other()
        world.cell.run_for(0.8)
        for _ in range(3):
            world.crash_host()
            world.cell.run_for(8.0)
        assert world.cell.violations == []
        assert world.other.runs


class TestFirstReportToANextOwner:
    # Guards against a lease taken shortly before the time up to which restarts are reckoned with.
    def test_is_that_of_a_restarted_process_while_a_lease_of_the_former_may_last(self):
        world = RestartingCell()
        world.host.is_listed = False
        world.replace_owner(keeps_sending=True)
        world.cut_host()
        world.cell.run_for(3.0)
        world.delay_calls(12.0, during_s=0.4)
        world.cell.stop_replaced_owners()
        world.crash_host()
        world.cell.run_for(13.7)
        world.host.is_listed = True
        world.host.faults.discard(Fault.CUT)
        world.start_lasting()
        world.cut_host()
        world.open_other()
        world.cell.run_for(12.0)
        assert world.cell.violations == []


class TestAnsweredStart:
    def restart_silently(self, world):
        """Restart the first worker between two polls, without one that fails at once."""
        host = world.host
        known = world.cell.owner.state.workers_by_id[host.entry.worker_id]
        while world.cell.now_s - known.answered_s > 0.03:
            world.cell.run_for(0.02)
        host.crash(round(world.cell.now_s * 1000))
        host.clock_offset_s = -host.clock_rate * world.cell.now_s

    def start_unlisted(self, world):
        """Start a task that lasts, and return before any poll has listed it."""
        world.submit_lasting()
        while not world.host.runs:
            world.cell.run_for(0.02)
        (run,) = world.cell.owner.state.jobs_by_id["a"].runs()
        assert not run.is_listed
        return run

    # Guards against a task that lasts and waits for a late start although its start was answered.
    def test_of_the_former_process_is_not_waited_for(self):
        world = RestartingCell()
        run = self.start_unlisted(world)
        assert run.is_in_known_process
        world.crash_host()
        world.cut_host()
        world.open_other()
        world.cell.run_for(RESTART_BOUND_S)
        assert world.other.runs
        assert world.cell.violations == []

    # Guards against an answer of the next process that is taken for one of the former one.
    def test_of_the_next_process_is_waited_for(self):
        world = RestartingCell()
        self.restart_silently(world)
        run = self.start_unlisted(world)
        assert run.worker.restart_count == 0
        assert not run.is_in_known_process
        world.cut_host()
        world.open_other()
        world.cell.run_for(30.0)
        assert world.cell.violations == []
        assert world.other.runs


class TestAcknowledgementOfAFormerProcess:
    # Guards against ends that a late poll forgets before anybody has read them.
    def test_does_not_forget_ends_of_the_next_process(self):
        world = RestartingCell()
        world.cell.submit(make_job("short", step(8, 1000, 0.2)))
        world.cell.run_for(3.0)
        world.delay_calls(5.5)
        world.crash_host()
        world.cell.run_for(4.0)
        world.cell.submit(make_job("a", step(1, 8000, 0.6)))
        world.cell.run_for(0.4)
        world.cut_host()
        world.cell.run_for(3.0)
        world.host.faults.discard(Fault.CUT)
        world.cell.run_for(5.0)
        assert world.cell.violations == []
        assert world.host.ended_done


class TestRunFoundInARestartedProcess:
    # Guards against a next owner that knows neither of the restart nor of the unanswered start.
    @pytest.mark.parametrize("late_s", [3.0, 12.0])
    def test_is_waited_for_by_a_next_owner_that_is_not_told_of_the_restart(self, late_s):
        world = RestartingCell()
        world.submit_late(late_s)
        world.cut_host()
        world.cell.run_for(0.8)
        world.crash_host()
        world.cell.run_for(0.8)
        world.host.is_listed = False
        world.replace_owner()
        world.open_other()
        world.cell.run_for(30.0)
        assert world.cell.violations == []
        assert world.other.runs

    # Guards against a next owner that takes a run found by the last one for a granted lease.
    def test_is_waited_for_by_the_next_owner_after_it_was_found(self):
        world = RestartingCell()
        world.submit_late(0.3)
        world.crash_host()
        world.cell.run_for(0.7)
        assert world.host.runs
        world.cut_host()
        world.replace_owner()
        world.open_other()
        world.cell.run_for(30.0)
        assert world.cell.violations == []
        assert world.other.runs

    # Guards against a wait for the longest lease that goes on long after that lease has ended.
    def test_is_waited_for_no_longer_once_its_lease_is_over(self):
        world = RestartingCell()
        world.submit_late(0.3)
        world.crash_host()
        world.wait_for_run()
        world.cell.run_for(12.0)
        world.cell.take_down(world.host)
        world.replace_owner()
        world.open_other()
        world.cell.run_for(RESTART_BOUND_S)
        assert world.cell.violations == []
        assert world.other.runs


class TestWorkerThatWasForgotten:
    # Guards against a worker that is listed again after a while, and takes calls from before that.
    def test_refuses_calls_of_its_former_process(self):
        world = RestartingCell()
        world.delay_calls(6.0)
        world.cell.take_down(world.host)
        world.cell.run_for(2.0)
        assert world.host.entry.worker_id not in world.cell.owner.state.workers_by_id
        world.cell.bring_back(world.host, keeps_id=True)
        world.cell.run_for(0.5)
        world.start_lasting()
        world.cell.run_for(1.0)
        world.cut_host()
        world.open_other()
        world.cell.run_for(20.0)
        assert world.cell.violations == []
        assert world.other.runs

    # Guards against a token below the one that the process knows: it would refuse all commands.
    def test_takes_tasks_again_if_its_process_has_gone_on(self):
        world = RestartingCell()
        world.crash_host()
        world.cell.run_for(5.0)
        world.cut_host()
        world.host.is_listed = False
        world.cell.run_for(3.0)
        assert world.host.entry.worker_id not in world.cell.owner.state.workers_by_id
        world.host.is_listed = True
        world.host.faults.discard(Fault.CUT)
        world.start_lasting()


class TestQuotaOfARestartedHost:
    # Guards against a charge that ends with granted leases while the tasks wait for longer ones.
    def test_is_charged_for_as_long_as_its_tasks_are_waited_for(self):
        world = RestartingCell()
        world.cell.set_organisations(OrganisationPolicy("o", 1.0, Amounts(3000, 9000, 0)))
        world.cell.calls.late_s = 12.0
        world.cell.submit(make_job("a", step(1, 2000, 20.0), organisation="o"))
        world.cell.run_for(0.1)
        world.cell.calls.late_s = None
        world.cut_host()
        world.cell.run_for(0.8)
        world.replace_owner()
        world.cell.run_for(0.3)
        world.crash_host()
        world.cell.run_for(0.8)
        world.open_other()
        world.cell.submit(make_job("b", step(1, 2000, 20.0), organisation="o"))
        world.cell.run_for(14.0)
        assert world.cell.violations == []


class TestLateCallAfterTheFirstReport:
    # Guards against a poll of the former process that renews the lease just before a cut: with one
    # token for an epoch, the run outlasts what the owner has granted.
    @pytest.mark.parametrize("late_s", [8.0, 10.0, 12.0])
    def test_does_not_renew_the_lease(self, late_s):
        world = RestartingCell()
        world.start_lasting()
        world.delay_calls(late_s)
        end_s = world.cell.now_s + late_s
        world.crash_host()
        world.wait_for_run()
        world.cell.run_for(end_s + 0.05 - world.cell.now_s)
        world.cut_host()
        world.open_other()
        world.cell.run_for(12.0)
        assert world.cell.violations == []
        assert world.other.runs


class TestPollOfARestartedWorker:
    # Guards against a first report that is believed although earlier calls may still change it.
    def test_is_applied_only_if_it_was_sent_after_the_restart_was_seen(self):
        world = RestartingCell()
        owner = world.cell.owner
        worker = owner.state.workers_by_id[world.host.entry.worker_id]
        sent_s = world.cell.now_s
        report = PollReport(50, worker.born_ms + 1, (), ())
        owner.apply_report(worker, report, sent_s, sent_s + 0.1)
        owner.apply_report(worker, report, sent_s, sent_s + 0.2)
        assert worker.clock_ms is None
        owner.apply_report(worker, report, sent_s + 0.15, sent_s + 0.2)
        assert worker.clock_ms == 50

    # Guards against an acknowledgement that forgets ends of the next process.
    def test_acknowledges_nothing_of_before(self):
        world = RestartingCell()
        world.cell.submit(make_job("short", step(8, 1000, 0.2)))
        world.cell.run_for(3.0)
        owner, now_s = world.cell.owner, world.cell.now_s
        worker = owner.state.workers_by_id[world.host.entry.worker_id]
        assert owner.next_poll(worker, now_s, leases_until_s=None).acknowledged_number == 8
        report = PollReport(50, worker.born_ms + 1, (), ())
        owner.apply_report(worker, report, now_s, now_s)
        assert owner.next_poll(worker, now_s, leases_until_s=None).acknowledged_number == 0


class TestRunFoundByANextOwner:
    # Guards against a run that the next owner finds first, and whose lease the one after it takes
    # for a granted one.
    def test_is_waited_for_by_the_owner_after_it(self):
        world = RestartingCell()
        world.submit_late(0.3)
        world.crash_host()
        world.cut_host()
        world.replace_owner()
        world.cell.run_for(0.4)
        assert world.host.runs
        world.host.faults.discard(Fault.CUT)
        world.cell.run_for(0.5)
        world.cut_host()
        world.replace_owner()
        world.open_other()
        world.cell.run_for(30.0)
        assert world.cell.violations == []
        assert world.other.runs

    # Guards against a mark that the next owner doesn't heed once the process has reported.
    def test_is_waited_for_by_an_owner_that_was_told_of_it(self):
        world = RestartingCell()
        world.submit_late(0.3)
        world.crash_host()
        world.cell.run_for(0.7)
        assert world.host.runs
        world.replace_owner()
        world.cell.run_for(0.4)
        world.cut_host()
        world.open_other()
        world.cell.run_for(30.0)
        assert world.cell.violations == []
        assert world.other.runs


class TestProcessWithALowerBirth:
    # Guards against a worker of which nothing is believed any more after its clock was set back.
    @pytest.mark.parametrize("change_ms", [0, -1000])
    def test_takes_tasks_again(self, change_ms):
        world = RestartingCell()
        world.crash_host()
        world.cell.run_for(6.0)
        world.start_lasting()
        world.host.crash(world.host.entry.born_ms + change_ms)
        world.cell._restart_clock(world.host)
        world.open_other()
        world.cell.run_for(20.0)
        assert world.cell.violations == []
        assert world.host.runs or world.other.runs


class TestUnansweredStart:
    # Guards against an unanswered start that counts as lost with the lease of the process that it
    # was sent to, although the next process may still carry it out.
    @pytest.mark.parametrize("late_s", [10.0, 12.0])
    def test_is_waited_for_if_the_worker_restarts_after_its_lease(self, late_s):
        world = RestartingCell()
        world.submit_late(late_s)
        world.cut_host()
        world.open_other()
        world.cell.run_for(8.5)
        world.crash_host()
        world.cell.run_for(30.0)
        assert world.cell.violations == []

    # Guards against the same with a restart that the list of workers does not show.
    @pytest.mark.parametrize("late_s", [4.0, 12.0])
    def test_is_waited_for_if_nobody_sees_the_restart(self, late_s):
        world = RestartingCell()
        world.submit_late(late_s)
        world.cut_host()
        world.open_other()
        world.host.is_listed = False
        world.cell.run_for(1.0)
        world.crash_host()
        world.cell.run_for(30.0)
        assert world.cell.violations == []

    # Guards against the same where the owner is replaced before anybody sees the restart.
    @pytest.mark.parametrize("late_s", [4.0, 12.0])
    def test_is_waited_for_by_a_next_owner_if_nobody_sees_the_restart(self, late_s):
        world = RestartingCell()
        world.submit_late(late_s)
        world.cut_host()
        world.open_other()
        world.host.is_listed = False
        world.cell.run_for(0.5)
        world.replace_owner()
        world.cell.run_for(0.5)
        world.crash_host()
        world.cell.run_for(30.0)
        assert world.cell.violations == []


class TestUnansweredStartOfAPlainTask:
    def begin(self, late_s):
        """Return a cell whose first worker is cut off with a start that it carries out late."""
        world = RestartingCell()
        world.submit_plain_late(late_s)
        world.cut_host()
        world.open_other()
        return world

    # Guards against a start that is given up with its lease, and that the next process carries out
    # although the cut goes on.
    @pytest.mark.parametrize("late_s", [9.0, 10.0, 12.0])
    def test_is_waited_for_if_the_worker_restarts_after_its_lease(self, late_s):
        world = self.begin(late_s)
        world.cell.run_for(8.5)
        world.crash_host()
        world.cell.run_for(30.0)
        assert world.cell.violations == []
        assert world.other.runs or world.other.ended_done

    # Guards against the same where the owner is replaced before the restart.
    @pytest.mark.parametrize("replaced_after_s", [0.05, 0.5, 6.0])
    @pytest.mark.parametrize("late_s", [9.0, 12.0])
    def test_is_waited_for_by_a_next_owner(self, late_s, replaced_after_s):
        world = self.begin(late_s)
        world.cell.run_for(replaced_after_s)
        world.replace_owner()
        world.cell.run_for(8.5 - replaced_after_s)
        world.crash_host()
        world.cell.run_for(35.0)
        assert world.cell.violations == []
        assert world.other.runs or world.other.ended_done

    # Guards against a worker that counts as gone as it is not listed, and is back behind the cut.
    @pytest.mark.parametrize("back_after_s", [5.0, 8.0, 11.0])
    def test_is_waited_for_if_the_worker_is_not_listed_for_a_while(self, back_after_s):
        world = self.begin(11.5)
        world.cell.run_for(0.5)
        world.cell.take_down(world.host)
        world.cell.run_for(back_after_s - 0.5)
        world.cell.bring_back(world.host, keeps_id=True)
        world.cell.run_for(30.0)
        assert world.cell.violations == []
        assert world.other.runs or world.other.ended_done

    # Guards against a wait that leaves a job without a run after the end of the traffic: it has to
    # start again within 17 s if its worker is gone.
    def test_is_given_up_in_time_if_the_worker_is_gone(self):
        world = self.begin(None)
        world.cell.take_down(world.host)
        world.cell.run_for(16.5)
        assert world.other.runs

    # Guards against a wait that goes on although the worker has told that nothing runs there.
    def test_is_waited_for_no_longer_once_the_worker_is_reached(self):
        world = self.begin(12.0)
        world.cell.run_for(5.0)
        world.host.faults.discard(Fault.CUT)
        world.host.faults.add(Fault.REFUSE)
        world.cell.run_for(1.5)
        assert world.other.runs
        world.cell.run_for(20.0)
        assert world.cell.violations == []


class TestAnsweredStartOfAPlainTask:
    # Guards against a wait for late starts of tasks that are known to have begun.
    @pytest.mark.parametrize("is_replaced", [False, True])
    def test_is_waited_for_no_longer_than_its_lease(self, is_replaced):
        world = RestartingCell()
        world.submit_plain()
        world.wait_for_run()
        world.cell.submit(make_job("b", step(1, 100, 0.1)))
        world.cell.run_for(1.0)
        if is_replaced:
            # The record of a plain task tells of the answer with its next change.
            world.cell.owner.state.mark_dirty(world.cell.owner.state.jobs_by_id["a"])
            world.cell.run_for(0.1)
        world.cell.take_down(world.host)
        world.open_other()
        if is_replaced:
            world.replace_owner()
        world.cell.run_for(RESTART_BOUND_S)
        assert world.other.runs
        assert world.cell.violations == []


class TestWaitForAMarkedHost:
    # Guards against a wait for late calls to a process that the last owner has fenced.
    def test_is_no_longer_than_the_lease_that_its_process_took(self):
        world = RestartingCell()
        world.submit_late(0.3)
        world.crash_host()
        world.wait_for_run()
        world.cell.run_for(1.5)
        world.cell.take_down(world.host)
        world.replace_owner()
        world.open_other()
        world.cell.run_for(10.0 / 0.98 + 1.0)
        assert world.cell.violations == []
        assert world.other.runs
