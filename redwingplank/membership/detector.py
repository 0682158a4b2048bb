"""Failure detector of the nodes in one failure domain: suspicion before death.

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


TELL_DEATH_S = 15.0


class NodeStatus(Enum):
    """What a detector holds of a node."""

    UNHEARD = "unheard"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class DetectorTiming:
    """Times of the failure detector.

    Parameters
    ----------
    suspect_after_s : float
        Silence after which a node is suspected and the others are asked.
    dead_after_s : float
        Time without any evidence after which a node is dead.
    own_pause_s : float
        A gap between two ticks from which on this node takes itself for paused: the time that it
        did not listen does not count as silence of others.
    """

    suspect_after_s: float = 2.5
    dead_after_s: float = 4.0
    own_pause_s: float = 0.75


@dataclass(slots=True)
class TrackedNode:
    """One row of the detector's table.

    Parameters
    ----------
    name, address : str
        The node.
    incarnation, sequence : int
        Of its last heartbeat.
    heard_at_s : float
        When it was last heard directly.
    evidence_at_s : float
        When it was last heard by anyone.
    """

    name: str
    address: str
    status: NodeStatus = NodeStatus.UNHEARD
    incarnation: int = 0
    sequence: int = 0
    heard_at_s: float = float("-inf")
    evidence_at_s: float = float("-inf")
    is_leaving: bool = False
    revision: int = 0

    @property
    def is_alive(self) -> bool:
        """Whether the node counts as alive; a suspected one still does."""
        return self.status in (NodeStatus.ALIVE, NodeStatus.SUSPECT)


class FailureDetector:
    """Follows the other nodes of one failure domain.

    Parameters
    ----------
    timing : DetectorTiming
        Times.
    """

    def __init__(self, timing: DetectorTiming | None = None) -> None:
        self.timing = timing or DetectorTiming()
        self.nodes_by_name: dict[str, TrackedNode] = {}
        self._ticked_at_s: float | None = None

    def __iter__(self) -> Iterator[TrackedNode]:
        return iter(self.nodes_by_name.values())

    def add(self, name: str, address: str) -> None:
        """Begin to follow a node that the settings or the list name; an address may change."""
        node = self.nodes_by_name.get(name)
        if node is None:
            self.nodes_by_name[name] = TrackedNode(name, address)
        elif node.status is NodeStatus.UNHEARD:
            node.address = address

    def remove(self, name: str) -> None:
        """Forget a node that is not alive."""
        node = self.nodes_by_name.get(name)
        if node is not None and not node.is_alive:
            del self.nodes_by_name[name]

    def hear(self, now_s: float, heartbeat: Heartbeat) -> bool:
        """Take a node's own word.

        Returns
        -------
        bool
            False for an old one: of an earlier incarnation, overtaken by a later one, or of a
            node that is dead in this incarnation.
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
        node.revision = heartbeat.revision
        node.heard_at_s = now_s
        node.evidence_at_s = now_s
        node.status = NodeStatus.ALIVE
        return True

    def take_evidence(self, now_s: float, evidence: PeerEvidence) -> None:
        """Take another node's word that it heard a node."""
        node = self.nodes_by_name.get(evidence.name)
        if node is not None and node.is_alive and evidence.incarnation >= node.incarnation:
            node.evidence_at_s = max(node.evidence_at_s, now_s - evidence.age_s)

    def vouch(self, now_s: float, suspected: tuple[PeerEvidence, ...]) -> tuple[PeerEvidence, ...]:
        """Return own evidence about nodes that another node suspects."""
        vouched = []
        for suspicion in suspected:
            node = self.nodes_by_name.get(suspicion.name)
            if node is not None and node.status is NodeStatus.ALIVE:
                age_s = now_s - node.heard_at_s
                vouched.append(PeerEvidence(node.name, node.incarnation, age_s))
        return tuple(vouched)

    def suspected(self, now_s: float) -> tuple[PeerEvidence, ...]:
        """Return the nodes to ask others about, and those that died lately."""
        return tuple(
            PeerEvidence(node.name, node.incarnation, now_s - node.heard_at_s)
            for node in self
            if node.status in (NodeStatus.SUSPECT, NodeStatus.DEAD)
            and now_s - node.evidence_at_s <= TELL_DEATH_S
        )

    def tick(self, now_s: float) -> tuple[TrackedNode, ...]:
        """Let time pass.

        Returns
        -------
        tuple of TrackedNode
            Nodes whose status changed.
        """
        self._excuse_own_pause(now_s)
        changed = []
        for node in self:
            status = self._judge(now_s, node)
            if status is not node.status:
                node.status = status
                changed.append(node)
        return tuple(changed)

    def _judge(self, now_s: float, node: TrackedNode) -> NodeStatus:
        if not node.is_alive:
            return node.status
        if now_s - node.evidence_at_s > self.timing.dead_after_s:
            return NodeStatus.DEAD
        if now_s - node.heard_at_s > self.timing.suspect_after_s:
            return NodeStatus.SUSPECT
        return NodeStatus.ALIVE

    def _excuse_own_pause(self, now_s: float) -> None:
        if self._ticked_at_s is not None:
            gap_s = now_s - self._ticked_at_s
            if gap_s > self.timing.own_pause_s:
                for node in self:
                    node.heard_at_s = min(now_s, node.heard_at_s + gap_s)
                    node.evidence_at_s = min(now_s, node.evidence_at_s + gap_s)
        self._ticked_at_s = now_s
