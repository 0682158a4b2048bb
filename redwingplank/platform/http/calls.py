"""HTTP calls whose exceptions tell whether a failed call may have taken effect."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus

import aiohttp

from redwingplank.platform import OutcomeUnknownError, PlatformError, UnavailableError

__all__ = ["open_session", "post_bytes", "raise_for_status", "translate_errors"]

CONNECT_TIMEOUT_S = 1.0


def open_session(connections_per_host: int = 64) -> aiohttp.ClientSession:
    """Return a client session that keeps its connections open between calls.

    Parameters
    ----------
    connections_per_host : int
        Largest number of connections to one address.
    """
    connector = aiohttp.TCPConnector(
        limit=0, limit_per_host=connections_per_host, keepalive_timeout=60.0
    )
    return aiohttp.ClientSession(connector=connector, auto_decompress=False)


async def post_bytes(
    session: aiohttp.ClientSession, url: str, body: bytes, timeout_s: float
) -> bytes:
    """Post a JSON body and return the answer's body.

    Raises
    ------
    UnavailableError
        No connection could be established, so the call had no effect.
    OutcomeUnknownError
        The connection broke, the call timed out, or the server answered with a 5xx status.
    PlatformError
        The server rejected the call with a 4xx status, so the call had no effect.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
    headers = {"Content-Type": "application/json"}
    async with (
        translate_errors(url),
        session.post(url, data=body, headers=headers, timeout=timeout) as response,
    ):
        answer = await response.read()
        raise_for_status(response.status, answer, url)
        return answer


@asynccontextmanager
async def translate_errors(url: str) -> AsyncIterator[None]:
    """Convert the exceptions of aiohttp into those of `redwingplank.platform`."""
    try:
        yield
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise UnavailableError(f"cannot connect to {url}: {error}; try again later") from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = str(error) or type(error).__name__
        raise OutcomeUnknownError(f"no whole answer from {url}: {reason}") from error


def raise_for_status(status: int, answer: bytes, url: str) -> None:
    """Raise an exception for an answer with an error status; `answer` is its body.

    Raises
    ------
    OutcomeUnknownError
        For a 5xx status: the server failed, and the call may have had an effect.
    PlatformError
        For a 4xx status: the server rejected the call, which had no effect.
    """
    if status < HTTPStatus.BAD_REQUEST:
        return
    text = answer[:200].decode("utf-8", "replace")
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        raise OutcomeUnknownError(f"{url} failed with status {status}: {text}")
    raise PlatformError(f"{url} refused the call with status {status}: {text}")
