"""Quarantine of workers that fail any task, as opposed to jobs that fail on any worker."""

from functools import partial

from redwingplank.scheduling.entities import Job, Phase, Task, Worker
from redwingplank.scheduling.schedulability import update_schedulability
from redwingplank.scheduling.state import ShardState

__all__ = ["WorkerHealth"]

_MAX_FAILED_TASKS = 1000
"""Failed tasks that are remembered for each worker."""
_MIN_BAD_JOB_WORKERS = 2
"""A job that succeeded nowhere and failed on this many workers is blamed instead of them."""
_CONFIRMED_WEIGHT = 1.0
"""Suspicion for a failure of a job that has succeeded elsewhere."""
_UNCONFIRMED_WEIGHT = 0.2
"""Suspicion for all failures of a job that has not succeeded yet."""
_MAX_FAILURE_STREAK = 4
"""Failures in a row after which a worker receives no tasks for a backoff."""
_INITIAL_BACKOFF_S = 1.0
_MAX_BACKOFF_S = 16.0
"""The backoff doubles up to this duration."""
_PROBATION_RUN_TIME_S = 10.0
"""Run time after which a running task ends the probation of its worker."""


class WorkerHealth:
    """Quarantines workers at which many tasks fail, and discards the failures that they caused.

    Parameters
    ----------
    state : ShardState
        The shard's tables.

    Notes
    -----
    A failure raises the suspicion of its worker much once the same job has succeeded elsewhere,
    and little while the job has neither succeeded nor failed elsewhere. A success clears the
    suspicion. A worker at which several attempts in a row fail receives no tasks for a backoff,
    so that it does not fail a whole job before there are results from other workers.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state

    def record_success(self, worker: Worker, job: Job, now_s: float) -> None:
        """Clear the worker's suspicion, and raise that of workers at which the same job failed."""
        if worker.suspicion_by_job:
            worker.suspicion_by_job.clear()
        if worker.failed_tasks:
            worker.failed_tasks.clear()
            worker.failure_streak = worker.backoff_count = 0
            self._end_backoff(worker, now_s)
        if worker.is_probing:
            self._end_probation(worker)
        if job.failure_workers:
            job.failure_workers.discard(worker.name)
            self._confirm_failures(job, now_s)

    def _confirm_failures(self, job: Job, now_s: float) -> None:
        """Raise the suspicion of workers at which a job failed that succeeds on others."""
        for name in sorted(job.failure_workers):
            worker = self._state.workers_by_name.get(name)
            if worker is None or worker.is_quarantined:
                continue
            weight = worker.suspicion_by_job.get(job.job_id, 0.0)
            if weight < _CONFIRMED_WEIGHT:
                worker.suspicion_by_job[job.job_id] = _CONFIRMED_WEIGHT
                self._quarantine_if_suspect(worker, now_s)

    def record_failure(self, worker: Worker, task: Task, now_s: float) -> None:
        """Update the suspicion of a worker after an attempt failed there."""
        job = task.job
        if worker.is_quarantined:
            self._discard_failure(worker, task)
            return
        job.failure_workers.add(worker.name)
        if len(worker.failed_tasks) < _MAX_FAILED_TASKS:
            worker.failed_tasks.append(task)
        if job.succeeded_count == 0 and len(job.failure_workers) >= _MIN_BAD_JOB_WORKERS:
            self._clear_suspicion(job)
            if worker.is_probing:
                update_schedulability(self._state, worker)
            return
        if job.succeeded_count:
            weight = worker.suspicion_by_job.get(job.job_id, 0.0) + _CONFIRMED_WEIGHT
        else:
            weight = _UNCONFIRMED_WEIGHT
        worker.suspicion_by_job[job.job_id] = weight
        worker.failure_streak += 1
        self._quarantine_if_suspect(worker, now_s)
        if worker.failure_streak >= _MAX_FAILURE_STREAK and not worker.is_quarantined:
            self._start_backoff(worker, now_s)

    def _start_backoff(self, worker: Worker, now_s: float) -> None:
        """Start nothing on a worker during a backoff, until there are results from others."""
        if worker.is_backing_off:
            return
        worker.is_backing_off = True
        worker.backoff_count += 1
        duration_s = min(
            _MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2.0 ** min(worker.backoff_count - 1, 16)
        )
        update_schedulability(self._state, worker)
        self._state.log_decision("worker_cools", worker=worker.name, for_s=duration_s)
        self._state.due.call_at(now_s + duration_s, partial(self._end_backoff, worker))

    def _end_backoff(self, worker: Worker, now_s: float) -> None:
        if worker.is_backing_off:
            worker.is_backing_off = False
            worker.failure_streak = 0
            update_schedulability(self._state, worker)

    def _quarantine_if_suspect(self, worker: Worker, now_s: float) -> None:
        score = sum(worker.suspicion_by_job.values())
        if worker.is_probing or score >= self._state.settings.quarantine_score:
            self._quarantine(worker, now_s)

    def _clear_suspicion(self, job: Job) -> None:
        for name in job.failure_workers:
            worker = self._state.workers_by_name.get(name)
            if worker is not None:
                worker.suspicion_by_job.pop(job.job_id, None)
                self._end_backoff(worker, 0.0)

    def _quarantine(self, worker: Worker, now_s: float) -> None:
        settings = self._state.settings
        duration_s = settings.quarantine_s * 2.0 ** min(worker.quarantine_count, 16)
        worker.quarantine_count += 1
        worker.is_quarantined, worker.is_probing = True, False
        worker.quarantined_until_s = now_s + min(settings.max_quarantine_s, duration_s)
        worker.suspicion_by_job.clear()
        failed, worker.failed_tasks = worker.failed_tasks, []
        for task in failed:
            self._discard_failure(worker, task)
        update_schedulability(self._state, worker)
        self._state.log_decision(
            "worker_quarantined",
            worker=worker.name,
            until_s=worker.quarantined_until_s,
            given_back=len(failed),
        )
        self._state.due.call_at(worker.quarantined_until_s, partial(self._start_probation, worker))

    def _discard_failure(self, worker: Worker, task: Task) -> None:
        task.job.failure_workers.discard(worker.name)
        if task.phase is not Phase.DONE:
            kept = [name for name in task.failure_workers if name != worker.name]
            task.failure_workers = tuple(kept)

    def _start_probation(self, worker: Worker, now_s: float) -> None:
        if not worker.is_quarantined or now_s < worker.quarantined_until_s:
            return
        worker.is_quarantined, worker.is_probing = False, True
        update_schedulability(self._state, worker)
        self._state.log_decision("worker_probed", worker=worker.name)
        self._state.due.call_at(
            now_s + _PROBATION_RUN_TIME_S, partial(self._check_probation, worker)
        )

    def _check_probation(self, worker: Worker, now_s: float) -> None:
        """End the probation of a worker on which a task, such as a service task, keeps running."""
        if not worker.is_probing:
            return
        since_s = now_s - _PROBATION_RUN_TIME_S
        tasks = worker.tasks_by_id.values()
        if any(task.phase is Phase.RUNNING and task.placed_at_s <= since_s for task in tasks):
            self._end_probation(worker)
        else:
            self._state.due.call_at(
                now_s + _PROBATION_RUN_TIME_S, partial(self._check_probation, worker)
            )

    def _end_probation(self, worker: Worker) -> None:
        worker.is_probing = False
        worker.quarantine_count = 0
        update_schedulability(self._state, worker)
        self._state.log_decision("worker_returned", worker=worker.name)
