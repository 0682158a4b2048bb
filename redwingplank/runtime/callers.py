"""Callers that wait for an answer of one term of ownership."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from redwingplank.rpc import CallOutcomeUnknownError
from redwingplank.scheduling.messages import CancelAnswer, SubmitAnswer

__all__ = ["CallerTable"]

MIN_WAIT_S = 0.001

Answer = TypeVar("Answer", SubmitAnswer, CancelAnswer)


class CallerTable:
    """Open calls by id, and callers that wait for a job to change."""

    def __init__(self) -> None:
        self._last_call_id = 0
        self._futures_by_call: dict[int, asyncio.Future] = {}
        self._changes: set[asyncio.Future] = set()
        self._is_closed = False

    @property
    def open_count(self) -> int:
        """Calls that have no answer yet."""
        return len(self._futures_by_call)

    def open_call(self) -> tuple[int, asyncio.Future]:
        """Open a call and return its id and the future of its answer."""
        self._last_call_id += 1
        future = asyncio.get_running_loop().create_future()
        self._futures_by_call[self._last_call_id] = future
        return self._last_call_id, future

    def resolve_call(self, answer: SubmitAnswer | CancelAnswer) -> None:
        """Hand an answer to its caller, if it still waits."""
        future = self._futures_by_call.pop(answer.call_id, None)
        if future is not None and not future.done():
            future.set_result(answer)

    async def wait_for_change(
        self, version_of: Callable[[], int], known_version: int, wait_s: float
    ) -> None:
        """Return once a job's version differs from the known one, or the time is over."""
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while version_of() == known_version and not self._is_closed:
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                return
            change = asyncio.get_running_loop().create_future()
            self._changes.add(change)
            await asyncio.wait([change], timeout=max(remaining_s, MIN_WAIT_S))
            self._changes.discard(change)

    def notify_changes(self) -> None:
        """Let the callers that wait for a change look again."""
        for change in self._changes:
            if not change.done():
                change.set_result(None)

    def close(self, reason: str) -> None:
        """End the term: calls without an answer may have had their effect."""
        self._is_closed = True
        for future in self._futures_by_call.values():
            if not future.done():
                future.set_exception(CallOutcomeUnknownError(reason))
        self._futures_by_call.clear()
        self.notify_changes()
