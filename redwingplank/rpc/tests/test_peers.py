import asyncio
from typing import Any

import capnp
import pytest

from redwingplank.rpc import (
    CallFailedError,
    CallOutcomeUnknownError,
    PeerConnections,
    PeerUnreachableError,
    load_schema,
    serve_node,
)

ADDRESS = "127.0.0.1:17101"


NodeServerBase: Any = load_schema("node").Node.Server


class _Node(NodeServerBase):
    """A test service; it reuses the schema of `Node`, since any interface would do."""

    async def open(self, version, service, _context, **_):
        if service == "broken":
            raise ValueError("give another name")
        if service == "stuck":
            await asyncio.Event().wait()
        return version + 1, self


def run(coroutine):
    return asyncio.run(capnp.run(coroutine))


async def call(peers, name, timeout_s=2.0, service="test", address=ADDRESS):
    interface = load_schema("node").Node
    return await peers.call(address, service, interface, lambda node: node.open(7, name), timeout_s)


class TestPeerConnections:
    def test_calls_and_reports_the_three_kinds_of_failure(self):
        async def scenario():
            server = await serve_node(ADDRESS, {"test": _Node()})
            peers = PeerConnections()
            assert (await call(peers, "fine")).version == 8
            with pytest.raises(CallFailedError, match="give another name"):
                await call(peers, "broken")
            with pytest.raises(CallOutcomeUnknownError):
                await call(peers, "stuck", timeout_s=0.05)
            with pytest.raises(PeerUnreachableError, match="not offered"):
                await call(peers, "fine", service="absent")
            await server.stop()
            with pytest.raises((PeerUnreachableError, CallOutcomeUnknownError)):
                await call(peers, "fine")
            peers.close()

        run(scenario())

    def test_connects_again_after_the_peer_was_replaced(self):
        async def scenario():
            peers = PeerConnections()
            server = await serve_node(ADDRESS, {"test": _Node()})
            assert (await call(peers, "fine")).version == 8
            await server.stop()
            with pytest.raises((PeerUnreachableError, CallOutcomeUnknownError)):
                await call(peers, "fine")
            server = await serve_node(ADDRESS, {"test": _Node()})
            assert (await call(peers, "fine")).version == 8
            peers.close()
            await server.stop()

        run(scenario())

    def test_a_message_version_that_is_not_spoken_is_told_so(self, monkeypatch):
        async def scenario():
            server = await serve_node(ADDRESS, {"test": _Node()})
            peers = PeerConnections()
            monkeypatch.setattr("redwingplank.rpc.peers.MESSAGE_VERSION", 99)
            with pytest.raises(PeerUnreachableError, match="version 99 is not spoken here, use 1"):
                await call(peers, "fine")
            peers.close()
            await server.stop()

        run(scenario())
