"""Order registries, which decide whether an order may run, and the interface to them.

An order is a request that must run at most once. Its registry runs in the process that owns the
order's shard.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable

from redwingplank.core import Clock, RedwingError
from redwingplank.platform import PlatformError
from redwingplank.routing.orders import (
    ClaimAnswer,
    ClaimOutcome,
    OrderBook,
    OrderClaim,
    OrderRecord,
    OrderReport,
    OrderState,
)
from redwingplank.runtime.order_log import OrderExistsError, OrderLog

__all__ = ["OrderRegistry", "OrderRegistryUnreachableError", "ShardOrderRegistry"]

MAX_WAIT_S = 30.0
"""Longest wait for the completion of an order that another claimant runs."""
EXPIRE_BATCH_RECORDS = 64
READ_INTERVAL_S = 0.25


class OrderRegistryUnreachableError(RedwingError):
    """The order's registry gave no answer: the order must not be sent; try again later."""


class OrderRegistry(ABC):
    """Interface to the registries of all orders.

    Notes
    -----
    Every method raises `OrderRegistryUnreachableError` if the registry gave no answer. `claim` may
    be repeated with the same claim id.
    """

    @abstractmethod
    async def query_order(self, claim: OrderClaim) -> ClaimAnswer:
        """Return the answer to a claim without claiming its order; waits while the order runs."""

    @abstractmethod
    async def claim(self, claim: OrderClaim) -> ClaimAnswer:
        """Claim an order; its record is durable before FIRST is returned."""

    @abstractmethod
    async def report(self, report: OrderReport) -> None:
        """Report the completion of an order."""


class ShardOrderRegistry(OrderRegistry):
    """Registry of the orders of one shard, in the process that owns the shard.

    Parameters
    ----------
    book : OrderBook
        State of the orders, which decides on claims.
    log : OrderLog
        Log that makes the records durable.
    clock : Clock
        Clock in seconds since 1970, because records outlive the process.
    is_only_owner : callable
        Returns whether it is certain that no other process owns the shard.
    """

    def __init__(
        self, book: OrderBook, log: OrderLog, clock: Clock, is_only_owner: Callable[[], bool]
    ) -> None:
        self._book = book
        self._log = log
        self._clock = clock
        self._is_only_owner = is_only_owner
        self._changed_by_digest: dict[str, asyncio.Event] = {}
        self._is_ready = False

    async def start(self) -> None:
        """Restore the orders from the log; claims and reports are rejected before that.

        Raises
        ------
        PlatformError
            If the log could not be read; call again later.
        """
        for record in await self._log.replay():
            self._book.restore_record(record)
        self._is_ready = True

    def stop(self) -> None:
        """Reject all further claims and reports, because the shard has another owner."""
        self._is_ready = False

    async def query_order(self, claim: OrderClaim) -> ClaimAnswer:
        self._check_ready()
        known = await self._wait_for_completion(claim)
        if known.outcome is ClaimOutcome.ABSENT and not self._is_only_owner():
            await self._read_from_log(claim)
            known = self._book.find_claim_answer(self._clock.now_s(), claim)
        return known

    async def claim(self, claim: OrderClaim) -> ClaimAnswer:
        self._check_ready()
        if not self._is_only_owner():
            raise OrderRegistryUnreachableError("the shard may have another owner; ask again")
        while True:
            found = self._book.claim(self._clock.now_s(), claim)
            if isinstance(found, OrderRecord):
                return await self._record(claim, found)
            if found.outcome is not ClaimOutcome.IN_PROGRESS:
                return found
            answer = await self._wait_for_completion(claim)
            if answer.outcome is not ClaimOutcome.ABSENT:
                return answer

    async def report(self, report: OrderReport) -> None:
        self._check_ready()
        completed = self._book.record_completion(self._clock.now_s(), report)
        self._wake(report.key.digest())
        try:
            if isinstance(completed, OrderRecord):
                await self._log.replace(completed)
            elif completed is not None:
                await self._log.delete((completed,))
        except PlatformError as error:
            raise OrderRegistryUnreachableError(
                f"the end of the order was not recorded: {error}"
            ) from error

    async def expire(self) -> int:
        """Delete records whose retention time is over and return how many; call it regularly."""
        expired = self._book.expire(self._clock.now_s())
        for start in range(0, len(expired), EXPIRE_BATCH_RECORDS):
            await self._log.delete(expired[start : start + EXPIRE_BATCH_RECORDS])
        return len(expired)

    async def _record(self, claim: OrderClaim, record: OrderRecord) -> ClaimAnswer:
        try:
            await self._log.create(record)
        except OrderExistsError as error:
            self._book.restore_record(error.record)
            return await self._wait_for_other(claim, error.record)
        except PlatformError as error:
            self._book.discard_claim(record)
            raise OrderRegistryUnreachableError(
                f"the order could not be recorded: {error}"
            ) from error
        except asyncio.CancelledError:
            # The log may still write the record, so the order counts as claimed.
            self._book.confirm_claim(record)
            raise
        finally:
            self._wake(record.digest)
        return self._book.confirm_claim(record)

    async def _read_from_log(self, claim: OrderClaim) -> None:
        """Restore an order that another owner of the shard may have recorded."""
        try:
            record = await self._log.read(claim.key.digest())
        except PlatformError as error:
            raise OrderRegistryUnreachableError(
                f"the shard may have another owner, and the store gave no answer: {error}"
            ) from error
        if record is not None:
            self._book.restore_record(record)

    async def _wait_for_other(self, claim: OrderClaim, record: OrderRecord) -> ClaimAnswer:
        """Wait for the completion of an order that another process recorded."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + min(MAX_WAIT_S, claim.timeout_s)
        while loop.time() < deadline_s and record.state is OrderState.CLAIMED:
            await asyncio.sleep(READ_INTERVAL_S)
            try:
                found = await self._log.read(record.digest)
            except PlatformError:
                continue
            if found is None:
                raise OrderRegistryUnreachableError(
                    "the order's first run ended without effect; ask again"
                )
            record = found
            self._book.restore_record(record)
        return self._book.find_claim_answer(self._clock.now_s(), claim)

    async def _wait_for_completion(self, claim: OrderClaim) -> ClaimAnswer:
        digest = claim.key.digest()
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + min(MAX_WAIT_S, claim.timeout_s)
        while True:
            found = self._book.find_claim_answer(self._clock.now_s(), claim)
            remaining_s = deadline_s - loop.time()
            if found.outcome is not ClaimOutcome.IN_PROGRESS or remaining_s <= 0:
                return found
            changed = self._changed_by_digest.setdefault(digest, asyncio.Event())
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                return self._book.find_claim_answer(self._clock.now_s(), claim)

    def _wake(self, digest: str) -> None:
        changed = self._changed_by_digest.pop(digest, None)
        if changed is not None:
            changed.set()

    def _check_ready(self) -> None:
        if not self._is_ready:
            raise OrderRegistryUnreachableError(
                "this process is not the order's home now; ask again"
            )
