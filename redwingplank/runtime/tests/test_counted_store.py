"""Calls of the store over a link that is slow, on real sockets."""

import asyncio
import json
import socket
from base64 import b64encode
from contextlib import asynccontextmanager, contextmanager

import pytest

from redwingplank.platform import OutcomeUnknownError, Put, UnavailableError
from redwingplank.platform.http import HttpKeyValueStore, calls, open_session
from redwingplank.runtime.counted_store import CountedStore
from redwingplank.runtime.counters import ProcessCounters

TIMEOUT_S = 1.0
PARTS = 8
PART_INTERVAL_S = 0.2
"""All parts together take longer than the time-out, and each much less."""
ENTRY_COUNT = 40
LARGE_VALUE_BYTES = 600_000
HUGE_VALUE_BYTES = 16_000_000
"""More than the buffers of the kernel take."""


def make_range_answer() -> bytes:
    key, value = b64encode(b"a").decode(), b64encode(b"v" * 1000).decode()
    entries = [{"key": key, "value": value}] * ENTRY_COUNT
    return json.dumps({"header": {"revision": "7"}, "kvs": entries}).encode()


async def send_in_parts(writer, answer):
    size = -(-len(answer) // PARTS)
    for begin in range(0, len(answer), size):
        await asyncio.sleep(PART_INTERVAL_S)
        writer.write(answer[begin : begin + size])


async def send_half(writer, answer):
    writer.write(answer[: len(answer) // 2])
    await asyncio.sleep(30.0)


async def send_at_once(writer, answer):
    writer.write(answer)


@asynccontextmanager
async def store_behind_link(answer, send_body, upload_s=0.0):
    """Yield a store's client; its answer begins `upload_s` seconds after a request was read."""

    async def serve(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(head.lower().partition(b"content-length:")[2].split()[0])
                await reader.readexactly(size)
                await asyncio.sleep(upload_s)
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(answer))
                await send_body(writer, answer)
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    counters = ProcessCounters()
    async with open_session() as session:
        client = HttpKeyValueStore(session, f"http://{host}:{port}", TIMEOUT_S)
        yield CountedStore(client, counters), counters
    server.close()


@contextmanager
def silent_listener():
    """Yield the address of a socket that has room for one connection and reads nothing."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        host, port = listener.getsockname()
        yield f"{host}:{port}", listener


class TestSlowLink:
    # Guards against a prefix that never arrives because its transfer takes longer than a time-out.
    def test_a_range_that_makes_progress_is_received_whole(self):
        async def scenario():
            async with store_behind_link(make_range_answer(), send_in_parts) as (store, _):
                result = await store.range("a")
                assert (len(result.entries), result.revision) == (ENTRY_COUNT, 7)

        asyncio.run(scenario())

    # Guards against a call that waits for ever for the rest of an answer.
    def test_a_range_that_stops_has_no_known_outcome(self):
        async def scenario():
            async with store_behind_link(make_range_answer(), send_half) as (store, _):
                async with asyncio.timeout(10 * TIMEOUT_S):
                    with pytest.raises(OutcomeUnknownError):
                        await store.range("a")

        asyncio.run(scenario())

    # Guards against a call that waits for ever for an answer to begin.
    def test_an_answer_that_does_not_begin_has_no_known_outcome(self):
        async def scenario():
            async with store_behind_link(b"{}", send_at_once, upload_s=30.0) as (store, _):
                async with asyncio.timeout(10 * TIMEOUT_S):
                    with pytest.raises(OutcomeUnknownError):
                        await store.keep_alive(1)

        asyncio.run(scenario())

    # Guards against a large write that is given up while it is still on its way to the store.
    def test_a_large_write_has_time_for_its_upload(self):
        async def scenario():
            answer = b'{"header": {"revision": "8"}, "succeeded": true}'
            upload_s = 2 * TIMEOUT_S
            async with store_behind_link(answer, send_at_once, upload_s) as (store, _):
                put = Put("a", b"v" * LARGE_VALUE_BYTES)
                assert (await store.transact((), (put,))).succeeded

        asyncio.run(scenario())

    # Guards against an upload that waits for ever for a store which reads no more.
    def test_an_upload_that_stops_has_no_known_outcome(self, monkeypatch):
        monkeypatch.setattr(calls, "SLOW_LINK_BYTES_PER_S", HUGE_VALUE_BYTES)

        async def scenario():
            with silent_listener() as (address, _):
                async with open_session() as session:
                    store = HttpKeyValueStore(session, f"http://{address}", TIMEOUT_S)
                    async with asyncio.timeout(20 * TIMEOUT_S):
                        with pytest.raises(OutcomeUnknownError):
                            await store.transact((), (Put("a", b"v" * HUGE_VALUE_BYTES),))

        asyncio.run(scenario())

    # Guards against a call that was never sent and is nevertheless said to be in doubt.
    def test_a_connect_that_times_out_had_no_effect(self):
        async def scenario():
            with silent_listener() as (address, listener), socket.socket() as first:
                first.connect(listener.getsockname())
                async with open_session() as session:
                    store = HttpKeyValueStore(session, f"http://{address}", TIMEOUT_S)
                    with pytest.raises(UnavailableError):
                        await store.transact((), (Put("a", b"v"),))

        asyncio.run(scenario())


class TestCounters:
    def test_each_call_is_counted_by_its_method(self):
        async def scenario():
            async with store_behind_link(b"{}", send_at_once) as (store, counters):
                await store.range("a")
                await store.revoke_lease(1)
                assert counters.read() == {"store.range": 1, "store.revoke_lease": 1}

        asyncio.run(scenario())
