"""One HTTP client for every service of the platform, with outcomes as types."""

import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp

from redwingplank.core import RedwingError

__all__ = ["NoAnswerError", "NotSentError", "Reply", "SiteClient", "SiteError"]

CONNECT_TIMEOUT_S = 1.0
"""One opening packet; its repetition comes after a second."""
CONNECTIONS_PER_HOST = 24
"""A worker takes 64 from all nodes together."""
IDLE_S = 20.0
"""New connections are priced: idle ones are kept."""
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
"""A connection that fell silent is noticed after 3 s."""
UNACKNOWLEDGED_MS = 3000
"""The same for bytes that were sent."""


class SiteError(RedwingError):
    """A call to the platform brought no answer."""


class NotSentError(SiteError):
    """The call never left: it certainly had no effect."""


class NoAnswerError(SiteError):
    """The call left and may have its effect, now or later."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Status and body of an answer."""

    status: int
    body: bytes

    @property
    def is_ok(self) -> bool:
        """Whether the call succeeded."""
        return 200 <= self.status < 300


class SiteClient:
    """Sends calls over connections that are kept, and dropped once they fall silent."""

    def __init__(self) -> None:
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=CONNECTIONS_PER_HOST,
            keepalive_timeout=IDLE_S,
            use_dns_cache=False,
            socket_factory=_make_socket,
        )
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False, raise_for_status=False
        )

    async def call(
        self,
        method: str,
        address: str,
        target: str,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Send one call and return its answer.

        Parameters
        ----------
        method, address, target : str
            ``"POST"``, ``"IP:PORT"`` and the path with its query.
        timeout_s : float
            Seconds for the whole call.
        body : bytes, optional
            JSON.
        headers : mapping, optional
            Besides the content type.

        Raises
        ------
        NotSentError
            No connection could be made.
        NoAnswerError
            The connection broke or the time was over.
        """
        sent_headers = {"Content-Type": "application/json", **(headers or {})}
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        url = f"http://{address}{target}"
        try:
            async with self._session.request(
                method, url, data=body, headers=sent_headers, timeout=timeout
            ) as response:
                return Reply(response.status, await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotSentError(f"cannot reach {address}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise NoAnswerError(f"no answer from {address}{target}: {error!r}") from error

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


def _make_socket(address_info: Any) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return made
