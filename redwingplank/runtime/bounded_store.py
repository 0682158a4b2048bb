"""A key-value store client that counts its calls and limits their duration."""

import asyncio
from collections.abc import AsyncIterator, Awaitable
from typing import TypeVar

from redwingplank.platform import (
    Compare,
    Delete,
    KeyValueStore,
    OutcomeUnknownError,
    Put,
    RangeResult,
    TransactionResult,
    WatchBatch,
)
from redwingplank.runtime.counters import ProcessCounters

__all__ = ["BoundedStore"]

Result = TypeVar("Result")


class BoundedStore(KeyValueStore):
    """Wraps a store client; a call that exceeds the timeout raises `OutcomeUnknownError`.

    Parameters
    ----------
    store : KeyValueStore
        The wrapped client.
    counters : ProcessCounters
        Counts each call as ``store.METHOD``.
    timeout_s : float
        Maximum duration of one call in seconds. `watch` is not limited.
    """

    def __init__(
        self, store: KeyValueStore, counters: ProcessCounters, timeout_s: float = 1.0
    ) -> None:
        self._store = store
        self._counters = counters
        self._timeout_s = timeout_s

    async def range(self, prefix: str, *, is_prefix: bool = True) -> RangeResult:
        return await self._call_bounded("range", self._store.range(prefix, is_prefix=is_prefix))

    async def transact(
        self, compares: tuple[Compare, ...], operations: tuple[Put | Delete, ...]
    ) -> TransactionResult:
        return await self._call_bounded("transact", self._store.transact(compares, operations))

    async def grant_lease(self, ttl_s: float) -> int:
        return await self._call_bounded("grant_lease", self._store.grant_lease(ttl_s))

    async def keep_alive(self, lease_id: int) -> float:
        return await self._call_bounded("keep_alive", self._store.keep_alive(lease_id))

    async def revoke_lease(self, lease_id: int) -> None:
        await self._call_bounded("revoke_lease", self._store.revoke_lease(lease_id))

    def watch(self, prefix: str, after_revision: int) -> AsyncIterator[WatchBatch]:
        self._counters.increment("store.watch")
        return self._store.watch(prefix, after_revision)

    async def _call_bounded(self, method: str, call: Awaitable[Result]) -> Result:
        self._counters.increment(f"store.{method}")
        try:
            async with asyncio.timeout(self._timeout_s):
                return await call
        except TimeoutError as error:
            raise OutcomeUnknownError(
                f"the store did not answer {method} in {self._timeout_s} s; read back before"
                " repeating it"
            ) from error
