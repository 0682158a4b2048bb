"""Rules that a history of callers, workers and store can break, and what is only counted."""

import itertools
from collections import Counter

from tools.soak.history import Attempt, History, RunStart
from tools.soak.unasked import find_unasked
from tools.soak.violation import Violation

__all__ = [
    "Violation",
    "count_observations",
    "find_untrue_refusals",
    "find_violations",
    "is_accepted",
]

REFUSALS = frozenset({400, 401, 404, 429, 503})
"""Statuses that say that a job was not accepted and never runs."""
UNKNOWNS = frozenset({None, 500, 502, 504})
ENDED_STATES = frozenset({"completed", "failed", "cancelled"})


def is_accepted(attempt: Attempt) -> bool:
    """Return whether a request was answered with success."""
    return attempt.status is not None and 200 <= attempt.status < 300


def find_violations(history: History) -> list[Violation]:
    """Return all violations of a finished run."""
    return [
        *_find_refused(history),
        *_find_twice(history),
        *_find_lost(history),
        *find_unasked(history),
    ]


def find_untrue_refusals(history: History) -> list[Violation]:
    """Return jobs that were stored when all attempts sent so far were, or came to be, refused.

    One of these attempts had the effect, whatever came of later ones: what `REFUSED` would be if
    the caller had not tried again. No rule is broken.
    """
    untrue = []
    for job_id, stored_s in history.stored_s_by_job.items():
        submissions = history.submissions_of(job_id)
        before = [each for each in submissions if each.sent_s <= stored_s]
        if before and all(each.status in REFUSALS for each in before):
            trace = (f"stored at {stored_s:.3f}", *map(str, submissions))
            untrue.append(Violation("UNTRUE", job_id, trace))
    return untrue


def count_observations(history: History) -> Counter[str]:
    """Count what a caller may find odd, but what breaks none of the checked rules."""
    counts: Counter[str] = Counter()
    for job_id, attempts in history.attempts_by_job.items():
        submissions = history.submissions_of(job_id)
        starts = history.starts_by_job.get(job_id, [])
        counts["answers 500"] += sum(each.status == 500 for each in attempts)
        counts["ran, 503 after unknown"] += bool(starts) and _has_refusal_after_unknown(submissions)
        counts["ran, none accepted"] += bool(starts) and not any(map(is_accepted, submissions))
        counts["ran after 410"] += _ran_after_gone(attempts, starts)
        counts["ran after 500"] += bool(starts) and any(each.status == 500 for each in submissions)
    return +counts


def _has_refusal_after_unknown(submissions: list[Attempt]) -> bool:
    if any(is_accepted(each) for each in submissions):
        return False
    for earlier, later in itertools.pairwise(submissions):
        if earlier.status in UNKNOWNS and later.status in REFUSALS:
            return True
    return False


def _ran_after_gone(attempts: list[Attempt], starts: list[RunStart]) -> bool:
    gone_s = [each.ended_s for each in attempts if each.method != "POST" and each.status == 410]
    return any(start.at_s > min(gone_s) for start in starts) if gone_s else False


def _find_refused(history: History) -> list[Violation]:
    violations = []
    for job_id, starts in history.starts_by_job.items():
        submissions = history.submissions_of(job_id)
        if submissions and all(each.status in REFUSALS for each in submissions):
            trace = [*map(str, submissions), *map(str, starts)]
            violations.append(Violation("REFUSED", job_id, tuple(trace)))
    return violations


def _find_twice(history: History) -> list[Violation]:
    violations = []
    for job_id, starts in history.starts_by_job.items():
        for earlier in starts:
            for later in starts:
                reason = _find_clash(history, earlier, later)
                if reason:
                    trace = (reason, str(earlier), str(later))
                    violations.append(Violation("TWICE", job_id, trace))
    return violations


def _find_clash(history: History, earlier: RunStart, later: RunStart) -> str:
    if earlier is later or earlier.task != later.task or later.at_s < earlier.at_s:
        return ""
    run = (earlier.worker, earlier.task, earlier.attempt)
    end = history.ends_by_run.get(run)
    if end is None or later.at_s < end.at_s:
        return "two runs at once"
    if run in history.acknowledged:
        return f"started again after its end done at {end.at_s:.3f} was acknowledged"
    return ""


def _find_lost(history: History) -> list[Violation]:
    violations = []
    for job_id in history.attempts_by_job:
        accepted = [each for each in history.submissions_of(job_id) if is_accepted(each)]
        reason = _find_loss(history, job_id, accepted[0]) if accepted else ""
        if reason:
            trace = (reason, *map(str, history.submissions_of(job_id)))
            violations.append(Violation("LOST", job_id, trace))
    return violations


def _find_loss(history: History, job_id: str, accepted: Attempt) -> str:
    if history.stored_s_by_job.get(job_id, float("inf")) > accepted.ended_s:
        return "accepted, but not in the store"
    state = history.final_state_by_job.get(job_id, "")
    if state not in ENDED_STATES:
        return f"accepted, but never ended; last state {state!r}"
    return ""
