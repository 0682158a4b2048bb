"""Journal of a shard: group commit, snapshots and truncation, without any input or output.

Keys below the shard's journal prefix:

- ``log/SEGMENT/NUMBER``: one flush, written by a single transaction and never changed
- ``base/SEGMENT/PART``: one part of a snapshot that covers all segments below SEGMENT
- ``head``: the segment of the valid snapshot and its number of parts

A snapshot opens a new log segment and is written part by part. It becomes valid with the
transaction that writes the head and deletes the segments that the snapshot covers.
"""

from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import msgspec

from redwingplank.core import RedwingError
from redwingplank.platform import MAX_VALUE_BYTES, Delete, Put
from redwingplank.scheduling.journal_codec import (
    FlushBody,
    MapChange,
    SnapshotHead,
    SnapshotPart,
    encode,
    encode_entry,
)
from redwingplank.scheduling.journal_keys import (
    base_key,
    base_prefix,
    head_key,
    log_key,
    log_segment_prefix,
)
from redwingplank.scheduling.journal_state import JournalState
from redwingplank.scheduling.journal_values import (
    Flush,
    JournalPosition,
    JournalSettings,
    SnapshotPlan,
)
from redwingplank.scheduling.messages import JournalEntry, JournalRecord

__all__ = ["JournalBuffer", "JournalFullError", "RecordTooLargeError"]


class RecordTooLargeError(RedwingError):
    """A record does not fit into one value of the store; its payload has to be smaller."""


class JournalFullError(RedwingError):
    """Too many bytes wait to be written; new work is rejected until the store answers again."""


@dataclass(frozen=True, slots=True)
class _WaitingRecord:
    sequence: int
    entry: JournalEntry
    encoded: bytes


@dataclass(frozen=True, slots=True)
class _WaitingChange:
    token: int
    change: MapChange
    size_bytes: int


# Bytes allowed for the encoding around a map change and around the content of a flush.
CHANGE_OVERHEAD_BYTES = 32
FLUSH_OVERHEAD_BYTES = 256


class JournalBuffer:
    """Collects job records and map changes, and writes them as flushes and snapshots.

    Parameters
    ----------
    prefix : str
        Prefix of the shard's journal keys.
    nonce : str
        Identifies the owner that writes; stored in every flush.
    image : JournalState
        The durable state; updated by `committed`.
    position : JournalPosition
        Where the next flush is written.
    settings : JournalSettings
        Size and rate limits.
    """

    def __init__(
        self,
        prefix: str,
        nonce: str,
        image: JournalState,
        position: JournalPosition,
        settings: JournalSettings,
    ) -> None:
        self.prefix = prefix
        self.image = image
        self.settings = settings
        self.waiting_bytes = 0
        self.log_bytes = position.log_bytes
        self.log_flushes = position.log_flushes
        self.head_revision = position.head_revision
        self._nonce = nonce
        self._segment = position.segment
        self._number = position.number
        self._first_segment = position.first_segment
        self._records: deque[_WaitingRecord] = deque()
        self._changes: deque[_WaitingChange] = deque()
        self._last_sequence = image.last_sequence
        self._last_token = 0
        self._next_flush_at_s = 0.0
        self._in_flight: Flush | None = None

    # Adding records and changes

    def add_records(self, records: Sequence[JournalRecord]) -> None:
        """Append job records, whose sequence numbers must continue without a gap."""
        for record in records:
            if record.sequence != self._last_sequence + 1:
                raise RedwingError(
                    f"record {record.sequence} does not follow {self._last_sequence}: replay the"
                    " journal and start a new term"
                )
            encoded = encode_entry(record.entry)
            self._check_size(len(encoded))
            self._records.append(_WaitingRecord(record.sequence, record.entry, encoded))
            self.waiting_bytes += len(encoded)
            self._last_sequence = record.sequence

    def set_value(
        self, stream: str, key: str, value: bytes | None, expires_at_unix_s: float = 0.0
    ) -> int:
        """Set a value of a map stream, or delete it when `value` is None.

        Returns
        -------
        int
            Token of the change, which is durable once a flush with this or a higher
            `Flush.token` is committed.

        Raises
        ------
        JournalFullError
            At least `JournalSettings.max_waiting_bytes` already wait to be written.
        RecordTooLargeError
            The value does not fit in one flush.
        """
        if self.waiting_bytes >= self.settings.max_waiting_bytes:
            raise JournalFullError(f"{self.waiting_bytes} bytes wait for the store; retry later")
        size_bytes = len(key) + len(value or b"") + CHANGE_OVERHEAD_BYTES
        self._check_size(size_bytes)
        self._last_token += 1
        change = MapChange(stream, key, value, expires_at_unix_s)
        self._changes.append(_WaitingChange(self._last_token, change, size_bytes))
        self.waiting_bytes += size_bytes
        return self._last_token

    @property
    def has_waiting(self) -> bool:
        """Whether any record or change is not yet durable."""
        return bool(self._records or self._changes or self._in_flight)

    # Group commit

    def next_flush_at_s(self) -> float | None:
        """Return the earliest time of the next flush, or None if none can be cut now.

        None means that a flush is in flight or that there is nothing to write.
        """
        if self._in_flight is not None or not (self._records or self._changes):
            return None
        return self._next_flush_at_s

    def cut_flush(self, now_s: float, now_unix_s: float) -> Flush:
        """Return a flush with as many waiting records and changes as fit into it.

        Notes
        -----
        Key and value of the flush stay the same until `committed`, so that repeating a
        transaction whose answer was lost cannot write anything else.
        """
        entries, encoded_entries, first_sequence = self._pop_records()
        used_bytes = sum(len(raw) for raw in encoded_entries)
        changes, token = self._pop_changes(self.settings.max_flush_bytes - used_bytes)
        body = FlushBody(self._nonce, now_unix_s, first_sequence, encoded_entries, changes)
        last_sequence = first_sequence + len(entries) - 1 if entries else 0
        key = log_key(self.prefix, self._segment, self._number)
        self._in_flight = Flush(key, encode(body), last_sequence, token, entries, body)
        self._number += 1
        self._next_flush_at_s = now_s + 1.0 / self.settings.max_flushes_per_s
        return self._in_flight

    def committed(self, flush: Flush) -> None:
        """Apply a flush to the image once it is durable."""
        for entry in flush.entries:
            self.image.apply_entry(entry, flush.body.at_unix_s)
        if flush.entries:
            self.image.last_sequence = flush.last_sequence
        self.image.apply_changes(flush.body.changes)
        self.log_bytes += len(flush.value)
        self.log_flushes += 1
        self._in_flight = None

    # Snapshots

    def is_snapshot_due(self) -> bool:
        """Return whether the log has reached its snapshot limits and no flush is in flight."""
        if self._in_flight is not None:
            return False
        return (
            self.log_bytes >= self.settings.snapshot_after_bytes
            or self.log_flushes >= self.settings.snapshot_after_flushes
        )

    def begin_snapshot(self, now_unix_s: float) -> SnapshotPlan:
        """Open a new log segment and plan a snapshot of all segments before it."""
        self.image.discard_old(now_unix_s, self.settings.finished_retention_s)
        self._segment += 1
        self._number = 1
        self.log_bytes = self.log_flushes = 0
        map_keys = tuple(
            (stream, key)
            for stream, values in self.image.values_by_stream.items()
            for key in values
        )
        return SnapshotPlan(
            self._segment, self.image.last_sequence, tuple(self.image.jobs_by_id), map_keys
        )

    def snapshot_parts(self, plan: SnapshotPlan) -> Iterator[Put]:
        """Yield the write of each part of a snapshot, encoding one part at a time.

        Notes
        -----
        Newer records may become durable between two parts. They can then appear both in a later
        part and in the log, which is harmless: applying a record to the image twice changes
        nothing.
        """
        for number, part in enumerate(self._iterate_parts(plan), start=1):
            yield Put(base_key(self.prefix, plan.segment, number), encode(part))

    def finish_operations(self, plan: SnapshotPlan, part_count: int) -> tuple[Put | Delete, ...]:
        """Return the operations that make a snapshot valid and truncate the log.

        Notes
        -----
        The transaction must compare `head_revision`. A delayed copy of an earlier transaction
        could otherwise restore a head whose parts have been deleted.
        """
        head = SnapshotHead(plan.segment, part_count, plan.last_sequence)
        operations: list[Put | Delete] = [Put(head_key(self.prefix), encode(head))]
        for segment in range(self._first_segment, plan.segment):
            operations.append(Delete(log_segment_prefix(self.prefix, segment), is_prefix=True))
            operations.append(Delete(base_prefix(self.prefix, segment), is_prefix=True))
        return tuple(operations)

    def snapshot_finished(self, plan: SnapshotPlan, head_revision: int) -> None:
        """Record that a snapshot is valid, and the modification revision of its head key."""
        self._first_segment = plan.segment
        self.head_revision = head_revision

    # Filling flushes and snapshot parts

    def _pop_records(self) -> tuple[tuple[JournalEntry, ...], list[msgspec.Raw], int]:
        if not self._records:
            return (), [], 0
        first_sequence = self._records[0].sequence
        entries, encoded_entries = [], []
        remaining_bytes = self.settings.max_flush_bytes
        while self._records and len(self._records[0].encoded) <= remaining_bytes:
            record = self._records.popleft()
            remaining_bytes -= len(record.encoded)
            self.waiting_bytes -= len(record.encoded)
            entries.append(record.entry)
            encoded_entries.append(msgspec.Raw(record.encoded))
        return tuple(entries), encoded_entries, first_sequence

    def _pop_changes(self, remaining_bytes: int) -> tuple[list[MapChange], int]:
        changes = []
        token = self._changes[0].token - 1 if self._changes else self._last_token
        while self._changes and self._changes[0].size_bytes <= remaining_bytes:
            waiting = self._changes.popleft()
            remaining_bytes -= waiting.size_bytes
            self.waiting_bytes -= waiting.size_bytes
            changes.append(waiting.change)
            token = waiting.token
        return changes, token

    def _iterate_parts(self, plan: SnapshotPlan) -> Iterator[SnapshotPart]:
        part, used_bytes = SnapshotPart([], []), 0
        for job_id in plan.job_ids:
            encoded = self.image.encode_job(job_id)
            if part.jobs and used_bytes + len(encoded) > self.settings.max_part_bytes:
                yield part
                part, used_bytes = SnapshotPart([], []), 0
            if encoded:
                part.jobs.append(msgspec.Raw(encoded))
                used_bytes += len(encoded)
        for stream, key in plan.map_keys:
            entry = self.image.stored_value(stream, key)
            if entry is None:
                continue
            size_bytes = len(entry.key) + len(entry.value) + CHANGE_OVERHEAD_BYTES
            if used_bytes and used_bytes + size_bytes > self.settings.max_part_bytes:
                yield part
                part, used_bytes = SnapshotPart([], []), 0
            part.entries.append(entry)
            used_bytes += size_bytes
        if part.jobs or part.entries:
            yield part

    def _check_size(self, size_bytes: int) -> None:
        limit_bytes = min(self.settings.max_flush_bytes, MAX_VALUE_BYTES - FLUSH_OVERHEAD_BYTES)
        if size_bytes > limit_bytes:
            raise RecordTooLargeError(
                f"a record of {size_bytes} bytes is over {limit_bytes}: make the payload smaller"
            )
