"""Durable records of orders."""

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
    """Another process recorded the order first.

    Parameters
    ----------
    record : OrderRecord
        What it recorded.
    """

    def __init__(self, record: OrderRecord) -> None:
        super().__init__(f"order {record.digest} is recorded already, by {record.entry}")
        self.record = record


class OrderLog(ABC):
    """Keeps the records of one shard's orders.

    Notes
    -----
    Methods return after the change is durable and raise `PlatformError` when it is not, or not
    certainly.
    """

    @abstractmethod
    async def create(self, record: OrderRecord) -> None:
        """Write the first record of an order; raises `OrderExistsError` if there is one."""

    @abstractmethod
    async def replace(self, record: OrderRecord) -> None:
        """Write a later record of an order."""

    @abstractmethod
    async def delete(self, digests: tuple[str, ...]) -> None:
        """Delete records."""

    @abstractmethod
    async def read(self, digest: str) -> OrderRecord | None:
        """Return the record of an order."""

    @abstractmethod
    async def replay(self) -> tuple[OrderRecord, ...]:
        """Return all records."""


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
    """One key for each order, written by compare-and-swap, many orders in one transaction.

    Parameters
    ----------
    store : KeyValueStore
        The platform's service.
    shard : str
        Part of the keys.
    max_calls_per_s : float
        Bound on transactions.

    Notes
    -----
    A lost answer is settled by reading back: the record holds the claim's unique id. Two homes of
    the same shard cannot both record an order, because creation requires that the key is absent;
    later writes require the revision that this home knows, so that a home that was replaced
    changes nothing.
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
                await self._keep_to_rate()
                await self._commit(self._take_batch())
        finally:
            self._writer = None

    async def _keep_to_rate(self) -> None:
        loop = asyncio.get_running_loop()
        delay_s = self._next_call_s - loop.time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        self._next_call_s = max(self._next_call_s, loop.time()) + self._interval_s

    def _take_batch(self) -> list[_Write]:
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
                _settle(write, error)
            return
        if revision:
            for write in batch:
                self._note(write, revision)
        elif len(batch) == 1:
            await self._settle_existing(batch[0])
        else:
            for write in batch:
                await self._commit([write])

    async def _transact(self, batch: list[_Write]) -> int:
        """Return the revision at which a batch was written, 0 when it was not."""
        compares = tuple(write.compare() for write in batch)
        operations = tuple(write.operation() for write in batch)
        try:
            result = await self._store.transact(compares, operations)
        except OutcomeUnknownError:
            return await self._read_back(batch)
        return result.revision if result.succeeded else 0

    async def _read_back(self, batch: list[_Write]) -> int:
        """Return the revision of a batch whose answer was lost, 0 when it had no effect."""
        witness = next((write for write in batch if write.record is not None), None)
        if witness is None or witness.record is None:
            return 0
        entry = await self._read(witness.key)
        is_written = entry is not None and entry.value == witness.record.encode()
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

    async def _settle_existing(self, write: _Write) -> None:
        """Settle a single write that the store did not do, by what the key holds."""
        try:
            entry = await self._read(write.key)
        except PlatformError as error:
            _settle(write, error)
            return
        if entry is None:
            is_gone = write.record is None
            missing = OutcomeUnknownError("the order's record was not written; ask again")
            _settle(write, None if is_gone else missing)
            return
        stored = OrderRecord.decode(entry.value)
        if write.record is not None and stored.claim_id == write.record.claim_id:
            self._note(write, entry.mod_revision)
        else:
            _settle(write, OrderExistsError(stored))

    def _note(self, write: _Write, revision: int) -> None:
        if write.record is None:
            self._revisions_by_key.pop(write.key, None)
        else:
            self._revisions_by_key[write.key] = revision
        _settle(write, None)


def _settle(write: _Write, error: Exception | None) -> None:
    if write.done.done():
        return
    if error is None:
        write.done.set_result(None)
    else:
        write.done.set_exception(error)
