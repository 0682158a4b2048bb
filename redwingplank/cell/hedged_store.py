"""A store client that repeats a call while its first copy has no answer."""

from collections.abc import Callable
from typing import TypeVar

from redwingplank.cell.clocks import now_s
from redwingplank.cell.hedged_call import CallObserver, HedgedCall, SendCopy
from redwingplank.platform.site.http import NoAnswerError
from redwingplank.platform.site.store import (
    Item,
    Page,
    Put,
    SiteStore,
    TransactionResult,
    WatchPage,
)

__all__ = ["HedgedStore"]

MIN_HEDGE_DELAY_S = 0.12
"""Shortest time without an answer before a copy is sent: many times that of a usual answer, so that
a busy event loop does not send copies for nothing."""
MAX_HEDGE_DELAY_S = 0.6
HEDGE_FACTOR = 3.0
"""A copy is sent after this multiple of the mean time of an answer: a slow store, which needs no
more calls, is told from one whose answers are lost."""
MEAN_WEIGHT = 0.2
"""Weight of a new answer in the running mean."""
SLOW_LINK_BYTES_PER_S = 500_000
"""Bandwidth that large writes are planned for: the links of the smallest VMs carry 5 Mbit/s."""

_Result = TypeVar("_Result")


class HedgedStore:
    """Calls of the store, repeated while no answer begins.

    Only calls that may be carried out more than once are repeated: reads, renewals, and
    transactions, whose conditions a second copy no longer meets. The answer to a copy of a
    transaction that was carried out is therefore a conflict; the caller compares what it finds with
    what it wrote.

    The time-outs of reads and transactions hold until their answer begins.

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
        return await self._hedge(
            lambda limit_s, on_headers: self._store.get(key, limit_s, on_headers), timeout_s
        )

    async def read_range(self, prefix: str, timeout_s: float) -> Page:
        """Return all items under a prefix; the time-out holds for each page."""
        items: list[Item] = []
        revision = 0
        after = ""
        while True:
            page = await self.read_page(prefix, after, timeout_s)
            items.extend(page.items)
            revision = revision or page.revision
            if not page.has_more:
                return Page(tuple(items), revision)
            if not page.items:
                raise NoAnswerError(f"a page under {prefix} is empty although more follow")
            after = page.items[-1].key

    async def read_page(self, prefix: str, after: str, timeout_s: float) -> Page:
        """Return the first items under a prefix whose keys come after `after` (empty for all)."""
        return await self._hedge(
            lambda limit_s, on_headers: self._store.read_page(prefix, after, limit_s, on_headers),
            timeout_s,
        )

    async def transact(
        self,
        expected: dict[str, int],
        puts: list[Put],
        removes: list[str],
        timeout_s: float,
        observe: CallObserver | None = None,
    ) -> TransactionResult:
        """Change keys atomically if each key of `expected` has its given revision (0 if absent).

        `observe` is called with the record of the copies when the call has ended.
        """
        upload_s = sum(len(put.value) for put in puts) / SLOW_LINK_BYTES_PER_S
        return await self._hedge(
            lambda limit_s, on_headers: self._store.transact(
                expected, puts, removes, limit_s, on_headers
            ),
            timeout_s + upload_s,
            upload_s,
            observe,
        )

    async def renew_lease(self, lease: int, timeout_s: float) -> bool:
        """Renew a lease; return False if it has expired."""
        return await self._hedge(
            lambda limit_s, _: self._store.renew_lease(lease, limit_s), timeout_s
        )

    async def open_lease(self, ttl_s: float, timeout_s: float) -> int:
        """Open a lease and return its id; never repeated, as each copy would open one."""
        return await self._store.open_lease(ttl_s, timeout_s)

    async def end_lease(self, lease: int, timeout_s: float) -> None:
        """End a lease, which removes its keys."""
        await self._store.end_lease(lease, timeout_s)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        slack_s: float | None = None,
        on_begun: Callable[[], None] | None = None,
    ) -> WatchPage:
        """Wait up to `wait_s` for changes under a prefix after a revision; never repeated."""
        return await self._store.watch(prefix, after, wait_s, slack_s, on_begun)

    async def _hedge(
        self,
        send_copy: SendCopy[_Result],
        timeout_s: float,
        upload_s: float = 0.0,
        observe: CallObserver | None = None,
    ) -> _Result:
        delay_s = max(MIN_HEDGE_DELAY_S, self._hedge_delay_s()) + upload_s
        call = HedgedCall(send_copy, timeout_s, delay_s, self._record_begun, observe)
        return await call.run()

    def _record_begun(self, took_s: float, is_overtaking: bool) -> None:
        self._mean_answer_s += MEAN_WEIGHT * (took_s - self._mean_answer_s)
        if is_overtaking:
            self.last_lost_s = now_s()

    def _hedge_delay_s(self) -> float:
        return min(MAX_HEDGE_DELAY_S, HEDGE_FACTOR * self._mean_answer_s)
