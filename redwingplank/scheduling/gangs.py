"""Gangs: all tasks of the job run at once or none does."""

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
    """Return whether the job's tasks run all at once or not at all."""
    return job.service.kind is WorkloadKind.GANG


def count_places(table: VmTable, need: Amounts, held_rows: tuple[int, ...]) -> int:
    """Return how many tasks of that need fit at once.

    Parameters
    ----------
    table : VmTable
        The VMs.
    need : ndarray
        Of each task.
    held_rows : tuple of int
        Rows that are kept for this gang.
    """
    usable = table.is_schedulable & ~table.is_held
    usable[list(held_rows)] = table.is_schedulable[list(held_rows)]
    places = np.full(len(usable), np.iinfo(np.int64).max)
    for dimension, amount in enumerate(need.tolist()):
        if amount:
            places = np.minimum(places, np.maximum(table.free[dimension], 0) // amount)
    return int(np.where(usable, np.minimum(places, 1 << 31), 0).sum())


def repeat_member(lifecycle: "TaskLifecycle", task: Task, delay_s: float, now_s: float) -> None:
    """Roll a gang back because one of its tasks has to start again.

    Parameters
    ----------
    lifecycle : TaskLifecycle
        Changes tasks.
    task : Task
        A task that holds no reservation any more.
    delay_s : float
        Time until the gang may start again.
    now_s : float
        The present time.
    """
    job = task.job
    task.phase = Phase.HELD
    job.not_before_s = max(job.not_before_s, now_s + delay_s)
    if not job.service.is_idempotent:
        _queue_all(lifecycle, [task], now_s, job.not_before_s)
        return
    job.is_rolling_back = True
    lifecycle.take_back_waiting(job)
    for member in job.tasks:
        if member.worker is not None and member.stop_reason is None:
            lifecycle.stop(member, StopReason.GANG_ROLLED_BACK, TaskCommandKind.STOP, now_s)
    requeue_if_stopped(lifecycle, job, now_s)


def requeue_if_stopped(lifecycle: "TaskLifecycle", job: Job, now_s: float) -> None:
    """Let a gang that was rolled back wait again once none of its tasks holds a place."""
    if not job.is_rolling_back or job.is_cancelled or job.is_gang_failed:
        return
    members = [task for task in job.tasks if task.phase is not Phase.DONE]
    if all(task.phase is Phase.HELD and not task.is_recovering for task in members):
        job.is_rolling_back = False
        _queue_all(lifecycle, members, now_s, job.not_before_s)


def fail_gang(lifecycle: "TaskLifecycle", job: Job, reason: str, now_s: float) -> None:
    """End every other task of a gang of which one task has failed for good."""
    if job.is_gang_failed:
        return
    job.is_gang_failed = True
    lifecycle.take_back_waiting(job)
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
