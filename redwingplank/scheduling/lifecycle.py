"""State transitions of tasks and jobs: queued, placed, released and finished."""

from functools import partial

from redwingplank.config import Service, WorkloadKind
from redwingplank.platform import TaskCommand, TaskCommandKind
from redwingplank.scheduling.entities import Job, Phase, StopReason, Task, Worker
from redwingplank.scheduling.gangs import (
    fail_gang,
    is_gang,
    repeat_member,
    requeue_if_stopped,
)
from redwingplank.scheduling.messages import (
    JobFinished,
    JobState,
    StartIntended,
    TaskFinished,
    TaskState,
)
from redwingplank.scheduling.schedulability import update_schedulability
from redwingplank.scheduling.state import ShardState
from redwingplank.scheduling.vm_table import Amounts

__all__ = ["TaskLifecycle", "is_other_class"]


def is_other_class(old: Service, new: Service) -> bool:
    """Return whether two declarations of a service differ in how its jobs are queued."""
    return (old.deadline_class, old.start_within_s) != (new.deadline_class, new.start_within_s)


class TaskLifecycle:
    """Changes the phase of tasks and updates the tables of the shard accordingly.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state

    def queue(self, task: Task, now_s: float) -> None:
        """Queue a task for placement; it is held instead while its service is undeclared."""
        state = self._state
        job = task.job
        task.stop_reason = None
        if job.is_undeclared:
            task.phase = Phase.HELD
            return
        self.refresh(job)
        task.queued_at_s = now_s
        usage = state.shares.find(job.spec.organisation)
        state.queue.push(task, usage, self.declared(job))
        if len(job.queued) == 1 and job.queue_class > 0:
            self._schedule_promotion(job, now_s)

    def reclassify(self, organisation: str, service: Service, now_s: float) -> None:
        """Move the queued jobs of a service to its new deadline class."""
        for job in self._state.queue.reclassify(organisation, service):
            self._state.log_decision("job_reclassified", job=job.job_id, to_class=job.queue_class)
            if job.queue_class > 0:
                self._schedule_promotion(job, now_s)

    def promote_waiting(self, now_s: float) -> None:
        """Promote jobs that have waited too long by one deadline class."""
        for job in self._state.queue.promote_due(now_s):
            self._state.log_decision("job_promoted", job=job.job_id, to_class=job.queue_class)
            if job.queue_class > 0:
                self._schedule_promotion(job, now_s)

    def _schedule_promotion(self, job: Job, now_s: float) -> None:
        wait_s = job.service.start_within_s * self._state.settings.ageing_factor
        self._state.queue.promote_at(job, now_s + wait_s)

    def requeue(self, task: Task, delay_s: float, now_s: float) -> None:
        """Queue a task without a reservation again, after a delay in seconds if it is positive.

        A task of a gang is restarted by `repeat_member`.
        """
        if is_gang(task.job):
            repeat_member(self, task, delay_s, now_s)
        elif delay_s > 0:
            self.queue_after(task, delay_s, now_s)
        else:
            self.queue(task, now_s)

    def dequeue_waiting_tasks(self, job: Job) -> None:
        """Remove the queued tasks of a job from the queue and hold them."""
        self._state.queue.drop(job)
        for task in job.tasks:
            if task.phase in (Phase.QUEUED, Phase.BACKOFF):
                task.phase = Phase.HELD

    def queue_after(self, task: Task, delay_s: float, now_s: float) -> None:
        """Queue a task for placement once `delay_s` has passed."""
        task.phase = Phase.BACKOFF
        task.not_before_s = now_s + delay_s
        self._state.due.call_at(task.not_before_s, partial(self._queue_if_backoff_over, task))

    def refresh(self, job: Job) -> None:
        """Update a job to the service as declared in the revision in force.

        The deadline class and the deadline stay while the job is in the queue.
        """
        declarations = self._state.declarations
        if job.revision == declarations.revision:
            return
        job.revision = declarations.revision
        service = declarations.find_service(job.spec.organisation, job.spec.service)
        if service is None or service.kind is not job.service.kind:
            return
        is_class_new = is_other_class(job.service, service)
        job.service = service
        job.declared = None
        if is_class_new and not self._state.queue.is_waiting(job):
            job.queue_class = int(service.deadline_class)
            job.deadline_s = job.accepted_at_s + service.start_within_s

    def declared(self, job: Job) -> Amounts:
        """Return the amounts that each task of a job declares as its need."""
        if job.declared is None:
            need = job.spec.resources or job.service.resources
            job.declared = self._state.table.amounts(need)
        return job.declared

    def place(self, task: Task, worker: Worker, amounts: Amounts, now_s: float) -> None:
        """Reserve `amounts` on a worker and start the task there."""
        self._state.queue.take(task)
        task.attempt = self._state.next_attempt(task)
        task.stop_reason = None
        task.is_restart_possible = False
        task.resends = 0
        task.overshoot_step = 0
        task.placed_at_s = now_s
        task.waited_s = now_s - task.queued_at_s
        self.reserve(task, worker, amounts)
        self._mark_started(task.job)
        if task.job.service.is_idempotent or task.job.is_volatile:
            self.send_start(task)
        else:
            task.phase = Phase.INTENDED
            self._state.intended.append(task)

    def undo_placement(self, task: Task) -> None:
        """Undo `place` in the same tick; the task is queued again in its old position."""
        self.release(task)
        task.phase = Phase.QUEUED
        self._state.queue.reinsert_task(task)

    def reserve(self, task: Task, worker: Worker, amounts: Amounts) -> None:
        """Reserve `amounts` on a worker for a task."""
        state = self._state
        job = task.job
        task.worker = worker
        task.amounts = amounts
        task.reserved = state.resources(amounts)
        state.table.reserve(worker.row, amounts)
        worker.tasks_by_id[task.task_id] = task
        rack = worker.rack_number
        job.used_by_rack[rack] = job.used_by_rack.get(rack, 0) + 1
        self._count_reservation(task, worker, amounts, 1)
        if worker.is_probing:
            update_schedulability(state, worker)
        usage = state.shares.find(job.spec.organisation)
        usage.charge(amounts.tolist(), 1)
        state.changed_organisations[usage.name] = usage
        state.running_count += 1

    def _count_reservation(self, task: Task, worker: Worker, amounts: Amounts, sign: int) -> None:
        """Count a reservation as standing or preemptible, or stop counting it with sign -1."""
        service = task.job.service
        table = self._state.table
        if sign > 0:
            is_below_limit = task.preemptions < self._state.settings.max_preemptions_per_task
            can_be_stopped = service.is_preemptible and service.is_idempotent
            task.is_preemptible = is_below_limit and can_be_stopped
        if service.kind is WorkloadKind.SERVICE:
            table.add_standing(worker.row, amounts, sign)
        if task.is_preemptible:
            table.add_preemptible(worker.row, int(service.deadline_class), amounts, sign)

    def release(self, task: Task) -> None:
        """Release a task's reservation; only once the task has certainly stopped."""
        state = self._state
        worker, amounts = task.worker, task.amounts
        assert worker is not None
        assert amounts is not None
        if task.phase is Phase.RUNNING:
            worker.confirmed_count -= 1
        state.table.release(worker.row, amounts)
        self._count_reservation(task, worker, amounts, -1)
        state.freed_rows[worker.row] = None
        del worker.tasks_by_id[task.task_id]
        task.job.used_by_rack[worker.rack_number] -= 1
        usage = state.shares.find(task.job.spec.organisation)
        usage.charge(amounts.tolist(), -1)
        state.changed_organisations[usage.name] = usage
        state.running_count -= 1
        if worker.is_probing:
            update_schedulability(state, worker)
        task.worker = task.amounts = None
        task.phase = Phase.HELD

    def grow_reservation(self, task: Task, extra: Amounts) -> None:
        """Add to a task's reservation."""
        state = self._state
        assert task.worker is not None
        assert task.amounts is not None
        state.table.reserve(task.worker.row, extra)
        self._count_reservation(task, task.worker, task.amounts, -1)
        task.amounts = task.amounts + extra
        self._count_reservation(task, task.worker, task.amounts, 1)
        task.reserved = state.resources(task.amounts)
        usage = state.shares.find(task.job.spec.organisation)
        usage.charge(extra.tolist(), 1)
        state.changed_organisations[usage.name] = usage

    def send_start(self, task: Task) -> None:
        """Add the start of a task to its worker's next request."""
        assert task.worker is not None
        task.phase = Phase.TO_SEND
        task.worker.to_send.append(task)
        self._state.touch(task.worker)

    def write_intents(self, now_s: float) -> None:
        """Write this tick's intents to start non-idempotent tasks to the journal, in one record."""
        state = self._state
        placed = dict.fromkeys(state.intended)
        intended = [task for task in placed if task.phase is Phase.INTENDED]
        state.intended.clear()
        if not intended:
            return
        attempts = tuple(
            (task.task_id, task.attempt, task.worker.name) for task in intended if task.worker
        )
        state.journal.append(StartIntended(attempts))
        numbered = [(task, task.attempt) for task in intended]
        state.journal.when_durable(partial(self._send_durable_starts, numbered), now_s)

    def stop(self, task: Task, reason: StopReason, kind: TaskCommandKind, now_s: float) -> None:
        """Command the worker to stop a task; a task that was not sent yet is ended at once."""
        worker = task.worker
        assert worker is not None
        if task.phase in (Phase.INTENDED, Phase.TO_SEND):
            task.stop_reason = reason
            self.end_unstarted(task, now_s)
            return
        task.stop_reason = reason
        task.stop_sent_at_s = now_s
        worker.actions.append(TaskCommand(task.task_id, task.attempt, kind))
        self._state.touch(worker)

    def end_unstarted(self, task: Task, now_s: float) -> None:
        """End an attempt that certainly never started, without counting it as lost or failed."""
        reason = task.stop_reason
        self.release(task)
        if task.job.is_cancelled or reason is StopReason.CANCELLED:
            self.finish(task, TaskState.CANCELLED, now_s, reason="cancelled before it started")
        elif reason in (StopReason.COUNT_LOWERED, StopReason.MOVED) or task.replacement:
            self.finish(task, TaskState.CANCELLED, now_s, reason=str(reason))
        elif reason is StopReason.GANG_FAILED:
            self.finish(task, TaskState.FAILED, now_s, reason=str(reason))
        elif reason is StopReason.GANG_ROLLED_BACK:
            task.stop_reason = None
            requeue_if_stopped(self, task.job, now_s)
        else:
            self.requeue(task, 0.0, now_s)

    def finish(
        self, task: Task, state: TaskState, now_s: float, reason: str = "", result: bytes = b""
    ) -> None:
        """Set the final state of a task, and that of its job if no other task is open."""
        job = task.job
        task.phase = Phase.DONE
        task.final_state = state
        task.reason = reason
        task.result = result
        job.open_count -= 1
        job.succeeded_count += state is TaskState.SUCCEEDED
        job.failed_count += state is TaskState.FAILED
        job.unknown_count += state is TaskState.UNKNOWN
        is_recorded = not job.is_volatile and job.service.kind is not WorkloadKind.SERVICE
        if is_recorded and state is TaskState.CANCELLED:
            # The record of the job's cancellation stands for those of its cancelled tasks.
            task.final_sequence = job.cancel_sequence
        elif is_recorded:
            record = TaskFinished(task.task_id, state, result, reason)
            task.final_sequence = self._state.journal.append(record)
            self.announce_when_durable(job, now_s)
        job.version += 1
        if job.service.kind is WorkloadKind.SERVICE:
            self._remove_service_task(task)
        elif job.open_count == 0:
            self.finish_job(job, now_s)
        elif is_gang(job):
            self._update_gang(task, now_s)

    def _update_gang(self, task: Task, now_s: float) -> None:
        job = task.job
        if task.final_state in (TaskState.FAILED, TaskState.UNKNOWN):
            fail_gang(self, job, f"task {task.task_id} of the gang ended as {task.state}", now_s)
        else:
            requeue_if_stopped(self, job, now_s)

    def _remove_service_task(self, task: Task) -> None:
        job = task.job
        job.tasks.remove(task)
        job.tasks_by_index.pop(task.index, None)
        self._state.service_attempts_by_id[task.task_id] = task.attempt
        self._state.changed_services[job.job_id] = job
        if task.replaces is not None:
            task.replaces.replacement = None

    def finish_job(self, job: Job, now_s: float) -> None:
        """Set the final state of a job that has no open tasks."""
        job.state, job.detail = _final_job_state(job)
        if not job.is_volatile:
            record = JobFinished(job.job_id, job.state, job.detail)
            job.final_sequence = self._state.journal.append(record)
            self.announce_when_durable(job, now_s)
        self._state.log_decision("job_finished", job=job.job_id, state=job.state, reason=job.detail)
        self.schedule_removal(job, now_s)

    def announce_when_durable(self, job: Job, now_s: float) -> None:
        """Increment the version of a job once the records appended so far are durable.

        States that depend on these records are shown from then on.
        """
        self._state.journal.when_durable(partial(_increment_version, job), now_s)

    def schedule_removal(self, job: Job, now_s: float) -> None:
        """Schedule the removal of a finished job after the retention time."""
        due_s = now_s + self._state.settings.job_retention_s
        self._state.due.call_at(due_s, partial(self._remove_job, job.job_id))

    def _remove_job(self, job_id: str, now_s: float) -> None:
        job = self._state.jobs_by_id.pop(job_id, None)
        if job is not None:
            job.tasks.clear()
            job.tasks_by_index.clear()
            job.queued.clear()

    def _mark_started(self, job: Job) -> None:
        if job.state is JobState.ACCEPTED:
            job.state = JobState.RUNNING
        job.version += 1

    def _queue_if_backoff_over(self, task: Task, now_s: float) -> None:
        if task.phase is Phase.BACKOFF and now_s >= task.not_before_s:
            self.queue(task, now_s)

    def _send_durable_starts(self, numbered: list[tuple[Task, int]], now_s: float) -> None:
        for task, attempt in numbered:
            if task.phase is Phase.INTENDED and task.attempt == attempt:
                self.send_start(task)


def _increment_version(job: Job, now_s: float) -> None:
    job.version += 1


def _final_job_state(job: Job) -> tuple[JobState, str]:
    if job.unknown_count:
        return JobState.UNKNOWN, f"{job.unknown_count} tasks may or may not have run"
    if job.is_cancelled:
        return JobState.CANCELLED, "cancelled"
    if job.failed_count:
        return JobState.FAILED, f"{job.failed_count} of {len(job.tasks)} tasks failed"
    return JobState.SUCCEEDED, ""
