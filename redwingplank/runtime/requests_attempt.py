"""One attempt to send a request to one upstream."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from redwingplank.core import Clock
from redwingplank.platform import (
    OutcomeUnknownError,
    UnavailableError,
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
)
from redwingplank.routing import FailureKind, Ran, Route, Router
from redwingplank.runtime.requests_body import AnswerCutError, BodyStream, SlowCallerError

__all__ = ["Attempt", "AttemptAnswer", "AttemptFailure", "AttemptLimits"]

REFUSED_HEADER = "x-upstream-refused"
REFUSED_STATUS = 503
RETRIED_STATUSES = frozenset({502, 503, 504})


@dataclass(frozen=True, slots=True)
class AttemptLimits:
    """Limits of what an attempt buffers and how long it waits for the caller.

    Parameters
    ----------
    max_whole_body_bytes : int
        Bodies up to this length are read to their end before the caller gets the answer; longer
        ones are streamed.
    buffer_bytes : int
        Maximum number of bytes buffered of a streamed body.
    stall_timeout_s : float
        Seconds without progress after which a streamed answer is aborted: this long while the
        caller does not read a full buffer, twice as long while the upstream sends nothing.
    """

    max_whole_body_bytes: int = 65_536
    buffer_bytes: int = 262_144
    stall_timeout_s: float = 5.0


@dataclass(frozen=True, slots=True)
class AttemptAnswer:
    """An upstream's answer, with a complete body or, if it is long, a stream."""

    route: Route
    status: int
    headers: Mapping[str, str]
    body: bytes | BodyStream


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """An attempt without an answer: why, and whether the upstream may have run the request."""

    route: Route
    kind: FailureKind
    ran: Ran
    detail: str


class Attempt:
    """Sends a request and reads its answer in a separate task.

    Parameters
    ----------
    route : Route
        Upstream and slot that the router assigned; the attempt frees the slot exactly once.
    request : UpstreamRequest
        Request to send.
    client : UpstreamClient
        Sends the request.
    router : Router
        Receives the outcome of the attempt.
    clock : Clock
        Source of the current time.
    limits : AttemptLimits
        Limits of buffering and waiting.
    on_free : callable
        Called after the attempt's slot was freed.
    """

    def __init__(
        self,
        route: Route,
        request: UpstreamRequest,
        client: UpstreamClient,
        router: Router,
        clock: Clock,
        limits: AttemptLimits,
        on_free: Callable[[], None],
    ) -> None:
        self.route = route
        self._request = request
        self._client = client
        self._router = router
        self._clock = clock
        self._limits = limits
        self._on_free = on_free
        self._is_answer_published = False
        self._stream = BodyStream(limits.buffer_bytes, limits.stall_timeout_s, self.cancel)
        self.result: asyncio.Future[AttemptAnswer | AttemptFailure] = asyncio.Future()
        self._task: asyncio.Task[None] | None = None

    def start(self, timeout_s: float) -> None:
        """Start to send the request; `result` is set within `timeout_s`."""
        self._router.record_start(self._clock.now_s(), self.route)
        self._task = asyncio.create_task(self._run(timeout_s))
        self._task.add_done_callback(self._on_task_done)

    def cancel(self) -> None:
        """Abort the attempt, which closes the connection and frees the slot."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self, timeout_s: float) -> None:
        try:
            await self._exchange(timeout_s)
        except UnavailableError as error:
            self._fail(FailureKind.NOT_CONNECTED, Ran.NO, str(error))
        except OutcomeUnknownError as error:
            self._fail(FailureKind.CUT, Ran.UNKNOWN, str(error))
        except TimeoutError:
            self._fail(
                FailureKind.TIMEOUT,
                Ran.UNKNOWN,
                "the time for the request is over",
            )
        except SlowCallerError as error:
            self._fail(FailureKind.CALLER_LEFT, Ran.YES, str(error))
        except asyncio.CancelledError:
            self._fail(FailureKind.CALLER_LEFT, Ran.UNKNOWN, "the attempt was given up")

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._fail(FailureKind.CUT, Ran.UNKNOWN, f"the attempt failed: {task.exception()!r}")
        elif not self.result.done():
            self._fail(FailureKind.CALLER_LEFT, Ran.UNKNOWN, "the attempt was given up")
        self._on_free()

    async def _exchange(self, timeout_s: float) -> None:
        async with (
            asyncio.timeout(timeout_s) as timeout,
            self._client.send(self.route.address, self._request, timeout_s) as answer,
        ):
            if answer.is_leaving:
                self._router.mark_leaving(self._clock.now_s(), self.route.upstream)
            refusal = self._check_refused(answer)
            if refusal is not None:
                self._fail(refusal.kind, refusal.ran, refusal.detail)
                return
            await self._read_body(answer, timeout)

    def _check_refused(self, answer: UpstreamAnswer) -> AttemptFailure | None:
        if answer.request_id != self._request.request_id:
            detail = f"{self.route.upstream} answered with the id of another request"
            return AttemptFailure(self.route, FailureKind.CROSSED, Ran.UNKNOWN, detail)
        if answer.status == REFUSED_STATUS and answer.headers.get(REFUSED_HEADER) == "1":
            detail = f"{self.route.upstream} refused the request"
            return AttemptFailure(self.route, FailureKind.REFUSED, Ran.NO, detail)
        return None

    async def _read_body(self, answer: UpstreamAnswer, timeout: asyncio.Timeout) -> None:
        received_bytes = 0
        async for chunk in answer.body:
            received_bytes += len(chunk)
            if self._is_answer_published:
                timeout.reschedule(
                    asyncio.get_running_loop().time() + 2 * self._limits.stall_timeout_s
                )
            elif received_bytes > self._limits.max_whole_body_bytes:
                self._publish_answer(answer, self._stream)
            await self._stream.put(chunk)
        if answer.content_length is not None and received_bytes != answer.content_length:
            detail = f"{received_bytes} of {answer.content_length} bytes of the answer arrived"
            raise OutcomeUnknownError(detail)
        self._finish(answer)

    def _finish(self, answer: UpstreamAnswer) -> None:
        self._stream.end()
        is_whole = not self._is_answer_published
        if answer.status in RETRIED_STATUSES:
            self._router.record_failure(self._clock.now_s(), self.route, FailureKind.SERVER_ERROR)
        else:
            self._router.record_success(self._clock.now_s(), self.route, is_sample=is_whole)
        if is_whole:
            self._publish_answer(answer, self._stream.pop_buffered())

    def _publish_answer(self, answer: UpstreamAnswer, body: bytes | BodyStream) -> None:
        self._is_answer_published = True
        if not self.result.done():
            self.result.set_result(AttemptAnswer(self.route, answer.status, answer.headers, body))

    def _fail(self, kind: FailureKind, ran: Ran, detail: str) -> None:
        self._router.record_failure(self._clock.now_s(), self.route, kind)
        self._stream.fail(AnswerCutError(detail))
        if not self.result.done():
            self.result.set_result(AttemptFailure(self.route, kind, ran, detail))
