"""Acquires and renews the lease of a shard in the key-value store."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from redwingplank.core import Clock, log_event, make_logger
from redwingplank.platform import (
    Compare,
    Delete,
    KeyValue,
    KeyValueStore,
    OutcomeUnknownError,
    PlatformError,
    Put,
    WatchEvent,
)
from redwingplank.scheduling.ownership import (
    OwnerRecord,
    OwnershipActionKind,
    OwnerView,
    ShardKeys,
    ShardOwnership,
    ShardTerm,
    SuccessorRecord,
    decode_owner,
    decode_successor,
    encode_record,
)

__all__ = ["ShardLeaseLoop"]

RELEASE_ATTEMPTS = 3
MIN_WAIT_S = 0.001


class ShardLeaseLoop:
    """Executes the store calls that `ShardOwnership` requests.

    Parameters
    ----------
    store : KeyValueStore
        Client whose calls have a time limit.
    ownership : ShardOwnership
        State machine that decides on the next call.
    shard : str
        Name of the shard.
    clock : Clock
        Monotonic clock of the process.
    make_nonce : callable
        Returns a new unique string for each ownership epoch.
    on_change : callable
        Called after every step that may have changed the ownership mode.
    """

    def __init__(
        self,
        store: KeyValueStore,
        ownership: ShardOwnership,
        shard: str,
        clock: Clock,
        make_nonce: Callable[[], str],
        on_change: Callable[[], None],
    ) -> None:
        self.ownership = ownership
        self.keys = ShardKeys(shard)
        self._store = store
        self._shard = shard
        self._clock = clock
        self._make_nonce = make_nonce
        self._on_change = on_change
        self._wake = asyncio.Event()
        self._observed_revision = 0
        self._logger = make_logger("lease")

    async def run(self) -> None:
        """Execute the requested calls until cancelled."""
        watch = asyncio.create_task(self._watch())
        try:
            while True:
                await self._step()
        finally:
            watch.cancel()

    def wake(self) -> None:
        """Ask the state machine for its next action at once."""
        self._wake.set()

    async def release(self, successor: str = "") -> bool:
        """Release the shard at the end of a planned stop.

        Parameters
        ----------
        successor : str
            Address of the candidate that is to take over, empty for any.

        Returns
        -------
        bool
            False if the store answered no attempt; the lease then expires by itself.
        """
        term = self.ownership.term
        if term is None:
            return True
        operations: list[Put | Delete] = [Delete(self.keys.owner)]
        if successor:
            record = encode_record(SuccessorRecord(term.epoch, successor))
            operations.append(Put(self.keys.successor, record))
        compares = (Compare(self.keys.epoch, term.epoch_revision),)
        for _ in range(RELEASE_ATTEMPTS):
            try:
                await self._store.transact(compares, tuple(operations))
            except PlatformError:
                continue
            await self._revoke(term.lease_id)
            return True
        return False

    async def _step(self) -> None:
        self._wake.clear()
        now_s = self._clock.now_s()
        action = self.ownership.next_action(now_s)
        if action.kind is OwnershipActionKind.NONE:
            await self._wake.wait()
            return
        if action.due_s > now_s:
            await self._wait_for_wake(action.due_s - now_s)
            return
        await self._calls_by_kind[action.kind](self)
        self._on_change()

    async def _wait_for_wake(self, max_wait_s: float) -> None:
        try:
            async with asyncio.timeout(max(max_wait_s, MIN_WAIT_S)):
                await self._wake.wait()
        except TimeoutError:
            return

    # Actions of a candidate

    async def _observe(self) -> None:
        try:
            result = await self._store.range(self.keys.owner)
        except PlatformError:
            self.ownership.observe_failed(self._clock.now_s())
            return
        self._observed_revision = result.revision
        values_by_key = {entry.key: entry.value for entry in result.entries}
        owner = values_by_key.get(self.keys.owner)
        successor = values_by_key.get(self.keys.successor)
        view = OwnerView(
            decode_owner(owner) if owner else None,
            decode_successor(successor) if successor else None,
        )
        self.ownership.observed(self._clock.now_s(), view)

    async def _acquire(self) -> None:
        sent_at_s = self._clock.now_s()
        try:
            lease_id = await self._store.grant_lease(self.ownership.settings.ttl_s)
            epoch = await self._read(self.keys.epoch)
            term = await self._write_ownership(epoch, lease_id)
        except PlatformError:
            self.ownership.acquire_failed(self._clock.now_s())
            return
        if term is None:
            await self._revoke(lease_id)
            self.ownership.acquire_failed(self._clock.now_s())
            return
        self.ownership.acquired(sent_at_s, self.ownership.settings.ttl_s, term)
        log_event(self._logger, "shard_won", shard=self._shard, epoch=term.epoch)

    async def _write_ownership(self, epoch: KeyValue | None, lease_id: int) -> ShardTerm | None:
        last_epoch = decode_owner(epoch.value).epoch if epoch else 0
        record = OwnerRecord(last_epoch + 1, self.ownership.address, self._make_nonce())
        value = encode_record(record)
        compares = (
            Compare(self.keys.epoch, epoch.mod_revision if epoch else 0),
            Compare(self.keys.owner, 0),
        )
        operations = (
            Put(self.keys.epoch, value),
            Put(self.keys.owner, value, lease_id),
            Delete(self.keys.successor),
        )
        try:
            result = await self._store.transact(compares, operations)
        except OutcomeUnknownError:
            return await self._confirm_ownership(record, lease_id)
        if not result.succeeded:
            return None
        return ShardTerm(record.epoch, result.revision, lease_id, record.nonce)

    async def _confirm_ownership(self, record: OwnerRecord, lease_id: int) -> ShardTerm | None:
        """Return the new ownership if a write whose answer was lost took effect, else None."""
        entry = await self._read(self.keys.epoch)
        if entry is None or decode_owner(entry.value).nonce != record.nonce:
            return None
        return ShardTerm(record.epoch, entry.mod_revision, lease_id, record.nonce)

    async def _watch(self) -> None:
        """Wake a candidate when the owner's key changes.

        The candidate also polls the key, in case the watch stops delivering events.
        """
        settings = self.ownership.settings
        while True:
            try:
                async for batch in self._store.watch(self.keys.owner, self._observed_revision):
                    self._observed_revision = batch.revision
                    self._handle_events(batch.events)
            except PlatformError as error:
                log_event(self._logger, "watch_failed", shard=self._shard, reason=error)
            await asyncio.sleep(settings.poll_every_s)

    def _handle_events(self, events: tuple[WatchEvent, ...]) -> None:
        if self.ownership.term is not None:
            return
        now_s = self._clock.now_s()
        for event in events:
            if event.key == self.keys.owner and event.entry is not None:
                self.ownership.observed(now_s, OwnerView(decode_owner(event.entry.value)))
            else:
                self.ownership.wake(now_s)
        self.wake()

    # Actions of an owner

    async def _renew(self) -> None:
        term = self.ownership.term
        assert term is not None
        sent_at_s = self._clock.now_s()
        try:
            remaining_s = await self._store.keep_alive(term.lease_id)
        except PlatformError:
            self.ownership.renew_failed(self._clock.now_s())
            return
        if remaining_s > 0:
            self.ownership.renewed(sent_at_s, remaining_s)
            return
        log_event(self._logger, "shard_lease_lapsed", shard=self._shard, epoch=term.epoch)
        self.ownership.lapsed(self._clock.now_s())

    async def _reacquire(self) -> None:
        term = self.ownership.term
        assert term is not None
        sent_at_s = self._clock.now_s()
        try:
            lease_id = await self._store.grant_lease(self.ownership.settings.ttl_s)
            is_written = await self._write_owner(term, lease_id)
        except PlatformError:
            self.ownership.renew_failed(self._clock.now_s())
            return
        if is_written:
            renewed = replace(term, lease_id=lease_id)
            self.ownership.reacquired(sent_at_s, self.ownership.settings.ttl_s, renewed)
            log_event(self._logger, "shard_held_again", shard=self._shard, epoch=term.epoch)
            return
        await self._revoke(lease_id)
        await self._check_epoch(term)

    async def _write_owner(self, term: ShardTerm, lease_id: int) -> bool:
        value = encode_record(OwnerRecord(term.epoch, self.ownership.address, term.nonce))
        compares = (
            Compare(self.keys.epoch, term.epoch_revision),
            Compare(self.keys.owner, 0),
        )
        try:
            operations = (Put(self.keys.owner, value, lease_id),)
            return (await self._store.transact(compares, operations)).succeeded
        except OutcomeUnknownError:
            entry = await self._read(self.keys.owner)
            return entry is not None and entry.lease_id == lease_id

    async def _check_epoch(self, term: ShardTerm) -> None:
        try:
            entry = await self._read(self.keys.epoch)
        except PlatformError:
            self.ownership.renew_failed(self._clock.now_s())
            return
        if entry is None or entry.mod_revision != term.epoch_revision:
            self.ownership.superseded()
        else:
            self.ownership.renew_failed(self._clock.now_s())

    async def _read(self, key: str) -> KeyValue | None:
        result = await self._store.range(key, is_prefix=False)
        return result.entries[0] if result.entries else None

    async def _revoke(self, lease_id: int) -> None:
        """Revoke a lease that is not needed; it expires by itself if the call fails."""
        try:
            await self._store.revoke_lease(lease_id)
        except PlatformError as error:
            log_event(self._logger, "lease_left_to_lapse", lease=lease_id, reason=error)

    _calls_by_kind = {
        OwnershipActionKind.OBSERVE: _observe,
        OwnershipActionKind.ACQUIRE: _acquire,
        OwnershipActionKind.RENEW: _renew,
        OwnershipActionKind.REACQUIRE: _reacquire,
    }
