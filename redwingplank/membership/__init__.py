"""Membership: which nodes, upstreams and failure domains are there, and which are leaving."""

from redwingplank.membership.detector import (
    DetectorTiming,
    FailureDetector,
    NodeStatus,
    TrackedNode,
)
from redwingplank.membership.messages import (
    DomainSummary,
    DomainView,
    Heartbeat,
    Peer,
    PeerEvidence,
    VmWord,
    VmWordKind,
)
from redwingplank.membership.node import (
    MembershipAction,
    MembershipState,
    MembershipTiming,
    NodeIdentity,
    ReadList,
    SendHeartbeat,
    SendSummary,
)

__all__ = [
    "DetectorTiming",
    "DomainSummary",
    "DomainView",
    "FailureDetector",
    "Heartbeat",
    "MembershipAction",
    "MembershipState",
    "MembershipTiming",
    "NodeIdentity",
    "NodeStatus",
    "Peer",
    "PeerEvidence",
    "ReadList",
    "SendHeartbeat",
    "SendSummary",
    "TrackedNode",
    "VmWord",
    "VmWordKind",
]
