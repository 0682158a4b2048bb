"""The body of an answer on its way from an upstream to a caller."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable

from redwingplank.core import RedwingError

__all__ = ["AnswerCutError", "BodyStream", "SlowCallerError"]


class AnswerCutError(RedwingError):
    """The answer ended before its end: close the caller's connection without ending the body."""


class SlowCallerError(RedwingError):
    """The caller took nothing for too long: the answer is given up."""


class BodyStream(AsyncIterator[bytes]):
    """A bounded buffer between the task that reads an upstream and the caller.

    Parameters
    ----------
    limit_bytes : int
        `put` waits while more than this is held.
    stall_s : float
        Seconds that `put` waits for the caller before it raises.
    on_close : callable
        Called when the caller closes the stream before its end.
    """

    def __init__(self, limit_bytes: int, stall_s: float, on_close: Callable[[], None]) -> None:
        self._limit_bytes = limit_bytes
        self._stall_s = stall_s
        self._on_close = on_close
        self._chunks: deque[bytes] = deque()
        self._held_bytes = 0
        self._is_ended = False
        self._error: Exception | None = None
        self._changed = asyncio.Event()

    @property
    def is_ended(self) -> bool:
        """Whether the whole body was put."""
        return self._is_ended

    async def put(self, chunk: bytes) -> None:
        """Append a chunk, waiting for room.

        Raises
        ------
        SlowCallerError
            The caller took nothing for `stall_s`.
        """
        self._chunks.append(chunk)
        self._held_bytes += len(chunk)
        self._notify()
        try:
            while self._held_bytes > self._limit_bytes:
                async with asyncio.timeout(self._stall_s):
                    await self._changed.wait()
        except TimeoutError as error:
            raise SlowCallerError(f"the caller took nothing for {self._stall_s} s") from error

    def end(self) -> None:
        """Mark the body as whole."""
        self._is_ended = True
        self._notify()

    def fail(self, error: Exception) -> None:
        """End the body with an error, after what was put before."""
        self._error = error
        self._notify()

    def pop_buffered(self) -> bytes:
        """Return everything that is held and forget it."""
        whole = b"".join(self._chunks)
        self._chunks.clear()
        self._held_bytes = 0
        return whole

    async def __anext__(self) -> bytes:
        while not self._chunks:
            if self._error is not None:
                raise self._error
            if self._is_ended:
                raise StopAsyncIteration
            await self._changed.wait()
        chunk = self._chunks.popleft()
        self._held_bytes -= len(chunk)
        self._notify()
        return chunk

    async def aclose(self) -> None:
        """Give up the rest of the body, which frees the upstream's slot."""
        if not self._is_ended and self._error is None:
            self._error = AnswerCutError("the stream was closed")
            self._on_close()
        self._chunks.clear()
        self._held_bytes = 0

    async def close(self) -> None:
        """Do as `aclose`; servers call it by this name."""
        await self.aclose()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
