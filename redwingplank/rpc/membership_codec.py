"""Translates the messages of membership and of declarations to Cap'n Proto and back."""

from dataclasses import dataclass
from typing import Any

from redwingplank.config.stored import LiveSet, decode_document, decode_head, encode
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
    "decode_live_message",
    "decode_report",
    "decode_summary",
    "decode_word",
    "encode_heartbeat",
    "encode_live_message",
    "encode_report",
    "encode_summary",
    "encode_word",
    "message_bytes",
]

MS_PER_S = 1000
MAX_AGE_MS = 2**32 - 1


@dataclass(frozen=True, slots=True)
class NodeReport:
    """What a node says of itself to an operator.

    Parameters
    ----------
    name, failure_domain : str
        The node.
    revision : int
        Of the declarations in force there.
    is_leaving, is_watching : bool
        Whether it stops, and whether its watch of the store is open.
    live_peers, live_upstreams : tuple of str
        Names, within its failure domain.
    cut_off_from : tuple of str
        Failure domains, ``"store"`` and ``"vm-list"``.
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
    """Return a heartbeat as a message."""
    message = _schema().Heartbeat.new_message(
        name=heartbeat.name,
        failureDomain=heartbeat.failure_domain,
        address=heartbeat.address,
        incarnation=heartbeat.incarnation,
        sequence=heartbeat.sequence,
        revision=heartbeat.revision,
        isLeaving=heartbeat.is_leaving,
        isSpeaker=heartbeat.is_speaker,
        isStoreCutOff=heartbeat.is_store_cut_off,
    )
    _fill(message, "suspected", heartbeat.suspected, _fill_evidence)
    _fill(message, "vouched", heartbeat.vouched, _fill_evidence)
    _fill(message, "words", heartbeat.words, _fill_word)
    _fill(message, "domains", heartbeat.domains, _fill_view)
    return message


def decode_heartbeat(message: Any) -> Heartbeat:
    """Return the heartbeat in a message."""
    return Heartbeat(
        name=message.name,
        failure_domain=message.failureDomain,
        address=message.address,
        incarnation=message.incarnation,
        sequence=message.sequence,
        is_leaving=message.isLeaving,
        revision=message.revision,
        suspected=tuple(_decode_evidence(each) for each in message.suspected),
        vouched=tuple(_decode_evidence(each) for each in message.vouched),
        words=tuple(decode_word(each) for each in message.words),
        domains=tuple(_decode_view(each) for each in message.domains),
        is_speaker=message.isSpeaker,
        is_store_cut_off=message.isStoreCutOff,
    )


def encode_summary(summary: DomainSummary) -> Any:
    """Return a summary as a message."""
    return _schema().DomainSummary.new_message(
        failureDomain=summary.failure_domain,
        address=summary.address,
        liveCount=summary.live_count,
        leavingCount=summary.leaving_count,
        revision=summary.revision,
    )


def decode_summary(message: Any) -> DomainSummary:
    """Return the summary in a message."""
    return DomainSummary(
        message.failureDomain,
        message.address,
        message.liveCount,
        message.leavingCount,
        message.revision,
    )


def encode_word(word: VmWord) -> Any:
    """Return a word as a message."""
    return _schema().VmWord.new_message(vm=word.vm, kind=str(word.kind))


def decode_word(message: Any) -> VmWord:
    """Return the word in a message."""
    return VmWord(message.vm, VmWordKind(str(message.kind)))


def encode_live_message(live: LiveSet) -> Any:
    """Return all declarations in force as a message."""
    message = _schema().LiveSet.new_message(head=encode(live.head))
    documents = message.init("documents", len(live.stored_by_key))
    for document, (key, stored) in zip(documents, live.stored_by_key.items(), strict=True):
        document.key = key
        document.value = encode(stored)
    return message


def decode_live_message(message: Any) -> LiveSet:
    """Return the declarations in a message."""
    stored_by_key = {
        document.key: decode_document(document.key, document.value)
        for document in message.documents
    }
    return LiveSet(decode_head(message.head), stored_by_key)


def encode_report(report: NodeReport) -> Any:
    """Return a node's report as a message."""
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
    """Return the node's report in a message."""
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
    """Return the bytes of a message on the wire, without those of the call around it."""
    if isinstance(message, Heartbeat):
        return len(encode_heartbeat(message).to_bytes())
    return len(encode_summary(message).to_bytes())


def _schema() -> Any:
    return load_schema("membership")


def _fill(message: Any, name: str, values: tuple[Any, ...], fill: Any) -> None:
    if not values:
        return
    for target, value in zip(message.init(name, len(values)), values, strict=True):
        fill(target, value)


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
    target.revision = view.revision
    target.ageMs = _to_ms(view.age_s)


def _decode_view(message: Any) -> DomainView:
    age_s = message.ageMs / MS_PER_S
    return DomainView(message.failureDomain, age_s, message.revision, message.address)


def _to_ms(age_s: float) -> int:
    return int(min(MAX_AGE_MS, max(0.0, age_s * MS_PER_S)))
