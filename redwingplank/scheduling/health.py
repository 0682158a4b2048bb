"""Workers that fail everything, told apart from jobs that fail everywhere."""

from functools import partial

from redwingplank.scheduling.entities import Job, Phase, Task, Worker
from redwingplank.scheduling.schedulability import update_open
from redwingplank.scheduling.state import ShardState

__all__ = ["WorkerHealth"]

_MAX_FAILED_TASKS = 1000
_BAD_JOB_WORKERS = 2
_CONFIRMED_WEIGHT = 1.0
_UNCONFIRMED_WEIGHT = 0.2
_MAX_FAILURE_STREAK = 4
_COOL_S = 1.0
_MAX_COOL_S = 16.0
_PROBE_RUN_S = 10.0


class WorkerHealth:
    """Quarantines workers on evidence and gives back the attempts that they spoiled.

    Parameters
    ----------
    state : ShardState
        The shard's tables.

    Notes
    -----
    A failure speaks strongly against the worker once the same job has succeeded elsewhere, and
    weakly as long as the job has neither succeeded nor failed elsewhere. A success clears a
    worker. One that fails several attempts in a row is left alone for a moment, so that it does
    not draw a whole job while the evidence from elsewhere is still to come.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state

    def note_success(self, worker: Worker, job: Job, now_s: float) -> None:
        """Clear a worker, and suspect those where the same job has failed."""
        if worker.suspicion_by_job:
            worker.suspicion_by_job.clear()
        if worker.failed_tasks:
            worker.failed_tasks.clear()
            worker.failure_streak = worker.cool_count = 0
            self._warm(worker, now_s)
        if worker.is_probing:
            self._return(worker)
        if job.failure_workers:
            job.failure_workers.discard(worker.name)
            self._confirm(job, now_s)

    def _confirm(self, job: Job, now_s: float) -> None:
        """Hold a job's failures against their workers, because it succeeds on others."""
        for name in sorted(job.failure_workers):
            worker = self._state.workers_by_name.get(name)
            if worker is None or worker.is_quarantined:
                continue
            weight = worker.suspicion_by_job.get(job.job_id, 0.0)
            if weight < _CONFIRMED_WEIGHT:
                worker.suspicion_by_job[job.job_id] = _CONFIRMED_WEIGHT
                self._judge(worker, now_s)

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
            if worker.is_probing:
                update_open(self._state, worker)
            return
        if job.succeeded_count:
            weight = worker.suspicion_by_job.get(job.job_id, 0.0) + _CONFIRMED_WEIGHT
        else:
            weight = _UNCONFIRMED_WEIGHT
        worker.suspicion_by_job[job.job_id] = weight
        worker.failure_streak += 1
        self._judge(worker, now_s)
        if worker.failure_streak >= _MAX_FAILURE_STREAK and not worker.is_quarantined:
            self._cool(worker, now_s)

    def _cool(self, worker: Worker, now_s: float) -> None:
        """Start nothing on a worker for a moment, until there is evidence from elsewhere."""
        if worker.is_backing_off:
            return
        worker.is_backing_off = True
        worker.cool_count += 1
        length_s = min(_MAX_COOL_S, _COOL_S * 2.0 ** min(worker.cool_count - 1, 16))
        update_open(self._state, worker)
        self._state.log_decision("worker_cools", worker=worker.name, for_s=length_s)
        self._state.due.call_at(now_s + length_s, partial(self._warm, worker))

    def _warm(self, worker: Worker, now_s: float) -> None:
        if worker.is_backing_off:
            worker.is_backing_off = False
            worker.failure_streak = 0
            update_open(self._state, worker)

    def _judge(self, worker: Worker, now_s: float) -> None:
        score = sum(worker.suspicion_by_job.values())
        if worker.is_probing or score >= self._state.settings.quarantine_score:
            self._quarantine(worker, now_s)

    def _clear_of(self, job: Job) -> None:
        for name in job.failure_workers:
            worker = self._state.workers_by_name.get(name)
            if worker is not None:
                worker.suspicion_by_job.pop(job.job_id, None)
                self._warm(worker, 0.0)

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
        self._state.log_decision(
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
        self._state.log_decision("worker_probed", worker=worker.name)
        self._state.due.call_at(now_s + _PROBE_RUN_S, partial(self._check_probe, worker))

    def _check_probe(self, worker: Worker, now_s: float) -> None:
        """Return a worker whose probe keeps running, such as a task of a standing service."""
        if not worker.is_probing:
            return
        since_s = now_s - _PROBE_RUN_S
        tasks = worker.tasks_by_id.values()
        if any(task.phase is Phase.RUNNING and task.placed_at_s <= since_s for task in tasks):
            self._return(worker)
        else:
            self._state.due.call_at(now_s + _PROBE_RUN_S, partial(self._check_probe, worker))

    def _return(self, worker: Worker) -> None:
        worker.is_probing = False
        worker.quarantine_count = 0
        update_open(self._state, worker)
        self._state.log_decision("worker_returned", worker=worker.name)
