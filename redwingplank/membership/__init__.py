"""Membership: tracks which nodes, upstreams and failure domains are live, leaving or dead."""

from redwingplank.membership.actions import (
    MembershipAction,
    MembershipTiming,
    NodeIdentity,
    ReadList,
    SendHeartbeat,
    SendSummary,
)
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
from redwingplank.membership.node import MembershipState

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
