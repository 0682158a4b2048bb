"""The grantor's lease in the platform's store, and the record of entries that may hold credits."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from redwingplank.core import Clock, log_event, make_logger
from redwingplank.platform import (
    Compare,
    KeyValue,
    KeyValueStore,
    OutcomeUnknownError,
    PlatformError,
    Put,
)
from redwingplank.routing.credit_grantor import CreditGrantor

__all__ = ["CreditAuthority", "GrantorPlace"]

LEASE_TTL_S = 3.0
RENEW_INTERVAL_S = 1.0
CLOCK_MARGIN_S = 0.2


@dataclass(frozen=True, slots=True)
class GrantorPlace:
    """Entry process that grants the credits of a failure domain, and its RPC address."""

    entry: str
    address: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class _MembersRecord:
    """Stored record of the epoch and the incarnation of each entry that may hold credits."""

    epoch: int = 0
    members: dict[str, int] = field(default_factory=dict)


class CreditAuthority:
    """Acquires and renews the grantor's lease of a failure domain.

    Parameters
    ----------
    store : KeyValueStore
        The platform's key-value store.
    failure_domain : str
        Failure domain of the entries; part of the store keys.
    place : GrantorPlace
        Identity and address of this process.
    grantor : CreditGrantor
        Credit ledger that may grant while this process holds the lease.
    clock : Clock
        Monotonic clock of this process.
    on_change : callable
        Called when grants may have changed.

    Notes
    -----
    The lease duration is counted from the time at which the renewal was sent, less a margin for
    clock differences, so that the lease expires here before it expires in the store. When a
    renewal fails, grants are frozen: every entry is told to keep its credits. When the lease has
    expired, this process resigns as grantor and discards the ledger.
    """

    def __init__(
        self,
        store: KeyValueStore,
        failure_domain: str,
        place: GrantorPlace,
        grantor: CreditGrantor,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        self._store = store
        self._prefix = f"credits/{failure_domain}/"
        self._place = place
        self._grantor = grantor
        self._clock = clock
        self._on_change = on_change
        self._lease_id = 0
        self._members_revision = 0
        self._record_lock = asyncio.Lock()
        self._next_record_attempt_s = 0.0
        self._logger = make_logger("credits")

    @property
    def is_held(self) -> bool:
        """Whether this process is the grantor."""
        return self._grantor.epoch > 0

    async def run(self) -> None:
        """Renew the lease and update the record of members until cancelled."""
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            if self.is_held:
                await self.renew()

    async def find_or_acquire(self) -> GrantorPlace | None:
        """Return the current grantor, or acquire the lease if there is none.

        Returns None if another process acquired the lease first, or if the store still holds an
        earlier lease of this process.

        Raises
        ------
        PlatformError
            If the store did not answer.
        """
        found = await self._store.range(self._prefix)
        entries_by_key = {entry.key: entry for entry in found.entries}
        current = entries_by_key.get(self._grantor_key)
        if current is not None:
            place = msgspec.msgpack.decode(current.value, type=GrantorPlace)
            if place != self._place or self.is_held:
                return place
            return None
        return self._place if await self._acquire(entries_by_key.get(self._members_key)) else None

    async def renew(self) -> None:
        """Renew the lease once; freeze all grants if the store does not confirm it."""
        sent_s = self._clock.now_s()
        try:
            remaining_s = await self._store.keep_alive(self._lease_id)
        except PlatformError as error:
            log_event(self._logger, "grantor_lease_not_renewed", reason=str(error))
            self._grantor.freeze()
            self._on_change()
            return
        if remaining_s <= 0:
            self._resign("the lease lapsed")
            return
        self._grantor.renew(sent_s + LEASE_TTL_S - CLOCK_MARGIN_S)
        await self.record_members()

    async def record_members(self) -> None:
        """Write the record of members if it changed.

        After a failed write, the next attempt is made `RENEW_INTERVAL_S` later at the earliest.
        """
        async with self._record_lock:
            if self._clock.now_s() >= self._next_record_attempt_s:
                await self._record_members()

    async def _record_members(self) -> None:
        members = self._grantor.unrecorded_members()
        if members is None or not self.is_held:
            return
        value = msgspec.msgpack.encode(_MembersRecord(self._grantor.epoch, dict(members)))
        compare = Compare(self._members_key, self._members_revision)
        try:
            result = await self._store.transact((compare,), (Put(self._members_key, value),))
            written_revision = result.revision if result.succeeded else 0
        except OutcomeUnknownError:
            written_revision = await self._read_back(value)
        except PlatformError as error:
            log_event(self._logger, "members_not_recorded", reason=str(error))
            self._next_record_attempt_s = self._clock.now_s() + RENEW_INTERVAL_S
            return
        if not written_revision:
            self._resign("another grantor wrote the record")
            return
        self._members_revision = written_revision
        self._grantor.confirm_recorded_members(members)
        self._on_change()

    async def release(self) -> None:
        """Release the lease, so that another entry can acquire it at once."""
        if not self.is_held:
            return
        self._resign("the process stops")
        try:
            await self._store.revoke_lease(self._lease_id)
        except PlatformError as error:
            log_event(self._logger, "grantor_lease_not_revoked", reason=str(error))

    @property
    def _grantor_key(self) -> str:
        return f"{self._prefix}grantor"

    @property
    def _members_key(self) -> str:
        return f"{self._prefix}members"

    async def _acquire(self, members_entry: KeyValue | None) -> bool:
        record = _MembersRecord()
        if members_entry is not None:
            record = msgspec.msgpack.decode(members_entry.value, type=_MembersRecord)
        revision = members_entry.mod_revision if members_entry else 0
        sent_s = self._clock.now_s()
        lease_id = await self._store.grant_lease(LEASE_TTL_S)
        acquired = _MembersRecord(record.epoch + 1, record.members)
        value = msgspec.msgpack.encode(acquired)
        compares = (Compare(self._grantor_key, 0), Compare(self._members_key, revision))
        place = Put(self._grantor_key, msgspec.msgpack.encode(self._place), lease_id)
        result = await self._store.transact(compares, (place, Put(self._members_key, value)))
        if not result.succeeded:
            return False
        self._lease_id = lease_id
        self._members_revision = result.revision
        authority_until_s = sent_s + LEASE_TTL_S - CLOCK_MARGIN_S
        self._grantor.begin_epoch(sent_s, acquired.epoch, authority_until_s, acquired.members)
        log_event(self._logger, "grantor_lease_taken", epoch=acquired.epoch)
        self._on_change()
        return True

    async def _read_back(self, value: bytes) -> int:
        """Return the revision of a record whose write had no answer, 0 if it was not found."""
        try:
            found = await self._store.range(self._members_key, is_prefix=False)
        except PlatformError:
            return 0
        entry = found.entries[0] if found.entries else None
        return entry.mod_revision if entry is not None and entry.value == value else 0

    def _resign(self, reason: str) -> None:
        log_event(self._logger, "grantor_resigned", epoch=self._grantor.epoch, reason=reason)
        self._grantor.resign()
        self._on_change()
