"""Typed client and server of the membership service."""

from abc import ABC, abstractmethod
from typing import Any

from redwingplank.membership import DomainSummary, Heartbeat, VmWord
from redwingplank.rpc.membership_codec import (
    NodeReport,
    decode_heartbeat,
    decode_report,
    decode_summary,
    decode_word,
    encode_heartbeat,
    encode_report,
    encode_summary,
    encode_word,
)
from redwingplank.rpc.peers import PeerConnections
from redwingplank.rpc.schema import load_schema

__all__ = [
    "MEMBERSHIP_SERVICE",
    "MembershipCalls",
    "MembershipHandler",
    "make_membership_server",
]

MEMBERSHIP_SERVICE = "membership"

_Server: Any = load_schema("membership").Membership.Server


class MembershipCalls:
    """Typed client of the membership service of other nodes.

    Parameters
    ----------
    peers : PeerConnections
        Connections to the nodes.

    Notes
    -----
    Every call raises `redwingplank.rpc.RpcError` when it fails.
    """

    def __init__(self, peers: PeerConnections) -> None:
        self._peers = peers

    async def heartbeat(self, address: str, heartbeat: Heartbeat, timeout_s: float) -> Heartbeat:
        """Send a heartbeat and return the heartbeat of the peer."""
        message = encode_heartbeat(heartbeat)
        response = await self._call(
            address, lambda service: service.heartbeat(heartbeat=message), timeout_s
        )
        return decode_heartbeat(response.answer)

    async def summary(
        self, address: str, summary: DomainSummary, timeout_s: float
    ) -> DomainSummary:
        """Send the summary of this failure domain and return that of the peer's domain."""
        message = encode_summary(summary)
        response = await self._call(
            address, lambda service: service.summary(summary=message), timeout_s
        )
        return decode_summary(response.answer)

    async def status(self, address: str, timeout_s: float) -> NodeReport:
        """Return the status report of a node."""
        response = await self._call(address, lambda service: service.status(), timeout_s)
        return decode_report(response.status)

    async def mark(self, address: str, word: VmWord, timeout_s: float) -> None:
        """Notify a node, and through it its failure domain, that a VM is leaving or dead."""
        message = encode_word(word)
        await self._call(address, lambda service: service.mark(word=message), timeout_s)

    async def _call(self, address: str, method: Any, timeout_s: float) -> Any:
        interface = load_schema("membership").Membership
        return await self._peers.call(address, MEMBERSHIP_SERVICE, interface, method, timeout_s)


class MembershipHandler(ABC):
    """Handles the calls that a membership server receives."""

    @abstractmethod
    def on_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Handle a heartbeat and return the heartbeat of this node."""

    @abstractmethod
    def on_summary(self, summary: DomainSummary) -> DomainSummary:
        """Handle the summary of another failure domain and return that of this one."""

    @abstractmethod
    def report(self) -> NodeReport:
        """Return the status report of this node."""

    @abstractmethod
    def on_word(self, word: VmWord) -> None:
        """Handle the notice that a VM is leaving or dead."""


def make_membership_server(handler: MembershipHandler) -> Any:
    """Return the capnp server to offer under the name `MEMBERSHIP_SERVICE`."""
    return _MembershipServer(handler)


class _MembershipServer(_Server):
    def __init__(self, handler: MembershipHandler) -> None:
        self._handler = handler

    async def heartbeat(self, heartbeat: Any, _context: Any, **_: Any) -> Any:
        answer = self._handler.on_heartbeat(decode_heartbeat(heartbeat))
        return encode_heartbeat(answer)

    async def summary(self, summary: Any, _context: Any, **_: Any) -> Any:
        answer = self._handler.on_summary(decode_summary(summary))
        return encode_summary(answer)

    async def status(self, _context: Any, **_: Any) -> Any:
        return encode_report(self._handler.report())

    async def mark(self, word: Any, _context: Any, **_: Any) -> None:
        self._handler.on_word(decode_word(word))
