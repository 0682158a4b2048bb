"""Types and functions on which all other packages build."""

from redwingplank.core.addresses import check_address
from redwingplank.core.clock import Clock, FakeClock, MonotonicClock, UnixClock
from redwingplank.core.collector import tune_collector
from redwingplank.core.decoding import UndecodableError, decode_json
from redwingplank.core.errors import InvalidValueError, RedwingError
from redwingplank.core.findings import Finding, FindingsError, SourceLocation, raise_findings
from redwingplank.core.logs import (
    Logger,
    format_event,
    format_value,
    log_event,
    make_logger,
    start_logging,
)
from redwingplank.core.rendezvous import choose_by_rendezvous
from redwingplank.core.resources import NO_RESOURCES, Resources, make_resources, sum_resources

__all__ = [
    "NO_RESOURCES",
    "Clock",
    "FakeClock",
    "Finding",
    "FindingsError",
    "InvalidValueError",
    "Logger",
    "MonotonicClock",
    "RedwingError",
    "Resources",
    "SourceLocation",
    "UndecodableError",
    "UnixClock",
    "check_address",
    "choose_by_rendezvous",
    "decode_json",
    "format_event",
    "format_value",
    "log_event",
    "make_logger",
    "make_resources",
    "raise_findings",
    "start_logging",
    "sum_resources",
    "tune_collector",
]
