"""Tasks that use more than they reserved."""

from dataclasses import dataclass

from redwingplank.core import Resources
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
    """Raises reservations where there is room; elsewhere throttles, checkpoints and stops.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    lifecycle : TaskLifecycle
        Changes tasks.

    Notes
    -----
    The highest priority gets free room first, and the lowest is acted on first, one task of a
    worker at a time. Each answer is given time to show in the usage, which lags.
    """

    def __init__(self, state: ShardState, lifecycle: TaskLifecycle) -> None:
        self._state = state
        self._lifecycle = lifecycle

    def take(self, worker: Worker, usages: list[TaskUsage], now_s: float) -> None:
        """Answer the usage of tasks that use more than they reserved."""
        found = [_Overshoot(worker.tasks_by_id[usage.task_id], usage) for usage in usages]
        found.sort(key=lambda overshoot: _rank(overshoot.task))
        left = [overshoot for overshoot in found if not self._raise(worker, overshoot)]
        for overshoot in reversed(left):
            if self._is_settling(overshoot, now_s):
                return
        if left:
            self._act(worker, left[-1].task, now_s)

    def _raise(self, worker: Worker, overshoot: _Overshoot) -> bool:
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
        self._lifecycle.grow(task, extra)
        self._state.log_decision("reservation_raised", task=task.task_id, worker=worker.name)
        return True

    def _is_settling(self, overshoot: _Overshoot, now_s: float) -> bool:
        task = overshoot.task
        if task.stop_reason is not None:
            return now_s < task.stop_sent_at_s + self._state.settings.overshoot_step_s
        if not task.overshoot_step:
            return False
        seen_at_s = now_s - overshoot.usage.lag_s
        return seen_at_s < task.overshoot_at_s + self._state.settings.overshoot_step_s

    def _act(self, worker: Worker, task: Task, now_s: float) -> None:
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


def exceeds(used: Resources, reserved: Resources) -> bool:
    """Return whether a task uses more processors or memory than it reserved."""
    return used.millicores > reserved.millicores or used.memory_mib > reserved.memory_mib


def _rank(task: Task) -> tuple[int, int, str]:
    service = task.job.service
    return (int(service.deadline_class), -service.priority, task.task_id)
