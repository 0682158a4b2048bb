"""Forwards requests to other entries over the HTTP interface that callers use."""

from collections.abc import Mapping

import aiohttp
import msgspec

from redwingplank.platform import UnavailableError
from redwingplank.platform.answers import read_answer
from redwingplank.platform.http.calls import CONNECT_TIMEOUT_S, open_call, reading
from redwingplank.routing import CallerAnswer, CallerRequest, Problem, Ran
from redwingplank.runtime.requests_entries import EntryClient

__all__ = ["HttpEntryClient"]

DROPPED_HEADERS = frozenset({"connection", "transfer-encoding", "server", "date"})
PROBLEM_MEDIA_TYPE = "application/problem+json"


class _ProblemBody(msgspec.Struct):
    title: str = "problem"
    detail: str = ""


class HttpEntryClient(EntryClient):
    """Posts a caller's request to another entry and reads its whole answer.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that keeps connections open.
    addresses_by_entry : mapping of str to str
        ``"IP:PORT"`` at which each entry serves callers.
    """

    def __init__(
        self, session: aiohttp.ClientSession, addresses_by_entry: Mapping[str, str]
    ) -> None:
        self._session = session
        self._addresses_by_entry = addresses_by_entry

    async def forward_request(
        self, entry: str, call: CallerRequest, body: bytes, timeout_s: float
    ) -> CallerAnswer:
        address = self._addresses_by_entry.get(entry)
        if address is None:
            raise UnavailableError(f"no address of entry {entry} is known; serve it locally")
        path = f"/v1/organisations/{call.organisation}/services/{call.service}/requests"
        url = f"http://{address}{path}"
        timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)
        headers = _make_headers(call)
        async with open_call(
            self._session, "POST", url, timeout, whole_s=timeout_s, data=body, headers=headers
        ) as response:
            answer = await read_answer(response)
            with reading(url):
                return _read_answer(response, answer)


def _make_headers(call: CallerRequest) -> dict[str, str]:
    headers = {**call.headers, "X-Redwing-Hops": str(call.hops), "X-Request-Id": call.request_id}
    if call.idempotency_key is not None:
        headers["Idempotency-Key"] = call.idempotency_key
    if call.deadline_ms is not None:
        headers["X-Deadline-Ms"] = str(call.deadline_ms)
    return headers


def _read_answer(response: aiohttp.ClientResponse, body: bytes) -> CallerAnswer:
    ran = _read_ran(response.headers.get("X-Redwing-Ran", ""))
    retry_after = response.headers.get("Retry-After", "")
    if response.content_type == PROBLEM_MEDIA_TYPE:
        problem = msgspec.json.decode(body, type=_ProblemBody)
        return CallerAnswer(
            response.status,
            ran,
            problem=Problem(problem.title, problem.detail),
            retry_after_s=float(retry_after) if retry_after.isdecimal() else None,
        )
    headers = {
        name.lower(): value
        for name, value in response.headers.items()
        if name.lower() not in DROPPED_HEADERS
    }
    return CallerAnswer(response.status, ran, headers, body)


def _read_ran(text: str) -> Ran:
    return Ran(text) if text in set(Ran) else Ran.UNKNOWN
