"""Effective declarations: checked, immutable entities that the rest of the system reads."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from types import MappingProxyType

from redwingplank.core import NO_RESOURCES, Resources

__all__ = [
    "NO_DECLARATIONS",
    "START_WITHIN_S",
    "DeadlineClass",
    "Declarations",
    "Organisation",
    "PlacementPolicyName",
    "Service",
    "Spread",
    "WorkloadKind",
]


class WorkloadKind(StrEnum):
    """The way in which the work of a template is run."""

    REQUEST = "request"
    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class DeadlineClass(IntEnum):
    """How soon work has to start; a lower number is more urgent."""

    URGENT = 0
    STANDARD = 1
    BULK = 2


START_WITHIN_S: Mapping[DeadlineClass, float] = MappingProxyType(
    {DeadlineClass.URGENT: 6.9, DeadlineClass.STANDARD: 120.0, DeadlineClass.BULK: 3600.0}
)
"""Default target time from acceptance to start of each deadline class, in seconds."""


class Spread(StrEnum):
    """The kind of unit over which the tasks of one job are spread."""

    NONE = "none"
    RACK = "rack"
    FAILURE_DOMAIN = "failure_domain"


class PlacementPolicyName(StrEnum):
    """Placement policies that a template may choose."""

    PACKING = "packing"
    WAITING = "waiting"
    FIRST_FIT = "first_fit"
    RANDOM = "random"


@dataclass(frozen=True, slots=True)
class Service:
    """An organisation's service: a template with its parameters filled in.

    Parameters
    ----------
    name : str
        The name in callers' URLs, such as ``"proof"``.
    template : str
        Name of the template that it uses.
    kind : WorkloadKind
        Requests go to upstreams; the other kinds run as tasks on workers.
    upstream_service : str
        For requests: the service that upstreams declare, such as ``"notahane"``.
    priority : int
        0 to 1000; higher goes first and may preempt lower classes.
    deadline_class : DeadlineClass
        How soon its work has to start.
    start_within_s : float
        Target time from acceptance to start, in seconds.
    request_timeout_s : float
        Seconds that a request may take when its caller gives no deadline.
    resources : Resources
        Declared resources of each task.
    run_time_s : float
        Declared run time of a task, in seconds.
    count : int
        Number of tasks of a standing service.
    spread : Spread
        Kind of unit over which the tasks of one job are spread.
    policy : PlacementPolicyName
        Which placement policy its tasks use.
    is_idempotent : bool
        Whether an attempt may be repeated after an unknown outcome.
    max_attempts : int
        Number of attempts after which a task or a request has failed.
    is_preemptible, is_checkpointable : bool
        Whether more urgent work may stop its tasks, and whether they keep their progress.
    is_hedged : bool
        Whether a slow idempotent request is sent a second time.
    is_volatile_allowed : bool
        Whether jobs are accepted without a durable record while the store is unreachable.
    """

    name: str
    template: str
    kind: WorkloadKind
    upstream_service: str = ""
    priority: int = 500
    deadline_class: DeadlineClass = DeadlineClass.STANDARD
    start_within_s: float = 120.0
    request_timeout_s: float = 10.0
    resources: Resources = NO_RESOURCES
    run_time_s: float = 60.0
    count: int = 1
    spread: Spread = Spread.NONE
    policy: PlacementPolicyName = PlacementPolicyName.PACKING
    is_idempotent: bool = True
    max_attempts: int = 3
    is_preemptible: bool = True
    is_checkpointable: bool = False
    is_hedged: bool = False
    is_volatile_allowed: bool = False


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation with its share, its quota and its services.

    Parameters
    ----------
    name : str
        Unique name, used in callers' URLs.
    share : int
        Weight in fair sharing, 1 to 1000.
    quota : Resources or None
        Hard bound on what its running tasks reserve in the whole cell; None for no bound.
    services_by_name : mapping of str to Service
        Services by name.
    """

    name: str
    share: int = 100
    quota: Resources | None = None
    services_by_name: Mapping[str, Service] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Declarations:
    """All effective declarations of one revision.

    Parameters
    ----------
    revision : int
        Number that grows with each accepted change; a node never returns to a lower one.
    organisations_by_name : mapping of str to Organisation
        All organisations by name.
    """

    revision: int = 0
    organisations_by_name: Mapping[str, Organisation] = field(default_factory=dict)

    def find_service(self, organisation: str, service: str) -> Service | None:
        """Return a service, or None when either name is not declared."""
        found = self.organisations_by_name.get(organisation)
        return found.services_by_name.get(service) if found else None


NO_DECLARATIONS = Declarations()
