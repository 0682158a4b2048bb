"""Failure detector of the nodes in one failure domain; a node is suspected before it is dead.

References
----------
A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol", DSN 2002; suspicion and incarnation numbers follow it.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from redwingplank.membership.messages import Heartbeat, PeerEvidence

__all__ = ["DetectorTiming", "FailureDetector", "NodeStatus", "TrackedNode"]


DEATH_REPORT_S = 15.0
"""Seconds after the last evidence of a node during which heartbeats report it as dead."""


class NodeStatus(Enum):
    """The state of a node according to the failure detector.

    UNHEARD is the state of a node from which no heartbeat was ever received.
    """

    UNHEARD = "unheard"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class DetectorTiming:
    """Time-outs of the failure detector.

    Parameters
    ----------
    suspect_after_s : float
        Seconds without a heartbeat from a node after which it is suspected and the peers are
        asked for evidence.
    dead_after_s : float
        Seconds without a heartbeat or evidence from a peer after which a node is dead.
    own_pause_s : float
        Gap between two ticks, in seconds, above which this process counts as paused. It could not
        receive heartbeats during the pause, so the gap does not count against other nodes.
    """

    suspect_after_s: float = 2.5
    dead_after_s: float = 4.0
    own_pause_s: float = 0.75


@dataclass(slots=True)
class TrackedNode:
    """What the failure detector knows about one node.

    Parameters
    ----------
    name, address : str
        Name and address of the node.
    status : NodeStatus
        State of the node.
    incarnation, sequence : int
        Incarnation and sequence number of its newest heartbeat.
    heartbeat_at_s : float
        Time of the last heartbeat that this process received from the node.
    evidence_at_s : float
        Time of the last heartbeat that this process or any reporting peer received from it.
    is_leaving : bool
        Whether the node announced that it stops.
    """

    name: str
    address: str
    status: NodeStatus = NodeStatus.UNHEARD
    incarnation: int = 0
    sequence: int = 0
    heartbeat_at_s: float = float("-inf")
    evidence_at_s: float = float("-inf")
    is_leaving: bool = False

    @property
    def is_alive(self) -> bool:
        """Whether the node counts as alive, which includes a suspected node."""
        return self.status in (NodeStatus.ALIVE, NodeStatus.SUSPECT)


class FailureDetector:
    """Tracks the state of the other nodes of one failure domain.

    Parameters
    ----------
    timing : DetectorTiming
        Time-outs; the defaults of `DetectorTiming` if not given.
    """

    def __init__(self, timing: DetectorTiming | None = None) -> None:
        self.timing = timing or DetectorTiming()
        self.nodes_by_name: dict[str, TrackedNode] = {}
        self._ticked_at_s: float | None = None

    def __iter__(self) -> Iterator[TrackedNode]:
        return iter(self.nodes_by_name.values())

    def add(self, name: str, address: str) -> None:
        """Start to track a node, whose address comes from the settings, VM list or a heartbeat.

        The address of a node that is already tracked changes only before its first heartbeat.
        """
        node = self.nodes_by_name.get(name)
        if node is None:
            self.nodes_by_name[name] = TrackedNode(name, address)
        elif node.status is NodeStatus.UNHEARD:
            node.address = address

    def remove(self, name: str) -> None:
        """Remove a node unless it is alive."""
        node = self.nodes_by_name.get(name)
        if node is not None and not node.is_alive:
            del self.nodes_by_name[name]

    def handle_heartbeat(self, now_s: float, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat that a node sent about itself.

        Returns
        -------
        bool
            False if the heartbeat was ignored: it belongs to an earlier incarnation, a later
            heartbeat arrived before it, or the node is dead in this incarnation.
        """
        self.add(heartbeat.name, heartbeat.address)
        node = self.nodes_by_name[heartbeat.name]
        order = (heartbeat.incarnation, heartbeat.sequence)
        if order <= (node.incarnation, node.sequence):
            return False
        if node.status is NodeStatus.DEAD and heartbeat.incarnation <= node.incarnation:
            return False
        node.incarnation, node.sequence = order
        node.address = heartbeat.address
        node.is_leaving = heartbeat.is_leaving
        node.heartbeat_at_s = now_s
        node.evidence_at_s = now_s
        node.status = NodeStatus.ALIVE
        return True

    def apply_evidence(self, now_s: float, evidence: PeerEvidence) -> None:
        """Apply the evidence of a peer that it received a heartbeat from a node."""
        node = self.nodes_by_name.get(evidence.name)
        if node is not None and node.is_alive and evidence.incarnation >= node.incarnation:
            node.evidence_at_s = max(node.evidence_at_s, now_s - evidence.age_s)

    def find_evidence(
        self, now_s: float, suspected: tuple[PeerEvidence, ...]
    ) -> tuple[PeerEvidence, ...]:
        """Return this node's evidence about the nodes that a peer suspects."""
        vouched = []
        for suspicion in suspected:
            node = self.nodes_by_name.get(suspicion.name)
            if node is not None and node.status is NodeStatus.ALIVE:
                age_s = now_s - node.heartbeat_at_s
                vouched.append(PeerEvidence(node.name, node.incarnation, age_s))
        return tuple(vouched)

    def suspected(self, now_s: float) -> tuple[PeerEvidence, ...]:
        """Return suspected and dead nodes with evidence at most `DEATH_REPORT_S` seconds old."""
        return tuple(
            PeerEvidence(node.name, node.incarnation, now_s - node.heartbeat_at_s)
            for node in self
            if node.status in (NodeStatus.SUSPECT, NodeStatus.DEAD)
            and now_s - node.evidence_at_s <= DEATH_REPORT_S
        )

    def tick(self, now_s: float) -> tuple[TrackedNode, ...]:
        """Update the status of every node for the present time.

        Returns
        -------
        tuple of TrackedNode
            The nodes whose status changed.
        """
        self._discount_own_pause(now_s)
        changed = []
        for node in self:
            status = self._compute_status(now_s, node)
            if status is not node.status:
                node.status = status
                changed.append(node)
        return tuple(changed)

    def _compute_status(self, now_s: float, node: TrackedNode) -> NodeStatus:
        if not node.is_alive:
            return node.status
        if now_s - node.evidence_at_s > self.timing.dead_after_s:
            return NodeStatus.DEAD
        if now_s - node.heartbeat_at_s > self.timing.suspect_after_s:
            return NodeStatus.SUSPECT
        return NodeStatus.ALIVE

    def _discount_own_pause(self, now_s: float) -> None:
        if self._ticked_at_s is not None:
            gap_s = now_s - self._ticked_at_s
            if gap_s > self.timing.own_pause_s:
                for node in self:
                    node.heartbeat_at_s = min(now_s, node.heartbeat_at_s + gap_s)
                    node.evidence_at_s = min(now_s, node.evidence_at_s + gap_s)
        self._ticked_at_s = now_s
