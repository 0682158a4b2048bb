"""Converts the messages of slot credits to and from Cap'n Proto."""

from collections.abc import Mapping
from typing import Any

import msgspec

from redwingplank.routing import PeerLoad
from redwingplank.routing.credit_messages import CreditGrant, CreditReport, ServiceUse
from redwingplank.rpc.schema import load_schema

__all__ = ["read_grant", "read_report", "write_grant", "write_report"]

NO_USE = ServiceUse()

_schema: Any = load_schema("credits")


def write_report(report: CreditReport) -> Any:
    """Encode the credit report of an entry."""
    services = sorted({*report.use_by_service, *report.idle_by_service})
    return _schema.Report.new_message(
        entry=report.entry,
        incarnation=report.incarnation,
        sequence=report.sequence,
        epoch=report.epoch,
        held=_write_counts(report.held_by_upstream),
        uses=[
            {
                "service": service,
                "inFlight": report.use_by_service.get(service, NO_USE).in_flight,
                "waiting": report.use_by_service.get(service, NO_USE).waiting,
                "idle": report.idle_by_service.get(service, 0),
            }
            for service in services
        ],
        isFrozen=report.is_frozen,
        isLast=report.is_last,
    )


def read_report(message: Any) -> CreditReport:
    """Decode the credit report of an entry."""
    return CreditReport(
        entry=message.entry,
        incarnation=message.incarnation,
        sequence=message.sequence,
        epoch=message.epoch,
        held_by_upstream=_read_counts(message.held),
        use_by_service={use.service: ServiceUse(use.inFlight, use.waiting) for use in message.uses},
        idle_by_service={use.service: use.idle for use in message.uses},
        is_frozen=message.isFrozen,
        is_last=message.isLast,
    )


def write_grant(grant: CreditGrant) -> Any:
    """Encode a grant of credits."""
    return _schema.Grant.new_message(
        epoch=grant.epoch,
        incarnation=grant.incarnation,
        sequence=grant.sequence,
        credits=_write_counts(grant.credits_by_upstream),
        isFrozen=grant.is_frozen,
        peers=[
            {
                "entry": peer.entry,
                "idle": _write_counts(peer.idle_by_service),
                "waiting": peer.waiting,
            }
            for peer in grant.peers
        ],
    )


def read_grant(message: Any) -> CreditGrant:
    """Decode a grant of credits."""
    return CreditGrant(
        epoch=message.epoch,
        incarnation=message.incarnation,
        sequence=message.sequence,
        credits_by_upstream=_read_counts(message.credits),
        is_frozen=message.isFrozen,
        peers=tuple(
            PeerLoad(peer.entry, _read_counts(peer.idle), peer.waiting) for peer in message.peers
        ),
    )


def _write_counts(counts_by_name: Mapping[str, int]) -> bytes:
    return msgspec.msgpack.encode(dict(counts_by_name))


def _read_counts(message: Any) -> dict[str, int]:
    return msgspec.msgpack.decode(message, type=dict[str, int])
