"""Tasks recovered from the journal, which wait until it is certain that no worker runs them."""

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
class _UnconfirmedTask:
    """A task that a worker may run, and the attempts and workers of its intended starts."""

    task: Task
    intended: tuple[tuple[int, str], ...] = field(default=())


class RecoveredTasks:
    """Keeps recovered tasks from being placed while a worker may still run them.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    lifecycle : TaskLifecycle
        Carries out the state changes of tasks.
    recovered : RecoveredState
        The jobs in the journal.
    now_s : float
        Current time in seconds.

    Notes
    -----
    It is certain that a task does not run once every worker in the platform's list has been
    adopted, because an inventory would have shown the task, or once the fence time has passed.
    Only the fence time counts if workers have no inventory or do not know epochs.
    """

    def __init__(
        self, state: ShardState, lifecycle: TaskLifecycle, recovered: RecoveredState, now_s: float
    ) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._fence_at_s = recovered.fence_at_s
        self._unconfirmed_by_id: dict[str, _UnconfirmedTask] = {}
        self._unadopted: set[str] = set()
        self._adopted: set[str] = set()
        self._has_worker_list = False
        self.is_complete = False
        for job in recovered.jobs:
            self._restore(job, now_s)

    def is_waiting(self, task: Task) -> bool:
        """Return whether a task waits for a stop confirmation."""
        return task.is_recovering

    def is_last_intent(self, task: Task, attempt: int) -> bool:
        """Return whether `attempt` is the last one that the journal says was about to start."""
        intended = self._unconfirmed_by_id[task.task_id].intended
        return bool(intended) and intended[-1][0] == attempt

    def clear_intent(self, task: Task) -> None:
        """Record that the last attempt that was about to start certainly never started."""
        self._unconfirmed_by_id[task.task_id].intended = ()

    def resolve(self, task: Task) -> None:
        """Stop waiting for the confirmation: the task was found, has ended or is cancelled."""
        task.is_recovering = False
        self._unconfirmed_by_id.pop(task.task_id, None)

    def await_confirmation(self, task: Task) -> None:
        """Let a task wait that an earlier owner may have started, unless recovery is complete.

        Called for the tasks of standing services.
        """
        if not self.is_complete:
            self._add(_UnconfirmedTask(task))

    def _add(self, entry: _UnconfirmedTask) -> None:
        entry.task.is_recovering = True
        self._unconfirmed_by_id[entry.task.task_id] = entry

    def workers_listed(self, names: Collection[str]) -> None:
        """Record the names of the workers in the platform's list for this shard."""
        if not self.is_complete:
            self._has_worker_list = True
            self._unadopted = set(names) - self._adopted

    def worker_adopted(self, name: str) -> None:
        """Record that a worker's inventory has been processed."""
        if not self.is_complete:
            self._adopted.add(name)
            self._unadopted.discard(name)

    def complete_if_confirmed(self, now_s: float) -> bool:
        """Resolve all recovered tasks that were not found, once they certainly do not run.

        Returns
        -------
        bool
            Whether this call completed the recovery.
        """
        if self.is_complete:
            return False
        settings = self._state.settings
        are_inventories_reliable = settings.workers_have_inventory and settings.workers_know_epochs
        are_all_adopted = are_inventories_reliable and self._has_worker_list and not self._unadopted
        if are_all_adopted or now_s >= self._fence_at_s:
            self._complete(now_s)
        return self.is_complete

    def _complete(self, now_s: float) -> None:
        self.is_complete = True
        waiting, self._unconfirmed_by_id = self._unconfirmed_by_id, {}
        self._state.log_decision("recovery_complete", not_found=len(waiting))
        for entry in waiting.values():
            entry.task.is_recovering = False
        for entry in waiting.values():
            if entry.task.phase is Phase.HELD:
                self._resolve(entry, now_s)

    def _resolve(self, entry: _UnconfirmedTask, now_s: float) -> None:
        task = entry.task
        if entry.intended:
            attempt, worker = entry.intended[-1]
            task.attempt = max(task.attempt, attempt)
            reason = f"may have run: attempt {attempt} was about to start on {worker}"
            self._lifecycle.finish(task, TaskState.UNKNOWN, now_s, reason=reason)
        elif task.job.is_cancelled:
            self._lifecycle.finish(task, TaskState.CANCELLED, now_s, reason="cancelled")
        else:
            self._lifecycle.requeue(task, 0.0, now_s)

    def declare(self, now_s: float) -> None:
        """Queue the tasks of recovered jobs whose service has been declared since."""
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
            self._lifecycle.schedule_removal(job, now_s)
            return
        if job.is_undeclared:
            state.undeclared_by_id[job.job_id] = job
        for open_task in recovered.open_tasks:
            self._restore_open_task(open_task)
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

    def _restore_open_task(self, open_task: RecoveredTask) -> None:
        task = self._state.find_task(open_task.task_id)
        if task is not None and task.phase is Phase.HELD:
            self._add(_UnconfirmedTask(task, open_task.intended))


def _make_undeclared(recovered: RecoveredJob) -> Service:
    # The journal records intended starts only for tasks that are not idempotent.
    is_idempotent = not any(task.intended for task in recovered.open_tasks)
    return Service(recovered.spec.service, "", WorkloadKind.BATCH, is_idempotent=is_idempotent)
