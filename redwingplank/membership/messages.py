"""What nodes tell each other of themselves, of their peers and of upstreams."""

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
    """What is said of a VM by a stronger signal than the platform's list."""

    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class VmWord:
    """That a VM is leaving or dead; final, as names of VMs are never used again."""

    vm: str
    kind: VmWordKind = VmWordKind.LEAVING


@dataclass(frozen=True, slots=True)
class PeerEvidence:
    """Evidence about a third node.

    Parameters
    ----------
    name : str
        The node.
    incarnation : int
        The incarnation that the evidence is about.
    age_s : float
        Seconds since it was heard.
    """

    name: str
    incarnation: int
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class DomainView:
    """How long ago a failure domain was heard of, and the newest revision there."""

    failure_domain: str
    age_s: float
    revision: int
    address: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A node's word, sent to each live node of its failure domain and as the answer.

    Parameters
    ----------
    name, failure_domain, address : str
        The sender.
    incarnation : int
        Raised by a node that learns that it was suspected.
    sequence : int
        Grows with each heartbeat of an incarnation.
    is_leaving : bool
        The sender's own word that it stops.
    revision : int
        Of the declarations in force at the sender.
    suspected : tuple of PeerEvidence
        Nodes that the sender has not heard for a while.
    vouched : tuple of PeerEvidence
        Nodes that the receiver suspected and that the sender heard.
    words : tuple of VmWord
        What the sender learnt of VMs lately.
    domains : tuple of DomainView
        Of the other failure domains; from the speaker only.
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
    revision: int = 0
    suspected: tuple[PeerEvidence, ...] = ()
    vouched: tuple[PeerEvidence, ...] = ()
    words: tuple[VmWord, ...] = ()
    domains: tuple[DomainView, ...] = ()
    is_speaker: bool = False
    is_store_cut_off: bool = False


@dataclass(frozen=True, slots=True)
class DomainSummary:
    """A failure domain's state in fixed size, exchanged between the speakers.

    Parameters
    ----------
    failure_domain : str
        Whose state it is.
    address : str
        Of the node that speaks for it.
    live_count, leaving_count : int
        Nodes of the system there.
    revision : int
        Newest revision in force there.
    """

    failure_domain: str
    address: str
    live_count: int
    leaving_count: int
    revision: int


@dataclass(frozen=True, slots=True)
class Peer:
    """A node as another node sees it."""

    name: str
    failure_domain: str
    address: str
    is_leaving: bool = False
    revision: int = 0
