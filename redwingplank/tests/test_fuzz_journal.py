"""Fuzzing of the journal: a damaged value is replayed or reported as a corrupt journal."""

from contextlib import suppress

from hypothesis import example, given, settings
from hypothesis import strategies as st

from redwingplank.platform import Put
from redwingplank.scheduling.recovery import JournalCorruptError, replay_journal
from redwingplank.scheduling.tests.test_journal import (
    PREFIX,
    FakeKeys,
    flush_all,
    job_records,
    make_buffer,
    snapshot,
)

BOUNDED = settings(max_examples=150, deadline=None, derandomize=True, database=None)


def make_keys() -> FakeKeys:
    """Return a journal with a snapshot and later log entries."""
    buffer, keys = make_buffer(), FakeKeys()
    buffer.add_records(job_records(1, "j"))
    flush_all(buffer, keys)
    snapshot(buffer, keys)
    buffer.add_records(job_records(len(job_records(1, "j")) + 1, "k"))
    flush_all(buffer, keys)
    return keys


KEY_COUNT = len(make_keys().values)


def replay_with(index: int, value: bytes) -> None:
    """Replay a journal with one replaced value; only `JournalCorruptError` may be raised."""
    keys = make_keys()
    keys.apply((Put(sorted(keys.values)[index], value),))
    with suppress(JournalCorruptError):
        replay_journal(keys.entries(), PREFIX)


class TestJournalBytes:
    def test_the_journal_is_read_when_nothing_is_damaged(self) -> None:
        assert KEY_COUNT >= 3
        replayed = replay_journal(make_keys().entries(), PREFIX)
        assert set(replayed.image.jobs_by_id) == {"j", "k"}

    @BOUNDED
    @given(st.integers(0, KEY_COUNT - 1), st.binary(max_size=80))
    @example(0, b"")
    def test_any_value(self, index: int, value: bytes) -> None:
        replay_with(index, value)

    @BOUNDED
    @given(st.integers(0, KEY_COUNT - 1), st.integers(0, 300), st.integers(0, 255))
    def test_one_changed_byte(self, index: int, position: int, byte: int) -> None:
        keys = make_keys()
        value = bytearray(_value_of(keys, index))
        value[position % len(value)] = byte
        replay_with(index, bytes(value))

    @BOUNDED
    @given(st.integers(0, KEY_COUNT - 1), st.integers(0, 300))
    def test_a_cut_value(self, index: int, length: int) -> None:
        replay_with(index, _value_of(make_keys(), index)[:length])


def _value_of(keys: FakeKeys, index: int) -> bytes:
    key = sorted(keys.values)[index]
    return next(entry.value for entry in keys.entries() if entry.key == key)
