"""Adds the occurrences of jobs that are due."""

from redwingplank.batch.entities import Job, Step
from redwingplank.batch.model import StepKey

__all__ = ["MAX_HELD_STEPS", "MAX_OPEN_OCCURRENCES", "add_due_steps", "add_occurrence"]

MAX_OPEN_OCCURRENCES = 100
"""Largest number of occurrences of one job that are open at a time; further ones wait."""
MAX_HELD_STEPS = 3000
"""Number of steps that an owner holds for all jobs together, above which a job opens no occurrence
beside an open one. A pass goes over them, and has to end well within the lease of a node."""


def add_due_steps(job: Job, now_unix_s: float, held_steps: int = 0) -> list[Step]:
    """Add the steps of occurrences that are due to a job, and return the added steps.

    Parameters
    ----------
    job : Job
        Job whose occurrences are opened.
    now_unix_s : float
        Current Unix time in seconds.
    held_steps : int
        Number of steps that the owner holds for all jobs.
    """
    added: list[Step] = []
    if job.state.is_final or not _is_next_occurrence_due(job, now_unix_s):
        return added
    open_count = job.count_open_occurrences()
    while open_count < MAX_OPEN_OCCURRENCES and _is_next_occurrence_due(job, now_unix_s):
        if open_count and held_steps + len(added) + len(job.spec.steps) > MAX_HELD_STEPS:
            break
        added.extend(add_occurrence(job))
        open_count += 1
    return added


def add_occurrence(job: Job) -> list[Step]:
    """Add the steps of the next occurrence to a job, and return them."""
    spec = job.spec
    added = [
        Step(job, StepKey(spec.job_id, job.due_count, number), step)
        for number, step in enumerate(spec.steps)
    ]
    job.due_count += 1
    job.steps_by_key.update((step.key, step) for step in added)
    return added


def _is_next_occurrence_due(job: Job, now_unix_s: float) -> bool:
    """Return whether a job has an occurrence that is due and whose steps were not added yet."""
    spec = job.spec
    if job.due_count >= job.occurrence_count:
        return False
    return not spec.repeat_count or (
        spec.first_run_unix_s + job.due_count * spec.interval_s <= now_unix_s
    )
