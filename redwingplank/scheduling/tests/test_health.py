"""Bad workers, bad jobs, learning and overshoot."""

import itertools

from redwingplank.config import DeadlineClass, PlacementPolicyName, WorkloadKind
from redwingplank.core import make_resources
from redwingplank.platform import TaskCommandKind
from redwingplank.scheduling import SchedulerSettings
from redwingplank.scheduling.tests.shard import Shard, make_declarations, make_service, payload


class TestRetries:
    def test_task_that_fails_everywhere_ends_with_its_reason(self):
        shard = Shard(make_declarations(make_service(max_attempts=3)))
        shard.add_workers(4)
        shard.submit(payload=payload(run_s=0.1, is_failing=True))
        shard.run(15.0)
        assert shard.state_of() == "failed"
        assert shard.starts_by_task() == {"job/0": 3}
        status = shard.scheduler.job_status("job", 0.0)
        assert status is not None
        assert "failed 3 times" in status.tasks[0].reason

    def test_attempts_go_to_different_workers_with_growing_delays(self):
        shard = Shard(make_declarations(make_service(max_attempts=4)))
        shard.add_workers(4)
        shard.submit(payload=payload(run_s=0.1, is_failing=True))
        shard.run(30.0)
        events = [event for event in shard.history.events if event.kind == "task_started"]
        assert len({event.vm for event in events}) == 4
        gaps = [b.time_s - a.time_s for a, b in itertools.pairwise(events)]
        assert gaps == sorted(gaps)


class TestQuarantine:
    def test_bad_worker_is_quarantined_and_spoils_no_job(self):
        shard = Shard(make_declarations(make_service(max_attempts=2)))
        shard.add_workers(4)
        shard.workers_by_name["w1"].switches.is_failing = True
        for number in range(60):
            shard.submit(f"job-{number}", payload=payload(run_s=2.0))
            shard.run(0.2)
        shard.run(20.0)
        assert {shard.state_of(f"job-{number}") for number in range(60)} == {"succeeded"}
        assert any("event=worker_quarantined worker=w1" in line for line in shard.decisions)
        assert not any("worker_quarantined worker=w0" in line for line in shard.decisions)

    def test_spoilt_attempt_is_given_back(self):
        settings = SchedulerSettings("s", quarantine_score=0.2)
        shard = Shard(make_declarations(make_service(max_attempts=1)), settings)
        shard.add_workers(2)
        shard.workers_by_name["w0"].switches.is_failing = True
        shard.submit(payload=payload(run_s=0.2))
        shard.run(5.0)
        assert shard.state_of() == "succeeded"
        assert shard.starts_by_task() == {"job/0": 2}

    def test_worker_that_fails_one_large_job_is_found(self):
        shard = Shard(make_declarations(make_service(max_attempts=2)))
        shard.add_workers(4)
        shard.workers_by_name["w1"].switches.is_failing = True
        shard.submit(task_count=200, payload=payload(run_s=0.5))
        shard.run(60.0)
        assert shard.state_of() == "succeeded"
        assert any("event=worker_quarantined worker=w1" in line for line in shard.decisions)

    def test_bad_jobs_quarantine_nobody(self):
        shard = Shard()
        shard.add_workers(4)
        for number in range(10):
            shard.submit(
                f"bad-{number}", task_count=20, payload=payload(run_s=0.1, is_failing=True)
            )
            shard.submit(f"good-{number}", task_count=4, payload=payload(run_s=0.3))
        shard.run(40.0)
        assert not any("event=worker_quarantined" in line for line in shard.decisions)
        assert {shard.state_of(f"bad-{number}") for number in range(10)} == {"failed"}

    def test_mended_worker_returns_after_one_probe(self):
        settings = SchedulerSettings("s", quarantine_s=5.0)
        shard = Shard(settings=settings)
        shard.add_workers(2)
        shard.workers_by_name["w1"].switches.is_failing = True
        for number in range(30):
            shard.submit(f"job-{number}", payload=payload(run_s=2.0))
        shard.run(6.0)
        assert shard.scheduler.summary(0.0).quarantined_count == 1
        shard.workers_by_name["w1"].switches.is_failing = False
        shard.submit("more", task_count=60, payload=payload(run_s=1.0))
        shard.run(30.0)
        assert shard.scheduler.summary(0.0).quarantined_count == 0
        assert any("event=worker_returned worker=w1" in line for line in shard.decisions)

    def test_probes_of_a_bad_worker_become_rarer(self):
        settings = SchedulerSettings("s", quarantine_s=3.0)
        shard = Shard(make_declarations(make_service(max_attempts=10)), settings)
        shard.add_workers(2)
        shard.workers_by_name["w1"].switches.is_failing = True
        for number in range(300):
            shard.submit(f"job-{number}", payload=payload(run_s=2.0))
        shard.run(60.0, 0.1)
        starts = [event for event in shard.history.events if event.kind == "task_started"]
        on_bad = [event for event in starts if event.vm == "w1" and event.time_s > 110.0]
        assert 0 < len(on_bad) <= 5

    def test_probe_that_keeps_running_returns_the_worker(self):
        web = make_service("web", kind=WorkloadKind.SERVICE, count=1)
        shard = Shard(
            make_declarations(make_service(), web),
            SchedulerSettings("s", quarantine_s=2.0, quarantine_score=0.2),
        )
        shard.add_workers(1)
        switches = shard.workers_by_name["w0"].switches
        switches.is_failing = True
        shard.run(1.0)
        assert shard.scheduler.summary(0.0).quarantined_count == 1
        switches.is_failing = False
        shard.run(40.0, 0.2)
        assert shard.scheduler.summary(0.0).open_worker_count == 1


class TestLearning:
    def test_next_tasks_reserve_what_the_last_ones_used(self):
        shard = Shard()
        shard.add_workers(4)
        shard.submit(task_count=20, payload=payload(run_s=5.0, used_memory_mib=2000))
        shard.run(40.0, 0.2)
        shard.submit("second", payload=payload(run_s=1e6))
        shard.run(2.0)
        (worker,) = shard.running_on()["second/0"]
        attempt = shard.workers_by_name[worker].attempts_by_task["second/0"]
        assert attempt.start.reserved.memory_mib == 2000
        assert attempt.start.reserved.millicores == 1000

    def test_waiting_policy_prefers_fast_workers(self):
        service = make_service(policy=PlacementPolicyName.WAITING)
        shard = Shard(make_declarations(service))
        shard.add_workers(1, speed=1.0)
        shard.add_workers(1, speed=4.0)
        shard.submit(task_count=200, payload=payload(run_s=2.0))
        shard.run(60.0, 0.1)
        shard.submit("last", task_count=4, payload=payload(run_s=1e6))
        shard.run(3.0)
        assert {places[0] for places in shard.running_on().values()} == {"w1"}


class TestOvershoot:
    def overshoot(self, **fields) -> tuple[Shard, list[tuple[str, TaskCommandKind]]]:
        low = make_service("low", priority=100, deadline_class=DeadlineClass.BULK, **fields)
        high = make_service("high", priority=900)
        shard = Shard(make_declarations(low, high))
        shard.add_workers(1, make_resources(4000, 4096))
        actions: list[tuple[str, TaskCommandKind]] = []

        def watch(worker, request):
            actions.extend((action.task_id, action.kind) for action in request.actions)
            return ""

        shard.fault = watch
        body = payload(run_s=200.0, used_memory_mib=1500)
        shard.submit("high-job", "high", task_count=2, payload=body)
        shard.submit("low-job", "low", task_count=2, payload=body)
        shard.run(40.0, 0.1)
        return shard, actions

    def test_throttle_then_checkpoint_lowest_priority_first(self):
        _shard, actions = self.overshoot(is_checkpointable=True)
        kinds = [kind for _, kind in actions[:2]]
        assert kinds == [TaskCommandKind.THROTTLE, TaskCommandKind.CHECKPOINT]
        assert {task for task, _ in actions[:2]} == {"low-job/1"}

    def test_throttle_then_stop_without_checkpoints(self):
        _shard, actions = self.overshoot()
        assert [kind for _, kind in actions[:2]] == [TaskCommandKind.THROTTLE, TaskCommandKind.STOP]

    def test_reservation_grows_where_there_is_room(self):
        shard = Shard()
        shard.add_workers(1)
        shard.submit(payload=payload(run_s=100.0, used_memory_mib=3000))
        shard.run(6.0)
        summary = shard.scheduler.summary(0.0)
        assert summary.capacity.memory_mib - summary.free.memory_mib == 3000
        shard.run(100.0, 0.5)
        assert shard.scheduler.summary(0.0).free == summary.capacity
