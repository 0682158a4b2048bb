"""Stand-in upstreams: how they handle requests, and switches that make them fail.

`UpstreamBehaviour` holds the behaviour of one upstream for any transport;
`MemoryUpstreamClient` calls it in process.
"""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash

from redwingplank.core import Clock, RedwingError
from redwingplank.platform import (
    OutcomeUnknownError,
    UnavailableError,
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
)
from redwingplank.standin.history import History, HistoryEvent, HistoryEventKind

__all__ = [
    "ConnectionCutError",
    "MemoryUpstreamClient",
    "StandinAnswer",
    "UpstreamBehaviour",
    "UpstreamFault",
    "answer_body",
]

CHUNK_BYTES = 16_384
REFUSED_HEADER = "x-upstream-refused"


class ConnectionCutError(RedwingError):
    """Raised when the stand-in has to close the connection without an answer."""


class UpstreamFault(StrEnum):
    """Fault that affects one request."""

    REFUSE = "refuse"
    CUT_BEFORE_RUN = "cut_before_run"
    CUT_AFTER_RUN = "cut_after_run"
    CUT_BODY = "cut_body"
    SHORT_BODY = "short_body"
    WRONG_ID = "wrong_id"
    ANSWER_TWICE = "answer_twice"
    NEVER_ANSWER = "never_answer"
    SERVER_ERROR = "server_error"


@dataclass(frozen=True, slots=True)
class StandinAnswer:
    """An answer, and the way in which the transport must send it.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : mapping of str to str
        Headers by lower-case name, including ``x-request-id``.
    body : bytes
        Bytes of the body; shorter than `content_length` with `UpstreamFault.SHORT_BODY`.
    content_length : int
        Length in bytes that the answer declares.
    cut_after_bytes : int or None
        Number of bytes of the body after which the connection breaks; None if it does not.
    is_sent_twice : bool
        Whether the same answer is sent again on the connection.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    content_length: int
    cut_after_bytes: int | None = None
    is_sent_twice: bool = False


@dataclass(slots=True)
class UpstreamBehaviour:
    """State of one upstream; mutable, so that a test can change it during a run.

    Parameters
    ----------
    name : str
        The VM's name.
    clock : Clock
        Clock of the times in the history.
    history : History
        History that starts and ends of requests are recorded in.
    slots : int
        Limit of concurrent requests; further ones are refused.
    service_time_s : float
        Seconds that each request takes.
    answer_bytes : int
        Least length of an answer's body in bytes; an echo of the request is padded to it.
    is_reachable : bool
        Whether connections are accepted.
    is_leaving : bool
        Whether the upstream refuses new requests and says in every answer that it is leaving.
    is_run_to_end : bool
        Whether a request continues to run after its connection was closed.
    cut_after_bytes : int
        Bytes of the body that are sent with `UpstreamFault.CUT_BODY` or
        `UpstreamFault.SHORT_BODY`.
    faults : list of UpstreamFault
        Faults of the next requests, one for each request, in this order.
    standing_fault : UpstreamFault or None
        Fault of every request while `faults` is empty.
    """

    name: str
    clock: Clock
    history: History
    slots: int = 8
    service_time_s: float = 0.0
    answer_bytes: int = 0
    is_reachable: bool = True
    is_leaving: bool = False
    is_run_to_end: bool = False
    cut_after_bytes: int = 0
    faults: list[UpstreamFault] = field(default_factory=list)
    standing_fault: UpstreamFault | None = None
    running: int = 0
    max_running: int = 0
    counts_by_outcome: Counter[str] = field(default_factory=Counter)

    async def serve(self, request: UpstreamRequest) -> StandinAnswer:
        """Run a request and return its answer.

        Raises
        ------
        ConnectionCutError
            If the connection must be closed without an answer.
        """
        fault = self.faults.pop(0) if self.faults else self.standing_fault
        if fault is UpstreamFault.CUT_BEFORE_RUN:
            self.counts_by_outcome["cut_before_run"] += 1
            raise ConnectionCutError(f"{self.name} closed the connection before it ran the request")
        if self.is_leaving or fault is UpstreamFault.REFUSE or self.running >= self.slots:
            self.counts_by_outcome["refused"] += 1
            return self._make_refusal(request)
        if self.is_run_to_end:
            run = asyncio.ensure_future(self._run(request, fault))
            return await asyncio.shield(run)
        return await self._run(request, fault)

    async def _run(self, request: UpstreamRequest, fault: UpstreamFault | None) -> StandinAnswer:
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self._record(HistoryEventKind.REQUEST_STARTED, request, "", "")
        detail, digest = "left", ""
        try:
            if fault is UpstreamFault.NEVER_ANSWER:
                await asyncio.Event().wait()
            await asyncio.sleep(self.service_time_s)
            body = answer_body(request, self.answer_bytes)
            detail, digest = fault or "answered", xxhash.xxh3_64_hexdigest(body)
        finally:
            self.running -= 1
            self.counts_by_outcome[detail] += 1
            self._record(HistoryEventKind.REQUEST_ENDED, request, digest, detail)
        if fault is UpstreamFault.CUT_AFTER_RUN:
            raise ConnectionCutError(f"{self.name} closed the connection after it ran the request")
        return self._make_answer(request, body, fault)

    def _make_answer(
        self, request: UpstreamRequest, body: bytes, fault: UpstreamFault | None
    ) -> StandinAnswer:
        is_wrong = fault is UpstreamFault.WRONG_ID
        returned_id = f"other-{request.request_id}" if is_wrong else request.request_id
        is_short = fault is UpstreamFault.SHORT_BODY
        return StandinAnswer(
            status=500 if fault is UpstreamFault.SERVER_ERROR else 200,
            headers=self._make_headers(returned_id),
            body=body[: self.cut_after_bytes] if is_short else body,
            content_length=len(body),
            cut_after_bytes=self.cut_after_bytes if fault is UpstreamFault.CUT_BODY else None,
            is_sent_twice=fault is UpstreamFault.ANSWER_TWICE,
        )

    def _make_refusal(self, request: UpstreamRequest) -> StandinAnswer:
        headers = {**self._make_headers(request.request_id), REFUSED_HEADER: "1"}
        return StandinAnswer(503, headers, b"", 0)

    def _make_headers(self, request_id: str) -> dict[str, str]:
        headers = {"x-request-id": request_id, "content-type": "application/octet-stream"}
        if self.is_leaving:
            headers["x-upstream-leaving"] = "1"
        return headers

    def _record(
        self, kind: HistoryEventKind, request: UpstreamRequest, digest: str, detail: str
    ) -> None:
        self.history.add(
            HistoryEvent(
                time_s=self.clock.now_s(),
                kind=kind,
                vm=self.name,
                subject=request.request_id,
                organisation=request.organisation,
                key=_find_header(request.headers, "idempotency-key"),
                digest=digest,
                detail=detail,
            )
        )


class MemoryUpstreamClient(UpstreamClient):
    """Calls stand-in upstreams in the same process.

    Parameters
    ----------
    upstreams_by_address : mapping of str to UpstreamBehaviour
        Upstreams by ``"IP:PORT"``; shared, and may change during use.

    Notes
    -----
    The second copy of an answer that is sent twice stays on its connection, so the next request to
    that upstream receives it as its answer.
    """

    def __init__(self, upstreams_by_address: Mapping[str, UpstreamBehaviour]) -> None:
        self.upstreams_by_address = upstreams_by_address
        self._stray_answers_by_address: dict[str, StandinAnswer] = {}

    @asynccontextmanager
    async def send(
        self, address: str, request: UpstreamRequest, timeout_s: float
    ) -> AsyncIterator[UpstreamAnswer]:
        upstream = self.upstreams_by_address.get(address)
        if upstream is None or not upstream.is_reachable:
            raise UnavailableError(f"cannot connect to {address}; try another upstream")
        try:
            async with asyncio.timeout(timeout_s):
                answer = await upstream.serve(request)
        except (TimeoutError, ConnectionCutError) as error:
            raise OutcomeUnknownError(f"no answer from {address}; it may have run") from error
        stray = self._stray_answers_by_address.pop(address, None)
        if answer.is_sent_twice:
            self._stray_answers_by_address[address] = answer
        yield _to_upstream_answer(stray or answer)


def answer_body(request: UpstreamRequest, length_bytes: int = 0) -> bytes:
    """Return the body that answers a request: an echo of it, padded to `length_bytes`.

    Examples
    --------
    >>> answer_body(UpstreamRequest("7", "bureau", "proof", b"a"))
    b'bureau/proof a'
    """
    echo = f"{request.organisation}/{request.service} ".encode() + request.body
    return echo + b"." * max(0, length_bytes - len(echo))


def _to_upstream_answer(answer: StandinAnswer) -> UpstreamAnswer:
    return UpstreamAnswer(
        status=answer.status,
        request_id=answer.headers.get("x-request-id", ""),
        headers=answer.headers,
        content_length=answer.content_length,
        is_leaving=answer.headers.get("x-upstream-leaving") == "1",
        body=_stream(answer),
    )


async def _stream(answer: StandinAnswer) -> AsyncIterator[bytes]:
    end = len(answer.body) if answer.cut_after_bytes is None else answer.cut_after_bytes
    for start in range(0, end, CHUNK_BYTES):
        yield answer.body[start : min(end, start + CHUNK_BYTES)]
        await asyncio.sleep(0)
    if answer.cut_after_bytes is not None:
        raise OutcomeUnknownError("the connection broke within the answer")


def _find_header(headers: Mapping[str, str], name: str) -> str:
    return next((value for key, value in headers.items() if key.lower() == name), "")
