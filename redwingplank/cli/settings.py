"""Settings of each long-running program, read from flags and environment variables."""

from collections.abc import Mapping
from dataclasses import dataclass

from redwingplank.core.settings import (
    parse_address,
    parse_address_by_name,
    parse_choice,
    parse_integer,
    parse_name,
    parse_seconds,
    parse_switch,
    parse_url,
    setting,
)

__all__ = [
    "DevSettings",
    "EntrySettings",
    "NodeSettings",
    "SchedulerProgramSettings",
    "StandinSettings",
]

LOG_LEVELS = ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR")
MAX_SHARDS_PER_DOMAIN = 64


def _parse_names(text: str) -> tuple[str, ...]:
    return tuple(parse_name(item) for item in text.split(",") if item)


def _parse_optional_address(text: str) -> str:
    return parse_address(text) if text else ""


@dataclass(frozen=True, kw_only=True)
class NodeSettings:
    """Settings of entries and schedulers: the process's identity and the cell's addresses."""

    name: str = setting(
        parse_name,
        "Name of this process, unique in the cell; the name of an entry is that of its VM.",
    )
    failure_domain: str = setting(parse_name, "Failure domain of this process.")
    region: str = setting(parse_name, "Region of the failure domain.", default="region-1")
    failure_domains: tuple[str, ...] = setting(
        _parse_names, "All failure domains of the cell, separated by commas."
    )
    shards_per_domain: int = setting(
        parse_integer(1, MAX_SHARDS_PER_DOMAIN),
        "Number of shards of each failure domain.",
        default="1",
    )
    rpc_address: str = setting(
        parse_address, "Address for RPCs from the cell's other processes.", unit="IP:PORT"
    )
    store_url: str = setting(parse_url, "URL of the platform's key-value service.", unit="URL")
    vms_url: str = setting(parse_url, "URL of the platform's list of VMs.", unit="URL")
    entries: Mapping[str, str] = setting(
        parse_address_by_name,
        "RPC addresses of all entries: FAILURE_DOMAIN/NAME=IP:PORT, separated by commas.",
        default="",
    )
    schedulers: Mapping[str, str] = setting(
        parse_address_by_name,
        "RPC addresses of all schedulers: FAILURE_DOMAIN/NAME=IP:PORT, separated by commas.",
        default="",
    )
    statsd_address: str = setting(
        _parse_optional_address,
        "StatsD address that metrics are sent to; empty to send none.",
        unit="IP:PORT",
        default="",
    )
    log_level: str = setting(
        parse_choice(*LOG_LEVELS), "Lowest level that is logged.", default="INFO"
    )
    seed: int = setting(
        parse_integer(0, 2**31 - 1),
        "Seed of random choices; 0 derives it from the name.",
        default="0",
    )
    store_timeout_s: float = setting(
        parse_seconds(0.05, 30.0), "Timeout of a call to the store.", unit="seconds", default="1"
    )
    descriptors: int = setting(
        parse_integer(64, 1 << 20),
        "Descriptors that the process may open: half for callers, a quarter for its peers.",
        default="4100",
    )


@dataclass(frozen=True, kw_only=True)
class EntrySettings(NodeSettings):
    """Settings of `redwing-entry`."""

    http_address: str = setting(parse_address, "HTTP address for callers.", unit="IP:PORT")
    entries_http: Mapping[str, str] = setting(
        parse_address_by_name,
        "HTTP addresses of all entries, to forward requests: FAILURE_DOMAIN/NAME=IP:PORT.",
        default="",
    )
    memory_mb: int = setting(
        parse_integer(64, 1 << 20),
        "Memory of the process, which bounds what callers may send at a time.",
        unit="MiB",
        default="300",
    )
    drain_notice_s: float = setting(
        parse_seconds(0.0, 60.0),
        "Time between reporting not ready and closing the listener, for the balancer to react.",
        unit="seconds",
        default="2",
    )
    drain_limit_s: float = setting(
        parse_seconds(0.0, 600.0),
        "Longest time to wait for requests in flight during a shutdown.",
        unit="seconds",
        default="30",
    )


@dataclass(frozen=True, kw_only=True)
class SchedulerProgramSettings(NodeSettings):
    """Settings of `redwing-scheduler`."""

    tick_ms: int = setting(
        parse_integer(5, 1000), "Time between two ticks.", unit="milliseconds", default="20"
    )
    owner_ttl_s: float = setting(
        parse_seconds(1.0, 30.0),
        "Duration of the lease of a shard's owner.",
        unit="seconds",
        default="3",
    )
    task_lease_s: float = setting(
        parse_seconds(1.0, 600.0),
        "Duration of the lease of a running task.",
        unit="seconds",
        default="15",
    )
    renew_every_s: float = setting(
        parse_seconds(0.1, 200.0),
        "Time between two polls of a worker without commands; polls report completions.",
        unit="seconds",
        default="1.5",
    )
    clock_margin_s: float = setting(
        parse_seconds(0.0, 10.0), "Safety margin between clocks.", unit="seconds", default="0.5"
    )


@dataclass(frozen=True, kw_only=True)
class StandinSettings:
    """Settings of `redwing-standin`."""

    host: str = setting(
        lambda text: parse_address(f"{text}:1").rpartition(":")[0],
        "IP address of all stand-ins.",
        default="127.0.0.1",
    )
    port: int = setting(
        parse_integer(1, 60000),
        "Port of the store, the list of VMs and the admin calls.",
        default="7300",
    )
    first_vm_port: int = setting(
        parse_integer(1, 60000), "First port of workers and upstreams.", default="7301"
    )
    failure_domains: tuple[str, ...] = setting(
        _parse_names, "Failure domains, separated by commas."
    )
    workers_per_domain: int = setting(
        parse_integer(0, 500), "Number of workers in each failure domain.", default="4"
    )
    upstreams_per_domain: int = setting(
        parse_integer(0, 100),
        "Number of upstreams of each service in each failure domain.",
        default="3",
    )
    services: tuple[str, ...] = setting(
        _parse_names,
        "Services that upstreams serve, separated by commas.",
        default="notahane,quoter",
    )
    entries: Mapping[str, str] = setting(
        parse_address_by_name,
        "Entry VMs in the list of VMs: FAILURE_DOMAIN/NAME=IP:PORT, separated by commas.",
        default="",
    )
    processors: int = setting(
        parse_integer(1, 1024), "Number of processors of a worker.", default="64"
    )
    memory_gib: int = setting(
        parse_integer(1, 4096), "Memory of a worker.", unit="GiB", default="128"
    )
    accelerators: int = setting(
        parse_integer(0, 64),
        "Number of accelerators of kind gpu of every second worker.",
        default="2",
    )
    list_lag_s: float = setting(
        parse_seconds(0.0, 600.0),
        "Delay until a change shows in the list of VMs.",
        unit="seconds",
        default="1",
    )
    seed: int = setting(
        parse_integer(0, 2**31 - 1),
        "Seed of the random speeds of workers and upstreams.",
        default="1",
    )
    log_level: str = setting(
        parse_choice(*LOG_LEVELS), "Lowest level that is logged.", default="WARNING"
    )


@dataclass(frozen=True, kw_only=True)
class DevSettings:
    """Settings of `redwing-dev`."""

    once: bool = setting(
        parse_switch,
        "Exit after the sample; the exit code is 0 if every answer was right and 1 otherwise.",
        default="False",
        is_switch=True,
    )
    declarations: tuple[str, ...] = setting(
        lambda text: tuple(filter(None, text.split(","))),
        "Files or directories of declarations, separated by commas.",
        default="examples/bureau,examples/cooperative",
    )
    failure_domains: tuple[str, ...] = setting(
        _parse_names, "Failure domains, separated by commas.", default="ankara-1,ankara-2,ankara-3"
    )
    entries_per_domain: int = setting(
        parse_integer(1, 9), "Number of entries in each failure domain.", default="1"
    )
    schedulers_per_domain: int = setting(
        parse_integer(1, 9), "Number of schedulers in each failure domain.", default="1"
    )
    port: int = setting(parse_integer(1024, 60000), "First of about 100 ports.", default="7200")
    log_level: str = setting(
        parse_choice(*LOG_LEVELS), "Lowest level that is logged.", default="WARNING"
    )
