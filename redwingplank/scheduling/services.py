"""Standing services, whose number of tasks is kept at the declared count."""

from functools import partial

from redwingplank.config import Declarations, Service, WorkloadKind
from redwingplank.platform import TaskCommandKind
from redwingplank.scheduling.entities import Job, Phase, StopReason, Task, Worker, make_task_id
from redwingplank.scheduling.intake import make_job
from redwingplank.scheduling.lifecycle import TaskLifecycle
from redwingplank.scheduling.messages import JobSpec, JobState, TaskState
from redwingplank.scheduling.recovered_tasks import RecoveredTasks
from redwingplank.scheduling.settings import SchedulerSettings
from redwingplank.scheduling.state import ShardState

__all__ = ["StandingServices", "make_service_job_id"]


class StandingServices:
    """Starts, moves and stops the tasks of standing services.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    lifecycle : TaskLifecycle
        Carries out the state changes of tasks.
    recovered_tasks : RecoveredTasks
        Tasks that an earlier owner may have started.
    """

    def __init__(
        self, state: ShardState, lifecycle: TaskLifecycle, recovered_tasks: RecoveredTasks
    ) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._recovered_tasks = recovered_tasks
        self._jobs_by_id: dict[str, Job] = {}
        self._target_count_by_id: dict[str, int] = {}

    def declare(self, declarations: Declarations, now_s: float) -> None:
        """Adjust every declared service to this shard's part of its count."""
        self._target_count_by_id = {}
        for organisation in declarations.organisations_by_name.values():
            for service in organisation.services_by_name.values():
                if service.kind is WorkloadKind.SERVICE:
                    self._declare_service(organisation.name, service, now_s)
        for job in list(self._jobs_by_id.values()):
            self.adjust(job, now_s)

    def _declare_service(self, organisation: str, service: Service, now_s: float) -> None:
        job_id = make_service_job_id(self._state.settings.shard, organisation, service.name)
        job = self._jobs_by_id.get(job_id)
        if job is None:
            self._state.job_number += 1
            spec = JobSpec(job_id, organisation, service.name, task_count=0)
            job = make_job(spec, service, self._state.job_number, now_s)
            job.is_durable = True
            job.state = JobState.RUNNING
            self._jobs_by_id[job_id] = self._state.jobs_by_id[job_id] = job
        job.service = service
        self._target_count_by_id[job_id] = _compute_shard_part(service.count, self._state.settings)

    def _target_count(self, job: Job) -> int:
        return self._target_count_by_id.get(job.job_id, 0)

    def adjust(self, job: Job, now_s: float) -> None:
        """Start or stop tasks of one service to reach its count in this shard."""
        active = [task for task in job.tasks if _is_active(task)]
        missing = self._target_count(job) - len(active)
        for _ in range(missing):
            self._add_task(job, now_s)
        if missing < 0:
            active.sort(key=lambda task: (task.phase is Phase.RUNNING, -task.index))
            for task in active[:-missing]:
                self._stop_or_cancel(task, StopReason.COUNT_LOWERED, now_s)
        if not job.tasks and job.job_id not in self._target_count_by_id:
            self._jobs_by_id.pop(job.job_id, None)
            self._state.jobs_by_id.pop(job.job_id, None)

    def adjust_changed(self, now_s: float) -> None:
        """Adjust the services that have lost a task since the last call."""
        changed, self._state.changed_services = self._state.changed_services, {}
        for job in changed.values():
            self.adjust(job, now_s)

    def adjust_all(self, now_s: float) -> None:
        """Adjust every service; called once recovery is complete."""
        for job in list(self._jobs_by_id.values()):
            self.adjust(job, now_s)

    def find_or_add(self, job_id: str, index: int) -> Task | None:
        """Return a service task that an inventory shows, or None if it is unknown.

        Until recovery is complete, an unknown task of a declared service is added.
        """
        job = self._jobs_by_id.get(job_id)
        if job is None or index < 0:
            return None
        task = job.tasks_by_index.get(index)
        if task is None and not self._recovered_tasks.is_complete:
            task = self._make_task(job, index, 0.0)
            self._recovered_tasks.await_confirmation(task)
        return task

    def _add_task(self, job: Job, now_s: float) -> Task:
        index = 0
        while index in job.tasks_by_index:
            index += 1
        task = self._make_task(job, index, now_s)
        if self._recovered_tasks.is_complete:
            self._lifecycle.queue(task, now_s)
        else:
            self._recovered_tasks.await_confirmation(task)
        return task

    def _make_task(self, job: Job, index: int, now_s: float) -> Task:
        task = Task(job, index, make_task_id(job.job_id, index), queued_at_s=now_s)
        task.attempt = self._state.service_attempts_by_id.get(task.task_id, 0)
        job.tasks.append(task)
        job.tasks_by_index[index] = task
        job.open_count += 1
        return task

    def _stop_or_cancel(self, task: Task, reason: StopReason, now_s: float) -> None:
        if task.worker is not None:
            self._lifecycle.stop(task, reason, TaskCommandKind.STOP, now_s)
            return
        if task.phase is Phase.QUEUED:
            self._state.queue.take(task)
        self._recovered_tasks.resolve(task)
        self._lifecycle.finish(task, TaskState.CANCELLED, now_s, reason=str(reason))

    def move_from(self, worker: Worker, now_s: float) -> None:
        """Start replacements for the service tasks of a worker that is closing."""
        if not worker.is_closing:
            return
        for task in list(worker.tasks_by_id.values()):
            is_service = task.job.service.kind is WorkloadKind.SERVICE
            if is_service and task.replacement is None and task.stop_reason is None:
                self._start_replacement(task, now_s)

    def _start_replacement(self, task: Task, now_s: float) -> None:
        replacement = self._add_task(task.job, now_s)
        task.replacement = replacement
        replacement.replaces = task
        self._state.log_decision("service_moved", task=task.task_id, to=replacement.task_id)
        due_s = now_s + self._state.settings.service_move_wait_s
        self._state.due.call_at(due_s, partial(self._stop_replaced, task))

    def _stop_replaced(self, task: Task, now_s: float) -> None:
        if task.worker is not None and task.stop_reason is None:
            self._lifecycle.stop(task, StopReason.MOVED, TaskCommandKind.STOP, now_s)


def make_service_job_id(shard: str, organisation: str, service: str) -> str:
    """Return the id of the job that represents a shard's part of a service."""
    return f"{shard}.service:{organisation}:{service}"


def _compute_shard_part(count: int, settings: SchedulerSettings) -> int:
    share, rest = divmod(count, settings.shard_count)
    return share + (settings.shard_index < rest)


def _is_active(task: Task) -> bool:
    is_retiring = task.stop_reason in (StopReason.COUNT_LOWERED, StopReason.MOVED)
    return task.phase is not Phase.DONE and task.replacement is None and not is_retiring
