"""Changes a shard's quota grants in the key-value store."""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import aclosing
from typing import Any, cast

from redwingplank.config import Declarations
from redwingplank.core import Clock, Resources, log_event, make_logger
from redwingplank.platform import (
    Compare,
    KeyValueStore,
    OutcomeUnknownError,
    PlatformError,
    Put,
    UnavailableError,
    WatchEvent,
)
from redwingplank.scheduling.grants import QUOTA_PREFIX, GrantBook, GrantMove, quota_key
from redwingplank.scheduling.messages import GrantChanged, GrantWanted
from redwingplank.scheduling.ownership import ShardKeys, ShardTerm

__all__ = ["GrantLoop"]

READ_INTERVAL_S = 30.0
REVIEW_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 1.0
MOVE_INTERVAL_S = 0.25


class GrantLoop:
    """Maintains the quota grants of a shard during one ownership epoch.

    Parameters
    ----------
    store : KeyValueStore
        Client whose calls have a time limit.
    shard : str
        Name of the shard.
    term : ShardTerm
        The ownership; every write is conditional on the revision of its epoch key.
    clock, unix_clock : Clock
        Monotonic clock and wall clock.
    reserved_by : callable
        Returns the resources that an organisation's tasks reserve in this shard at present.
    deliver : callable
        Called with each `GrantChanged` for the decision core.

    Notes
    -----
    One watch covers all organisations. All records are also read every `READ_INTERVAL_S`, because
    a watch may stop delivering events without an error.
    """

    def __init__(
        self,
        store: KeyValueStore,
        shard: str,
        term: ShardTerm,
        clock: Clock,
        unix_clock: Clock,
        reserved_by: Callable[[str], Resources],
        deliver: Callable[[GrantChanged], None],
    ) -> None:
        self.book = GrantBook(shard)
        self._store = store
        self._fence = Compare(ShardKeys(shard).epoch, term.epoch_revision)
        self._clock = clock
        self._unix_clock = unix_clock
        self._reserved_by = reserved_by
        self._deliver = deliver
        self._delivered_by_organisation: dict[str, Resources | None] = {}
        self._due_organisations: dict[str, None] = {}
        self._wake = asyncio.Event()
        self._logger = make_logger("grants")

    def update_quotas(self, declarations: Declarations) -> None:
        """Apply the quotas of a revision of the declarations."""
        organisations = declarations.organisations_by_name.values()
        self.book.declare({each.name: each.quota for each in organisations})
        self._mark_due(each.name for each in organisations)

    def request_grant(self, message: GrantWanted) -> None:
        """Handle the decision core's request for a larger grant."""
        self.book.record_demand(message.organisation, message.wanted, self._clock.now_s())
        self._mark_due([message.organisation])

    async def run(self) -> None:
        """Read, watch and change grants until cancelled."""
        watch = asyncio.create_task(self._watch())
        try:
            while True:
                await self._wait_for_review()
                over_quota = filter(self.book.is_over_quota, self.book.organisations())
                self._due_organisations.update(dict.fromkeys(over_quota))
                await self._move_due()
        finally:
            watch.cancel()
            await asyncio.gather(watch, return_exceptions=True)

    async def _move_due(self) -> None:
        while self._due_organisations:
            organisation = next(iter(self._due_organisations))
            del self._due_organisations[organisation]
            await self._move(organisation)

    def _mark_due(self, organisations: Iterable[str]) -> None:
        self._due_organisations.update(dict.fromkeys(organisations))
        if self._due_organisations:
            self._wake.set()

    async def _wait_for_review(self) -> None:
        try:
            async with asyncio.timeout(REVIEW_INTERVAL_S):
                await self._wake.wait()
        except TimeoutError:
            return
        finally:
            self._wake.clear()

    # Changes of this shard's grants

    async def _move(self, organisation: str) -> None:
        self._deliver_if_changed(organisation)
        used = self._reserved_by(organisation)
        now_s, now_unix_s = self._clock.now_s(), self._unix_clock.now_s()
        move = self.book.plan(organisation, used, now_s, now_unix_s)
        if move is None:
            return
        self.book.begin(move)
        self._deliver_if_changed(organisation)
        await self._write(move)
        self._deliver_if_changed(organisation)
        await asyncio.sleep(MOVE_INTERVAL_S)

    async def _write(self, move: GrantMove) -> None:
        key = quota_key(move.organisation)
        compares = (self._fence, Compare(key, move.compare_revision))
        try:
            result = await self._store.transact(compares, (Put(key, move.value),))
        except UnavailableError:
            self.book.record_not_sent(move)
            await self._retry_later(move.organisation)
            return
        except OutcomeUnknownError:
            self.book.record_answer_lost(move)
            await self._read_back(move)
            return
        if result.succeeded:
            self.book.record_written(move, result.revision)
            log_event(self._logger, "grant_moved", key=key, shard=self.book.shard)
            return
        await self._read_back(move)

    async def _read_back(self, move: GrantMove) -> None:
        """Read the record after a write that did not succeed or had no answer.

        The outcome of the move stays unconfirmed as long as the record still has the revision that
        the move compared.
        """
        try:
            await self._read(move.organisation)
        except PlatformError as error:
            log_event(self._logger, "grant_in_doubt", organisation=move.organisation, reason=error)
        await self._retry_later(move.organisation)

    async def _retry_later(self, organisation: str) -> None:
        await asyncio.sleep(MOVE_INTERVAL_S)
        self._due_organisations[organisation] = None

    async def _read(self, organisation: str) -> None:
        result = await self._store.range(quota_key(organisation), is_prefix=False)
        for entry in result.entries:
            self.book.update_record(organisation, entry.value, entry.mod_revision)

    def _deliver_if_changed(self, organisation: str) -> None:
        """Deliver to the core how much an organisation may reserve, if that changed."""
        usable = self.book.usable(organisation, self._unix_clock.now_s())
        delivered = self._delivered_by_organisation
        if organisation in delivered and delivered[organisation] == usable:
            return
        if organisation not in delivered and usable is None:
            return
        delivered[organisation] = usable
        self._deliver(GrantChanged(organisation, usable))

    # Records of all organisations

    async def _watch(self) -> None:
        while True:
            try:
                revision = await self._read_all()
                async with asyncio.timeout(READ_INTERVAL_S):
                    await self._apply_changes(revision)
            except TimeoutError:
                continue
            except PlatformError as error:
                log_event(self._logger, "grants_not_read", reason=error)
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _read_all(self) -> int:
        result = await self._store.range(QUOTA_PREFIX)
        for entry in result.entries:
            organisation = entry.key.removeprefix(QUOTA_PREFIX)
            self.book.update_record(organisation, entry.value, entry.mod_revision)
        self._mark_due(self.book.organisations())
        return result.revision

    async def _apply_changes(self, revision: int) -> None:
        batches = cast(Any, self._store.watch(QUOTA_PREFIX, revision))
        async with aclosing(batches):
            async for batch in batches:
                self._apply_events(batch.events)

    def _apply_events(self, events: tuple[WatchEvent, ...]) -> None:
        for event in events:
            organisation = event.key.removeprefix(QUOTA_PREFIX)
            if event.entry is not None:
                self.book.update_record(organisation, event.entry.value, event.entry.mod_revision)
                self._mark_due([organisation])
