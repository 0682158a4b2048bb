"""Standing services, drains, gangs, spreading and determinism of the scheduler."""

import pytest

from redwingplank.config import Spread, WorkloadKind
from redwingplank.core import make_resources
from redwingplank.scheduling import SchedulerSettings
from redwingplank.scheduling.messages import DeclarationsChanged, DrainVm, OwnershipMode
from redwingplank.scheduling.tests.shard import Shard, make_declarations, make_service, payload

STANDING = make_service("web", kind=WorkloadKind.SERVICE, count=4)
JOB = "s.service:bureau:web"


def gang(**fields):
    """Return a gang service whose tasks need three processors each."""
    return make_service(kind=WorkloadKind.GANG, resources=make_resources(3000, 1024), **fields)


class TestStandingService:
    def test_count_is_reached_and_kept_when_a_worker_dies(self):
        shard = Shard(make_declarations(STANDING))
        shard.add_workers(3)
        shard.run(2.0)
        assert len(shard.running_on()) == 4
        victim = shard.running_on()[f"{JOB}/0"][0]
        shard.workers_by_name[victim].switches.is_paused = True
        for _ in range(300):
            shard.tick()
            assert all(len(places) == 1 for places in shard.running_on().values())
        assert len(shard.running_on()) == 4
        assert shard.records == []

    def test_count_of_a_shard(self):
        counts = []
        for index in range(3):
            settings = SchedulerSettings("s", shard_index=index, shard_count=3)
            shard = Shard(make_declarations(STANDING), settings)
            shard.add_workers(2)
            shard.run(2.0)
            counts.append(len(shard.running_on()))
        assert counts == [2, 1, 1]

    def test_count_follows_the_declaration(self):
        shard = Shard(make_declarations(STANDING))
        shard.add_workers(2)
        shard.run(2.0)
        for revision, count in ((2, 7), (3, 2), (4, 0)):
            web = make_service("web", kind=WorkloadKind.SERVICE, count=count)
            shard.inbox.append(DeclarationsChanged(make_declarations(web, revision=revision)))
            shard.run(4.0)
            assert len(shard.running_on()) == count

    def test_lower_revision_is_ignored(self):
        shard = Shard(make_declarations(STANDING, revision=5))
        shard.add_workers(2)
        shard.run(2.0)
        web = make_service("web", kind=WorkloadKind.SERVICE, count=1)
        shard.inbox.append(DeclarationsChanged(make_declarations(web, revision=4)))
        shard.run(3.0)
        assert len(shard.running_on()) == 4

    @pytest.mark.parametrize("how", ["drain", "leaving"])
    def test_replaced_before_it_is_stopped(self, how):
        shard = Shard(make_declarations(STANDING))
        shard.add_workers(3)
        shard.run(2.0)
        victim = shard.running_on()[f"{JOB}/0"][0]
        if how == "drain":
            shard.inbox.append(DrainVm(victim))
        else:
            shard.list_vms(leaving=(victim,))
        for _ in range(100):
            shard.tick()
            assert len(shard.running_on()) >= 4
        assert len(shard.running_on()) == 4
        assert all(places != [victim] for places in shard.running_on().values())

    def test_without_room_it_is_stopped_after_a_wait(self):
        settings = SchedulerSettings("s", service_move_wait_s=5.0)
        shard = Shard(make_declarations(STANDING), settings)
        shard.add_workers(1)
        shard.run(2.0)
        shard.inbox.append(DrainVm("w0"))
        shard.run(3.0)
        assert len(shard.running_on()) == 4
        shard.run(6.0)
        assert shard.running_on() == {}
        shard.inbox.append(DrainVm("w0", is_draining=False))
        shard.run(3.0)
        assert len(shard.running_on()) == 4

    def test_new_owner_finds_its_tasks(self):
        first = Shard(make_declarations(STANDING))
        first.add_workers(3)
        first.run(2.0)
        second = first.take_over()
        second.join_all()
        second.run(5.0)
        assert len(second.running_on()) == 4
        assert set(second.starts_by_task().values()) == {1}

    def test_task_that_ends_starts_again_with_growing_delays(self):
        web = make_service("web", kind=WorkloadKind.SERVICE, count=1)
        shard = Shard(make_declarations(web))
        shard.add_workers(1)
        shard.workers_by_name["w0"].switches.is_failing = True
        shard.run(60.0, 0.1)
        starts = [e.time_s for e in shard.history.events if e.kind == "task_started"]
        assert 3 <= len(starts) <= 9


class TestDrain:
    def test_nothing_new_in_the_same_tick_and_batch_work_finishes(self):
        shard = Shard()
        shard.add_workers(1)
        shard.submit(payload=payload(run_s=3.0))
        shard.run(1.0)
        shard.submit("second")
        shard.tick()
        shard.inbox.append(DrainVm("w0"))
        outbox = shard.tick()
        assert not any(request.starts for request in outbox.requests_by_worker.values())
        shard.run(6.0)
        assert shard.state_of() == "succeeded"
        assert shard.state_of("second") == "accepted"

    def test_worker_says_itself_that_it_leaves(self):
        shard = Shard()
        shard.add_workers(1)
        shard.workers_by_name["w0"].switches.is_leaving = True
        shard.run(2.0)
        shard.submit()
        shard.run(3.0)
        assert shard.starts_by_task() == {}


class TestGang:
    def test_all_or_none(self):
        shard = Shard(make_declarations(gang()))
        shard.add_workers(3)
        shard.submit("first", task_count=4, payload=payload(run_s=4.0))
        shard.submit("second", task_count=4, payload=payload(run_s=4.0))
        for _ in range(240):
            shard.tick()
            running = [name.split("/")[0] for name in shard.running_on()]
            assert running.count("first") in (0, 4)
            assert running.count("second") in (0, 4)
        assert shard.state_of("second") == "succeeded"

    def test_refusal_rolls_the_others_back(self):
        shard = Shard(make_declarations(gang()))
        shard.add_workers(3)
        refusals: list[str] = []

        def refuse_once(worker, request):
            switches = shard.workers_by_name[worker].switches
            switches.is_leaving = bool(request.starts) and not refusals
            refusals.extend([worker] if switches.is_leaving else [])
            return ""

        shard.fault = refuse_once
        shard.submit(task_count=4, payload=payload(run_s=5.0))
        shard.run(15.0)
        assert refusals
        assert shard.state_of() == "succeeded"
        ends = [event.detail for event in shard.history.events if event.kind == "task_ended"]
        assert ends.count("stopped") >= 1

    def test_death_of_one_worker_restarts_the_whole_gang(self):
        shard = Shard(make_declarations(gang()))
        shard.add_workers(4)
        shard.submit(task_count=6, payload=payload(run_s=15.0))
        shard.run(1.0)
        victim = shard.running_on()["job/0"][0]
        shard.workers_by_name[victim].switches.is_paused = True
        shard.run(40.0, 0.1)
        assert shard.state_of() == "succeeded"
        assert set(shard.starts_by_task().values()) == {2}

    def test_member_that_fails_for_good_ends_the_gang(self):
        shard = Shard(make_declarations(gang(max_attempts=2)))
        shard.add_workers(3)
        shard.submit(task_count=3, payload=payload(run_s=0.2, is_failing=True))
        shard.run(20.0)
        assert shard.state_of() == "failed"
        assert shard.running_on() == {}

    def test_lost_non_idempotent_member_ends_the_gang_as_unknown(self):
        shard = Shard(make_declarations(gang(is_idempotent=False)))
        shard.add_workers(3)
        shard.submit(task_count=4, payload=payload(run_s=30.0))
        shard.run(1.0)
        victim = shard.running_on()["job/0"][0]
        shard.workers_by_name[victim].switches.is_paused = True
        shard.run(25.0, 0.1)
        assert shard.state_of() == "unknown"
        assert set(shard.starts_by_task().values()) == {1}


class TestSpread:
    def test_tasks_are_spread_over_racks(self):
        shard = Shard(make_declarations(make_service(spread=Spread.RACK)))
        shard.add_workers(8, per_rack=2)
        shard.submit(task_count=4, payload=payload(run_s=100.0))
        shard.run(1.0)
        racks = {shard.vms_by_name[places[0]].rack for places in shard.running_on().values()}
        assert len(racks) == 4


class TestDeterminism:
    def outboxes(self) -> list[str]:
        shard = Shard(make_declarations(make_service(), STANDING))
        shard.add_workers(5)
        for number in range(40):
            shard.submit(f"job-{number}", task_count=3, payload=payload(run_s=0.7))
        shard.own(OwnershipMode.OWNING)
        return [repr(shard.tick()) for _ in range(200)]

    def test_same_inputs_give_the_same_outboxes(self):
        assert self.outboxes() == self.outboxes()
