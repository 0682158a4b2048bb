"""Messages between the entries of a failure domain about slot credits."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from redwingplank.routing.messages import PeerLoad

__all__ = ["CreditGrant", "CreditReport", "CreditSettings", "ServiceUse"]


@dataclass(frozen=True, slots=True)
class CreditSettings:
    """Times and shares of slot credits.

    Parameters
    ----------
    lease_s : float
        Seconds for which an entry keeps its credits without an answer of the grantor.
    margin_s : float
        Seconds that the grantor adds before it takes a lapsed lease as such.
    list_lag_s : float
        Most seconds by which the platform's list of VMs lags.
    base_fraction : float
        Part of a service's slots that weighs for every entry, however idle.
    """

    lease_s: float = 10.0
    margin_s: float = 0.5
    list_lag_s: float = 120.0
    base_fraction: float = 0.03


@dataclass(frozen=True, slots=True)
class ServiceUse:
    """What an entry uses and wants of an upstream service."""

    in_flight: int = 0
    waiting: int = 0


@dataclass(frozen=True, slots=True)
class CreditReport:
    """An entry says what it holds.

    Parameters
    ----------
    entry : str
        Its name.
    incarnation : int
        Grows with each start of the process; only one process has the name at a time.
    sequence : int
        Grows with each report; answers to earlier reports are ignored from then on.
    epoch : int
        Highest that the entry has seen; it takes no grants of a lower one.
    held_by_upstream : mapping of str to int
        Credits that it holds; it gave up all others.
    use_by_service : mapping of str to ServiceUse
        Its demand.
    idle_by_service : mapping of str to int
        Credits that it does not use.
    is_frozen : bool
        Whether it holds them without a lease.
    is_last : bool
        Whether the process stops and holds nothing from now on.
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
        Of the grantor.
    incarnation, sequence : int
        Of the report that it answers.
    credits_by_upstream : mapping of str to int
        What the entry may hold; it returns the rest as soon as it is free.
    is_frozen : bool
        Whether the credits are kept without a lease, because the grantor's own authority may end.
    peers : tuple of PeerLoad
        Load of the other entries.
    """

    epoch: int
    incarnation: int
    sequence: int
    credits_by_upstream: Mapping[str, int]
    is_frozen: bool = False
    peers: tuple[PeerLoad, ...] = ()
