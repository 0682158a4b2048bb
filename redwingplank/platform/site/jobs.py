"""Decodes jobs from the request bodies of callers."""

import msgspec

from redwingplank.batch.job_limits import check_job_limits
from redwingplank.batch.model import Amounts, JobSpec, StepSpec
from redwingplank.core import InvalidValueError, UndecodableError, decode_json

__all__ = ["MAX_PAYLOAD_BYTES", "decode_job"]

MAX_PAYLOAD_BYTES = 4000
MAX_TASKS = 10_000
"""Largest number of tasks of a job: the owner holds all of them in memory."""
MS_PER_S = 1000.0


class _WireStep(msgspec.Struct):
    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    after: list[int] = []
    # Whether the tasks write checkpoints, not whether one is being written now.
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    # The rack that holds the data; a preference, not a requirement.
    affinity: str = ""
    max_per_server: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    # Whether the tasks run on processor time that other tasks leave unused.
    utilization: bool = False
    max_unavailable: int = 0


class _WireJob(msgspec.Struct):
    steps: list[_WireStep]
    # The payload that is passed to each task.
    spec: str = ""
    repeat_count: int = 0
    first_run_ms: float = 0
    interval_ms: float = 0


def decode_job(body: bytes, job_id: str, queue: str, now_unix_s: float) -> JobSpec:
    """Decode and check a job from a request body.

    Raises
    ------
    InvalidValueError
        The body is not JSON of a job, or a value is invalid; the message names all invalid values.
    """
    try:
        wire = decode_json(body, _WireJob)
    except UndecodableError as error:
        raise InvalidValueError(f"the body is not a job: {error}") from error
    problems = _find_problems(wire)
    if problems:
        raise InvalidValueError("; ".join(problems))
    spec = JobSpec(
        job_id=job_id,
        queue=queue,
        payload=wire.spec,
        steps=tuple(_read_step(step) for step in wire.steps),
        submitted_unix_s=now_unix_s,
        repeat_count=wire.repeat_count,
        first_run_unix_s=wire.first_run_ms / MS_PER_S,
        interval_s=wire.interval_ms / MS_PER_S,
    )
    check_job_limits(spec)
    return spec


def _find_problems(wire: _WireJob) -> list[str]:
    problems = []
    if len(wire.spec.encode()) > MAX_PAYLOAD_BYTES:
        problems.append(f"spec: give at most {MAX_PAYLOAD_BYTES} bytes")
    if not wire.steps:
        problems.append("steps: give at least one")
    for number, step in enumerate(wire.steps):
        if step.count < 1:
            problems.append(f"steps[{number}].count: give at least 1")
        if min(step.cpu, step.mem_mb, step.gpu, step.estimate_ms) < 0:
            problems.append(f"steps[{number}]: amounts must not be negative")
        if any(not 0 <= earlier < number for earlier in step.after):
            problems.append(f"steps[{number}].after: name earlier steps only")
    if sum(step.count for step in wire.steps) > MAX_TASKS:
        problems.append(f"steps: give at most {MAX_TASKS} tasks in all")
    if wire.repeat_count < 0 or (wire.repeat_count > 1 and wire.interval_ms < 0):
        problems.append("repeat_count and interval_ms must not be negative")
    return problems


def _read_step(wire: _WireStep) -> StepSpec:
    return StepSpec(
        count=wire.count,
        amounts=Amounts(wire.cpu, wire.mem_mb, wire.gpu),
        estimate_s=wire.estimate_ms / MS_PER_S,
        after=tuple(sorted(set(wire.after))),
        saves=wire.checkpointing,
        is_gang=wire.gang,
        same_rack=wire.same_rack,
        required_label=wire.requires,
        data_rack=wire.affinity,
        max_per_worker=wire.max_per_server,
        may_copy=wire.speculative,
        is_lasting=wire.long_running,
        image=wire.image,
        target_ms=wire.target_ms,
        uses_spare_cpu=wire.utilization,
        max_unavailable=wire.max_unavailable,
    )
