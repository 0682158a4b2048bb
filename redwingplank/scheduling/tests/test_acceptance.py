"""Acceptance, durability, rejection and cancellation of jobs, and ownership modes."""

from redwingplank.config import WorkloadKind
from redwingplank.core import make_resources
from redwingplank.scheduling.messages import (
    CancelAnswer,
    CancelJob,
    JobAccepted,
    JobFinished,
    JournalCommitted,
    OwnershipMode,
    SubmitOutcome,
    TaskFinished,
)
from redwingplank.scheduling.tests.shard import (
    SMALL,
    Shard,
    make_declarations,
    make_service,
    payload,
)


class TestAcceptance:
    def test_answer_and_start_wait_for_the_record(self):
        shard = Shard(is_committing=False)
        shard.add_workers(2)
        shard.submit()
        shard.run(1.0)
        assert [type(record.entry) for record in shard.records] == [JobAccepted]
        assert shard.answers() == []
        assert shard.starts_by_task() == {}
        shard.inbox.append(JournalCommitted(1))
        shard.run(0.5)
        assert [answer.outcome for answer in shard.answers()] == [SubmitOutcome.ACCEPTED]
        assert shard.starts_by_task() == {"job/0": 1}

    def test_job_runs_to_its_end(self):
        shard = Shard()
        shard.add_workers(2)
        shard.submit(task_count=20, payload=payload(run_s=0.5))
        shard.run(10.0)
        assert shard.state_of() == "succeeded"
        assert len(shard.entries(TaskFinished)) == 20
        assert shard.entries(JobFinished)[0].state == "succeeded"
        assert [record.sequence for record in shard.records] == list(range(1, 23))

    def test_final_state_shows_once_it_is_durable(self):
        shard = Shard()
        shard.add_workers(1)
        shard.submit(payload=payload(run_s=0.5))
        shard.run(0.3)
        shard.is_committing = False
        shard.run(5.0)
        assert shard.entries(JobFinished)
        assert shard.state_of() == "running"
        shard.inbox.append(JournalCommitted(shard.records[-1].sequence))
        shard.tick()
        assert shard.state_of() == "succeeded"

    def test_ends_are_acknowledged_after_their_record(self):
        shard = Shard()
        shard.add_workers(1)
        shard.submit(payload=payload(run_s=0.5))
        shard.run(0.3)
        shard.is_committing = False
        shard.run(10.0)
        assert len(shard.workers_by_name["w0"].unacknowledged) == 1
        shard.inbox.append(JournalCommitted(shard.records[-1].sequence))
        shard.run(3.0)
        assert shard.workers_by_name["w0"].unacknowledged == []

    def test_duplicate_is_answered_once_the_first_is_durable(self):
        shard = Shard(is_committing=False)
        shard.submit()
        shard.submit()
        shard.tick()
        assert shard.answers() == []
        shard.inbox.append(JournalCommitted(1))
        shard.tick()
        outcomes = [answer.outcome for answer in shard.answers()]
        assert outcomes == [SubmitOutcome.ACCEPTED, SubmitOutcome.DUPLICATE]
        assert len(shard.entries(JobAccepted)) == 1


class TestRejection:
    def reject(self, declarations=None, **fields) -> str:
        shard = Shard(declarations or make_declarations())
        shard.add_workers(2)
        shard.tick()
        shard.submit(**fields)
        shard.tick()
        answer = shard.answers()[0]
        assert answer.outcome is SubmitOutcome.REJECTED
        assert shard.records == []
        return answer.detail

    def test_names_the_dimension_that_no_vm_has(self):
        assert "memory_mib" in self.reject(resources=make_resources(1, 10**6))
        assert "accelerators.gpu" in self.reject(resources=make_resources(1, 1, {"gpu": 1}))

    def test_names_the_dimension_of_the_quota(self):
        declarations = make_declarations(quota=make_resources(500, 10**6))
        assert "quota in millicores" in self.reject(declarations)

    def test_gang_larger_than_the_shard(self):
        gang = make_service("gang", kind=WorkloadKind.GANG)
        detail = self.reject(make_declarations(gang), service="gang", task_count=17)
        assert "only 16 of the gang's 17 tasks" in detail

    def test_unknown_service_and_bad_count(self):
        assert "is not declared" in self.reject(service="other")
        assert "task_count" in self.reject(task_count=0)

    def test_without_known_workers_a_job_waits(self):
        shard = Shard()
        shard.submit(resources=make_resources(1, 10**6))
        shard.run(0.2)
        assert shard.answers()[0].outcome is SubmitOutcome.ACCEPTED
        assert shard.state_of() == "accepted"


class TestCancellation:
    def test_running_tasks_are_stopped_and_waiting_ones_never_start(self):
        shard = Shard()
        shard.add_workers(1)
        shard.submit(task_count=12, payload=payload(run_s=100.0))
        shard.run(1.0)
        shard.inbox.append(CancelJob(99, "job"))
        shard.run(3.0)
        assert CancelAnswer(99, "job", True) in shard.messages
        assert shard.state_of() == "cancelled"
        assert shard.running_on() == {}
        assert len(shard.starts_by_task()) == 8

    def test_answer_waits_for_the_record(self):
        shard = Shard()
        shard.submit()
        shard.run(0.2)
        shard.is_committing = False
        shard.inbox.append(CancelJob(9, "job"))
        shard.run(0.2)
        assert not [m for m in shard.messages if isinstance(m, CancelAnswer)]
        shard.inbox.append(JournalCommitted(shard.records[-1].sequence))
        shard.tick()
        assert CancelAnswer(9, "job", True) in shard.messages

    def test_unknown_job(self):
        shard = Shard()
        shard.inbox.append(CancelJob(9, "nothing"))
        shard.tick()
        assert shard.messages == [CancelAnswer(9, "nothing", False)]

    def test_wave_starts_nothing_after_its_answers(self):
        shard = Shard()
        shard.add_workers(4)
        for number in range(2000):
            shard.submit(f"job-{number}", payload=payload(run_s=60.0), resources=SMALL)
        shard.run(0.3)
        shard.inbox.extend(CancelJob(number, f"job-{number}") for number in range(2000))
        shard.run(0.2)
        started = dict(shard.starts_by_task())
        shard.run(4.0)
        assert shard.starts_by_task() == started
        assert shard.running_on() == {}
        assert {shard.state_of(f"job-{number}") for number in range(2000)} == {"cancelled"}


class TestModes:
    def test_degraded_answers_not_now_and_keeps_what_runs(self):
        shard = Shard()
        shard.add_workers(1)
        shard.submit(payload=payload(run_s=30.0))
        shard.run(1.0)
        shard.own(OwnershipMode.DEGRADED)
        shard.submit("second")
        shard.run(10.0)
        assert shard.answers()[-1].outcome is SubmitOutcome.NOT_NOW
        assert shard.answers()[-1].retry_after_s > 0
        assert shard.running_on() == {"job/0": ["w0"]}

    def test_degraded_takes_volatile_jobs_where_allowed(self):
        shard = Shard(make_declarations(make_service(is_volatile_allowed=True)))
        shard.add_workers(1)
        shard.own(OwnershipMode.DEGRADED)
        shard.submit()
        shard.run(5.0)
        assert shard.answers()[0].detail == "volatile"
        assert shard.records == []
        assert shard.state_of() == "succeeded"

    def test_durable_work_does_not_hold_volatile_work_up(self):
        late = make_service("late", start_within_s=500.0, is_volatile_allowed=True)
        shard = Shard(make_declarations(make_service(), late))
        shard.submit("durable")
        shard.run(0.2)
        shard.own(OwnershipMode.DEGRADED)
        shard.add_workers(1)
        shard.submit("volatile", "late")
        shard.run(5.0)
        assert shard.state_of("volatile") == "succeeded"
        assert shard.state_of("durable") == "accepted"
        shard.own()
        shard.run(5.0)
        assert shard.state_of("durable") == "succeeded"

    def test_lost_sends_nothing(self):
        shard = Shard()
        shard.add_workers(1)
        shard.submit(payload=payload(run_s=30.0))
        shard.run(1.0)
        shard.own(OwnershipMode.LOST)
        for _ in range(100):
            outbox = shard.tick(0.1)
            assert not outbox.requests_by_worker
            assert not outbox.records
            assert not outbox.messages

    def test_no_start_near_the_end_of_the_lease(self):
        shard = Shard()
        shard.add_workers(1)
        shard.own(for_s=0.5)
        shard.submit()
        shard.run(3.0)
        assert shard.starts_by_task() == {}
        shard.own()
        shard.run(1.0)
        assert shard.starts_by_task() == {"job/0": 1}
