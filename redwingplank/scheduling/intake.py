"""Submission and cancellation of jobs."""

from functools import partial

from redwingplank.config import Service, WorkloadKind
from redwingplank.core import format_value
from redwingplank.platform import TaskCommandKind
from redwingplank.scheduling.entities import Job, Phase, StopReason, Task, make_task_id
from redwingplank.scheduling.feasibility import Feasibility
from redwingplank.scheduling.lifecycle import TaskLifecycle
from redwingplank.scheduling.messages import (
    CancelAnswer,
    CancelJob,
    JobAccepted,
    JobCancelled,
    JobSpec,
    OwnershipMode,
    SubmitAnswer,
    SubmitJob,
    SubmitOutcome,
    TaskState,
)
from redwingplank.scheduling.state import ShardState

__all__ = ["JobAdmission", "make_job"]

_VOLATILE = "volatile"
"""Detail of the answer to a submission whose job is not durable and is lost with its owner."""


class JobAdmission:
    """Accepts, rejects and cancels jobs.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    lifecycle : TaskLifecycle
        Applies state transitions of tasks.
    """

    def __init__(self, state: ShardState, lifecycle: TaskLifecycle) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._feasibility = Feasibility(state)

    def submit(self, message: SubmitJob, now_s: float) -> None:
        """Accept or reject a job; an acceptance is answered once it is durable."""
        spec = message.spec
        existing = self._state.jobs_by_id.get(spec.job_id)
        if existing is not None:
            self._answer_duplicate(message.call_id, existing, now_s)
            return
        service = self._state.declarations.find_service(spec.organisation, spec.service)
        if service is None:
            problem = f"service {spec.service} of organisation {spec.organisation} is not declared"
            self._answer_at_once(message, SubmitOutcome.REJECTED, problem)
            return
        problem = self._feasibility.find_problem(spec, service)
        if problem:
            self._answer_at_once(message, SubmitOutcome.REJECTED, problem)
            return
        self._accept_or_defer(message, service, now_s)

    def _accept_or_defer(self, message: SubmitJob, service: Service, now_s: float) -> None:
        state = self._state
        is_volatile = (
            state.mode is OwnershipMode.DEGRADED
            and service.is_volatile_allowed
            and state.may_start(now_s, is_volatile=True)
        )
        if state.mode is not OwnershipMode.OWNING and not is_volatile:
            self._answer_at_once(message, SubmitOutcome.NOT_NOW, f"the shard is {state.mode}")
        elif state.queue.waiting_count >= state.settings.max_waiting_tasks:
            self._answer_at_once(message, SubmitOutcome.NOT_NOW, "too many tasks wait")
        elif is_volatile:
            job = self._add_job(message.spec, service, now_s)
            job.is_volatile = True
            self._answer_at_once(message, SubmitOutcome.ACCEPTED, _VOLATILE)
            self._queue_tasks(job, now_s)
        else:
            self._accept(message, service, now_s)

    def _accept(self, message: SubmitJob, service: Service, now_s: float) -> None:
        job = self._add_job(message.spec, service, now_s)
        job.accept_sequence = self._state.journal.append(JobAccepted(message.spec))
        self._state.journal.when_durable(partial(self._queue_tasks, job), now_s)
        answer = SubmitAnswer(message.call_id, job.job_id, SubmitOutcome.ACCEPTED)
        self._send_when_durable(answer, now_s)

    def _add_job(self, spec: JobSpec, service: Service, now_s: float) -> Job:
        self._state.job_number += 1
        job = make_job(spec, service, self._state.job_number, now_s)
        job.revision = self._state.declarations.revision
        self._state.jobs_by_id[job.job_id] = job
        self._state.log_decision("job_accepted", job=job.job_id, tasks=spec.task_count)
        return job

    def _queue_tasks(self, job: Job, now_s: float) -> None:
        job.is_durable = True
        job.version += 1
        for task in job.tasks:
            if task.phase is Phase.HELD:
                self._lifecycle.queue(task, now_s)

    def _answer_duplicate(self, call_id: int, job: Job, now_s: float) -> None:
        detail = _VOLATILE if job.is_volatile else ""
        answer = SubmitAnswer(call_id, job.job_id, SubmitOutcome.DUPLICATE, detail)
        if job.accept_sequence <= self._state.journal.committed_sequence:
            self._state.messages.append(answer)
        else:
            self._send_when_durable(answer, now_s)

    def _send_when_durable(self, answer: SubmitAnswer | CancelAnswer, now_s: float) -> None:
        self._state.journal.when_durable(partial(_append_answer, self._state, answer), now_s)

    def _answer_at_once(self, message: SubmitJob, outcome: SubmitOutcome, detail: str) -> None:
        retry_after_s = 0.0
        if outcome is SubmitOutcome.NOT_NOW:
            retry_after_s = self._state.settings.retry_after_s
        answer = SubmitAnswer(message.call_id, message.spec.job_id, outcome, detail, retry_after_s)
        self._state.messages.append(answer)
        self._state.log_decision(
            "job_answered", job=message.spec.job_id, outcome=outcome, reason=detail
        )

    def cancel(self, message: CancelJob, now_s: float) -> None:
        """Cancel a job; none of its tasks starts any more.

        The answer is sent once the journal record of the cancellation is durable; a volatile job
        has no record and is answered at once.
        """
        job = self._state.jobs_by_id.get(message.job_id)
        if job is None or job.service.kind is WorkloadKind.SERVICE:
            self._state.messages.append(CancelAnswer(message.call_id, message.job_id, False))
            return
        if not job.is_cancelled and not job.is_final:
            self._cancel_open_job(job, now_s)
        answer = CancelAnswer(message.call_id, job.job_id, True)
        if job.is_volatile:
            self._state.messages.append(answer)
        else:
            self._send_when_durable(answer, now_s)

    def _cancel_open_job(self, job: Job, now_s: float) -> None:
        job.is_cancelled = True
        job.version += 1
        if not job.is_volatile:
            job.cancel_sequence = self._state.journal.append(JobCancelled(job.job_id))
            self._lifecycle.announce_when_durable(job, now_s)
        self._state.queue.drop(job)
        self._state.log_decision("job_cancelled", job=job.job_id)
        self.stop_cancelled(job, now_s)

    def stop_cancelled(self, job: Job, now_s: float) -> None:
        """Finish the tasks of a cancelled job that do not run, and stop those that do.

        A recovered task that a worker may still run ends with its stop confirmation.
        """
        for task in job.tasks:
            if task.phase is Phase.DONE or task.is_recovering:
                continue
            if task.worker is None:
                self._lifecycle.finish(task, TaskState.CANCELLED, now_s, reason="cancelled")
            elif task.stop_reason is not StopReason.CANCELLED:
                self._lifecycle.stop(task, StopReason.CANCELLED, TaskCommandKind.STOP, now_s)


def make_job(spec: JobSpec, service: Service, number: int, now_s: float) -> Job:
    """Return a job with its tasks, none of which is queued yet."""
    job = Job(spec, service, number, now_s)
    quoted_id = format_value(spec.job_id)
    job.log_id = spec.job_id if quoted_id == spec.job_id else quoted_id
    job.queue_class = int(service.deadline_class)
    job.deadline_s = now_s + service.start_within_s
    for index in range(spec.task_count):
        task = Task(job, index, make_task_id(spec.job_id, index), queued_at_s=now_s)
        job.tasks.append(task)
        job.tasks_by_index[index] = task
    job.open_count = spec.task_count
    return job


def _append_answer(state: ShardState, answer: SubmitAnswer | CancelAnswer, now_s: float) -> None:
    state.messages.append(answer)
