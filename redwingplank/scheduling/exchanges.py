"""Exchanges with workers: requests, renewals, doubtful starts and proof of stop."""

from functools import partial

from redwingplank.platform import (
    StartTask,
    TaskCommand,
    TaskCommandKind,
    WorkerReport,
    WorkerRequest,
)
from redwingplank.scheduling.attempt_completions import AttemptCompletions
from redwingplank.scheduling.entities import Phase, StopReason, Task, Worker
from redwingplank.scheduling.lifecycle import TaskLifecycle
from redwingplank.scheduling.messages import WorkerReported, WorkerUnreachable
from redwingplank.scheduling.schedulability import update_open
from redwingplank.scheduling.state import ShardState

__all__ = ["Exchanges"]

_GOLDEN_RATIO = 0.6180339887498949
_MAX_RESENDS = 3


class Exchanges:
    """Builds one request for each worker that is due, and reads the answers.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    lifecycle : TaskLifecycle
        Changes tasks.
    ends : AttemptEnds
        Handles ends of attempts.

    Notes
    -----
    A worker has at most one exchange under way. After one whose outcome is unknown the owner
    sends probes that renew nothing and start nothing, so that the lease runs out at a known
    time; the first answer tells by the number of running attempts whether the starts in doubt
    took effect. A probe acknowledges nothing either, because the worker may have restarted and
    count its ends from 1 again. Starts are sent again only under the incarnation that did not
    receive them, where an attempt starts at most once.
    """

    def __init__(
        self, state: ShardState, lifecycle: TaskLifecycle, ends: AttemptCompletions
    ) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._ends = ends

    def build_requests(self, now_s: float) -> dict[str, WorkerRequest]:
        """Return the requests of this tick by worker."""
        requests: dict[str, WorkerRequest] = {}
        touched = self._state.touched
        if not touched:
            return requests
        self._state.touched = {}
        for worker in touched.values():
            if worker.is_adopted and not worker.is_in_flight:
                requests[worker.name] = self._build_one(worker, now_s)
        return requests

    def _build_one(self, worker: Worker, now_s: float) -> WorkerRequest:
        state = self._state
        renews = worker.is_reachable and now_s >= state.starts_from_s
        starts = self._take_starts(worker, now_s) if renews else ()
        actions = tuple(worker.actions)
        worker.actions.clear()
        worker.is_in_flight = True
        worker.was_renewed_in_flight = renews
        worker.sent_at_s = now_s
        worker.actions_in_flight = actions
        self._time_out_later(worker)
        offset_s = state.settings.unix_offset_s
        return WorkerRequest(
            epoch=state.epoch,
            lease_s=state.settings.task_lease_s if renews else 0.0,
            starts=starts,
            actions=actions,
            acknowledged_sequence=worker.acknowledged_end if renews else 0,
            start_before_unix_s=state.valid_until_s + offset_s if starts and offset_s else 0.0,
        )

    def _take_starts(self, worker: Worker, now_s: float) -> tuple[StartTask, ...]:
        if not worker.to_send or worker.is_inventory_wanted:
            return ()
        kept: list[Task] = []
        starts = []
        for task in worker.to_send:
            if task.phase is not Phase.TO_SEND or task.worker is not worker:
                continue
            if not self._state.may_start(now_s, task.job.is_volatile):
                kept.append(task)
                continue
            task.phase = Phase.SENT
            worker.in_flight.append((task, task.attempt))
            payload = task.job.spec.payload
            starts.append(
                StartTask(task.task_id, task.attempt, task.reserved, payload, task.checkpoint)
            )
        worker.to_send = kept
        if kept:
            self._state.held_back[worker.name] = worker
        return tuple(starts)

    def handle_report(self, message: WorkerReported, now_s: float) -> None:
        """Read a worker's answer."""
        report = message.report
        worker = self._state.workers_by_name.get(report.worker)
        if worker is None or not worker.is_adopted or report.epoch != self._state.epoch:
            return
        if report.incarnation < worker.incarnation:
            return
        if report.incarnation > worker.incarnation:
            self.take_restart(worker, report.incarnation, now_s)
        is_answer = worker.is_in_flight
        self._ends.handle_completions(worker, report.ended, now_s)
        if is_answer:
            self._take_answer(worker, report, now_s)
        if report.usage:
            self._ends.take_usage(worker, report.usage, now_s)
        if report.is_leaving != worker.reports_leaving:
            worker.reports_leaving = report.is_leaving
            self._state.closing_changed.append(worker)

    def _take_answer(self, worker: Worker, report: WorkerReport, now_s: float) -> None:
        worker.is_in_flight = False
        if worker.was_renewed_in_flight:
            worker.renewed_at_s = now_s
        was_reachable = worker.is_reachable
        worker.is_reachable = True
        self._settle(worker, report.running_count, now_s)
        if worker.is_reachable != was_reachable:
            update_open(self._state, worker)
            self._state.log_decision("worker_answers", worker=worker.name)
        if worker.to_send or worker.actions or not was_reachable:
            self._state.touch(worker)
        else:
            self._renew_later(worker, now_s + self._renew_after_s(worker))

    def _settle(self, worker: Worker, running_count: int, now_s: float) -> None:
        candidates = [
            (task, attempt)
            for task, attempt in worker.unconfirmed_starts + worker.in_flight
            if task.worker is worker
            and task.attempt == attempt
            and task.phase in (Phase.SENT, Phase.UNCONFIRMED)
        ]
        worker.unconfirmed_starts, worker.in_flight = [], []
        expected = worker.confirmed_count + len(worker.unexpected_attempts_by_id)
        if running_count == expected + len(candidates):
            for task, _ in candidates:
                self.confirm(task, now_s)
        elif running_count == expected:
            for task, _ in candidates:
                self.send_again(task, now_s)
        else:
            for task, _ in candidates:
                task.phase = Phase.UNCONFIRMED
            worker.unconfirmed_starts = candidates
            self._resolve_mismatch(worker, now_s)

    def _resolve_mismatch(self, worker: Worker, now_s: float) -> None:
        if self._state.settings.workers_have_inventory:
            self.want_inventory(worker, now_s)
        elif worker.unconfirmed_starts:
            worker.is_reachable = False
            self._lose_later(worker)

    def confirm(self, task: Task, now_s: float) -> None:
        """Note that an attempt runs."""
        assert task.worker is not None
        task.phase = Phase.RUNNING
        task.worker.confirmed_count += 1
        task.job.version += 1
        if task.replaces is not None:
            self._stop_replaced(task.replaces, now_s)

    def _stop_replaced(self, task: Task, now_s: float) -> None:
        if task.worker is not None and task.stop_reason is None:
            self._lifecycle.stop(task, StopReason.MOVED, TaskCommandKind.STOP, now_s)

    def send_again(self, task: Task, now_s: float) -> None:
        """Start an attempt again that does not run on its worker, if it never did."""
        task.resends += 1
        if task.is_restart_possible and not task.job.service.is_idempotent:
            self._ends.handle_lost_attempt(task, now_s, "the worker restarted")
        elif task.resends > _MAX_RESENDS:
            self._ends.handle_lost_attempt(
                task, now_s, "the worker neither runs it nor reports its end"
            )
        elif task.stop_reason is not None:
            self._lifecycle.end_unstarted(task, now_s)
        else:
            self._lifecycle.send_start(task)

    def want_inventory(self, worker: Worker, now_s: float) -> None:
        """Ask for a worker's inventory, because its number of running attempts is not ours."""
        if worker.is_inventory_wanted:
            return
        worker.is_inventory_wanted = True
        self._state.log_decision("inventory_wanted", worker=worker.name)
        self._repeat_inventory(worker, now_s)

    def _repeat_inventory(self, worker: Worker, now_s: float) -> None:
        if worker.is_inventory_wanted and worker.is_adopted:
            self._state.inventories_wanted.append(worker.name)
            due_s = now_s + self._state.settings.probe_every_s * 5
            self._state.due.call_at(due_s, partial(self._repeat_inventory, worker))

    def handle_unreachable(self, message: WorkerUnreachable, now_s: float) -> None:
        """Note that an exchange failed."""
        worker = self._state.workers_by_name.get(message.worker)
        if worker is None or not worker.is_in_flight:
            return
        worker.is_in_flight = False
        worker.actions = [*worker.actions_in_flight, *worker.actions]
        sent, worker.in_flight = worker.in_flight, []
        valid = [pair for pair in sent if pair[0].attempt == pair[1] and pair[0].worker is worker]
        was_reachable = worker.is_reachable
        worker.is_reachable = False
        if message.is_effect_possible:
            self._doubt(worker, valid, now_s)
        else:
            for task, _ in valid:
                self._lifecycle.end_unstarted(task, now_s)
        if was_reachable:
            update_open(self._state, worker)
            self._lose_later(worker)
            self._state.log_decision(
                "worker_silent", worker=worker.name, lapse_s=self.lease_expiry_s(worker)
            )
        self._renew_later(worker, now_s + self._state.settings.probe_every_s)

    def _doubt(self, worker: Worker, sent: list[tuple[Task, int]], now_s: float) -> None:
        if worker.was_renewed_in_flight:
            worker.renewed_at_s = now_s
        for task, _ in sent:
            task.phase = Phase.UNCONFIRMED
        worker.unconfirmed_starts.extend(sent)

    def _time_out_later(self, worker: Worker) -> None:
        if worker.is_timeout_set:
            return
        worker.is_timeout_set = True
        due_s = worker.sent_at_s + self._state.settings.exchange_timeout_s
        self._state.due.call_at(due_s, partial(self._time_out, worker))

    def _time_out(self, worker: Worker, now_s: float) -> None:
        worker.is_timeout_set = False
        if not worker.is_in_flight:
            return
        if now_s >= worker.sent_at_s + self._state.settings.exchange_timeout_s:
            self.handle_unreachable(WorkerUnreachable(worker.name, True), now_s)
        else:
            self._time_out_later(worker)

    def lease_expiry_s(self, worker: Worker) -> float:
        """Return when every lease that the worker may hold has certainly lapsed."""
        settings = self._state.settings
        return worker.renewed_at_s + settings.task_lease_s + settings.clock_margin_s

    def _lose_later(self, worker: Worker) -> None:
        self._state.due.call_at(self.lease_expiry_s(worker), partial(self._lose_if_lapsed, worker))

    def _lose_if_lapsed(self, worker: Worker, now_s: float) -> None:
        if worker.is_reachable or not worker.is_adopted:
            return
        if now_s < self.lease_expiry_s(worker):
            self._lose_later(worker)
            return
        self.lose_tasks(worker, now_s, "the lease lapsed on a silent worker")

    def lose_tasks(self, worker: Worker, now_s: float, reason: str) -> None:
        """Take every attempt of a worker as stopped, on proof."""
        if worker.tasks_by_id:
            lost = len(worker.tasks_by_id)
            self._state.log_decision("tasks_lost", worker=worker.name, tasks=lost, reason=reason)
        for task in list(worker.tasks_by_id.values()):
            if task.worker is worker:
                self._ends.handle_lost_attempt(task, now_s, reason)
        self._drop_strays(worker)
        worker.unconfirmed_starts = []

    def _drop_strays(self, worker: Worker) -> None:
        for amounts in worker.unexpected_attempts_by_id.values():
            self._state.table.release(worker.row, amounts)
        if worker.unexpected_attempts_by_id:
            self._state.freed_rows[worker.row] = None
        worker.unexpected_attempts_by_id = {}

    def take_restart(self, worker: Worker, incarnation: int, now_s: float) -> None:
        """Lose what ran under the old incarnation.

        Starts in doubt may have reached either incarnation, so they stay in doubt.
        """
        for task in list(worker.tasks_by_id.values()):
            if task.phase in (Phase.SENT, Phase.UNCONFIRMED):
                task.is_restart_possible = True
            elif task.phase is Phase.RUNNING and task.worker is worker:
                self._ends.handle_lost_attempt(task, now_s, "the worker restarted")
        self._drop_strays(worker)
        worker.incarnation = incarnation
        worker.processed_end = worker.acknowledged_end = 0
        self._state.log_decision("worker_restarted", worker=worker.name, incarnation=incarnation)

    def _renew_after_s(self, worker: Worker) -> float:
        """Return the time to the next renewal; the first ones are spread over the interval."""
        renew_every_s = self._state.settings.renew_every_s
        if worker.is_renewal_spread:
            return renew_every_s
        worker.is_renewal_spread = True
        return renew_every_s * (worker.row * _GOLDEN_RATIO % 1.0)

    def _renew_later(self, worker: Worker, due_s: float) -> None:
        worker.due_at_s = due_s
        if due_s < worker.timer_due_s:
            worker.timer_due_s = due_s
            self._state.due.call_at(due_s, partial(self._renew, worker))

    def _renew(self, worker: Worker, now_s: float) -> None:
        if not worker.is_adopted or now_s < worker.timer_due_s:
            return
        worker.timer_due_s = float("inf")
        if worker.is_in_flight:
            return
        if now_s < worker.due_at_s:
            self._renew_later(worker, worker.due_at_s)
        else:
            self._state.touch(worker)

    def stop_stray(self, worker: Worker, task_id: str, attempt: int) -> None:
        """Stop an attempt that the owner does not know."""
        worker.actions.append(TaskCommand(task_id, attempt, TaskCommandKind.STOP))
        self._state.touch(worker)
