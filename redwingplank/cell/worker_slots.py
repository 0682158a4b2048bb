"""Bounds the calls that are under way to each worker."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

__all__ = ["CONNECTIONS_PER_OWNER", "CROWDED_S", "WorkerSlots"]

WORKER_CONNECTIONS = 64
"""Connections that a worker accepts from all nodes. Those of a VM that lost power count too."""
LOST_OWNERS = 15
"""Number of owners that may be lost without closing their connections."""
CONNECTIONS_PER_OWNER = WORKER_CONNECTIONS // (LOST_OWNERS + 1)
COMMAND_SLOTS = CONNECTIONS_PER_OWNER - 1
"""The last connection is that of the poll that waits at the worker, and the others are kept for
calls that are answered at once."""


CROWDED_S = 10.0
"""For so long after a command found no connection, calls to the worker share one."""


class WorkerSlots:
    """Decides which calls may be under way to a worker at a time.

    A worker may have no connection left for this owner but one, as those of owners that lost power
    count. It answers the polls that have this one, and breaks all others: then commands and polls
    take turns on it.
    """

    def __init__(self) -> None:
        self._slots_by_worker: dict[str, asyncio.Semaphore] = {}
        self._turns_by_worker: dict[str, asyncio.Lock] = {}
        self._crowded_until_s_by_worker: dict[str, float] = {}

    @asynccontextmanager
    async def for_command(self, worker_id: str, now_s: Callable[[], float]) -> AsyncIterator[None]:
        """Hold a connection for a command, or a poll that does not wait."""
        slots = self._slots_by_worker.get(worker_id)
        if slots is None:
            slots = self._slots_by_worker[worker_id] = asyncio.Semaphore(COMMAND_SLOTS)
        async with slots:
            if not self.is_crowded(worker_id, now_s()):
                yield
                return
            async with self.for_waiting_poll(worker_id):
                yield

    def for_waiting_poll(self, worker_id: str) -> asyncio.Lock:
        """Return what a poll that waits at the worker holds."""
        turn = self._turns_by_worker.get(worker_id)
        if turn is None:
            turn = self._turns_by_worker[worker_id] = asyncio.Lock()
        return turn

    def is_crowded(self, worker_id: str, now_s: float) -> bool:
        """Return whether the worker is taken to have one connection left for this owner."""
        return now_s < self._crowded_until_s_by_worker.get(worker_id, float("-inf"))

    def mark_broken(self, worker_id: str, now_s: float) -> None:
        """Note a command whose connection the worker refused or broke."""
        self._crowded_until_s_by_worker[worker_id] = now_s + CROWDED_S

    def mark_unreachable(self, worker_id: str) -> None:
        """Note a failed poll: the worker doesn't answer those that have a connection either."""
        self._crowded_until_s_by_worker.pop(worker_id, None)
