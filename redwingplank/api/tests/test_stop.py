"""Answers of an entry that stops before its requests have ended, on real connections."""

import asyncio

import pytest

from redwingplank.api import guard_entry_app, make_entry_app
from redwingplank.api.tests.test_api import EntryFixture
from redwingplank.platform.http import serve_http

PATH = "/v1/organisations/bureau/services/proof/requests"


def make_request(body, length):
    return f"POST {PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}".encode()


async def stop_during(entry, request):
    """Stop an entry while it handles a request; return the answer and whether it was sent on."""
    begun = asyncio.Event()
    is_sent = False

    async def hang(*_):
        nonlocal is_sent
        is_sent = True
        await asyncio.Event().wait()

    entry.parts.proxy.handle = hang
    app = guard_entry_app(make_entry_app(entry.parts.proxy, entry.parts.gateway, entry))

    async def begin(scope, receive, send):
        begun.set()
        await app(scope, receive, send)

    server = await serve_http(begin, ["127.0.0.1:0"], graceful_s=0)
    port = server._sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    await begun.wait()
    await server.stop()
    answer = await reader.read()
    writer.close()
    return answer, is_sent


class TestStop:
    # Guards against the server's own 500, which does not say whether the work was run.
    @pytest.mark.parametrize(
        "length, status, ran, is_sent", [(1, b"504", b"unknown", True), (2, b"503", b"no", False)]
    )
    def test_a_cancelled_request_says_whether_it_ran(self, length, status, ran, is_sent):
        answer, was_sent = asyncio.run(stop_during(EntryFixture().entry, make_request("x", length)))
        assert answer.startswith(b"HTTP/1.1 %s " % status)
        assert b'"ran":"%s"' % ran in answer
        assert b"x-redwing-ran: %s\r\n" % ran in answer
        assert was_sent is is_sent
