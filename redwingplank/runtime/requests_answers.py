"""Builds the answer that a caller receives from the outcome of its request."""

from redwingplank.routing import CallerAnswer, FailureKind, Problem, Ran, Shed, ShedReason
from redwingplank.routing.orders import ClaimAnswer, ClaimOutcome, StoredAnswer
from redwingplank.runtime.requests_attempt import AttemptAnswer
from redwingplank.runtime.requests_run import RequestFailure

__all__ = [
    "claim_problem",
    "make_failure_answer",
    "make_rejection_answer",
    "make_upstream_answer",
    "problem_answer",
    "stored_answer",
]

REPLAYED_HEADER = "idempotent-replayed"
FAILURE_RETRY_AFTER_S = 1.0

_SHED_DETAILS = {
    ShedReason.UNKNOWN_SERVICE: "the organisation has no such request service",
    ShedReason.NO_UPSTREAM: "no upstream of the service takes requests now",
    ShedReason.DEADLINE: "the answer would come after the deadline",
    ShedReason.QUEUE_FULL: "too many requests wait",
    ShedReason.DISPLACED: "more urgent requests took the place in the queue",
    ShedReason.RETRY_BUDGET: "too many requests are being sent again",
    ShedReason.STOPPING: "this entry is stopping; open a new connection",
}

_CLAIM_PROBLEMS = {
    ClaimOutcome.IN_PROGRESS: (409, Ran.UNKNOWN, "order_in_progress", "the order still runs"),
    ClaimOutcome.UNKNOWN: (
        502,
        Ran.UNKNOWN,
        "order_unknown",
        "the first run's end is not known",
    ),
    ClaimOutcome.NOT_KEPT: (
        410,
        Ran.YES,
        "answer_not_kept",
        "the order ran, but its answer is too long or too old to be kept",
    ),
    ClaimOutcome.CONFLICT: (
        422,
        Ran.NO,
        "key_reused",
        "the Idempotency-Key was used with another body; use a new key",
    ),
}


def make_upstream_answer(answered: AttemptAnswer) -> CallerAnswer:
    """Return an upstream's answer as the answer to the caller."""
    return CallerAnswer(answered.status, Ran.YES, answered.headers, answered.body)


def stored_answer(stored: StoredAnswer) -> CallerAnswer:
    """Return the stored answer of an order's first run, marked as a replay, for a repeat."""
    headers = {**dict(stored.headers), REPLAYED_HEADER: "true"}
    return CallerAnswer(stored.status, Ran.YES, headers, stored.body)


def make_rejection_answer(shed: Shed, ran: Ran = Ran.NO) -> CallerAnswer:
    """Return the answer to a request that was shed; `ran` covers the attempts made before."""
    if shed.reason is ShedReason.UNKNOWN_SERVICE:
        return problem_answer(404, ran, shed.reason.value, _SHED_DETAILS[shed.reason])
    return problem_answer(
        503, ran, shed.reason.value, _SHED_DETAILS[shed.reason], shed.retry_after_s
    )


def make_failure_answer(failure: RequestFailure) -> CallerAnswer:
    """Return the answer to a request that no upstream answered."""
    if isinstance(failure.cause, Shed):
        return make_rejection_answer(failure.cause, failure.ran)
    is_timeout = failure.cause.kind is FailureKind.TIMEOUT
    status = 504 if is_timeout else 503 if failure.ran is Ran.NO else 502
    code = f"upstream_{failure.cause.kind.value}"
    return problem_answer(status, failure.ran, code, failure.cause.detail, FAILURE_RETRY_AFTER_S)


def claim_problem(claimed: ClaimAnswer) -> CallerAnswer:
    """Return the answer to an order that must not be sent and has no stored answer."""
    status, ran, code, detail = _CLAIM_PROBLEMS[claimed.outcome]
    return problem_answer(status, ran, code, detail)


def problem_answer(
    status: int, ran: Ran, code: str, detail: str, retry_after_s: float | None = None
) -> CallerAnswer:
    """Return an error answer made by the entry itself."""
    return CallerAnswer(status, ran, problem=Problem(code, detail), retry_after_s=retry_after_s)
