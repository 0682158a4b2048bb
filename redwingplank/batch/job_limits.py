"""Limits of the numbers in a job, within which all decisions can compute with them."""

from redwingplank.batch.model import JobSpec, StepSpec
from redwingplank.core import InvalidValueError

__all__ = ["MAX_NUMBER", "check_job_limits"]

MAX_NUMBER = 10**12
"""Largest amount, count or time in seconds; sums and products of a few of them are exact or finite
as floats."""


def check_job_limits(spec: JobSpec) -> None:
    """Raise an error if a number of a job is negative or too large.

    Raises
    ------
    InvalidValueError
        The message names the fields.
    """
    problems = [f"{name} is not between 0 and {MAX_NUMBER}" for name in _find_fields(spec)]
    if problems:
        raise InvalidValueError("; ".join(problems))


def _find_fields(spec: JobSpec) -> list[str]:
    numbers_by_field: dict[str, float] = {
        "submitted_unix_s": spec.submitted_unix_s,
        "repeat_count": spec.repeat_count,
        "first_run_unix_s": spec.first_run_unix_s,
        "interval_s": spec.interval_s,
    }
    for number, step in enumerate(spec.steps):
        for field, value in _step_numbers(step).items():
            numbers_by_field[f"steps[{number}].{field}"] = value
    return [field for field, value in numbers_by_field.items() if not 0 <= value <= MAX_NUMBER]


def _step_numbers(step: StepSpec) -> dict[str, float]:
    return {
        "count": step.count,
        "amounts.cpu_millicores": step.amounts.cpu_millicores,
        "amounts.memory_mib": step.amounts.memory_mib,
        "amounts.gpus": step.amounts.gpus,
        "estimate_s": step.estimate_s,
        "max_per_worker": step.max_per_worker,
        "target_ms": step.target_ms,
        "max_unavailable": step.max_unavailable,
    }
