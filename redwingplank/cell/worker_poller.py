"""Polls workers: each poll waits at the worker for completions and renews the worker's lease."""

import asyncio
from collections.abc import Callable

from redwingplank.batch.owner import JobOwner
from redwingplank.batch.worker import Worker
from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import NodeContext
from redwingplank.cell.tasks import TaskSet
from redwingplank.cell.worker_commands import WorkerCommands
from redwingplank.platform.site.http import NoAnswerError, SiteError
from redwingplank.platform.site.workers import FencedError

__all__ = ["WorkerPoller"]

POLL_WAIT_MS = 1500
"""How long the worker delays its answer while it has runs and no completion. A quarter of a lease:
three polls may be lost before the lease expires."""
IDLE_POLL_WAIT_MS = 2000
"""The same for a worker without runs: the longest wait that workers allow."""
LOSSY_POLL_WAIT_MS = 400
"""The same shortly after an unanswered start: a lost poll delays the owner's view of the worker by
this time."""
CROWDED_POLL_WAIT_MS = 200
"""The same while commands wait for the connection of the poll."""
LOSSY_S = 3.0
"""After an unanswered start, further messages are likely to be lost for this long."""
FIRST_POLL_WAIT_MS = 0
"""Wait of the polls that the worker answers at once: its first one, those after a failed poll or
while it has no lease, and those that the owner requests."""
PAUSE_AFTER_COMPLETIONS_S = 0.06
"""Pause after a poll with completions; those that follow within it arrive with the next poll."""
UNREACHABLE_BACKOFF_S = 0.4
"""Backoff between polls of an unreachable worker; much shorter than a lease."""


class WorkerPoller:
    """Polls each worker in a loop of its own during one epoch.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    owner : JobOwner
        Provides the poll requests and receives the workers' reports.
    orders : WorkerCommands
        Decides whether leases may be renewed; knows when a start last went unanswered.
    tasks : TaskSet
        Runs the loops in the background.
    wake : callable
        Called after each report and each failed poll.
    """

    def __init__(
        self,
        context: NodeContext,
        owner: JobOwner,
        orders: WorkerCommands,
        tasks: TaskSet,
        wake: Callable[[], None],
    ) -> None:
        self._context = context
        self._owner = owner
        self._orders = orders
        self._tasks = tasks
        self._wake = wake
        self._polled_ids: set[str] = set()
        self._queued_ids: set[str] = set()
        """Workers for which a poll at once has not been sent yet."""

    def start_polling(self, worker: Worker) -> None:
        """Poll a worker in a loop for as long as the owner knows it."""
        if worker.id not in self._polled_ids:
            self._polled_ids.add(worker.id)
            self._tasks.start(self._poll_while_known(worker))

    def poll_now(self, worker: Worker) -> None:
        """Poll a worker at once, in addition to the poll that waits there."""
        if worker.id not in self._queued_ids:
            self._queued_ids.add(worker.id)
            self._tasks.start(self._poll_at_once(worker))

    async def _poll_at_once(self, worker: Worker) -> None:
        async with self._orders.hold_connection(worker.id):
            self._queued_ids.discard(worker.id)
            await self._poll(worker, FIRST_POLL_WAIT_MS)

    async def _poll_while_known(self, worker: Worker) -> None:
        wait_ms = FIRST_POLL_WAIT_MS
        state = self._owner.state
        try:
            while state.workers_by_id.get(worker.id) is worker:
                async with self._orders.slots.for_waiting_poll(worker.id):
                    had_completions = await self._poll(worker, wait_ms)
                if had_completions is None:
                    if wait_ms == FIRST_POLL_WAIT_MS:
                        await asyncio.sleep(UNREACHABLE_BACKOFF_S)
                    wait_ms = FIRST_POLL_WAIT_MS
                    continue
                wait_ms = self._choose_wait_ms(worker)
                if had_completions:
                    await asyncio.sleep(PAUSE_AFTER_COMPLETIONS_S)
                if worker.lease_until_ms == 0:
                    wait_ms = FIRST_POLL_WAIT_MS
        finally:
            self._polled_ids.discard(worker.id)

    def _choose_wait_ms(self, worker: Worker) -> int:
        if self._orders.slots.is_crowded(worker.id, now_s()):
            return CROWDED_POLL_WAIT_MS
        if not worker.runs_by_key:
            return IDLE_POLL_WAIT_MS
        is_lossy = now_s() - self._orders.last_unanswered_start_s < LOSSY_S
        return LOSSY_POLL_WAIT_MS if is_lossy else POLL_WAIT_MS

    async def _poll(self, worker: Worker, wait_ms: int) -> bool | None:
        """Poll once; return whether the worker listed completions, None if the poll failed."""
        sent_s = now_s()
        leases_until_s = self._orders.leases_until_s()
        request = self._owner.next_poll(worker, sent_s, leases_until_s=leases_until_s)
        try:
            report = await self._context.workers.poll(
                worker.entry,
                request.token,
                request.acknowledged_number,
                request.lease_until_ms,
                wait_ms,
            )
        except FencedError:
            self._orders.step_down_if_replaced(worker, request.token)
            return None
        except SiteError as error:
            self._context.log("hold_failed", worker=worker.id, error=error)
            self._orders.slots.mark_unreachable(worker.id)
            is_broken_off = isinstance(error, NoAnswerError) and error.is_broken
            self._owner.mark_worker_unreachable(worker, now_s(), is_broken_off=is_broken_off)
            self._wake()
            return None
        try:
            self._owner.apply_report(worker, report, sent_s, now_s())
        except Exception as error:
            # Without further polls the worker's lease would expire, and all its runs with it.
            self._context.log("report_failed", worker=worker.id, error=repr(error))
            return None
        self._wake()
        return bool(report.completions)
