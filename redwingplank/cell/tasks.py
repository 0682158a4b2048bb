"""Background tasks that end together, and whose errors are logged."""

import asyncio
import traceback
from collections.abc import Coroutine
from typing import Any

from redwingplank.cell.context import NodeContext

__all__ = ["TaskSet"]


class TaskSet:
    """Tasks of one part of a node.

    Parameters
    ----------
    context : NodeContext
        For the log.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._tasks: set[asyncio.Task] = set()

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            place = traceback.extract_tb(error.__traceback__)[-1]
            where = f"{place.name}:{place.lineno}"
            self._context.log("task_failed", error=repr(error), where=where)

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
