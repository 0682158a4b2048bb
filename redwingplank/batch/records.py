"""Encodes and decodes the stored records of a job: its submission and its progress."""

import msgspec

from redwingplank.batch.entities import Job, Step, Task
from redwingplank.batch.job_limits import check_job_limits
from redwingplank.batch.model import Incarnation, JobSpec, JobState, StepKey
from redwingplank.core import decode_json

__all__ = [
    "count_recorded_occurrences",
    "decode_submission",
    "encode_progress",
    "encode_submission",
    "restore_progress",
]


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
    progress = _Progress(state=job.state if job.state.is_final else "", is_started=job.is_started)
    if not job.state.is_final:
        progress.steps = {
            f"{key.occurrence}.{key.step}": _encode_step(step)
            for key, step in job.steps_by_key.items()
            if step.has_progress
        }
    elif job.keeps_hosts:
        progress.steps = {
            f"{key.occurrence}.{key.step}": _encode_hosts(step)
            for key, step in job.steps_by_key.items()
            if step.hosts
        }
    return msgspec.json.encode(progress)


def count_recorded_occurrences(value: bytes) -> int:
    """Return the number of occurrences up to the last one that a record tells of.

    Raises
    ------
    UndecodableError
        If the value is not a progress record.
    """
    names = decode_json(value, _Progress).steps
    return max((int(name.partition(".")[0]) + 1 for name in names), default=0)


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
        occurrence, _, number = name.partition(".")
        key = StepKey(job.spec.job_id, int(occurrence), int(number))
        step = job.steps_by_key.get(key)
        if step is not None:
            _restore_step(step, record)
            job.has_begun |= bool(step.tasks.done_bits())
            job.has_begun |= any(task.failures or task.saved for task in step.tasks.used())


def _encode_step(step: Step) -> _StepRecord:
    record = _StepRecord(f"{step.tasks.done_bits():x}", _encode_bits(step.hosts))
    for task in step.tasks.used():
        index = task.id.position
        if task.saved and not task.is_done:
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
    step.undone_count -= step.tasks.mark_done(int(record.done or "0", 16))
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
    return {_encode_host(host): f"{bits:x}" for host, bits in bits_by_host.items()}


def _decode_bits(texts_by_host: dict[str, str]) -> dict[Incarnation, int]:
    return {_decode_host(host): int(bits, 16) for host, bits in texts_by_host.items()}


def _encode_host(host: Incarnation) -> str:
    return f"{host.worker_id} {host.address} {host.born_ms}"


def _decode_host(text: str) -> Incarnation:
    """Return the incarnation in a record; earlier versions stored only the id of its worker."""
    worker_id, *rest = text.rsplit(" ", 2)
    if len(rest) != 2 or not rest[1].isdecimal():
        return Incarnation(text, "", 0)
    return Incarnation(worker_id, rest[0], int(rest[1]))
