"""The state that the parts of an owner share."""

import heapq
from collections import Counter
from collections.abc import Callable
from typing import Any

from redwingplank.batch.commands import Commands
from redwingplank.batch.entities import HostedTasks, InheritedStarts, Job, Step, Task
from redwingplank.batch.fencing import TOKENS_PER_EPOCH
from redwingplank.batch.interference import Interference
from redwingplank.batch.model import (
    CellConfig,
    Incarnation,
    JobState,
    QueuePolicy,
    StepKey,
    StepSpec,
    TaskId,
    WorkerEntry,
)
from redwingplank.batch.organisations import Organisations
from redwingplank.batch.runs import LostRun, Run, RunState
from redwingplank.batch.settings import BatchSettings
from redwingplank.batch.speeds import Speeds
from redwingplank.batch.worker import Worker

__all__ = ["ATTEMPTS_PER_EPOCH", "LogDecision", "OwnerState"]

ATTEMPTS_PER_EPOCH = 4096
"""Attempt numbers of an epoch start at the epoch times this, so that they rise across owners."""

MAX_CLOCK_ERROR_S = 10.0
"""Largest difference between the Unix time of this node and that of a worker."""

LogDecision = Callable[..., None]


class OwnerState:
    """Jobs, workers and pending commands of the owner in one epoch.

    Parameters
    ----------
    settings : BatchSettings
        Settings of the scheduling decisions.
    epoch : int
        First fencing token of the epoch of the ownership.
    config : CellConfig
        Current configuration.
    log_decision : callable
        Called with the name and the fields of each event that is written to the log.
    """

    def __init__(
        self, settings: BatchSettings, epoch: int, config: CellConfig, log_decision: LogDecision
    ) -> None:
        self.settings = settings
        self.epoch = epoch
        self.config = config
        self.log_decision = log_decision
        self.jobs_by_id: dict[str, Job] = {}
        self.workers_by_id: dict[str, Worker] = {}
        self.restart_counts_by_id: dict[str, int] = {}
        """Restart counts with which workers that are not known any more go on if they return."""
        self.open_steps: dict[StepKey, Step] = {}
        self.unix_offset_s = 0.0
        """Unix time at time 0, by the clock of this node."""
        self.first_listed_s = float("inf")
        """Time at which the first list of workers was applied."""
        self.last_listed_s = float("-inf")
        """Time at which the latest list of workers was applied."""
        self.latest_inherited_start_s = float("-inf")
        """Time until which earlier owners may have sent starts."""
        self.inherited_starts_by_host: dict[str, list[InheritedStarts]] = {}
        """Unanswered starts of earlier owners on a worker, by its id."""
        self.are_leases_bounded = False
        """Whether all earlier owners whose leases may last have kept to `proof_lease_s`."""
        self.unconfirmed_hosts: dict[str, float] = {}
        """Ids of unconfirmed workers that may run tasks of earlier owners, with the time in seconds
        when every lease there has expired.
        """
        self.restarted_hosts: set[Incarnation] = set()
        """Processes that may have taken a lease by themselves, as far as earlier owners knew."""
        self.inherited_tasks_by_host: Counter[str] = Counter()
        """Number of tasks that a worker may run for earlier owners, by its id."""
        self.lost_runs_by_incarnation: dict[Incarnation, list[LostRun]] = {}
        """Runs of incarnations of which nothing is known any more: they may have crashed."""
        self.dirty_jobs: dict[str, Job] = {}
        self.commands = Commands()
        self.organisations = Organisations(config, log_decision)
        self.interference = Interference(log_decision)
        self.speeds = Speeds(settings.remote_factor, self.interference)
        self.are_tokens_used_up = False
        """Whether some worker has restarted so often that the next token is of another epoch."""
        self.needs_pass = True
        """Whether something has changed since the last pass, so that more tasks may start."""
        self._pass_times_s: list[float] = []

    def token_of(self, worker: Worker) -> int:
        """Return the fencing token of commands to a worker, which rises when it restarts."""
        return self.epoch + worker.restart_count

    def note_restart(self, worker: Worker, born_ms: int, now_s: float) -> None:
        """Begin with a new process of a worker, of which nothing is known yet."""
        was_reached = worker.clock_ms is not None
        worker.note_restart(born_ms, now_s)
        if worker.is_confirmed and was_reached:
            worker.unconfirmed_until_s = now_s + self.settings.restarted_wait_s
        self._check_tokens(worker)

    def add_worker(self, entry: WorkerEntry, unconfirmed_until_s: float) -> Worker:
        """Add a worker that is listed; one that was known before counts as restarted."""
        worker = Worker(entry, unconfirmed_until_s)
        worker.restart_count = self.restart_counts_by_id.pop(worker.id, 0)
        self.workers_by_id[worker.id] = worker
        self._check_tokens(worker)
        return worker

    def forget_worker(self, worker: Worker) -> None:
        """Forget a worker on which nothing runs; it may return with another process."""
        del self.workers_by_id[worker.id]
        self.restart_counts_by_id[worker.id] = worker.restart_count + 1

    def _check_tokens(self, worker: Worker) -> None:
        if worker.restart_count >= TOKENS_PER_EPOCH - 1:
            self.are_tokens_used_up = True

    def request_pass_at(self, due_s: float) -> None:
        """Request a pass at a time at which a task or a worker may be used again."""
        heapq.heappush(self._pass_times_s, due_s)

    def request_due_passes(self, now_s: float) -> None:
        """Request a pass if one was requested for a time that has come."""
        while self._pass_times_s and self._pass_times_s[0] <= now_s:
            heapq.heappop(self._pass_times_s)
            self.needs_pass = True

    def avoid_worker(self, worker: Worker, until_s: float) -> None:
        """Start no tasks on a worker until a time, after which a pass is made."""
        worker.avoided_until_s = until_s
        self.request_pass_at(until_s)

    def delay_task(self, task: Task, until_s: float) -> None:
        """Do not start a task before a time, at which a pass is made."""
        task.not_before_s = until_s
        self.request_pass_at(until_s)

    def record_start(self, worker: Worker, task: Task, now_s: float) -> None:
        """Record that a run of a task has been planned on a worker or has begun there."""
        worker.record_start(task, now_s)
        if task.needs_isolation:
            self.request_pass_at(worker.avoided_until_s)

    def count_steps(self) -> int:
        """Return the number of steps that are held for all jobs."""
        return sum(len(job.steps_by_key) for job in self.jobs_by_id.values())

    def queue_of(self, job: Job) -> QueuePolicy | None:
        """Return the current configuration of the queue of a job, None if it has none."""
        return self.config.queues_by_name.get(job.spec.queue)

    def find_task(self, task_id: TaskId) -> tuple[Job, Task] | None:
        """Return a task with its job, None if the task is unknown."""
        job = self.jobs_by_id.get(task_id.job_id)
        task = job.find_task(task_id) if job else None
        return (job, task) if job is not None and task is not None else None

    def find_spec(self, task_id: TaskId) -> StepSpec | None:
        """Return the step of a task as submitted, None if its job is unknown; it may have ended."""
        job = self.jobs_by_id.get(task_id.job_id)
        if job is None or task_id.step >= len(job.spec.steps):
            return None
        return job.spec.steps[task_id.step]

    def mark_dirty(self, job: Job) -> int:
        """Mark a job as changed; return the version that has to be stored for the change."""
        self.dirty_jobs[job.spec.job_id] = job
        return job.increment_version()

    def next_attempt(self, task: Task) -> int:
        """Return an attempt number for a task above all that any owner has used."""
        return max(task.attempt + 1, self.epoch * ATTEMPTS_PER_EPOCH)

    def add_run(self, task: Task, run: Run) -> None:
        """Add a run to its task and its worker."""
        task.runs.append(run)
        task.attempt = max(task.attempt, run.attempt)
        self.add_run_without_task(run)

    def add_run_without_task(self, run: Run) -> None:
        """Add a run whose task is not known any more to its worker; its job may be known."""
        run.worker.add_run(run)
        job = self.jobs_by_id.get(run.task_id.job_id)
        self.organisations.charge_run(run, job.spec.organisation if job else "")
        if job is not None and run.spec is not None:
            subject = run.spec.image or job.spec.queue
            self.interference.neighbours.add(run, subject, run.sent_s)

    def remove_run(self, run: Run, now_s: float) -> Task | None:
        """Remove a run that certainly no longer exists; return its task, None if unknown."""
        run.worker.remove_run(run)
        self.organisations.release_run(run)
        self.interference.neighbours.remove(run, now_s)
        self.needs_pass = True
        found = self.find_task(run.task_id)
        if found is None:
            return None
        job, task = found
        if run in task.runs:
            task.runs.remove(run)
            task.last_end_s = now_s
            job.steps_by_key[run.task_id.step_key].tasks.release(task)
        self.forget_host(job, task, run.incarnation)
        self.reopen_step(run.task_id.step_key)
        return task

    def queue_start(self, run: Run) -> None:
        """Command the start of a planned run that is stored; a second call is ignored."""
        if not run.is_queued:
            run.is_queued = True
            self.commands.starts.append(run)

    def move_run(self, run: Run) -> None:
        """Record that a run may exist in the present incarnation of its worker."""
        found = self.find_task(run.task_id)
        earlier, run.incarnation = run.incarnation, run.worker.incarnation
        if found is None or not found[0].keeps_hosts:
            return
        job = found[0]
        step = job.steps_by_key[run.task_id.step_key]
        step.remove_host(earlier, run.task_id)
        step.add_host(run.incarnation, run.task_id)
        step.restarted_hosts.add(run.incarnation)
        self.mark_dirty(job)

    def settle_taken_lease(self, worker: Worker) -> None:
        """Let a next owner know that a lease which a process took by itself is over."""
        worker.taken_until_ms = 0
        for run in worker.runs_by_key.values():
            job = self.jobs_by_id.get(run.task_id.job_id)
            step = job.steps_by_key.get(run.task_id.step_key) if job else None
            if job is not None and step is not None and run.incarnation in step.restarted_hosts:
                step.restarted_hosts.remove(run.incarnation)
                self.mark_dirty(job)

    def note_begun(self, run: Run) -> None:
        """Record that a known process has begun with a run.

        A next owner is told of it at once only for tasks that last, which have to start again soon
        after their worker is lost.
        """
        found = self.find_task(run.task_id)
        if found is None:
            return
        job = found[0]
        step = job.steps_by_key[run.task_id.step_key]
        if step.note_answered(run.incarnation, run.task_id) and step.spec.is_lasting:
            self.mark_dirty(job)

    def forget_host(self, job: Job, task: Task, host: Incarnation) -> None:
        """Let a next owner know that a task no longer waits for what its host may run."""
        is_host = any(run.incarnation == host for run in task.runs)
        if not job.keeps_hosts or is_host:
            return
        step = job.steps_by_key[task.id.step_key]
        if step.remove_host(host, task.id):
            self.mark_dirty(job)

    def forget_free_hosts(self, worker_ids: set[str], awaited: HostedTasks | None = None) -> None:
        """Let a next owner know that nothing of earlier owners runs on some workers.

        Call it when every lease of earlier owners there has expired. Runs of this owner stay.

        Parameters
        ----------
        worker_ids : set of str
            Ids of the workers.
        awaited : dict, optional
            Tasks that may still run there nevertheless.
        """
        present = self._present_runs(worker_ids)
        for key, bits in (awaited or {}).items():
            present[key] = present.get(key, 0) | bits
        for job in self.jobs_by_id.values():
            if not job.keeps_hosts:
                continue
            is_changed = False
            for step in job.steps_by_key.values():
                is_changed |= step.keep_hosted(worker_ids, present)
            if is_changed:
                self.mark_dirty(job)

    def _present_runs(self, worker_ids: set[str]) -> HostedTasks:
        """Return the tasks that this owner knows to run, or to have started, on some workers."""
        present: HostedTasks = {}
        for worker in (self.workers_by_id.get(each) for each in worker_ids):
            for run in worker.runs_by_key.values() if worker else ():
                key = (run.task_id.step_key, run.incarnation)
                present[key] = present.get(key, 0) | 1 << run.task_id.position
        return present

    def inherited_leases_end_s(self, now_s: float) -> float:
        """Return the time by which all leases granted by earlier owners have certainly expired."""
        if self.are_leases_bounded:
            return now_s + self.settings.bounded_wait_s
        return now_s + self.settings.unbounded_wait_s

    def has_restarted(self, worker_id: str, born_ms: int) -> bool:
        """Return whether a worker is a later process than one that may run tasks."""
        return any(
            host.worker_id == worker_id and 0 < host.born_ms < born_ms
            for host in self.lost_runs_by_incarnation
        )

    def inherited_lease_ms(self, *, is_restarted: bool) -> int:
        """Return how long a lease may last that a worker had before its first report."""
        settings = self.settings
        is_bounded = self.are_leases_bounded and not is_restarted
        longest_s = settings.proof_lease_s if is_bounded else settings.lease_limit_s
        return round(min(longest_s, settings.lease_limit_s) * 1000)

    def may_have_restarted(self, worker: Worker, now_s: float) -> bool:
        """Return whether a process that reports first may have carried out calls to one before it.

        One that no earlier owner has used counts as restarted if calls of earlier owners to its
        worker may have been carried out since its start.
        """
        if worker.has_restarted or self.has_restarted(worker.id, worker.born_ms):
            return True
        if worker.incarnation in self.restarted_hosts:
            return True
        if worker.incarnation in self.lost_runs_by_incarnation:
            # An earlier owner has fenced the process before it started tasks there.
            return False
        settings = self.settings
        lateness_s = settings.owner_silence_s + settings.call_lateness_s
        lateness_s += settings.unexpected_lease_s
        age_s = now_s + self.unix_offset_s - worker.born_ms / 1000
        is_old = age_s > lateness_s + MAX_CLOCK_ERROR_S
        return not is_old and now_s - self.first_listed_s < lateness_s

    def extend_wait_for_restarted(self, worker_id: str, now_s: float) -> None:
        """Wait for an unconfirmed worker that has restarted as for leases without a bound."""
        until_s = self.unconfirmed_hosts.get(worker_id)
        if until_s is None:
            return
        until_s = max(until_s, now_s + self.settings.unbounded_wait_s)
        self.unconfirmed_hosts[worker_id] = until_s
        self.organisations.extend_host(worker_id, until_s)
        worker = self.workers_by_id.get(worker_id)
        if worker is not None:
            worker.unconfirmed_until_s = until_s

    def log_awaited_host(self, worker_id: str, now_s: float) -> None:
        """Log that the tasks of an unconfirmed worker wait, and for how long at most."""
        until_s = self.unconfirmed_hosts.get(worker_id)
        if until_s is None:
            return
        tasks = self.inherited_tasks_by_host[worker_id]
        self.log_decision(
            "host_awaited", worker=worker_id, remaining_s=until_s - now_s, tasks=tasks
        )

    def reopen_step(self, key: StepKey) -> None:
        """Add a step to the open steps again if it still has tasks that are not done."""
        job = self.jobs_by_id.get(key.job_id)
        step = job.steps_by_key.get(key) if job else None
        if step is None or job is None or job.state.is_final:
            return
        if step.is_open and step.undone_count:
            self.open_steps[key] = step
            self.needs_pass = True

    def order_stop(self, run: Run, now_s: float, reason: str) -> None:
        """Command the stop of a run; a run whose start command was not sent is removed instead."""
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
        """Set the final state of a job and stop its remaining runs."""
        job.state = state
        job.ended_s = now_s
        job.final_version = self.mark_dirty(job)
        for key in job.steps_by_key:
            self.open_steps.pop(key, None)
        for run in job.runs():
            self.order_stop(run, now_s, reason)
        fields: dict[str, Any] = {"job": job.spec.job_id, "state": state, "reason": reason}
        self.log_decision("job_ended", **fields, after_s=now_s - job.submitted_s)
