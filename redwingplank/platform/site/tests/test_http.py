"""Time-outs of calls whose answers take long to transfer, over the loopback interface."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from redwingplank.platform.site.http import NoAnswerError, Reply, SiteClient
from redwingplank.platform.tests.cancelled_call import cancel_beside_time_out

PARTS = 9
PART_INTERVAL_S = 0.25
TIMEOUT_S = 2.0
"""Shorter than the transfer of all parts, and much longer than the interval between two."""
LATE_S = 60.0

Writer = asyncio.StreamWriter


async def call(
    send_body: Callable[[Writer], Awaitable[None]],
    timeout_s: float,
    on_headers,
    status: int = 200,
    method: str = "GET",
) -> Reply:
    """Call a server that sends its headers at once and then the body as `send_body` does."""

    async def serve(reader: asyncio.StreamReader, writer: Writer) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, PARTS))
            await send_body(writer)
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = SiteClient()
    try:
        return await client.call(method, f"{host}:{port}", "/", timeout_s, on_headers=on_headers)
    finally:
        await client.close()
        server.close()


async def send_slowly(writer: Writer) -> None:
    for _ in range(PARTS):
        await asyncio.sleep(PART_INTERVAL_S)
        writer.write(b"x")


async def send_at_once(writer: Writer) -> None:
    writer.write(b"x" * PARTS)


async def send_half(writer: Writer) -> None:
    writer.write(b"x" * (PARTS // 2))
    await asyncio.sleep(30.0)


async def send_and_close(writer: Writer) -> None:
    writer.write(b"x" * (PARTS // 2))


class TestTransfer:
    # Guards against a time-out that cuts off an answer which a slow link is still transferring.
    def test_an_answer_that_makes_progress_is_received_whole(self):
        begun = []
        reply = asyncio.run(call(send_slowly, TIMEOUT_S, lambda: begun.append(True)))
        assert (reply.body, begun) == (b"x" * PARTS, [True])

    # Guards against a call that waits for ever for the rest of an answer.
    def test_an_answer_that_stops_has_failed(self):
        begun = []
        with pytest.raises(NoAnswerError):
            asyncio.run(call(send_half, 0.2, lambda: begun.append(True)))
        assert begun == [True]

    # Guards against calls of workers that take longer than their time-out.
    def test_without_interest_in_the_headers_the_whole_call_is_bounded(self):
        with pytest.raises(NoAnswerError):
            asyncio.run(call(send_slowly, 0.4, None))


class TestConnectionThatEnds:
    # Guards against the end of a process that is taken for a time-out, or the reverse.
    @pytest.mark.parametrize("method", ["GET", "POST"])
    def test_is_told_from_a_time_out(self, method):
        with pytest.raises(NoAnswerError) as broken:
            asyncio.run(call(send_and_close, TIMEOUT_S, None, method=method))
        with pytest.raises(NoAnswerError) as timed_out:
            asyncio.run(call(send_half, 0.2, None, method=method))
        assert broken.value.is_broken
        assert not timed_out.value.is_broken


class TestBeginOfAnAnswer:
    # Guards against a refusal that ends the wait for the answers to other copies of the call.
    @pytest.mark.parametrize("status", [400, 403, 429, 500, 503])
    def test_is_not_reported_for_a_refusal(self, status):
        begun = []
        asyncio.run(call(send_at_once, TIMEOUT_S, lambda: begun.append(True), status))
        assert begun == []

    # Guards against copies of a call whose result is on its way.
    @pytest.mark.parametrize("status", [200, 404, 410, 412])
    def test_is_reported_for_a_result(self, status):
        begun = []
        asyncio.run(call(send_at_once, TIMEOUT_S, lambda: begun.append(True), status))
        assert begun == [True]


async def call_and_cancel(delay_s: float) -> str:
    async def make_call(address: str, timeout_s: float) -> None:
        client = SiteClient()
        try:
            await client.call("POST", address, "/", timeout_s, b"{}")
        finally:
            await client.close()

    return await cancel_beside_time_out(make_call, delay_s)


class TestCancellation:
    # Guards against a task that goes on for ever after it was cancelled, as a paused process that
    # wakes finds the time-out of the task's call due as well.
    @pytest.mark.parametrize("delay_s", [-0.05, 0.0, 0.05])
    def test_beside_the_time_out_of_the_call_is_not_lost(self, delay_s):
        assert asyncio.run(call_and_cancel(delay_s)) == "cancelled"

    # Guards against a time-out that ends the task of its call.
    def test_is_not_what_a_time_out_looks_like(self):
        assert asyncio.run(call_and_cancel(LATE_S)) == "NoAnswerError"
