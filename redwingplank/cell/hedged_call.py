"""One call of the store that is repeated while no answer to it begins."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from redwingplank.cell.clocks import now_s
from redwingplank.platform.site.http import NoAnswerError, NotSentError
from redwingplank.platform.site.store import StoreRefusedError

__all__ = ["MAX_COPIES", "HedgedCall", "SendCopy"]

MAX_COPIES = 6
"""Largest number of copies of one call."""

_Result = TypeVar("_Result")
_STORE_ERRORS = (NotSentError, NoAnswerError, StoreRefusedError)

SendCopy = Callable[[float, Callable[[], None]], Awaitable[_Result]]
"""Sends a copy with a time-out in seconds, and calls a function when its answer begins."""


@dataclass(slots=True, eq=False)
class _Copy(Generic[_Result]):
    future: asyncio.Future[_Result]
    sent_s: float
    has_begun: bool = False

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
    """

    def __init__(
        self,
        send_copy: SendCopy[_Result],
        timeout_s: float,
        delay_s: float,
        on_begun: Callable[[float, bool], None],
    ) -> None:
        self._send_copy = send_copy
        self._timeout_s = timeout_s
        self._deadline_s = now_s() + timeout_s
        self._delay_s = delay_s
        self._on_begun = on_begun
        self._copies: list[_Copy[_Result]] = []
        self._sent_count = 0
        self._failure: Exception | None = None

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
            while True:
                sent_s = self._send()
                is_last = self._sent_count == MAX_COPIES
                until_s = self._deadline_s if is_last else sent_s + self._delay_s
                answered = await self._wait_for_answer(min(until_s, self._deadline_s))
                if answered is not None:
                    return answered.future.result()
                if self._failure is not None and not self._pending():
                    raise self._failure
                if is_last or now_s() >= self._deadline_s:
                    raise NoAnswerError("no copy of the call was answered in time")
        finally:
            self._cancel(self._copies)

    def _send(self) -> float:
        sent_s = now_s()
        self._sent_count += 1

        def handle_begun() -> None:
            self._handle_begun(copy)

        call = self._send_copy(self._timeout_s, handle_begun)
        copy = _Copy(asyncio.ensure_future(call), sent_s)
        self._copies.append(copy)
        return sent_s

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
        self._copies = [copy]
        self._cancel(others)
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
            raise error
        if not isinstance(self._failure, NoAnswerError):
            self._failure = error
        return False

    @staticmethod
    def _cancel(copies: list[_Copy[_Result]]) -> None:
        for copy in copies:
            copy.future.cancel()
            copy.future.add_done_callback(_retrieve_error)


def _retrieve_error(future: asyncio.Future) -> None:
    """Retrieve the error of a copy whose result is not needed, so that asyncio does not warn."""
    if not future.cancelled():
        future.exception()
