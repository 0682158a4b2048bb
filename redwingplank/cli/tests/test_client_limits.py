"""Clients that send more than any client may, against the programs in processes of their own.

Each test checks that the program lives, stays within the memory and the descriptors of its
machine, and answers an ordinary request afterwards.
"""

import asyncio
import contextlib
import struct

import capnp
import pytest

from redwingplank.cell.metrics import METRICS_PATH
from redwingplank.cli.tests.crowd_fixture import (
    ANSWER_S,
    BYTES_PER_CLIENT,
    DESCRIPTORS,
    HOST,
    MEMORY_MB,
    Crowd,
    Stream,
    connect,
    request,
    run_entry,
    run_node,
    run_scheduler,
)
from redwingplank.platform.site.settings import METRICS_PORT
from redwingplank.rpc import PeerConnections, PeerUnreachableError

JOB = b'{"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":100,"estimate_ms":100}]}'
JOB_PATH = "/proof/5c0e7a21d94b36f8"
HEAD = f"GET {JOB_PATH} HTTP/1.1\r\nHost: {HOST}\r\n".encode()
CHUNKED = f"POST {JOB_PATH} HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
POST = f"POST {JOB_PATH} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: %d\r\n\r\n".encode()

ENDLESS = {
    "header-lines": Stream(HEAD, b"a: b\r\n"),
    "one-header": Stream(HEAD + b"a: ", b"a"),
    "path": Stream(b"GET /", b"a"),
    "empty-lines": Stream(b"", b"\r\n"),
    "trailers": Stream(CHUNKED + b"1\r\n{\r\n0\r\n", b"a: b\r\n"),
    "one-trailer": Stream(CHUNKED + b"1\r\n{\r\n0\r\na: ", b"a"),
    "chunk-extension": Stream(CHUNKED + b"1;", b"a"),
}
"""Parts of a request that do not end."""
AHEAD = {
    "without-host": Stream(b"", b"GET / HTTP/1.1\r\n\r\n"),
    "states": Stream(b"", HEAD + b"\r\n"),
    "submissions": Stream(b"", POST % len(JOB) + JOB),
}
"""Requests whose answers are not read."""
CONNECTIONS = 2 * DESCRIPTORS
MESSAGE = Stream(struct.pack("<II", 0, 2 * BYTES_PER_CLIENT // 8), b"\0")
"""The first half of a message of one segment between processes."""


def assert_within_bounds(program):
    assert program.is_alive
    assert program.peak_memory_mb() < MEMORY_MB
    assert program.descriptors() < DESCRIPTORS


def press(program, stream, address=""):
    """Let a crowd press a program, and return the crowd."""
    crowd = Crowd(program, stream, address)
    try:
        crowd.press()
        assert_within_bounds(program)
        return crowd
    finally:
        crowd.close()


@pytest.fixture
def node(tmp_path):
    with run_node(tmp_path) as program:
        yield program


@pytest.fixture
def entry(tmp_path):
    with run_entry(tmp_path) as program:
        yield program


@pytest.fixture
def scheduler(tmp_path):
    with run_scheduler(tmp_path) as program:
        yield program


def open_connections(address):
    """Open idle connections, as many of `CONNECTIONS` as are accepted."""
    opened = []
    for _ in range(CONNECTIONS):
        with contextlib.suppress(OSError):
            opened.append(connect(address))
    return opened


def serves_peers(program):
    """Return whether a program answers a call of another process that is not outside the limits."""

    async def call():
        peers = PeerConnections()
        try:
            with pytest.raises(PeerUnreachableError, match="is not offered here"):
                await peers.call(program.peers, "unknown", None, None, ANSWER_S)
        finally:
            peers.close()
        return True

    return asyncio.run(capnp.run(call()))


class TestNode:
    # Guards against a node that runs out of memory on a request without an end.
    @pytest.mark.parametrize("name", ENDLESS)
    def test_cuts_off_what_does_not_end(self, node, name):
        crowd = press(node, ENDLESS[name])
        assert crowd.cut_off == len(crowd.clients)
        assert request(node.address, "POST", JOB_PATH, JOB) == 200

    # Guards against a node that keeps every request of a client that reads no answer.
    @pytest.mark.parametrize("name", AHEAD)
    def test_holds_back_who_reads_no_answer(self, node, name):
        press(node, AHEAD[name])
        assert request(node.address, "POST", JOB_PATH, JOB) == 200

    # Guards against large bodies that each are within the limit.
    def test_keeps_only_as_many_bodies_as_it_has_memory_for(self, node):
        press(node, Stream(POST % BYTES_PER_CLIENT, b"x"))
        assert request(node.address, "POST", JOB_PATH, JOB) == 200

    # Guards against a node whose descriptors are used up by connections without a request.
    def test_keeps_descriptors_free_for_those_who_send(self, node):
        opened = open_connections(node.address)
        assert request(node.address, "POST", JOB_PATH, JOB) == 200
        assert_within_bounds(node)
        for client in opened:
            client.close()

    # Guards against limits that ordinary clients meet.
    def test_serves_an_ordinary_client_as_before(self, node):
        path = "/proof/" + "b" * 16
        assert request(node.address, "POST", path, JOB) == 200
        assert request(node.address, "GET", path) == 200
        assert request(node.address, "GET", "/proof/") == 200
        assert request(node.address, "DELETE", path) == 200
        assert request(node.address, "GET", "/unknown/x") == 404


class TestMetrics:
    # Guards against a listener for operators that has no limits of its own.
    @pytest.mark.parametrize("name", ["header-lines", "empty-lines"])
    def test_cuts_off_what_does_not_end(self, node, name):
        address = f"{node.address.rpartition(':')[0]}:{METRICS_PORT}"
        crowd = press(node, ENDLESS[name], address)
        assert crowd.cut_off == len(crowd.clients)
        assert request(address, "GET", METRICS_PATH) == 200
        assert request(node.address, "POST", JOB_PATH, JOB) == 200


class TestEntry:
    # Guards against an entry that runs out of memory on a request without an end.
    @pytest.mark.parametrize("name", ENDLESS)
    def test_cuts_off_what_does_not_end(self, entry, name):
        crowd = press(entry, ENDLESS[name])
        assert crowd.cut_off == len(crowd.clients)
        assert request(entry.address, "GET", "/") < 500

    # Guards against an entry that keeps every request of a client that reads no answer.
    @pytest.mark.parametrize("name", AHEAD)
    def test_holds_back_who_reads_no_answer(self, entry, name):
        press(entry, AHEAD[name])
        assert request(entry.address, "GET", "/") < 500

    # Guards against an entry whose descriptors are used up by connections without a request.
    def test_keeps_descriptors_free_for_those_who_send(self, entry):
        opened = open_connections(entry.address)
        assert request(entry.address, "GET", "/") < 500
        assert_within_bounds(entry)
        for client in opened:
            client.close()


class TestPeers:
    """Pattern: clients that are no process of the system reach the listener for those."""

    # Guards against messages that are much longer than any between processes.
    def test_a_node_takes_no_long_messages(self, node):
        press(node, MESSAGE, node.peers)
        assert serves_peers(node)
        assert request(node.address, "POST", JOB_PATH, JOB) == 200

    def test_a_scheduler_takes_no_long_messages(self, scheduler):
        press(scheduler, MESSAGE, scheduler.peers)
        assert serves_peers(scheduler)

    # Guards against a program whose descriptors are used up by connections without a call.
    def test_a_node_keeps_descriptors_free_for_those_who_call(self, node):
        opened = open_connections(node.peers)
        assert serves_peers(node)
        assert request(node.address, "POST", JOB_PATH, JOB) == 200
        assert_within_bounds(node)
        for client in opened:
            client.close()

    def test_a_scheduler_keeps_descriptors_free_for_those_who_call(self, scheduler):
        opened = open_connections(scheduler.peers)
        assert serves_peers(scheduler)
        assert_within_bounds(scheduler)
        for client in opened:
            client.close()
