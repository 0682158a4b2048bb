"""An in-memory stand-in for the platform's key-value service."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass

from sortedcontainers import SortedDict

from redwingplank.core import Clock
from redwingplank.platform import (
    MAX_VALUE_BYTES,
    Compare,
    Delete,
    KeyValue,
    KeyValueStore,
    PlatformError,
    Put,
    RangeResult,
    TransactionResult,
    WatchBatch,
    WatchEvent,
)
from redwingplank.standin.faults import Faults

__all__ = ["MemoryStore", "MemoryStoreClient"]


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    ends_at_s: float


class MemoryStore:
    """State of the store, shared by its clients.

    Parameters
    ----------
    clock : Clock
        Clock that decides when leases expire.

    Notes
    -----
    A lease whose time is over expires at the next call of any client; `expire_leases` expires it
    without a call.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.revision = 1
        self.calls_by_method: Counter[str] = Counter()
        self._entries: SortedDict = SortedDict()
        self._leases_by_id: dict[int, _Lease] = {}
        self._next_lease_id = 1
        self._history: list[tuple[int, WatchEvent]] = []
        self._changed = asyncio.Event()
        self.is_closed = False

    def close(self) -> None:
        """End all watches."""
        self.is_closed = True
        self._changed.set()

    def read(self, prefix: str, is_prefix: bool) -> RangeResult:
        """Return the entry with a key, or all entries whose keys begin with it."""
        self.expire_leases()
        if not is_prefix:
            entry = self._entries.get(prefix)
            return RangeResult((entry,) if entry else (), self.revision)
        return RangeResult(tuple(self._find_by_prefix(prefix)), self.revision)

    def transact(
        self, compares: tuple[Compare, ...], operations: tuple[Put | Delete, ...]
    ) -> TransactionResult:
        """Apply all operations at one revision if all comparisons hold."""
        self.expire_leases()
        self._validate(operations)
        for compare in compares:
            entry = self._entries.get(compare.key)
            if (entry.mod_revision if entry else 0) != compare.mod_revision:
                return TransactionResult(False, self.revision)
        if operations:
            self._apply(operations)
        return TransactionResult(True, self.revision)

    def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        self.expire_leases()
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self._leases_by_id[lease_id] = _Lease(ttl_s, self.clock.now_s() + ttl_s)
        return lease_id

    def keep_alive(self, lease_id: int) -> float:
        """Renew a lease and return its duration in seconds, or 0 if it does not exist."""
        self.expire_leases()
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            return 0.0
        lease.ends_at_s = self.clock.now_s() + lease.ttl_s
        return lease.ttl_s

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        if self._leases_by_id.pop(lease_id, None) is None:
            return
        attached = [key for key, entry in self._entries.items() if entry.lease_id == lease_id]
        if attached:
            self._apply(tuple(Delete(key) for key in attached))

    def expire_leases(self) -> None:
        """End every lease whose time is over."""
        now_s = self.clock.now_s()
        lapsed = [
            lease_id for lease_id, lease in self._leases_by_id.items() if lease.ends_at_s <= now_s
        ]
        for lease_id in lapsed:
            self.revoke_lease(lease_id)

    def events_after(self, revision: int, prefix: str) -> tuple[WatchEvent, ...]:
        """Return the changes of keys with a prefix after a revision."""
        return tuple(
            event
            for event_revision, event in self._history
            if event_revision > revision and event.key.startswith(prefix)
        )

    @property
    def next_change(self) -> asyncio.Event:
        """Event that is set at the next change.

        Get it before reading the changes, so that a change between the two is not missed.
        """
        return self._changed

    def _validate(self, operations: tuple[Put | Delete, ...]) -> None:
        for operation in operations:
            if not isinstance(operation, Put):
                continue
            if len(operation.value) > MAX_VALUE_BYTES:
                raise PlatformError(f"value of {operation.key!r} is over {MAX_VALUE_BYTES} bytes")
            if operation.lease_id and operation.lease_id not in self._leases_by_id:
                raise PlatformError(f"lease {operation.lease_id} does not exist; grant a new one")

    def _apply(self, operations: tuple[Put | Delete, ...]) -> None:
        self.revision += 1
        for operation in operations:
            if isinstance(operation, Put):
                self._put(operation)
            else:
                self._delete(operation)
        self._changed.set()
        self._changed = asyncio.Event()

    def _put(self, operation: Put) -> None:
        old = self._entries.get(operation.key)
        entry = KeyValue(
            operation.key,
            operation.value,
            old.create_revision if old else self.revision,
            self.revision,
            operation.lease_id,
        )
        self._entries[operation.key] = entry
        self._history.append((self.revision, WatchEvent(operation.key, entry)))

    def _delete(self, operation: Delete) -> None:
        if operation.is_prefix:
            keys = [entry.key for entry in self._find_by_prefix(operation.key)]
        else:
            keys = [operation.key] if operation.key in self._entries else []
        for key in keys:
            del self._entries[key]
            self._history.append((self.revision, WatchEvent(key, None)))

    def _find_by_prefix(self, prefix: str) -> list[KeyValue]:
        found = []
        for key in self._entries.irange(minimum=prefix):
            if not key.startswith(prefix):
                break
            found.append(self._entries[key])
        return found


class MemoryStoreClient(KeyValueStore):
    """Client of a `MemoryStore`, with its own faults.

    Parameters
    ----------
    store : MemoryStore
        State that all clients share.
    faults : Faults, optional
        Faults of this client; pass the same object to several clients to make them fail together.
    """

    def __init__(self, store: MemoryStore, faults: Faults | None = None) -> None:
        self.store = store
        self.faults = faults or Faults()

    async def range(self, prefix: str, *, is_prefix: bool = True) -> RangeResult:
        await self._begin_call("range")
        result = self.store.read(prefix, is_prefix)
        await self.faults.after_effect()
        return result

    async def transact(
        self, compares: tuple[Compare, ...], operations: tuple[Put | Delete, ...]
    ) -> TransactionResult:
        await self._begin_call("transact")
        result = self.store.transact(compares, operations)
        await self.faults.after_effect()
        return result

    async def grant_lease(self, ttl_s: float) -> int:
        await self._begin_call("grant_lease")
        lease_id = self.store.grant_lease(ttl_s)
        await self.faults.after_effect()
        return lease_id

    async def keep_alive(self, lease_id: int) -> float:
        await self._begin_call("keep_alive")
        remaining_s = self.store.keep_alive(lease_id)
        await self.faults.after_effect()
        return remaining_s

    async def revoke_lease(self, lease_id: int) -> None:
        await self._begin_call("revoke_lease")
        self.store.revoke_lease(lease_id)
        await self.faults.after_effect()

    async def watch(self, prefix: str, after_revision: int) -> AsyncIterator[WatchBatch]:
        await self._begin_call("watch")
        revision = after_revision
        while not self.store.is_closed:
            next_change = self.store.next_change
            events = self.store.events_after(revision, prefix)
            if events and not self.faults.is_watch_silent:
                revision = self.store.revision
                await self.faults.before_effect()
                yield WatchBatch(events, revision)
            else:
                await next_change.wait()

    async def _begin_call(self, method: str) -> None:
        self.store.calls_by_method[method] += 1
        await self.faults.before_effect()
