"""The rule UNASKED: starts of what nobody sent, and starts and runs after a cancellation."""

from tools.soak.disruptions import CONTACT_S
from tools.soak.history import Attempt, History, RunStart
from tools.soak.violation import Violation

__all__ = ["CANCEL_S", "STOP_GRACE_S", "count_cancelled", "find_unasked", "is_cancel_acknowledged"]

CANCEL_S = 3.0
"""`cancel_ms` of the rules."""
STOP_GRACE_S = 0.9
"""`stop_grace_ms` of the rules."""
CARRIED_OUT_LATE_S = 0.5
"""A worker that is not told to be late begins a run some milliseconds after the command arrives."""


def is_cancel_acknowledged(attempt: Attempt) -> bool:
    """Return whether a request cancelled its job: a DELETE that was answered 2xx or 410."""
    status = attempt.status
    return (
        attempt.method == "DELETE" and status is not None and (200 <= status < 300 or status == 410)
    )


def find_unasked(history: History) -> list[Violation]:
    """Return the starts and runs that no caller asked for, or no longer."""
    violations = []
    for job_id, starts in history.starts_by_job.items():
        acknowledged = _find_acknowledgement(history, job_id)
        for start in starts:
            reasons = [_find_unsent(history, job_id, start)]
            if acknowledged is not None:
                reasons.append(_find_late_start(history, acknowledged.ended_s, start))
                reasons.append(_find_run_on(history, acknowledged.ended_s, start))
            for reason in filter(None, reasons):
                trace = [reason, f"sent by {_sender(history, start) or 'unknown'}", str(start)]
                trace += [str(acknowledged)] if acknowledged is not None else []
                violations.append(Violation("UNASKED", job_id, tuple(trace)))
    return violations


def count_cancelled(history: History) -> int:
    """Return the number of jobs whose cancellation was acknowledged."""
    attempts_by_job = history.attempts_by_job.values()
    return sum(any(map(is_cancel_acknowledged, attempts)) for attempts in attempts_by_job)


def _find_acknowledgement(history: History, job_id: str) -> Attempt | None:
    """Return the attempt that was the first to acknowledge the cancellation of a job."""
    attempts = filter(is_cancel_acknowledged, history.attempts_by_job.get(job_id, ()))
    return min(attempts, key=lambda each: each.ended_s, default=None)


def _sender(history: History, start: RunStart) -> str:
    """Return the node that sent the command, empty if none did.

    The number of an epoch is the last one of its fencing tokens.
    """
    numbers = [number for number in history.owner_by_epoch if number >= start.token]
    return history.owner_by_epoch[min(numbers)] if numbers else ""


def _find_unsent(history: History, job_id: str, start: RunStart) -> str:
    job = history.sent_by_job.get(job_id)
    if job is None or start.task not in job.tasks:
        return "started what no caller sent"
    if start.spec != job.spec:
        return f"started with the spec {start.spec!r}, sent was {job.spec!r}"
    if start.checkpoint and start.checkpoint not in history.checkpoints_by_task[start.task]:
        return f"started with the checkpoint {start.checkpoint!r}, which is not the task's"
    return ""


def _is_carried_out_late(start: RunStart) -> bool:
    return start.at_s - start.arrived_s > CARRIED_OUT_LATE_S


def _find_late_start(history: History, acknowledged_s: float, start: RunStart) -> str:
    if start.at_s <= acknowledged_s + CANCEL_S or _is_carried_out_late(start):
        return ""
    sender = _sender(history, start)
    if sender and not history.disruptions.is_in_touch(sender, start.at_s):
        return ""
    return f"started {start.at_s - acknowledged_s:.3f} s after its cancellation was acknowledged"


def _find_run_on(history: History, acknowledged_s: float, start: RunStart) -> str:
    """Return how long a run goes on through an undisturbed period in which it has to be stopped.

    Commands to the run's own worker have to arrive in that period, too.
    """
    end = history.ends_by_run.get((start.worker, start.task, start.attempt))
    ended_s = history.ended_s if end is None else end.at_s
    begun_s = start.at_s + (CONTACT_S if _is_carried_out_late(start) else 0.0)
    from_s = max(acknowledged_s, begun_s)
    names = history.node_names | {start.worker.partition("/")[0]}
    if not history.disruptions.has_calm(names, from_s, ended_s, CANCEL_S + STOP_GRACE_S):
        return ""
    return f"runs for {ended_s - from_s:.3f} s after its cancellation was acknowledged"
