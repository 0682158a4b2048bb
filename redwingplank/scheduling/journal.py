"""The shard's journal: group commit, snapshots and truncation, decided without input or output.

Layout under the shard's journal prefix:

- ``log/SEGMENT/NUMBER``: one flush, written by one transaction and never changed
- ``base/SEGMENT/PART``: a snapshot of all segments below SEGMENT
- ``head``: which snapshot is valid and how many parts it has

A snapshot opens a new segment, is written part by part, and becomes valid by the transaction that
writes the head and deletes what it covers.
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
from redwingplank.scheduling.journal_image import JournalState
from redwingplank.scheduling.journal_keys import (
    base_key,
    base_prefix,
    head_key,
    log_key,
    log_segment_prefix,
)
from redwingplank.scheduling.journal_values import (
    Flush,
    JournalPosition,
    JournalSettings,
    SnapshotPlan,
)
from redwingplank.scheduling.messages import JournalEntry, JournalRecord

__all__ = ["JournalBuffer", "JournalFullError", "RecordTooLargeError"]


class RecordTooLargeError(RedwingError):
    """A record does not fit in one value of the store: make the payload smaller."""


class JournalFullError(RedwingError):
    """Too much waits to be written: refuse new work until the store answers again."""


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


CHANGE_OVERHEAD_BYTES = 32
FLUSH_OVERHEAD_BYTES = 256


class JournalBuffer:
    """Collects records and map changes, and cuts them into flushes and snapshots.

    Parameters
    ----------
    prefix : str
        The shard's journal prefix.
    nonce : str
        The owner's term.
    image : JournalImage
        What is durable; kept up to date by `committed`.
    position : JournalPosition
        Where the next flush goes.
    settings : JournalSettings
        Bounds.
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
        self._last_added = image.last_sequence
        self._last_token = 0
        self._next_flush_at_s = 0.0
        self._in_flight: Flush | None = None

    # Streams

    def add_records(self, records: Sequence[JournalRecord]) -> None:
        """Append records of the stream of jobs; their sequences continue without a gap."""
        for record in records:
            if record.sequence != self._last_added + 1:
                raise RedwingError(
                    f"record {record.sequence} does not follow {self._last_added}: replay the"
                    " journal and start a new term"
                )
            encoded = encode_entry(record.entry)
            self._check_size(len(encoded))
            self._records.append(_WaitingRecord(record.sequence, record.entry, encoded))
            self.waiting_bytes += len(encoded)
            self._last_added = record.sequence

    def set_value(
        self, stream: str, key: str, value: bytes | None, expires_at_unix_s: float = 0.0
    ) -> int:
        """Set or delete a value of a map stream.

        Returns
        -------
        int
            Token that `Flush.token` reaches once the change is durable.

        Raises
        ------
        JournalFullError
            Too much waits already.
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
        """Whether something is not durable yet."""
        return bool(self._records or self._changes or self._in_flight)

    # Group commit

    def next_flush_at_s(self) -> float | None:
        """Return when the next flush may be cut, None with nothing to write."""
        if self._in_flight is not None or not (self._records or self._changes):
            return None
        return self._next_flush_at_s

    def cut_flush(self, now_s: float, now_unix_s: float) -> Flush:
        """Take as much as fits into one transaction.

        Notes
        -----
        The flush keeps its key and value until `committed`, so that a repeat of a transaction
        whose answer was lost can never write anything else.
        """
        entries, raws, first_sequence = self._take_records()
        used_bytes = sum(len(raw) for raw in raws)
        changes, token = self._take_changes(self.settings.max_flush_bytes - used_bytes)
        body = FlushBody(self._nonce, now_unix_s, first_sequence, raws, changes)
        last_sequence = first_sequence + len(entries) - 1 if entries else 0
        key = log_key(self.prefix, self._segment, self._number)
        self._in_flight = Flush(key, encode(body), last_sequence, token, entries, body)
        self._number += 1
        self._next_flush_at_s = now_s + 1.0 / self.settings.max_flushes_per_s
        return self._in_flight

    def committed(self, flush: Flush) -> None:
        """The flush is durable: apply it to the image."""
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
        """Return whether the log has grown enough, and no flush is in flight."""
        if self._in_flight is not None:
            return False
        return (
            self.log_bytes >= self.settings.snapshot_after_bytes
            or self.log_flushes >= self.settings.snapshot_after_flushes
        )

    def begin_snapshot(self, now_unix_s: float) -> SnapshotPlan:
        """Open a new segment; the snapshot covers all before it."""
        self.image.forget_old(now_unix_s, self.settings.finished_retention_s)
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
        """Yield the snapshot's parts, encoded one at a time.

        Notes
        -----
        Between two parts newer records may become durable. They may show in later parts and
        stand in the log as well, which `JournalImage` allows.
        """
        for number, part in enumerate(self._parts(plan), start=1):
            yield Put(base_key(self.prefix, plan.segment, number), encode(part))

    def finish_operations(self, plan: SnapshotPlan, part_count: int) -> tuple[Put | Delete, ...]:
        """Return the operations that make a snapshot valid and truncate the log.

        Notes
        -----
        The transaction has to compare `head_revision`: a copy that was delayed on its way could
        otherwise bring back a head whose parts are deleted.
        """
        head = SnapshotHead(plan.segment, part_count, plan.last_sequence)
        operations: list[Put | Delete] = [Put(head_key(self.prefix), encode(head))]
        for segment in range(self._first_segment, plan.segment):
            operations.append(Delete(log_segment_prefix(self.prefix, segment), is_prefix=True))
            operations.append(Delete(base_prefix(self.prefix, segment), is_prefix=True))
        return tuple(operations)

    def snapshot_finished(self, plan: SnapshotPlan, head_revision: int) -> None:
        """The snapshot is valid since the head has this modification revision."""
        self._first_segment = plan.segment
        self.head_revision = head_revision

    # Parts

    def _take_records(self) -> tuple[tuple[JournalEntry, ...], list[msgspec.Raw], int]:
        if not self._records:
            return (), [], 0
        first_sequence = self._records[0].sequence
        entries, raws = [], []
        room_bytes = self.settings.max_flush_bytes
        while self._records and len(self._records[0].encoded) <= room_bytes:
            record = self._records.popleft()
            room_bytes -= len(record.encoded)
            self.waiting_bytes -= len(record.encoded)
            entries.append(record.entry)
            raws.append(msgspec.Raw(record.encoded))
        return tuple(entries), raws, first_sequence

    def _take_changes(self, room_bytes: int) -> tuple[list[MapChange], int]:
        changes = []
        token = self._changes[0].token - 1 if self._changes else self._last_token
        while self._changes and self._changes[0].size_bytes <= room_bytes:
            waiting = self._changes.popleft()
            room_bytes -= waiting.size_bytes
            self.waiting_bytes -= waiting.size_bytes
            changes.append(waiting.change)
            token = waiting.token
        return changes, token

    def _parts(self, plan: SnapshotPlan) -> Iterator[SnapshotPart]:
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
