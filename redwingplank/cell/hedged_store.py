"""A store client that repeats a call while its first copy has no answer."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from redwingplank.cell.clocks import now_s
from redwingplank.platform.site.http import NoAnswerError, NotSentError
from redwingplank.platform.site.store import (
    Item,
    Page,
    Put,
    SiteStore,
    StoreRefusedError,
    TransactionResult,
    WatchPage,
)

__all__ = ["HedgedStore"]

MAX_COPIES = 6
"""Largest number of copies of one call."""
MIN_HEDGE_DELAY_S = 0.12
"""Shortest time without an answer before a copy is sent: many times that of a usual answer, so that
a busy event loop does not send copies for nothing."""
MAX_HEDGE_DELAY_S = 0.6
HEDGE_FACTOR = 3.0
"""A copy is sent after this multiple of the mean time of an answer: a slow store, which needs no
more calls, is told from one whose answers are lost."""
MEAN_WEIGHT = 0.2
"""Weight of a new answer in the running mean."""
RANGE_HEDGE_DELAY_S = 0.3
"""Shortest delay for a copy of a range read, whose pages may take this long to transfer."""

_Result = TypeVar("_Result")
_STORE_ERRORS = (NotSentError, NoAnswerError, StoreRefusedError)


class HedgedStore:
    """Calls of the store, repeated while no answer comes.

    Only calls that may be carried out more than once are repeated: reads, renewals, and
    transactions, whose conditions a second copy no longer meets. The answer to a copy of a
    transaction that was carried out is therefore a conflict; the caller compares what it finds with
    what it wrote.

    Parameters
    ----------
    store : SiteStore
        Client that sends the calls.
    """

    def __init__(self, store: SiteStore) -> None:
        self._store = store
        self._mean_answer_s = MIN_HEDGE_DELAY_S / HEDGE_FACTOR
        self.last_lost_s = float("-inf")
        """Time at which a copy was last answered before the call that it repeats."""

    async def get(self, key: str, timeout_s: float) -> Item | None:
        """Return the item of a key, None if the key does not exist."""
        return await self._hedge(lambda left_s: self._store.get(key, left_s), timeout_s)

    async def read_range(self, prefix: str, timeout_s: float) -> Page:
        """Return all items under a prefix; the time-out holds for each page."""
        return await self._hedge(
            lambda _: self._store.read_range(prefix, timeout_s),
            float("inf"),
            RANGE_HEDGE_DELAY_S,
        )

    async def transact(
        self, expected: dict[str, int], puts: list[Put], removes: list[str], timeout_s: float
    ) -> TransactionResult:
        """Change keys atomically if each key of `expected` has its given revision (0 if absent)."""
        return await self._hedge(
            lambda left_s: self._store.transact(expected, puts, removes, left_s), timeout_s
        )

    async def renew_lease(self, lease: int, timeout_s: float) -> bool:
        """Renew a lease; return False if it has expired."""
        return await self._hedge(lambda left_s: self._store.renew_lease(lease, left_s), timeout_s)

    async def open_lease(self, ttl_s: float, timeout_s: float) -> int:
        """Open a lease and return its id; never repeated, as each copy would open one."""
        return await self._store.open_lease(ttl_s, timeout_s)

    async def end_lease(self, lease: int, timeout_s: float) -> None:
        """End a lease, which removes its keys."""
        await self._store.end_lease(lease, timeout_s)

    async def watch(
        self, prefix: str, after: int, wait_s: float, slack_s: float | None = None
    ) -> WatchPage:
        """Wait up to `wait_s` for changes under a prefix after a revision."""
        return await self._store.watch(prefix, after, wait_s, slack_s)

    async def _hedge(
        self,
        make_call: Callable[[float], Awaitable[_Result]],
        timeout_s: float,
        min_delay_s: float | None = None,
    ) -> _Result:
        """Return the first answer to any copy of a call.

        Raises
        ------
        NoAnswerError
            No copy was answered, and at least one may have been carried out.
        NotSentError, StoreRefusedError
            Every copy failed without effect.
        """
        deadline_s = now_s() + timeout_s
        delay_s = max(min_delay_s or MIN_HEDGE_DELAY_S, self._hedge_delay_s())
        sent_s_by_copy: dict[asyncio.Future[_Result], float] = {}
        failure: Exception | None = None
        try:
            while True:
                sent_s = now_s()
                copy: asyncio.Future[_Result] = asyncio.ensure_future(
                    make_call(deadline_s - sent_s)
                )
                sent_s_by_copy[copy] = sent_s
                is_last = len(sent_s_by_copy) == MAX_COPIES
                until_s = deadline_s if is_last else min(deadline_s, sent_s + delay_s)
                answered, failure = await self._wait_for_answer(sent_s_by_copy, failure, until_s)
                if answered is not None:
                    self._record_answer(sent_s_by_copy, answered)
                    return answered.result()
                if failure is not None and all(each.done() for each in sent_s_by_copy):
                    raise failure
                if is_last or now_s() >= deadline_s:
                    raise NoAnswerError("no copy of the call was answered in time")
        finally:
            for copy in sent_s_by_copy:
                copy.cancel()
                copy.add_done_callback(_retrieve_error)

    async def _wait_for_answer(
        self,
        sent_s_by_copy: dict[asyncio.Future[_Result], float],
        failure: Exception | None,
        until_s: float,
    ) -> tuple[asyncio.Future[_Result] | None, Exception | None]:
        """Wait for the first answered copy; return it, and the failure to report without one.

        A copy without an answer may have been carried out, so its failure goes before others.
        """
        while True:
            pending = [copy for copy in sent_s_by_copy if not copy.done()]
            left_s = until_s - now_s()
            if not pending or left_s <= 0:
                return None, failure
            done, _ = await asyncio.wait(
                pending,
                timeout=None if left_s == float("inf") else left_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for copy in done:
                error = copy.exception()
                if error is None:
                    return copy, failure
                if not isinstance(error, _STORE_ERRORS):
                    raise error
                if not isinstance(failure, NoAnswerError):
                    failure = error

    def _record_answer(
        self,
        sent_s_by_copy: dict[asyncio.Future[_Result], float],
        answered: asyncio.Future[_Result],
    ) -> None:
        now = now_s()
        took_s = now - sent_s_by_copy[answered]
        self._mean_answer_s += MEAN_WEIGHT * (took_s - self._mean_answer_s)
        if any(
            not copy.done() and sent_s < sent_s_by_copy[answered]
            for copy, sent_s in sent_s_by_copy.items()
        ):
            self.last_lost_s = now

    def _hedge_delay_s(self) -> float:
        return min(MAX_HEDGE_DELAY_S, HEDGE_FACTOR * self._mean_answer_s)


def _retrieve_error(copy: asyncio.Future[_Result]) -> None:
    """Retrieve the error of a copy whose result is not needed, so that asyncio does not warn."""
    if not copy.cancelled():
        copy.exception()
