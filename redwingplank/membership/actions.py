"""Identity and timing of a node, and the actions that its membership state machine requests."""

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
    """Periods and rates of the membership protocol.

    Parameters
    ----------
    heartbeat_s : float
        Period of the heartbeats between two nodes of one failure domain, in seconds.
    probe_s : float
        Mean period of the heartbeats to a node that is dead or never sent a heartbeat, in
        seconds.
    summary_s : float
        Period of the summaries to each other failure domain, in seconds.
    list_s : float
        Mean period between two reads of the platform's VM list when the list is short, in
        seconds.
    listed_vms_per_s : float
        Bound on the VMs read per second; a list of n VMs is read every n / `listed_vms_per_s`
        seconds if that is longer than `list_s`.
    views_s : float
        Period of the reports to a peer about the other failure domains, in seconds; a change is
        reported with the next heartbeat.
    detector : DetectorTiming
        Time-outs of the failure detector.
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
    """The name, failure domain and address of a node, from its settings."""

    name: str
    failure_domain: str
    address: str


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat and pass the answer to `MembershipState.on_answer`."""

    address: str
    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class SendSummary:
    """Send a summary to a failure domain and pass the answer to `MembershipState.on_summary`."""

    failure_domain: str
    address: str
    summary: DomainSummary


@dataclass(frozen=True, slots=True)
class ReadList:
    """Read the platform's VM list of one failure domain."""

    failure_domain: str


MembershipAction = SendHeartbeat | SendSummary | ReadList
