"""Writes the progress of jobs to the store, one transaction at a time."""

import asyncio
import enum
from collections.abc import Callable, Mapping

import msgspec

from redwingplank.batch.owner import JobOwner, RecordToStore
from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import STORE_ERRORS, NodeContext
from redwingplank.cell.keys import (
    CANCELS_PREFIX,
    EPOCH_KEY,
    JOBS_PREFIX,
    LEARNED_KEY,
    PROGRESS_PREFIX,
    SEQUENCE_KEY,
)
from redwingplank.cell.lease_bound import make_lease_bound_put
from redwingplank.cell.system_entries import Ownership
from redwingplank.platform.site.http import NoAnswerError
from redwingplank.platform.site.store import Put, StoreInvalidCallError, TransactionOutcome

__all__ = ["RecordWriter"]

RECORDS_PER_WRITE = 28
"""A transaction has at most 32 entries: two compared keys, and besides the records up to two more
writes (sequence and learned speeds)."""
LEARNED_PERIOD_S = 2.0
"""Shortest time between two writes of the learned speeds, which change over tens of tasks. They
are added to a write of records."""
JOBS_PER_REMOVAL = 7
"""Each job has three keys, one of which is compared; a transaction has at most 32 entries."""
CANCELLATIONS_PER_REMOVAL = 10
"""Each has two keys that are compared, one of which is removed, in the same 32 entries."""
WRITE_TIMEOUT_S = 1.2
"""A slow store answers in 0.25 s; a transaction with all entries takes longer."""
RETRY_S = 0.15
"""Pause after a failed write: the owner, the only node that writes records, tries at most seven
times a second."""
INVALID_CALLS = 3
"""Number of times that the store refuses a record by itself as invalid until its job is held. A
single refusal may have another cause."""
GATHER_S = 0.05
"""Completions that arrive within this time are stored in one transaction."""


class WriteEnd(enum.Enum):
    """How a write of records ended."""

    DONE = enum.auto()
    INVALID = enum.auto()
    """The store refused it as invalid; nothing was written."""
    SUPERSEDED = enum.auto()
    """Another owner has written."""


class RecordWriter:
    """Writes records under the epoch of the owner.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    ownership : Ownership
        Epoch of the owner, with the revisions that its first write depends on.
    owner : JobOwner
        Provides the records to store, and is notified when they are stored.
    on_stored : callable
        Called after each transaction with records that was carried out.
    on_superseded : callable
        Called with a reason when a newer owner has written; nothing is written afterwards.
    on_proven : callable
        Called with the ownership and the time at which a write was sent that required its epoch and
        was carried out.

    Notes
    -----
    Each transaction of records changes the sequence key and requires the revision of its previous
    change. A transaction without an answer is sent again unchanged: it is carried out once, because
    a delayed copy finds the key changed.
    """

    def __init__(
        self,
        context: NodeContext,
        ownership: Ownership,
        owner: JobOwner,
        on_stored: Callable[[], None],
        on_superseded: Callable[[str], None],
        on_proven: Callable[[Ownership, float], None],
    ) -> None:
        self._context = context
        self._ownership = ownership
        self._owner = owner
        self._on_stored = on_stored
        self._on_superseded = on_superseded
        self._on_proven = on_proven
        self._sequence = 0
        self._sequence_revision = ownership.sequence_revision
        self._is_wanted = asyncio.Event()
        self._learned_written_s = now_s()

    def wake(self) -> None:
        """Notify the writer that there are records to store."""
        self._is_wanted.set()

    async def run(self) -> None:
        """Write until cancelled or superseded."""
        while True:
            await self._is_wanted.wait()
            self._is_wanted.clear()
            if not self._owner.is_write_urgent():
                await asyncio.sleep(GATHER_S)
            while records := self._owner.pop_records(RECORDS_PER_WRITE):
                try:
                    is_written = await self._write_records(records)
                except Exception:
                    # The loop runs again, and what was not stored has to be stored then.
                    self._owner.return_records(records)
                    self._is_wanted.set()
                    raise
                if not is_written:
                    return

    async def _write_records(self, records: list[RecordToStore]) -> bool:
        """Write records, and what the store refuses as invalid one by one.

        Returns
        -------
        bool
            False if another owner has written.
        """
        end = await self._write(self._make_puts(records), records)
        if end is WriteEnd.DONE:
            self._confirm(records)
        if end is not WriteEnd.INVALID:
            return end is WriteEnd.DONE
        for record in records:
            end = await self._write_by_itself(record)
            if end is WriteEnd.SUPERSEDED:
                return False
            if end is WriteEnd.INVALID:
                self._owner.refuse_record(record)
            else:
                self._confirm([record])
        return True

    def _confirm(self, records: list[RecordToStore]) -> None:
        self._owner.confirm_stored_records(records, now_s())
        self._on_stored()

    async def _write_by_itself(self, record: RecordToStore) -> WriteEnd:
        put = Put(PROGRESS_PREFIX + record.job_id, record.value)
        end = WriteEnd.INVALID
        for _ in range(INVALID_CALLS):
            end = await self._write([put], [record])
            if end is not WriteEnd.INVALID:
                return end
            await asyncio.sleep(RETRY_S)
        return end

    def _make_puts(self, records: list[RecordToStore]) -> list[Put]:
        puts = [Put(PROGRESS_PREFIX + record.job_id, record.value) for record in records]
        return puts + self._make_learned_speeds_put(now_s())

    def _make_learned_speeds_put(self, now: float) -> list[Put]:
        """Return the write of the learned speeds for the next owner, if one is due."""
        if now - self._learned_written_s < LEARNED_PERIOD_S:
            return []
        self._learned_written_s = now
        value = self._owner.state.speeds.encode()
        if len(value) > self._owner.state.settings.record_bytes:
            self._context.log("learned_too_long", value_bytes=len(value))
            return []
        return [Put(LEARNED_KEY, value)]

    async def remove(self, revisions_by_id: Mapping[str, int]) -> None:
        """Remove all keys of jobs from the store.

        Parameters
        ----------
        revisions_by_id : mapping of str to int
            Revision of the key of each job. A key with another revision belongs to a new job with
            the same id, and stays.

        Notes
        -----
        A removal that failed is not repeated here: its jobs stay known until the store is seen
        without them, and are removed again in the next period.
        """
        job_ids = list(revisions_by_id)
        for start in range(0, len(job_ids), JOBS_PER_REMOVAL):
            batch = job_ids[start : start + JOBS_PER_REMOVAL]
            expected = {EPOCH_KEY: self._ownership.epoch_revision}
            expected.update((JOBS_PREFIX + job_id, revisions_by_id[job_id]) for job_id in batch)
            removes = [
                prefix + job_id
                for job_id in batch
                for prefix in (JOBS_PREFIX, PROGRESS_PREFIX, CANCELS_PREFIX)
            ]
            await self._remove_keys(expected, removes, jobs=len(batch))

    async def remove_cancellations(self, revisions_by_id: Mapping[str, int]) -> None:
        """Remove cancellations without a job from the store; those whose job is stored stay.

        A removal that failed is repeated in the next period, as in `remove`.

        Parameters
        ----------
        revisions_by_id : mapping of str to int
            Revision of the cancellation of each job. One with another revision is newer, and stays.
        """
        job_ids = list(revisions_by_id)
        for start in range(0, len(job_ids), CANCELLATIONS_PER_REMOVAL):
            batch = job_ids[start : start + CANCELLATIONS_PER_REMOVAL]
            expected = {EPOCH_KEY: self._ownership.epoch_revision}
            expected.update((JOBS_PREFIX + job_id, 0) for job_id in batch)
            expected.update((CANCELS_PREFIX + job_id, revisions_by_id[job_id]) for job_id in batch)
            removes = [CANCELS_PREFIX + job_id for job_id in batch]
            await self._remove_keys(expected, removes, cancellations=len(batch))

    async def record_lease_bound(self) -> None:
        """Store that every lease from before the present series of owners has expired.

        Repeated until it is stored; it requires the epoch of this owner.
        """
        expected = {EPOCH_KEY: self._ownership.epoch_revision}
        put = make_lease_bound_put(self._ownership.epoch)
        while True:
            try:
                result = await self._context.store.transact(expected, [put], [], WRITE_TIMEOUT_S)
            except STORE_ERRORS as error:
                self._context.health.record_failure(error)
                await asyncio.sleep(RETRY_S)
                continue
            self._context.log("lease_bound", end=result.outcome.name.lower())
            return

    async def _remove_keys(
        self, expected: dict[str, int], removes: list[str], **counts: int
    ) -> None:
        problem: object = ""
        try:
            result = await self._context.store.transact(expected, [], removes, WRITE_TIMEOUT_S)
            if result.outcome is not TransactionOutcome.DONE:
                problem = result.outcome.name.lower()
        except STORE_ERRORS as error:
            problem = error
        if problem:
            self._context.log("removal_failed", **counts, error=problem)

    async def _write(self, puts: list[Put], records: list[RecordToStore]) -> WriteEnd:
        """Write until it is carried out, refused as invalid, or another owner has written."""
        self._sequence += 1
        sequence_value = msgspec.json.encode([self._ownership.epoch, self._sequence])
        expected = {
            EPOCH_KEY: self._ownership.epoch_revision,
            SEQUENCE_KEY: self._sequence_revision,
        }
        all_puts = [Put(SEQUENCE_KEY, sequence_value), *puts]
        while True:
            sent_s = now_s()
            try:
                result = await self._context.store.transact(expected, all_puts, [], WRITE_TIMEOUT_S)
            except StoreInvalidCallError:
                # Repeated unchanged it would be refused again, and all other records would wait.
                self._context.health.record_success()
                self._context.log("write_invalid", records=len(records))
                return WriteEnd.INVALID
            except STORE_ERRORS as error:
                self._context.health.record_failure(error)
                self._context.log(
                    "write_failed",
                    records=len(records),
                    is_unknown=isinstance(error, NoAnswerError),
                    error=error,
                )
                await asyncio.sleep(RETRY_S)
                continue
            self._context.health.record_success()
            if result.outcome is TransactionOutcome.DONE:
                self._on_proven(self._ownership, sent_s)
                self._sequence_revision = result.revision
                return WriteEnd.DONE
            found = {item.key: item for item in result.found}
            sequence = found.get(SEQUENCE_KEY)
            if sequence is not None and sequence.value == sequence_value:
                self._sequence_revision = sequence.revision
                return WriteEnd.DONE
            self._on_superseded("another_owner_wrote")
            return WriteEnd.SUPERSEDED
