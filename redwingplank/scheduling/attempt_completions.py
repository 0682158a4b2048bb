"""Handling of completed and lost attempts."""

from collections.abc import Iterable, Sequence
from functools import partial

from redwingplank.config import WorkloadKind
from redwingplank.core import format_value
from redwingplank.platform import TaskCompletion, TaskCompletionReason, TaskUsage
from redwingplank.scheduling.entities import Phase, StopReason, Task, Worker
from redwingplank.scheduling.gangs import requeue_if_stopped
from redwingplank.scheduling.health import WorkerHealth
from redwingplank.scheduling.learning import Learning
from redwingplank.scheduling.lifecycle import TaskLifecycle
from redwingplank.scheduling.messages import TaskState
from redwingplank.scheduling.overshoot import OvershootControl
from redwingplank.scheduling.state import ShardState

__all__ = ["AttemptCompletions"]

_FINAL_STOP_REASONS = frozenset({StopReason.CANCELLED, StopReason.COUNT_LOWERED, StopReason.MOVED})
_PROBATION_S = 2.0
"""An attempt that is younger than this when its worker restarts may have been the cause."""
_MAX_DELAYED_SUSPECTS = 8
"""Suspects beyond this number start again together with others."""
_STEADY_RUN_TIME_S = 60.0
"""Run time from which a completed service task restarts with the shortest backoff again."""


class AttemptCompletions:
    """Finishes or repeats tasks whose attempt completed or was lost.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    lifecycle : TaskLifecycle
        Applies state transitions of tasks.
    learning : Learning
        Records resource usage and run times.
    """

    def __init__(self, state: ShardState, lifecycle: TaskLifecycle, learning: Learning) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._learning = learning
        self._health = WorkerHealth(state)
        self._overshoot = OvershootControl(state, lifecycle)

    def handle_completions(
        self, worker: Worker, completions: Iterable[TaskCompletion], now_s: float
    ) -> None:
        """Handle new completions of a worker, and acknowledge them once they are durable.

        Completions up to the sequence number that was processed last are skipped.
        """
        processed_before = worker.processed_end
        for completion in completions:
            if completion.sequence > worker.processed_end:
                worker.processed_end = completion.sequence
                self._handle_completion(worker, completion, now_s)
        if worker.processed_end > processed_before:
            sequence, incarnation = worker.processed_end, worker.incarnation
            acknowledge = partial(_acknowledge, worker, incarnation, sequence)
            self._state.journal.when_durable(acknowledge, now_s)

    def handle_usage(self, worker: Worker, usage: Iterable[TaskUsage], now_s: float) -> None:
        """Record the usage of running attempts, and act on those that exceed their reservation."""
        tasks_by_id = worker.tasks_by_id
        overshooting = []
        for entry in usage:
            task = tasks_by_id.get(entry.task_id)
            if task is None or task.attempt != entry.attempt:
                continue
            used, reserved = entry.used, task.reserved
            self._learning.record_usage(task, used.millicores, used.memory_mib)
            if used.millicores > reserved.millicores or used.memory_mib > reserved.memory_mib:
                overshooting.append(entry)
        if overshooting:
            self._overshoot.handle_usage(worker, overshooting, now_s)

    def _handle_completion(self, worker: Worker, completion: TaskCompletion, now_s: float) -> None:
        if worker.unexpected_attempts_by_id:
            self._release_unexpected_attempt(worker, completion.task_id)
        task = worker.tasks_by_id.get(completion.task_id)
        if task is None or task.attempt != completion.attempt:
            return
        detail = f" detail={format_value(completion.detail)}" if completion.detail else ""
        line = (
            f"event=attempt_ended task={task.log_id} attempt={completion.attempt} "
            f"vm={worker.log_name} reason={completion.reason}{detail}"
        )
        self._state.decisions.append(line)
        task.job.history.append(line)
        stop_reason = task.stop_reason
        self._state.completions_in_tick += 1
        self._lifecycle.release(task)
        if completion.reason is not TaskCompletionReason.REFUSED:
            is_completed = completion.reason is TaskCompletionReason.COMPLETED
            self._learning.record_completion(task, worker, completion, is_completed)
        self._apply_outcome(task, worker, completion, stop_reason, now_s)

    def _release_unexpected_attempt(self, worker: Worker, task_id: str) -> None:
        amounts = worker.unexpected_attempts_by_id.pop(task_id, None)
        if amounts is not None:
            self._state.table.release(worker.row, amounts)
            self._state.freed_rows[worker.row] = None

    def _apply_outcome(
        self,
        task: Task,
        worker: Worker,
        completion: TaskCompletion,
        stop_reason: StopReason | None,
        now_s: float,
    ) -> None:
        if completion.reason is TaskCompletionReason.COMPLETED:
            self._apply_success(task, worker, completion, now_s)
        elif completion.reason is TaskCompletionReason.REFUSED:
            self._apply_refusal(task, stop_reason, now_s)
        elif self._finish_if_not_repeatable(task, stop_reason, now_s):
            return
        elif completion.reason is TaskCompletionReason.FAILED:
            task.failure_workers = (*task.failure_workers, worker.name)
            self._health.record_failure(worker, task, now_s)
            self._apply_failure(task, worker, completion.detail, now_s)
        elif completion.reason is TaskCompletionReason.LEASE_LAPSED:
            self._repeat_lost(task, "the lease lapsed", now_s)
        else:
            self._apply_stop(task, worker, stop_reason, completion, now_s)

    def _finish_if_not_repeatable(
        self, task: Task, stop_reason: StopReason | None, now_s: float
    ) -> bool:
        """Finish a task that must not start again, and return whether it was finished."""
        if (
            task.job.is_cancelled
            or stop_reason in _FINAL_STOP_REASONS
            or task.replacement is not None
        ):
            reason = str(stop_reason or StopReason.MOVED)
            self._lifecycle.finish(task, TaskState.CANCELLED, now_s, reason=reason)
            return True
        if stop_reason is StopReason.GANG_FAILED or task.job.is_gang_failed:
            reason = str(StopReason.GANG_FAILED)
            self._lifecycle.finish(task, TaskState.FAILED, now_s, reason=reason)
            return True
        return False

    def _apply_success(
        self, task: Task, worker: Worker, completion: TaskCompletion, now_s: float
    ) -> None:
        self._health.record_success(worker, task.job, now_s)
        is_service = task.job.service.kind is WorkloadKind.SERVICE
        if not is_service:
            self._lifecycle.finish(task, TaskState.SUCCEEDED, now_s, result=completion.result)
        elif not self._finish_if_not_repeatable(task, task.stop_reason, now_s):
            is_steady = completion.run_time_s >= _STEADY_RUN_TIME_S
            task.restarts = 1 if is_steady else task.restarts + 1
            self._lifecycle.queue_after(task, self._backoff_s(task.restarts), now_s)

    def _apply_refusal(self, task: Task, stop_reason: StopReason | None, now_s: float) -> None:
        task.stop_reason = None
        if self._finish_if_not_repeatable(task, stop_reason, now_s):
            return
        task.reason = "refused by a worker"
        self._lifecycle.requeue(task, self._state.settings.retry_backoff_s, now_s)

    def _apply_failure(self, task: Task, worker: Worker, detail: str, now_s: float) -> None:
        service = task.job.service
        attempts = len(task.failure_workers)
        task.stop_reason = None
        if not service.is_idempotent:
            self._lifecycle.finish(task, TaskState.FAILED, now_s, reason=detail)
        elif attempts >= service.max_attempts and service.kind is not WorkloadKind.SERVICE:
            reason = f"failed {attempts} times, last on {worker.name}: {detail}"
            self._lifecycle.finish(task, TaskState.FAILED, now_s, reason=reason)
        else:
            task.reason = f"attempt {task.attempt} failed on {worker.name}: {detail}"
            self._lifecycle.requeue(task, self._backoff_s(max(1, attempts)), now_s)

    def _backoff_s(self, attempts: int) -> float:
        settings = self._state.settings
        return min(settings.max_backoff_s, settings.retry_backoff_s * 2.0 ** min(attempts - 1, 16))

    def _apply_stop(
        self,
        task: Task,
        worker: Worker,
        stop_reason: StopReason | None,
        completion: TaskCompletion,
        now_s: float,
    ) -> None:
        if completion.reason is TaskCompletionReason.CHECKPOINTED:
            task.checkpoint = completion.detail
        if not task.job.service.is_idempotent:
            reason = f"stopped before its end: {stop_reason or 'by the worker'}"
            self._lifecycle.finish(task, TaskState.FAILED, now_s, reason=reason)
        elif stop_reason is StopReason.OVERSHOOT:
            task.failure_workers = (*task.failure_workers, worker.name)
            self._apply_failure(task, worker, "used more than the VM could give", now_s)
        elif stop_reason is None:
            self._repeat_lost(task, "stopped by the worker", now_s)
        elif stop_reason is StopReason.GANG_ROLLED_BACK:
            task.stop_reason = None
            requeue_if_stopped(self._lifecycle, task.job, now_s)
        else:
            task.preemptions += stop_reason is StopReason.PREEMPTED
            task.reason = str(stop_reason)
            self._lifecycle.requeue(task, 0.0, now_s)

    def handle_lost_attempt(
        self, task: Task, now_s: float, reason: str, delay_s: float = 0.0
    ) -> None:
        """Handle an attempt that has certainly stopped but whose outcome is unknown.

        A repetition is placed after `delay_s`.
        """
        was_sent = task.phase not in (Phase.INTENDED, Phase.TO_SEND)
        if not was_sent:
            self._lifecycle.end_unstarted(task, now_s)
            return
        stop_reason = task.stop_reason
        self._lifecycle.release(task)
        if not task.job.service.is_idempotent or not self._finish_if_not_repeatable(
            task, stop_reason, now_s
        ):
            self._repeat_lost(task, reason, now_s, delay_s)

    def handle_crash(self, tasks: Sequence[Task], now_s: float) -> None:
        """Handle the running attempts of a worker that has restarted.

        Tasks that had just started may be the cause. Those that were suspected before start again
        one after the other, so that the next restart has one suspect. A suspected task of a service
        starts again after a backoff, because it is never given up.
        """
        delayed_count = 0
        for task in tasks:
            delay_s = 0.0
            if now_s - task.placed_at_s < _PROBATION_S:
                task.crashes += 1
                if task.job.service.kind is WorkloadKind.SERVICE:
                    delay_s = self._backoff_s(task.crashes)
                elif task.crashes > 1:
                    delay_s = _PROBATION_S * min(delayed_count, _MAX_DELAYED_SUSPECTS)
                    delayed_count += 1
            self.handle_lost_attempt(task, now_s, "the worker restarted", delay_s)

    def _repeat_lost(self, task: Task, reason: str, now_s: float, delay_s: float = 0.0) -> None:
        is_service = task.job.service.kind is WorkloadKind.SERVICE
        was_rolled_back = task.stop_reason is StopReason.GANG_ROLLED_BACK
        task.losses += not is_service
        task.reason = reason
        task.stop_reason = None
        if not task.job.service.is_idempotent:
            detail = f"may have run: {reason}"
            self._lifecycle.finish(task, TaskState.UNKNOWN, now_s, reason=detail)
        elif task.losses > self._state.settings.max_losses:
            detail = f"lost {task.losses} times: {reason}"
            self._lifecycle.finish(task, TaskState.FAILED, now_s, reason=detail)
        elif task.crashes >= self._state.settings.max_crashes and not is_service:
            detail = f"{task.crashes} workers restarted just after they had started it"
            self._lifecycle.finish(task, TaskState.FAILED, now_s, reason=detail)
        elif was_rolled_back:
            requeue_if_stopped(self._lifecycle, task.job, now_s)
        else:
            self._lifecycle.requeue(task, delay_s, now_s)


def _acknowledge(worker: Worker, incarnation: int, sequence: int, now_s: float) -> None:
    if worker.incarnation == incarnation:
        worker.acknowledged_end = max(worker.acknowledged_end, sequence)
