"""Recovered tasks, which wait for proof that no worker runs them."""

from collections.abc import Collection
from dataclasses import dataclass, field

from redwingplank.config import Service, WorkloadKind
from redwingplank.scheduling.entities import Phase, Task
from redwingplank.scheduling.intake import make_job
from redwingplank.scheduling.lifecycle import TaskLifecycle
from redwingplank.scheduling.messages import (
    JobState,
    RecoveredJob,
    RecoveredState,
    RecoveredTask,
    TaskState,
)
from redwingplank.scheduling.state import ShardState

__all__ = ["RecoveredTasks"]


@dataclass(slots=True, eq=False)
class _Waiting:
    task: Task
    intended: tuple[tuple[int, str], ...] = field(default=())


class RecoveredTasks:
    """Places recovered tasks only when nothing can run them any more.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    lifecycle : TaskLifecycle
        Changes tasks.
    recovered : RecoveredState
        The jobs of the journal.

    Notes
    -----
    Proof is that every worker of the platform's list was adopted, so that its inventory would
    have shown the task, or that the fence has passed.
    """

    def __init__(
        self, state: ShardState, lifecycle: TaskLifecycle, recovered: RecoveredState, now_s: float
    ) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._fence_at_s = recovered.fence_at_s
        self._waiting_by_id: dict[str, _Waiting] = {}
        self._unadopted: set[str] = set()
        self._adopted: set[str] = set()
        self._is_listed = False
        self.is_complete = False
        for job in recovered.jobs:
            self._restore(job, now_s)

    def is_waiting(self, task: Task) -> bool:
        """Return whether a task waits for proof that it has stopped."""
        return task.is_recovering

    def is_last_intent(self, task: Task, attempt: int) -> bool:
        """Return whether `attempt` is the last one that was about to start."""
        intended = self._waiting_by_id[task.task_id].intended
        return bool(intended) and intended[-1][0] == attempt

    def clear_intent(self, task: Task) -> None:
        """Note that the last attempt certainly never started."""
        self._waiting_by_id[task.task_id].intended = ()

    def forget(self, task: Task) -> None:
        """Note that a task was found."""
        task.is_recovering = False
        self._waiting_by_id.pop(task.task_id, None)

    def await_confirmation(self, task: Task) -> None:
        """Let a task of an earlier epoch wait, such as one of a standing service."""
        if not self.is_complete:
            self._add(_Waiting(task))

    def _add(self, entry: _Waiting) -> None:
        entry.task.is_recovering = True
        self._waiting_by_id[entry.task.task_id] = entry

    def workers_listed(self, names: Collection[str]) -> None:
        """Take the names of the shard's workers."""
        if not self.is_complete:
            self._is_listed = True
            self._unadopted = set(names) - self._adopted

    def worker_adopted(self, name: str) -> None:
        """Note that a worker's inventory is joined."""
        if not self.is_complete:
            self._adopted.add(name)
            self._unadopted.discard(name)

    def complete_if_confirmed(self, now_s: float) -> bool:
        """Settle all recovered tasks that were not found, once there is proof.

        Returns
        -------
        bool
            Whether recovery was completed by this call.
        """
        if self.is_complete:
            return False
        settings = self._state.settings
        can_tell = settings.workers_have_inventory and settings.workers_know_epochs
        is_joined = can_tell and self._is_listed and not self._unadopted
        if is_joined or now_s >= self._fence_at_s:
            self._complete(now_s)
        return self.is_complete

    def _complete(self, now_s: float) -> None:
        self.is_complete = True
        waiting, self._waiting_by_id = self._waiting_by_id, {}
        self._state.log_decision("recovery_complete", not_found=len(waiting))
        for entry in waiting.values():
            entry.task.is_recovering = False
        for entry in waiting.values():
            if entry.task.phase is Phase.HELD:
                self._settle(entry, now_s)

    def _settle(self, entry: _Waiting, now_s: float) -> None:
        task = entry.task
        if entry.intended:
            attempt, worker = entry.intended[-1]
            task.attempt = max(task.attempt, attempt)
            reason = f"may have run: attempt {attempt} was about to start on {worker}"
            self._lifecycle.finish(task, TaskState.UNKNOWN, now_s, reason=reason)
        elif task.job.is_cancelled:
            self._lifecycle.finish(task, TaskState.CANCELLED, now_s, reason="cancelled")
        else:
            self._lifecycle.repeat(task, 0.0, now_s)

    def declare(self, now_s: float) -> None:
        """Let recovered jobs wait for a place once their service is declared."""
        state = self._state
        for job in list(state.undeclared_by_id.values()):
            spec = job.spec
            service = state.declarations.find_service(spec.organisation, spec.service)
            if service is None and not job.is_final:
                continue
            del state.undeclared_by_id[job.job_id]
            if service is None:
                continue
            job.service, job.is_undeclared = service, False
            job.declared = None
            job.queue_class = int(service.deadline_class)
            job.deadline_s = now_s + service.start_within_s
            for task in job.tasks:
                if task.phase is Phase.HELD and not task.is_recovering:
                    self._lifecycle.queue(task, now_s)

    def _restore(self, recovered: RecoveredJob, now_s: float) -> None:
        state = self._state
        spec = recovered.spec
        declared = state.declarations.find_service(spec.organisation, spec.service)
        service = declared or _make_undeclared(recovered)
        state.job_number += 1
        job = make_job(spec, service, state.job_number, now_s)
        job.is_durable = True
        job.is_undeclared = declared is None
        job.is_cancelled = recovered.is_cancelled
        state.jobs_by_id[job.job_id] = job
        for finished in recovered.finished:
            task = state.find_task(finished.task_id)
            if task is not None:
                self._restore_finished(task, finished.state, finished.detail, finished.result)
        if recovered.state is not JobState.ACCEPTED:
            job.state, job.detail, job.open_count = recovered.state, recovered.detail, 0
            self._close_tasks(job.tasks, recovered)
            self._lifecycle.forget_later(job, now_s)
            return
        if job.is_undeclared:
            state.undeclared_by_id[job.job_id] = job
        for open_task in recovered.open_tasks:
            self._wait(open_task)
        if job.open_count == 0:
            self._lifecycle.finish_job(job, now_s)

    def _restore_finished(self, task: Task, state: TaskState, detail: str, result: bytes) -> None:
        job = task.job
        task.phase = Phase.DONE
        task.final_state, task.reason, task.result = state, detail, result
        job.open_count -= 1
        job.succeeded_count += state is TaskState.SUCCEEDED
        job.failed_count += state is TaskState.FAILED
        job.unknown_count += state is TaskState.UNKNOWN

    def _close_tasks(self, tasks: list[Task], recovered: RecoveredJob) -> None:
        state = TaskState.SUCCEEDED
        if recovered.state in (JobState.CANCELLED, JobState.UNKNOWN):
            state = TaskState.CANCELLED
        for task in tasks:
            if task.phase is not Phase.DONE:
                task.phase = Phase.DONE
                task.final_state = state

    def _wait(self, open_task: RecoveredTask) -> None:
        task = self._state.find_task(open_task.task_id)
        if task is not None and task.phase is Phase.HELD:
            self._add(_Waiting(task, open_task.intended))


def _make_undeclared(recovered: RecoveredJob) -> Service:
    is_idempotent = not any(task.intended for task in recovered.open_tasks)
    return Service(recovered.spec.service, "", WorkloadKind.BATCH, is_idempotent=is_idempotent)
