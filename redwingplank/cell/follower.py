"""Follows changes in the store: catches up once, then watches, and catches up again after a gap."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable

from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import STORE_ERRORS, NodeContext
from redwingplank.platform.site.store import HistoryGoneError, Item, WatchPage

__all__ = ["Follower", "PrefixFollower"]

READ_TIMEOUT_S = 1.5
"""A slow store answers in 0.25 s; the transfer of the answer does not count."""
RETRY_S = 0.25
"""Backoff after the first failed call; it doubles with each further failure."""
LONGEST_RETRY_S = 1.0

LOSSY_S = 3.0
"""After a lost answer of the store, further ones are likely to be lost for this long."""
LOSSY_WAIT_S = 0.25
"""Longest wait of a watch call during this time, so that a lost answer is noticed soon."""
LOSSY_SLACK_S = 0.4
"""Time after the wait within which such a call is answered, also by a slow store."""
CHECK_AGAIN_S = 5.0
"""Time after which a watch from the same position shows what an earlier one did not hear. A watch
hears nothing for about 1 s while the store discards its history; a call waits 2.5 s at most. The
store's history holds more than twice as long."""
LOSS_CHECK_S = 0.15
"""Period of checking, during a longer wait, whether answers have begun to be lost."""


class Follower(ABC):
    """Watches the keys under a prefix after catching up with what the store holds.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    prefix : str
        Common prefix of the followed keys.
    longest_retry_s : float
        Upper bound in seconds of the backoff after failed calls.

    Attributes
    ----------
    revision : int
        Revision of the store from which the next watch begins, 0 before the first one.
    answered_s : float
        Time in seconds at which the store last answered, minus infinity before that.
    """

    def __init__(
        self, context: NodeContext, prefix: str, longest_retry_s: float = LONGEST_RETRY_S
    ) -> None:
        self._context = context
        self._prefix = prefix
        self._longest_retry_s = longest_retry_s
        self.revision = 0
        self.answered_s = float("-inf")

    async def run(self) -> None:
        """Follow until cancelled."""
        retry_s = RETRY_S
        while True:
            started_s = now_s()
            try:
                await self.catch_up()
                page = await self.watch()
            except HistoryGoneError as error:
                self._context.log("history_gone", prefix=self._prefix, error=error)
                self.handle_gap()
                continue
            except STORE_ERRORS as error:
                self._context.health.record_failure(error)
                self._log_failure(error, now_s() - started_s)
                if self.handle_failure():
                    await asyncio.sleep(retry_s)
                    retry_s = min(self._longest_retry_s, 2 * retry_s)
                continue
            self._context.health.record_success()
            self.answered_s = now_s()
            retry_s = RETRY_S
            self.handle_page(page)

    @abstractmethod
    async def catch_up(self) -> None:
        """Read what a watch from `revision` would not return; does nothing if that is nothing."""

    @abstractmethod
    async def watch(self) -> WatchPage:
        """Watch once for changes after `revision`."""

    @abstractmethod
    def handle_page(self, page: WatchPage) -> None:
        """Apply changes, and only then move `revision` past them."""

    @abstractmethod
    def handle_gap(self) -> None:
        """Prepare to catch up, because the store has discarded changes after `revision`."""

    def handle_failure(self) -> bool:
        """Handle a failed call; return whether to back off before the next one."""
        return True

    def _log_failure(self, error: Exception, took_s: float) -> None:
        """Log a failed call; a revision of 0 means that the prefix is read anew."""
        self._context.log(
            "follow_failed",
            prefix=self._prefix,
            revision=self.revision,
            took_s=took_s,
            error=repr(error),
        )


class PrefixFollower(Follower):
    """Follows all keys under a prefix; catches up by reading all of them.

    An empty answer does not prove that nothing has changed: the watch may have heard nothing for a
    while. Therefore the position moves on to that of an empty answer only when a later call, from
    the position before it, has found nothing either. This takes no further calls.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    prefix : str
        Common prefix of the followed keys.
    wait_s : float
        Seconds that one watch call waits for changes. This also bounds how long changes missed by
        a watch, or a connection that stopped answering, remain unnoticed.
    on_items : callable
        Called with all items after each read of the whole prefix.
    on_events : callable
        Called with the changed items of each watch that returned changes.
    is_urgent : bool
        Whether changes are to be seen soon also while answers of the store are lost, which takes
        more calls.
    """

    def __init__(
        self,
        context: NodeContext,
        prefix: str,
        wait_s: float,
        on_items: Callable[[tuple[Item, ...]], None],
        on_events: Callable[[tuple[Item, ...]], None],
        *,
        is_urgent: bool = False,
    ) -> None:
        super().__init__(context, prefix)
        self._wait_s = wait_s
        self._on_items = on_items
        self._on_events = on_events
        self._is_urgent = is_urgent
        self._unchecked: WatchPage | None = None
        """An empty answer that no later call has confirmed."""
        self._unchecked_since_s = 0.0

    async def catch_up(self) -> None:
        """Read the whole prefix, unless the next watch continues from an earlier read."""
        if not self.revision:
            await self.read()

    def handle_page(self, page: WatchPage) -> None:
        """Pass changes to `on_events`."""
        if page.events:
            self._on_events(page.events)
            self.revision = max(event.revision for event in page.events)
        elif page.revision > self.revision:
            self._check(page, now_s())

    def _check(self, page: WatchPage, now_s: float) -> None:
        """Move to the position of an earlier empty answer if a later one confirms it."""
        earlier = self._unchecked
        if earlier is not None and earlier.revision > self.revision:
            if now_s - self._unchecked_since_s < CHECK_AGAIN_S:
                return
            self.revision = earlier.revision
        self._unchecked = page
        self._unchecked_since_s = now_s

    def handle_gap(self) -> None:
        """Read the whole prefix next."""
        self.revision = 0
        self._unchecked = None

    def handle_failure(self) -> bool:
        """Back off, unless the next call is urgent."""
        return not self._is_lossy()

    def _is_lossy(self) -> bool:
        """Return whether changes are urgent and answers of the store were lost a short time ago."""
        return self._is_urgent and now_s() - self._context.store.last_lost_s < LOSSY_S

    async def watch(self) -> WatchPage:
        """Watch once; a wait that began before answers were lost is begun again."""
        store = self._context.store
        if self._is_lossy():
            return await store.watch(self._prefix, self.revision, LOSSY_WAIT_S, LOSSY_SLACK_S)
        begun = asyncio.Event()
        call = asyncio.ensure_future(
            store.watch(self._prefix, self.revision, self._wait_s, on_begun=begun.set)
        )
        try:
            while not call.done():
                await asyncio.wait([call], timeout=LOSS_CHECK_S if self._is_urgent else None)
                if not call.done() and not begun.is_set() and self._is_lossy():
                    return WatchPage((), self.revision)
            return call.result()
        finally:
            call.cancel()

    async def read(self) -> None:
        """Read the whole prefix and pass its items to `on_items`.

        Raises
        ------
        NotSentError, NoAnswerError, StoreRefusedError
        """
        started_s = now_s()
        page = await self._context.store.read_range(self._prefix, READ_TIMEOUT_S)
        self.answered_s = now_s()
        self._context.log(
            "prefix_read",
            prefix=self._prefix,
            revision=page.revision,
            items=len(page.items),
            value_bytes=sum(len(item.value or b"") for item in page.items),
            took_s=now_s() - started_s,
        )
        self._on_items(page.items)
        self.revision = page.revision
