"""Sends the orders of an owner to workers, and hands on what became of them."""

from collections.abc import Callable

from redwingplank.batch.commands import PaceRun
from redwingplank.batch.entities import Run
from redwingplank.batch.model import StartOutcome
from redwingplank.batch.owner import JobOwner
from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import NodeContext
from redwingplank.cell.membership import Membership
from redwingplank.platform.site.http import SiteError
from redwingplank.platform.site.workers import FencedError, StartOrder

__all__ = ["Orders"]

START_TIMEOUT_S = 0.35
"""Orders take 0.005 s; a lost one delays its task by this."""
STOP_TIMEOUT_S = 0.35
PACE_TIMEOUT_S = 0.5
ORDER_MARGIN_S = 1.5
"""Orders end this long before the next owner may count on it, for those still under way."""


class Orders:
    """Starts, stops and paces runs.

    Parameters
    ----------
    context : NodeContext
        Of this node.
    membership : Membership
        Tells how recent the ownership is; loses it when a worker knows a newer owner.
    owner : JobOwner
        Decides, and takes the outcomes.
    wake : callable
        Called after each outcome.
    """

    def __init__(
        self,
        context: NodeContext,
        membership: Membership,
        owner: JobOwner,
        wake: Callable[[], None],
    ) -> None:
        self._context = context
        self._membership = membership
        self._owner = owner
        self._wake = wake
        self._is_ended = False
        self.unanswered_s = float("-inf")
        """When an order was last not answered."""

    def stop_sending(self) -> None:
        """Order nothing more."""
        self._is_ended = True

    def may_send_commands(self) -> bool:
        """Return whether the ownership was confirmed recently enough to order anything."""
        age_s = now_s() - self._membership.renewed_s
        limit_s = self._owner.state.settings.owner_silence_s - ORDER_MARGIN_S
        return not self._is_ended and age_s < limit_s

    def step_down(self) -> None:
        """Step down: a worker has seen orders of a newer owner."""
        self._membership.give_up_ownership("fenced_by_worker")

    async def start(self, run: Run) -> None:
        """Order a planned run, if it is still wanted."""
        if not self._owner.mark_start_sent(run, now_s()):
            return
        outcome = StartOutcome.NOT_SENT
        if self.may_send_commands() and run.worker.clock_ms is not None:
            order = self._start_order(run)
            outcome = await self._context.workers.start(run.worker.entry, order, START_TIMEOUT_S)
        if outcome is StartOutcome.FENCED:
            self.step_down()
            return
        if outcome is StartOutcome.UNKNOWN:
            self.unanswered_s = now_s()
        self._owner.handle_start_outcome(run, outcome, now_s())
        self._wake()

    def _start_order(self, run: Run) -> StartOrder:
        state = self._owner.state
        job = state.jobs_by_id[run.task_id.job_id]
        step = job.steps_by_key[run.task_id.step_key]
        ticket = step.allowed.get(run.worker.id)
        task = step.tasks[run.task_id.position]
        return StartOrder(
            task=run.task_id,
            attempt=run.attempt,
            payload=job.spec.payload,
            lease_until_ms=self._owner.start_lease_ms(run.worker, now_s()),
            token=self._owner.state.epoch,
            saved=task.saved,
            ticket=ticket.text if ticket else "",
        )

    async def stop(self, run: Run) -> None:
        """Order the end of a run."""
        if not self.may_send_commands():
            return
        is_taken = False
        try:
            is_taken = await self._context.workers.stop(
                run.worker.entry, run.task_id, run.attempt, self._owner.state.epoch, STOP_TIMEOUT_S
            )
        except FencedError:
            self.step_down()
            return
        except SiteError as error:
            self._context.log("stop_failed", task=run.task_id, worker=run.worker.id, error=error)
        self._owner.handle_stop_outcome(run, is_taken=is_taken, now_s=now_s())
        self._wake()

    async def pace(self, pace: PaceRun) -> None:
        """Order the share of time at which a run works."""
        run = pace.run
        if not self.may_send_commands():
            return
        try:
            is_taken = await self._context.workers.pace(
                run.worker.entry,
                run.task_id,
                run.attempt,
                pace.percent,
                self._owner.state.epoch,
                PACE_TIMEOUT_S,
            )
        except SiteError as error:
            self._context.log("pace_failed", task=run.task_id, error=error)
            is_taken = False
        if not is_taken:
            run.pace_percent = -1
