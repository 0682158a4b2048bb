"""Answers of services that do not end, on real connections."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from redwingplank.platform import OutcomeUnknownError
from redwingplank.platform.http.calls import open_session, request_bytes
from redwingplank.platform.site.http import NoAnswerError, SiteClient

PART = b"x" * (256 << 10)
SENT_AT_MOST_BYTES = 128 << 20
"""Four times the largest answer that is accepted."""
TIMEOUT_S = 30.0


@asynccontextmanager
async def serve_endless_answers(head):
    """Serve answers without an end; yield the address and the bytes that clients have taken."""
    taken = []

    async def serve(reader, writer):
        taken.append(0)
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head)
            while taken[-1] < SENT_AT_MOST_BYTES:
                writer.write(b"%x\r\n" % len(PART) + PART + b"\r\n")
                await writer.drain()
                taken[-1] += len(PART)
            writer.write(b"0\r\n\r\n")
        except ConnectionError:
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}", taken
    finally:
        server.close()


def run(call, head=b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"):
    """Make a call and return how many bytes of its answers were taken."""

    async def serve_and_call():
        async with serve_endless_answers(head) as (address, taken):
            await call(address)
        return sum(taken)

    return asyncio.run(serve_and_call())


class TestAnswerWithoutEnd:
    # Guards against a store, a worker or an advice service that fills the memory of a node.
    @pytest.mark.parametrize("on_headers", [None, lambda: None])
    def test_is_no_answer_to_a_call_of_the_platform(self, on_headers):
        async def call(address):
            client = SiteClient()
            try:
                with pytest.raises(NoAnswerError):
                    await client.call("POST", address, "/", TIMEOUT_S, b"{}", None, on_headers)
            finally:
                await client.close()

        assert run(call) < SENT_AT_MOST_BYTES

    # Guards against the same at the programs of our own interface.
    def test_leaves_the_outcome_of_a_call_unknown(self):
        async def call(address):
            async with open_session() as session:
                with pytest.raises(OutcomeUnknownError):
                    await request_bytes(session, "POST", f"http://{address}/", TIMEOUT_S, b"{}")

        assert run(call) < SENT_AT_MOST_BYTES
