"""The tables that the parts of an owner share."""

from collections.abc import Callable
from typing import Any

from redwingplank.batch.commands import Commands
from redwingplank.batch.entities import Job, Run, RunState, Step, Task, Worker
from redwingplank.batch.model import CellConfig, JobState, QueuePolicy, StepKey, TaskId
from redwingplank.batch.settings import BatchSettings
from redwingplank.batch.speeds import Speeds

__all__ = ["ATTEMPTS_PER_TERM", "Decide", "OwnerState"]

ATTEMPTS_PER_TERM = 4096
"""Attempt numbers of a term start at the term times this, so that they rise across owners."""

Decide = Callable[..., None]


class OwnerState:
    """Jobs, workers and commands of one term of ownership.

    Parameters
    ----------
    settings : BatchSettings
        Of the decisions.
    term : int
        Number of the term; the fencing token of all orders.
    config : CellConfig
        The configuration in force.
    decide : callable
        Called with an event's name and its fields for each decision.
    """

    def __init__(
        self, settings: BatchSettings, term: int, config: CellConfig, decide: Decide
    ) -> None:
        self.settings = settings
        self.epoch = term
        self.config = config
        self.log_decision = decide
        self.jobs_by_id: dict[str, Job] = {}
        self.workers_by_id: dict[str, Worker] = {}
        self.open_steps: dict[StepKey, Step] = {}
        self.unconfirmed_hosts: dict[str, float] = {}
        """Workers of earlier owners and when every lease there is over."""
        self.dirty_jobs: dict[str, Job] = {}
        self.commands = Commands()
        self.speeds = Speeds(settings.remote_factor)
        self.needs_pass = True

    def queue_of(self, job: Job) -> QueuePolicy | None:
        """Return the queue of a job as it is configured now."""
        return self.config.queues_by_name.get(job.spec.queue)

    def find_task(self, task_id: TaskId) -> tuple[Job, Task] | None:
        """Return a task with its job, None if it is not known."""
        job = self.jobs_by_id.get(task_id.job_id)
        task = job.find_task(task_id) if job else None
        return (job, task) if job is not None and task is not None else None

    def mark_dirty(self, job: Job) -> int:
        """Note that a job has to be stored; return the version that will hold the change."""
        self.dirty_jobs[job.spec.job_id] = job
        return job.touch()

    def next_attempt(self, task: Task) -> int:
        """Return an attempt number above all that any owner has used."""
        return max(task.attempt + 1, self.epoch * ATTEMPTS_PER_TERM)

    def add_run(self, task: Task, run: Run) -> None:
        """Enter a run in both tables."""
        task.runs.append(run)
        task.attempt = max(task.attempt, run.attempt)
        run.worker.add(run)

    def remove_run(self, run: Run, now_s: float) -> Task | None:
        """Forget a run that certainly exists no more; return its task if that is known."""
        run.worker.remove(run)
        self.needs_pass = True
        found = self.find_task(run.task_id)
        if found is None:
            return None
        _, task = found
        if run in task.runs:
            task.runs.remove(run)
            task.last_end_s = now_s
        self.reopen(run.task_id.step_key)
        return task

    def reopen(self, key: StepKey) -> None:
        """Put a step back among those with tasks to start."""
        job = self.jobs_by_id.get(key.job_id)
        step = job.steps_by_key.get(key) if job else None
        if step is None or job is None or job.state.is_final:
            return
        if step.is_open and step.undone:
            self.open_steps[key] = step

    def order_stop(self, run: Run, now_s: float, reason: str) -> None:
        """Stop a run, unless the order to start has not been sent."""
        if run.state is RunState.PLANNED:
            self.remove_run(run, now_s)
            return
        if run.state is RunState.STOPPING:
            return
        was_starting = run.state is RunState.STARTING
        run.state = RunState.STOPPING
        run.resolved_s = None
        run.stop_sent_s = now_s
        self.commands.stops.append(run)
        self.log_decision(
            "stop",
            job=run.task_id.job_id,
            task=run.task_id,
            attempt=run.attempt,
            worker=run.worker.id,
            reason=reason,
            in_flight=was_starting,
        )

    def finish_job(self, job: Job, state: JobState, now_s: float, reason: str) -> None:
        """End a job and stop what is left of it."""
        job.state = state
        job.ended_s = now_s
        self.mark_dirty(job)
        for key in job.steps_by_key:
            self.open_steps.pop(key, None)
        for run in job.runs():
            self.order_stop(run, now_s, reason)
        fields: dict[str, Any] = {"job": job.spec.job_id, "state": state, "reason": reason}
        self.log_decision("job_ended", **fields, after_s=now_s - job.submitted_s)
