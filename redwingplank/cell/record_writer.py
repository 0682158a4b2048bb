"""Stores the progress of jobs, one write after the other."""

import asyncio
from collections.abc import Callable

import msgspec

from redwingplank.batch.owner import JobOwner, RecordToStore
from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import STORE_ERRORS, NodeContext
from redwingplank.cell.keys import (
    CANCELS_PREFIX,
    JOBS_PREFIX,
    LEARNED_KEY,
    PROGRESS_PREFIX,
    SEQUENCE_KEY,
    TERM_KEY,
)
from redwingplank.cell.membership import Ownership
from redwingplank.platform.site.http import NoAnswerError
from redwingplank.platform.site.store import Put, TransactionEnd

__all__ = ["RecordWriter"]

RECORDS_PER_WRITE = 28
"""A transaction takes 32 entries; two keys are compared and up to two more are written."""
LEARNED_PERIOD_S = 2.0
"""Learned speeds change within tens of tasks; they go along with a write that is due anyway."""
JOBS_PER_REMOVAL = 9
"""Three keys a job, within the 32 entries of a transaction."""
WRITE_TIMEOUT_S = 1.2
"""A slow store answers in 0.25 s; a full write is larger."""
RETRY_S = 0.15
"""A store that refuses is asked seven times a second, by the owner alone."""
GATHER_S = 0.05
"""Ends that come within it are stored with one write."""


class RecordWriter:
    """Writes records under the term of the owner.

    Parameters
    ----------
    context : NodeContext
        Of this node.
    ownership : Ownership
        The term.
    owner : JobOwner
        Whose records are stored.
    on_stored : callable
        Called after each write.
    on_superseded : callable
        Called when another owner has written.

    Notes
    -----
    Each write changes the sequence key and depends on its last change. A write without an answer
    is sent again as it was: it is carried out once, and a late copy finds the key changed.
    """

    def __init__(
        self,
        context: NodeContext,
        ownership: Ownership,
        owner: JobOwner,
        on_stored: Callable[[], None],
        on_superseded: Callable[[str], None],
    ) -> None:
        self._context = context
        self._ownership = ownership
        self._owner = owner
        self._on_stored = on_stored
        self._on_superseded = on_superseded
        self._sequence = 0
        self._sequence_revision = ownership.sequence_revision
        self._is_wanted = asyncio.Event()
        self._learned_s = now_s()

    def wake(self) -> None:
        """Say that there is something to store."""
        self._is_wanted.set()

    async def run(self) -> None:
        """Write until cancelled or superseded."""
        while True:
            await self._is_wanted.wait()
            self._is_wanted.clear()
            if not self._owner.is_write_urgent():
                await asyncio.sleep(GATHER_S)
            while records := self._owner.take_records(RECORDS_PER_WRITE):
                puts = [Put(PROGRESS_PREFIX + record.job_id, record.value) for record in records]
                puts += self._learned(now_s())
                if not await self._write(puts, records):
                    return
                self._owner.confirm_stored_records(records, now_s())
                self._on_stored()

    def _learned(self, now: float) -> list[Put]:
        """Return what the next owner is to know of speeds, if it was not written lately."""
        if now - self._learned_s < LEARNED_PERIOD_S:
            return []
        self._learned_s = now
        return [Put(LEARNED_KEY, self._owner.state.speeds.encode())]

    async def remove(self, job_ids: list[str]) -> None:
        """Remove all keys of jobs that are forgotten."""
        for start in range(0, len(job_ids), JOBS_PER_REMOVAL):
            removes = [
                prefix + job_id
                for job_id in job_ids[start : start + JOBS_PER_REMOVAL]
                for prefix in (JOBS_PREFIX, PROGRESS_PREFIX, CANCELS_PREFIX)
            ]
            expected = {TERM_KEY: self._ownership.term_revision}
            try:
                await self._context.store.transact(expected, [], removes, WRITE_TIMEOUT_S)
            except STORE_ERRORS as error:
                self._context.log("removal_failed", jobs=len(job_ids), error=error)

    async def _write(self, puts: list[Put], records: list[RecordToStore]) -> bool:
        """Return whether the write was carried out; False once another owner has written."""
        self._sequence += 1
        mark = msgspec.json.encode([self._ownership.epoch, self._sequence])
        expected = {
            TERM_KEY: self._ownership.term_revision,
            SEQUENCE_KEY: self._sequence_revision,
        }
        all_puts = [Put(SEQUENCE_KEY, mark), *puts]
        while True:
            try:
                result = await self._context.store.transact(expected, all_puts, [], WRITE_TIMEOUT_S)
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
            if result.end is TransactionEnd.DONE:
                self._sequence_revision = result.revision
                return True
            found = {item.key: item for item in result.found}
            sequence = found.get(SEQUENCE_KEY)
            if sequence is not None and sequence.value == mark:
                self._sequence_revision = sequence.revision
                return True
            self._on_superseded("another_owner_wrote")
            return False
