"""Sends an owner's commands to workers and reports their outcomes to the owner."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from redwingplank.batch.commands import PaceRun
from redwingplank.batch.model import StartAnswer, StartOutcome
from redwingplank.batch.owner import JobOwner
from redwingplank.batch.runs import Run
from redwingplank.batch.worker import Worker
from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import NodeContext
from redwingplank.cell.membership import Membership
from redwingplank.cell.worker_slots import WorkerSlots
from redwingplank.platform.site.http import SiteError
from redwingplank.platform.site.workers import FencedError, StartCommand

__all__ = ["WorkerCommands"]

START_TIMEOUT_S = 0.35
"""A command takes 0.005 s; a lost one delays its task by this time-out."""
STOP_TIMEOUT_S = 0.35
PACE_TIMEOUT_S = 0.5


class WorkerCommands:
    """Sends the commands that start, stop and pace runs.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    membership : Membership
        Provides the time of the last proof of the ownership; gives it up when a worker has received
        a command of a newer owner.
    owner : JobOwner
        Makes the decisions and receives the outcomes of commands.
    wake : callable
        Called after each outcome of a start or stop.
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
        self._is_stopped = False
        self.slots = WorkerSlots()
        self._stops_under_way: set[Run] = set()
        self._unanswered_s_by_worker: dict[str, float] = {}
        """Time in seconds at which a start on a worker was last found unanswered, by its id."""
        self.last_unanswered_start_s = float("-inf")
        """Time at which a start was last found unanswered."""

    def stop_sending(self) -> None:
        """Send no further commands."""
        self._is_stopped = True

    def may_send_commands(self) -> bool:
        """Return whether the ownership was proven recently enough to send commands."""
        age_s = now_s() - self._membership.proven_s
        return not self._is_stopped and age_s < self._owner.state.settings.command_silence_s

    def leases_until_s(self) -> float | None:
        """Return the time after which no lease may last, None while none may be granted."""
        if not self.may_send_commands():
            return None
        return self._membership.proven_s + self._owner.state.settings.proof_lease_s

    def step_down_if_replaced(self, worker: Worker, token: int) -> bool:
        """Give up the ownership if the worker that refused a token has received one of a new owner.

        Returns
        -------
        bool
            False if this owner itself has used a higher one since, as it saw the worker restart.
        """
        if token < self._owner.state.token_of(worker):
            return False
        self._membership.give_up_ownership("fenced_by_worker")
        return True

    @asynccontextmanager
    async def hold_connection(self, worker_id: str) -> AsyncIterator[None]:
        """Hold one of the connections to a worker during a call that it answers at once."""
        broken = self._context.workers.broken_by_worker
        async with self.slots.for_command(worker_id, now_s):
            broken_before = broken[worker_id]
            yield
            if broken[worker_id] > broken_before:
                self.slots.mark_broken(worker_id, now_s())

    async def start(self, run: Run) -> None:
        """Send the command to start a planned run, unless the run was dropped meanwhile.

        A start that waits while the worker leaves another one unanswered is not sent: its task is
        better planned elsewhere.
        """
        queued_s = now_s()
        async with self.hold_connection(run.worker.id):
            unanswered_s = self._unanswered_s_by_worker.get(run.worker.id, float("-inf"))
            if unanswered_s < queued_s:
                await self._send_start(run)
                return
        self._owner.withdraw_start(run, now_s())
        self._wake()

    async def _send_start(self, run: Run) -> None:
        if not self._owner.mark_start_sent(run, now_s()):
            return
        answer = StartAnswer(StartOutcome.NOT_SENT)
        token = self._owner.state.token_of(run.worker)
        leases_until_s = self.leases_until_s()
        if leases_until_s is not None and self._may_start_on(run.worker, leases_until_s):
            command = self._make_start_command(run, leases_until_s)
            answer = await self._context.workers.start(run.worker.entry, command, START_TIMEOUT_S)
        outcome = answer.outcome
        if outcome is StartOutcome.FENCED and self.step_down_if_replaced(run.worker, token):
            return
        if outcome is StartOutcome.UNKNOWN:
            self.last_unanswered_start_s = now_s()
            self._unanswered_s_by_worker[run.worker.id] = now_s()
        self._owner.handle_start_outcome(run, outcome, now_s(), answer.clock_ms)
        self._wake()

    def _may_start_on(self, worker: Worker, leases_until_s: float) -> bool:
        if worker.clock_ms is None:
            return False
        return not self._owner.may_lease_outlast(worker, now_s(), leases_until_s)

    def _make_start_command(self, run: Run, leases_until_s: float) -> StartCommand:
        state = self._owner.state
        job = state.jobs_by_id[run.task_id.job_id]
        step = job.steps_by_key[run.task_id.step_key]
        ticket = step.tickets_by_worker.get(run.worker.id)
        task = step.tasks[run.task_id.position]
        return StartCommand(
            task=run.task_id,
            attempt=run.attempt,
            payload=job.spec.payload,
            lease_until_ms=self._owner.grant_lease(run.worker, now_s(), leases_until_s),
            token=self._owner.state.token_of(run.worker),
            saved=task.saved,
            ticket=ticket.text if ticket else "",
        )

    async def stop(self, run: Run) -> None:
        """Send the command to stop a run, unless one is under way already."""
        if run in self._stops_under_way:
            return
        self._stops_under_way.add(run)
        try:
            async with self.hold_connection(run.worker.id):
                await self._send_stop(run)
        finally:
            self._stops_under_way.discard(run)

    async def _send_stop(self, run: Run) -> None:
        if not self.may_send_commands():
            return
        is_accepted = False
        token = self._owner.state.token_of(run.worker)
        try:
            is_accepted = await self._context.workers.stop(
                run.worker.entry, run.task_id, run.attempt, token, STOP_TIMEOUT_S
            )
        except FencedError:
            if self.step_down_if_replaced(run.worker, token):
                return
        except SiteError as error:
            self._context.log("stop_failed", task=run.task_id, worker=run.worker.id, error=error)
        self._owner.handle_stop_outcome(run, is_taken=is_accepted, now_s=now_s())
        self._wake()

    async def pace(self, pace: PaceRun) -> None:
        """Send the command to run at a percentage of full speed."""
        async with self.hold_connection(pace.run.worker.id):
            await self._send_pace(pace)

    async def _send_pace(self, pace: PaceRun) -> None:
        run = pace.run
        if not self.may_send_commands():
            return
        try:
            is_accepted = await self._context.workers.pace(
                run.worker.entry,
                run.task_id,
                run.attempt,
                pace.percent,
                self._owner.state.token_of(run.worker),
                PACE_TIMEOUT_S,
            )
        except SiteError as error:
            self._context.log("pace_failed", task=run.task_id, error=error)
            is_accepted = False
        if not is_accepted:
            run.pace_percent = -1
