"""Tests of tasks that wait for workers of earlier owners."""

from dataclasses import replace

import pytest

from redwingplank.batch.emulated_worker import Fault
from redwingplank.batch.emulator import EmulatedCell
from redwingplank.batch.model import Incarnation, JobState
from redwingplank.batch.owner import JobOwner
from redwingplank.batch.settings import BatchSettings
from redwingplank.batch.tests.cells import make_cell, make_config, make_job, make_worker, step

RESTART_BOUND_S = 8.0
"""A task that lasts has to run again after 7 s without a disruption; a change of owners that is
noticed late leaves 1 s more."""
SLOWEST_CLOCK_RATE = 0.98
LONG_LEASES = BatchSettings(lease_s=6.5, lease_limit_s=10.0)


def record_decisions(monkeypatch):
    """Return a list that the decisions of all owners made afterwards are added to."""
    decisions = []

    def make(self, settings, epoch, config, _log, init=JobOwner.__init__):
        init(
            self, settings, epoch, config, lambda event, **fields: decisions.append((event, fields))
        )

    monkeypatch.setattr(JobOwner, "__init__", make)
    return decisions


def make_cell_with_lasting_job(**values):
    """Return a cell of three workers, and a worker that runs one of the two tasks of job "a".

    Both tasks last, and each takes up a worker.
    """
    cell = make_cell(3, **values)
    cell.submit(make_job("a", step(2, 8000, is_lasting=True), queue="watch"))
    cell.run_for(1.0)
    hosts = [worker for worker in cell.workers.values() if worker.runs]
    assert len(hosts) == 2
    return cell, hosts[0]


def lease_left_s(cell, host):
    """Return how long the owner thinks that a worker which has answered may have a lease."""
    known = cell.owner.state.workers_by_id[host.entry.worker_id]
    assert known.clock_ms is not None
    return (known.lease_until_ms - known.clock_now_ms(cell.now_s)) / 1000


def count_running(cell):
    return sum(len(worker.runs) for worker in cell.workers.values() if not worker.is_down)


class TestLog:
    # Guards against a takeover whose log does not tell which worker a late task had waited for.
    def test_names_the_silent_worker_and_the_longest_wait(self, monkeypatch):
        cell, host = make_cell_with_lasting_job()
        cell.take_down(host)
        decisions = record_decisions(monkeypatch)
        cell.replace_owner()
        cell.owner.log_unlisted_hosts(cell.now_s)
        (awaited,) = [fields for event, fields in decisions if event == "host_awaited"]
        assert awaited["worker"] == host.entry.worker_id
        assert awaited["tasks"] == 1
        waited_from_s = cell.now_s
        while not any(event == "host_free" for event, _ in decisions):
            cell.run_for(0.1)
        assert abs(cell.now_s - waited_from_s - awaited["remaining_s"]) < 0.2

    # Guards against a worker that is listed but does not answer, and is left out of the log.
    def test_names_a_listed_worker_that_does_not_answer(self, monkeypatch):
        cell, host = make_cell_with_lasting_job()
        host.faults.add(Fault.CUT)
        decisions = record_decisions(monkeypatch)
        cell.replace_owner()
        cell.run_for(2.0)
        assert [fields["worker"] for event, fields in decisions if event == "host_awaited"] == [
            "w0"
        ]
        assert cell.state("a") is JobState.RUNNING


class TestLastingTasksAfterAChangeOfOwners:
    # Guards against a next owner that waits for longer than leases last after its predecessor.
    @pytest.mark.parametrize("died_before_s", [0.1, 2.0, 4.0])
    def test_start_again_in_time(self, died_before_s):
        cell, host = make_cell_with_lasting_job(settings=LONG_LEASES)
        cell.take_down(host)
        cell.run_for(died_before_s)
        cell.replace_owner()
        cell.run_for(RESTART_BOUND_S)
        assert count_running(cell) == 2
        assert cell.violations == []

    # Guards against the same if the worker and the owner are lost while the store serves nobody.
    def test_start_again_in_time_after_an_outage_of_the_store(self):
        cell, host = make_cell_with_lasting_job(settings=LONG_LEASES)
        cell.is_store_unavailable = True
        cell.run_for(0.3)
        cell.take_down(host)
        cell.run_for(2.5)
        cell.is_store_unavailable = False
        cell.replace_owner()
        cell.run_for(RESTART_BOUND_S)
        assert count_running(cell) == 2
        assert cell.violations == []

    # Guards against a longer wait for a worker that had answered the new owner before it died.
    @pytest.mark.parametrize("died_after_s", [0.2, 0.5, 2.0])
    def test_start_again_in_time_if_the_worker_dies_just_after_it(self, died_after_s):
        cell, host = make_cell_with_lasting_job(settings=LONG_LEASES)
        cell.replace_owner()
        cell.run_for(died_after_s)
        cell.take_down(host)
        cell.run_for(RESTART_BOUND_S)
        assert count_running(cell) == 2
        assert cell.violations == []

    # Guards against an owner whose wait adds to those of its predecessors.
    def test_start_again_in_time_after_two_changes(self):
        cell, host = make_cell_with_lasting_job(settings=LONG_LEASES)
        cell.take_down(host)
        for _ in range(2):
            cell.run_for(2.0)
            cell.replace_owner()
        cell.run_for(RESTART_BOUND_S)
        assert count_running(cell) == 2
        assert cell.violations == []


def make_cell_with_cut_host(**values):
    """Return a cell whose next owner does not reach a worker that runs a lasting task."""
    cell, host = make_cell_with_lasting_job(settings=LONG_LEASES, **values)
    set_clock_rate(cell, host, SLOWEST_CLOCK_RATE)
    cell.run_for(1.0)
    host.faults.add(Fault.CUT)
    return cell, host


def set_clock_rate(cell, worker, rate):
    """Let the clock of a worker go on at a rate."""
    now_s = worker.clock_s(cell.now_s)
    worker.clock_rate = rate
    worker.clock_offset_s = now_s - rate * cell.now_s


def run_until_lapsed(cell, host):
    """Run until the runs of a worker have lapsed, and return how long that took."""
    begin_s = cell.now_s
    while host.runs:
        cell.run_for(0.1)
        assert cell.now_s - begin_s < 30.0
    return cell.now_s - begin_s


class TestOwnerThatWasReplaced:
    # Guards against a second run of a task whose worker a replaced owner, which did not learn of
    # its replacement, still reaches.
    def test_grants_no_lease_that_outlasts_the_wait_of_the_next(self):
        cell, host = make_cell_with_cut_host()
        cell.replace_owner(keeps_sending=True)
        assert run_until_lapsed(cell, host) > LONG_LEASES.lease_s
        cell.run_for(RESTART_BOUND_S)
        assert count_running(cell) == 2
        assert cell.violations == []

    # Guards against the same if the replaced owner had not reached the store for some time.
    @pytest.mark.parametrize("outage_s", [0.5, 1.5, 3.0, 3.4, 6.0])
    def test_grants_no_lease_that_outlasts_the_wait_after_an_outage(self, outage_s):
        cell, host = make_cell_with_cut_host()
        host.faults.clear()
        cell.is_store_unavailable = True
        cell.run_for(outage_s)
        cell.is_store_unavailable = False
        host.faults.add(Fault.CUT)
        cell.replace_owner(keeps_sending=True)
        run_until_lapsed(cell, host)
        cell.run_for(RESTART_BOUND_S)
        assert count_running(cell) == 2
        assert cell.violations == []

    # Guards against a wait that holds for the last owner but not for the one before it.
    def test_grants_no_lease_that_outlasts_the_wait_of_the_one_after_next(self):
        cell, host = make_cell_with_cut_host()
        cell.replace_owner(keeps_sending=True)
        cell.run_for(0.1)
        cell.replace_owner(keeps_sending=True)
        run_until_lapsed(cell, host)
        cell.run_for(RESTART_BOUND_S)
        assert count_running(cell) == 2
        assert cell.violations == []


class TestLeaseOfAnOwnerWithoutTheStore:
    # Guards against runs that end in an outage of the store that they could have survived.
    def test_lasts_through_an_outage_of_six_seconds(self):
        cell, _ = make_cell_with_lasting_job(settings=LONG_LEASES)
        cell.is_store_unavailable = True
        cell.run_for(6.0)
        cell.is_store_unavailable = False
        starts = cell.starts
        cell.run_for(10.0)
        assert cell.starts == starts

    # Guards against runs of a worker that was cut off in an outage, which ended although its owner
    # reached it again before its lease was over.
    def test_is_renewed_after_a_cut_within_an_outage(self):
        cell, host = make_cell_with_lasting_job(settings=LONG_LEASES)
        cell.is_store_unavailable = True
        cell.run_for(0.5)
        host.faults.add(Fault.CUT)
        cell.run_for(2.5)
        host.faults.clear()
        cell.run_for(1.5)
        cell.is_store_unavailable = False
        starts = cell.starts
        cell.run_for(10.0)
        assert cell.starts == starts

    # Guards against a lease that is counted from the command instead of from the last proof.
    def test_ends_a_fixed_time_after_the_last_proof(self):
        cell, host = make_cell_with_lasting_job(settings=LONG_LEASES)
        cell.is_store_unavailable = True
        proven_s = cell.now_s
        run_until_lapsed(cell, host)
        assert cell.now_s - proven_s == pytest.approx(LONG_LEASES.proof_lease_s, abs=0.2)


class TestWaitForLeasesWithoutABound:
    # Guards against a wait that is too short after an owner of an earlier version, whose leases
    # last for longer.
    def test_is_as_long_as_the_longest_lease_may_last(self):
        cell, host = make_cell_with_lasting_job(settings=LONG_LEASES)
        cell.are_leases_bounded = False
        host.faults.add(Fault.CUT)
        cell.replace_owner()
        (until_s,) = [
            until_s
            for name, until_s in cell.owner.state.unconfirmed_hosts.items()
            if name == host.entry.worker_id
        ]
        assert until_s - cell.now_s == pytest.approx(LONG_LEASES.unbounded_wait_s)
        assert LONG_LEASES.unbounded_wait_s > 15.0

    # Guards against a worker whose new process took a lease on the clock of the one before it.
    @pytest.mark.parametrize("is_seen_at_once", [True, False])
    def test_holds_for_a_worker_that_has_restarted(self, is_seen_at_once):
        cell, host = make_cell_with_lasting_job(settings=LONG_LEASES)
        host.faults.add(Fault.CUT)
        restarted = replace(host.entry, born_ms=host.entry.born_ms + 1)
        if is_seen_at_once:
            host.entry = restarted
        cell.replace_owner()
        if not is_seen_at_once:
            cell.run_for(2.0)
            host.entry = restarted
            cell.owner.list_workers(cell._entries(), cell.now_s)
        until_s = cell.owner.state.unconfirmed_hosts[host.entry.worker_id]
        assert until_s - cell.now_s == pytest.approx(LONG_LEASES.unbounded_wait_s)
        assert cell.owner.state.workers_by_id[host.entry.worker_id].unconfirmed_until_s == until_s

    # Guards against the same if the worker answers before it becomes silent.
    @pytest.mark.parametrize("answered_before_s", [0.0, 1.0])
    def test_holds_for_a_restarted_worker_that_answers(self, answered_before_s):
        cell, host = make_cell_with_lasting_job(settings=LONG_LEASES)
        cell.replace_owner()
        cell.run_for(answered_before_s)
        cell.crash(host.entry.worker_id)
        cell.run_for(0.7)
        assert lease_left_s(cell, host) > LONG_LEASES.lease_limit_s - 1.0

    def test_holds_for_a_worker_that_restarted_before_the_change(self):
        cell, host = make_cell_with_lasting_job(settings=LONG_LEASES)
        cell.crash(host.entry.worker_id)
        cell.replace_owner()
        cell.run_for(0.7)
        assert lease_left_s(cell, host) > LONG_LEASES.lease_limit_s - 1.0

    def test_holds_for_a_worker_that_answers(self):
        cell, host = make_cell_with_lasting_job(settings=LONG_LEASES)
        cell.are_leases_bounded = False
        cell.replace_owner()
        cell.run_for(0.7)
        assert lease_left_s(cell, host) > LONG_LEASES.lease_limit_s - 1.0


class TestHostsThatWereGivenUp:
    # Guards against owners that wait one after the other for a worker that is known to be gone.
    def test_are_not_waited_for_by_the_next_owner(self):
        cell, host = make_cell_with_lasting_job(settings=LONG_LEASES)
        cell.take_down(host)
        cell.replace_owner()
        cell.run_for(RESTART_BOUND_S)
        cell.replace_owner()
        assert host.entry.worker_id not in cell.owner.state.unconfirmed_hosts
        assert cell.violations == []

    # Guards against forgetting where a run is that goes on.
    def test_leave_the_hosts_of_present_runs(self):
        cell, host = make_cell_with_lasting_job(settings=LONG_LEASES)
        cell.take_down(host)
        cell.replace_owner()
        cell.run_for(RESTART_BOUND_S)
        cell.replace_owner()
        running = {name for name, worker in cell.workers.items() if worker.runs}
        assert set(cell.owner.state.unconfirmed_hosts) == running

    # Guards against a pass over all tasks of all jobs for each worker, which holds up the owner.
    def test_are_taken_out_at_a_cost_that_does_not_grow_with_the_tasks(self):
        workers = [make_worker(number) for number in range(40)]
        cell = EmulatedCell(make_config(), workers, settings=LONG_LEASES)
        state = cell.owner.state
        spec = make_job("a", step(1500, 1))
        cell.owner.submit(spec, cell.now_s, cell.now_s)
        (wide,) = state.jobs_by_id["a"].steps_by_key.values()
        hosts = [Incarnation(name, f"{name}:80", 1) for name in cell.workers]
        for host in hosts:
            wide.hosts[host] = (1 << 1500) - 1
            state.unconfirmed_hosts[host.worker_id] = cell.now_s
        touched = CountingTasks(wide.tasks)
        wide.tasks = touched
        cell.owner._watchdog.check(cell.now_s)
        assert state.unconfirmed_hosts == {} and wide.hosts == {}
        assert touched.looks == 0


class CountingTasks(list):
    """Tasks of a step that count how often one is looked at."""

    looks = 0

    def __iter__(self):
        for task in super().__iter__():
            self.looks += 1
            yield task

    def __getitem__(self, index):
        self.looks += 1
        return super().__getitem__(index)
