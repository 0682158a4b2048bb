"""Streams the body of an answer from an upstream to a caller."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable

from redwingplank.core import RedwingError

__all__ = ["AnswerCutError", "BodyStream", "SlowCallerError"]


class AnswerCutError(RedwingError):
    """The body is incomplete: close the caller's connection without ending the body."""


class SlowCallerError(RedwingError):
    """The caller read nothing within the stall time-out, so the answer is aborted."""


class BodyStream(AsyncIterator[bytes]):
    """A bounded buffer between the task that reads from an upstream and the caller.

    Parameters
    ----------
    limit_bytes : int
        `put` waits while more bytes than this are buffered.
    stall_timeout_s : float
        Seconds that `put` waits for the caller to read before it raises.
    on_close : callable
        Called when the caller closes the stream before the body is complete.
    """

    def __init__(
        self, limit_bytes: int, stall_timeout_s: float, on_close: Callable[[], None]
    ) -> None:
        self._limit_bytes = limit_bytes
        self._stall_timeout_s = stall_timeout_s
        self._on_close = on_close
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._is_ended = False
        self._error: Exception | None = None
        self._changed = asyncio.Event()

    @property
    def is_ended(self) -> bool:
        """Whether the body is complete."""
        return self._is_ended

    async def put(self, chunk: bytes) -> None:
        """Append a chunk, then wait while the buffer is over its limit.

        Raises
        ------
        SlowCallerError
            If the caller read nothing for `stall_timeout_s`.
        """
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        self._notify()
        try:
            while self._buffered_bytes > self._limit_bytes:
                async with asyncio.timeout(self._stall_timeout_s):
                    await self._changed.wait()
        except TimeoutError as error:
            raise SlowCallerError(
                f"the caller took nothing for {self._stall_timeout_s} s"
            ) from error

    def end(self) -> None:
        """Mark the body as complete."""
        self._is_ended = True
        self._notify()

    def fail(self, error: Exception) -> None:
        """Raise an error to the reader once it has read the chunks buffered before."""
        self._error = error
        self._notify()

    def pop_buffered(self) -> bytes:
        """Remove and return all buffered bytes."""
        body = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        return body

    async def __anext__(self) -> bytes:
        while not self._chunks:
            if self._error is not None:
                raise self._error
            if self._is_ended:
                raise StopAsyncIteration
            await self._changed.wait()
        chunk = self._chunks.popleft()
        self._buffered_bytes -= len(chunk)
        self._notify()
        return chunk

    async def aclose(self) -> None:
        """Discard the rest of the body, which frees the upstream's slot."""
        if not self._is_ended and self._error is None:
            self._error = AnswerCutError("the stream was closed")
            self._on_close()
        self._chunks.clear()
        self._buffered_bytes = 0

    async def close(self) -> None:
        """Close the stream as `aclose` does; ASGI servers call this name."""
        await self.aclose()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
