"""Fuzzing of the RPC socket: a node serves its peers after receiving arbitrary bytes."""

import asyncio
import contextlib

import capnp
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from redwingplank.rpc import PeerConnections, PeerUnreachableError, load_schema, serve_node

HOST, PORT = "127.0.7.1", 17990
ADDRESS = f"{HOST}:{PORT}"
TIMEOUT_S = 10.0
BOUNDED = settings(max_examples=40, deadline=None, derandomize=True, database=None)
WORDS = st.lists(st.integers(0, 255), min_size=8, max_size=64).map(bytes)
ONE_SEGMENT = bytes([0, 0, 0, 0])


async def send_bytes(chunks: list[bytes]) -> None:
    """Send bytes over one connection and close it."""
    _, writer = await asyncio.open_connection(HOST, PORT)
    with contextlib.suppress(ConnectionError):
        for chunk in chunks:
            writer.write(chunk)
            await writer.drain()
        writer.close()
        await writer.wait_closed()


async def check_serving() -> None:
    """Check that the node still answers a peer."""
    peers = PeerConnections()
    try:
        with pytest.raises(PeerUnreachableError, match="not offered"):
            node = load_schema("node").Node
            await peers.call(ADDRESS, "nothing", node, lambda client: client.open(1, ""), TIMEOUT_S)
    finally:
        peers.close()


def check_survives(chunks: list[bytes]) -> None:
    """Send bytes to a new node, then check that it still answers a peer."""

    async def scenario() -> None:
        server = await serve_node(ADDRESS, {})
        try:
            await send_bytes(chunks)
            await check_serving()
        finally:
            await server.stop()

    asyncio.run(capnp.run(scenario()))


class TestRpcBytes:
    @BOUNDED
    @given(st.lists(st.binary(max_size=64), max_size=4))
    def test_any_bytes(self, chunks: list[bytes]) -> None:
        check_survives(chunks)

    @BOUNDED
    @given(WORDS)
    def test_any_words_in_a_well_framed_segment(self, content: bytes) -> None:
        padded = content + bytes(-len(content) % 8)
        check_survives([ONE_SEGMENT + (len(padded) // 8).to_bytes(4, "little") + padded])

    @BOUNDED
    @given(st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1))
    def test_any_announced_size(self, segments: int, words: int) -> None:
        check_survives([segments.to_bytes(4, "little") + words.to_bytes(4, "little")])
