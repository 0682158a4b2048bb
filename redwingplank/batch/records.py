"""What the store keeps of a job: the submission, and how far the job got."""

import msgspec

from redwingplank.batch.entities import Job, Step
from redwingplank.batch.model import JobSpec, JobState, StepKey

__all__ = ["decode_submission", "encode_progress", "encode_submission", "restore_progress"]


class _StepRecord(msgspec.Struct, array_like=True):
    done: str
    """Bits of the tasks that are done, hexadecimal."""
    hosts: dict[str, str]
    """Bits of the tasks that each worker may have been told to run, hexadecimal."""
    failures: dict[str, tuple[int, int]] = {}
    """Number of failures and the last failed attempt, by index."""
    saved: dict[str, str] = {}


class _Progress(msgspec.Struct, omit_defaults=True):
    state: str = ""
    is_started: bool = False
    steps: dict[str, _StepRecord] = {}
    """By occurrence and step number, joined by a dot."""


def encode_submission(spec: JobSpec) -> bytes:
    """Return a submission as the store holds it."""
    return msgspec.json.encode(spec)


def decode_submission(value: bytes) -> JobSpec:
    """Return a submission.

    Raises
    ------
    msgspec.MsgspecError
        If the value is not one.
    """
    return msgspec.json.decode(value, type=JobSpec)


def encode_progress(job: Job) -> bytes:
    """Return how far a job got; all of a final job that matters is its state."""
    progress = _Progress(state=job.state if job.state.is_final else "", is_started=job.is_started)
    if not job.state.is_final:
        progress.steps = {
            f"{key.occurrence}.{key.step}": _write_step(step)
            for key, step in job.steps_by_key.items()
            if step.hosts
        }
    return msgspec.json.encode(progress)


def restore_progress(job: Job, value: bytes) -> None:
    """Bring a new job to where a record says that it was; its occurrences must be open.

    Raises
    ------
    msgspec.MsgspecError
        If the value is not a record.
    """
    progress = msgspec.json.decode(value, type=_Progress)
    job.is_started = progress.is_started
    if progress.state:
        job.state = JobState(progress.state)
        return
    if job.is_started:
        job.state = JobState.RUNNING
    for name, record in progress.steps.items():
        occurrence, _, number = name.partition(".")
        key = StepKey(job.spec.job_id, int(occurrence), int(number))
        step = job.steps_by_key.get(key)
        if step is not None:
            _restore_step(step, record)


def _write_step(step: Step) -> _StepRecord:
    bits = 0
    record = _StepRecord("", {worker: f"{bits:x}" for worker, bits in step.hosts.items()})
    for index, task in enumerate(step.tasks):
        if task.is_done:
            bits |= 1 << index
        elif task.saved:
            record.saved[str(index)] = task.saved
        if task.failures:
            record.failures[str(index)] = (task.failures, task.last_failed_attempt)
    record.done = f"{bits:x}"
    return record


def _restore_step(step: Step, record: _StepRecord) -> None:
    bits = int(record.done or "0", 16)
    step.hosts.update((worker, int(hosted, 16)) for worker, hosted in record.hosts.items())
    for index, task in enumerate(step.tasks):
        if bits >> index & 1:
            task.is_done = True
            step.undone -= 1
        task.saved = record.saved.get(str(index), "")
        failures = record.failures.get(str(index))
        if failures is not None:
            task.failures, task.last_failed_attempt = failures
