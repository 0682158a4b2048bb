"""Serves an ASGI application at given addresses, without installing signal handlers."""

import asyncio
import functools
import socket
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Any

import uvicorn

from redwingplank.platform.http.bodies import BodyLimit
from redwingplank.platform.http.connections import ConnectionTable
from redwingplank.platform.http.limits import (
    DEFAULT_LIMITS,
    HttpLimits,
    OnRefusal,
    ignore_refusal,
)
from redwingplank.platform.http.protocol import LimitedProtocol

__all__ = ["HttpServer", "serve_http"]

LISTEN_BACKLOG = 1024
RECEIVE_BUFFER_BYTES = 64 * 1024
"""Buffer of a connection in the kernel, which bounds what arrives while nothing is read."""
CANCELLED_S = 0.1
"""Longest time for which a cancelled handler is waited for; it only has to send its answer."""


class _Server(uvicorn.Server):
    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ready = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        self.ready.set()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers, since the program has its own."""
        yield


class HttpServer:
    """An HTTP server that listens on one or more addresses.

    Parameters
    ----------
    application : ASGI application
        The application to serve.
    addresses : sequence of str
        ``"IP:PORT"`` of each listening socket.
    graceful_s : float
        Seconds that requests in flight may take to finish after `stop` is called.
    limits : HttpLimits
        Limits of what clients may send and keep open.
    on_refusal : callable
        Called with the reason for which a client is refused.
    """

    def __init__(
        self,
        application: Any,
        addresses: Sequence[str],
        graceful_s: float = 30.0,
        limits: HttpLimits = DEFAULT_LIMITS,
        on_refusal: OnRefusal = ignore_refusal,
    ) -> None:
        table = ConnectionTable(limits, on_refusal)
        protocol: Any = functools.partial(LimitedProtocol, limits, table)
        config = uvicorn.Config(
            BodyLimit(application, limits.body_bytes, on_refusal),
            http=protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            timeout_keep_alive=int(limits.idle_s),
            timeout_graceful_shutdown=int(graceful_s),
            server_header=False,
        )
        self._server = _Server(config)
        backlog = min(LISTEN_BACKLOG, limits.connections)
        self._sockets = [_listen(address, backlog) for address in addresses]
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start to serve; return once connections are accepted."""
        self._task = asyncio.create_task(self._server.serve(sockets=self._sockets))
        ready = asyncio.create_task(self._server.ready.wait())
        await asyncio.wait([ready, self._task], return_when=asyncio.FIRST_COMPLETED)
        ready.cancel()
        if self._task.done():
            self._task.result()

    async def stop(self) -> None:
        """Stop listening, wait for the requests in flight, and close every connection."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
        await self._finish_cancelled()
        for listening in self._sockets:
            listening.close()

    async def _finish_cancelled(self) -> None:
        """Let handlers that were cancelled at the end of the graceful time send their answers."""
        handlers = list(self._server.server_state.tasks)
        if handlers and not self._server.force_exit:
            await asyncio.wait(handlers, timeout=CANCELLED_S)

    def abort(self) -> None:
        """End a running `stop` at once, without waiting for the requests in flight."""
        self._server.force_exit = True


async def serve_http(
    application: Any,
    addresses: Sequence[str],
    graceful_s: float = 30.0,
    limits: HttpLimits = DEFAULT_LIMITS,
    on_refusal: OnRefusal = ignore_refusal,
) -> HttpServer:
    """Start a server and return it; the parameters are those of `HttpServer`."""
    server = HttpServer(application, addresses, graceful_s, limits, on_refusal)
    await server.start()
    return server


def _listen(address: str, backlog: int = LISTEN_BACKLOG) -> socket.socket:
    host, _, port = address.rpartition(":")
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listening.bind((host, int(port)))
    listening.listen(backlog)
    listening.setblocking(False)
    return listening
