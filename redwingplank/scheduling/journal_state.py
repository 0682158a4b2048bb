"""Content of a journal: jobs and map values, updated as records become durable."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from redwingplank.scheduling.journal_codec import (
    FlushBody,
    MapChange,
    SnapshotPart,
    StoredJob,
    StoredMapEntry,
    StoredTaskFinished,
    decode_entry,
    encode,
    spec_from_stored,
    spec_to_stored,
)
from redwingplank.scheduling.messages import (
    JobAccepted,
    JobCancelled,
    JobFinished,
    JobSpec,
    JobState,
    JournalEntry,
    StartIntended,
    TaskFinished,
)

__all__ = ["JobImage", "JournalState", "MapValue", "job_of_task"]


def job_of_task(task_id: str) -> str:
    """Return the job id in a task id of the form ``"JOB/INDEX"``."""
    return task_id.rpartition("/")[0]


@dataclass(slots=True)
class JobImage:
    """Durable state of one job.

    Parameters
    ----------
    spec : JobSpec
        Specification as it was accepted.
    is_cancelled : bool
        Whether the job's cancellation is durable.
    intents_by_task : dict
        Attempt numbers and workers of the recorded `StartIntended` entries, by task id; only for
        tasks without a final record.
    finished_by_task : dict
        Final records, by task id.
    state : JobState
        ACCEPTED, or the final state.
    detail : str
        Reason for the final state.
    finished_at_unix_s : float
        Unix time at which the final state was written.
    """

    spec: JobSpec
    is_cancelled: bool = False
    intents_by_task: dict[str, list[tuple[int, str]]] = field(default_factory=dict)
    finished_by_task: dict[str, TaskFinished] = field(default_factory=dict)
    state: JobState = JobState.ACCEPTED
    detail: str = ""
    finished_at_unix_s: float = 0.0

    @property
    def is_finished(self) -> bool:
        """Whether the job has reached a final state."""
        return self.state is not JobState.ACCEPTED


@dataclass(frozen=True, slots=True)
class MapValue:
    """A value of a map stream, which expires at `expires_at_unix_s` unless that is 0."""

    value: bytes
    expires_at_unix_s: float = 0.0

    def is_expired(self, now_unix_s: float) -> bool:
        """Return whether the value may be discarded."""
        return 0.0 < self.expires_at_unix_s <= now_unix_s


@dataclass(slots=True)
class JournalState:
    """Durable state of one shard's journal.

    Notes
    -----
    Applying a record a second time changes nothing, and a record of an unknown job is ignored.
    A snapshot may therefore be written while newer records arrive, although the log after the
    snapshot repeats these records.
    """

    last_sequence: int = 0
    jobs_by_id: dict[str, JobImage] = field(default_factory=dict)
    values_by_stream: dict[str, dict[str, MapValue]] = field(default_factory=dict)

    def apply_body(self, body: FlushBody) -> None:
        """Apply all records and changes of one flush."""
        for raw in body.records:
            self.apply_entry(decode_entry(bytes(raw)), body.at_unix_s)
        if body.records:
            self.last_sequence = body.first_sequence + len(body.records) - 1
        self.apply_changes(body.changes)

    def apply_entry(self, entry: JournalEntry, at_unix_s: float) -> None:
        """Apply one journal entry that was written at `at_unix_s`."""
        match entry:
            case TaskFinished():
                self._finish_task(entry)
            case JobAccepted():
                self.jobs_by_id.setdefault(entry.spec.job_id, JobImage(entry.spec))
            case JobCancelled():
                job = self.jobs_by_id.get(entry.job_id)
                if job is not None:
                    job.is_cancelled = True
            case StartIntended():
                for task_id, attempt, worker in entry.attempts:
                    self._add_intent(task_id, attempt, worker)
            case JobFinished():
                self._finish_job(entry, at_unix_s)

    def apply_changes(self, changes: Iterable[MapChange]) -> None:
        """Apply changes to map streams."""
        for change in changes:
            values = self.values_by_stream.setdefault(change.stream, {})
            if change.value is None:
                values.pop(change.key, None)
            else:
                values[change.key] = MapValue(change.value, change.expires_at_unix_s)

    def apply_part(self, part: SnapshotPart) -> None:
        """Add the jobs and map values of a snapshot part."""
        for raw in part.jobs:
            job = _job_from_stored(msgspec.msgpack.decode(raw, type=StoredJob))
            self.jobs_by_id[job.spec.job_id] = job
        for entry in part.entries:
            values = self.values_by_stream.setdefault(entry.stream, {})
            values[entry.key] = MapValue(entry.value, entry.expires_at_unix_s)

    def discard_old(self, now_unix_s: float, retention_s: float) -> None:
        """Discard finished jobs past their retention time, and expired map values."""
        for job_id, job in list(self.jobs_by_id.items()):
            if job.is_finished and job.finished_at_unix_s + retention_s <= now_unix_s:
                del self.jobs_by_id[job_id]
        for values in self.values_by_stream.values():
            for key, value in list(values.items()):
                if value.is_expired(now_unix_s):
                    del values[key]

    def encode_job(self, job_id: str) -> bytes:
        """Return the stored form of a job, or empty bytes if the job has been discarded."""
        job = self.jobs_by_id.get(job_id)
        return encode(_job_to_stored(job)) if job else b""

    def stored_value(self, stream: str, key: str) -> StoredMapEntry | None:
        """Return the stored form of a map value, or None if it does not exist."""
        value = self.values_by_stream.get(stream, {}).get(key)
        if value is None:
            return None
        return StoredMapEntry(stream, key, value.value, value.expires_at_unix_s)

    def _add_intent(self, task_id: str, attempt: int, worker: str) -> None:
        job = self.jobs_by_id.get(job_of_task(task_id))
        if job is None or task_id in job.finished_by_task:
            return
        intents = job.intents_by_task.setdefault(task_id, [])
        if (attempt, worker) not in intents:
            intents.append((attempt, worker))

    def _finish_task(self, entry: TaskFinished) -> None:
        job = self.jobs_by_id.get(job_of_task(entry.task_id))
        if job is None:
            return
        job.finished_by_task[entry.task_id] = entry
        job.intents_by_task.pop(entry.task_id, None)

    def _finish_job(self, entry: JobFinished, at_unix_s: float) -> None:
        job = self.jobs_by_id.get(entry.job_id)
        if job is None or job.is_finished:
            return
        job.state = entry.state
        job.detail = entry.detail
        job.finished_at_unix_s = at_unix_s
        job.intents_by_task.clear()


def _job_to_stored(job: JobImage) -> StoredJob:
    intents = [
        (task_id, attempt, worker)
        for task_id, attempts in job.intents_by_task.items()
        for attempt, worker in attempts
    ]
    finished = [
        StoredTaskFinished(entry.task_id, entry.state, entry.result, entry.detail)
        for entry in job.finished_by_task.values()
    ]
    return StoredJob(
        spec_to_stored(job.spec),
        job.is_cancelled,
        intents,
        finished,
        job.state,
        job.detail,
        job.finished_at_unix_s,
    )


def _job_from_stored(stored: StoredJob) -> JobImage:
    job = JobImage(
        spec_from_stored(stored.spec),
        stored.is_cancelled,
        state=stored.state,
        detail=stored.detail,
        finished_at_unix_s=stored.finished_at_unix_s,
    )
    for entry in stored.finished:
        job.finished_by_task[entry.task_id] = TaskFinished(
            entry.task_id, entry.state, entry.result, entry.detail
        )
    for task_id, attempt, worker in stored.intents:
        job.intents_by_task.setdefault(task_id, []).append((attempt, worker))
    return job
