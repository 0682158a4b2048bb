"""The log line of a routing decision."""

from typing import Any

from redwingplank.routing.messages import Decision, Forward, Route, RouteRequest, Shed

__all__ = ["decision_fields"]

MS_PER_S = 1000


def decision_fields(request: RouteRequest, decision: Decision) -> dict[str, Any]:
    """Return the pairs of the log line of a decision."""
    return {
        "request_id": request.request_id,
        "organisation": request.organisation,
        "service": request.service,
        "attempt": request.attempt,
        **_outcome_fields(decision),
    }


def _outcome_fields(decision: Decision) -> dict[str, Any]:
    if isinstance(decision, Route):
        return {
            "decision": "hedge" if decision.is_hedge else "route",
            "upstream": decision.upstream,
            "expected_ms": decision.expected_s * MS_PER_S,
            "waited_ms": decision.waited_s * MS_PER_S,
        }
    if isinstance(decision, Shed):
        return {
            "decision": "shed",
            "reason": decision.reason.value,
            "retry_after_ms": decision.retry_after_s * MS_PER_S,
        }
    if isinstance(decision, Forward):
        return {"decision": "hand_on", "entry": decision.entry}
    return {"decision": "wait", "predicted_wait_ms": decision.predicted_wait_s * MS_PER_S}
