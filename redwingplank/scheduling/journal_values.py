"""Settings, position, flush and snapshot plan of a shard's journal."""

from dataclasses import dataclass

from redwingplank.scheduling.journal_codec import FlushBody
from redwingplank.scheduling.messages import JournalEntry

__all__ = ["Flush", "JournalPosition", "JournalSettings", "SnapshotPlan"]


@dataclass(frozen=True, slots=True)
class JournalSettings:
    """Rate, size and retention limits of the journal.

    Parameters
    ----------
    max_flushes_per_s : float
        Highest number of flushes per second of one shard.
    max_flush_bytes : int
        Size of a flush; records and changes beyond it wait for the next flush.
    max_part_bytes : int
        Size of one snapshot part.
    max_waiting_bytes : int
        Bytes that may wait for the store before new work is rejected.
    snapshot_after_bytes, snapshot_after_flushes : int
        Size of the log in bytes, or in flushes, at which a snapshot is due.
    finished_retention_s : float
        Time for which finished jobs stay in the journal.
    """

    max_flushes_per_s: float = 10.0
    max_flush_bytes: int = 512_000
    max_part_bytes: int = 512_000
    max_waiting_bytes: int = 64_000_000
    snapshot_after_bytes: int = 8_000_000
    snapshot_after_flushes: int = 4_000
    finished_retention_s: float = 86_400.0


@dataclass(frozen=True, slots=True)
class JournalPosition:
    """Position in the log at which the next flush is written.

    Parameters
    ----------
    segment, number : int
        Segment and flush number of the next log key.
    first_segment : int
        Lowest segment that the valid snapshot does not cover.
    head_revision : int
        Modification revision of the head key, 0 before the first snapshot.
    log_bytes, log_flushes : int
        Size of the log since the valid snapshot, in bytes and in flushes.
    """

    segment: int = 0
    number: int = 1
    first_segment: int = 0
    head_revision: int = 0
    log_bytes: int = 0
    log_flushes: int = 0


@dataclass(frozen=True, slots=True)
class Flush:
    """One group commit: the records and changes of a single transaction.

    Parameters
    ----------
    key, value : str, bytes
        Key and value to write; the key must not exist before.
    last_sequence : int
        Sequence number of the last record in the flush, 0 without records.
    token : int
        Highest token of a map change such that it and all changes before it are durable with
        this flush.
    entries : tuple of JournalEntry
        Job entries in the flush.
    body : FlushBody
        Decoded form of `value`.
    """

    key: str
    value: bytes
    last_sequence: int
    token: int
    entries: tuple[JournalEntry, ...]
    body: FlushBody


@dataclass(frozen=True, slots=True)
class SnapshotPlan:
    """Plan of a snapshot: the segment that it opens, and the jobs and map keys that it covers."""

    segment: int
    last_sequence: int
    job_ids: tuple[str, ...]
    map_keys: tuple[tuple[str, str], ...]
