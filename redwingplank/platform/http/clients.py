"""Clients of the workers, the upstreams and the VM list over HTTP; bodies are JSON."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import TypeVar

import aiohttp
import msgspec

from redwingplank.platform import (
    OutcomeUnknownError,
    PlatformError,
    StaleEpochError,
    UnavailableError,
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
    VmList,
    VmListing,
    WorkerClient,
    WorkerInventory,
    WorkerReport,
    WorkerRequest,
)
from redwingplank.platform.http.calls import (
    CONNECT_TIMEOUT_S,
    reading,
    request_bytes,
    translate_errors,
)

__all__ = [
    "Adoption",
    "HttpUpstreamClient",
    "HttpVmList",
    "HttpWorkerClient",
]

Answer = TypeVar("Answer")

# Part of the error message with which a worker rejects a stale epoch.
STALE_EPOCH_MARK = "stale epoch"
REQUEST_ID_HEADER = "X-Request-Id"
LEAVING_HEADER = "x-upstream-leaving"
# Headers that concern a single connection. They are not forwarded, except the Content-Length of
# an answer.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class Adoption(msgspec.Struct, frozen=True):
    """The body of an adoption call: the new epoch and the length of task leases in seconds."""

    epoch: int
    lease_s: float


class HttpVmList(VmList):
    """Reads the VM list with ``GET /vms``.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session returned by `open_session`.
    base_url : str
        URL of the platform.
    timeout_s : float
        Time-out in seconds as for `request_bytes`.
    """

    def __init__(
        self, session: aiohttp.ClientSession, base_url: str, timeout_s: float = 1.0
    ) -> None:
        self._session = session
        self._url = f"{base_url.rstrip('/')}/vms"
        self._timeout_s = timeout_s

    async def read(self, failure_domain: str = "") -> VmListing:
        params = {"failure_domain": failure_domain} if failure_domain else {}
        body = await request_bytes(self._session, "GET", self._url, self._timeout_s, params=params)
        with reading(self._url):
            return msgspec.json.decode(body, type=VmListing)


class HttpWorkerClient(WorkerClient):
    """Calls workers with ``POST /adopt`` and ``POST /exchange``.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session returned by `open_session`.
    timeout_s : float
        Time-out in seconds as for `request_bytes`.
    """

    def __init__(self, session: aiohttp.ClientSession, timeout_s: float = 1.0) -> None:
        self._session = session
        self._timeout_s = timeout_s

    async def adopt(self, address: str, epoch: int, lease_s: float) -> WorkerInventory:
        return await self._post(address, "adopt", Adoption(epoch, lease_s), WorkerInventory)

    async def exchange(self, address: str, request: WorkerRequest) -> WorkerReport:
        return await self._post(address, "exchange", request, WorkerReport)

    async def _post(
        self, address: str, path: str, request: object, answer_type: type[Answer]
    ) -> Answer:
        url = f"http://{address}/{path}"
        body = msgspec.json.encode(request)
        try:
            answer = await request_bytes(self._session, "POST", url, self._timeout_s, body)
        except (UnavailableError, OutcomeUnknownError):
            raise
        except PlatformError as error:
            if STALE_EPOCH_MARK in str(error):
                raise StaleEpochError(str(error)) from error
            raise
        with reading(url):
            return msgspec.json.decode(answer, type=answer_type)


class HttpUpstreamClient(UpstreamClient):
    """Posts requests to upstreams and streams the answers.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session returned by `open_session`. Its limit of connections for each host bounds how
        many requests the entry has open at an upstream.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    @asynccontextmanager
    async def send(
        self, address: str, request: UpstreamRequest, timeout_s: float
    ) -> AsyncIterator[UpstreamAnswer]:
        url = f"http://{address}/{request.service}"
        timeout = aiohttp.ClientTimeout(connect=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        headers = _forwarded_headers(request)
        async with translate_errors("POST", url), asyncio.timeout(timeout_s):
            response = await self._session.post(
                url, data=request.body, headers=headers, timeout=timeout, allow_redirects=False
            )
        try:
            yield _read_head(response, url)
        finally:
            if not response.content.at_eof():
                response.close()
            response.release()


def _forwarded_headers(request: UpstreamRequest) -> dict[str, str]:
    headers = {
        name: value
        for name, value in request.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    }
    headers[REQUEST_ID_HEADER] = request.request_id
    headers["X-Organisation"] = request.organisation
    return headers


def _read_head(response: aiohttp.ClientResponse, url: str) -> UpstreamAnswer:
    headers: Mapping[str, str] = {
        name.lower(): value
        for name, value in response.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS or name.lower() == "content-length"
    }
    length = headers.get("content-length")
    return UpstreamAnswer(
        status=HTTPStatus(response.status).value,
        request_id=headers.get(REQUEST_ID_HEADER.lower(), ""),
        headers=headers,
        content_length=int(length) if length is not None else None,
        is_leaving=headers.get(LEAVING_HEADER) == "1",
        body=_stream_body(response, url),
    )


async def _stream_body(response: aiohttp.ClientResponse, url: str) -> AsyncIterator[bytes]:
    async with translate_errors("POST", url):
        async for chunk in response.content.iter_any():
            yield chunk
