"""Bounds the calls that are under way to each worker."""

import asyncio

__all__ = ["CONNECTIONS_PER_OWNER", "WorkerSlots"]

WORKER_CONNECTIONS = 64
"""Connections that a worker accepts from all nodes. Those of a VM that lost power count too."""
LOST_OWNERS = 15
"""Number of owners that may be lost without closing their connections."""
CONNECTIONS_PER_OWNER = WORKER_CONNECTIONS // (LOST_OWNERS + 1)
COMMAND_SLOTS = CONNECTIONS_PER_OWNER - 1
"""The last connection is that of the poll that waits at the worker, and the others are kept for
calls that are answered at once."""


class WorkerSlots:
    """Semaphores for the calls to each worker that it answers at once."""

    def __init__(self) -> None:
        self._slots_by_worker: dict[str, asyncio.Semaphore] = {}

    def of_worker(self, worker_id: str) -> asyncio.Semaphore:
        """Return the semaphore to hold during a command, or a poll that does not wait."""
        slots = self._slots_by_worker.get(worker_id)
        if slots is None:
            slots = self._slots_by_worker[worker_id] = asyncio.Semaphore(COMMAND_SLOTS)
        return slots
