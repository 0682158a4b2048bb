"""Answers of upstreams that take long to transfer, on real sockets."""

import asyncio

from redwingplank.platform import UpstreamRequest
from redwingplank.platform.http import HttpUpstreamClient, open_session

TIMEOUT_S = 1.0
PARTS = 8
PART_INTERVAL_S = 0.2
"""All parts together take longer than the time-out."""


class TestTransfer:
    # Guards against a ready answer that is cut off while it is delivered.
    def test_an_answer_that_has_begun_is_streamed_to_its_end(self):
        async def scenario():
            async def serve(reader, writer):
                try:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % PARTS)
                    for _ in range(PARTS):
                        await asyncio.sleep(PART_INTERVAL_S)
                        writer.write(b"x")
                finally:
                    writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            request = UpstreamRequest("r1", "o", "s", b"", {})
            async with open_session() as session:
                client = HttpUpstreamClient(session)
                async with client.send(f"{host}:{port}", request, TIMEOUT_S) as answer:
                    received = b"".join([chunk async for chunk in answer.body])
            server.close()
            assert received == b"x" * PARTS

        asyncio.run(scenario())
