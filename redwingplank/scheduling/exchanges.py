"""Exchanges with workers: requests, lease renewals, unconfirmed starts and stop confirmations."""

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
from redwingplank.scheduling.schedulability import update_schedulability
from redwingplank.scheduling.state import ShardState

__all__ = ["Exchanges"]

_GOLDEN_RATIO = 0.6180339887498949
"""Multiples of this number modulo 1 are spread evenly, which staggers the first renewals."""
_MAX_RESENDS = 3
"""How often the start of an attempt is sent again before the attempt counts as lost."""


class Exchanges:
    """Builds one request for each worker that is due, and handles the reports.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    lifecycle : TaskLifecycle
        Applies state transitions of tasks.
    completions : AttemptCompletions
        Handles completions of attempts.

    Notes
    -----
    A worker has at most one exchange in flight. After an exchange whose outcome is unknown, the
    owner sends probes that neither renew the lease nor start anything, so that the lease expires
    at a known time. The number of running attempts in the first report shows whether the
    unconfirmed starts took effect. A probe acknowledges no completions either, because the worker
    may have restarted and may number its completions from 1 again. Starts are sent again only to
    the incarnation that did not receive them, where an attempt starts at most once.
    """

    def __init__(
        self, state: ShardState, lifecycle: TaskLifecycle, completions: AttemptCompletions
    ) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._completions = completions

    def build_requests(self, now_s: float) -> dict[str, WorkerRequest]:
        """Return the requests of this tick by worker name."""
        requests: dict[str, WorkerRequest] = {}
        touched = self._state.touched
        if not touched:
            return requests
        self._state.touched = {}
        for worker in touched.values():
            if worker.is_adopted and not worker.is_in_flight:
                requests[worker.name] = self._build_request(worker, now_s)
        return requests

    def _build_request(self, worker: Worker, now_s: float) -> WorkerRequest:
        state = self._state
        renews = worker.is_reachable and now_s >= state.starts_from_s
        starts = self._collect_starts(worker, now_s) if renews else ()
        actions = tuple(worker.actions)
        worker.actions.clear()
        worker.is_in_flight = True
        worker.was_renewed_in_flight = renews
        worker.sent_at_s = now_s
        worker.actions_in_flight = actions
        self._schedule_timeout(worker)
        offset_s = state.settings.unix_offset_s
        return WorkerRequest(
            epoch=state.epoch,
            lease_s=state.settings.task_lease_s if renews else 0.0,
            starts=starts,
            actions=actions,
            acknowledged_sequence=worker.acknowledged_end if renews else 0,
            start_before_unix_s=state.valid_until_s + offset_s if starts and offset_s else 0.0,
        )

    def _collect_starts(self, worker: Worker, now_s: float) -> tuple[StartTask, ...]:
        """Return the starts that may be sent now; those that ownership does not allow wait."""
        if not worker.to_send or worker.is_inventory_wanted:
            return ()
        deferred: list[Task] = []
        starts = []
        for task in worker.to_send:
            if task.phase is not Phase.TO_SEND or task.worker is not worker:
                continue
            if not self._state.may_start(now_s, task.job.is_volatile):
                deferred.append(task)
                continue
            task.phase = Phase.SENT
            worker.in_flight.append((task, task.attempt))
            payload = task.job.spec.payload
            starts.append(
                StartTask(task.task_id, task.attempt, task.reserved, payload, task.checkpoint)
            )
        worker.to_send = deferred
        if deferred:
            self._state.held_back[worker.name] = worker
        return tuple(starts)

    def handle_report(self, message: WorkerReported, now_s: float) -> None:
        """Handle a worker's report; reports of another epoch or an old incarnation are ignored."""
        report = message.report
        worker = self._state.workers_by_name.get(report.worker)
        if worker is None or not worker.is_adopted or report.epoch != self._state.epoch:
            return
        if report.incarnation < worker.incarnation:
            return
        if report.incarnation > worker.incarnation:
            self.handle_restart(worker, report.incarnation, now_s)
        is_expected = worker.is_in_flight
        self._completions.handle_completions(worker, report.ended, now_s)
        if is_expected:
            self._apply_report(worker, report, now_s)
        if report.usage:
            self._completions.handle_usage(worker, report.usage, now_s)
        if report.is_leaving != worker.reports_leaving:
            worker.reports_leaving = report.is_leaving
            self._state.closing_changed.append(worker)

    def _apply_report(self, worker: Worker, report: WorkerReport, now_s: float) -> None:
        worker.is_in_flight = False
        if worker.was_renewed_in_flight:
            worker.renewed_at_s = now_s
        was_reachable = worker.is_reachable
        worker.is_reachable = True
        self._resolve_unconfirmed_starts(worker, report.running_count, now_s)
        if worker.is_reachable != was_reachable:
            update_schedulability(self._state, worker)
            self._state.log_decision("worker_answers", worker=worker.name)
        if worker.to_send or worker.actions or not was_reachable:
            self._state.touch(worker)
        else:
            self._schedule_renewal(worker, now_s + self._renewal_delay_s(worker))

    def _resolve_unconfirmed_starts(self, worker: Worker, running_count: int, now_s: float) -> None:
        """Decide from the number of running attempts whether all or none of the starts took effect.

        Any other number is a mismatch, which leaves the starts unconfirmed.
        """
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
                self.confirm_start(task, now_s)
        elif running_count == expected:
            for task, _ in candidates:
                self.resend_start(task, now_s)
        else:
            for task, _ in candidates:
                task.phase = Phase.UNCONFIRMED
            worker.unconfirmed_starts = candidates
            self._resolve_mismatch(worker, now_s)

    def _resolve_mismatch(self, worker: Worker, now_s: float) -> None:
        if self._state.settings.workers_have_inventory:
            self.request_inventory(worker, now_s)
        elif worker.unconfirmed_starts:
            worker.is_reachable = False
            self._schedule_expiry_check(worker)

    def confirm_start(self, task: Task, now_s: float) -> None:
        """Record that an attempt runs, and stop the task that it replaces, if any."""
        assert task.worker is not None
        task.phase = Phase.RUNNING
        task.worker.confirmed_count += 1
        task.job.version += 1
        if task.replaces is not None:
            self._stop_replaced(task.replaces, now_s)

    def _stop_replaced(self, task: Task, now_s: float) -> None:
        if task.worker is not None and task.stop_reason is None:
            self._lifecycle.stop(task, StopReason.MOVED, TaskCommandKind.STOP, now_s)

    def resend_start(self, task: Task, now_s: float) -> None:
        """Send the start of an attempt again that does not run on its worker.

        The attempt counts as lost instead if its start was sent too often, or if it may have run
        before a restart of the worker and its service is not idempotent. Otherwise,
        an attempt with a stop reason ends as one that never started.
        """
        task.resends += 1
        if task.is_restart_possible and not task.job.service.is_idempotent:
            self._completions.handle_lost_attempt(task, now_s, "the worker restarted")
        elif task.resends > _MAX_RESENDS:
            self._completions.handle_lost_attempt(
                task, now_s, "the worker neither runs it nor reports its end"
            )
        elif task.stop_reason is not None:
            self._lifecycle.end_unstarted(task, now_s)
        else:
            self._lifecycle.send_start(task)

    def request_inventory(self, worker: Worker, now_s: float) -> None:
        """Request a worker's inventory, because its number of running attempts is unexpected."""
        if worker.is_inventory_wanted:
            return
        worker.is_inventory_wanted = True
        self._state.log_decision("inventory_wanted", worker=worker.name)
        self._repeat_inventory_request(worker, now_s)

    def _repeat_inventory_request(self, worker: Worker, now_s: float) -> None:
        if worker.is_inventory_wanted and worker.is_adopted:
            self._state.inventories_wanted.append(worker.name)
            due_s = now_s + self._state.settings.probe_every_s * 5
            self._state.due.call_at(due_s, partial(self._repeat_inventory_request, worker))

    def handle_unreachable(self, message: WorkerUnreachable, now_s: float) -> None:
        """Handle a failed exchange."""
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
            self._mark_unconfirmed(worker, valid, now_s)
        else:
            for task, _ in valid:
                self._lifecycle.end_unstarted(task, now_s)
        if was_reachable:
            update_schedulability(self._state, worker)
            self._schedule_expiry_check(worker)
            self._state.log_decision(
                "worker_silent", worker=worker.name, lapse_s=self.lease_expiry_s(worker)
            )
        self._schedule_renewal(worker, now_s + self._state.settings.probe_every_s)

    def _mark_unconfirmed(self, worker: Worker, sent: list[tuple[Task, int]], now_s: float) -> None:
        if worker.was_renewed_in_flight:
            worker.renewed_at_s = now_s
        for task, _ in sent:
            task.phase = Phase.UNCONFIRMED
        worker.unconfirmed_starts.extend(sent)

    def _schedule_timeout(self, worker: Worker) -> None:
        if worker.is_timeout_set:
            return
        worker.is_timeout_set = True
        due_s = worker.sent_at_s + self._state.settings.exchange_timeout_s
        self._state.due.call_at(due_s, partial(self._check_timeout, worker))

    def _check_timeout(self, worker: Worker, now_s: float) -> None:
        worker.is_timeout_set = False
        if not worker.is_in_flight:
            return
        if now_s >= worker.sent_at_s + self._state.settings.exchange_timeout_s:
            self.handle_unreachable(WorkerUnreachable(worker.name, True), now_s)
        else:
            self._schedule_timeout(worker)

    def lease_expiry_s(self, worker: Worker) -> float:
        """Return the time at which every lease that the worker may have has certainly expired."""
        settings = self._state.settings
        return worker.renewed_at_s + settings.task_lease_s + settings.clock_margin_s

    def _schedule_expiry_check(self, worker: Worker) -> None:
        self._state.due.call_at(self.lease_expiry_s(worker), partial(self._check_expiry, worker))

    def _check_expiry(self, worker: Worker, now_s: float) -> None:
        """Handle the tasks of an unreachable worker as lost once its lease has expired."""
        if worker.is_reachable or not worker.is_adopted:
            return
        if now_s < self.lease_expiry_s(worker):
            self._schedule_expiry_check(worker)
            return
        self.handle_lost_tasks(worker, now_s, "the lease lapsed on a silent worker")

    def handle_lost_tasks(self, worker: Worker, now_s: float, reason: str) -> None:
        """Handle every attempt of a worker as lost.

        Called once the worker's lease has expired or the platform no longer lists its VM, so that
        all of them have stopped.
        """
        if worker.tasks_by_id:
            lost = len(worker.tasks_by_id)
            self._state.log_decision("tasks_lost", worker=worker.name, tasks=lost, reason=reason)
        for task in list(worker.tasks_by_id.values()):
            if task.worker is worker:
                self._completions.handle_lost_attempt(task, now_s, reason)
        self._release_unexpected_attempts(worker)
        worker.unconfirmed_starts = []

    def _release_unexpected_attempts(self, worker: Worker) -> None:
        for amounts in worker.unexpected_attempts_by_id.values():
            self._state.table.release(worker.row, amounts)
        if worker.unexpected_attempts_by_id:
            self._state.freed_rows[worker.row] = None
        worker.unexpected_attempts_by_id = {}

    def handle_restart(self, worker: Worker, incarnation: int, now_s: float) -> None:
        """Handle the attempts that ran under the old incarnation as lost.

        Unconfirmed starts may have reached either incarnation, so they stay unconfirmed.
        """
        running = []
        for task in list(worker.tasks_by_id.values()):
            if task.phase in (Phase.SENT, Phase.UNCONFIRMED):
                task.is_restart_possible = True
            elif task.phase is Phase.RUNNING and task.worker is worker:
                running.append(task)
        self._completions.handle_crash(running, now_s)
        self._release_unexpected_attempts(worker)
        worker.incarnation = incarnation
        worker.processed_end = worker.acknowledged_end = 0
        self._state.log_decision("worker_restarted", worker=worker.name, incarnation=incarnation)

    def _renewal_delay_s(self, worker: Worker) -> float:
        """Return the time until the next renewal; first renewals are spread over the interval."""
        renew_every_s = self._state.settings.renew_every_s
        if worker.is_renewal_spread:
            return renew_every_s
        worker.is_renewal_spread = True
        return renew_every_s * (worker.row * _GOLDEN_RATIO % 1.0)

    def _schedule_renewal(self, worker: Worker, due_s: float) -> None:
        worker.due_at_s = due_s
        if due_s < worker.timer_due_s:
            worker.timer_due_s = due_s
            self._state.due.call_at(due_s, partial(self._renew_if_due, worker))

    def _renew_if_due(self, worker: Worker, now_s: float) -> None:
        if not worker.is_adopted or now_s < worker.timer_due_s:
            return
        worker.timer_due_s = float("inf")
        if worker.is_in_flight:
            return
        if now_s < worker.due_at_s:
            self._schedule_renewal(worker, worker.due_at_s)
        else:
            self._state.touch(worker)

    def stop_unexpected_attempt(self, worker: Worker, task_id: str, attempt: int) -> None:
        """Stop an attempt on a worker that the owner does not expect there."""
        worker.actions.append(TaskCommand(task_id, attempt, TaskCommandKind.STOP))
        self._state.touch(worker)
