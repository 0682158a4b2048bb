"""Applies the completion of a run to its task, its job and its worker."""

from redwingplank.batch.entities import Job, Step, Task
from redwingplank.batch.model import CompletionKind, JobState, RunCompletion, TaskId
from redwingplank.batch.runs import Run, RunState
from redwingplank.batch.state import OwnerState
from redwingplank.batch.worker import PendingCompletion, Worker

__all__ = ["Completions"]

RETRY_AFTER_FAILURE_S = 0.05
"""Delay before the next attempt of a failed task.

It is short because most failures are caused by the worker, and another one is preferred next.
"""
LASTING_RETRY_S = 0.02
"""Delay before a task of a lasting step is started again after a failure."""


class Completions:
    """Applies the completions that workers report.

    Parameters
    ----------
    state : OwnerState
        Jobs and workers of the owner.
    """

    def __init__(self, state: OwnerState) -> None:
        self._state = state

    def apply_completion(self, worker: Worker, completion: RunCompletion, now_s: float) -> None:
        """Apply one completion; a completion that was applied before is ignored.

        It counts as applied only at the end: after an unexpected error it is still in the worker's
        next report, and its run stays known until then.
        """
        if completion.number <= worker.handled_completion_number:
            return
        run = worker.runs_by_key.get((completion.task, completion.attempt))
        found = self._state.find_task(completion.task)
        job: Job | None = None
        version = 0
        if found is not None:
            job, task = found
            step = job.steps_by_key[completion.task.step_key]
            version = self._apply_to_task(job, step, task, worker, run, completion, now_s)
        if run is not None:
            self._state.remove_run(run, now_s)
        if found is not None:
            step.tasks.release(task)
        worker.handled_completion_number = completion.number
        worker.pending_completions.append(PendingCompletion(completion.number, job, version))

    def _apply_to_task(
        self,
        job: Job,
        step: Step,
        task: Task,
        worker: Worker,
        run: Run | None,
        completion: RunCompletion,
        now_s: float,
    ) -> int:
        """Apply a completion to its task.

        Returns
        -------
        int
            Version of the job that has to be stored before the completion is acknowledged: the
            current one if nothing changed, so that earlier changes are stored too.
        """
        job.has_begun = True
        task.attempt = max(task.attempt, completion.attempt)
        self._state.log_decision(
            "run_ended",
            job=job.spec.job_id,
            task=completion.task,
            attempt=completion.attempt,
            worker=worker.id,
            end=completion.kind.name.lower(),
            run_s=now_s - run.started_s if run else 0.0,
        )
        is_changed = False
        if completion.saved and not task.is_done:
            # Also if a report has listed the checkpoint before, which alone does not store it.
            task.saved = completion.saved
            is_changed = True
        if completion.kind is CompletionKind.DONE:
            is_changed |= self._apply_success(job, step, task, worker, run, now_s)
        elif completion.kind is CompletionKind.FAILED:
            is_changed |= self._apply_failure(job, step, task, worker, completion.attempt, now_s)
        if step.spec.is_gang and completion.kind is not CompletionKind.DONE:
            self._break_gang(step, completion.attempt, now_s)
        return self._state.mark_dirty(job) if is_changed else job.version

    def _apply_success(
        self, job: Job, step: Step, task: Task, worker: Worker, run: Run | None, now_s: float
    ) -> bool:
        worker.failures_in_row = 0
        if task.is_done or step.spec.is_lasting:
            return False
        if run is not None and run.state is not RunState.STOPPING and not task.saved:
            self._record_run_time(job, step, run, now_s)
        finished = list(step.tasks) if step.spec.is_gang else [task]
        for completed in finished:
            if not completed.is_done:
                completed.is_done = True
                step.undone_count -= 1
            for other in list(completed.runs):
                if other is not run and not step.spec.is_gang:
                    self._state.order_stop(other, now_s, "already_done")
            step.tasks.release(completed)
        if step.undone_count == 0:
            self._complete_step(job, step, now_s)
        return True

    def _record_run_time(self, job: Job, step: Step, run: Run, now_s: float) -> None:
        """Record the run time of a task, and what it ran beside.

        The members of a gang wait for each other on several workers, so that what one of them ran
        beside says little about its run time.
        """
        speeds, spec, queue, entry = self._state.speeds, step.spec, job.spec.queue, run.worker.entry
        measured_s = now_s - run.started_s
        expected_s = speeds.expected_s(spec, queue, entry)
        speeds.record_run_time(spec, queue, entry, measured_s)
        if not spec.is_gang:
            subject = spec.image or queue
            self._state.interference.record(run, subject, measured_s / expected_s, now_s)

    def _complete_step(self, job: Job, step: Step, now_s: float) -> None:
        self._state.open_steps.pop(step.key, None)
        if job.state.is_final:
            return
        for other in job.steps_by_key.values():
            if other.key.occurrence == step.key.occurrence and not other.is_open:
                self.open_step_if_ready(job, other, now_s)
        all_done = all(other.undone_count == 0 for other in job.steps_by_key.values())
        if all_done and job.due_count == job.occurrence_count:
            self._state.finish_job(job, JobState.COMPLETED, now_s, "all_done")

    def open_step_if_ready(self, job: Job, step: Step, now_s: float) -> None:
        """Open a step if all steps that it depends on are done."""
        occurrence = step.key.occurrence
        for number in step.spec.after:
            earlier = job.steps_by_key[step.key._replace(step=number)]
            if earlier.undone_count:
                return
        step.is_open = True
        step.opened_s = now_s
        self._state.open_steps[step.key] = step
        self._state.needs_pass = True
        self._state.log_decision(
            "step_opened", job=job.spec.job_id, occurrence=occurrence, step=step.key.step
        )

    def _apply_failure(
        self, job: Job, step: Step, task: Task, worker: Worker, attempt: int, now_s: float
    ) -> bool:
        self._record_worker_failure(worker, task.id, now_s)
        subject = step.tasks[0] if step.spec.is_gang else task
        task.bad_workers.add(worker.id)
        may_copy = step.spec.may_copy and not step.spec.is_lasting
        if subject.is_failure_counted(attempt, may_copy=may_copy):
            return False
        subject.count_failure(attempt, may_copy=may_copy)
        delay_s = LASTING_RETRY_S if step.spec.is_lasting else RETRY_AFTER_FAILURE_S
        self._state.delay_task(task, now_s + delay_s)
        self._fail_if_used_up(job, step, subject, now_s)
        return not step.spec.is_lasting

    def fail_if_attempts_used_up(self, job: Job, now_s: float) -> None:
        """Fail a job if a task of it has failed as often as its queue allows now."""
        for step in job.steps_by_key.values():
            for task in list(step.tasks.used()):
                if task.failures:
                    self._fail_if_used_up(job, step, task, now_s)

    def _fail_if_used_up(self, job: Job, step: Step, task: Task, now_s: float) -> None:
        """Fail a job whose task, or the first of a gang, has used up its attempts.

        While its queue is not configured the limit is not known, and the job waits.
        """
        queue = self._state.queue_of(job)
        if job.state.is_final or step.spec.is_lasting or task.is_done:
            return
        if queue is None:
            self._state.log_decision(
                "limit_unknown", job=job.spec.job_id, task=task.id, failures=task.failures
            )
        elif task.failures >= queue.max_attempts:
            self._state.finish_job(job, JobState.FAILED, now_s, "attempts_used_up")

    def _record_worker_failure(self, worker: Worker, task_id: TaskId, now_s: float) -> None:
        settings = self._state.settings
        worker.failures_in_row += 1
        excess = worker.failures_in_row - settings.failures_to_avoid
        if excess < 0:
            return
        avoid_s = min(settings.avoid_limit_s, settings.avoid_s * 2**excess)
        self._state.avoid_worker(worker, now_s + avoid_s)
        self._state.log_decision(
            "worker_avoided",
            worker=worker.id,
            failures=worker.failures_in_row,
            for_s=avoid_s,
            task=task_id,
        )

    def _break_gang(self, step: Step, attempt: int, now_s: float) -> None:
        for task in list(step.tasks.used()):
            for run in list(task.runs):
                if run.attempt == attempt:
                    self._state.order_stop(run, now_s, "gang_broken")
