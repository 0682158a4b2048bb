"""Durable records of orders, which are requests that must run at most once."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass

from redwingplank.platform import (
    Compare,
    Delete,
    KeyValue,
    KeyValueStore,
    OutcomeUnknownError,
    PlatformError,
    Put,
)
from redwingplank.routing.orders import OrderRecord

__all__ = ["KeyValueOrderLog", "OrderExistsError", "OrderLog"]

MAX_BATCH_RECORDS = 64
MAX_BATCH_BYTES = 800_000
READ_BACK_ATTEMPTS = 3
READ_BACK_DELAY_S = 0.05


class OrderExistsError(PlatformError):
    """Another process has already recorded the order.

    Parameters
    ----------
    record : OrderRecord
        The record of the other process.
    """

    def __init__(self, record: OrderRecord) -> None:
        super().__init__(f"order {record.digest} is recorded already, by {record.entry}")
        self.record = record


class OrderLog(ABC):
    """Durable log of the records of one shard's orders.

    Notes
    -----
    Methods that write return once the change is durable. They raise `PlatformError` if it is not
    durable or if that could not be confirmed.
    """

    @abstractmethod
    async def create(self, record: OrderRecord) -> None:
        """Write the first record of an order; raises `OrderExistsError` if there is one."""

    @abstractmethod
    async def replace(self, record: OrderRecord) -> None:
        """Replace the record of an order by a later one."""

    @abstractmethod
    async def delete(self, digests: tuple[str, ...]) -> None:
        """Delete the records of orders."""

    @abstractmethod
    async def read(self, digest: str) -> OrderRecord | None:
        """Return the record of an order, None if there is none."""

    @abstractmethod
    async def replay(self) -> tuple[OrderRecord, ...]:
        """Return the records of all orders."""


@dataclass(slots=True)
class _Write:
    key: str
    record: OrderRecord | None
    mod_revision: int
    done: asyncio.Future[None]

    def compare(self) -> Compare:
        return Compare(self.key, self.mod_revision)

    def operation(self) -> Put | Delete:
        return Put(self.key, self.record.encode()) if self.record else Delete(self.key)

    def size_bytes(self) -> int:
        answer = self.record.answer if self.record else None
        return len(answer.body) if answer else 0


class KeyValueOrderLog(OrderLog):
    """Keeps each order under its own key, with many compare-and-swap writes in one transaction.

    Parameters
    ----------
    store : KeyValueStore
        The platform's key-value store.
    shard : str
        Name of the shard; part of the keys.
    max_calls_per_s : float
        Maximum rate of transactions. Reads and repeats of single writes are not limited.

    Notes
    -----
    When an answer is lost, the record is read back; it holds the unique id of the claim. Two
    processes that both believe they own the shard cannot both record an order, because creation
    requires that the key is absent. Later writes require the revision that this process knows, so
    that a process that has been replaced as owner changes nothing.
    """

    def __init__(self, store: KeyValueStore, shard: str, max_calls_per_s: float = 10.0) -> None:
        self._store = store
        self._prefix = f"orders/{shard}/"
        self._interval_s = 1.0 / max_calls_per_s
        self._pending: deque[_Write] = deque()
        self._revisions_by_key: dict[str, int] = {}
        self._writer: asyncio.Task[None] | None = None
        self._next_call_s = 0.0

    async def create(self, record: OrderRecord) -> None:
        await self._write(record.digest, record, mod_revision=0)

    async def replace(self, record: OrderRecord) -> None:
        await self._write(record.digest, record, self._known_revision(record.digest))

    async def delete(self, digests: tuple[str, ...]) -> None:
        known = [digest for digest in digests if self._prefix + digest in self._revisions_by_key]
        writes = (self._write(digest, None, self._known_revision(digest)) for digest in known)
        await asyncio.gather(*writes)

    async def read(self, digest: str) -> OrderRecord | None:
        result = await self._store.range(self._prefix + digest, is_prefix=False)
        return OrderRecord.decode(result.entries[0].value) if result.entries else None

    async def replay(self) -> tuple[OrderRecord, ...]:
        result = await self._store.range(self._prefix)
        self._revisions_by_key = {entry.key: entry.mod_revision for entry in result.entries}
        return tuple(OrderRecord.decode(entry.value) for entry in result.entries)

    def _known_revision(self, digest: str) -> int:
        return self._revisions_by_key.get(self._prefix + digest, 0)

    async def _write(self, digest: str, record: OrderRecord | None, mod_revision: int) -> None:
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending.append(_Write(self._prefix + digest, record, mod_revision, done))
        if self._writer is None:
            self._writer = asyncio.create_task(self._write_pending())
        await done

    async def _write_pending(self) -> None:
        try:
            while self._pending:
                await self._wait_for_rate_limit()
                await self._commit(self._cut_batch())
        finally:
            self._writer = None

    async def _wait_for_rate_limit(self) -> None:
        loop = asyncio.get_running_loop()
        delay_s = self._next_call_s - loop.time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        self._next_call_s = max(self._next_call_s, loop.time()) + self._interval_s

    def _cut_batch(self) -> list[_Write]:
        batch: list[_Write] = []
        keys: set[str] = set()
        size_bytes = 0
        while self._pending and len(batch) < MAX_BATCH_RECORDS:
            write = self._pending[0]
            size_bytes += write.size_bytes()
            if batch and (size_bytes > MAX_BATCH_BYTES or write.key in keys):
                break
            keys.add(write.key)
            batch.append(self._pending.popleft())
        return batch

    async def _commit(self, batch: list[_Write]) -> None:
        try:
            revision = await self._transact(batch)
        except PlatformError as error:
            for write in batch:
                _complete(write, error)
            return
        if revision:
            for write in batch:
                self._complete_written(write, revision)
        elif len(batch) == 1:
            await self._complete_rejected(batch[0])
        else:
            for write in batch:
                await self._commit([write])

    async def _transact(self, batch: list[_Write]) -> int:
        """Return the revision at which a batch was written, 0 if it was not written."""
        compares = tuple(write.compare() for write in batch)
        operations = tuple(write.operation() for write in batch)
        try:
            result = await self._store.transact(compares, operations)
        except OutcomeUnknownError:
            return await self._read_back(batch)
        return result.revision if result.succeeded else 0

    async def _read_back(self, batch: list[_Write]) -> int:
        """Return the revision of a batch whose answer was lost, 0 if no effect was found.

        The batch is one transaction, so one of its records shows the outcome of all writes. A batch
        of deletions has no record to compare and gives 0.
        """
        sample = next((write for write in batch if write.record is not None), None)
        if sample is None or sample.record is None:
            return 0
        entry = await self._read(sample.key)
        is_written = entry is not None and entry.value == sample.record.encode()
        return entry.mod_revision if entry and is_written else 0

    async def _read(self, key: str) -> KeyValue | None:
        for attempt in range(READ_BACK_ATTEMPTS):
            await asyncio.sleep(READ_BACK_DELAY_S * attempt)
            try:
                result = await self._store.range(key, is_prefix=False)
            except PlatformError:
                continue
            return result.entries[0] if result.entries else None
        raise OutcomeUnknownError("the store did not say whether the orders were recorded")

    async def _complete_rejected(self, write: _Write) -> None:
        """Complete a single write that the store rejected, according to the present record."""
        try:
            entry = await self._read(write.key)
        except PlatformError as error:
            _complete(write, error)
            return
        if entry is None:
            is_deletion = write.record is None
            missing = OutcomeUnknownError("the order's record was not written; ask again")
            _complete(write, None if is_deletion else missing)
            return
        stored = OrderRecord.decode(entry.value)
        if write.record is not None and stored.claim_id == write.record.claim_id:
            self._complete_written(write, entry.mod_revision)
        else:
            _complete(write, OrderExistsError(stored))

    def _complete_written(self, write: _Write, revision: int) -> None:
        if write.record is None:
            self._revisions_by_key.pop(write.key, None)
        else:
            self._revisions_by_key[write.key] = revision
        _complete(write, None)


def _complete(write: _Write, error: Exception | None) -> None:
    if write.done.done():
        return
    if error is None:
        write.done.set_result(None)
    else:
        write.done.set_exception(error)
