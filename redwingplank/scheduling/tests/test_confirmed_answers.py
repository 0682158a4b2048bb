"""What an answer confirms holds although the owner is killed right after it.

The journal takes nothing from a moment on. The owner is killed, and the next one starts from the
records that were committed, with the same workers.
"""

from collections.abc import Callable

import pytest

from redwingplank.scheduling.messages import (
    CancelAnswer,
    JobFinished,
    JournalCommitted,
    OwnershipMode,
    SubmitOutcome,
    TaskFinished,
)
from redwingplank.scheduling.tests.shard import Shard, make_declarations, make_service, payload

BRIEF = payload(run_s=0.5)
LONG = payload(run_s=100.0)
FINAL_STATES = ("succeeded", "failed", "cancelled", "unknown")


def stop_committing(shard: Shard) -> int:
    """Let the journal commit nothing more, and return how many records are committed."""
    shard.is_committing = False
    return len(shard.records)


def commit_all(shard: Shard) -> int:
    """Commit all records so far, and return how many there are."""
    shard.inbox.append(JournalCommitted(shard.records[-1].sequence))
    return len(shard.records)


def kill(shard: Shard, committed_count: int) -> Shard:
    """Kill the owner, and return the next one with the committed records and all workers."""
    del shard.records[committed_count:]
    successor = shard.take_over()
    successor.join_all()
    return successor


def cancellations(shard: Shard) -> list[CancelAnswer]:
    return [message for message in shard.messages if isinstance(message, CancelAnswer)]


def run_until(shard: Shard, condition: Callable[[], bool], within_s: float = 20.0) -> None:
    """Run ticks until a condition is true."""
    end_s = shard.clock.now_s() + within_s
    while not condition():
        assert shard.clock.now_s() < end_s, "the condition did not become true in time"
        shard.tick()


def make_waiting_job() -> Shard:
    """Return a shard with a durable job, none of whose tasks has a worker."""
    shard = Shard()
    shard.submit(payload=LONG)
    shard.run(0.2)
    return shard


def make_running_job(run_time_payload: bytes = LONG, **service) -> Shard:
    """Return a shard with a durable job, whose task runs."""
    shard = Shard(make_declarations(make_service(**service)))
    shard.add_workers(1)
    shard.submit(payload=run_time_payload)
    shard.run(0.3)
    assert shard.running_on() == {"job/0": ["w0"]}
    return shard


def end_in_memory(is_failing: bool = False, **service) -> tuple[Shard, int]:
    """Return a shard whose job has ended without a committed record, and the committed count."""
    shard = make_running_job(payload(run_s=0.5, is_failing=is_failing), **service)
    committed_count = stop_committing(shard)
    run_until(shard, lambda: bool(shard.entries(JobFinished)))
    return shard, committed_count


class TestSubmission:
    # Guards against a job that was answered "accepted" and that no later owner knows.
    def test_accepted_job_is_known_to_the_next_owner(self):
        shard = Shard()
        shard.submit(payload=BRIEF)
        run_until(shard, lambda: bool(shard.answers()))
        successor = kill(shard, stop_committing(shard))
        successor.add_workers(1)
        successor.run(5.0)
        assert [answer.outcome for answer in shard.answers()] == [SubmitOutcome.ACCEPTED]
        assert successor.state_of() == "succeeded"

    # Guards against a repeat that is answered "duplicate" for a job that is not durable.
    def test_repeat_is_not_answered_before_the_job_is_durable(self):
        shard = Shard(is_committing=False)
        shard.add_workers(1)
        shard.submit()
        shard.run(1.0)
        shard.submit()
        shard.run(1.0)
        assert shard.answers() == []
        successor = kill(shard, 0)
        successor.run(1.0)
        assert successor.state_of() == ""
        assert successor.starts_by_task() == {}

    # Guards against a repeat that waits for records of other jobs, or runs the job twice.
    def test_repeat_of_a_durable_job_is_a_duplicate_at_the_next_owner_too(self):
        shard = make_waiting_job()
        committed_count = stop_committing(shard)
        shard.submit("other")
        shard.submit()
        shard.run(0.2)
        assert [each.outcome for each in shard.answers()][1:] == [SubmitOutcome.DUPLICATE]
        successor = kill(shard, committed_count)
        successor.submit()
        successor.run(0.2)
        assert [each.outcome for each in successor.answers()] == [SubmitOutcome.DUPLICATE]

    # Guards against work of a job that was refused.
    @pytest.mark.parametrize("reason", ["undeclared", "degraded"])
    def test_refused_job_leaves_nothing(self, reason):
        shard = Shard()
        shard.add_workers(1)
        if reason == "degraded":
            shard.own(OwnershipMode.DEGRADED)
        shard.submit(service="other" if reason == "undeclared" else "work")
        shard.run(1.0)
        expected = {"undeclared": SubmitOutcome.REJECTED, "degraded": SubmitOutcome.NOT_NOW}
        assert [answer.outcome for answer in shard.answers()] == [expected[reason]]
        successor = kill(shard, stop_committing(shard))
        successor.run(1.0)
        assert successor.state_of() == ""
        assert successor.starts_by_task() == {}

    # Guards against a volatile job that is called accepted without the word that it is volatile.
    def test_volatile_job_is_said_to_be_volatile_and_is_lost_with_its_owner(self):
        shard = Shard(make_declarations(make_service(is_volatile_allowed=True)))
        shard.own(OwnershipMode.DEGRADED)
        shard.submit(payload=LONG)
        shard.submit(payload=LONG)
        shard.run(0.2)
        assert [answer.detail for answer in shard.answers()] == ["volatile", "volatile"]
        assert kill(shard, stop_committing(shard)).state_of() == ""


class TestCancellation:
    def cancel_unstored(self, shard: Shard) -> int:
        """Cancel the job while the journal takes nothing, and return the committed count."""
        committed_count = stop_committing(shard)
        shard.cancel()
        shard.run(5.0)
        return committed_count

    # Guards against an acknowledged cancellation that the next owner does not know.
    @pytest.mark.parametrize("make_job", [make_waiting_job, make_running_job])
    def test_is_answered_once_it_is_durable(self, make_job):
        shard = make_job()
        committed_count = self.cancel_unstored(shard)
        assert cancellations(shard) == []
        successor = kill(shard, committed_count)
        successor.add_workers(1)
        successor.run(1.0)
        assert successor.state_of() == "running"

    # Guards against a start after an acknowledged cancellation: its record was the last one.
    @pytest.mark.parametrize("make_job", [make_waiting_job, make_running_job])
    def test_holds_once_it_was_answered(self, make_job):
        shard = make_job()
        shard.is_committing = False
        shard.cancel()
        shard.tick()
        committed_count = commit_all(shard)
        run_until(shard, lambda: bool(cancellations(shard)))
        starts = dict(shard.starts_by_task())
        successor = kill(shard, committed_count)
        successor.add_workers(1)
        successor.run(5.0)
        assert successor.state_of() == "cancelled"
        assert successor.starts_by_task() == starts
        assert successor.running_on() == {}

    # Guards against the incident: a job that ended in memory only was taken for a stored one, and
    # its cancellation was acknowledged. The worker then lost the completion with its process.
    @pytest.mark.parametrize("is_failing", [False, True])
    def test_of_a_job_that_ended_in_memory_waits_for_the_end(self, is_failing):
        shard, committed_count = end_in_memory(is_failing, max_attempts=1)
        shard.cancel()
        shard.cancel()
        shard.run(3.0)
        assert cancellations(shard) == []
        shard.workers_by_name["w0"].restart()
        successor = kill(shard, committed_count)
        successor.run(5.0)
        assert successor.starts_by_task() == {"job/0": 2}

    # Guards against a job that ended and starts again after its cancellation was acknowledged.
    def test_of_a_job_whose_end_is_durable_is_answered_and_starts_nothing(self):
        shard, _ = end_in_memory()
        committed_count = commit_all(shard)
        shard.cancel()
        shard.tick()
        assert len(cancellations(shard)) == 1
        shard.workers_by_name["w0"].restart()
        successor = kill(shard, committed_count)
        successor.run(5.0)
        assert successor.state_of() == "succeeded"
        assert successor.starts_by_task() == {"job/0": 1}

    # Guards against an acknowledgement of the second call while the first one is not durable.
    def test_twice_waits_for_the_record_of_the_first(self):
        shard = make_waiting_job()
        committed_count = self.cancel_unstored(shard)
        shard.cancel()
        shard.run(3.0)
        assert cancellations(shard) == []
        successor = kill(shard, committed_count)
        successor.add_workers(1)
        successor.run(1.0)
        assert successor.state_of() == "running"

    # Guards against a volatile job whose tasks start again after its cancellation.
    def test_of_a_volatile_job_starts_nothing_at_the_next_owner(self):
        shard = Shard(make_declarations(make_service(is_volatile_allowed=True)))
        shard.add_workers(1)
        shard.own(OwnershipMode.DEGRADED)
        shard.submit(payload=LONG)
        shard.run(1.0)
        shard.cancel()
        shard.tick()
        assert [answer.is_known for answer in cancellations(shard)] == [True]
        starts = dict(shard.starts_by_task())
        successor = kill(shard, stop_committing(shard))
        successor.run(5.0)
        assert successor.starts_by_task() == starts
        assert successor.running_on() == {}


class TestState:
    # Guards against a job that is shown as accepted and that the next owner does not know.
    def test_job_is_shown_once_its_acceptance_is_durable(self):
        shard = Shard(is_committing=False)
        shard.submit()
        shard.run(1.0)
        shown = shard.state_of()
        assert "acceptance is durable" in shard.scheduler.explain("job", 0.0)[-1]
        assert kill(shard, 0).state_of() == shown

    # Guards against a final state that was shown and that the next owner does not confirm.
    def test_final_states_are_shown_once_they_are_durable(self):
        shard, committed_count = end_in_memory()
        shard.run(2.0)
        assert shard.state_of() not in FINAL_STATES
        assert set(shard.task_states()).isdisjoint(FINAL_STATES)
        shard.workers_by_name["w0"].restart()
        successor = kill(shard, committed_count)
        successor.run(0.5)
        assert successor.state_of() == "running"

    # Guards against tasks that are shown as cancelled and run under the next owner, because the
    # cancellation of their job was not durable.
    @pytest.mark.parametrize("make_job", [make_waiting_job, make_running_job])
    def test_cancelled_tasks_are_shown_once_the_cancellation_is_durable(self, make_job):
        shard = make_job()
        committed_count = stop_committing(shard)
        shard.cancel()
        shard.run(5.0)
        shown = {shard.state_of(), *shard.task_states()}
        successor = kill(shard, committed_count)
        successor.add_workers(1)
        successor.run(1.0)
        assert successor.running_on().keys() == {"job/0"}
        assert shown.isdisjoint(FINAL_STATES)

    # Guards against callers that wait for a change that is never announced to them.
    def test_version_grows_when_cancelled_tasks_become_final(self):
        shard = Shard()
        shard.add_workers(1)
        shard.submit(task_count=9, payload=LONG)
        shard.run(1.0)
        shard.is_committing = False
        shard.fault = lambda worker, request: "lost_request"
        shard.cancel()
        shard.run(0.5)
        version, states = shard.scheduler.job_version("job"), shard.task_states()
        assert "cancelled" not in states
        commit_all(shard)
        shard.tick()
        assert shard.task_states().count("cancelled") == 1
        assert shard.scheduler.job_version("job") > version

    # Guards against a job that is shown as cancelled while one of its tasks may still run.
    def test_job_is_not_final_while_a_worker_may_run_its_task(self):
        shard = make_running_job()
        successor = shard.take_over(fence_after_s=30.0)
        successor.list_vms()
        successor.cancel()
        successor.run(2.0)
        assert cancellations(successor)
        assert successor.running_on() == {"job/0": ["w0"]}
        assert successor.state_of() not in FINAL_STATES
        assert set(successor.task_states()).isdisjoint(FINAL_STATES)
        successor.adopt("w0")
        successor.run(5.0)
        assert successor.running_on() == {}
        assert successor.state_of() == "cancelled"


def finished_tasks(shard: Shard, committed_count: int) -> set[str]:
    """Return the tasks whose end is among the first `committed_count` records."""
    entries = [record.entry for record in shard.records[:committed_count]]
    return {entry.task_id for entry in entries if isinstance(entry, TaskFinished)}


def unacknowledged(shard: Shard) -> dict[tuple[str, int], str]:
    """Return the tasks of the completions that the workers keep, by worker and number."""
    for worker in shard.workers_by_name.values():
        worker.advance()
    return {
        (worker.name, completion.sequence): completion.task_id
        for worker in shard.workers_by_name.values()
        for completion in worker.unacknowledged
    }


class TestAcknowledgementsToWorkers:
    # Guards against a completion that its worker discards and that the next owner does not know.
    @pytest.mark.parametrize("is_idempotent", [True, False])
    def test_discarded_completion_is_in_the_journal(self, is_idempotent):
        shard = Shard(make_declarations(make_service(is_idempotent=is_idempotent)))
        shard.add_workers(2)
        shard.submit(task_count=40, payload=BRIEF)
        seen: dict[tuple[str, int], str] = {}
        committed_count = 0
        for number in range(600):
            shard.is_committing = number % 150 < 8
            if shard.is_committing and shard.records:
                committed_count = commit_all(shard)
            shard.tick()
            if shard.is_committing:
                committed_count = len(shard.records)
            committed = finished_tasks(shard, committed_count)
            kept = unacknowledged(shard)
            seen.update(kept)
            discarded = {task_id for key, task_id in seen.items() if key not in kept}
            assert discarded <= committed
        assert len(seen) == 40

    # Guards against a second run of a task whose completion the worker still holds.
    def test_completion_that_is_not_acknowledged_is_listed_to_the_next_owner(self):
        shard, committed_count = end_in_memory(is_idempotent=False)
        successor = kill(shard, committed_count)
        successor.run(2.0)
        assert successor.state_of() == "succeeded"
        assert successor.starts_by_task() == {"job/0": 1}
