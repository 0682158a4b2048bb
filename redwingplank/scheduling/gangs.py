"""Gangs: jobs whose tasks all run at the same time or not at all."""

from typing import TYPE_CHECKING

import numpy as np

from redwingplank.config import WorkloadKind
from redwingplank.platform import TaskCommandKind
from redwingplank.scheduling.entities import Job, Phase, StopReason, Task
from redwingplank.scheduling.messages import TaskState
from redwingplank.scheduling.vm_table import Amounts, VmTable

if TYPE_CHECKING:
    from redwingplank.scheduling.lifecycle import TaskLifecycle

__all__ = ["count_places", "fail_gang", "is_gang", "repeat_member", "requeue_if_stopped"]


def is_gang(job: Job) -> bool:
    """Return whether the job is a gang."""
    return job.service.kind is WorkloadKind.GANG


def count_places(table: VmTable, need: Amounts, held_rows: tuple[int, ...]) -> int:
    """Return how many tasks with the given need fit at the same time.

    Parameters
    ----------
    table : VmTable
        The VMs.
    need : ndarray
        Resources that each task needs.
    held_rows : tuple of int
        Rows that are reserved for this gang.
    """
    is_usable = table.is_schedulable & ~table.is_reserved
    is_usable[list(held_rows)] = table.is_schedulable[list(held_rows)]
    places = np.full(len(is_usable), np.iinfo(np.int64).max)
    for dimension, amount in enumerate(need.tolist()):
        if amount:
            places = np.minimum(places, np.maximum(table.free[dimension], 0) // amount)
    return int(np.where(is_usable, np.minimum(places, 1 << 31), 0).sum())


def repeat_member(lifecycle: "TaskLifecycle", task: Task, delay_s: float, now_s: float) -> None:
    """Restart a task of a gang.

    All other tasks of the gang are stopped and restart with it, unless the service is not
    idempotent; then only this task is queued again.

    Parameters
    ----------
    lifecycle : TaskLifecycle
        Applies state transitions of tasks.
    task : Task
        Task whose reservation is released.
    delay_s : float
        Time in seconds before the gang may start again.
    now_s : float
        Current time in seconds.
    """
    job = task.job
    task.phase = Phase.HELD
    job.not_before_s = max(job.not_before_s, now_s + delay_s)
    if not job.service.is_idempotent:
        _queue_all(lifecycle, [task], now_s, job.not_before_s)
        return
    job.is_rolling_back = True
    lifecycle.dequeue_waiting_tasks(job)
    for member in job.tasks:
        if member.worker is not None and member.stop_reason is None:
            lifecycle.stop(member, StopReason.GANG_ROLLED_BACK, TaskCommandKind.STOP, now_s)
    requeue_if_stopped(lifecycle, job, now_s)


def requeue_if_stopped(lifecycle: "TaskLifecycle", job: Job, now_s: float) -> None:
    """Queue a rolled back gang once all its tasks have released their reservations."""
    if not job.is_rolling_back or job.is_cancelled or job.is_gang_failed:
        return
    members = [task for task in job.tasks if task.phase is not Phase.DONE]
    if all(task.phase is Phase.HELD and not task.is_recovering for task in members):
        job.is_rolling_back = False
        _queue_all(lifecycle, members, now_s, job.not_before_s)


def fail_gang(lifecycle: "TaskLifecycle", job: Job, reason: str, now_s: float) -> None:
    """Finish or stop all other tasks of a gang after one of its tasks has failed for good."""
    if job.is_gang_failed:
        return
    job.is_gang_failed = True
    lifecycle.dequeue_waiting_tasks(job)
    for task in job.tasks:
        if task.phase is Phase.DONE:
            continue
        if task.worker is None:
            lifecycle.finish(task, TaskState.FAILED, now_s, reason=reason)
        else:
            lifecycle.stop(task, StopReason.GANG_FAILED, TaskCommandKind.STOP, now_s)


def _queue_all(
    lifecycle: "TaskLifecycle", tasks: list[Task], now_s: float, not_before_s: float
) -> None:
    for task in tasks:
        lifecycle.queue_after(task, max(0.0, not_before_s - now_s), now_s)
