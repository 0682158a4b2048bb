"""Requests to the router, the decisions it returns, and load reports."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "Decision",
    "FailureKind",
    "Forward",
    "PeerLoad",
    "Route",
    "RouteRequest",
    "ServiceDemand",
    "Shed",
    "ShedReason",
    "Wait",
    "WaitingDecision",
]


class ShedReason(StrEnum):
    """Why a request was not sent."""

    UNKNOWN_SERVICE = "unknown_service"
    NO_UPSTREAM = "no_upstream"
    DEADLINE = "deadline"
    QUEUE_FULL = "queue_full"
    DISPLACED = "displaced"
    RETRY_BUDGET = "retry_budget"
    STOPPING = "stopping"


class FailureKind(StrEnum):
    """How an attempt at an upstream failed.

    CROSSED means that the upstream answered with the id of another request.
    """

    NOT_CONNECTED = "not_connected"
    REFUSED = "refused"
    CUT = "cut"
    CROSSED = "crossed"
    TIMEOUT = "timeout"
    SERVER_ERROR = "server_error"
    CALLER_LEFT = "caller_left"


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """A request that needs an upstream.

    Parameters
    ----------
    request_id : str
        Unique id of the caller's request.
    organisation, service : str
        Names from the declarations.
    deadline_s : float
        Latest time in seconds at which an answer is still useful, on the clock of ``now_s``.
    hops : int
        Number of entries that have already forwarded the request.
    attempt : int
        Number of the attempt, from 1; attempts after the first consume the retry budget.
    is_hedge : bool
        Whether this is a second copy of a running attempt; a hedge never waits.
    excluded : frozenset of str
        Names of upstreams that earlier attempts used.
    """

    request_id: str
    organisation: str
    service: str
    deadline_s: float
    hops: int = 0
    attempt: int = 1
    is_hedge: bool = False
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Route:
    """Send the request to an upstream.

    The slot of the upstream stays occupied until `Router.record_success` or
    `Router.record_failure` is called.

    Parameters
    ----------
    request_id : str
        Id of the request.
    upstream, address : str
        Name of the upstream and the address to send to.
    expected_s : float
        Expected service time of the request at this upstream, in seconds.
    hedge_after_s : float
        Seconds after the start of this attempt at which to send a hedge; infinite for never.
    attempt : int
        Number of the attempt, copied from the request.
    is_hedge : bool
        Whether the attempt is a hedge, copied from the request.
    waited_s : float
        Seconds between the request's arrival and this decision.
    """

    request_id: str
    upstream: str
    address: str
    expected_s: float
    hedge_after_s: float = float("inf")
    attempt: int = 1
    is_hedge: bool = False
    waited_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Shed:
    """Reject the request without sending it; the caller may retry after `retry_after_s`."""

    request_id: str
    reason: ShedReason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Forward:
    """Forward the request to another entry, in this failure domain or another one."""

    request_id: str
    entry: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Keep the request waiting; `Router.decide_waiting` returns its decision later."""

    request_id: str
    predicted_wait_s: float


Decision = Route | Shed | Forward | Wait
WaitingDecision = Route | Shed


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Load that another entry reported.

    Parameters
    ----------
    entry : str
        Name of the reporting entry.
    idle_by_service : mapping of str to int
        Credits that it holds but does not use, by upstream service.
    waiting : int
        Number of requests that wait in it.
    is_own_domain : bool
        Whether it belongs to the failure domain of the receiving entry.
    """

    entry: str
    idle_by_service: Mapping[str, int] = field(default_factory=dict)
    waiting: int = 0
    is_own_domain: bool = True


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Slots of an upstream service that this entry uses and needs.

    Parameters
    ----------
    in_flight : int
        Requests that upstreams are working on.
    idle : int
        Credits that this entry holds but does not use.
    waiting : int
        Requests that wait for a slot.
    """

    in_flight: int
    idle: int
    waiting: int
