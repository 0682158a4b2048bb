"""Commands and polls of an emulated cell: answered, lost, or carried out late."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from redwingplank.batch.commands import PaceRun
from redwingplank.batch.emulated_worker import EmulatedRun, EmulatedWorker, Fault, StartOrder
from redwingplank.batch.model import PollReport, RunReport, StartAnswer, StartOutcome
from redwingplank.batch.owner import JobOwner, PollRequest
from redwingplank.batch.runs import Run

if TYPE_CHECKING:
    from redwingplank.batch.emulator import EmulatedCell

__all__ = ["EmulatedCalls"]

COMMAND_LATENCY_S = 0.004
"""Time until a command or a report arrives."""
POLL_TIMEOUT_S = 0.6
TIMEOUT_S = 0.8
"""Time after which a start or a stop without an answer counts as not answered."""
LATE_CALL_S = (2.0, 12.0)
"""Shortest and longest time after which a worker may carry out a call that it did not answer."""
LATE_SHARE = 0.4
"""Share of the calls without an answer that are carried out late."""
PROMPT_SHARE = 0.3
"""Share of them that are carried out at once; the others never are."""
STOP_S = 0.2
"""Time that the stop of a run takes."""


@dataclass(frozen=True)
class _Call:
    """A call to a worker, which may carry it out whether its caller gets an answer or not.

    `carry_out` takes whether that is after the time-out, and returns the answer.
    """

    worker: EmulatedWorker
    timeout_s: float
    carry_out: Callable[[bool], Any]
    answer: Callable[[Any], None]
    time_out: Callable[[], None]


class EmulatedCalls:
    """Sends the calls of owners to emulated workers.

    A call is addressed to the id of a worker, as on the platform: a process that has restarted
    under its id carries out what was meant for the one before it. It does not carry out a late
    start that the earlier process was told to refuse: a worker that forgets this may run any task
    again before an owner hears of it, and no owner can prevent that. Nor does a late poll
    acknowledge anything to a process that no owner has reached yet.

    Parameters
    ----------
    cell : EmulatedCell
        Cell of the workers.
    """

    def __init__(self, cell: EmulatedCell) -> None:
        self._cell = cell
        self.late_s: float | None = None
        """While set, no call is answered, and each is carried out after this time."""

    # Starts.

    def send_start(self, owner: JobOwner, run: Run) -> None:
        """Send the command to start a planned run."""
        cell = self._cell
        if not owner.mark_start_sent(run, cell.now_s):
            return
        leases_until_s = cell.leases_until_s(owner)
        if leases_until_s is None or owner.may_lease_outlast(
            run.worker, cell.now_s, leases_until_s
        ):
            owner.handle_start_outcome(run, StartOutcome.NOT_SENT, cell.now_s)
            return
        worker = cell.workers[run.worker.id]
        order = self._make_start_order(owner, run, leases_until_s)
        config = cell.config

        def carry_out(is_late: bool) -> StartAnswer:
            if Fault.REFUSE in worker.faults:
                return StartAnswer(StartOutcome.UNHEALTHY)
            starts = cell.starts
            outcome = self._start(worker, order, is_late=is_late)
            if cell.starts > starts:
                cell.checks.check_quota(run.task_id, config, cell.now_s)
            return StartAnswer(outcome, round(worker.clock_s(cell.now_s) * 1000))

        def answer(answered: StartAnswer | None) -> None:
            given = answered or StartAnswer(StartOutcome.UNKNOWN)
            owner.handle_start_outcome(run, given.outcome, cell.now_s, given.clock_ms)

        self._send(_Call(worker, TIMEOUT_S, carry_out, answer, lambda: answer(None)))

    def _make_start_order(self, owner: JobOwner, run: Run, leases_until_s: float) -> StartOrder:
        job = owner.state.jobs_by_id[run.task_id.job_id]
        task = job.steps_by_key[run.task_id.step_key].tasks[run.task_id.position]
        assert run.spec is not None
        return StartOrder(
            task=task.id,
            attempt=run.attempt,
            payload=job.spec.payload,
            spec=run.spec,
            saved=task.saved,
            lease_ms=owner.grant_lease(run.worker, self._cell.now_s, leases_until_s),
            token=owner.state.token_of(run.worker),
            epoch=owner.state.epoch,
        )

    def _start(self, worker: EmulatedWorker, order: StartOrder, *, is_late: bool) -> StartOutcome:
        cell = self._cell
        task, key = order.task, (order.task, order.attempt)
        if is_late and worker.was_refused_before(order):
            return StartOutcome.UNKNOWN
        if order.token < worker.token:
            return StartOutcome.FENCED
        worker.token = order.token
        if order.lease_ms / 1000 < worker.clock_s(cell.now_s):
            return StartOutcome.TOO_LATE
        worker.take_lease(order.lease_ms, cell.now_s, cell.settings.lease_limit_s)
        if key in worker.runs:
            return StartOutcome.STARTED
        if order.attempt <= worker.blocked.get(task, 0):
            return StartOutcome.OLD_ATTEMPT
        work_s = cell.work_s(task, order.spec)
        run = EmulatedRun(*key, order.spec, work_s, started_s=cell.now_s, is_late=is_late)
        run.resume(order.saved)
        worker.runs[key] = run
        cell.record_start(worker, order, is_late=is_late)
        return StartOutcome.STARTED

    # Stops and paces.

    def send_stop(self, owner: JobOwner, run: Run) -> None:
        """Send the command to stop a run."""
        cell = self._cell
        worker = cell.workers[run.worker.id]
        token = owner.state.token_of(run.worker)

        def carry_out(_is_late: bool) -> bool:
            if token < worker.token:
                return False
            worker.token = token
            worker.blocked[run.task_id] = max(worker.blocked.get(run.task_id, 0), run.attempt)
            found = worker.runs.get(run.key)
            if found is not None and found.stopping_at_s is None:
                found.stopping_at_s = cell.now_s + STOP_S
            return True

        def answer(is_taken: bool | None) -> None:
            owner.handle_stop_outcome(run, is_taken=bool(is_taken), now_s=cell.now_s)

        self._send(_Call(worker, TIMEOUT_S, carry_out, answer, lambda: answer(None)))

    def set_pace(self, pace: PaceRun) -> None:
        """Send the command to run at a part of full speed; it is always carried out."""
        found = self._cell.workers[pace.run.worker.id].runs.get(pace.run.key)
        if found is not None:
            found.pace = pace.percent / 100

    def _send(self, call: _Call) -> None:
        """Send a command, which arrives after the usual time unless it is lost or late."""
        is_reachable = call.worker.is_reachable
        if is_reachable and not self._is_lost():
            self._cell.after(COMMAND_LATENCY_S, lambda: self._answer(call, self._carry_out(call)))
        else:
            self._leave_unanswered(call, is_reachable=is_reachable)

    def _is_lost(self) -> bool:
        return self.late_s is not None or self._cell.is_command_lost()

    def _carry_out(self, call: _Call, *, is_late: bool = False) -> Any:
        """Let the process that now runs carry out a call; return None if none does."""
        if call.worker.is_down:
            return None
        call.worker.is_reached |= not is_late
        return call.carry_out(is_late)

    def _leave_unanswered(self, call: _Call, *, is_reachable: bool) -> None:
        """Let a call time out; if it reaches its worker, carry it out at once, late or never."""
        cell = self._cell
        cell.after(call.timeout_s, call.time_out)
        if not is_reachable:
            return
        chance = cell.rng.random()
        if self.late_s is not None:
            cell.after(self.late_s, lambda: self._carry_out(call, is_late=True))
        elif chance < LATE_SHARE:
            delay_s = cell.rng.uniform(*LATE_CALL_S)
            cell.after(delay_s, lambda: self._carry_out(call, is_late=True))
        elif chance < LATE_SHARE + PROMPT_SHARE:
            cell.after(COMMAND_LATENCY_S, lambda: self._carry_out(call))

    def _answer(self, call: _Call, answer: Any) -> None:
        """Let an answer arrive, which may be overtaken by another one."""
        cell = self._cell
        delay_s = cell.rng.uniform(0.0, cell.longest_answer_delay_s)
        if delay_s:
            cell.after(delay_s, lambda: call.answer(answer))
        else:
            call.answer(answer)

    # Polls.

    def poll(self, owner: JobOwner, worker: EmulatedWorker, *, is_reachable: bool) -> None:
        """Poll a worker; the process that runs now reports at once."""
        cell = self._cell
        known = owner.state.workers_by_id.get(worker.entry.worker_id)
        if known is None:
            return
        sent_s = cell.now_s
        request = owner.next_poll(known, sent_s, leases_until_s=cell.leases_until_s(owner))

        def carry_out(_is_late: bool) -> PollReport | None:
            return self._report(worker, request)

        def answer(report: PollReport | None) -> None:
            if report is None or worker.entry.born_ms != report.born_ms or worker.is_down:
                return
            worker.reported_count = max((end.number for end in report.completions), default=0)
            try:
                owner.apply_report(known, report, sent_s, cell.now_s)
            except Exception as error:  # As in the runtime, the next poll follows.
                cell.report_errors.append(error)

        def time_out() -> None:
            owner.mark_worker_unreachable(known, cell.now_s)

        call = _Call(worker, POLL_TIMEOUT_S, carry_out, answer, time_out)
        if is_reachable and not self._is_lost():
            report = self._carry_out(call)
            cell.after(COMMAND_LATENCY_S, lambda: self._answer(call, report))
        else:
            self._leave_unanswered(call, is_reachable=is_reachable)

    def _report(self, worker: EmulatedWorker, request: PollRequest) -> PollReport | None:
        """Carry out a poll; return None if the worker refuses it."""
        cell = self._cell
        if request.token < worker.token:
            return None
        worker.token = request.token
        if worker.is_reached:
            self._acknowledge(worker, request.acknowledged_number)
        if request.lease_until_ms is not None:
            worker.take_lease(request.lease_until_ms, cell.now_s, cell.settings.lease_limit_s)
        running = tuple(
            RunReport(run.task, run.attempt, run.saved, round(100 * run.done_s / run.work_s), 0.0)
            for run in worker.runs.values()
        )
        return PollReport(
            round(worker.clock_s(cell.now_s) * 1000),
            worker.entry.born_ms,
            running,
            tuple(worker.ends[: worker.list_limit]),
        )

    def _acknowledge(self, worker: EmulatedWorker, last_number: int) -> None:
        for completion in worker.ends:
            if completion.number <= last_number:
                self._cell.checks.check_acknowledged(worker, completion)
        worker.ends = [completion for completion in worker.ends if completion.number > last_number]
