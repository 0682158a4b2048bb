"""Tests of lost exchanges, failing workers and recovery.

A task runs in at most one place at a time, and a non-idempotent task starts at most once.
"""

import pytest

from redwingplank.config import Declarations, WorkloadKind
from redwingplank.core import make_resources
from redwingplank.platform import StartTask, WorkerRequest
from redwingplank.scheduling import SchedulerSettings
from redwingplank.scheduling.messages import (
    DeclarationsChanged,
    JournalCommitted,
    StartIntended,
    WorkerUnreachable,
)
from redwingplank.scheduling.state import ATTEMPTS_PER_EPOCH
from redwingplank.scheduling.tests.shard import Shard, make_declarations, make_service, payload

ONCE = make_declarations(make_service(is_idempotent=False))


def fail_once(kind: str):
    """Return a fault function that injects `kind` into the first exchange with starts."""
    hit_workers: list[str] = []

    def fault(worker, request):
        if request.starts and not hit_workers:
            hit_workers.append(worker)
            return kind
        return ""

    return fault


class TestLostExchange:
    @pytest.mark.parametrize("kind", ["lost_request", "refused_connection", "lost_answer"])
    @pytest.mark.parametrize("is_idempotent", [True, False])
    def test_task_runs_exactly_once(self, kind, is_idempotent):
        shard = Shard(make_declarations(make_service(is_idempotent=is_idempotent)))
        shard.fault = fail_once(kind)
        shard.add_workers(2)
        shard.submit(task_count=4, payload=payload(run_s=3.0))
        shard.run(15.0)
        assert shard.state_of() == "succeeded"
        assert set(shard.starts_by_task().values()) == {1}

    def test_doubled_answer_changes_nothing(self):
        shard = Shard()
        shard.fault = lambda worker, request: "doubled_answer"
        shard.add_workers(2)
        shard.submit(task_count=30, payload=payload(run_s=0.7))
        shard.run(15.0)
        assert shard.state_of() == "succeeded"
        assert set(shard.starts_by_task().values()) == {1}

    def test_commands_of_a_lost_exchange_are_sent_again(self):
        shard = Shard()
        shard.add_workers(1)
        shard.submit(payload=payload(run_s=100.0))
        shard.run(1.0)
        shard.fault = lambda worker, request: "lost_request" if request.actions else ""
        shard.cancel()
        shard.run(1.0)
        shard.fault = lambda worker, request: ""
        shard.run(4.0)
        assert shard.state_of() == "cancelled"
        assert shard.running_on() == {}


class TestSilentWorker:
    def test_tasks_move_only_after_their_lease_lapsed(self):
        shard = Shard()
        shard.add_workers(2)
        shard.submit(payload=payload(run_s=100.0))
        shard.run(1.0)
        (first,) = shard.running_on()["job/0"]
        shard.workers_by_name[first].switches.is_paused = True
        for _ in range(400):
            shard.tick()
            assert len(shard.running_on().get("job/0", ())) <= 1
        assert shard.running_on()["job/0"] != [first]

    def test_probes_of_a_silent_worker_renew_nothing(self):
        shard = Shard()
        shard.add_workers(1)
        shard.submit(payload=payload(run_s=100.0))
        shard.run(1.0)
        shard.fault = lambda worker, request: "lost_answer"
        leases: list[float] = []
        for _ in range(60):
            outbox = shard.tick(0.1)
            leases.extend(request.lease_s for request in outbox.requests_by_worker.values())
        assert leases[0] > 0
        assert set(leases[1:]) == {0.0}

    def test_returning_in_time_keeps_its_tasks(self):
        shard = Shard()
        shard.add_workers(2)
        shard.submit(payload=payload(run_s=20.0))
        shard.run(1.0)
        (name,) = shard.running_on()["job/0"]
        shard.workers_by_name[name].switches.is_paused = True
        shard.run(3.0)
        shard.workers_by_name[name].switches.is_paused = False
        shard.run(30.0)
        assert shard.state_of() == "succeeded"
        assert shard.starts_by_task() == {"job/0": 1}

    def test_restart_loses_everything_there(self):
        shard = Shard()
        shard.add_workers(1)
        shard.submit(payload=payload(run_s=5.0))
        shard.run(1.0)
        shard.workers_by_name["w0"].restart()
        shard.run(15.0)
        assert shard.state_of() == "succeeded"
        assert shard.starts_by_task() == {"job/0": 2}

    def test_vm_gone_from_the_list_beyond_the_lag(self):
        shard = Shard()
        shard.add_workers(2)
        shard.submit(payload=payload(run_s=100.0))
        shard.run(1.0)
        (name,) = shard.running_on()["job/0"]
        shard.workers_by_name[name].switches.is_dead = True
        shard.workers_by_name[name].restart()
        shard.list_vms(gone=(name,))
        shard.run(5.5)
        assert shard.running_on()["job/0"] != [name]
        assert name not in shard.scheduler.explain("job", shard.clock.now_s())[-1]


class TestNonIdempotent:
    def test_intent_is_durable_before_the_start(self):
        shard = Shard(ONCE, is_committing=False)
        shard.add_workers(2)
        shard.submit(task_count=3)
        shard.tick()
        shard.inbox.append(JournalCommitted(1))
        shard.run(1.0)
        assert len(shard.entries(StartIntended)) == 1
        assert len(shard.entries(StartIntended)[0].attempts) == 3
        assert shard.starts_by_task() == {}
        shard.inbox.append(JournalCommitted(2))
        shard.tick()
        assert set(shard.starts_by_task().values()) == {1}

    @pytest.mark.parametrize("failure", ["is_paused", "is_dead"])
    def test_lost_attempt_ends_as_unknown(self, failure):
        shard = Shard(ONCE)
        shard.add_workers(2)
        shard.submit(payload=payload(run_s=100.0))
        shard.run(1.0)
        (name,) = shard.running_on()["job/0"]
        setattr(shard.workers_by_name[name].switches, failure, True)
        shard.run(15.0)
        assert shard.state_of() == "unknown"
        assert shard.task_states() == ["unknown"]
        assert shard.starts_by_task() == {"job/0": 1}

    def test_restart_between_send_and_answer(self):
        shard = Shard(ONCE)
        shard.fault = fail_once("lost_answer")
        shard.add_workers(1)
        shard.submit(payload=payload(run_s=100.0))
        shard.run(0.3)
        assert shard.starts_by_task() == {"job/0": 1}
        shard.workers_by_name["w0"].restart()
        shard.run(15.0)
        assert shard.state_of() == "unknown"
        assert shard.starts_by_task() == {"job/0": 1}

    def test_refused_attempt_is_tried_again_with_a_new_intent(self):
        shard = Shard(ONCE)
        shard.add_workers(1)
        switches = shard.workers_by_name["w0"].switches

        def leave_at_start(worker, request):
            switches.is_leaving = bool(request.starts) and request.starts[0].attempt == 1
            return ""

        shard.fault = leave_at_start
        shard.submit()
        shard.run(5.0)
        assert shard.state_of() == "succeeded"
        assert len(shard.entries(StartIntended)) == 2

    def test_failed_attempt_is_final(self):
        shard = Shard(ONCE)
        shard.add_workers(2)
        shard.submit(payload=payload(run_s=0.1, is_failing=True))
        shard.run(10.0)
        assert shard.state_of() == "failed"
        assert shard.starts_by_task() == {"job/0": 1}


class TestRestartBeforeAStart:
    @pytest.mark.parametrize("is_idempotent", [True, False])
    def test_start_reached_the_new_incarnation(self, is_idempotent):
        shard = Shard(make_declarations(make_service(is_idempotent=is_idempotent)))
        shard.add_workers(2)
        shard.run(0.5)
        for worker in shard.workers_by_name.values():
            worker.restart()
        shard.fault = fail_once("lost_answer")
        shard.submit(payload=payload(run_s=3.0))
        for _ in range(200):
            shard.tick()
            assert all(len(places) == 1 for places in shard.running_on().values())
        assert shard.state_of() == "succeeded"
        assert shard.starts_by_task() == {"job/0": 1}

    @pytest.mark.parametrize("is_idempotent", [True, False])
    def test_end_in_the_new_incarnation_is_not_acknowledged_unseen(self, is_idempotent):
        shard = Shard(make_declarations(make_service(is_idempotent=is_idempotent)))
        shard.add_workers(1)
        shard.submit("first", task_count=8, payload=payload(run_s=0.2))
        shard.run(5.0)
        shard.workers_by_name["w0"].restart()
        shard.fault = fail_once("lost_answer")
        shard.submit(payload=payload(run_s=0.01))
        shard.run(20.0)
        assert shard.state_of() == "succeeded"
        assert shard.starts_by_task()["job/0"] == 1

    def test_start_that_a_worker_ignores_is_given_up(self):
        shard = Shard()
        shard.add_workers(1)
        shard.workers_by_name["w0"].highest_attempt_by_task["job/0"] = 1
        shard.submit(payload=payload(run_s=1.0))
        shard.run(10.0)
        assert shard.state_of() == "succeeded"


SERVICE_TASK = "s.service:bureau:web/0"


class TestTasksThatCrashTheirVms:
    """Failure: a task restarts the VM that starts it, one after the other, and tasks beside it."""

    def run(self, shard: Shard, deadly: str) -> None:
        shard.add_workers(6)
        for number in range(8):
            shard.submit(f"j{number}", task_count=2, payload=payload(run_s=2.0))
        for _ in range(1200):
            shard.tick()
            for name in shard.running_on().get(deadly, []):
                shard.workers_by_name[name].restart()

    def test_are_given_up_and_those_beside_them_complete(self):
        shard = Shard()
        shard.submit("deadly", task_count=2, payload=payload(run_s=3.0))
        self.run(shard, "deadly/0")
        assert shard.state_of("deadly") == "failed"
        assert shard.starts_by_task()["deadly/0"] <= 5
        assert {shard.state_of(f"j{number}") for number in range(8)} == {"succeeded"}

    def test_of_services_start_again_ever_more_rarely(self):
        service = make_service("web", kind=WorkloadKind.SERVICE, count=1)
        shard = Shard(make_declarations(make_service(), service))
        self.run(shard, SERVICE_TASK)
        assert 2 <= shard.starts_by_task()[SERVICE_TASK] <= 8
        assert {shard.state_of(f"j{number}") for number in range(8)} == {"succeeded"}

    def test_of_services_start_again_at_once_when_others_are_the_cause(self):
        service = make_service("web", kind=WorkloadKind.SERVICE, count=1)
        shard = Shard(make_declarations(make_service(), service))
        shard.add_workers(2)
        for uptime_s in (0.5, 0.5, 0.5, 10.0):
            while SERVICE_TASK not in shard.running_on():
                shard.tick()
            shard.run(uptime_s)
            (host,) = shard.running_on()[SERVICE_TASK]
            shard.workers_by_name[host].restart()
        shard.run(1.5)
        assert SERVICE_TASK in shard.running_on()

    def test_a_vm_that_restarts_often_is_no_reason_to_give_up_what_ran_there_for_long(self):
        shard = Shard()
        shard.add_workers(1)
        shard.submit(payload=payload(run_s=500.0))
        for _ in range(10):
            shard.run(4.0)
            shard.workers_by_name["w0"].restart()
        shard.run(1.0)
        assert shard.state_of() == "running"


class TestRecovery:
    def run_then_take_over(self, declarations, unreachable: str = "", **fields) -> Shard:
        first = Shard(declarations)
        first.add_workers(3)
        first.submit(task_count=6, payload=payload(run_s=4.0), **fields)
        first.run(1.0)
        second = first.take_over()
        second.join_all(but=unreachable)
        return second

    @pytest.mark.parametrize("is_idempotent", [True, False])
    def test_running_tasks_are_found_and_not_started_again(self, is_idempotent):
        shard = self.run_then_take_over(
            make_declarations(make_service(is_idempotent=is_idempotent))
        )
        shard.run(10.0)
        assert shard.state_of() == "succeeded"
        assert set(shard.starts_by_task().values()) == {1}

    def test_nothing_recovered_is_placed_while_a_worker_is_missing(self):
        shard = self.run_then_take_over(make_declarations(), unreachable="w0")
        shard.workers_by_name["w0"].switches.is_paused = True
        for _ in range(400):
            shard.tick()
            assert all(len(places) <= 1 for places in shard.running_on().values())
        assert shard.state_of() == "succeeded"

    def test_unsettled_intents_end_as_unknown(self):
        shard = self.run_then_take_over(ONCE, unreachable="w0")
        shard.workers_by_name["w0"].switches.is_dead = True
        lost = {task for task, places in shard.running_on().items() if places == ["w0"]}
        assert lost
        shard.run(30.0)
        assert shard.state_of() == "unknown"
        status = shard.scheduler.job_status("job", shard.clock.now_s())
        assert status is not None
        unknown = {task.task_id for task in status.tasks if task.state == "unknown"}
        assert unknown == lost
        assert set(shard.starts_by_task().values()) == {1}

    def test_intent_that_was_never_sent(self):
        first = Shard(ONCE)
        first.add_workers(1)
        first.submit()
        first.fault = lambda worker, request: "lost_request" if request.starts else ""
        first.run(0.5)
        assert first.starts_by_task() == {}
        second = first.take_over()
        second.list_vms()
        second.adopt("w0")
        second.run(5.0)
        assert second.state_of() == "unknown"

    def test_job_of_a_service_that_is_not_declared_yet_waits(self):
        first = Shard()
        first.submit()
        first.run(0.5)
        second = first.take_over()
        declarations, second.declarations = second.declarations, Declarations()
        second.scheduler = second.make()
        second.list_vms()
        second.run(0.5)
        second.add_workers(1)
        second.run(3.0)
        assert second.state_of() == "accepted"
        assert "is not declared" in second.scheduler.explain("job", 0.0)[-1]
        second.inbox.append(DeclarationsChanged(declarations))
        second.run(5.0)
        assert second.state_of() == "succeeded"

    def test_cancelled_job_is_stopped_by_the_new_owner(self):
        first = Shard()
        first.add_workers(2)
        first.submit(task_count=4, payload=payload(run_s=100.0))
        first.run(1.0)
        first.fault = lambda worker, request: "lost_request"
        first.cancel()
        first.run(0.2)
        second = first.take_over()
        second.list_vms()
        second.adopt("w0")
        second.adopt("w1")
        second.run(5.0)
        assert second.state_of() == "cancelled"
        assert second.running_on() == {}

    def gang_with_an_unreachable_worker(
        self, millicores, run_s, **fields
    ) -> tuple[Shard, list[str]]:
        """Start a gang, pause one of its workers and take over; return where the tasks ran."""
        need = make_resources(millicores, 1024)
        first = Shard(make_declarations(make_service(kind=WorkloadKind.GANG, resources=need)))
        first.add_workers(4)
        first.submit(payload=payload(run_s=run_s), **fields)
        first.run(0.5)
        places = sorted({names[0] for names in first.running_on().values()})
        first.workers_by_name[places[0]].switches.is_paused = True
        first.clock.advance(1.0)
        second = first.take_over()
        second.join_all(but=places[0])
        return second, places

    def check_single_places(self, shard: Shard, ticks: int) -> None:
        for _ in range(ticks):
            shard.tick()
            assert all(len(names) == 1 for names in shard.running_on().values())
        assert shard.state_of() == "succeeded"

    def test_gang_is_not_placed_before_every_worker_is_adopted(self):
        shard, _ = self.gang_with_an_unreachable_worker(3000, 1.0, task_count=4)
        self.check_single_places(shard, 300)

    def test_gang_waits_for_a_member_that_may_still_run(self):
        shard, places = self.gang_with_an_unreachable_worker(8000, 30.0, task_count=3)
        shard.run(0.5)
        shard.workers_by_name[places[1]].restart()
        self.check_single_places(shard, 900)

    def test_attempts_grow_across_owners(self):
        first = Shard()
        first.add_workers(1)
        first.submit(payload=payload(run_s=0.1, is_failing=True))
        first.run(0.4)
        second = first.take_over()
        second.list_vms()
        second.adopt("w0")
        second.run(30.0)
        assert second.state_of() == "failed"
        attempts = [event.attempt for event in second.history.events if event.attempt]
        assert attempts == sorted(attempts)
        assert max(attempts) > ATTEMPTS_PER_EPOCH

    def test_workers_without_inventory_wait_for_the_fence(self):
        settings = SchedulerSettings("s", workers_have_inventory=False)
        first = Shard(settings=settings)
        first.add_workers(2)
        for worker in first.workers_by_name.values():
            worker.switches.has_inventory = False
        first.submit(task_count=2, payload=payload(run_s=3.0))
        first.run(1.0)
        second = first.take_over(fence_after_s=12.0)
        second.list_vms()
        second.adopt("w0")
        second.adopt("w1")
        for _ in range(500):
            second.tick()
            assert all(len(places) <= 1 for places in second.running_on().values())
        assert second.state_of() == "succeeded"

    def test_unknown_tasks_of_an_inventory_are_stopped(self):
        first = Shard()
        first.add_workers(1)
        first.submit(payload=payload(run_s=100.0))
        first.run(1.0)
        first.records.clear()
        second = first.take_over()
        second.list_vms()
        second.adopt("w0")
        second.run(2.0)
        assert second.running_on() == {}
        assert second.scheduler.summary(0.0).free == second.scheduler.summary(0.0).capacity


class TestMismatch:
    def test_unknown_attempt_at_a_worker_is_found_by_its_count_and_stopped(self):
        shard = Shard()
        shard.add_workers(1)
        shard.run(0.5)
        other = StartTask("other/0", 1, make_resources(1000, 1024), payload(run_s=100.0))
        shard.workers_by_name["w0"].exchange(WorkerRequest(1, 6.0, starts=(other,)))
        shard.fault = fail_once("lost_request")
        shard.submit(task_count=2, payload=payload(run_s=2.0))
        shard.run(10.0)
        assert any("event=inventory_wanted" in line for line in shard.decisions)
        assert any("event=stray_stopped" in line for line in shard.decisions)
        assert shard.state_of() == "succeeded"
        assert shard.running_on() == {}


class TestDuplicatedNews:
    def test_failure_without_an_exchange_is_ignored(self):
        shard = Shard()
        shard.add_workers(1)
        shard.submit(payload=payload(run_s=5.0))
        shard.run(1.0)
        shard.inbox.append(WorkerUnreachable("w0", True))
        shard.run(8.0)
        assert shard.starts_by_task() == {"job/0": 1}
