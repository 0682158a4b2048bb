"""Ranks steps by urgency."""

from redwingplank.batch.entities import Job, Step
from redwingplank.batch.model import JobSpec, QueuePolicy
from redwingplank.batch.speeds import Speeds

__all__ = [
    "BEYOND_RATE_TIER",
    "LAST_TIER",
    "Rank",
    "chain_s",
    "rank_by_benefit",
    "rank_step",
    "rank_turn",
    "set_objective",
]

LATE_FACTOR = 3.0
"""A job that completes within this multiple of its objective still counts, as late."""

Rank = tuple[int, *tuple[float, ...]]

_LASTING_TIER = 0
_TURN_TIER = 1
_IN_TIME_TIER = 2
_LATE_TIER = 3
BEYOND_RATE_TIER = 4
"""Tier of jobs beyond the rate of their organisation that can still complete in time or late."""
_HOPELESS_TIER = 5
LAST_TIER = 6
"""Tier of jobs whose organisation is not configured any more."""


def chain_s(spec: JobSpec, speeds: Speeds, queue: str) -> list[float]:
    """Return for each step the expected time of the longest chain that starts with it, in seconds.

    The chain contains the step itself and the steps that depend on it. Lasting steps take no time.
    """
    follows: list[float] = [0.0] * len(spec.steps)
    for number in range(len(spec.steps) - 1, -1, -1):
        step = spec.steps[number]
        own_s = 0.0 if step.is_lasting else speeds.expected_s(step, queue)
        follows[number] += own_s
        for earlier in step.after:
            follows[earlier] = max(follows[earlier], follows[number])
    return follows


def set_objective(job: Job, queue: QueuePolicy | None, speeds: Speeds) -> None:
    """Set the time by which a job is to complete, and the time after which it no longer counts."""
    stretch = queue.stretch if queue else 1.0
    target_s = queue.target_s if queue else 0.0
    longest_s = max(chain_s(job.spec, speeds, job.spec.queue), default=0.0)
    span_s = stretch * longest_s + target_s
    job.objective_s = job.submitted_s + span_s
    job.latest_end_s = job.submitted_s + LATE_FACTOR * span_s


def rank_step(step: Step, remaining_s: float, now_s: float) -> Rank:
    """Return the sort key of a step; the smallest key comes first.

    Lasting steps come first, then steps that can meet the objective of their job, then steps of
    jobs that can still complete late, then all others.

    Parameters
    ----------
    step : Step
        Step with tasks to start.
    remaining_s : float
        Expected time of the longest chain that starts with the step, from `chain_s`.
    now_s : float
        Current time in seconds.
    """
    if step.spec.is_lasting:
        return _LASTING_TIER, step.opened_s, 0.0
    tier, slack_s = _find_tier(step, remaining_s, now_s)
    if tier == _HOPELESS_TIER:
        return tier, step.job.submitted_s, 0.0
    return tier, slack_s, step.job.submitted_s


def _find_tier(step: Step, remaining_s: float, now_s: float) -> tuple[int, float]:
    """Return the tier of a step that is not lasting, and its slack in seconds.

    The slack is the time for which the step can still wait without falling into the next tier; it
    is negative in the last one.
    """
    job = step.job
    slack_s = job.objective_s - now_s - remaining_s
    if slack_s >= 0:
        return _IN_TIME_TIER, slack_s
    late_slack_s = job.latest_end_s - now_s - remaining_s
    if late_slack_s >= 0:
        return _LATE_TIER, late_slack_s
    return _HOPELESS_TIER, late_slack_s


def rank_by_benefit(
    step: Step, remaining_s: float, priority: int, density: float, now_s: float
) -> Rank:
    """Return the sort key of a step of an overloaded service; the smallest key comes first.

    The tiers are those of `rank_step`. Within the tiers of jobs that still count, the priority of
    the queue comes first, then the benefit for the work that remains, then the slack.

    Parameters
    ----------
    step : Step
        Step with tasks to start, not a lasting one.
    remaining_s : float
        Expected time of the longest chain that starts with the step, from `chain_s`.
    priority : int
        Priority of the queue; 0 is the highest.
    density : float
        Benefit of the job for each unit of work that it still needs.
    now_s : float
        Current time in seconds.
    """
    tier, slack_s = _find_tier(step, remaining_s, now_s)
    if tier == _HOPELESS_TIER:
        return tier, step.job.submitted_s, 0.0
    return tier, priority, -density, slack_s


def rank_turn(step: Step) -> Rank:
    """Return the sort key of a step that comes next because it has waited longest."""
    return _TURN_TIER, step.opened_s, 0.0
