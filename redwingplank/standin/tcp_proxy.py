"""A TCP proxy that cuts, holds or delays the bytes of a connection at a chosen place."""

import asyncio
import contextlib
import enum
import socket
from collections.abc import AsyncIterator, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

from redwingplank.standin.raw_http import reset_when_closed

__all__ = ["PASS", "ConnectionPlan", "Fault", "FlowPlan", "TcpFaultProxy"]

BACKLOG = 64
CHUNK_BYTES = 65536


class Fault(enum.Enum):
    """What happens to a flow after its last byte that passes at once."""

    CLOSE = enum.auto()
    """Both sides are closed."""
    RESET = enum.auto()
    """The caller gets a reset; the service is closed."""
    HOLD = enum.auto()
    """Nothing more is read for a time. Then the flow goes on, also if its sender has closed."""
    STOP = enum.auto()
    """Nothing more is read."""


@dataclass(frozen=True, slots=True)
class FlowPlan:
    """One direction of a connection.

    Parameters
    ----------
    passed_bytes : int or None
        Number of bytes that pass at once; None for all.
    fault : Fault
        What happens then, at once, even if no further byte arrives.
    hold_s : float
        For `Fault.HOLD`: seconds for which nothing is read.
    """

    passed_bytes: int | None = None
    fault: Fault = Fault.STOP
    hold_s: float = 0.0


PASS = FlowPlan()


@dataclass(frozen=True, slots=True)
class ConnectionPlan:
    """Plans of the bytes to the service (`up`) and of those to the caller (`down`)."""

    up: FlowPlan = PASS
    down: FlowPlan = PASS


class TcpFaultProxy:
    """Listens at 127.0.0.1 and connects each accepted connection with a service.

    Parameters
    ----------
    service : str
        ``"IP:PORT"`` of the service.
    plans : sequence of ConnectionPlan
        Plans of the connections in the order in which they are accepted; those after the last one
        pass whole.
    """

    def __init__(self, service: str, plans: Sequence[ConnectionPlan] = ()) -> None:
        self._service = service
        self._plans = list(plans)
        self._listener: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_ending = asyncio.Event()
        self.address = ""
        self.bytes_up = 0
        self.bytes_down = 0
        self.connection_count = 0

    def start(self) -> None:
        """Listen at a free port."""
        self._listener = socket.socket()
        self._listener.setblocking(False)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(BACKLOG)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        asyncio.get_running_loop().add_reader(self._listener, self._accept, self._listener)

    def stop_listening(self) -> None:
        """Refuse further connects; open connections remain."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._accept(self._listener)
            self._listener.close()
            self._listener = None

    async def settle(self) -> None:
        """Stop, and deliver all bytes that are held; the callers must have closed before."""
        self.stop_listening()
        self._is_ending.set()
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                caller, _ = listener.accept()
            except BlockingIOError:
                return
            caller.setblocking(False)
            self.connection_count += 1
            plan = self._plans.pop(0) if self._plans else ConnectionPlan()
            self._start(self._connect(caller, plan))

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, caller: socket.socket, plan: ConnectionPlan) -> None:
        host, _, port = self._service.rpartition(":")
        service = socket.socket()
        service.setblocking(False)
        pair = _Pair(caller, service)
        try:
            await asyncio.get_running_loop().sock_connect(service, (host, int(port)))
            await asyncio.gather(self._pass_up(pair, plan.up), self._pass_down(pair, plan.down))
        except ConnectionRefusedError:
            pass
        finally:
            service.close()
            caller.close()

    async def _pass_up(self, pair: "_Pair", plan: FlowPlan) -> None:
        async for count in self._pass(pair, _Flow(pair.caller, pair.service), plan):
            self.bytes_up += count

    async def _pass_down(self, pair: "_Pair", plan: FlowPlan) -> None:
        async for count in self._pass(pair, _Flow(pair.service, pair.caller), plan):
            self.bytes_down += count

    async def _pass(self, pair: "_Pair", flow: "_Flow", plan: FlowPlan) -> AsyncIterator[int]:
        """Pass bytes as planned, and yield the number of each chunk."""
        try:
            async for count in flow.pass_on(plan.passed_bytes):
                yield count
            if flow.has_ended or plan.passed_bytes is None:
                return
            if plan.fault is Fault.HOLD:
                await asyncio.sleep(plan.hold_s)
                async for count in flow.pass_on(None):
                    yield count
                return
            if plan.fault is Fault.STOP:
                await self._is_ending.wait()
            pair.end(is_reset=plan.fault is Fault.RESET)
        except OSError:
            pass
        finally:
            if not pair.is_ended:
                _shut_down(flow.sink, socket.SHUT_WR)


@dataclass(slots=True)
class _Pair:
    """The two sockets of a connection through the proxy."""

    caller: socket.socket
    service: socket.socket
    is_ended: bool = False

    def end(self, is_reset: bool) -> None:
        """End both flows; the sockets are closed once both have noticed."""
        self.is_ended = True
        _shut_down(self.service, socket.SHUT_RDWR)
        if is_reset:
            reset_when_closed(self.caller)
        _shut_down(self.caller, socket.SHUT_RD if is_reset else socket.SHUT_RDWR)


@dataclass(slots=True)
class _Flow:
    """One direction of a connection."""

    source: socket.socket
    sink: socket.socket
    has_ended: bool = False
    """Whether the source has sent its last byte."""

    async def pass_on(self, limit: int | None) -> AsyncIterator[int]:
        """Pass at most `limit` bytes, and yield the number of each chunk."""
        loop = asyncio.get_running_loop()
        passed = 0
        while limit is None or passed < limit:
            size = CHUNK_BYTES if limit is None else limit - passed
            data = await loop.sock_recv(self.source, size)
            if not data:
                self.has_ended = True
                return
            await loop.sock_sendall(self.sink, data)
            passed += len(data)
            yield len(data)


def _shut_down(connection: socket.socket, how: int) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(how)
