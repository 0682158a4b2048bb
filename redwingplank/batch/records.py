"""Encodes and decodes the stored records of a job: its submission and its progress."""

from dataclasses import dataclass

import msgspec

from redwingplank.batch.bit_sets import decode_bits, encode_bits
from redwingplank.batch.entities import Job, Step, Task
from redwingplank.batch.job_limits import check_job_limits
from redwingplank.batch.model import Incarnation, JobSpec, JobState, StepKey
from redwingplank.batch.occurrence_ranges import OccurrenceRanges
from redwingplank.batch.occurrences import add_occurrence
from redwingplank.core import decode_json

__all__ = [
    "MAX_CHECKPOINT_BYTES",
    "BoundedProgress",
    "decode_submission",
    "encode_bounded_progress",
    "encode_progress",
    "encode_submission",
    "restore_occurrences",
    "restore_progress",
]

MAX_CHECKPOINT_BYTES = 65_536
"""Largest size of the checkpoints in a record. A worker tells those of its runs by itself."""


class _StepRecord(msgspec.Struct, array_like=True):
    done: str
    """Bit set of the tasks that are done, as a hexadecimal number; bit 0 is the first task."""
    hosts: dict[str, str]
    """Hexadecimal bit set of the tasks that an incarnation of a worker may have been told to run,
    by its worker id, address and start, separated by spaces."""
    failures: dict[str, tuple[int, int]] = {}
    """Number of failures and the last failed attempt, by task index."""
    saved: dict[str, str] = {}
    """Last checkpoint of each task that is not done, by task index."""
    crashes: dict[str, tuple[int, int, int]] = {}
    """Numbers of crashes, of proven crashes and of suspicions, by task index."""
    failed_attempts: dict[str, list[int]] = {}
    """Counted failed attempts of each task that may be copied, by task index."""
    restarted_hosts: list[str] = []
    """Hosts whose processes may have a lease that they took by themselves, as in `hosts`."""
    unseen_crashes: dict[str, int] = {}
    """Number of the crashes that no owner saw, by task index."""
    begun: dict[str, str] = {}
    """Bit set of the tasks that had just begun on an incarnation when it broke off a poll, as in
    `hosts`."""
    unanswered: dict[str, str] = {}
    """Bit set of the tasks whose starts on an incarnation have not been answered, as in
    `hosts`."""


class _Progress(msgspec.Struct, omit_defaults=True):
    state: str = ""
    is_started: bool = False
    steps: dict[str, _StepRecord] = {}
    """Steps by occurrence and step number, joined by a dot."""
    completed: list[tuple[int, int]] = []
    """First and last numbers of ranges of occurrences that are done and have no steps here."""


@dataclass(frozen=True, slots=True)
class BoundedProgress:
    """The progress of a job in its stored form, and the number of checkpoints left out of it."""

    value: bytes
    left_out: int = 0


def encode_submission(spec: JobSpec) -> bytes:
    """Return a submission in its stored form."""
    return msgspec.json.encode(spec)


def decode_submission(value: bytes) -> JobSpec:
    """Return the submission in a stored value.

    Raises
    ------
    UndecodableError
        If the value is not a submission.
    InvalidValueError
        If a number in it is out of range.
    """
    spec = decode_json(value, JobSpec)
    check_job_limits(spec)
    return spec


def encode_progress(job: Job) -> bytes:
    """Return the progress of a job in its stored form.

    Of a final job only its state is kept, and the hosts if the job belongs to an organisation.
    """
    return msgspec.json.encode(_make_progress(job, _Checkpoints(job)))


def encode_bounded_progress(job: Job) -> BoundedProgress:
    """Return the progress of a job with no more checkpoints than `MAX_CHECKPOINT_BYTES`.

    Those of tasks that run are left out first, as their workers list them. A task without its
    checkpoint begins anew if its worker and its owner are lost.
    """
    checkpoints = _Checkpoints(job, MAX_CHECKPOINT_BYTES)
    value = msgspec.json.encode(_make_progress(job, checkpoints))
    return BoundedProgress(value, checkpoints.left_out)


class _Checkpoints:
    """Chooses the checkpoints that a record holds.

    If all of them together are longer than `room`, those of tasks that run are left out, and of the
    others those for which there is no room.
    """

    def __init__(self, job: Job, room: float = float("inf")) -> None:
        sizes = (
            len(task.saved) for step in job.steps_by_key.values() for task in step.tasks.used()
        )
        self._room = room
        self._are_all_kept = room == float("inf") or sum(sizes) <= room
        self.left_out = 0

    def keeps(self, task: Task) -> bool:
        """Return whether the record holds the checkpoint of a task; call it once for each."""
        if self._are_all_kept:
            return True
        if task.runs or len(task.saved) > self._room:
            self.left_out += 1
            return False
        self._room -= len(task.saved)
        return True


def _make_progress(job: Job, checkpoints: _Checkpoints) -> _Progress:
    progress = _Progress(state=job.state if job.state.is_final else "", is_started=job.is_started)
    if not job.state.is_final:
        progress.completed = job.completed_occurrences.to_list()
        progress.steps = {
            f"{key.occurrence}.{key.step}": _encode_step(step, checkpoints)
            for key, step in job.steps_by_key.items()
            if step.has_progress
        }
    elif job.keeps_hosts:
        progress.steps = {
            f"{key.occurrence}.{key.step}": _encode_hosts(step)
            for key, step in job.steps_by_key.items()
            if step.hosts
        }
    return progress


def _read_step_key(job: Job, name: str) -> StepKey:
    occurrence, _, number = name.partition(".")
    return StepKey(job.spec.job_id, int(occurrence), int(number))


def restore_occurrences(job: Job, value: bytes) -> None:
    """Add the occurrences of a new job up to the last one that a record tells of.

    Raises
    ------
    UndecodableError
        If the value is not a progress record.
    """
    progress = decode_json(value, _Progress)
    job.completed_occurrences = OccurrenceRanges(progress.completed)
    counts = [int(name.partition(".")[0]) + 1 for name in progress.steps]
    counts += [last + 1 for _, last in progress.completed]
    for occurrence in range(max(counts, default=0)):
        if occurrence in job.completed_occurrences:
            job.due_count += 1
        else:
            add_occurrence(job)


def restore_progress(job: Job, value: bytes) -> None:
    """Restore the progress of a new job from a record.

    The steps of the recorded occurrences must have been added to the job before.

    Raises
    ------
    UndecodableError
        If the value is not a progress record.
    """
    progress = decode_json(value, _Progress)
    job.is_started = progress.is_started
    if progress.state:
        job.state = JobState(progress.state)
    elif job.is_started:
        job.state = JobState.RUNNING
    for name, record in progress.steps.items():
        step = job.steps_by_key.get(_read_step_key(job, name))
        if step is not None:
            _restore_step(step, record)
            job.has_begun |= bool(step.tasks.done_bits())
            job.has_begun |= any(task.failures or task.saved for task in step.tasks.used())


def _encode_step(step: Step, checkpoints: _Checkpoints) -> _StepRecord:
    record = _StepRecord(encode_bits(step.tasks.done_bits()), _encode_bits(step.hosts))
    for task in step.tasks.used():
        index = task.id.position
        if task.saved and not task.is_done and checkpoints.keeps(task):
            record.saved[str(index)] = task.saved
        if task.failures:
            record.failures[str(index)] = (task.failures, task.last_failed_attempt)
        if task.failed_attempts and not task.is_done:
            record.failed_attempts[str(index)] = sorted(task.failed_attempts)
        if task.crashes and not task.is_done:
            record.crashes[str(index)] = (
                task.crashes,
                task.proven_crashes,
                task.suspicions,
            )
            if task.unseen_crashes:
                record.unseen_crashes[str(index)] = task.unseen_crashes
    record.begun = _encode_bits(step.begun_by_broken_host)
    record.unanswered = _encode_bits(step.unanswered)
    record.restarted_hosts.extend(_encode_host(host) for host in step.restarted_hosts)
    return record


def _encode_hosts(step: Step) -> _StepRecord:
    """Return the record of a step of a final job."""
    hosts = _encode_bits(step.hosts)
    return _StepRecord("", hosts, unanswered=_encode_bits(step.unanswered))


def _restore_step(step: Step, record: _StepRecord) -> None:
    step.undone_count -= step.tasks.mark_done(decode_bits(record.done))
    step.hosts.update(_decode_bits(record.hosts))
    step.begun_by_broken_host.update(_decode_bits(record.begun))
    step.unanswered.update(_decode_bits(record.unanswered))
    step.restarted_hosts.update(_decode_host(host) for host in record.restarted_hosts)
    for index in record.saved.keys() | record.failures.keys() | record.crashes.keys():
        if int(index) < len(step.tasks):
            _restore_task(step, step.tasks[int(index)], record)


def _restore_task(step: Step, task: Task, record: _StepRecord) -> None:
    index = str(task.id.position)
    task.saved = record.saved.get(index, "")
    failures = record.failures.get(index)
    if failures is not None:
        task.failures, task.last_failed_attempt = failures
        if step.spec.may_copy:
            # Earlier versions stored the last one only.
            attempts = record.failed_attempts.get(index, [task.last_failed_attempt])
            task.failed_attempts = set(attempts)
    crashes = record.crashes.get(index, (0, 0, 0))
    task.crashes, task.proven_crashes, task.suspicions = crashes
    task.unseen_crashes = record.unseen_crashes.get(index, 0)
    step.tasks.release(task)


def _encode_bits(bits_by_host: dict[Incarnation, int]) -> dict[str, str]:
    return {_encode_host(host): encode_bits(bits) for host, bits in bits_by_host.items()}


def _decode_bits(texts_by_host: dict[str, str]) -> dict[Incarnation, int]:
    return {_decode_host(host): decode_bits(bits) for host, bits in texts_by_host.items()}


def _encode_host(host: Incarnation) -> str:
    return f"{host.worker_id} {host.address} {host.born_ms}"


def _decode_host(text: str) -> Incarnation:
    """Return the incarnation in a record; earlier versions stored only the id of its worker."""
    worker_id, *rest = text.rsplit(" ", 2)
    if len(rest) != 2 or not rest[1].isdecimal():
        return Incarnation(text, "", 0)
    return Incarnation(worker_id, rest[0], int(rest[1]))
