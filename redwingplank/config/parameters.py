"""Table of the parameters of a template: types, bounds, units, defaults and descriptions.

The JSON Schema, the checks and the effective values are made from this table, and a test compares
the documentation with it.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from redwingplank.config.model import (
    DeadlineClass,
    PlacementPolicyName,
    Spread,
    WorkloadKind,
)

__all__ = ["NAME_PATTERN", "PARAMETERS_BY_NAME", "Parameter"]

NAME_PATTERN = "^[a-z0-9]([a-z0-9-]{0,62})$"
MAX_PRIORITY = 1000
MAX_SECONDS = 31_536_000  # 365 days
MAX_TASKS = 100_000
MAX_ATTEMPTS = 100
MAX_MILLICORES = 1_024_000
MAX_MEMORY_MIB = 16_777_216


@dataclass(frozen=True, slots=True)
class Parameter:
    """One parameter of a template or service.

    Parameters
    ----------
    name : str
        Path in the YAML, such as ``"resources.millicores"``.
    schema : mapping
        JSON Schema of the value.
    default : object
        Value if none is declared; None if the parameter has no fixed default.
    description : str
        Meaning of the parameter, shown in the documentation and the schema.
    unit : str
        Unit of the value; empty if it has none.
    in_force : str
        Work on which an accepted change takes effect, and when.
    """

    name: str
    schema: Mapping[str, Any]
    default: Any
    description: str
    unit: str = ""
    in_force: str = "new jobs and requests"


def _integer(minimum: int, maximum: int) -> dict[str, Any]:
    return {"type": "integer", "minimum": minimum, "maximum": maximum}


def _seconds() -> dict[str, Any]:
    return {"type": "number", "exclusiveMinimum": 0, "maximum": MAX_SECONDS}


def _one_of(names: list[str]) -> dict[str, Any]:
    return {"type": "string", "enum": names}


_BOOLEAN = {"type": "boolean"}
_ACCELERATORS = {
    "type": "object",
    "propertyNames": {"pattern": NAME_PATTERN},
    "additionalProperties": _integer(0, 1024),
}

_PARAMETERS = (
    Parameter(
        "kind",
        _one_of([str(kind) for kind in WorkloadKind]),
        None,
        "How the work is run: a request to an upstream, a standing service, a batch, or a gang "
        "whose tasks all start together",
    ),
    Parameter(
        "upstream_service",
        {"type": "string", "pattern": NAME_PATTERN},
        "",
        "For kind request: the service that upstreams declare",
        in_force="next request",
    ),
    Parameter(
        "priority",
        _integer(0, MAX_PRIORITY),
        500,
        "A higher one goes first and may preempt a lower one",
        in_force="next tick, for waiting tasks too",
    ),
    Parameter(
        "deadline_class",
        _one_of([deadline_class.name.lower() for deadline_class in DeadlineClass]),
        "standard",
        "How soon work has to start",
        in_force="next tick, for waiting tasks too",
    ),
    Parameter(
        "start_within_s",
        _seconds(),
        None,
        "Time from acceptance to start; by default 6.9 for urgent, 120 for standard and 3600 for "
        "bulk",
        "s",
        in_force="next tick, for waiting tasks too",
    ),
    Parameter(
        "request_timeout_s",
        _seconds(),
        10.0,
        "Time that a request may take when its caller gives no deadline",
        "s",
        in_force="next request",
    ),
    Parameter(
        "resources.millicores",
        _integer(0, MAX_MILLICORES),
        0,
        "Processor time of each task",
        "1/1000 processor",
        in_force="tasks not yet started",
    ),
    Parameter(
        "resources.memory_mib",
        _integer(0, MAX_MEMORY_MIB),
        0,
        "Memory of each task",
        "MiB",
        in_force="tasks not yet started",
    ),
    Parameter(
        "resources.accelerators",
        _ACCELERATORS,
        MappingProxyType({}),
        "Whole accelerators of each task, by kind",
        "accelerators",
        in_force="tasks not yet started",
    ),
    Parameter(
        "run_time_s",
        _seconds(),
        60.0,
        "Expected run time of a task",
        "s",
        in_force="tasks not yet started",
    ),
    Parameter(
        "count",
        _integer(0, MAX_TASKS),
        1,
        "For kind service: tasks that run at all times",
        "tasks",
        in_force="next tick: tasks are started or drained",
    ),
    Parameter(
        "spread",
        _one_of([str(spread) for spread in Spread]),
        "none",
        "Over what the tasks of one job are spread",
        in_force="tasks not yet started",
    ),
    Parameter(
        "policy",
        _one_of([str(policy) for policy in PlacementPolicyName]),
        "packing",
        "How a worker is chosen: packing fills workers, waiting starts soonest",
        in_force="next placement",
    ),
    Parameter(
        "is_idempotent",
        _BOOLEAN,
        True,
        "Whether an attempt may be repeated after an unknown outcome",
        in_force="next attempt",
    ),
    Parameter(
        "max_attempts",
        _integer(1, MAX_ATTEMPTS),
        3,
        "Attempts before a task or request has failed",
        "attempts",
        in_force="next attempt",
    ),
    Parameter(
        "is_preemptible",
        _BOOLEAN,
        True,
        "Whether more urgent work may stop a running task",
        in_force="next tick",
    ),
    Parameter(
        "is_checkpointable",
        _BOOLEAN,
        False,
        "Whether a stopped task keeps its progress",
        in_force="next tick",
    ),
    Parameter(
        "is_hedged",
        _BOOLEAN,
        False,
        "Whether a slow idempotent request is sent to a second upstream",
        in_force="next request",
    ),
    Parameter(
        "is_volatile_allowed",
        _BOOLEAN,
        False,
        "Whether jobs are taken without a durable record while the store is away",
    ),
)

PARAMETERS_BY_NAME: Mapping[str, Parameter] = MappingProxyType(
    {parameter.name: parameter for parameter in _PARAMETERS}
)
"""Every parameter of a template or service, in the order of the documentation."""
