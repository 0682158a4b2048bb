"""Looks at workers: each call waits at the worker for news, and renews its lease."""

import asyncio
from collections.abc import Callable

from redwingplank.batch.entities import Worker
from redwingplank.batch.owner import JobOwner
from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import NodeContext
from redwingplank.cell.orders import Orders
from redwingplank.cell.tasks import TaskSet
from redwingplank.platform.site.http import SiteError
from redwingplank.platform.site.workers import FencedError

__all__ = ["WorkerPoller"]

HOLD_WAIT_MS = 1500
"""A quarter of a lease: three looks may be lost before it runs out."""
IDLE_HOLD_WAIT_MS = 2000
"""The longest wait that workers allow."""
LOSSY_HOLD_WAIT_MS = 400
"""While orders go unanswered: a lost look blinds the owner this much longer."""
LOSSY_S = 3.0
"""After an order without an answer, more are likely for this long."""
FIRST_HOLD_WAIT_MS = 0
PAUSE_AFTER_ENDS_S = 0.06
"""Ends that come within it are learnt with one look."""
SILENT_PAUSE_S = 0.4
"""Between looks at a silent worker; far below the time that its lease lasts."""


class WorkerPoller:
    """Follows each worker for one term.

    Parameters
    ----------
    context : NodeContext
        Of this node.
    owner : JobOwner
        Takes what workers report.
    orders : Orders
        Tells whether leases may be renewed.
    tasks : TaskSet
        Runs one loop for each worker.
    wake : callable
        Called after each report.
    """

    def __init__(
        self,
        context: NodeContext,
        owner: JobOwner,
        orders: Orders,
        tasks: TaskSet,
        wake: Callable[[], None],
    ) -> None:
        self._context = context
        self._owner = owner
        self._orders = orders
        self._tasks = tasks
        self._wake = wake
        self._followed_ids: set[str] = set()

    def start_polling(self, worker: Worker) -> None:
        """Look at a worker from now on, as long as it is known."""
        if worker.id not in self._followed_ids:
            self._followed_ids.add(worker.id)
            self._tasks.start(self._follow(worker))

    def poll_now(self, worker: Worker) -> None:
        """Look at a worker now, beside the look that waits there."""
        self._tasks.start(self._look(worker, FIRST_HOLD_WAIT_MS))

    async def _follow(self, worker: Worker) -> None:
        wait_ms = FIRST_HOLD_WAIT_MS
        state = self._owner.state
        try:
            while state.workers_by_id.get(worker.id) is worker:
                had_ends = await self._look(worker, wait_ms)
                if had_ends is None:
                    if wait_ms == FIRST_HOLD_WAIT_MS:
                        await asyncio.sleep(SILENT_PAUSE_S)
                    wait_ms = FIRST_HOLD_WAIT_MS
                    continue
                wait_ms = self._wait_ms(worker)
                if had_ends:
                    await asyncio.sleep(PAUSE_AFTER_ENDS_S)
                if worker.lease_until_ms == 0:
                    wait_ms = FIRST_HOLD_WAIT_MS
        finally:
            self._followed_ids.discard(worker.id)

    def _wait_ms(self, worker: Worker) -> int:
        if not worker.runs_by_key:
            return IDLE_HOLD_WAIT_MS
        is_lossy = now_s() - self._orders.unanswered_s < LOSSY_S
        return LOSSY_HOLD_WAIT_MS if is_lossy else HOLD_WAIT_MS

    async def _look(self, worker: Worker, wait_ms: int) -> bool | None:
        """Return whether the worker listed ends, None if it did not answer."""
        sent_s = now_s()
        order = self._owner.next_poll(worker, sent_s, may_renew=self._orders.may_send_commands())
        try:
            report = await self._context.workers.poll(
                worker.entry, self._owner.state.epoch, order.noted, order.lease_until_ms, wait_ms
            )
        except FencedError:
            self._orders.step_down()
            return None
        except SiteError as error:
            self._context.log("hold_failed", worker=worker.id, error=error)
            self._owner.mark_worker_unreachable(worker, now_s())
            self._wake()
            return None
        self._owner.worker_reported(worker, report, sent_s, now_s())
        self._wake()
        return bool(report.ends)
