"""HTTP calls whose exceptions tell whether a failed call may have taken effect."""

import asyncio
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager
from http import HTTPStatus
from typing import Any

import aiohttp
import msgspec

from redwingplank.platform import OutcomeUnknownError, PlatformError, UnavailableError
from redwingplank.platform.answers import read_answer
from redwingplank.platform.site.http import REPEATED_METHODS

__all__ = [
    "open_call",
    "open_session",
    "raise_for_status",
    "reading",
    "request_bytes",
    "translate_errors",
]

CONNECT_TIMEOUT_S = 1.0
INCONCLUSIVE_STATUSES = frozenset({HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS, 499})
"""Statuses below 500 that a proxy gives of itself, or a gateway whose call was cancelled."""
_READ_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
    msgspec.MsgspecError,
)
SLOW_LINK_BYTES_PER_S = 500_000
"""Rate at which an upload is expected to progress at least."""


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


async def request_bytes(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_s: float,
    body: bytes | None = None,
    params: Mapping[str, str] | None = None,
) -> bytes:
    """Send a request and return the answer's body.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session returned by `open_session`.
    method, url : str
        HTTP method and address.
    timeout_s : float
        Time-out in seconds of connecting, of the wait for the headers of the answer, and of each
        wait for a further part of its body; that for the headers grows with the time of the upload
        over a slow link. A link takes its time for a large answer, and only a transfer that stops
        has failed.
    body : bytes, optional
        Body of the request, JSON.
    params : mapping of str to str, optional
        Query of the address.

    Raises
    ------
    UnavailableError
        As from `translate_errors`.
    OutcomeUnknownError
        The connection broke, a time-out expired, the answer is too long, or as from
        `raise_for_status`.
    PlatformError
        As from `raise_for_status`.
    """
    answer_s = timeout_s + len(body or b"") / SLOW_LINK_BYTES_PER_S
    timeout = aiohttp.ClientTimeout(
        connect=timeout_s, sock_connect=CONNECT_TIMEOUT_S, sock_read=answer_s
    )
    headers = {"Content-Type": "application/json"}
    # `sock_read` does not bound an upload that stops.
    headers_s = timeout_s + answer_s
    async with open_call(
        session, method, url, timeout, headers_s, params=params, data=body, headers=headers
    ) as response:
        answer = await read_answer(response)
        raise_for_status(response.status, answer, url)
        return answer


@asynccontextmanager
async def open_call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout: aiohttp.ClientTimeout,
    headers_s: float | None = None,
    whole_s: float | None = None,
    **options: Any,
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Send a request and yield the response, whose body may be read within the context.

    A redirect is an answer and is not followed: whoever gave it may have carried out the request,
    of which a failure to connect elsewhere says nothing.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session returned by `open_session`.
    method, url : str
        HTTP method and address.
    timeout : aiohttp.ClientTimeout
        Time-outs of the call, without a `total`, which would lose a cancellation of the task that
        comes with the time-out.
    headers_s, whole_s : float or None
        Time-outs in seconds until the headers of the response have arrived, and until the context
        ends; None for no limit.
    **options
        Passed to `aiohttp.ClientSession.request`.

    Raises
    ------
    UnavailableError, OutcomeUnknownError
        As from `translate_errors`.
    """
    async with (
        translate_errors(method, url),
        asyncio.timeout(whole_s),
        asyncio.timeout(headers_s) as until_headers,
        session.request(method, url, timeout=timeout, allow_redirects=False, **options) as response,
    ):
        until_headers.reschedule(None)
        yield response


@asynccontextmanager
async def translate_errors(method: str, url: str) -> AsyncIterator[None]:
    """Convert the exceptions of aiohttp into those of `redwingplank.platform`.

    Raises
    ------
    UnavailableError
        No connection could be established, so the call had no effect. Never raised for the methods
        in `REPEATED_METHODS`: the call may have been sent on an earlier connection.
    OutcomeUnknownError
        The connection broke, or a time-out expired.
    """
    try:
        yield
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        if method in REPEATED_METHODS:
            raise OutcomeUnknownError(f"no answer from {url}: {error}") from error
        raise UnavailableError(f"cannot connect to {url}: {error}; try again later") from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = str(error) or type(error).__name__
        raise OutcomeUnknownError(f"no whole answer from {url}: {reason}") from error


@contextmanager
def reading(url: str) -> Iterator[None]:
    """Convert the exceptions of code that reads an answer.

    Raises
    ------
    OutcomeUnknownError
        The answer cannot be read, so it does not say what the call did.
    """
    try:
        yield
    except _READ_ERRORS as error:
        raise OutcomeUnknownError(f"cannot read the answer of {url}: {error!r}") from error


def raise_for_status(status: int, answer: bytes, url: str) -> None:
    """Raise an exception for an answer with an error status; `answer` is its body.

    Raises
    ------
    OutcomeUnknownError
        For a 5xx status: the server failed, and the call may have had an effect. For a 3xx status
        and those in `INCONCLUSIVE_STATUSES`: it does not say whether the call had one.
    PlatformError
        For any other 4xx status: the server rejected the call, which had no effect.
    """
    if status < HTTPStatus.MULTIPLE_CHOICES:
        return
    text = answer[:200].decode("utf-8", "replace")
    is_rejection = HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR
    if is_rejection and status not in INCONCLUSIVE_STATUSES:
        raise PlatformError(f"{url} refused the call with status {status}: {text}")
    raise OutcomeUnknownError(f"{url} failed with status {status}: {text}")
