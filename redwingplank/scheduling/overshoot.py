"""Handling of tasks that use more resources than they reserved."""

from dataclasses import dataclass

from redwingplank.platform import TaskCommand, TaskCommandKind, TaskUsage
from redwingplank.scheduling.entities import Phase, StopReason, Task, Worker
from redwingplank.scheduling.lifecycle import TaskLifecycle
from redwingplank.scheduling.state import ShardState

__all__ = ["OvershootControl"]

_STEPS = (TaskCommandKind.THROTTLE, TaskCommandKind.CHECKPOINT, TaskCommandKind.STOP)


@dataclass(frozen=True, slots=True)
class _Overshoot:
    task: Task
    usage: TaskUsage


class OvershootControl:
    """Raises reservations if the VM and the grant allow it; otherwise throttles or stops tasks.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    lifecycle : TaskLifecycle
        Applies state transitions of tasks.

    Notes
    -----
    Tasks of the highest priority get free capacity first, and tasks of the lowest priority are
    throttled or stopped first, one task of a worker at a time. After each step the next one waits
    until the step can show in the usage, which is reported with a delay.
    """

    def __init__(self, state: ShardState, lifecycle: TaskLifecycle) -> None:
        self._state = state
        self._lifecycle = lifecycle

    def handle_usage(self, worker: Worker, usages: list[TaskUsage], now_s: float) -> None:
        """Handle the usage of tasks that use more than they reserved."""
        overshoots = [_Overshoot(worker.tasks_by_id[usage.task_id], usage) for usage in usages]
        overshoots.sort(key=lambda overshoot: _sort_key(overshoot.task))
        unresolved = [
            overshoot for overshoot in overshoots if not self._raise_reservation(worker, overshoot)
        ]
        for overshoot in reversed(unresolved):
            if self._is_step_pending(overshoot, now_s):
                return
        if unresolved:
            self._apply_next_step(worker, unresolved[-1].task, now_s)

    def _raise_reservation(self, worker: Worker, overshoot: _Overshoot) -> bool:
        task, used = overshoot.task, overshoot.usage.used
        assert task.amounts is not None
        extra = task.amounts * 0
        extra[0] = max(0, used.millicores - task.reserved.millicores)
        extra[1] = max(0, used.memory_mib - task.reserved.memory_mib)
        usage = self._state.shares.find(task.job.spec.organisation)
        if not self._state.table.fits(worker.row, extra):
            return False
        if not self._state.shares.may_start(usage, extra):
            return False
        self._lifecycle.grow_reservation(task, extra)
        self._state.log_decision("reservation_raised", task=task.task_id, worker=worker.name)
        return True

    def _is_step_pending(self, overshoot: _Overshoot, now_s: float) -> bool:
        """Return whether the last step taken against a task may not show in its usage yet."""
        task = overshoot.task
        if task.stop_reason is not None:
            return now_s < task.stop_sent_at_s + self._state.settings.overshoot_step_s
        if not task.overshoot_step:
            return False
        measured_at_s = now_s - overshoot.usage.lag_s
        return measured_at_s < task.overshoot_at_s + self._state.settings.overshoot_step_s

    def _apply_next_step(self, worker: Worker, task: Task, now_s: float) -> None:
        step = _STEPS[min(task.overshoot_step, len(_STEPS) - 1)]
        if step is TaskCommandKind.CHECKPOINT and not task.job.service.is_checkpointable:
            step = TaskCommandKind.STOP
        task.overshoot_step += 1
        task.overshoot_at_s = now_s
        self._state.log_decision("overshoot", task=task.task_id, worker=worker.name, answer=step)
        if step is TaskCommandKind.THROTTLE:
            worker.actions.append(TaskCommand(task.task_id, task.attempt, step, task.reserved))
            self._state.touch(worker)
        elif task.phase is Phase.RUNNING:
            self._lifecycle.stop(task, StopReason.OVERSHOOT, step, now_s)


def _sort_key(task: Task) -> tuple[int, int, str]:
    service = task.job.service
    return (int(service.deadline_class), -service.priority, task.task_id)
