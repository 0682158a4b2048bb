"""Server side of one HTTP connection, with limits of what its client may send and leave unread."""

import asyncio
import logging
from typing import Any, cast
from urllib.parse import urlsplit

import h11
import uvicorn
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.h11_impl import STATUS_PHRASES, H11Protocol
from uvicorn.server import ServerState

from redwingplank.platform.http.connections import ConnectionTable, ServerConnection
from redwingplank.platform.http.limits import HttpLimits, Refusal

__all__ = ["LimitedProtocol"]

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
URI_TOO_LONG = 414
HEADERS_TOO_LARGE = 431
BLANK = b"\r\n"
_LOGGER = logging.getLogger("redwingplank.http")
# What clients send is counted and not logged, as they could fill the log with it.
_LOGGER.setLevel(logging.ERROR)


class _LimitedParser(h11.Connection):
    """Parser of a connection that refuses heads which are too large.

    Parameters
    ----------
    limits : HttpLimits
        Limits of the server.
    """

    def __init__(self, limits: HttpLimits) -> None:
        super().__init__(h11.SERVER, limits.head_bytes)
        self._limits = limits
        self.refusal = BAD_REQUEST
        """Status with which the last input that was not accepted is refused."""

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that have been received and belong to no event yet."""
        return len(self.trailing_data[0])

    def next_event(self) -> Any:
        """Return the next event, as the base class does.

        Raises
        ------
        h11.RemoteProtocolError
            If the client breaks the protocol or a limit; `refusal` is the status for it.
        """
        try:
            event = super().next_event()
            return self._check(event) if isinstance(event, h11.Request) else event
        except h11.RemoteProtocolError as error:
            self.refusal = error.error_status_hint
            raise

    def _check(self, request: h11.Request) -> h11.Request:
        """Return a request with the path as its target, which clients may send as a whole URL."""
        if len(request.headers) > self._limits.header_lines:
            raise h11.RemoteProtocolError("too many header lines", HEADERS_TOO_LARGE)
        if len(request.target) > self._limits.path_bytes:
            raise h11.RemoteProtocolError("the path is too long", URI_TOO_LONG)
        if request.target.startswith((b"http://", b"https://")):
            return _with_path_only(request)
        return request


class _LimitedFlow(FlowControl):
    """Reads nothing more from a client whose next request has arrived before its turn."""

    def __init__(self, transport: asyncio.Transport, parser: _LimitedParser) -> None:
        super().__init__(transport)
        self.parser = parser

    def resume_reading(self) -> None:
        is_ahead = self.parser.their_state is h11.DONE and self.parser.buffered_bytes > 0
        if not is_ahead:
            super().resume_reading()


class LimitedProtocol(H11Protocol, ServerConnection):
    """An HTTP connection of a client.

    Parameters
    ----------
    limits : HttpLimits
        Limits of the server.
    table : ConnectionTable
        All connections of the server.
    config, server_state, app_state, _loop
        Those of the base class, which the server gives.
    """

    def __init__(
        self,
        limits: HttpLimits,
        table: ConnectionTable,
        config: uvicorn.Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        super().__init__(config, server_state, app_state, _loop)
        self.logger = _LOGGER
        self._limits = limits
        self._table = table
        self._parser = self.conn = _LimitedParser(limits)
        self._blank_bytes = 0
        """Number of bytes of empty lines since the last request."""
        self._awaited: object = None
        """State of the parser whose end `_arrival_timer` waits for, None for none."""
        self._arrival_timer: asyncio.TimerHandle | None = None
        self._unread_timer: asyncio.TimerHandle | None = None
        self._unread_bytes = 0
        """Bytes of answers that were waiting when `_unread_timer` was last started."""

    # Interface of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve a client, unless the server has no place for its connection."""
        chosen = cast(asyncio.Transport, transport)
        super().connection_made(chosen)
        self.flow = _LimitedFlow(chosen, self._parser)
        chosen.set_write_buffer_limits(high=self._limits.answer_bytes)
        if not self._table.add(self):
            chosen.abort()
            return
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._table.remove(self)
        self._stop_arrival_timer()
        self._stop_unread_timer()
        self._unset_keepalive_if_required()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Handle what the client has sent."""
        if self._parser.their_state in (h11.MUST_CLOSE, h11.CLOSED):
            # The client has said that it sends no further request.
            return
        wanted = self._skip_blank_lines(data)
        if not wanted:
            return
        super().data_received(wanted)
        self._note_input()

    def pause_writing(self) -> None:
        """Wait until the client takes an answer, for a limited time."""
        super().pause_writing()
        self._start_unread_timer()

    def resume_writing(self) -> None:
        """Go on with the answers."""
        self._stop_unread_timer()
        super().resume_writing()

    # Interface of the base class and of the table.

    def on_response_complete(self) -> None:
        """Go on with the next request of the client, if it has arrived."""
        self._table.mark_idle(self)
        has_next = self._skip_blank_lines_behind()
        super().on_response_complete()
        if has_next:
            self.handle_events()
        if self.transport.is_closing():
            return
        if self._parser.their_state is h11.IDLE:
            self.flow.resume_reading()
        self._note_input()

    def send_400_response(self, msg: str) -> None:
        """Refuse what the client has sent, and close the connection.

        It is closed without an answer if that could be taken for the answer to a request that is
        being handled.
        """
        cycle = self.cycle
        is_handled = (
            cycle is not None
            and not cycle.response_complete
            and (cycle.response_started or not cycle.more_body)
        )
        if is_handled or self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._table.on_refusal(Refusal.REQUEST)
            self.transport.close()
            return
        self._refuse(self._parser.refusal, msg)

    def end(self) -> None:
        """Close the connection at once, without an answer."""
        self.transport.abort()

    # Limits.

    def _skip_blank_lines(self, data: bytes) -> bytes:
        """Return what follows the empty lines before a request; too many of them are refused."""
        if self._parser.their_state is not h11.IDLE or self._parser.buffered_bytes:
            return data
        wanted = data.lstrip(BLANK)
        self._blank_bytes += len(data) - len(wanted)
        if self._blank_bytes > self._limits.blank_bytes:
            self._refuse(BAD_REQUEST, "send a request")
            return b""
        return wanted

    def _skip_blank_lines_behind(self) -> bool:
        """Skip empty lines that have arrived behind the last request; return whether more has.

        The parser takes them for an invalid request, so that the rest goes to a new one.
        """
        states = {self._parser.our_state, self._parser.their_state}
        rest, _ = self._parser.trailing_data
        if states != {h11.DONE} or rest[:1] not in (b"\r", b"\n"):
            return False
        self._parser = self.conn = _LimitedParser(self._limits)
        cast(_LimitedFlow, self.flow).parser = self._parser
        wanted = self._skip_blank_lines(rest)
        if wanted:
            self._parser.receive_data(wanted)
        return bool(wanted)

    def _refuse(self, status: int, problem: str, reason: Refusal = Refusal.REQUEST) -> None:
        self._table.on_refusal(reason)
        body = problem.encode("ascii")
        headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        response = h11.Response(status_code=status, headers=headers, reason=STATUS_PHRASES[status])
        for event in (response, h11.Data(data=body), h11.EndOfMessage()):
            self.transport.write(self._parser.send(event) or b"")
        self.transport.close()

    def _note_input(self) -> None:
        """Record what is buffered, and until when the rest of it has to arrive."""
        state = self._parser.their_state
        buffered_bytes = self._parser.buffered_bytes
        is_handled = self.cycle is not None and not self.cycle.response_complete
        if is_handled:
            self._blank_bytes = 0
            self._table.mark_busy(self)
        body_bytes = len(self.cycle.body) if is_handled else 0
        self._table.set_buffered(self, buffered_bytes + body_bytes)
        if self.transport.is_closing():
            return
        if state is h11.IDLE and buffered_bytes:
            self._await_arrival(h11.IDLE, self._limits.head_s)
        elif state is h11.SEND_BODY:
            self._await_arrival(h11.SEND_BODY, self._limits.body_s)
        else:
            self._stop_arrival_timer()

    def _await_arrival(self, state: object, limit_s: float) -> None:
        if self._awaited is state:
            return
        self._stop_arrival_timer()
        self._awaited = state
        loop = asyncio.get_running_loop()
        self._arrival_timer = loop.call_later(limit_s, self._end_late_request)

    def _end_late_request(self) -> None:
        """Refuse a head that has not arrived in time; close a connection whose body has not."""
        if self._awaited is h11.IDLE and self._parser.our_state is h11.IDLE:
            self._refuse(REQUEST_TIMEOUT, "the request did not arrive in time", Refusal.LATE)
        else:
            self._table.on_refusal(Refusal.LATE)
            self.transport.close()

    def _start_unread_timer(self) -> None:
        self._unread_bytes = self.transport.get_write_buffer_size()
        loop = asyncio.get_running_loop()
        self._unread_timer = loop.call_later(self._limits.unread_answer_s, self._end_if_unread)

    def _end_if_unread(self) -> None:
        if self.transport.get_write_buffer_size() < self._unread_bytes:
            self._start_unread_timer()
            return
        self._table.on_refusal(Refusal.UNREAD)
        self.end()

    def _stop_arrival_timer(self) -> None:
        self._awaited = None
        if self._arrival_timer is not None:
            self._arrival_timer.cancel()
            self._arrival_timer = None

    def _stop_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _start_idle_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self.timeout_keep_alive_task = loop.call_later(
            self._limits.idle_s, self.timeout_keep_alive_handler
        )


def _with_path_only(request: h11.Request) -> h11.Request:
    parts = urlsplit(request.target)
    query = b"?" + parts.query if parts.query else b""
    return h11.Request(
        method=request.method,
        headers=request.headers,
        target=(parts.path or b"/") + query,
        http_version=request.http_version,
    )
