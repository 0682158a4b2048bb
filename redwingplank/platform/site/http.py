"""HTTP client for all services of the platform; each kind of failure has an exception type."""

import asyncio
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import aiohttp

from redwingplank.core import RedwingError
from redwingplank.platform.answers import ANSWER_LIMIT_BYTES, read_answer
from redwingplank.platform.site.call_trace import (
    CallFailure,
    CallTrace,
    TracedConnector,
    current_trace,
    make_trace_config,
)

__all__ = ["NoAnswerError", "NotSentError", "Reply", "SiteClient", "SiteError"]

CONNECT_TIMEOUT_S = 1.0
"""Time for one SYN packet: it is sent again only after 1 s."""
CONNECTIONS_PER_HOST = 24
"""Largest number of connections to one service, unless a client is made for fewer."""
IDLE_S = 20.0
"""How long an idle connection is kept open. The platform charges for new connections."""
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
"""With the two settings above, a connection whose peer does not answer is closed after 3 s."""
REFUSALS = frozenset({HTTPStatus.BAD_REQUEST, HTTPStatus.FORBIDDEN, HTTPStatus.TOO_MANY_REQUESTS})
"""Statuses of calls that a service has not carried out."""
REPEATED_METHODS = frozenset({"DELETE", "GET"})
"""Methods of calls that aiohttp sends once more if their kept connection broke."""
UNACKNOWLEDGED_MS = 3000
"""A connection is closed if sent bytes are not acknowledged within this time."""


class SiteError(RedwingError):
    """A call to the platform was not answered.

    Parameters
    ----------
    reason : str
        What happened.
    is_broken : bool
        Whether the service refused or broke the connection, rather than stayed silent.
    """

    def __init__(self, reason: str, is_broken: bool = False) -> None:
        self.is_broken = is_broken
        super().__init__(reason)


class NotSentError(SiteError):
    """The call was not sent, so that it certainly had no effect."""


class NoAnswerError(SiteError):
    """The call was sent without a usable answer: it may have taken effect, or may do so later."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Status and body of an HTTP response."""

    status: int
    body: bytes

    @property
    def is_ok(self) -> bool:
        """Whether the call succeeded."""
        return 200 <= self.status < 300


class SiteClient:
    """Sends calls over persistent connections, which are closed when the peer stops answering.

    Parameters
    ----------
    connections_per_host : int
        Largest number of connections to one address; further calls wait.
    answer_bytes : int
        Length of the largest answer that is accepted.
    """

    def __init__(
        self,
        connections_per_host: int = CONNECTIONS_PER_HOST,
        answer_bytes: int = ANSWER_LIMIT_BYTES,
    ) -> None:
        self._answer_bytes = answer_bytes
        connector = TracedConnector(
            limit=0,
            limit_per_host=connections_per_host,
            keepalive_timeout=IDLE_S,
            use_dns_cache=False,
            socket_factory=_make_socket,
        )
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False, raise_for_status=False
        )
        self._traced_session = aiohttp.ClientSession(
            connector=connector,
            connector_owner=False,
            auto_decompress=False,
            raise_for_status=False,
            trace_configs=[make_trace_config()],
        )
        """Shares the connections; apart, so that only calls that are followed pay for it."""

    async def call(
        self,
        method: str,
        address: str,
        target: str,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        on_headers: Callable[[], None] | None = None,
    ) -> Reply:
        """Send a request and return the response.

        Parameters
        ----------
        method, address, target : str
            HTTP method such as ``"POST"``, ``"IP:PORT"``, and the path with its query.
        timeout_s : float
            Time-out in seconds: of the whole call, or with `on_headers` of connecting, of the wait
            for the headers, and of each wait for a further part of the body.
        body : bytes, optional
            Request body, JSON.
        headers : mapping, optional
            Headers in addition to the content type.
        on_headers : callable, optional
            Called when the headers of the response have arrived, unless it is a refusal or an error
            of the service. For responses whose size has no small bound: a slow link takes its time,
            and only a transfer that stops has failed.

        Raises
        ------
        NotSentError
            The connection could not be established. Never raised for the methods in
            `REPEATED_METHODS`: the call may have been sent on an earlier connection.
        NoAnswerError
            The connection broke, a time-out expired, or the answer is too long.
        """
        sent_headers = {"Content-Type": "application/json", **(headers or {})}
        # The `total` of aiohttp would lose a cancellation of the task that comes with the time-out.
        whole_s = timeout_s if on_headers is None else None
        timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)
        if on_headers is not None:
            timeout = aiohttp.ClientTimeout(
                connect=timeout_s, sock_connect=CONNECT_TIMEOUT_S, sock_read=timeout_s
            )
        url = f"http://{address}{target}"
        trace = current_trace()
        session = self._session if trace is None else self._traced_session
        try:
            async with (
                asyncio.timeout(whole_s),
                session.request(
                    method,
                    url,
                    data=body,
                    headers=sent_headers,
                    timeout=timeout,
                    allow_redirects=False,
                    trace_request_ctx=trace,
                ) as response,
            ):
                if trace is not None:
                    trace.status = response.status
                if on_headers is not None and _is_answer(response.status):
                    on_headers()
                return Reply(response.status, await read_answer(response, self._answer_bytes))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            _record(trace, CallFailure.NOT_CONNECTED, error)
            if method in REPEATED_METHODS:
                raise NoAnswerError(f"no answer from {address}{target}: {error!r}") from error
            is_refused = isinstance(error, aiohttp.ClientConnectorError)
            raise NotSentError(f"cannot reach {address}: {error}", is_refused) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            kind = _kind_of(error)
            _record(trace, kind, error)
            reason = f"no answer from {address}{target}: {error!r}"
            raise NoAnswerError(reason, kind is CallFailure.BROKEN) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._traced_session.close()
        await self._session.close()


def _is_answer(status: int) -> bool:
    """Return whether a service has handled the call, whatever the result."""
    return status < HTTPStatus.INTERNAL_SERVER_ERROR and status not in REFUSALS


def _record(trace: CallTrace | None, failure: CallFailure, error: Exception) -> None:
    if trace is not None:
        trace.record_failure(failure, error)


def _kind_of(error: Exception) -> CallFailure:
    """Tell a time-out of the call from an error of the socket, which has a number."""
    is_timeout = isinstance(error, TimeoutError) and error.errno is None
    return CallFailure.TIMED_OUT if is_timeout else CallFailure.BROKEN


def _make_socket(address_info: Any) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    new_socket = socket.socket(family, kind, protocol)
    new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return new_socket
