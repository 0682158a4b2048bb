import asyncio

import pytest

from redwingplank.platform import Delete, Put
from redwingplank.runtime.counters import ProcessCounters
from redwingplank.runtime.journal_writer import FencedError, JournalWriter
from redwingplank.runtime.tests.step_clients import CallFault, StepStore, make_steps
from redwingplank.scheduling.journal import JournalBuffer
from redwingplank.scheduling.journal_state import JournalState
from redwingplank.scheduling.journal_values import JournalPosition, JournalSettings
from redwingplank.scheduling.messages import JobAccepted, JobSpec, JournalRecord
from redwingplank.scheduling.ownership import ShardKeys, ShardTerm
from redwingplank.scheduling.recovery import replay_journal
from redwingplank.standin.store import MemoryStore, MemoryStoreClient
from redwingplank.standin.virtual_time import VirtualClock, run_virtual

KEYS = ShardKeys("a")
LATE_FAULTS = [
    CallFault.REFUSED,
    CallFault.REQUEST_LOST,
    CallFault.ANSWER_LOST,
    CallFault.LATE,
]


class Journal:
    """A journal writer with its own store."""

    def __init__(self, faults_by_call=None, late_s=0.6, **settings):
        self.clock = VirtualClock()
        self.store = MemoryStore(self.clock)
        epoch = self.store.transact((), (Put(KEYS.epoch, b"1"),))
        self.steps = make_steps(faults_by_call, late_s=late_s)
        client = StepStore(MemoryStoreClient(self.store), self.steps)
        self.buffer = JournalBuffer(
            KEYS.journal, "n", JournalState(), JournalPosition(), JournalSettings(**settings)
        )
        self.committed = []
        self.writer = JournalWriter(
            client,
            KEYS,
            ShardTerm(1, epoch.revision, 1, "n"),
            self.buffer,
            self.clock,
            self.clock,
            ProcessCounters(),
            self.committed.append,
        )
        self.task = asyncio.create_task(self.writer.run())
        self.last = 0

    def add(self, size=10):
        self.last += 1
        spec = JobSpec(f"a.{self.last}", "bureau", "extract", payload=b"p" * size)
        self.buffer.add_records([JournalRecord(self.last, JobAccepted(spec))])
        self.writer.wake()

    def entries(self):
        return self.store.read(KEYS.journal, True).entries

    def replayed(self):
        return replay_journal(self.entries(), KEYS.journal).image

    def supersede(self):
        self.store.transact((), (Put(KEYS.epoch, b"2"),))


class TestFence:
    def test_writes_nothing_under_an_old_epoch(self):
        async def scenario():
            journal = Journal()
            journal.supersede()
            journal.add()
            with pytest.raises(FencedError):
                await journal.task
            assert journal.entries() == ()
            assert journal.committed == []

        run_virtual(scenario())

    @pytest.mark.parametrize("fault", [CallFault.LATE, CallFault.REQUEST_LOST])
    def test_a_flush_that_was_under_way_at_the_change_is_not_written(self, fault):
        async def scenario():
            journal = Journal({0: fault})
            journal.add()
            await asyncio.sleep(0.01)
            journal.supersede()
            with pytest.raises(FencedError):
                await journal.task
            await asyncio.sleep(5.0)
            assert journal.entries() == ()

        run_virtual(scenario())

    def test_a_flush_that_took_effect_before_the_change_counts(self):
        async def scenario():
            journal = Journal({0: CallFault.ANSWER_LOST})
            journal.add()
            await asyncio.sleep(0.01)
            journal.supersede()
            await asyncio.sleep(5.0)
            assert [flush.last_sequence for flush in journal.committed] == [1]

        run_virtual(scenario())

    def test_a_snapshot_under_an_old_epoch_deletes_nothing(self):
        async def scenario():
            journal = Journal(snapshot_after_flushes=3)
            for _ in range(2):
                journal.add()
                await asyncio.sleep(0.2)
            before = journal.entries()
            operations = (Delete(KEYS.epoch), Put(KEYS.epoch, b"2"))
            journal.store.transact((), operations)
            journal.add()
            with pytest.raises(FencedError):
                await journal.task
            assert journal.entries() == before

        run_virtual(scenario())


class TestEveryCallFails:
    @pytest.mark.parametrize("fault", LATE_FAULTS)
    @pytest.mark.parametrize("call", range(24))
    def test_all_is_durable_once_and_in_order(self, call, fault):
        """One of the first 24 calls fails; they are flushes, snapshot parts and head writes."""

        async def scenario():
            journal = Journal(
                {call: fault}, late_s=3.0, snapshot_after_flushes=4, max_part_bytes=400
            )
            for _ in range(16):
                journal.add(size=150)
                await asyncio.sleep(0.15)
            await journal.writer.drain()
            await asyncio.sleep(10.0)
            assert [flush.last_sequence for flush in journal.committed][-1] == 16
            assert journal.replayed().jobs_by_id.keys() == {f"a.{n}" for n in range(1, 17)}
            assert journal.replayed().last_sequence == 16
            written_once = [entry for entry in journal.entries() if "/log/" in entry.key]
            assert all(entry.create_revision == entry.mod_revision for entry in written_once)
            assert len(journal.steps.names) > 24

        run_virtual(scenario())

    def test_an_outage_is_waited_out_with_backoff(self):
        async def scenario():
            journal = Journal(dict.fromkeys(range(30), CallFault.REFUSED))
            journal.add()
            await journal.writer.drain()
            assert journal.replayed().last_sequence == 1
            assert 30.0 < journal.clock.now_s() < 70.0

        run_virtual(scenario())
