"""Requests to the router and its decisions."""

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
    """How an attempt at an upstream failed."""

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
        Unique for each caller's request.
    organisation, service : str
        Names as declared.
    deadline_s : float
        Latest useful end, on the clock of ``now_s``.
    hops : int
        How many entries handed it on already.
    attempt : int
        From 1; attempts after the first draw on the retry budget.
    is_hedge : bool
        A second copy of a running attempt; never waits.
    excluded : frozenset of str
        Upstreams that earlier attempts used.
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
    """Send the request to an upstream; its slot is taken until `finished` or `failed`.

    Parameters
    ----------
    request_id : str
        The request.
    upstream, address : str
        Where to send it.
    expected_s : float
        Service time that is expected of this upstream, in seconds.
    hedge_after_s : float
        When to send a second copy, in seconds after the first; infinite for never.
    attempt : int
        As in the request.
    is_hedge : bool
        As in the request.
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
    """Answer the caller that the request was not sent now."""

    request_id: str
    reason: ShedReason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Forward:
    """Give the request to another entry of the failure domain."""

    request_id: str
    entry: str


@dataclass(frozen=True, slots=True)
class Wait:
    """The request waits in the router; `Router.release` returns its decision later."""

    request_id: str
    predicted_wait_s: float


Decision = Route | Shed | Forward | Wait
WaitingDecision = Route | Shed


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """What another entry of the failure domain said of its load.

    Parameters
    ----------
    entry : str
        Its name.
    idle_by_service : mapping of str to int
        Credits that it holds and does not use, by upstream service.
    waiting : int
        Requests that wait there.
    is_own_domain : bool
        Whether it stands in this entry's failure domain.
    """

    entry: str
    idle_by_service: Mapping[str, int] = field(default_factory=dict)
    waiting: int = 0
    is_own_domain: bool = True


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """What this entry uses and wants of an upstream service.

    Parameters
    ----------
    in_flight : int
        Requests at upstreams.
    idle : int
        Credits that are held and free.
    waiting : int
        Requests that wait for a slot.
    """

    in_flight: int
    idle: int
    waiting: int
