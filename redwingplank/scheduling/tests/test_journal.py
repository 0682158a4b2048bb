from itertools import pairwise

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from redwingplank.core import RedwingError, make_resources
from redwingplank.platform import Delete, KeyValue, Put
from redwingplank.scheduling.journal import JournalBuffer, JournalFullError, RecordTooLargeError
from redwingplank.scheduling.journal_codec import decode_entry, encode_entry
from redwingplank.scheduling.journal_state import JournalState, MapValue
from redwingplank.scheduling.journal_values import JournalPosition, JournalSettings
from redwingplank.scheduling.messages import (
    JobAccepted,
    JobCancelled,
    JobFinished,
    JobSpec,
    JobState,
    JournalEntry,
    JournalRecord,
    StartIntended,
    TaskFinished,
    TaskState,
)
from redwingplank.scheduling.recovery import JournalCorruptError, replay_journal

PREFIX = "shards/a/journal/"
FIRST_POSITION = JournalPosition()
SPEC = JobSpec("a.1", "bureau", "extract", 3, make_resources(1, 2, {"gpu": 1}), 5.0, b"notes")


def make_buffer(image=None, position=FIRST_POSITION, **values):
    return JournalBuffer(PREFIX, "n", image or JournalState(), position, JournalSettings(**values))


def job_records(sequence, name, size=10):
    spec = JobSpec(name, "bureau", "extract", 2, payload=b"p" * size)
    entries: list[JournalEntry] = [
        JobAccepted(spec),
        StartIntended(((f"{name}/0", 1, "w1"), (f"{name}/1", 1, "w2"))),
        TaskFinished(f"{name}/0", TaskState.SUCCEEDED, b"r" * size),
        JobCancelled(name),
        JobFinished(name, JobState.CANCELLED, "asked to"),
    ]
    return [JournalRecord(sequence + index, entry) for index, entry in enumerate(entries)]


class FakeKeys:
    """Keys of a store in memory, to which transactions are applied."""

    def __init__(self):
        self.values = {}

    def apply(self, operations):
        for operation in operations:
            if isinstance(operation, Put):
                self.values[operation.key] = operation.value
            elif isinstance(operation, Delete) and operation.is_prefix:
                for key in [key for key in self.values if key.startswith(operation.key)]:
                    del self.values[key]
            else:
                self.values.pop(operation.key, None)

    def entries(self):
        return [KeyValue(key, value, 1, 1) for key, value in sorted(self.values.items())]


def flush_all(buffer, keys, now_s=0.0):
    while buffer.has_waiting:
        flush = buffer.cut_flush(now_s, 1000.0)
        keys.apply((Put(flush.key, flush.value),))
        buffer.committed(flush)


def snapshot(buffer, keys):
    plan = buffer.begin_snapshot(1000.0)
    parts = list(buffer.snapshot_parts(plan))
    for part in parts:
        keys.apply((part,))
    keys.apply(buffer.finish_operations(plan, len(parts)))
    buffer.snapshot_finished(plan, 5)
    return parts


class TestCodec:
    @pytest.mark.parametrize(
        "entry",
        [
            JobAccepted(SPEC),
            JobCancelled("a.1"),
            StartIntended((("a.1/0", 2, "w1"),)),
            TaskFinished("a.1/0", TaskState.UNKNOWN, b"\x00", "lost"),
            JobFinished("a.1", JobState.FAILED, "no room"),
        ],
    )
    def test_reads_what_it_wrote(self, entry):
        assert decode_entry(encode_entry(entry)) == entry


class TestGroupCommit:
    def test_one_flush_takes_records_and_changes_together(self):
        buffer = make_buffer()
        buffer.add_records(job_records(1, "j"))
        token = buffer.set_value("orders", "k", b"v")
        flush = buffer.cut_flush(0.0, 0.0)
        assert (flush.last_sequence, flush.token) == (5, token)
        assert buffer.next_flush_at_s() is None
        buffer.committed(flush)
        assert not buffer.has_waiting

    def test_keeps_within_its_flushes_per_second(self):
        buffer = make_buffer(max_flushes_per_s=10.0)
        cut_at_s: list[float] = []
        for sequence in range(1, 20):
            buffer.add_records([JournalRecord(sequence, JobCancelled("j"))])
            now_s = max(buffer.next_flush_at_s(), cut_at_s[-1] if cut_at_s else 50.0)
            cut_at_s.append(now_s)
            buffer.committed(buffer.cut_flush(now_s, 0.0))
        gaps = [late - early for early, late in pairwise(cut_at_s)]
        assert min(gaps) >= 0.1 - 1e-9

    def test_splits_what_does_not_fit_and_keeps_the_order(self):
        buffer = make_buffer(max_flush_bytes=2_000)
        keys = FakeKeys()
        for index in range(20):
            buffer.add_records(job_records(1 + 5 * index, f"j{index}", size=300))
        flush_all(buffer, keys)
        assert len(keys.values) > 5
        assert max(map(len, keys.values.values())) <= 2_000 + 256
        assert replay_journal(keys.entries(), PREFIX).image == buffer.image

    def test_refuses_a_record_that_no_flush_can_hold(self):
        buffer = make_buffer()
        with pytest.raises(RecordTooLargeError, match="smaller"):
            buffer.add_records(job_records(1, "j", size=600_000))
        with pytest.raises(RecordTooLargeError):
            buffer.set_value("orders", "k", b"v" * 600_000)

    def test_refuses_values_while_too_much_waits(self):
        buffer = make_buffer(max_waiting_bytes=1_000)
        buffer.set_value("orders", "k", b"v" * 1_000)
        with pytest.raises(JournalFullError):
            buffer.set_value("orders", "l", b"v")

    def test_refuses_a_gap(self):
        with pytest.raises(RedwingError, match="does not follow"):
            make_buffer().add_records([JournalRecord(2, JobCancelled("j"))])


class TestSnapshot:
    def test_covers_and_deletes_the_log(self):
        buffer, keys = make_buffer(max_part_bytes=1_000), FakeKeys()
        for index in range(10):
            buffer.add_records(job_records(1 + 5 * index, f"j{index}", size=200))
        buffer.set_value("orders", "k", b"v" * 900, expires_at_unix_s=5_000.0)
        flush_all(buffer, keys)
        assert len(snapshot(buffer, keys)) > 3
        assert not any("/log/" in key for key in keys.values)
        replayed = replay_journal(keys.entries(), PREFIX)
        assert replayed.image == buffer.image
        assert replayed.image.values_by_stream["orders"]["k"] == MapValue(b"v" * 900, 5_000.0)

    def test_forgets_what_is_old(self):
        buffer = make_buffer(finished_retention_s=100.0)
        buffer.add_records(job_records(1, "old"))
        buffer.set_value("orders", "k", b"v", expires_at_unix_s=1_050.0)
        flush_all(buffer, FakeKeys())
        buffer.add_records([JournalRecord(6, JobAccepted(SPEC))])
        flush_all(buffer, FakeKeys())
        buffer.begin_snapshot(now_unix_s=1_099.0)
        assert sorted(buffer.image.jobs_by_id) == ["a.1", "old"]
        buffer.begin_snapshot(now_unix_s=1_100.0)
        assert sorted(buffer.image.jobs_by_id) == ["a.1"]
        assert buffer.image.values_by_stream["orders"] == {}

    def test_is_due_by_the_size_of_a_replayed_log_too(self):
        position = JournalPosition(segment=4, log_flushes=4_000)
        assert make_buffer(position=position).is_snapshot_due()

    def test_ignores_a_snapshot_that_never_became_valid(self):
        buffer, keys = make_buffer(), FakeKeys()
        buffer.add_records(job_records(1, "j"))
        flush_all(buffer, keys)
        plan = buffer.begin_snapshot(1000.0)
        for part in buffer.snapshot_parts(plan):
            keys.apply((part,))
        buffer.add_records([JournalRecord(6, JobAccepted(SPEC))])
        flush_all(buffer, keys)
        assert replay_journal(keys.entries(), PREFIX).image == buffer.image


class TestReplay:
    def test_of_nothing(self):
        replayed = replay_journal([], PREFIX)
        assert replayed.image == JournalState()
        assert replayed.position == JournalPosition(segment=1, first_segment=0)

    @pytest.mark.parametrize("missing", ["log/0000000000/0000000001", "log/0000000000/0000000002"])
    def test_reports_a_missing_flush(self, missing):
        buffer, keys = make_buffer(), FakeKeys()
        for sequence in range(1, 4):
            buffer.add_records([JournalRecord(sequence, JobCancelled("j"))])
            flush_all(buffer, keys)
        del keys.values[PREFIX + missing]
        with pytest.raises(JournalCorruptError, match="backup"):
            replay_journal(keys.entries(), PREFIX)

    def test_reports_a_missing_part(self):
        buffer, keys = make_buffer(), FakeKeys()
        buffer.add_records(job_records(1, "j"))
        flush_all(buffer, keys)
        snapshot(buffer, keys)
        del keys.values[PREFIX + "base/0000000001/000001"]
        with pytest.raises(JournalCorruptError, match="lacks"):
            replay_journal(keys.entries(), PREFIX)

    def test_reports_a_gap_in_the_records(self):
        keys = FakeKeys()
        for sequence in (1, 3):
            buffer = make_buffer(JournalState(last_sequence=sequence - 1))
            buffer.add_records([JournalRecord(sequence, JobCancelled("j"))])
            flush = buffer.cut_flush(0.0, 0.0)
            key = flush.key.replace("log/0000000000", f"log/{sequence:010d}")
            keys.apply((Put(key, flush.value),))
        with pytest.raises(JournalCorruptError, match="record 3"):
            replay_journal(keys.entries(), PREFIX)


def _comparable_content(image):
    return {
        "jobs": {key: repr(job) for key, job in image.jobs_by_id.items()},
        "values": {
            stream: {key: value.value for key, value in values.items()}
            for stream, values in image.values_by_stream.items()
            if values
        },
    }


class TestEveryCutPoint:
    """A writer may die after any transaction: replay must return exactly what was durable."""

    @seed(20261)
    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("job"), st.integers(0, 400)),
                st.tuples(st.just("value"), st.integers(0, 400)),
                st.tuples(st.just("flush"), st.just(0)),
                st.tuples(st.just("snapshot"), st.just(0)),
                st.tuples(st.just("new owner"), st.just(0)),
            ),
            max_size=25,
        )
    )
    def test_replay_returns_what_was_durable(self, steps):
        writer = _RecordingWriter()
        for kind, size in steps:
            writer.step(kind, size)
        for values, durable in writer.states:
            keys = FakeKeys()
            keys.values = values
            image = replay_journal(keys.entries(), PREFIX).image
            expected = _durable_image(durable)
            assert _comparable_content(image) == _comparable_content(expected)
            assert image.last_sequence == expected.last_sequence


def _durable_image(flushes):
    image = JournalState()
    for flush in flushes:
        for entry in flush.entries:
            image.apply_entry(entry, 1000.0)
        image.last_sequence = flush.last_sequence or image.last_sequence
        image.apply_changes(flush.body.changes)
    return image


class _RecordingWriter:
    """Drives a journal buffer and records the store's content after every transaction."""

    def __init__(self):
        self.keys = FakeKeys()
        self.durable = []
        self.states = []
        self.sequence = 0
        self.count = 0
        self.buffer = self._make(JournalState(), JournalPosition())

    def step(self, kind, size):
        self.count += 1
        if kind == "job":
            self.buffer.add_records(job_records(self.sequence + 1, f"j{self.count}", size))
            self.sequence += 5
        elif kind == "value":
            value = b"v" * size if size else None
            self.buffer.set_value("orders", f"k{size % 5}", value)
        elif kind == "flush":
            self._flush()
        elif kind == "snapshot":
            self._snapshot()
        else:
            self._replay_as_new_owner()

    def _make(self, image, position):
        return make_buffer(image, position, max_flush_bytes=700, max_part_bytes=900)

    def _transact(self, operations):
        self.keys.apply(operations)
        self.states.append((dict(self.keys.values), tuple(self.durable)))

    def _flush(self):
        if not self.buffer.has_waiting:
            return
        flush = self.buffer.cut_flush(0.0, 1000.0)
        self.durable.append(flush)
        self._transact((Put(flush.key, flush.value),))
        self.buffer.committed(flush)

    def _snapshot(self):
        plan = self.buffer.begin_snapshot(1000.0)
        part_count = 0
        for part in self.buffer.snapshot_parts(plan):
            part_count += 1
            self._transact((part,))
            self._flush()
        self._transact(self.buffer.finish_operations(plan, part_count))
        self.buffer.snapshot_finished(plan, 1)

    def _replay_as_new_owner(self):
        replayed = replay_journal(self.keys.entries(), PREFIX)
        self.buffer = self._make(replayed.image, replayed.position)
        self.sequence = replayed.image.last_sequence
