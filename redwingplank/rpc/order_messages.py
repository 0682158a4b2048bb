"""Converts the messages about orders, which run at most once, to and from Cap'n Proto."""

from typing import Any

from redwingplank.routing.orders import (
    ClaimAnswer,
    ClaimOutcome,
    OrderClaim,
    OrderEnd,
    OrderKey,
    OrderReport,
    StoredAnswer,
)
from redwingplank.rpc.schema import load_schema

__all__ = [
    "NOT_HOME",
    "read_claim",
    "read_claim_answer",
    "read_report",
    "write_claim",
    "write_claim_answer",
    "write_report",
]

# Outcome on the wire when the called process does not own the shard.
NOT_HOME = "not_home"

_schema: Any = load_schema("orders")


def write_claim(claim: OrderClaim) -> Any:
    """Encode the claim of an order."""
    return _schema.OrderClaim.new_message(
        key=_key_fields(claim.key),
        claimId=claim.claim_id,
        entry=claim.entry,
        bodyDigest=claim.body_digest,
        timeoutS=claim.timeout_s,
    )


def read_claim(message: Any) -> OrderClaim:
    """Decode the claim of an order."""
    return OrderClaim(
        key=_read_key(message.key),
        claim_id=message.claimId,
        entry=message.entry,
        body_digest=message.bodyDigest,
        timeout_s=message.timeoutS,
    )


def write_claim_answer(answer: ClaimAnswer | None) -> Any:
    """Encode the answer to a claim; None if this process does not own the shard."""
    if answer is None:
        return _schema.ClaimAnswer.new_message(outcome=NOT_HOME)
    message = _schema.ClaimAnswer.new_message(outcome=answer.outcome.value)
    _write_stored(message, answer.answer)
    return message


def read_claim_answer(message: Any) -> ClaimAnswer | None:
    """Decode the answer to a claim; None if the peer does not own the shard."""
    if message.outcome == NOT_HOME:
        return None
    return ClaimAnswer(ClaimOutcome(message.outcome), _read_stored(message))


def write_report(report: OrderReport) -> Any:
    """Encode the report of an order's completion."""
    message = _schema.OrderReport.new_message(
        key=_key_fields(report.key), claimId=report.claim_id, end=report.end.value
    )
    _write_stored(message, report.answer)
    return message


def read_report(message: Any) -> OrderReport:
    """Decode the report of an order's completion."""
    key = _read_key(message.key)
    return OrderReport(key, message.claimId, OrderEnd(message.end), _read_stored(message))


def _key_fields(key: OrderKey) -> dict[str, str]:
    return {"organisation": key.organisation, "service": key.service, "key": key.key}


def _read_key(message: Any) -> OrderKey:
    return OrderKey(message.organisation, message.service, message.key)


def _write_stored(message: Any, stored: StoredAnswer | None) -> None:
    if stored is None:
        return
    message.hasAnswer = True
    message.answer = {
        "status": stored.status,
        "headers": [{"name": name, "value": value} for name, value in stored.headers],
        "body": stored.body,
    }


def _read_stored(message: Any) -> StoredAnswer | None:
    if not message.hasAnswer:
        return None
    headers = tuple((header.name, header.value) for header in message.answer.headers)
    return StoredAnswer(message.answer.status, headers, bytes(message.answer.body))
