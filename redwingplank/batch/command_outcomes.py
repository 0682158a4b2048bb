"""Applies the outcomes of start and stop commands to their runs."""

from redwingplank.batch.model import NO_AMOUNTS, StartOutcome
from redwingplank.batch.runs import Run, RunState
from redwingplank.batch.state import OwnerState

__all__ = ["CommandOutcomes"]

UNHEALTHY_BACKOFF_S = 0.5
"""Time for which a worker that refused as unhealthy or could not be reached is avoided."""
UNANSWERED_BACKOFF_S = 0.6
"""Time for which a worker that left a start unanswered is avoided: the poll that then tells whether
it is reachable ends within it."""
REFUSED_RETRY_S = 0.1
"""Delay before a refused task is started again, so that refusals do not cause a busy loop."""


class CommandOutcomes:
    """Applies the outcomes of start and stop commands.

    Parameters
    ----------
    state : OwnerState
        Jobs and workers of the owner.
    """

    def __init__(self, state: OwnerState) -> None:
        self._state = state

    def mark_start_sent(self, run: Run, now_s: float) -> bool:
        """Mark a planned run as starting before its start command is sent.

        Returns
        -------
        bool
            Whether to send the command; False if the run is no longer wanted.
        """
        is_removed = run.worker.runs_by_key.get(run.key) is not run
        if is_removed or run.state is not RunState.PLANNED:
            return False
        worker = run.worker
        has_room = worker.is_capacity_known and worker.free.holds(NO_AMOUNTS)
        has_room &= self._state.organisations.may_send(run)
        if worker.clock_ms is None or worker.is_unreachable or not has_room:
            self._state.remove_run(run, now_s)
            return False
        run.state = RunState.STARTING
        run.sent_s = now_s
        return True

    def handle_start(
        self, run: Run, outcome: StartOutcome, now_s: float, clock_ms: int | None = None
    ) -> None:
        """Apply the outcome of a start command, and the worker's clock if its answer tells it."""
        if run.worker.runs_by_key.get(run.key) is not run:
            return
        self._log_start(run, outcome, now_s)
        if outcome is StartOutcome.STARTED:
            self._handle_accepted_start(run, now_s, clock_ms)
        elif outcome is StartOutcome.UNKNOWN:
            self._handle_unanswered_start(run, now_s)
        else:
            self._handle_refused_start(run, outcome, now_s)

    def _handle_accepted_start(self, run: Run, now_s: float, clock_ms: int | None) -> None:
        run.is_in_known_process |= run.worker.shows_clock(clock_ms, now_s)
        if run.state in (RunState.STARTING, RunState.UNCONFIRMED):
            run.state = RunState.RUNNING
            run.is_accepted = True
            if run.is_in_known_process:
                self._state.note_begun(run)
            run.resolved_s = now_s
            run.started_s = run.progressed_s = now_s
            self._state.interference.neighbours.mark_started(run, now_s)
            found = self._state.find_task(run.task_id)
            if found is not None:
                found[0].has_begun = True
                self._state.record_start(run.worker, found[1], now_s)

    def _handle_unanswered_start(self, run: Run, now_s: float) -> None:
        worker = run.worker
        until_s = max(worker.avoided_until_s, now_s + UNANSWERED_BACKOFF_S)
        self._state.avoid_worker(worker, until_s)
        self._state.commands.polls.append(worker)
        if run.state is RunState.STARTING:
            run.state = RunState.UNCONFIRMED
            self._state.order_stop(run, now_s, "start_not_answered")

    def _handle_refused_start(self, run: Run, outcome: StartOutcome, now_s: float) -> None:
        task = self._state.remove_run(run, now_s)
        worker = run.worker
        if outcome in (StartOutcome.UNHEALTHY, StartOutcome.NOT_SENT):
            until_s = max(worker.avoided_until_s, now_s + UNHEALTHY_BACKOFF_S)
            self._state.avoid_worker(worker, until_s)
        found = self._state.find_task(run.task_id)
        if task is None or found is None:
            return
        step = found[0].steps_by_key[run.task_id.step_key]
        if outcome is StartOutcome.BAD_TICKET:
            step.tickets_by_worker.pop(worker.id, None)
        self._state.delay_task(task, now_s + REFUSED_RETRY_S)
        if step.spec.is_gang:
            for member in list(step.tasks.used()):
                for other in list(member.runs):
                    self._state.order_stop(other, now_s, "gang_member_refused")

    def _log_start(self, run: Run, outcome: StartOutcome, now_s: float) -> None:
        self._state.log_decision(
            "start_answered",
            job=run.task_id.job_id,
            task=run.task_id,
            attempt=run.attempt,
            worker=run.worker.id,
            outcome=outcome.name.lower(),
            took_s=now_s - run.sent_s,
        )

    def handle_stop(self, run: Run, *, is_taken: bool, now_s: float) -> None:
        """Apply the outcome of a stop command; `is_taken` is whether the worker accepted it."""
        if not is_taken:
            run.stop_sent_s = now_s
        elif run.resolved_s is None:
            run.resolved_s = now_s
            if not run.is_listed:
                self._state.commands.polls.append(run.worker)
