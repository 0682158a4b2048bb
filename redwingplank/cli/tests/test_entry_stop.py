"""Answers of `redwing-entry` to requests that are cancelled when it stops, on real connections."""

import asyncio

import capnp
import pytest

from redwingplank.cli.entry import EntryProgram
from redwingplank.cli.settings import EntrySettings
from redwingplank.core.settings import load_settings
from redwingplank.standin.loopback import find_free_address

PATH = "/v1/organisations/bureau/services/proof/requests"
TIMEOUT_S = 30.0


def make_program():
    """Return an entry without a platform, which waits for no request that is in flight."""
    platform_url = f"http://{find_free_address()}"
    texts = {
        "name": "e1",
        "failure_domain": "north",
        "failure_domains": "north",
        "rpc_address": find_free_address(),
        "http_address": find_free_address(),
        "store_url": platform_url,
        "vms_url": platform_url,
        "drain_notice_s": "0",
        "drain_limit_s": "0",
    }
    return EntryProgram(load_settings(EntrySettings, texts, ()))


def make_request(length):
    """Return a request with a body of one byte whose header announces `length` bytes."""
    return f"POST {PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\nx".encode()


async def until(condition):
    """Wait until a condition holds; fail after 1000 checks at intervals of 10 ms."""
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not become true")


async def stop_during(request, is_whole):
    """Drain an entry while it handles a request; return the answer and whether it was sent on."""
    program = make_program()
    is_sent = False

    async def hang(*_):
        nonlocal is_sent
        is_sent = True
        await asyncio.Event().wait()

    program.runtime.parts.proxy.handle = hang
    await program.start()
    host, _, port = program._settings.http_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    handlers = program._server._server.server_state.tasks
    await until(lambda: handlers and is_sent is is_whole)
    await program.drain()
    answer = await reader.read()
    writer.close()
    return answer, is_sent


class TestEntryProgram:
    # Guards against the server's own 500, which does not say whether the work was run.
    @pytest.mark.parametrize(
        "length, status, ran, is_sent", [(1, b"504", b"unknown", True), (2, b"503", b"no", False)]
    )
    def test_a_request_cancelled_by_its_stop_says_whether_it_ran(
        self, length, status, ran, is_sent
    ):
        scenario = asyncio.wait_for(stop_during(make_request(length), is_sent), TIMEOUT_S)
        answer, was_sent = asyncio.run(capnp.run(scenario))
        assert answer.startswith(b"HTTP/1.1 %s " % status)
        assert b'"ran":"%s"' % ran in answer
        assert b"x-redwing-ran: %s\r\n" % ran in answer
        assert was_sent is is_sent
