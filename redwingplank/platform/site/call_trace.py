"""What a client can tell of one call beside its answer: connection, bytes sent, kind of failure."""

import enum
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import aiohttp

__all__ = [
    "CallFailure",
    "CallTrace",
    "TracedConnector",
    "current_trace",
    "follow_calls",
    "make_trace_config",
]


class CallFailure(enum.Enum):
    """Why a call has no response."""

    NOT_CONNECTED = enum.auto()
    BROKEN = enum.auto()
    """The connection broke."""
    TIMED_OUT = enum.auto()


@dataclass(slots=True, eq=False)
class CallTrace:
    """What became of one call so far; the client fills it in while the call is under way.

    Attributes
    ----------
    local_port : int
        Port of this side of the connection, 0 before there is a connection.
    is_kept : bool
        Whether the connection had served an earlier call.
    is_writing : bool
        Whether the request was about to be written to the connection. False is certain: no byte has
        left. True does not tell whether the service received the request.
    body_bytes : int
        Bytes of the body that were about to be written.
    status : int
        Status of the response, 0 before its headers have arrived.
    failure : CallFailure or None
        Why there is no whole response.
    error : str
        Type of the client's error, empty without one.
    """

    local_port: int = 0
    is_kept: bool = False
    is_writing: bool = False
    body_bytes: int = 0
    status: int = 0
    failure: CallFailure | None = None
    error: str = ""

    def record_failure(self, failure: CallFailure, error: Exception) -> None:
        """Record why there is no whole response."""
        self.failure = failure
        self.error = type(error).__name__


_trace: ContextVar[CallTrace | None] = ContextVar("trace", default=None)


def current_trace() -> CallTrace | None:
    """Return the trace of the calls of this context, None if nobody follows them."""
    return _trace.get()


@contextmanager
def follow_calls(trace: CallTrace) -> Iterator[None]:
    """Fill in a trace from the calls made in this block, and by tasks that are created in it."""
    token = _trace.set(trace)
    try:
        yield
    finally:
        _trace.reset(token)


class TracedConnector(aiohttp.TCPConnector):
    """Connector that tells the local port of the connection of a call that is followed.

    The signals of aiohttp name no connection, so the port is read where the connection is handed
    over, before the request is written to it.
    """

    async def connect(self, *args: Any, **values: Any) -> aiohttp.connector.Connection:
        """Return a connection, a kept one if there is one."""
        connection = await super().connect(*args, **values)
        trace = current_trace()
        if trace is not None and connection.transport is not None:
            trace.local_port = _local_port(connection.transport.get_extra_info("sockname"))
        return connection


def _local_port(name: Any) -> int:
    return name[1] if isinstance(name, tuple) else 0


def make_trace_config() -> aiohttp.TraceConfig:
    """Return signal handlers that fill in the `CallTrace` given as ``trace_request_ctx``.

    aiohttp calls them before it writes headers or a part of the body, never after the bytes were
    sent or acknowledged.
    """
    config = aiohttp.TraceConfig()
    config.on_connection_create_end.append(_handle_new)
    config.on_connection_reuseconn.append(_handle_kept)
    config.on_request_headers_sent.append(_handle_headers)
    config.on_request_chunk_sent.append(_handle_chunk)
    return config


async def _handle_new(_session: Any, context: SimpleNamespace, _parameters: Any) -> None:
    context.trace_request_ctx.is_kept = False


async def _handle_kept(_session: Any, context: SimpleNamespace, _parameters: Any) -> None:
    context.trace_request_ctx.is_kept = True


async def _handle_headers(_session: Any, context: SimpleNamespace, _parameters: Any) -> None:
    context.trace_request_ctx.is_writing = True


async def _handle_chunk(
    _session: Any, context: SimpleNamespace, parameters: aiohttp.TraceRequestChunkSentParams
) -> None:
    context.trace_request_ctx.body_bytes += len(parameters.chunk)
