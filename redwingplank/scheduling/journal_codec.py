"""Stored form of the journal: tagged msgspec structs, encoded as MessagePack."""

import msgspec

from redwingplank.core import Resources
from redwingplank.scheduling.messages import (
    JobAccepted,
    JobCancelled,
    JobFinished,
    JobSpec,
    JobState,
    JournalEntry,
    StartIntended,
    TaskFinished,
    TaskState,
)

__all__ = [
    "FlushBody",
    "MapChange",
    "SnapshotHead",
    "SnapshotPart",
    "StoredJob",
    "StoredMapEntry",
    "decode_body",
    "decode_entry",
    "decode_head",
    "decode_part",
    "encode",
    "encode_entry",
    "spec_from_stored",
    "spec_to_stored",
]


class StoredSpec(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of `JobSpec`."""

    job_id: str
    organisation: str
    service: str
    task_count: int
    resources: Resources | None
    run_time_s: float | None
    payload: bytes


class StoredAccepted(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Stored form of `JobAccepted`."""

    spec: StoredSpec


class StoredCancelled(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Stored form of `JobCancelled`."""

    job_id: str


class StoredIntents(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Stored form of `StartIntended`."""

    attempts: tuple[tuple[str, int, str], ...]


class StoredTaskFinished(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Stored form of `TaskFinished`."""

    task_id: str
    state: TaskState
    result: bytes
    detail: str


class StoredJobFinished(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Stored form of `JobFinished`."""

    job_id: str
    state: JobState
    detail: str


StoredEntry = (
    StoredAccepted | StoredCancelled | StoredIntents | StoredTaskFinished | StoredJobFinished
)


class MapChange(msgspec.Struct, frozen=True, array_like=True):
    """Change of one key of a map stream: set, or deleted when `value` is None.

    Parameters
    ----------
    stream, key : str
        Name of the map stream, and key within it.
    value : bytes or None
        The new value.
    expires_at_unix_s : float
        Unix time after which the value may be discarded, 0 for never.
    """

    stream: str
    key: str
    value: bytes | None
    expires_at_unix_s: float = 0.0


class FlushBody(msgspec.Struct, frozen=True, array_like=True):
    """Value of one log key: all records and changes that one transaction made durable.

    Parameters
    ----------
    nonce : str
        Identifies the owner that wrote the flush, so that it can tell its own writes from
        those of another owner.
    at_unix_s : float
        Unix time at which the flush was cut.
    first_sequence : int
        Sequence number of the first record, 0 without records.
    records : list of msgspec.Raw
        Encoded job entries.
    changes : list of MapChange
        Changes to map streams.
    """

    nonce: str
    at_unix_s: float
    first_sequence: int
    records: list[msgspec.Raw]
    changes: list[MapChange]


class StoredJob(msgspec.Struct, frozen=True, array_like=True):
    """One job in a snapshot."""

    spec: StoredSpec
    is_cancelled: bool
    intents: list[tuple[str, int, str]]
    finished: list[StoredTaskFinished]
    state: JobState
    detail: str
    finished_at_unix_s: float


class StoredMapEntry(msgspec.Struct, frozen=True, array_like=True):
    """One value of a map stream in a snapshot."""

    stream: str
    key: str
    value: bytes
    expires_at_unix_s: float


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True):
    """Value of the key of one snapshot part."""

    jobs: list[msgspec.Raw]
    entries: list[StoredMapEntry]


class SnapshotHead(msgspec.Struct, frozen=True, array_like=True):
    """Value of the head key.

    Parameters
    ----------
    segment : int
        Segment that the snapshot opened; it covers all log segments below this one.
    part_count : int
        Number of parts of the snapshot.
    last_sequence : int
        Highest sequence number in the covered segments.
    """

    segment: int
    part_count: int
    last_sequence: int


_ENCODER = msgspec.msgpack.Encoder()
_ENTRY_DECODER = msgspec.msgpack.Decoder(StoredEntry)
_BODY_DECODER = msgspec.msgpack.Decoder(FlushBody)
_PART_DECODER = msgspec.msgpack.Decoder(SnapshotPart)
_HEAD_DECODER = msgspec.msgpack.Decoder(SnapshotHead)


def encode(value: msgspec.Struct) -> bytes:
    """Return the stored form of any struct of this module."""
    return _ENCODER.encode(value)


def encode_entry(entry: JournalEntry) -> bytes:
    """Return the stored form of a journal entry."""
    return _ENCODER.encode(_to_stored(entry))


def decode_entry(value: bytes) -> JournalEntry:
    """Return the journal entry that `encode_entry` encoded."""
    return _from_stored(_ENTRY_DECODER.decode(value))


def decode_body(value: bytes) -> FlushBody:
    """Return the content of a log key's value."""
    return _BODY_DECODER.decode(value)


def decode_part(value: bytes) -> SnapshotPart:
    """Return the content of a snapshot part's value."""
    return _PART_DECODER.decode(value)


def decode_head(value: bytes) -> SnapshotHead:
    """Return the content of the head key's value."""
    return _HEAD_DECODER.decode(value)


def spec_to_stored(spec: JobSpec) -> StoredSpec:
    """Return the stored form of a job's specification."""
    return StoredSpec(
        spec.job_id,
        spec.organisation,
        spec.service,
        spec.task_count,
        spec.resources,
        spec.run_time_s,
        spec.payload,
    )


def spec_from_stored(stored: StoredSpec) -> JobSpec:
    """Return the specification that `spec_to_stored` converted."""
    return JobSpec(
        stored.job_id,
        stored.organisation,
        stored.service,
        stored.task_count,
        stored.resources,
        stored.run_time_s,
        stored.payload,
    )


def _to_stored(entry: JournalEntry) -> StoredEntry:
    match entry:
        case TaskFinished():
            return StoredTaskFinished(entry.task_id, entry.state, entry.result, entry.detail)
        case JobAccepted():
            return StoredAccepted(spec_to_stored(entry.spec))
        case JobCancelled():
            return StoredCancelled(entry.job_id)
        case StartIntended():
            return StoredIntents(entry.attempts)
        case JobFinished():
            return StoredJobFinished(entry.job_id, entry.state, entry.detail)


def _from_stored(stored: StoredEntry) -> JournalEntry:
    match stored:
        case StoredTaskFinished():
            return TaskFinished(stored.task_id, stored.state, stored.result, stored.detail)
        case StoredAccepted():
            return JobAccepted(spec_from_stored(stored.spec))
        case StoredCancelled():
            return JobCancelled(stored.job_id)
        case StoredIntents():
            return StartIntended(stored.attempts)
        case StoredJobFinished():
            return JobFinished(stored.job_id, stored.state, stored.detail)
