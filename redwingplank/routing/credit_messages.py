"""Slot credit messages between the entries of a failure domain, and their settings."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from redwingplank.routing.messages import PeerLoad

__all__ = ["CreditGrant", "CreditReport", "CreditSettings", "ServiceUse"]


@dataclass(frozen=True, slots=True)
class CreditSettings:
    """Lease times and shares of slot credits.

    Parameters
    ----------
    lease_s : float
        Seconds for which an entry keeps its credits without an answer from the grantor.
    margin_s : float
        Seconds that the grantor adds to a lease before it treats the lease as expired.
    list_lag_s : float
        Maximum seconds by which the platform's list of VMs lags behind.
    base_fraction : float
        Fraction of a service's slots that is added to the weight of every entry, even an idle one.
    """

    lease_s: float = 10.0
    margin_s: float = 0.5
    list_lag_s: float = 120.0
    base_fraction: float = 0.03


@dataclass(frozen=True, slots=True)
class ServiceUse:
    """Requests of one entry to an upstream service that are in flight or waiting."""

    in_flight: int = 0
    waiting: int = 0


@dataclass(frozen=True, slots=True)
class CreditReport:
    """Report of an entry to the grantor: the credits that it holds and its demand.

    Parameters
    ----------
    entry : str
        Name of the reporting entry.
    incarnation : int
        Grows with each start of the process; only one process uses the name at a time.
    sequence : int
        Grows with each report; answers to earlier reports are ignored from then on.
    epoch : int
        Highest grantor epoch that the entry has seen; it rejects grants from a lower one.
    held_by_upstream : mapping of str to int
        Credits that the entry holds, by upstream; it has released all others.
    use_by_service : mapping of str to ServiceUse
        Its demand, by upstream service.
    idle_by_service : mapping of str to int
        Credits that it holds but does not use, by upstream service.
    is_frozen : bool
        Whether it holds its credits without a lease.
    is_last : bool
        Whether the process is stopping and holds no credits from now on.
    """

    entry: str
    incarnation: int
    sequence: int
    epoch: int
    held_by_upstream: Mapping[str, int] = field(default_factory=dict)
    use_by_service: Mapping[str, ServiceUse] = field(default_factory=dict)
    idle_by_service: Mapping[str, int] = field(default_factory=dict)
    is_frozen: bool = False
    is_last: bool = False


@dataclass(frozen=True, slots=True)
class CreditGrant:
    """The grantor's answer to a report.

    Parameters
    ----------
    epoch : int
        Epoch of the grantor.
    incarnation, sequence : int
        Copied from the report that this grant answers.
    credits_by_upstream : mapping of str to int
        Credits that the entry may hold, by upstream; it releases the rest as soon as they are not
        in use.
    is_frozen : bool
        Whether the credits are kept without a lease, because the grantor's own authority may end.
    peers : tuple of PeerLoad
        Load of the other entries of the failure domain.
    """

    epoch: int
    incarnation: int
    sequence: int
    credits_by_upstream: Mapping[str, int]
    is_frozen: bool = False
    peers: tuple[PeerLoad, ...] = ()
