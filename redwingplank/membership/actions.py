"""Who a node is, how often it sends, and what its state machine asks to be done."""

from dataclasses import dataclass, field

from redwingplank.membership.detector import DetectorTiming
from redwingplank.membership.messages import DomainSummary, Heartbeat

__all__ = [
    "MembershipAction",
    "MembershipTiming",
    "NodeIdentity",
    "ReadList",
    "SendHeartbeat",
    "SendSummary",
]


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """Times of membership.

    Parameters
    ----------
    heartbeat_s : float
        Between two heartbeats of a pair of nodes in one failure domain.
    probe_s : float
        Between two heartbeats to a node that is dead or was never heard.
    summary_s : float
        Between two summaries to each other failure domain.
    list_s : float
        Shortest time between two reads of the platform's list.
    listed_vms_per_s : float
        VMs read a second; a longer list is read less often.
    views_s : float
        Between two reports of the other failure domains to a peer, unless something changed.
    detector : DetectorTiming
        Of the failure detector.
    """

    heartbeat_s: float = 1.0
    probe_s: float = 4.0
    summary_s: float = 2.0
    list_s: float = 5.0
    listed_vms_per_s: float = 8.0
    views_s: float = 5.0
    detector: DetectorTiming = field(default_factory=DetectorTiming)


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Who a node is, from its settings."""

    name: str
    failure_domain: str
    address: str


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat; the answer goes to `MembershipState.on_answer`."""

    address: str
    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class SendSummary:
    """Send a summary to a failure domain; the answer goes to `MembershipState.on_summary`."""

    failure_domain: str
    address: str
    summary: DomainSummary


@dataclass(frozen=True, slots=True)
class ReadList:
    """Read the platform's list of one failure domain."""

    failure_domain: str


MembershipAction = SendHeartbeat | SendSummary | ReadList
