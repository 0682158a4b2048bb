"""The stand-in store behind faults: refusals, lost and late answers, resets, unread data."""

import asyncio
import random
import socket
import struct
from collections.abc import Callable
from typing import Any

import msgspec
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from redwingplank.cell.keys import EPOCH_KEY
from redwingplank.standin.site_store import SiteStoreModel
from tools.soak.asgi import Receive, Send, delay, drop, read_body, replay, wait_for_disconnect
from tools.soak.history import History
from tools.soak.plan import Fault, FaultKind

__all__ = ["FaultyStore", "RecordingStore", "SoakServer"]

ANSWER_S = 0.004
"""Time of a usual answer."""
WRITE_PATHS = ("/-/kv-txn", "/-/kv-lease")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RecordingStore(SiteStoreModel):
    """A store that notes when each job was stored, and who became owner."""

    def __init__(self, history: History, now_s: Callable[[], float]) -> None:
        super().__init__()
        self._history = history
        self._now_s = now_s

    def _put(self, key: str, value: bytes, lease: int) -> None:
        super()._put(key, value, lease)
        self._history.add_stored_key(key, self._now_s())
        if key == EPOCH_KEY:
            entry = msgspec.json.decode(value)
            self._history.owner_by_epoch[entry["number"]] = entry["owner"]


class FaultyStore:
    """ASGI middleware that applies the active faults to the calls of a store.

    Parameters
    ----------
    app : ASGI application
        The store.
    first_port : int
        The store listens at one port for each node, from this one on, so that faults can concern
        some nodes only.
    rng : random.Random
        Selects the calls that a fault with a share concerns.
    """

    def __init__(self, app: Any, first_port: int, rng: random.Random) -> None:
        self._app = app
        self._first_port = first_port
        self._rng = rng
        self.active: set[Fault] = set()
        self.late_calls = 0
        """Number of calls whose effect is still to come."""
        self._second = 0
        self._writes = 0

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Handle one call of a node."""
        node = scope["server"][1] - self._first_port
        body = await read_body(receive)
        await asyncio.sleep(ANSWER_S)
        status = self._find_refusal(node, scope["path"])
        if status:
            await _answer(send, status)
            return
        late = self._draw(FaultKind.LATE, node)
        if late is not None:
            await self._run_late(scope, body, late.delay_s)
            await wait_for_disconnect(receive)
            return
        delay_s = sum(each.amount for each in self._faults(FaultKind.SLOW, node))
        await asyncio.sleep(delay_s / 2)
        if self._draw(FaultKind.LOST, node) is not None:
            await self._app(scope, replay(body), drop)
            await wait_for_disconnect(receive)
            return
        await self._app(scope, replay(body), delay(send, delay_s / 2))

    async def _run_late(self, scope: dict[str, Any], body: bytes, delay_s: float) -> None:
        self.late_calls += 1
        try:
            await asyncio.sleep(delay_s)
            await self._app(scope, replay(body), drop)
        finally:
            self.late_calls -= 1

    def _faults(self, kind: FaultKind, node: int) -> list[Fault]:
        return [each for each in self.active if each.kind is kind and node in each.nodes]

    def _draw(self, kind: FaultKind, node: int) -> Fault | None:
        for fault in self._faults(kind, node):
            if self._rng.random() < fault.amount:
                return fault
        return None

    def _find_refusal(self, node: int, path: str) -> int:
        """Return the status with which a call is refused, 0 if it is not."""
        limits = [each.amount for each in self.active if each.kind is FaultKind.LIMIT]
        if path in WRITE_PATHS:
            second = int(asyncio.get_running_loop().time())
            self._writes = self._writes + 1 if second == self._second else 1
            self._second = second
            if limits and self._writes > min(limits):
                return 429
        refusals = [int(each.amount) for each in self._faults(FaultKind.REFUSE, node)]
        return min(refusals, default=0)


class _Connections:
    """The open connections of a server, by its port."""

    def __init__(self) -> None:
        self.port_by_transport: dict[asyncio.Transport, int] = {}
        self.unread_ports: list[int] = []
        self.closed_ports: list[int] = []

    def add(self, transport: asyncio.Transport) -> None:
        port = transport.get_extra_info("sockname")[1]
        self.port_by_transport[transport] = port
        if port in self.closed_ports:
            transport.abort()
        if port in self.unread_ports:
            transport.pause_reading()

    def remove(self, transport: asyncio.Transport) -> None:
        self.port_by_transport.pop(transport, None)


class SoakServer:
    """Serves an application at several addresses; its connections can be reset or left unread.

    Parameters
    ----------
    app : ASGI application
        The application to serve.
    addresses : list of (str, int)
        Hosts and ports to listen on.
    """

    def __init__(self, app: Any, addresses: list[tuple[str, int]]) -> None:
        self._connections = _Connections()
        config = uvicorn.Config(
            app,
            http=_make_protocol(self._connections),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            timeout_graceful_shutdown=0,
        )
        self._server = uvicorn.Server(config)
        self._sockets = [_listen(address) for address in addresses]
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to serve."""
        # `serve` would install signal handlers, and the program has its own.
        self._task = asyncio.create_task(self._server._serve(self._sockets))
        while not self._server.started and not self._task.done():  # noqa: ASYNC110
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Close all connections."""
        self._server.should_exit = True
        self._server.force_exit = True
        if self._task is not None:
            await self._task
        for each in self._sockets:
            each.close()

    def reset(self, ports: set[int]) -> None:
        """Reset the connections at some ports; data that was not yet sent is lost."""
        for transport, port in list(self._connections.port_by_transport.items()):
            if port in ports:
                connection = transport.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                transport.abort()

    def close_ports(self, ports: set[int]) -> None:
        """Reset the connections at some ports, and each new one, as if nothing listened there."""
        self._connections.closed_ports.extend(ports)
        self.reset(ports)

    def open_ports(self, ports: set[int]) -> None:
        """End one call of `close_ports`."""
        for port in ports:
            self._connections.closed_ports.remove(port)

    def stop_reading(self, ports: set[int]) -> None:
        """Leave what arrives at some ports unread, also on new connections."""
        self._connections.unread_ports.extend(ports)
        for transport, port in self._connections.port_by_transport.items():
            if port in ports:
                transport.pause_reading()

    def read_again(self, ports: set[int]) -> None:
        """End one call of `stop_reading`."""
        for port in ports:
            self._connections.unread_ports.remove(port)
        for transport, port in list(self._connections.port_by_transport.items()):
            if port in ports and port not in self._connections.unread_ports:
                transport.resume_reading()


def _make_protocol(connections: _Connections) -> type[HttpToolsProtocol]:
    class Protocol(HttpToolsProtocol):
        def connection_made(self, transport: Any) -> None:
            super().connection_made(transport)
            connections.add(transport)

        def connection_lost(self, exc: Exception | None) -> None:
            connections.remove(self.transport)
            super().connection_lost(exc)

    return Protocol


def _listen(address: tuple[str, int]) -> socket.socket:
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listening.bind(address)
    listening.listen(1024)
    listening.setblocking(False)
    return listening


async def _answer(send: Send, status: int) -> None:
    headers = [(b"content-type", b"application/json"), (b"content-length", b"2")]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b"{}"})
