"""Quotas, declarations, fair shares, ageing, reservations and preemption."""

from dataclasses import replace

from redwingplank.config import DeadlineClass, Declarations, Organisation, WorkloadKind
from redwingplank.core import make_resources, sum_resources
from redwingplank.scheduling import SchedulerSettings
from redwingplank.scheduling.messages import DeclarationsChanged, GrantChanged, GrantWanted
from redwingplank.scheduling.tests.shard import Shard, make_declarations, make_service, payload

FOREVER = payload(run_s=1e6)
URGENT = make_service("urgent", deadline_class=DeadlineClass.URGENT, start_within_s=6.9)
BULK = make_service("bulk", deadline_class=DeadlineClass.BULK, start_within_s=3600.0)


def two_organisations(share_a: int, share_b: int) -> Declarations:
    """Return declarations of two organisations with the same service."""
    service = {"work": make_service()}
    return Declarations(
        1,
        {
            "a": Organisation("a", share_a, None, service),
            "b": Organisation("b", share_b, None, service),
        },
    )


def running_of(shard: Shard, prefix: str) -> int:
    """Return the number of running tasks of jobs whose id begins with `prefix`."""
    return sum(task.startswith(prefix) for task in shard.running_on())


class TestQuota:
    def test_nothing_starts_without_a_grant(self):
        shard = Shard(make_declarations(quota=make_resources(4000, 8192)))
        shard.add_workers(2)
        shard.submit(task_count=8, payload=FOREVER)
        shard.run(12.0)
        assert shard.running_on() == {}
        wanted = [m for m in shard.messages if isinstance(m, GrantWanted)]
        assert wanted[0].organisation == "bureau"
        assert wanted[0].wanted == make_resources(8000, 8 * 1024)
        assert 11 <= len(wanted) <= 12

    def test_wish_names_all_that_waits_also_what_came_after_the_first_wish(self):
        shard = Shard(make_declarations(make_service(), BULK, quota=make_resources(9000, 99_999)))
        shard.add_workers(2)
        shard.submit("first", task_count=1, payload=FOREVER)
        shard.run(0.5)
        shard.inbox.append(GrantChanged("bureau", make_resources(1000, 1024)))
        shard.submit("second", "bulk", task_count=3, payload=FOREVER)
        shard.submit("third", task_count=2, payload=FOREVER)
        shard.run(3.0)
        last = [m for m in shard.messages if isinstance(m, GrantWanted)][-1]
        assert running_of(shard, "first") == 1
        assert last.wanted == make_resources(5000, 5 * 1024)

    def test_grant_bounds_what_runs(self):
        shard = Shard(make_declarations(quota=make_resources(4000, 8192)))
        shard.add_workers(2)
        shard.submit(task_count=8, payload=FOREVER)
        shard.inbox.append(GrantChanged("bureau", make_resources(3000, 8192)))
        shard.run(2.0)
        assert len(shard.running_on()) == 3
        shard.inbox.append(GrantChanged("bureau", make_resources(4000, 8192)))
        shard.run(2.0)
        assert len(shard.running_on()) == 4

    def test_end_of_a_task_lets_the_next_one_start(self):
        shard = Shard(make_declarations(quota=make_resources(2000, 8192)))
        shard.add_workers(2)
        shard.inbox.append(GrantChanged("bureau", make_resources(2000, 8192)))
        shard.submit(task_count=6, payload=payload(run_s=0.5))
        shard.run(15.0)
        assert shard.state_of() == "succeeded"

    def test_unbounded_grant_stays_over_a_new_revision(self):
        quota = make_resources(4000, 8192)
        shard = Shard(make_declarations(quota=quota))
        shard.add_workers(1)
        shard.inbox.append(GrantChanged("bureau", None))
        shard.run(0.2)
        shard.inbox.append(DeclarationsChanged(make_declarations(revision=2, quota=quota)))
        shard.submit(payload=FOREVER)
        shard.run(1.0)
        assert len(shard.running_on()) == 1


class TestDeclarations:
    def test_waiting_jobs_take_the_new_parameters(self):
        shard = Shard(make_declarations(make_service(resources=make_resources(9000, 1))))
        shard.submit(payload=FOREVER)
        shard.run(0.2)
        shard.add_workers(1)
        shard.run(1.0)
        assert shard.running_on() == {}
        smaller = make_service(resources=make_resources(4000, 1))
        shard.inbox.append(DeclarationsChanged(make_declarations(smaller, revision=2)))
        shard.run(12.0)
        attempt = shard.workers_by_name["w0"].attempts_by_task["job/0"]
        assert attempt.start.reserved == make_resources(4000, 1)

    def test_shares_count_from_the_next_tick(self):
        shard = Shard(two_organisations(100, 100))
        shard.submit("a-job", organisation="a", task_count=50, payload=FOREVER)
        shard.submit("b-job", organisation="b", task_count=50, payload=FOREVER)
        shard.run(0.2)
        changed = replace(two_organisations(100, 300), revision=2)
        shard.inbox.append(DeclarationsChanged(changed))
        shard.tick()
        shard.add_workers(2)
        shard.run(1.0)
        assert (running_of(shard, "a-"), running_of(shard, "b-")) == (4, 12)

    def test_an_older_revision_changes_nothing(self):
        shard = Shard(replace(two_organisations(100, 300), revision=5))
        shard.submit("a-job", organisation="a", task_count=50, payload=FOREVER)
        shard.submit("b-job", organisation="b", task_count=50, payload=FOREVER)
        shard.inbox.append(DeclarationsChanged(replace(two_organisations(300, 100), revision=4)))
        shard.run(0.2)
        shard.add_workers(2)
        shard.run(1.0)
        assert (running_of(shard, "a-"), running_of(shard, "b-")) == (4, 12)

    def test_a_waiting_job_takes_its_services_new_deadline_class(self):
        first = make_service("first", deadline_class=DeadlineClass.STANDARD, start_within_s=120.0)
        second = make_service("second", deadline_class=DeadlineClass.BULK, start_within_s=3600.0)
        shard = Shard(make_declarations(first, second))
        shard.submit("first-job", "first", task_count=8, payload=FOREVER)
        shard.submit("second-job", "second", task_count=8, payload=FOREVER)
        shard.run(0.2)
        urgent = replace(second, deadline_class=DeadlineClass.URGENT, start_within_s=6.9)
        shard.inbox.append(DeclarationsChanged(make_declarations(first, urgent, revision=2)))
        shard.tick()
        shard.add_workers(1)
        shard.run(1.0)
        assert (running_of(shard, "first"), running_of(shard, "second")) == (0, 8)


class TestFairShare:
    def test_places_follow_the_weights(self):
        shard = Shard(two_organisations(300, 100))
        shard.add_workers(2)
        shard.submit("a-job", organisation="a", task_count=50, payload=FOREVER)
        shard.submit("b-job", organisation="b", task_count=50, payload=FOREVER)
        shard.run(2.0)
        assert (running_of(shard, "a-"), running_of(shard, "b-")) == (12, 4)

    def test_urgent_work_goes_before_bulk(self):
        shard = Shard(make_declarations(URGENT, BULK))
        shard.submit("bulk-job", "bulk", task_count=16, payload=FOREVER)
        shard.submit("urgent-job", "urgent", task_count=6, payload=FOREVER)
        shard.run(0.2)
        shard.add_workers(1)
        shard.run(1.0)
        assert (running_of(shard, "urgent"), running_of(shard, "bulk")) == (6, 2)

    def test_earliest_deadline_first_within_an_organisation(self):
        late, early = make_service("late", start_within_s=500.0), make_service("early")
        shard = Shard(make_declarations(late, early))
        shard.submit("late-job", "late", task_count=8, payload=FOREVER)
        shard.submit("early-job", "early", task_count=8, payload=FOREVER)
        shard.run(0.2)
        shard.add_workers(1)
        shard.run(1.0)
        assert (running_of(shard, "early"), running_of(shard, "late")) == (8, 0)

    def test_old_bulk_work_is_not_starved_by_urgent_work(self):
        bulk = make_service("bulk", deadline_class=DeadlineClass.BULK, start_within_s=5.0)
        shard = Shard(make_declarations(URGENT, bulk), SchedulerSettings("s", max_reservations=0))
        shard.add_workers(1)
        shard.submit("first", "urgent", task_count=200, payload=payload(run_s=1.0))
        shard.run(0.5)
        shard.submit("bulk-job", "bulk", payload=payload(run_s=0.5))
        for number in range(400):
            shard.submit(f"u{number}", "urgent", task_count=4, payload=payload(run_s=1.0))
            shard.run(0.1)
        assert shard.state_of("bulk-job") == "succeeded"


class TestReservation:
    def starve(self, service, task_count: int) -> Shard:
        """Return a shard that was kept full of small tasks while one big job waited."""
        settings = SchedulerSettings("s", reserve_after_s=3.0)
        shard = Shard(make_declarations(make_service(), service), settings)
        shard.add_workers(2)
        for number in range(80):
            shard.submit(f"fill-{number}", task_count=4, payload=payload(run_s=1.5))
        shard.run(0.5)
        shard.submit("big-job", "big", task_count=task_count, payload=payload(run_s=0.5))
        for number in range(400):
            shard.submit(f"small-{number}", task_count=1, payload=payload(run_s=1.5))
            shard.run(0.1)
        return shard

    def test_big_task_gets_a_whole_vm(self):
        big = make_service("big", resources=make_resources(8000, 1024), start_within_s=5000.0)
        shard = self.starve(big, 1)
        assert shard.state_of("big-job") == "succeeded"
        assert any("event=vm_held" in line for line in shard.decisions)

    def test_gang_gets_places_at_once(self):
        kind = WorkloadKind.GANG
        gang = make_service(
            "big", kind=kind, resources=make_resources(3000, 1024), start_within_s=5000.0
        )
        shard = self.starve(gang, 4)
        assert shard.state_of("big-job") == "succeeded"

    def test_short_tasks_fill_a_reserved_vm(self):
        big = make_service("big", resources=make_resources(8000, 1024))
        short = make_service("short", run_time_s=1.0)
        long = make_service("long", run_time_s=60.0)
        settings = SchedulerSettings("s", reserve_after_s=1.0)
        shard = Shard(make_declarations(big, short, long), settings)
        shard.add_workers(1)
        shard.submit("long-job", "long", payload=payload(run_s=60.0))
        shard.run(1.0)
        shard.submit("big-job", "big", payload=payload(run_s=1.0))
        shard.run(3.0)
        shard.submit("short-job", "short", payload=payload(run_s=1.0))
        shard.submit("second-long", "long", payload=payload(run_s=60.0))
        shard.run(8.0)
        assert shard.state_of("short-job") == "succeeded"
        assert shard.state_of("second-long") == "accepted"
        shard.run(60.0, 0.5)
        assert shard.state_of("big-job") == "succeeded"


class TestPreemption:
    def fill(self, bulk, **settings) -> Shard:
        shard = Shard(make_declarations(URGENT, bulk), SchedulerSettings("s", **settings))
        shard.add_workers(1)
        shard.submit("bulk-job", "bulk", task_count=8, payload=payload(run_s=20.0))
        shard.run(2.0)
        assert len(shard.running_on()) == 8
        return shard

    def test_urgent_work_stops_bulk_within_its_class_time(self):
        shard = self.fill(BULK)
        shard.submit("urgent-job", "urgent", task_count=2, payload=payload(run_s=50.0))
        shard.run(6.9)
        assert running_of(shard, "urgent") == 2
        assert running_of(shard, "bulk") == 6
        reserved = [a.start.reserved for a in shard.workers_by_name["w0"].attempts_by_task.values()]
        assert sum_resources(reserved).millicores == 8000

    def test_checkpoint_is_resumed(self):
        bulk = make_service("bulk", deadline_class=DeadlineClass.BULK, is_checkpointable=True)
        shard = self.fill(bulk)
        shard.submit("urgent-job", "urgent", payload=payload(run_s=2.0))
        resumed: list[str] = []

        def record_resumed(worker, request):
            resumed.extend(start.resume_from for start in request.starts if start.resume_from)
            return ""

        shard.fault = record_resumed
        shard.run(15.0)
        assert len(resumed) == 1
        assert resumed[0].startswith("checkpoint:bulk-job/")

    def test_same_class_and_unpreemptible_work_stay(self):
        for bulk in (
            make_service("bulk", deadline_class=DeadlineClass.URGENT, start_within_s=6.9),
            make_service("bulk", deadline_class=DeadlineClass.BULK, is_preemptible=False),
            make_service("bulk", deadline_class=DeadlineClass.BULK, is_idempotent=False),
        ):
            shard = self.fill(bulk)
            shard.submit("urgent-job", "urgent")
            shard.run(8.0)
            assert running_of(shard, "bulk") == 8

    def test_a_task_is_preempted_a_bounded_number_of_times(self):
        shard = self.fill(BULK, max_preemptions_per_task=1)
        for number in range(30):
            shard.submit(f"urgent-{number}", "urgent", task_count=4, payload=payload(run_s=0.5))
            shard.run(2.0)
        preempted = [line for line in shard.decisions if "event=task_preempted" in line]
        assert 0 < len(preempted) <= 8
