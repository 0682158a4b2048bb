"""Reads the settings file that the platform writes for each process."""

import os
from dataclasses import dataclass
from pathlib import Path

import msgspec

from redwingplank.core import Finding, FindingsError, SourceLocation

__all__ = ["SETTINGS_VARIABLE", "SiteSettings", "read_site_settings"]

SETTINGS_VARIABLE = "REDWINGPLANK_SETTINGS"
METRICS_PORT = 9464
"""The port that the deploy file declares for metrics."""
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class SiteSettings:
    """Settings of a process of the cell; times are in seconds.

    Parameters
    ----------
    name, failure_domain : str
        Name and failure domain of this VM.
    ip : str
        IP address of this VM.
    core_share : float
        Part of a core that one thread gets on this VM.
    callers_address, readiness_address : str
        ``"IP:PORT"`` at which callers and readiness checks arrive.
    peer_port : int
        Port that serves the other processes of the cell.
    metrics_address : str
        ``"IP:PORT"`` at which metrics are served; empty if they are not served.
    store_address, advice_address : str
        ``"IP:PORT"`` of the platform's store and advice service; the latter may be empty.
    lease_limit_s : float
        Longest lease that a worker accepts.
    remote_factor : float
        Factor on the run time of a task that runs in another rack than its data.
    grace_s : float
        Time from SIGTERM to SIGKILL.
    state_kept_s : float
        How long the state of an ended job remains available to callers.
    store_lease_s : float
        Shortest lease that the store grants.
    revocation_limit_s : float or None
        Time after the removal of a key from which no call with it may succeed, None if there is no
        such limit.
    config_limit_s : float
        Time after which a change of the configuration has to be in force.
    value_bytes : int
        Largest size in bytes of a value in the store.
    memory_mb : int
        Memory of this process in MiB.
    descriptors : int
        Number of descriptors that this process may open.
    """

    name: str
    failure_domain: str
    ip: str
    core_share: float
    callers_address: str
    readiness_address: str
    peer_port: int
    metrics_address: str
    store_address: str
    advice_address: str
    lease_limit_s: float
    remote_factor: float
    grace_s: float
    state_kept_s: float
    store_lease_s: float
    revocation_limit_s: float | None = None
    config_limit_s: float = 2.0
    memory_mb: int = 300
    descriptors: int = 4100
    value_bytes: int = 1_048_576

    @property
    def peer_address(self) -> str:
        """``"IP:PORT"`` at which the other processes of the cell reach this one."""
        return f"{self.ip}:{self.peer_port}"


class _WireListen(msgspec.Struct):
    frontend: str
    ready: str


class _WireLimits(msgspec.Struct):
    # Usable part of each core, not of the whole VM.
    cpu_share: float = 1
    memory_mb: int = 300
    max_fds: int = 4100


class _WirePlatform(msgspec.Struct):
    address: str
    ttl_min_ms: float = 1000
    value_bytes: int = 1_048_576


class _WireBounds(msgspec.Struct):
    hold_max_ms: float = 6000
    remote_factor: float = 2
    grace_s: float = 6
    status_s: float = 120
    strict_revoke: bool = False
    revoke_ms: float = 5000
    config_apply_ms: float = 2000


class _WireSettings(msgspec.Struct):
    node_name: str
    zone: str
    ip: str
    listen: _WireListen
    # First and last usable port; the first one serves the peers.
    port_range: tuple[int, int]
    platform: _WirePlatform
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    bounds: _WireBounds = msgspec.field(default_factory=_WireBounds)
    advisor: str | None = None


def read_site_settings(path: str | None = None) -> SiteSettings:
    """Return the settings of this process.

    Parameters
    ----------
    path : str, optional
        The settings file, by default the one that `SETTINGS_VARIABLE` names in the environment.

    Raises
    ------
    FindingsError
        The file cannot be read, or a field is missing or invalid; one finding for each field.
    """
    chosen = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not chosen:
        place = SourceLocation("environment", field=SETTINGS_VARIABLE)
        raise FindingsError([Finding(place, "is not set", "name the settings file")])
    try:
        raw = Path(chosen).read_bytes()
    except OSError as error:
        raise FindingsError(
            [Finding(SourceLocation(chosen), str(error), "give a readable file")]
        ) from error
    return _read(_decode(raw, chosen))


def _decode(raw: bytes, source: str) -> _WireSettings:
    try:
        tables = msgspec.json.decode(raw)
    except msgspec.MsgspecError as error:
        raise FindingsError(
            [Finding(SourceLocation(source), str(error), "write valid JSON")]
        ) from error
    if not isinstance(tables, dict):
        raise FindingsError(
            [Finding(SourceLocation(source), "is not a table", "write a JSON object")]
        )
    findings = []
    for field in msgspec.structs.fields(_WireSettings):
        if field.name not in tables:
            if field.required:
                place = SourceLocation(source, field=field.name)
                findings.append(Finding(place, "is missing", "add it"))
            continue
        try:
            msgspec.convert(tables[field.name], field.type)
        except msgspec.ValidationError as error:
            place = SourceLocation(source, field=field.name)
            findings.append(Finding(place, str(error), "give a value of the right kind"))
    if findings:
        raise FindingsError(findings)
    return msgspec.convert(tables, _WireSettings)


def _read(wire: _WireSettings) -> SiteSettings:
    bounds = wire.bounds
    return SiteSettings(
        name=wire.node_name,
        failure_domain=wire.zone,
        ip=wire.ip,
        core_share=wire.limits.cpu_share,
        callers_address=wire.listen.frontend,
        readiness_address=wire.listen.ready,
        peer_port=wire.port_range[0],
        metrics_address=f"{wire.ip}:{METRICS_PORT}",
        store_address=wire.platform.address,
        advice_address=wire.advisor or "",
        lease_limit_s=bounds.hold_max_ms / MS_PER_S,
        remote_factor=bounds.remote_factor,
        grace_s=bounds.grace_s,
        state_kept_s=bounds.status_s,
        store_lease_s=wire.platform.ttl_min_ms / MS_PER_S,
        revocation_limit_s=bounds.revoke_ms / MS_PER_S if bounds.strict_revoke else None,
        config_limit_s=bounds.config_apply_ms / MS_PER_S,
        memory_mb=wire.limits.memory_mb,
        descriptors=wire.limits.max_fds,
        value_bytes=wire.platform.value_bytes,
    )
