"""Decodes the operator's configuration from the platform's key-value store."""

import math
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from redwingplank.batch.job_limits import MAX_NUMBER
from redwingplank.batch.model import (
    AdvicePolicy,
    Amounts,
    CellConfig,
    OrganisationPolicy,
    QueuePolicy,
)
from redwingplank.core import InvalidValueError, decode_json

__all__ = ["CONFIG_KEY", "OPERATOR_PREFIX", "ConfigRejectedError", "decode_config"]

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"

MS_PER_S = 1000.0


class ConfigRejectedError(InvalidValueError):
    """A configuration contradicts itself; the message names no key."""


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
    public: bool = False


class _WireLimits(msgspec.Struct):
    max_body_bytes: int = 262_144


_Amount = Annotated[int, msgspec.Meta(le=MAX_NUMBER)]


class _WireCap(msgspec.Struct):
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0


class _WireTenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    weight: float = 0.0
    cap: _WireCap | None = None


class _WireConfig(msgspec.Struct):
    version: int
    routes: list[_WireRoute] = []
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    tenants: list[_WireTenant] | msgspec.UnsetType = msgspec.UNSET


@dataclass(slots=True)
class _Organisations:
    by_name: dict[str, OrganisationPolicy] = field(default_factory=dict)
    name_by_key: dict[str, str] = field(default_factory=dict, repr=False)


def decode_config(value: bytes) -> CellConfig:
    """Decode a configuration.

    Raises
    ------
    UndecodableError
        If the value is not a configuration.
    ConfigRejectedError
        If its organisations contradict each other.
    """
    wire = decode_json(value, _WireConfig)
    queues = {route.name: _read_queue(route) for route in wire.routes}
    requires_keys = wire.tenants is not msgspec.UNSET
    organisations = _Organisations()
    if not isinstance(wire.tenants, msgspec.UnsetType):
        for tenant in wire.tenants:
            _add_organisation(organisations, tenant)
    return CellConfig(
        version=wire.version,
        queues_by_name=queues,
        max_body_bytes=wire.limits.max_body_bytes,
        organisations_by_name=organisations.by_name,
        organisation_by_key=organisations.name_by_key,
        requires_keys=requires_keys,
    )


def _add_organisation(organisations: _Organisations, tenant: _WireTenant) -> None:
    """Add an organisation; no error may name a key, because errors are logged."""
    name = tenant.name
    cap = tenant.cap or _WireCap()
    if not name:
        raise ConfigRejectedError("an organisation has no name: give each one a name")
    if name in organisations.by_name:
        raise ConfigRejectedError(f"two organisations are named {name!r}: give each its own name")
    if not (math.isfinite(tenant.weight) and tenant.weight >= 0):
        raise ConfigRejectedError(f"the weight of {name!r} is not a number of at least 0")
    if min(cap.cpu, cap.mem_mb, cap.gpu) < 0:
        raise ConfigRejectedError(f"the quota of {name!r} has a negative amount")
    for key in tenant.api_keys:
        holder = organisations.name_by_key.setdefault(key, name)
        if holder != name:
            raise ConfigRejectedError(
                f"{holder!r} and {name!r} have a key in common: give it to one of them"
            )
    quota = Amounts(cap.cpu, cap.mem_mb, cap.gpu)
    organisations.by_name[name] = OrganisationPolicy(name, tenant.weight, quota)


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
        is_public=route.public,
    )
