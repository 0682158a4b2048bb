"""Converts the messages of membership to and from Cap'n Proto."""

from dataclasses import dataclass
from typing import Any

from redwingplank.membership import (
    DomainSummary,
    DomainView,
    Heartbeat,
    PeerEvidence,
    VmWord,
    VmWordKind,
)
from redwingplank.rpc.schema import load_schema

__all__ = [
    "NodeReport",
    "decode_heartbeat",
    "decode_report",
    "decode_summary",
    "decode_word",
    "encode_heartbeat",
    "encode_report",
    "encode_summary",
    "encode_word",
    "message_bytes",
]

MS_PER_S = 1000
MAX_AGE_MS = 2**32 - 1  # the largest value of the field, a UInt32


@dataclass(frozen=True, slots=True)
class NodeReport:
    """The status that a node reports to an operator.

    Parameters
    ----------
    name, failure_domain : str
        Name of the node and its failure domain.
    revision : int
        Revision of the declarations in force at the node.
    is_leaving, is_watching : bool
        Whether the node is about to stop, and whether its watch of the store is open.
    live_peers, live_upstreams : tuple of str
        Names of the live nodes and upstreams of its failure domain.
    cut_off_from : tuple of str
        What the node cannot reach: failure domains, ``"store"`` and ``"vm-list"``.
    """

    name: str
    failure_domain: str
    revision: int
    is_leaving: bool = False
    is_watching: bool = False
    live_peers: tuple[str, ...] = ()
    live_upstreams: tuple[str, ...] = ()
    cut_off_from: tuple[str, ...] = ()


def encode_heartbeat(heartbeat: Heartbeat) -> Any:
    """Encode a heartbeat."""
    message = _schema().Heartbeat.new_message(
        name=heartbeat.name,
        failureDomain=heartbeat.failure_domain,
        address=heartbeat.address,
        incarnation=heartbeat.incarnation,
        sequence=heartbeat.sequence,
        isLeaving=heartbeat.is_leaving,
        isSpeaker=heartbeat.is_speaker,
        isStoreCutOff=heartbeat.is_store_cut_off,
    )
    _fill_list(message, "suspected", heartbeat.suspected, _fill_evidence)
    _fill_list(message, "vouched", heartbeat.vouched, _fill_evidence)
    _fill_list(message, "words", heartbeat.words, _fill_word)
    _fill_list(message, "domains", heartbeat.domains, _fill_view)
    return message


def decode_heartbeat(message: Any) -> Heartbeat:
    """Decode a heartbeat."""
    return Heartbeat(
        name=message.name,
        failure_domain=message.failureDomain,
        address=message.address,
        incarnation=message.incarnation,
        sequence=message.sequence,
        is_leaving=message.isLeaving,
        suspected=tuple(_decode_evidence(each) for each in message.suspected),
        vouched=tuple(_decode_evidence(each) for each in message.vouched),
        words=tuple(decode_word(each) for each in message.words),
        domains=tuple(_decode_view(each) for each in message.domains),
        is_speaker=message.isSpeaker,
        is_store_cut_off=message.isStoreCutOff,
    )


def encode_summary(summary: DomainSummary) -> Any:
    """Encode the summary of a failure domain."""
    return _schema().DomainSummary.new_message(
        failureDomain=summary.failure_domain,
        address=summary.address,
        liveCount=summary.live_count,
        leavingCount=summary.leaving_count,
    )


def decode_summary(message: Any) -> DomainSummary:
    """Decode the summary of a failure domain."""
    return DomainSummary(
        message.failureDomain,
        message.address,
        message.liveCount,
        message.leavingCount,
    )


def encode_word(word: VmWord) -> Any:
    """Encode the notice that a VM is leaving or dead."""
    return _schema().VmWord.new_message(vm=word.vm, kind=str(word.kind))


def decode_word(message: Any) -> VmWord:
    """Decode the notice that a VM is leaving or dead."""
    return VmWord(message.vm, VmWordKind(str(message.kind)))


def encode_report(report: NodeReport) -> Any:
    """Encode the status report of a node."""
    return _schema().NodeStatus.new_message(
        name=report.name,
        failureDomain=report.failure_domain,
        revision=report.revision,
        isLeaving=report.is_leaving,
        isWatching=report.is_watching,
        livePeers=list(report.live_peers),
        liveUpstreams=list(report.live_upstreams),
        cutOffFrom=list(report.cut_off_from),
    )


def decode_report(message: Any) -> NodeReport:
    """Decode the status report of a node."""
    return NodeReport(
        message.name,
        message.failureDomain,
        message.revision,
        message.isLeaving,
        message.isWatching,
        tuple(message.livePeers),
        tuple(message.liveUpstreams),
        tuple(message.cutOffFrom),
    )


def message_bytes(message: Heartbeat | DomainSummary) -> int:
    """Return the encoded size of a message in bytes, without the call that carries it."""
    if isinstance(message, Heartbeat):
        return len(encode_heartbeat(message).to_bytes())
    return len(encode_summary(message).to_bytes())


def _schema() -> Any:
    return load_schema("membership")


def _fill_list(message: Any, name: str, values: tuple[Any, ...], fill_item: Any) -> None:
    if not values:
        return
    for target, value in zip(message.init(name, len(values)), values, strict=True):
        fill_item(target, value)


def _fill_evidence(target: Any, evidence: PeerEvidence) -> None:
    target.name = evidence.name
    target.incarnation = evidence.incarnation
    target.ageMs = _to_ms(evidence.age_s)


def _decode_evidence(message: Any) -> PeerEvidence:
    return PeerEvidence(message.name, message.incarnation, message.ageMs / MS_PER_S)


def _fill_word(target: Any, word: VmWord) -> None:
    target.vm = word.vm
    target.kind = str(word.kind)


def _fill_view(target: Any, view: DomainView) -> None:
    target.failureDomain = view.failure_domain
    target.address = view.address
    target.ageMs = _to_ms(view.age_s)


def _decode_view(message: Any) -> DomainView:
    age_s = message.ageMs / MS_PER_S
    return DomainView(message.failureDomain, age_s, message.address)


def _to_ms(age_s: float) -> int:
    return int(min(MAX_AGE_MS, max(0.0, age_s * MS_PER_S)))
