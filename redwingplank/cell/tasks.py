"""Background tasks that are cancelled together and whose errors are logged."""

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from redwingplank.cell.context import NodeContext

__all__ = ["TaskSet"]

RESTART_PAUSE_S = 0.2
"""Pause before a loop that failed runs again, so that a lasting error does not take all time."""


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

    def start_loop(self, make_coroutine: Callable[[], Coroutine[Any, Any, Any]]) -> asyncio.Task:
        """Run a loop in the background, and run it again after an unexpected error.

        Parameters
        ----------
        make_coroutine : callable
            Returns the coroutine of the loop, which ends by itself only if it is no longer needed.
        """
        return self.start(self._run_again_after_errors(make_coroutine))

    async def _run_again_after_errors(
        self, make_coroutine: Callable[[], Coroutine[Any, Any, Any]]
    ) -> None:
        while True:
            try:
                await make_coroutine()
                return
            except Exception as error:
                # The node lives on: one bad input must not end what all jobs depend on.
                self._log_failure(error)
            await asyncio.sleep(RESTART_PAUSE_S)

    def _handle_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._log_failure(error)

    def _log_failure(self, error: BaseException) -> None:
        last_frame = traceback.extract_tb(error.__traceback__)[-1]
        where = f"{last_frame.name}:{last_frame.lineno}"
        self._context.log("task_failed", error=repr(error), where=where)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
