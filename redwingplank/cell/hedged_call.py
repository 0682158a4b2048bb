"""One call of the store that is repeated while no answer to it begins."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from redwingplank.cell.clocks import now_s
from redwingplank.cell.copy_record import CallEnd, CallRecord, CopyRecord, CopyResult
from redwingplank.platform.site.call_trace import CallFailure, CallTrace, follow_calls
from redwingplank.platform.site.http import NoAnswerError, NotSentError
from redwingplank.platform.site.store import StoreRefusedError

__all__ = ["MAX_COPIES", "CallObserver", "HedgedCall", "SendCopy"]

MAX_COPIES = 6
"""Largest number of copies of one call."""

_Result = TypeVar("_Result")
_STORE_ERRORS = (NotSentError, NoAnswerError, StoreRefusedError)

SendCopy = Callable[[float, Callable[[], None]], Awaitable[_Result]]
"""Sends a copy with a time-out in seconds, and calls a function when its answer begins."""

CallObserver = Callable[[CallRecord], None]
"""Called once, when a call has ended."""

_RESULTS_BY_FAILURE = {
    CallFailure.BROKEN: CopyResult.BROKEN,
    CallFailure.NOT_CONNECTED: CopyResult.BROKEN,
    CallFailure.TIMED_OUT: CopyResult.NO_ANSWER,
}


@dataclass(slots=True, eq=False)
class _Copy(Generic[_Result]):
    future: asyncio.Future[_Result]
    sent_s: float
    trace: CallTrace | None = None
    has_begun: bool = False
    ended_s: float | None = None
    ended_as: CopyResult | None = None
    """Why the copy was cancelled, None if it ended by itself."""

    def note_end(self, _: asyncio.Future[_Result]) -> None:
        """Note the time at which the copy ended by itself."""
        if self.ended_s is None:
            self.ended_s = now_s()

    def abandon(self, result: CopyResult) -> None:
        """Cancel the copy, which has no result yet unless it has ended by itself."""
        if self.ended_as is not None:
            return
        if not self.future.done():
            self.ended_as = result
            self.ended_s = now_s()
        self.future.cancel()
        self.future.add_done_callback(_retrieve_error)

    def result(self) -> CopyResult:
        """Return what became of the copy, which has ended or was abandoned."""
        if self.ended_as is not None:
            return self.ended_as
        if self.future.cancelled():
            return CopyResult.CANCELLED
        error = self.future.exception()
        if error is None:
            return CopyResult.ANSWERED
        if isinstance(error, NotSentError):
            return CopyResult.NOT_SENT
        if isinstance(error, StoreRefusedError):
            return CopyResult.REFUSED
        if not isinstance(error, NoAnswerError):
            return CopyResult.FAILED
        failure = self.trace.failure if self.trace is not None else None
        return CopyResult.UNUSABLE if failure is None else _RESULTS_BY_FAILURE[failure]

    def record(self, is_deciding: bool, ended_s: float) -> CopyRecord:
        """Return the record of the copy."""
        assert self.trace is not None
        return CopyRecord(
            sent_s=self.sent_s,
            ended_s=ended_s if self.ended_s is None else self.ended_s,
            result=self.result(),
            is_deciding=is_deciding,
            status=self.trace.status,
            error=self.trace.error,
            local_port=self.trace.local_port,
            is_kept=self.trace.is_kept,
            is_writing=self.trace.is_writing,
            body_bytes=self.trace.body_bytes,
        )

    @property
    def has_no_effect(self) -> bool:
        """Whether the copy certainly was not carried out and never will be."""
        future = self.future
        if not future.done() or future.cancelled():
            return False
        return isinstance(future.exception(), (NotSentError, StoreRefusedError))


class HedgedCall(Generic[_Result]):
    """A call and its copies; the first answer that begins is received, however long that takes.

    Copies that are under way when an answer begins are cancelled, and none is sent while it is
    received: on a slow link they would only delay it. A refusal is no answer: it says what became
    of its own copy, and an earlier one may have been carried out.

    Parameters
    ----------
    send_copy : callable
        Sends one copy. It ends by itself if the transfer of its answer makes no progress for
        `timeout_s`, also for a copy that is sent late. It reports the begin of an answer, but not
        that of a refusal.
    timeout_s : float
        Seconds within which an answer has to begin.
    delay_s : float
        Seconds without the begin of an answer after which a further copy is sent.
    on_begun : callable
        Called when an answer begins, with the seconds since its copy was sent, and with whether it
        overtook an earlier copy.
    observe : callable, optional
        Called with the record of the call when it has ended, also when it was cancelled. Without
        it no records are made.
    """

    def __init__(
        self,
        send_copy: SendCopy[_Result],
        timeout_s: float,
        delay_s: float,
        on_begun: Callable[[float, bool], None],
        observe: CallObserver | None = None,
    ) -> None:
        self._send_copy = send_copy
        self._timeout_s = timeout_s
        self._deadline_s = now_s() + timeout_s
        self._delay_s = delay_s
        self._on_begun = on_begun
        self._copies: list[_Copy[_Result]] = []
        self._observe = observe
        self._sent: list[_Copy[_Result]] = []
        self._failure: Exception | None = None
        self._deciding: _Copy[_Result] | None = None
        self._end = CallEnd.DEADLINE

    async def run(self) -> _Result:
        """Return the first answer.

        Raises
        ------
        NoAnswerError
            No copy was answered, and at least one may have been carried out.
        NotSentError, StoreRefusedError
            Every copy that was sent failed without effect.
        """
        try:
            return await self._run()
        except asyncio.CancelledError:
            self._settle(CallEnd.CANCELLED)
            self._cancel(self._copies, CopyResult.CANCELLED)
            raise
        finally:
            self._cancel(self._copies, CopyResult.NO_ANSWER)
            self._report()

    async def _run(self) -> _Result:
        while True:
            sent_s = self._send()
            is_last = len(self._sent) == MAX_COPIES
            until_s = self._deadline_s if is_last else sent_s + self._delay_s
            answered = await self._wait_for_answer(min(until_s, self._deadline_s))
            if answered is not None:
                self._settle(CallEnd.COPY, answered)
                return answered.future.result()
            if self._failure is not None and not self._pending():
                raise self._failure
            if is_last or now_s() >= self._deadline_s:
                self._settle(CallEnd.DEADLINE)
                raise NoAnswerError("no copy of the call was answered in time")

    def _settle(self, end: CallEnd, deciding: _Copy[_Result] | None = None) -> None:
        """Note what decides the call as far as is known."""
        self._end = end
        self._deciding = deciding

    def _report(self) -> None:
        if self._observe is None:
            return
        ended_s = now_s()
        copies = tuple(copy.record(copy is self._deciding, ended_s) for copy in self._sent)
        self._observe(CallRecord(copies, self._end))

    def _send(self) -> float:
        sent_s = now_s()

        def handle_begun() -> None:
            self._handle_begun(copy)

        call = self._send_copy(self._timeout_s, handle_begun)
        copy = self._start(call, sent_s)
        self._sent.append(copy)
        self._copies.append(copy)
        return sent_s

    def _start(self, call: Awaitable[_Result], sent_s: float) -> _Copy[_Result]:
        if self._observe is None:
            return _Copy(asyncio.ensure_future(call), sent_s)
        trace = CallTrace()
        with follow_calls(trace):
            copy = _Copy(asyncio.ensure_future(call), sent_s, trace)
        copy.future.add_done_callback(copy.note_end)
        return copy

    def _handle_begun(self, copy: _Copy[_Result]) -> None:
        """Cancel all other copies, because the answer to this one is being received."""
        if copy.has_begun or copy not in self._copies:
            return
        copy.has_begun = True
        others = [other for other in self._copies if other is not copy]
        is_overtaking = any(
            other.sent_s < copy.sent_s and not other.future.done() for other in others
        )
        if not all(other.has_no_effect for other in others):
            self._failure = NoAnswerError("copies of the call were dropped without an answer")
            self._settle(CallEnd.DROPPED)
        self._copies = [copy]
        self._cancel(others, CopyResult.DROPPED)
        self._on_begun(now_s() - copy.sent_s, is_overtaking)

    def _pending(self) -> list[asyncio.Future[_Result]]:
        return [copy.future for copy in self._copies if not copy.future.done()]

    async def _wait_for_answer(self, until_s: float) -> _Copy[_Result] | None:
        """Return the first answered copy, or None after `until_s` if no answer has begun.

        A copy without an answer may have been carried out, so its failure goes before others.
        """
        while True:
            pending = self._pending()
            left_s = until_s - now_s()
            is_receiving = any(copy.has_begun for copy in self._copies)
            if not pending or (left_s <= 0 and not is_receiving):
                return None
            done, _ = await asyncio.wait(
                pending,
                timeout=None if is_receiving or left_s == float("inf") else left_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for copy in self._copies:
                if copy.future in done and self._is_answered(copy):
                    return copy

    def _is_answered(self, copy: _Copy[_Result]) -> bool:
        error = copy.future.exception()
        if error is None:
            self._handle_begun(copy)
            return True
        if not isinstance(error, _STORE_ERRORS):
            self._settle(CallEnd.COPY, copy)
            raise error
        if not isinstance(self._failure, NoAnswerError):
            self._failure = error
            self._settle(CallEnd.COPY, copy)
        return False

    @staticmethod
    def _cancel(copies: list[_Copy[_Result]], result: CopyResult) -> None:
        for copy in copies:
            copy.abandon(result)


def _retrieve_error(future: asyncio.Future) -> None:
    """Retrieve the error of a copy whose result is not needed, so that asyncio does not warn."""
    if not future.cancelled():
        future.exception()
