"""Status of a shard and its jobs, for callers and operators."""

from redwingplank.scheduling.entities import Job, Phase, Task, split_task_id
from redwingplank.scheduling.messages import JobState, JobStatus, TaskState, TaskStatus
from redwingplank.scheduling.state import ShardState
from redwingplank.scheduling.summary import ShardSummary

__all__ = ["Views"]


class Views:
    """Reads the shard's tables without changing them.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state

    def job_status(self, job_id: str, now_s: float) -> JobStatus | None:
        """Return a job's status for its caller, or None if the job is unknown.

        A job is shown only once its acceptance is durable, unless it is volatile, and a final state
        only once that is durable.
        """
        job = self._state.jobs_by_id.get(job_id)
        if job is None or not (job.is_durable or job.is_volatile):
            return None
        return self._make_status(job, now_s)

    def _make_status(self, job: Job, now_s: float) -> JobStatus:
        state, reason = job.state, job.detail
        if job.is_final and job.final_sequence > self._state.journal.committed_sequence:
            state, reason = JobState.RUNNING, ""
        if job.is_volatile:
            reason = f"volatile {reason}".strip()
        tasks = tuple(self._task_status(task, now_s) for task in job.tasks)
        spec = job.spec
        return JobStatus(job.job_id, spec.organisation, spec.service, state, reason, tasks)

    def _task_status(self, task: Task, now_s: float) -> TaskStatus:
        state, result, reason = task.state, task.result, task.reason
        if task.final_sequence > self._state.journal.committed_sequence:
            is_cancelled = task.final_state is TaskState.CANCELLED
            state = TaskState.STOPPING if is_cancelled else TaskState.RUNNING
            result, reason = b"", ""
        is_waiting = task.phase in (Phase.HELD, Phase.QUEUED, Phase.BACKOFF)
        waited_s = now_s - task.queued_at_s if is_waiting else task.waited_s
        worker = task.worker.name if task.worker else ""
        if is_waiting:
            reason = self.why_waiting(task, now_s)
        return TaskStatus(task.task_id, state, task.attempt, worker, reason, result, waited_s)

    def why_waiting(self, task: Task, now_s: float) -> str:
        """Return the reason why a task waits."""
        job = task.job
        if not job.is_durable and not job.is_volatile:
            return "waits until its acceptance is durable"
        if task.phase is Phase.BACKOFF:
            wait_s = max(0.0, task.not_before_s - now_s)
            return f"next attempt in {wait_s:.1f} s; {task.reason}"
        if job.is_undeclared:
            return f"service {job.spec.service} of {job.spec.organisation} is not declared"
        if task.phase is Phase.HELD:
            return "waits for proof that an earlier attempt has stopped"
        if not self._state.may_start(now_s, job.is_volatile):
            return f"the shard starts nothing: it is {self._state.mode}"
        lane = job.lane
        if lane is not None and lane.is_blocked:
            return self._why_blocked(job)
        return "waits for its turn"

    def _why_blocked(self, job: Job) -> str:
        state = self._state
        assert job.lane is not None
        need = job.lane.declared
        if not state.shares.may_start(job.lane.usage, need):
            return f"the grant of organisation {job.spec.organisation} is used up"
        schedulable_rows = state.table.is_schedulable
        for dimension, amount in enumerate(need.tolist()):
            if amount and not (state.table.free[dimension][schedulable_rows] >= amount).any():
                return f"no open VM has {amount} free {state.table.dimensions[dimension]}"
        return "no single VM has room in all dimensions together"

    def explain(self, job_or_task_id: str, now_s: float) -> tuple[str, ...]:
        """Return lines that say why a job or task waits, or where it ran."""
        state = self._state
        job = state.jobs_by_id.get(job_or_task_id)
        tasks = job.tasks if job else []
        if job is None:
            job_id, index = split_task_id(job_or_task_id)
            job = state.jobs_by_id.get(job_id)
            if job is None or index not in job.tasks_by_index:
                return (f"{job_or_task_id} is not known to shard {state.settings.shard}",)
            tasks = [job.tasks_by_index[index]]
        status = self._make_status(job, now_s)
        lines = [f"job {job.job_id} is {status.state} {status.reason}".rstrip()]
        lines.extend(job.history)
        lines.extend(self._explain_task(task, now_s) for task in tasks)
        return tuple(lines)

    def _explain_task(self, task: Task, now_s: float) -> str:
        status = self._task_status(task, now_s)
        place = f" on {status.worker}" if status.worker else ""
        reason = f": {status.reason}" if status.reason else ""
        return (
            f"task {status.task_id} is {status.state}{place}, attempt {status.attempt}, "
            f"waited {status.waited_s:.1f} s{reason}"
        )

    def summary(self, now_s: float) -> ShardSummary:
        """Return the shard's summary."""
        state = self._state
        table = state.table
        schedulable_rows = table.is_schedulable
        workers = [worker for worker in state.workers_by_name.values() if worker.is_adopted]
        waiting = tuple(state.queue.waiting_by_class)
        return ShardSummary(
            shard=state.settings.shard,
            free=table.resources(table.free[:, schedulable_rows].clip(min=0).sum(axis=1).tolist()),
            capacity=table.resources(table.capacity[:, schedulable_rows].sum(axis=1).tolist()),
            waiting_by_class=waiting,
            predicted_wait_s_by_class=self._predicted_waits(waiting),
            running_count=state.running_count,
            worker_count=len(workers),
            open_worker_count=int(schedulable_rows.sum()),
            quarantined_count=sum(worker.is_quarantined for worker in workers),
        )

    def _predicted_waits(self, waiting: tuple[int, ...]) -> tuple[float, ...]:
        starts_per_s = self._state.starts_per_s
        waits = []
        ahead = 0
        for count in waiting:
            ahead += count
            waits.append(ahead / starts_per_s if ahead and starts_per_s else 0.0)
        return tuple(waits)
