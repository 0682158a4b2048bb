"""Determines which jobs exceed the submission rate of their organisation."""

import math
from bisect import bisect_left, insort

from redwingplank.batch.entities import Job

__all__ = ["SubmissionRates"]

MIN_PERIOD_S = 10.0
"""Shortest period in which the jobs of an organisation are counted."""
MAX_PERIOD_S = 120.0
"""Longest period; ended jobs are kept for longer, so that a new owner counts them as well."""
MIN_JOBS = 2
"""Number of jobs that a period should allow; organisations with a low rate get longer periods."""


class SubmissionRates:
    """Counts the jobs of each organisation by time of submission.

    Time is divided into periods that are the same for every owner. The first jobs of a period, as
    many as the rate allows, are within the rate. The verdict on a job depends only on the stored
    submissions of its period, so that each owner that restores them comes to the same one.
    """

    def __init__(self) -> None:
        self._weights: dict[str, float] = {}
        self._jobs: dict[str, list[tuple[float, str, Job]]] = {}

    def set_weights(self, weights: dict[str, float]) -> None:
        """Set the rates of all organisations, in jobs per second, and judge all jobs anew."""
        if weights == self._weights:
            return
        self._weights = weights
        for organisation, jobs in self._jobs.items():
            self._judge_from(organisation, jobs, 0, math.inf)

    def add(self, job: Job) -> None:
        """Count a job, and judge it and the later ones of its period."""
        spec = job.spec
        if not spec.organisation or not spec.submitted_unix_s:
            return
        jobs = self._jobs.setdefault(spec.organisation, [])
        insort(jobs, (spec.submitted_unix_s, spec.job_id, job), key=_order)
        period_s = _period_s(self._weights.get(spec.organisation, 0.0))
        start_s = spec.submitted_unix_s // period_s * period_s
        index = bisect_left(jobs, (spec.submitted_unix_s, spec.job_id))
        self._judge_from(spec.organisation, jobs, index, start_s + period_s)

    def remove(self, job: Job) -> None:
        """Forget a job; the verdicts on others stay."""
        spec = job.spec
        jobs = self._jobs.get(spec.organisation, [])
        index = bisect_left(jobs, (spec.submitted_unix_s, spec.job_id))
        if index < len(jobs) and jobs[index][2] is job:
            del jobs[index]

    def _judge_from(
        self, organisation: str, jobs: list[tuple[float, str, Job]], index: int, until_s: float
    ) -> None:
        """Judge the jobs from an index on that were submitted before a time."""
        weight = self._weights.get(organisation, 0.0)
        period_s = _period_s(weight)
        allowed = round(weight * period_s) if weight > 0 else 0
        for number in range(index, len(jobs)):
            submitted_s, _, job = jobs[number]
            if submitted_s >= until_s:
                return
            first = bisect_left(jobs, (submitted_s // period_s * period_s,))
            job.is_beyond_rate = number - first >= allowed


def _order(entry: tuple[float, str, Job]) -> tuple[float, str]:
    return entry[:2]


def _period_s(weight: float) -> float:
    """Return the period in which the jobs of an organisation with a weight are counted."""
    if weight <= 0:
        return MAX_PERIOD_S
    return min(MAX_PERIOD_S, max(MIN_PERIOD_S, MIN_JOBS / weight))
