"""Decodes the operator's configuration from the platform's key-value store."""

import msgspec

from redwingplank.batch.model import AdvicePolicy, CellConfig, QueuePolicy

__all__ = ["CONFIG_KEY", "OPERATOR_PREFIX", "decode_config"]

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"

MS_PER_S = 1000.0


class _WireAdvisor(msgspec.Struct):
    decision_ms: float = 0
    # Time that each worker named in a call adds to the decision time; not a repetition period.
    period_ms: float = 0
    valid_ms: float = 0


class _WireRoute(msgspec.Struct):
    name: str
    host: str
    prefix: str
    service: str = ""
    priority: int = 0
    max_attempts: int = 1
    stretch_factor: float = 1.0
    target_duration_ms: float = 0
    advisor: _WireAdvisor | None = None


class _WireLimits(msgspec.Struct):
    max_body_bytes: int = 262_144


class _WireConfig(msgspec.Struct):
    version: int
    routes: list[_WireRoute] = []
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)


def decode_config(value: bytes) -> CellConfig:
    """Decode a configuration.

    Raises
    ------
    msgspec.MsgspecError
        If the value is not a configuration.
    """
    wire = msgspec.json.decode(value, type=_WireConfig)
    queues = {route.name: _read_queue(route) for route in wire.routes}
    return CellConfig(wire.version, queues, wire.limits.max_body_bytes)


def _read_queue(route: _WireRoute) -> QueuePolicy:
    advice = None
    if route.advisor is not None:
        advice = AdvicePolicy(
            route.advisor.decision_ms / MS_PER_S,
            route.advisor.period_ms / MS_PER_S,
            route.advisor.valid_ms / MS_PER_S,
        )
    return QueuePolicy(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        service=route.service,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        stretch=route.stretch_factor,
        target_s=route.target_duration_ms / MS_PER_S,
        advice=advice,
    )
