"""Tests of the workloads, of the driver and of the measures."""

from benchmarks.driver import Driver, run_workload
from benchmarks.measures import measure_run
from benchmarks.workloads import make_workload
from redwingplank.config import DeadlineClass, PlacementPolicyName
from redwingplank.platform import StartTask, WorkerRequest
from redwingplank.scheduling.messages import (
    CancelJob,
    Outbox,
    SubmitAnswer,
    SubmitJob,
    SubmitOutcome,
    VmsListed,
)
from redwingplank.standin.checks import check_history, make_checked_run

FIRST_FIT = PlacementPolicyName.FIRST_FIT


def make_small_workload(
    name: str = "bureau", seed: int = 1, policy: PlacementPolicyName = FIRST_FIT, **values
):
    return make_workload(name, seed, policy, duration_s=20.0, workers=4, **values)


class OneTaskScheduler:
    """Starts the first task of each job on the first worker, regardless of its free capacity."""

    def __init__(self) -> None:
        self.worker = ""

    def tick(self, now_s, inbox):
        starts, answers = [], []
        for message in inbox:
            if isinstance(message, VmsListed):
                self.worker = message.workers[0].name
            elif isinstance(message, SubmitJob):
                spec = message.spec
                reserved = make_small_workload().declarations.find_service(
                    spec.organisation, spec.service
                )
                start = StartTask(f"{spec.job_id}/0", 1, reserved.resources, spec.payload)
                starts.append(start)
                answer = SubmitAnswer(message.call_id, spec.job_id, SubmitOutcome.ACCEPTED)
                answers.append(answer)
            assert not isinstance(message, CancelJob) or message.job_id
        requests = {self.worker: WorkerRequest(1, 60.0, tuple(starts))}
        return Outbox((), requests, tuple(answers), ())


class TestWorkload:
    def test_is_the_same_for_the_same_seed(self):
        assert make_small_workload() == make_small_workload()
        assert make_small_workload(seed=2).arrivals != make_small_workload().arrivals

    def test_arrivals_do_not_depend_on_the_policy(self):
        packing = make_small_workload(policy=PlacementPolicyName.PACKING)
        assert packing.arrivals == make_small_workload().arrivals
        assert packing.declarations != make_small_workload().declarations

    def test_has_waves_lies_and_jobs_that_can_never_run(self):
        workload = make_workload("bureau", 1, FIRST_FIT, duration_s=600.0)
        assert any(arrival.cancel_at_s for arrival in workload.arrivals)
        assert any(arrival.spec.resources for arrival in workload.arrivals)
        assert len({plan.speed for plan in workload.workers}) > 2

    def test_offers_the_load_that_was_asked_for(self):
        half, full = (
            len(make_small_workload("cooperative", load=load).arrivals) for load in (0.5, 1.0)
        )
        assert 1.8 < full / half < 2.2


class TestDriver:
    def test_delivers_arrivals_and_records_what_ran(self):
        workload = make_small_workload()
        result = run_workload(workload, lambda declarations, now_s: OneTaskScheduler())
        assert set(result.submitted_at_s) == {each.spec.job_id for each in workload.arrivals}
        assert result.exchanges == len(result.tick_durations_s)
        assert result.request_bytes > 0
        assert check_history(make_checked_run(result.events)) == ()

    def test_is_the_same_twice(self):
        runs = [
            Driver(make_small_workload(), lambda declarations, now_s: OneTaskScheduler()).run(20.0)
            for _ in range(2)
        ]
        assert runs[0].events == runs[1].events


class TestMeasures:
    def test_count_tasks_that_never_start(self):
        workload = make_small_workload()
        result = run_workload(workload, lambda declarations, now_s: OneTaskScheduler())
        measures = measure_run(workload, result)
        bulk = measures.waiting_by_class[DeadlineClass.BULK]
        assert 0 < bulk.never_started <= bulk.late <= bulk.tasks
        assert bulk.p50_s <= bulk.p99_s
        assert 0 < measures.packing.used_millicores <= 1.2
        assert 0 < measures.packing.occupied_vms <= 0.25
        assert measures.control.starts > 0
