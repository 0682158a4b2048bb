"""Settings of each program."""

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
    """What every process of the system has to know of itself and of the cell."""

    name: str = setting(
        parse_name, "Name of this process, unique in the cell; an entry has its VM's name."
    )
    failure_domain: str = setting(parse_name, "Failure domain that it stands in.")
    region: str = setting(parse_name, "Region of the failure domain.", default="region-1")
    failure_domains: tuple[str, ...] = setting(
        _parse_names, "All failure domains of the cell, separated by commas."
    )
    shards_per_domain: int = setting(
        parse_integer(1, MAX_SHARDS_PER_DOMAIN), "Shards of each failure domain.", default="1"
    )
    rpc_address: str = setting(
        parse_address, "Address for calls of the system's other processes.", unit="IP:PORT"
    )
    store_url: str = setting(parse_url, "The platform's key-value service.", unit="URL")
    vms_url: str = setting(parse_url, "The platform's list of VMs.", unit="URL")
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
        "Where metrics are sent; empty for nowhere.",
        unit="IP:PORT",
        default="",
    )
    log_level: str = setting(parse_choice(*LOG_LEVELS), "Least level logged.", default="INFO")
    seed: int = setting(
        parse_integer(0, 2**31 - 1),
        "Seed of random choices; 0 takes one from the name.",
        default="0",
    )
    store_timeout_s: float = setting(
        parse_seconds(0.05, 30.0), "Longest call to the store.", unit="seconds", default="1"
    )


@dataclass(frozen=True, kw_only=True)
class EntrySettings(NodeSettings):
    """Settings of `redwing-entry`."""

    http_address: str = setting(parse_address, "Address for callers.", unit="IP:PORT")
    entries_http: Mapping[str, str] = setting(
        parse_address_by_name,
        "Addresses for callers of all entries, to hand requests on: FAILURE_DOMAIN/NAME=IP:PORT.",
        default="",
    )
    drain_notice_s: float = setting(
        parse_seconds(0.0, 60.0),
        "Time from not being ready to no longer listening, for the balancer to see it.",
        unit="seconds",
        default="2",
    )
    drain_limit_s: float = setting(
        parse_seconds(0.0, 600.0),
        "Longest time that requests in flight get at the stop.",
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
        parse_seconds(1.0, 30.0), "Lease of a shard's owner.", unit="seconds", default="3"
    )
    task_lease_s: float = setting(
        parse_seconds(1.0, 600.0), "Lease of a running task.", unit="seconds", default="15"
    )
    renew_every_s: float = setting(
        parse_seconds(0.1, 200.0),
        "Time between two exchanges with a worker without commands; ends are learnt by them.",
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
        "IP number of all stand-ins.",
        default="127.0.0.1",
    )
    port: int = setting(parse_integer(1, 60000), "Port of store, list and admin.", default="7300")
    first_vm_port: int = setting(
        parse_integer(1, 60000), "First port of workers and upstreams.", default="7301"
    )
    failure_domains: tuple[str, ...] = setting(
        _parse_names, "Failure domains, separated by commas."
    )
    workers_per_domain: int = setting(
        parse_integer(0, 500), "Workers in each failure domain.", default="4"
    )
    upstreams_per_domain: int = setting(
        parse_integer(0, 100), "Upstreams of each service in each failure domain.", default="3"
    )
    services: tuple[str, ...] = setting(
        _parse_names,
        "Services that upstreams serve, separated by commas.",
        default="notahane,quoter",
    )
    entries: Mapping[str, str] = setting(
        parse_address_by_name,
        "Entry VMs on the list: FAILURE_DOMAIN/NAME=IP:PORT, separated by commas.",
        default="",
    )
    processors: int = setting(parse_integer(1, 1024), "Processors of a worker.", default="64")
    memory_gib: int = setting(
        parse_integer(1, 4096), "Memory of a worker.", unit="GiB", default="128"
    )
    accelerators: int = setting(
        parse_integer(0, 64), "Accelerators of kind gpu of every second worker.", default="2"
    )
    list_lag_s: float = setting(
        parse_seconds(0.0, 600.0), "Lag of the list of VMs.", unit="seconds", default="1"
    )
    seed: int = setting(parse_integer(0, 2**31 - 1), "Seed of speeds.", default="1")
    log_level: str = setting(parse_choice(*LOG_LEVELS), "Least level logged.", default="WARNING")


@dataclass(frozen=True, kw_only=True)
class DevSettings:
    """Settings of `redwing-dev`."""

    once: bool = setting(
        parse_switch,
        "End after the sample; the exit code says whether every answer was right.",
        default="False",
        is_switch=True,
    )
    declarations: tuple[str, ...] = setting(
        lambda text: tuple(filter(None, text.split(","))),
        "Files or folders of declarations, separated by commas.",
        default="examples/bureau,examples/cooperative",
    )
    failure_domains: tuple[str, ...] = setting(
        _parse_names, "Failure domains, separated by commas.", default="ankara-1,ankara-2,ankara-3"
    )
    entries_per_domain: int = setting(
        parse_integer(1, 9), "Entries in each failure domain.", default="1"
    )
    schedulers_per_domain: int = setting(
        parse_integer(1, 9), "Schedulers in each failure domain.", default="1"
    )
    port: int = setting(parse_integer(1024, 60000), "First of about 100 ports.", default="7200")
    log_level: str = setting(parse_choice(*LOG_LEVELS), "Least level logged.", default="WARNING")
