"""A key-value store client that counts its calls."""

from collections.abc import AsyncIterator

from redwingplank.platform import (
    Compare,
    Delete,
    KeyValueStore,
    Put,
    RangeResult,
    TransactionResult,
    WatchBatch,
)
from redwingplank.runtime.counters import ProcessCounters

__all__ = ["CountedStore"]


class CountedStore(KeyValueStore):
    """Wraps a store client and counts its calls.

    Parameters
    ----------
    store : KeyValueStore
        The wrapped client.
    counters : ProcessCounters
        Counts each call as ``store.METHOD``.
    """

    def __init__(self, store: KeyValueStore, counters: ProcessCounters) -> None:
        self._store = store
        self._counters = counters

    async def range(self, prefix: str, *, is_prefix: bool = True) -> RangeResult:
        self._count("range")
        return await self._store.range(prefix, is_prefix=is_prefix)

    async def transact(
        self, compares: tuple[Compare, ...], operations: tuple[Put | Delete, ...]
    ) -> TransactionResult:
        self._count("transact")
        return await self._store.transact(compares, operations)

    async def grant_lease(self, ttl_s: float) -> int:
        self._count("grant_lease")
        return await self._store.grant_lease(ttl_s)

    async def keep_alive(self, lease_id: int) -> float:
        self._count("keep_alive")
        return await self._store.keep_alive(lease_id)

    async def revoke_lease(self, lease_id: int) -> None:
        self._count("revoke_lease")
        await self._store.revoke_lease(lease_id)

    def watch(self, prefix: str, after_revision: int) -> AsyncIterator[WatchBatch]:
        self._count("watch")
        return self._store.watch(prefix, after_revision)

    def _count(self, method: str) -> None:
        self._counters.increment(f"store.{method}")
