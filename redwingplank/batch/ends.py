"""What the end of a run means for its task, its job and its worker."""

from redwingplank.batch.entities import Job, PendingCompletion, Run, RunState, Step, Task, Worker
from redwingplank.batch.model import CompletionKind, JobState, RunCompletion, TaskId
from redwingplank.batch.state import OwnerState

__all__ = ["Completions"]

RETRY_AFTER_FAILURE_S = 0.05
"""Failures are mostly the worker's: another one is tried soon."""
LASTING_RETRY_S = 0.02


class Completions:
    """Applies ends that workers list.

    Parameters
    ----------
    state : OwnerState
        The tables.
    """

    def __init__(self, state: OwnerState) -> None:
        self._state = state

    def apply_completion(self, worker: Worker, end: RunCompletion, now_s: float) -> None:
        """Apply one end; those that were applied before are passed over."""
        if end.number <= worker.handled_completion_number:
            return
        worker.handled_completion_number = end.number
        run = worker.runs_by_key.get((end.task, end.attempt))
        found = self._state.find_task(end.task)
        if found is None:
            if run is not None:
                self._state.remove_run(run, now_s)
            worker.pending_ends.append(PendingCompletion(end.number, None, 0))
            return
        job, task = found
        step = job.steps_by_key[end.task.step_key]
        version = self._apply(job, step, task, worker, run, end, now_s)
        if run is not None:
            self._state.remove_run(run, now_s)
        subject = job if version else None
        worker.pending_ends.append(PendingCompletion(end.number, subject, version))

    def _apply(
        self,
        job: Job,
        step: Step,
        task: Task,
        worker: Worker,
        run: Run | None,
        end: RunCompletion,
        now_s: float,
    ) -> int:
        """Return the version of the job that has to be stored before the end is acknowledged."""
        task.attempt = max(task.attempt, end.attempt)
        self._state.log_decision(
            "run_ended",
            job=job.spec.job_id,
            task=end.task,
            attempt=end.attempt,
            worker=worker.id,
            end=end.kind.name.lower(),
            run_s=now_s - run.started_s if run else 0.0,
        )
        is_changed = False
        if end.saved and end.saved != task.saved and not task.is_done:
            task.saved = end.saved
            is_changed = True
        if end.kind is CompletionKind.DONE:
            is_changed |= self._done(job, step, task, worker, run, now_s)
        elif end.kind is CompletionKind.FAILED:
            is_changed |= self._failed(job, step, task, worker, end.attempt, now_s)
        if step.spec.is_gang and end.kind is not CompletionKind.DONE:
            self._break_gang(step, end.attempt, now_s)
        return self._state.mark_dirty(job) if is_changed else 0

    def _done(
        self, job: Job, step: Step, task: Task, worker: Worker, run: Run | None, now_s: float
    ) -> bool:
        worker.failures_in_row = 0
        if task.is_done or step.spec.is_lasting:
            return False
        if run is not None and run.state is not RunState.STOPPING and not task.saved:
            measured_s = now_s - run.started_s
            self._state.speeds.record_run_time(step.spec, job.spec.queue, worker.entry, measured_s)
        finished = step.tasks if step.spec.is_gang else [task]
        for each in finished:
            if not each.is_done:
                each.is_done = True
                step.undone -= 1
            for other in list(each.runs):
                if other is not run and not step.spec.is_gang:
                    self._state.order_stop(other, now_s, "already_done")
        if step.undone == 0:
            self._step_done(job, step, now_s)
        return True

    def _step_done(self, job: Job, step: Step, now_s: float) -> None:
        self._state.open_steps.pop(step.key, None)
        if job.state.is_final:
            return
        for other in job.steps_by_key.values():
            if other.key.occurrence == step.key.occurrence and not other.is_open:
                self.open_step_if_ready(job, other, now_s)
        all_done = all(other.undone == 0 for other in job.steps_by_key.values())
        if all_done and job.due_count == job.occurrence_count:
            self._state.finish_job(job, JobState.COMPLETED, now_s, "all_done")

    def open_step_if_ready(self, job: Job, step: Step, now_s: float) -> None:
        """Open a step if all that it follows is done."""
        occurrence = step.key.occurrence
        for number in step.spec.after:
            earlier = job.steps_by_key[step.key._replace(step=number)]
            if earlier.undone:
                return
        step.is_open = True
        step.opened_s = now_s
        self._state.open_steps[step.key] = step
        self._state.needs_pass = True
        self._state.log_decision(
            "step_opened", job=job.spec.job_id, occurrence=occurrence, step=step.key.step
        )

    def _failed(
        self, job: Job, step: Step, task: Task, worker: Worker, attempt: int, now_s: float
    ) -> bool:
        self._blame(worker, task.id, now_s)
        subject = step.tasks[0] if step.spec.is_gang else task
        task.bad_workers.add(worker.id)
        if attempt <= subject.last_failed_attempt:
            return False
        subject.failures += 1
        subject.last_failed_attempt = attempt
        task.not_before_s = now_s + (
            LASTING_RETRY_S if step.spec.is_lasting else RETRY_AFTER_FAILURE_S
        )
        queue = self._state.queue_of(job)
        limit = queue.max_attempts if queue else 1
        if step.spec.is_lasting or job.state.is_final:
            return not step.spec.is_lasting
        if subject.failures >= limit and not subject.is_done:
            self._state.finish_job(job, JobState.FAILED, now_s, "attempts_used_up")
        return True

    def _blame(self, worker: Worker, task_id: TaskId, now_s: float) -> None:
        settings = self._state.settings
        worker.failures_in_row += 1
        over = worker.failures_in_row - settings.failures_to_avoid
        if over < 0:
            return
        avoid_s = min(settings.avoid_limit_s, settings.avoid_s * 2**over)
        worker.avoided_until_s = now_s + avoid_s
        self._state.log_decision(
            "worker_avoided",
            worker=worker.id,
            failures=worker.failures_in_row,
            for_s=avoid_s,
            task=task_id,
        )

    def _break_gang(self, step: Step, attempt: int, now_s: float) -> None:
        for task in step.tasks:
            for run in list(task.runs):
                if run.attempt == attempt:
                    self._state.order_stop(run, now_s, "gang_broken")
