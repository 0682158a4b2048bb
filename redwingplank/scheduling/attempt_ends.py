"""What follows from the end of an attempt."""

from collections.abc import Iterable
from functools import partial

from redwingplank.config import WorkloadKind
from redwingplank.platform import TaskEnd, TaskEndReason, TaskUsage
from redwingplank.scheduling.entities import Phase, StopReason, Task, Worker
from redwingplank.scheduling.lifecycle import TaskLifecycle
from redwingplank.scheduling.messages import TaskState
from redwingplank.scheduling.state import ShardState

__all__ = ["AttemptEnds"]

_RETIRING = frozenset({StopReason.CANCELLED, StopReason.COUNT_LOWERED, StopReason.MOVED})


class AttemptEnds:
    """Finishes, repeats or gives up tasks whose attempt ended.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    lifecycle : TaskLifecycle
        Changes tasks.
    """

    def __init__(self, state: ShardState, lifecycle: TaskLifecycle) -> None:
        self._state = state
        self._lifecycle = lifecycle

    def take_all(self, worker: Worker, ended: Iterable[TaskEnd], now_s: float) -> None:
        """Handle the ends that were not handled before, and acknowledge them when durable."""
        before = worker.processed_end
        for end in ended:
            if end.sequence > worker.processed_end:
                worker.processed_end = end.sequence
                self._take(worker, end, now_s)
        if worker.processed_end > before:
            sequence, incarnation = worker.processed_end, worker.incarnation
            acknowledge = partial(_acknowledge, worker, incarnation, sequence)
            self._state.journal.when_durable(acknowledge, now_s)

    def take_usage(self, worker: Worker, usage: Iterable[TaskUsage], now_s: float) -> None:
        """Note what running attempts used."""

    def _take(self, worker: Worker, end: TaskEnd, now_s: float) -> None:
        task = self._state.find_task(end.task_id)
        stray = worker.strays_by_id.pop(end.task_id, None)
        if stray is not None:
            self._state.table.release(worker.row, stray)
            self._state.freed_rows[worker.row] = None
        if task is None or task.worker is not worker or task.attempt != end.attempt:
            return
        self._state.decide(
            "attempt_ended",
            task=end.task_id,
            attempt=end.attempt,
            vm=worker.name,
            reason=end.reason,
            detail=end.detail,
        )
        stop_reason = task.stop_reason
        self._lifecycle.release(task)
        if end.reason is TaskEndReason.COMPLETED:
            self._lifecycle.finish(task, TaskState.SUCCEEDED, now_s, result=end.result)
        elif end.reason is TaskEndReason.REFUSED:
            self._take_refusal(task, worker, stop_reason, now_s)
        elif task.job.is_cancelled or stop_reason in _RETIRING:
            self._lifecycle.finish(task, TaskState.CANCELLED, now_s, reason=str(stop_reason))
        elif end.reason is TaskEndReason.FAILED:
            self._take_failure(task, worker, end.detail, now_s)
        elif end.reason is TaskEndReason.LEASE_LAPSED:
            self._repeat_lost(task, "the lease lapsed", now_s)
        else:
            self._take_stop(task, worker, stop_reason, end, now_s)

    def _take_refusal(
        self, task: Task, worker: Worker, stop_reason: StopReason | None, now_s: float
    ) -> None:
        task.stop_reason = None
        if task.job.is_cancelled or stop_reason in _RETIRING:
            self._lifecycle.finish(task, TaskState.CANCELLED, now_s, reason=str(stop_reason))
            return
        self._lifecycle.queue_after(task, self._state.settings.retry_backoff_s, now_s)

    def _take_failure(self, task: Task, worker: Worker, detail: str, now_s: float) -> None:
        task.failure_workers = (*task.failure_workers, worker.name)
        service = task.job.service
        attempts = len(task.failure_workers)
        if not service.is_idempotent:
            self._lifecycle.finish(task, TaskState.FAILED, now_s, reason=detail)
        elif attempts >= service.max_attempts and service.kind is not WorkloadKind.SERVICE:
            reason = f"failed {attempts} times, last on {worker.name}: {detail}"
            self._lifecycle.finish(task, TaskState.FAILED, now_s, reason=reason)
        else:
            task.reason = f"attempt {task.attempt} failed on {worker.name}: {detail}"
            self._lifecycle.queue_after(task, self._backoff_s(attempts), now_s)

    def _backoff_s(self, attempts: int) -> float:
        settings = self._state.settings
        return min(settings.max_backoff_s, settings.retry_backoff_s * 2.0 ** min(attempts - 1, 16))

    def _take_stop(
        self,
        task: Task,
        worker: Worker,
        stop_reason: StopReason | None,
        end: TaskEnd,
        now_s: float,
    ) -> None:
        if end.reason is TaskEndReason.CHECKPOINTED:
            task.checkpoint = end.detail
        if not task.job.service.is_idempotent:
            reason = f"stopped before its end: {stop_reason or 'by the worker'}"
            self._lifecycle.finish(task, TaskState.FAILED, now_s, reason=reason)
        elif stop_reason is StopReason.OVERSHOOT:
            self._take_failure(task, worker, "used more than the VM could give", now_s)
        elif stop_reason is None:
            self._repeat_lost(task, "stopped by the worker", now_s)
        else:
            task.preemptions += stop_reason is StopReason.PREEMPTED
            task.reason = str(stop_reason)
            self._lifecycle.queue(task, now_s)

    def lose(self, task: Task, now_s: float, reason: str) -> None:
        """Take an attempt as stopped, on proof, without knowing how it ended."""
        was_sent = task.phase not in (Phase.INTENDED, Phase.TO_SEND)
        if not was_sent:
            self._lifecycle.end_unstarted(task, now_s)
            return
        stop_reason = task.stop_reason
        self._lifecycle.release(task)
        if not task.job.service.is_idempotent:
            self._repeat_lost(task, reason, now_s)
        elif task.job.is_cancelled or stop_reason in _RETIRING:
            self._lifecycle.finish(task, TaskState.CANCELLED, now_s, reason=str(stop_reason))
        else:
            self._repeat_lost(task, reason, now_s)

    def _repeat_lost(self, task: Task, reason: str, now_s: float) -> None:
        task.losses += 1
        task.reason = reason
        if not task.job.service.is_idempotent:
            detail = f"may have run: {reason}"
            self._lifecycle.finish(task, TaskState.UNKNOWN, now_s, reason=detail)
        elif task.losses > self._state.settings.max_losses:
            detail = f"lost {task.losses} times: {reason}"
            self._lifecycle.finish(task, TaskState.FAILED, now_s, reason=detail)
        else:
            self._lifecycle.queue(task, now_s)


def _acknowledge(worker: Worker, incarnation: int, sequence: int, now_s: float) -> None:
    if worker.incarnation == incarnation:
        worker.acknowledged_end = max(worker.acknowledged_end, sequence)
