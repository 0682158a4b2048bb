"""Replay of a shard's journal into the state from which a new owner starts."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from redwingplank.core import RedwingError
from redwingplank.platform import KeyValue
from redwingplank.scheduling.journal_codec import (
    SnapshotHead,
    decode_body,
    decode_head,
    decode_part,
)
from redwingplank.scheduling.journal_state import JobImage, JournalState
from redwingplank.scheduling.journal_values import JournalPosition
from redwingplank.scheduling.messages import (
    RecoveredJob,
    RecoveredState,
    RecoveredTask,
)

__all__ = [
    "JournalCorruptError",
    "RecoverySettings",
    "ReplayedJournal",
    "adopt_from_s",
    "fence_at_s",
    "make_recovered_state",
    "replay_journal",
]


class JournalCorruptError(RedwingError):
    """The journal has a gap or an unreadable value.

    The operator keeps the remaining keys and restores the missing ones from the platform's backup.
    """


EMPTY_HEAD = SnapshotHead(segment=0, part_count=0, last_sequence=0)


@dataclass(frozen=True, slots=True)
class RecoverySettings:
    """Bounds on leases and clocks that a new owner relies on.

    Parameters
    ----------
    lease_ttl_s : float
        Length of the shard's lease.
    task_lease_s : float
        Length of a task's lease at a worker.
    degraded_bound_s : float
        Time for which an owner that is cut off from the store continues to renew tasks.
    clock_margin_s : float
        Allowance for the difference between two wall clocks and the delay between check and use.
    clock_rate_error : float
        Largest relative difference between the rates of two clocks.
    workers_know_epochs : bool
        Whether workers reject an epoch lower than the highest that they have received.
    """

    lease_ttl_s: float = 3.0
    task_lease_s: float = 15.0
    degraded_bound_s: float = 900.0
    clock_margin_s: float = 0.1
    clock_rate_error: float = 0.01
    workers_know_epochs: bool = True


@dataclass(frozen=True, slots=True)
class ReplayedJournal:
    """Durable state of a journal, and the position of its next flush."""

    image: JournalState
    position: JournalPosition


def replay_journal(entries: Iterable[KeyValue], prefix: str) -> ReplayedJournal:
    """Rebuild a journal from all keys with its prefix.

    Parameters
    ----------
    entries : iterable of KeyValue
        All keys below the prefix, as returned by a single read.
    prefix : str
        The shard's journal prefix.

    Raises
    ------
    JournalCorruptError
        A flush or a part of the valid snapshot is missing or cannot be decoded.

    Notes
    -----
    Parts of a snapshot that never became valid, and segments that a valid snapshot covers, are
    ignored. They remain when a writer ended between two steps of writing a snapshot.
    """
    try:
        return _replay({entry.key.removeprefix(prefix): entry for entry in entries})
    except (msgspec.MsgspecError, ValueError, KeyError) as error:
        raise JournalCorruptError(
            f"a value below {prefix} cannot be read ({error}): keep the keys, and restore them "
            "from the platform's backup"
        ) from error


def _replay(entries_by_name: Mapping[str, KeyValue]) -> ReplayedJournal:
    values_by_name = {name: entry.value for name, entry in entries_by_name.items()}
    head = decode_head(values_by_name["head"]) if "head" in values_by_name else EMPTY_HEAD
    image = JournalState()
    for value in _snapshot_values(values_by_name, head):
        image.apply_part(decode_part(value))
    image.last_sequence = head.last_sequence
    last_segment, last_number = head.segment, 0
    log_values = _log_values(values_by_name, head.segment)
    for segment, number, value in log_values:
        _check_follows(segment, number, last_segment, last_number)
        _apply_flush(image, value)
        last_segment, last_number = segment, number
    position = JournalPosition(
        segment=last_segment + 1,
        first_segment=head.segment,
        head_revision=entries_by_name["head"].mod_revision if "head" in entries_by_name else 0,
        log_bytes=sum(len(value) for _, _, value in log_values),
        log_flushes=len(log_values),
    )
    return ReplayedJournal(image, position)


def make_recovered_state(
    image: JournalState, epoch: int, won_at_s: float, settings: RecoverySettings
) -> RecoveredState:
    """Return the state from which the scheduling core of a new owner starts."""
    return RecoveredState(
        epoch=epoch,
        last_sequence=image.last_sequence,
        jobs=tuple(_recover_job(job) for job in image.jobs_by_id.values()),
        fence_at_s=fence_at_s(won_at_s, settings),
    )


def fence_at_s(won_at_s: float, settings: RecoverySettings) -> float:
    """Return when all tasks of earlier epochs have stopped on workers that were never adopted.

    Notes
    -----
    The earlier owner's lease had expired when the election was won. If that owner was cut off
    from the store, it may have continued to renew tasks for `degraded_bound_s`, and its last
    renewal is valid for one task lease.
    """
    renewed_s = settings.degraded_bound_s + settings.task_lease_s
    return won_at_s + renewed_s * (1.0 + settings.clock_rate_error) + settings.clock_margin_s


def adopt_from_s(won_at_s: float, settings: RecoverySettings) -> float:
    """Return the time from which workers may be adopted.

    Notes
    -----
    Workers that know epochs reject the earlier owner as soon as they are adopted. Other workers
    obey it until its lease expires, which after a hand-over may be in the future.
    """
    if settings.workers_know_epochs:
        return won_at_s
    wait_s = settings.lease_ttl_s * (1.0 + settings.clock_rate_error)
    return won_at_s + wait_s + settings.clock_margin_s


def _snapshot_values(values_by_name: dict[str, bytes], head: SnapshotHead) -> list[bytes]:
    names = [f"base/{head.segment:010d}/{part:06d}" for part in range(1, head.part_count + 1)]
    missing = [name for name in names if name not in values_by_name]
    if missing:
        raise JournalCorruptError(f"the snapshot lacks {missing[0]}: restore it from a backup")
    return [values_by_name[name] for name in names]


def _log_values(
    values_by_name: dict[str, bytes], first_segment: int
) -> list[tuple[int, int, bytes]]:
    found = []
    for name, value in values_by_name.items():
        if not name.startswith("log/"):
            continue
        _, segment, number = name.split("/")
        if int(segment) >= first_segment:
            found.append((int(segment), int(number), value))
    return sorted(found)


def _check_follows(segment: int, number: int, last_segment: int, last_number: int) -> None:
    expected = last_number + 1 if segment == last_segment else 1
    if number != expected:
        raise JournalCorruptError(
            f"flush {segment}/{number} does not follow {last_segment}/{last_number}:"
            " restore the missing keys from a backup"
        )


def _apply_flush(image: JournalState, value: bytes) -> None:
    body = decode_body(value)
    if body.records and body.first_sequence != image.last_sequence + 1:
        raise JournalCorruptError(
            f"record {body.first_sequence} does not follow {image.last_sequence}:"
            " restore the missing keys from a backup"
        )
    image.apply_body(body)


def _recover_job(job: JobImage) -> RecoveredJob:
    spec = job.spec
    task_ids = (f"{spec.job_id}/{index}" for index in range(spec.task_count))
    open_tasks = tuple(
        RecoveredTask(task_id, tuple(job.intents_by_task.get(task_id, ())))
        for task_id in task_ids
        if task_id not in job.finished_by_task
    )
    return RecoveredJob(
        spec=spec,
        state=job.state,
        is_cancelled=job.is_cancelled,
        open_tasks=() if job.is_finished else open_tasks,
        finished=tuple(job.finished_by_task.values()),
        detail=job.detail,
    )
