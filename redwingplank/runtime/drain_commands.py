"""Operators' drain commands in a shard's journal."""

import asyncio
from collections import deque

from redwingplank.runtime.callers import CallerTable, DrainAnswer
from redwingplank.scheduling.journal import JournalBuffer
from redwingplank.scheduling.journal_values import Flush
from redwingplank.scheduling.messages import DrainVm

__all__ = ["DrainCommands"]

_STREAM = "drained"
"""Map stream of the journal with a key for each worker that an operator drains."""


class DrainCommands:
    """Stores drain commands in the journal, and answers each once it is durable.

    Parameters
    ----------
    buffer : JournalBuffer
        The shard's journal.
    callers : CallerTable
        Callers that wait for answers.
    """

    def __init__(self, buffer: JournalBuffer, callers: CallerTable) -> None:
        self._buffer = buffer
        self._callers = callers
        self._calls_by_token: deque[tuple[int, int]] = deque()

    def stored(self) -> tuple[DrainVm, ...]:
        """Return a command for each worker that is drained according to the durable journal."""
        workers = self._buffer.image.values_by_stream.get(_STREAM, {})
        return tuple(DrainVm(worker) for worker in workers)

    def store(self, command: DrainVm) -> asyncio.Future[DrainAnswer]:
        """Add a command to the journal, and return the future of its answer.

        The future raises `CallOutcomeUnknownError` if the ownership ends before the answer.

        Raises
        ------
        JournalFullError
            If too much waits for the store; the command had no effect.
        """
        value = b"1" if command.is_draining else None
        token = self._buffer.set_value(_STREAM, command.worker, value)
        call_id, future = self._callers.open_call()
        self._calls_by_token.append((token, call_id))
        return future

    def on_committed(self, flush: Flush) -> None:
        """Answer the commands that are durable with a flush."""
        while self._calls_by_token and self._calls_by_token[0][0] <= flush.token:
            _, call_id = self._calls_by_token.popleft()
            self._callers.resolve_call(DrainAnswer(call_id))
