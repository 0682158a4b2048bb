"""Workers that fail everything, told apart from jobs that fail everywhere."""

from functools import partial

from redwingplank.scheduling.entities import Job, Phase, Task, Worker
from redwingplank.scheduling.openness import update_open
from redwingplank.scheduling.state import ShardState

__all__ = ["WorkerHealth"]

_MAX_FAILED_TASKS = 1000
_BAD_JOB_WORKERS = 2


class WorkerHealth:
    """Quarantines workers on evidence and gives back the attempts that they spoiled.

    Parameters
    ----------
    state : ShardState
        The shard's tables.

    Notes
    -----
    A failure speaks against the worker only as long as the job has failed on no other worker,
    or once another task of the same job has succeeded elsewhere. A success clears a worker.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state

    def note_success(self, worker: Worker, job: Job) -> None:
        """Clear a worker, and suspect again those where the same job has failed."""
        if worker.suspicion_by_job:
            worker.suspicion_by_job.clear()
        if worker.failed_tasks:
            worker.failed_tasks.clear()
        if worker.is_probing:
            worker.is_probing = False
            worker.quarantine_count = 0
            update_open(self._state, worker)
            self._state.decide("worker_returned", worker=worker.name)
        if job.failure_workers:
            job.failure_workers.discard(worker.name)

    def note_failure(self, worker: Worker, task: Task, now_s: float) -> None:
        """Weigh a failed attempt."""
        job = task.job
        if worker.is_quarantined:
            self._give_back(worker, task)
            return
        job.failure_workers.add(worker.name)
        if len(worker.failed_tasks) < _MAX_FAILED_TASKS:
            worker.failed_tasks.append(task)
        if job.succeeded_count == 0 and len(job.failure_workers) >= _BAD_JOB_WORKERS:
            self._clear_of(job)
            return
        count = worker.suspicion_by_job.get(job.job_id, 0)
        worker.suspicion_by_job[job.job_id] = count + 1 if job.succeeded_count else 1
        score = sum(worker.suspicion_by_job.values())
        if worker.is_probing or score >= self._state.settings.quarantine_score:
            self._quarantine(worker, now_s)

    def _clear_of(self, job: Job) -> None:
        for name in job.failure_workers:
            worker = self._state.workers_by_name.get(name)
            if worker is not None:
                worker.suspicion_by_job.pop(job.job_id, None)

    def _quarantine(self, worker: Worker, now_s: float) -> None:
        settings = self._state.settings
        length_s = settings.quarantine_s * 2.0 ** min(worker.quarantine_count, 16)
        worker.quarantine_count += 1
        worker.is_quarantined, worker.is_probing = True, False
        worker.quarantined_until_s = now_s + min(settings.max_quarantine_s, length_s)
        worker.suspicion_by_job.clear()
        failed, worker.failed_tasks = worker.failed_tasks, []
        for task in failed:
            self._give_back(worker, task)
        update_open(self._state, worker)
        self._state.decide(
            "worker_quarantined",
            worker=worker.name,
            until_s=worker.quarantined_until_s,
            given_back=len(failed),
        )
        self._state.due.call_at(worker.quarantined_until_s, partial(self._probe, worker))

    def _give_back(self, worker: Worker, task: Task) -> None:
        task.job.failure_workers.discard(worker.name)
        if task.phase is not Phase.DONE:
            kept = [name for name in task.failure_workers if name != worker.name]
            task.failure_workers = tuple(kept)

    def _probe(self, worker: Worker, now_s: float) -> None:
        if not worker.is_quarantined or now_s < worker.quarantined_until_s:
            return
        worker.is_quarantined, worker.is_probing = False, True
        update_open(self._state, worker)
        self._state.decide("worker_probed", worker=worker.name)
