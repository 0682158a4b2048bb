"""Settings, position and units of work of a shard's journal."""

from dataclasses import dataclass

from redwingplank.scheduling.journal_codec import FlushBody
from redwingplank.scheduling.messages import JournalEntry

__all__ = ["Flush", "JournalPosition", "JournalSettings", "SnapshotPlan"]


@dataclass(frozen=True, slots=True)
class JournalSettings:
    """Bounds of the journal.

    Parameters
    ----------
    max_flushes_per_s : float
        Transactions for each second and shard.
    max_flush_bytes : int
        Size of a flush; the rest waits for the next one.
    max_part_bytes : int
        Size of one part of a snapshot.
    max_waiting_bytes : int
        What may wait for the store before new work is refused.
    snapshot_after_bytes, snapshot_after_flushes : int
        Size of the log that brings about a snapshot.
    finished_retention_s : float
        How long finished jobs are remembered.
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
    """Where the next flush goes.

    Parameters
    ----------
    segment, number : int
        Of the next key of the log.
    first_segment : int
        The lowest segment that the valid head does not cover.
    head_revision : int
        Modification revision of the head, 0 before the first snapshot.
    log_bytes, log_flushes : int
        Size of the log that is not covered.
    """

    segment: int = 0
    number: int = 1
    first_segment: int = 0
    head_revision: int = 0
    log_bytes: int = 0
    log_flushes: int = 0


@dataclass(frozen=True, slots=True)
class Flush:
    """One group commit.

    Parameters
    ----------
    key, value : str, bytes
        What is written; the key must be absent before.
    last_sequence : int
        Of the last record in it, 0 without records.
    token : int
        Grows with each change of a map stream; durable through this one.
    entries : tuple of JournalEntry
        The records.
    body : FlushBody
        The decoded value.
    """

    key: str
    value: bytes
    last_sequence: int
    token: int
    entries: tuple[JournalEntry, ...]
    body: FlushBody


@dataclass(frozen=True, slots=True)
class SnapshotPlan:
    """A snapshot that has begun: which segment it opens and what it covers."""

    segment: int
    last_sequence: int
    job_ids: tuple[str, ...]
    map_keys: tuple[tuple[str, str], ...]
