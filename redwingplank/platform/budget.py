"""The one place through which calls to the key-value service go: counted, shared, backed off."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import Any, TypeVar

import numpy as np

from redwingplank.core import Clock
from redwingplank.platform.errors import OutcomeUnknownError, UnavailableError
from redwingplank.platform.kv import (
    Compare,
    Delete,
    KeyValueStore,
    Put,
    RangeResult,
    TransactionResult,
    WatchBatch,
)

__all__ = [
    "BudgetLimits",
    "BudgetedStore",
    "CallKind",
    "StoreBudget",
    "StorePurpose",
]

Result = TypeVar("Result")
Sleep = Callable[[float], Awaitable[None]]


class StorePurpose(IntEnum):
    """What a call is for; a lower number goes first."""

    LEASE = 0
    JOURNAL = 1
    DECLARATIONS = 2


class CallKind(StrEnum):
    """What a call counts as."""

    READ = "read"
    WRITE = "write"


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limits of the cell's calls, of which each node has a share.

    Parameters
    ----------
    reads_per_s, writes_per_s : float
        Of the whole cell; an opened watch is one read.
    burst_s : float
        How many seconds' worth of calls may be made at once.
    lowest_burst_calls : float
        Calls that may be made at once, however small the share.
    max_wait_s : float
        A call that would wait longer for its turn fails.
    first_backoff_s, max_backoff_s : float
        Wait after the first and after many failures.
    max_lease_backoff_s : float
        The same for leases, which have to be renewed soon.
    max_debt_s : float
        After leases used more than the share, the others wait for at most so long.
    """

    reads_per_s: float = 2000.0
    writes_per_s: float = 300.0
    burst_s: float = 1.0
    lowest_burst_calls: float = 4.0
    max_wait_s: float = 2.0
    first_backoff_s: float = 0.1
    max_backoff_s: float = 8.0
    max_lease_backoff_s: float = 0.5
    max_debt_s: float = 10.0


@dataclass(slots=True)
class _Bucket:
    rate_per_s: float
    size: float
    tokens: float
    filled_at_s: float = 0.0

    def fill(self, now_s: float) -> None:
        gained = max(0.0, now_s - self.filled_at_s) * self.rate_per_s
        self.tokens = min(self.size, self.tokens + gained)
        self.filled_at_s = max(now_s, self.filled_at_s)


class StoreBudget:
    """Decides when a node's calls may go; shared by all of its `BudgetedStore` views.

    Parameters
    ----------
    limits : BudgetLimits
        Of the cell.
    node_count : int
        Nodes that share the cell's rates; may change.
    generator : numpy.random.Generator
        For the jitter of waits.

    Notes
    -----
    Leases never wait for their turn, but use up the budget of the others. At the end of an outage
    the buckets are emptied, so that calls that piled up do not go all at once.
    """

    def __init__(
        self, limits: BudgetLimits, node_count: int, generator: np.random.Generator
    ) -> None:
        self.limits = limits
        self.calls_by_method: Counter[str] = Counter()
        self.refused_by_purpose: Counter[StorePurpose] = Counter()
        self.open_watches = 0
        self._generator = generator
        self._failures = 0
        self._blocked_until_s = float("-inf")
        self._lease_blocked_until_s = float("-inf")
        self._buckets_by_kind: dict[CallKind, _Bucket] = {}
        self.set_node_count(node_count)

    def set_node_count(self, node_count: int) -> None:
        """Change the number of nodes that share the cell's rates."""
        rates = {
            CallKind.READ: self.limits.reads_per_s / max(1, node_count),
            CallKind.WRITE: self.limits.writes_per_s / max(1, node_count),
        }
        for kind, rate_per_s in rates.items():
            size = max(self.limits.lowest_burst_calls, rate_per_s * self.limits.burst_s)
            bucket = self._buckets_by_kind.setdefault(kind, _Bucket(rate_per_s, size, size))
            bucket.rate_per_s = rate_per_s
            bucket.size = size
            bucket.tokens = min(size, bucket.tokens)

    def admit(self, now_s: float, kind: CallKind, purpose: StorePurpose, method: str) -> float:
        """Count a call and return after how many seconds it may go.

        Raises
        ------
        UnavailableError
            While the store is backed off, or when the wait would be too long.
        """
        self._check_backoff(now_s, purpose)
        bucket = self._buckets_by_kind[kind]
        bucket.fill(now_s)
        wait_s = max(0.0, 1.0 - bucket.tokens) / bucket.rate_per_s
        if purpose is StorePurpose.LEASE:
            wait_s = 0.0
        elif wait_s > self.limits.max_wait_s:
            self.refused_by_purpose[purpose] += 1
            raise UnavailableError(
                f"this node's share of {kind}s of the store is used up for {wait_s:.1f} s; "
                "try again later"
            )
        lowest = min(0.0, bucket.tokens, -bucket.rate_per_s * self.limits.max_debt_s)
        bucket.tokens = max(lowest, bucket.tokens - 1.0)
        self.calls_by_method[method] += 1
        return wait_s

    def note_success(self, now_s: float) -> None:
        """Take the success of a call; the first one after failures empties the buckets."""
        if self._failures:
            for bucket in self._buckets_by_kind.values():
                bucket.fill(now_s)
                bucket.tokens = min(bucket.tokens, 0.0)
        self._failures = 0
        self._blocked_until_s = float("-inf")
        self._lease_blocked_until_s = float("-inf")

    def note_failure(self, now_s: float) -> None:
        """Take the failure of a call; failures of calls made together count once."""
        if now_s < min(self._blocked_until_s, self._lease_blocked_until_s):
            return
        self._failures += 1
        ceiling_s = self.limits.first_backoff_s * 2.0 ** min(self._failures, 16)
        jitter = self._generator.uniform(0.5, 1.0)
        self._blocked_until_s = now_s + jitter * min(self.limits.max_backoff_s, ceiling_s)
        lease_s = jitter * min(self.limits.max_lease_backoff_s, ceiling_s)
        self._lease_blocked_until_s = now_s + lease_s

    def _check_backoff(self, now_s: float, purpose: StorePurpose) -> None:
        is_lease = purpose is StorePurpose.LEASE
        until_s = self._lease_blocked_until_s if is_lease else self._blocked_until_s
        if now_s < until_s:
            self.refused_by_purpose[purpose] += 1
            raise UnavailableError(
                f"the store failed {self._failures} times; try again in {until_s - now_s:.1f} s"
            )


class BudgetedStore(KeyValueStore):
    """A store whose calls are counted and held to a node's budget.

    Parameters
    ----------
    store : KeyValueStore
        Makes the calls.
    budget : StoreBudget
        Shared by all views of one node.
    clock : Clock
        Present time.
    purpose : StorePurpose
        What the calls of this view are for.
    sleep : callable
        Waits for a call's turn.
    """

    def __init__(
        self,
        store: KeyValueStore,
        budget: StoreBudget,
        clock: Clock,
        purpose: StorePurpose = StorePurpose.DECLARATIONS,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self.budget = budget
        self._store = store
        self._clock = clock
        self._purpose = purpose
        self._sleep = sleep

    def with_purpose(self, purpose: StorePurpose) -> "BudgetedStore":
        """Return a view of the same store and budget for another purpose."""
        return BudgetedStore(self._store, self.budget, self._clock, purpose, self._sleep)

    async def range(self, prefix: str, *, is_prefix: bool = True) -> RangeResult:
        return await self._call(
            CallKind.READ, "range", lambda: self._store.range(prefix, is_prefix=is_prefix)
        )

    async def transact(
        self, compares: tuple[Compare, ...], operations: tuple[Put | Delete, ...]
    ) -> TransactionResult:
        return await self._call(
            CallKind.WRITE, "transact", lambda: self._store.transact(compares, operations)
        )

    async def grant_lease(self, ttl_s: float) -> int:
        return await self._call(
            CallKind.WRITE, "grant_lease", lambda: self._store.grant_lease(ttl_s)
        )

    async def keep_alive(self, lease_id: int) -> float:
        return await self._call(
            CallKind.WRITE, "keep_alive", lambda: self._store.keep_alive(lease_id)
        )

    async def revoke_lease(self, lease_id: int) -> None:
        await self._call(CallKind.WRITE, "revoke_lease", lambda: self._store.revoke_lease(lease_id))

    async def watch(self, prefix: str, after_revision: int) -> AsyncIterator[WatchBatch]:
        await self._wait_for_turn(CallKind.READ, "watch")
        self.budget.open_watches += 1
        try:
            stream: Any = self._store.watch(prefix, after_revision)
            async with aclosing(stream) as batches:
                async for batch in batches:
                    self.budget.note_success(self._clock.now_s())
                    yield batch
        except (UnavailableError, OutcomeUnknownError):
            self.budget.note_failure(self._clock.now_s())
            raise
        finally:
            self.budget.open_watches -= 1

    async def _call(
        self, kind: CallKind, method: str, call: Callable[[], Awaitable[Result]]
    ) -> Result:
        await self._wait_for_turn(kind, method)
        try:
            result = await call()
        except (UnavailableError, OutcomeUnknownError):
            self.budget.note_failure(self._clock.now_s())
            raise
        self.budget.note_success(self._clock.now_s())
        return result

    async def _wait_for_turn(self, kind: CallKind, method: str) -> None:
        wait_s = self.budget.admit(self._clock.now_s(), kind, self._purpose, method)
        if wait_s > 0:
            await self._sleep(wait_s)
