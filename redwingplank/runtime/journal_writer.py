"""Writes a shard's journal: group commit, snapshots, and resolution of lost answers."""

import asyncio
from collections.abc import Callable

from redwingplank.core import Clock, RedwingError, log_event, make_logger
from redwingplank.platform import (
    Compare,
    Delete,
    KeyValue,
    KeyValueStore,
    OutcomeUnknownError,
    Put,
    UnavailableError,
)
from redwingplank.runtime.counters import ProcessCounters
from redwingplank.scheduling.journal import JournalBuffer
from redwingplank.scheduling.journal_keys import head_key
from redwingplank.scheduling.journal_values import Flush, SnapshotPlan
from redwingplank.scheduling.ownership import ShardKeys, ShardTerm

__all__ = ["FencedError", "JournalWriter"]

RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
SNAPSHOT_PART_PAUSE_S = 0.2


class FencedError(RedwingError):
    """Another writer changed the shard's epoch or a journal key; the ownership must be given up."""


class JournalWriter:
    """Writes the contents of a `JournalBuffer`, one transaction at a time.

    Parameters
    ----------
    store : KeyValueStore
        Client whose calls have a time limit.
    keys : ShardKeys
        Keys of the shard.
    term : ShardTerm
        The ownership; every transaction is conditional on the revision of its epoch key.
    buffer : JournalBuffer
        Records to write.
    clock, unix_clock : Clock
        Monotonic clock and wall clock.
    counters : ProcessCounters
        Counts flushes, snapshots and bytes.
    on_committed : callable
        Called with each flush once it is durable.
    """

    def __init__(
        self,
        store: KeyValueStore,
        keys: ShardKeys,
        term: ShardTerm,
        buffer: JournalBuffer,
        clock: Clock,
        unix_clock: Clock,
        counters: ProcessCounters,
        on_committed: Callable[[Flush], None],
    ) -> None:
        self.buffer = buffer
        self._store = store
        self._keys = keys
        self._fence = Compare(keys.epoch, term.epoch_revision)
        self._clock = clock
        self._unix_clock = unix_clock
        self._counters = counters
        self._on_committed = on_committed
        self._wake = asyncio.Event()
        self._idle = asyncio.Event()
        self._logger = make_logger("journal")

    def wake(self) -> None:
        """Start a write soon; call it after records were added to the buffer."""
        self._idle.clear()
        self._wake.set()

    async def run(self) -> None:
        """Write until cancelled.

        Raises
        ------
        FencedError
            If another writer changed the shard's epoch or a journal key.
        """
        while True:
            self._wake.clear()
            due_s = self.buffer.next_flush_at_s()
            if due_s is None:
                await self._snapshot_or_wait()
                continue
            await asyncio.sleep(max(0.0, due_s - self._clock.now_s()))
            await self._flush()

    async def drain(self) -> None:
        """Return once all records that were added to the buffer are durable."""
        while self.buffer.has_waiting:
            self.wake()
            await self._idle.wait()

    async def _snapshot_or_wait(self) -> None:
        self._idle.set()
        if self.buffer.is_snapshot_due():
            await self._write_snapshot()
        else:
            await self._wake.wait()

    async def _flush(self) -> None:
        flush = self.buffer.cut_flush(self._clock.now_s(), self._unix_clock.now_s())
        await self._write_once(Put(flush.key, flush.value))
        self.buffer.committed(flush)
        self._counters.increment("journal.flushes")
        self._counters.increment("journal.bytes", len(flush.value))
        self._on_committed(flush)
        if self.buffer.is_snapshot_due():
            await self._write_snapshot()

    async def _write_snapshot(self) -> None:
        plan = self.buffer.begin_snapshot(self._unix_clock.now_s())
        part_count = 0
        for part in self.buffer.snapshot_parts(plan):
            part_count += 1
            await self._write_once(part)
            self._counters.increment("journal.bytes", len(part.value))
            await self._flush_beside_snapshot()
        await self._finish_snapshot(plan, part_count)

    async def _flush_beside_snapshot(self) -> None:
        """Pause between snapshot parts, then write records that wait.

        The parts of a snapshot must not use up the budget of store calls, and waiting records are
        written before the next part.
        """
        await asyncio.sleep(SNAPSHOT_PART_PAUSE_S)
        if self.buffer.next_flush_at_s() is None:
            return
        flush = self.buffer.cut_flush(self._clock.now_s(), self._unix_clock.now_s())
        await self._write_once(Put(flush.key, flush.value))
        self.buffer.committed(flush)
        self._counters.increment("journal.flushes")
        self._counters.increment("journal.bytes", len(flush.value))
        self._on_committed(flush)

    async def _finish_snapshot(self, plan: SnapshotPlan, part_count: int) -> None:
        key = head_key(self._keys.journal)
        compare = Compare(key, self.buffer.head_revision)
        operations = self.buffer.finish_operations(plan, part_count)
        revision = await self._write(key, compare, operations)
        self.buffer.snapshot_finished(plan, revision)
        self._counters.increment("journal.snapshots")
        log_event(
            self._logger,
            "journal_truncated",
            prefix=self._keys.journal,
            segment=plan.segment,
            parts=part_count,
        )

    async def _write_once(self, put: Put) -> None:
        await self._write(put.key, Compare(put.key, 0), (put,))

    async def _write(self, key: str, compare: Compare, operations: tuple[Put | Delete, ...]) -> int:
        """Execute a transaction exactly once and return the key's modification revision.

        Notes
        -----
        Once the transaction has taken effect, `compare` is false, so that a repeated request, or a
        copy that arrives late, changes nothing.
        """
        expected_value = next(
            put.value for put in operations if isinstance(put, Put) and put.key == key
        )
        failures = 0
        is_unknown = False
        while True:
            try:
                if is_unknown:
                    entry = await self._read_back(key)
                    if entry is not None and entry.value == expected_value:
                        return entry.mod_revision
                    is_unknown = False
                result = await self._store.transact((self._fence, compare), operations)
                if result.succeeded:
                    return result.revision
                is_unknown = True
                await self._check_not_fenced(key, expected_value)
            except (UnavailableError, OutcomeUnknownError) as error:
                is_unknown = is_unknown or isinstance(error, OutcomeUnknownError)
                failures += 1
                await asyncio.sleep(_backoff_s(failures))

    async def _read_back(self, key: str) -> KeyValue | None:
        result = await self._store.range(key, is_prefix=False)
        return result.entries[0] if result.entries else None

    async def _check_not_fenced(self, key: str, expected_value: bytes) -> None:
        """Return if a rejected transaction had already taken effect, or raise an error.

        Raises
        ------
        FencedError
            If the transaction did not take effect.
        """
        entry = await self._read_back(key)
        if entry is not None and entry.value == expected_value:
            return
        fence = await self._read_back(self._keys.epoch)
        if fence is None or fence.mod_revision != self._fence.mod_revision:
            raise FencedError("another owner has a higher epoch: the term is over")
        raise FencedError(f"{key} changed under this epoch: end the term and replay the journal")


def _backoff_s(failures: int) -> float:
    return min(RETRY_MAX_S, RETRY_MIN_S * 2.0 ** min(failures - 1, 10))
