"""Messages in which nodes report their own state and that of peers, domains and VMs."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "DomainSummary",
    "DomainView",
    "Heartbeat",
    "Peer",
    "PeerEvidence",
    "VmWord",
    "VmWordKind",
]


class VmWordKind(StrEnum):
    """State of a VM according to a source that overrules the platform's VM list."""

    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class VmWord:
    """A report that a VM is leaving or dead; final, as the name of a VM is never used again."""

    vm: str
    kind: VmWordKind = VmWordKind.LEAVING


@dataclass(frozen=True, slots=True)
class PeerEvidence:
    """When the sender of a message last received a heartbeat from a third node.

    Parameters
    ----------
    name : str
        Name of the third node.
    incarnation : int
        Incarnation of the third node that the evidence is about.
    age_s : float
        Seconds since the sender received its last heartbeat.
    """

    name: str
    incarnation: int
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class DomainView:
    """The speaker's report about another failure domain.

    Parameters
    ----------
    failure_domain : str
        The failure domain that the report is about.
    age_s : float
        Seconds since the last news of it.
    address : str
        Address of its speaker; empty if unknown.
    """

    failure_domain: str
    age_s: float
    address: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The state of a node, sent to each live node of its failure domain and returned as the answer.

    Parameters
    ----------
    name, failure_domain, address : str
        Identity of the sender.
    incarnation : int
        Incarnation of the sender, which raises it on learning that it is suspected.
    sequence : int
        Number of the heartbeat, which grows within an incarnation.
    is_leaving : bool
        Whether the sender is about to stop.
    suspected : tuple of PeerEvidence
        Nodes that the sender suspects or considers dead.
    vouched : tuple of PeerEvidence
        Evidence about nodes that the receiver suspects and the sender does not.
    words : tuple of VmWord
        VMs that the sender recently learnt to be leaving or dead.
    domains : tuple of DomainView
        State of the other failure domains; sent by the speaker only.
    is_speaker : bool
        Whether the sender speaks for its failure domain.
    is_store_cut_off : bool
        Whether the sender is cut off from the platform's store.
    """

    name: str
    failure_domain: str
    address: str
    incarnation: int
    sequence: int
    is_leaving: bool = False
    suspected: tuple[PeerEvidence, ...] = ()
    vouched: tuple[PeerEvidence, ...] = ()
    words: tuple[VmWord, ...] = ()
    domains: tuple[DomainView, ...] = ()
    is_speaker: bool = False
    is_store_cut_off: bool = False


@dataclass(frozen=True, slots=True)
class DomainSummary:
    """The state of a failure domain in a fixed size, exchanged between the speakers.

    Parameters
    ----------
    failure_domain : str
        The failure domain that is described.
    address : str
        Address of its speaker.
    live_count, leaving_count : int
        Number of its nodes that are live and that are leaving.
    """

    failure_domain: str
    address: str
    live_count: int
    leaving_count: int


@dataclass(frozen=True, slots=True)
class Peer:
    """A node as a peer knows it from its heartbeats."""

    name: str
    failure_domain: str
    address: str
    is_leaving: bool = False
