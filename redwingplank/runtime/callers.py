"""Tracks callers that wait for answers of a shard's owner during one ownership epoch."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from redwingplank.rpc import CallOutcomeUnknownError
from redwingplank.scheduling.messages import CancelAnswer, SubmitAnswer

__all__ = ["CallerTable", "DrainAnswer"]

MIN_WAIT_S = 0.001


@dataclass(frozen=True, slots=True)
class DrainAnswer:
    """An operator's drain command is durable."""

    call_id: int


Answer = TypeVar("Answer", SubmitAnswer, CancelAnswer, DrainAnswer)


class CallerTable:
    """Tracks calls without an answer by id, and callers that wait for a job to change."""

    def __init__(self) -> None:
        self._last_call_id = 0
        self._futures_by_call: dict[int, asyncio.Future] = {}
        self._change_futures: set[asyncio.Future] = set()
        self._is_closed = False

    @property
    def open_count(self) -> int:
        """Number of calls that have no answer yet."""
        return len(self._futures_by_call)

    def open_call(self) -> tuple[int, asyncio.Future]:
        """Open a call and return its id and the future that receives its answer."""
        self._last_call_id += 1
        future = asyncio.get_running_loop().create_future()
        self._futures_by_call[self._last_call_id] = future
        return self._last_call_id, future

    def resolve_call(self, answer: SubmitAnswer | CancelAnswer | DrainAnswer) -> None:
        """Pass an answer to its caller if the caller still waits."""
        future = self._futures_by_call.pop(answer.call_id, None)
        if future is not None and not future.done():
            future.set_result(answer)

    async def wait_for_change(
        self, read_version: Callable[[], int], known_version: int, wait_s: float
    ) -> None:
        """Return once a job's version differs from `known_version`, or after `wait_s` seconds."""
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while read_version() == known_version and not self._is_closed:
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                return
            change = asyncio.get_running_loop().create_future()
            self._change_futures.add(change)
            await asyncio.wait([change], timeout=max(remaining_s, MIN_WAIT_S))
            self._change_futures.discard(change)

    def notify_changes(self) -> None:
        """Wake the callers that wait for a change, so that they compare versions again."""
        for change in self._change_futures:
            if not change.done():
                change.set_result(None)

    def close(self, reason: str) -> None:
        """Fail all open calls with `CallOutcomeUnknownError` at the end of the ownership.

        The outcome is unknown because calls without an answer may have had their effect.
        """
        self._is_closed = True
        for future in self._futures_by_call.values():
            if not future.done():
                future.set_exception(CallOutcomeUnknownError(reason))
        self._futures_by_call.clear()
        self.notify_changes()
