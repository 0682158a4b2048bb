"""Background tasks that are cancelled together and whose errors are logged."""

import asyncio
import traceback
from collections.abc import Coroutine
from typing import Any

from redwingplank.cell.context import NodeContext

__all__ = ["TaskSet"]


class TaskSet:
    """The background tasks of one part of a node.

    Parameters
    ----------
    context : NodeContext
        Used for logging only.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._tasks: set[asyncio.Task] = set()

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine as a background task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_done)
        return task

    def _handle_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            last_frame = traceback.extract_tb(error.__traceback__)[-1]
            where = f"{last_frame.name}:{last_frame.lineno}"
            self._context.log("task_failed", error=repr(error), where=where)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
