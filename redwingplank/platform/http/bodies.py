"""Bounds the memory that the bodies of all unanswered requests of a server take."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from redwingplank.core import RedwingError
from redwingplank.platform.http.limits import OnRefusal, Refusal

__all__ = ["BodyLimit", "BodyRefusedError"]

SMALL_BODY_BYTES = 16 * 1024
"""Bodies up to this size are counted by themselves, so that large ones do not crowd them out."""

_Message = MutableMapping[str, Any]
_Receive = Callable[[], Awaitable[_Message]]
_Send = Callable[[_Message], Awaitable[None]]


class BodyRefusedError(RedwingError):
    """The rest of a request's body was refused, as other requests have taken up the memory."""


class _Pool:
    """Bytes of a group of bodies.

    Parameters
    ----------
    limit_bytes : int
        Most bytes of all bodies; the only one may have more.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._used_bytes = 0

    def take(self, size: int, own_bytes: int) -> None:
        """Take bytes for a body that has taken `own_bytes` of this pool before.

        Raises
        ------
        BodyRefusedError
            If that is too much beside other bodies.
        """
        is_alone = self._used_bytes == own_bytes
        if self._used_bytes + size > self._limit_bytes and not is_alone:
            raise BodyRefusedError("the bodies of other requests take up the memory")
        self._used_bytes += size

    def give_back(self, size: int) -> None:
        """Give back the bytes of a body."""
        self._used_bytes -= size


class BodyLimit:
    """Wraps an ASGI application, and counts the bytes of all bodies until they are answered.

    Parameters
    ----------
    application : ASGI application
        Has to answer a request for whose body `BodyRefusedError` is raised.
    limit_bytes : int
        Most bytes of all small bodies, and of all other ones. The only one of its kind may have
        more, so that each request is served in calm whose size the application allows.
    on_refusal : callable
        Called with the reason when a request is refused.
    """

    def __init__(self, application: Any, limit_bytes: int, on_refusal: OnRefusal) -> None:
        self._application = application
        self._on_refusal = on_refusal
        self._small = _Pool(limit_bytes)
        self._large = _Pool(limit_bytes)

    async def __call__(self, scope: _Message, receive: _Receive, send: _Send) -> None:
        """Handle one request; the interface is that of ASGI."""
        body = _CountedBody(self._small, self._large)

        async def receive_counted() -> _Message:
            message = await receive()
            try:
                body.add(len(message.get("body", b"")))
            except BodyRefusedError:
                self._on_refusal(Refusal.BODY)
                raise
            return message

        try:
            await self._application(scope, receive_counted, send)
        finally:
            body.give_back()


class _CountedBody:
    """Counts the body of one request in the pool for its size."""

    def __init__(self, small: _Pool, large: _Pool) -> None:
        self._large = large
        self._pool = small
        self._bytes = 0

    def add(self, size: int) -> None:
        """Count further bytes of the body; raise `BodyRefusedError` if they are too many."""
        if self._pool is not self._large and self._bytes + size > SMALL_BODY_BYTES:
            self._large.take(self._bytes, 0)
            self._pool.give_back(self._bytes)
            self._pool = self._large
        self._pool.take(size, self._bytes)
        self._bytes += size

    def give_back(self) -> None:
        """Give back all bytes, once the request has been answered."""
        self._pool.give_back(self._bytes)
        self._bytes = 0
