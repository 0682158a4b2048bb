"""The scripted store does to its callers what its steps say, and knows what took effect."""

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator

import msgspec
import pytest

from redwingplank.standin.exchange_script import (
    Answer,
    AnswerPlan,
    Cut,
    EffectAfter,
    Ending,
    Exchange,
    NoEffect,
    ReadAll,
    ReadPart,
    Step,
    StopListening,
)
from redwingplank.standin.fault_rows import FAULTS_BY_NAME
from redwingplank.standin.scripted_site import ScriptedSite, make_scripted_store
from redwingplank.standin.site_store import SiteStoreModel

PUT = {"key": "a", "value": "dmFs" * 100}
"""Long enough for rows that pause within the body."""
BODY = msgspec.json.encode({"expect": [], "puts": [PUT], "remove": []})
REQUEST = b"POST /-/kv-txn HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY
LATE_S = 0.2
WITH_EFFECT = ("answered", "carried out", "connect refused", "paused", "read")
"""Begins of the names of the rows with an effect; a refused connect leaves a kept connection."""


class RawCaller:
    """A plain connection to a site."""

    def __init__(self, site: ScriptedSite) -> None:
        host, _, port = site.address.rpartition(":")
        self._address = host, int(port)
        self._socket = socket.socket()
        self._socket.setblocking(False)

    async def connect(self) -> "RawCaller":
        await asyncio.get_running_loop().sock_connect(self._socket, self._address)
        return self

    async def send(self, data: bytes = REQUEST) -> None:
        await asyncio.get_running_loop().sock_sendall(self._socket, data)

    async def receive(self) -> bytes:
        return await asyncio.get_running_loop().sock_recv(self._socket, 65536)

    def close(self) -> None:
        self._socket.close()


@contextlib.asynccontextmanager
async def open_site(*script: Step) -> AsyncIterator[tuple[ScriptedSite, RawCaller]]:
    site = make_scripted_store(SiteStoreModel(), script, Exchange())
    site.start()
    caller = RawCaller(site)
    try:
        yield site, await caller.connect()
    finally:
        caller.close()
        await site.settle()


async def send_once(step: Step) -> tuple[ScriptedSite, bytes]:
    """Send a request; return the site once it has settled, and what it sent back at first."""
    async with open_site(step) as (site, caller):
        await caller.send()
        answer = await caller.receive()
    return site, answer


class TestEnding:
    # Guards against a stand-in whose reset is a usual close, so that a table tests one of the two.
    @pytest.mark.parametrize("reading", [ReadAll(), ReadPart(5), ReadPart(0)])
    def test_a_reset_reaches_the_caller_as_such(self, reading):
        with pytest.raises(ConnectionResetError):
            asyncio.run(send_once(Exchange(reading, NoEffect(), None, Ending.RESET)))

    # Guards against bytes that are read although the step says that they stay in the kernel.
    def test_a_close_with_unread_bytes_is_a_reset(self):
        with pytest.raises(ConnectionResetError):
            asyncio.run(send_once(Exchange(ReadPart(5), NoEffect(), None, Ending.CLOSE)))

    # Guards against a close that is a reset.
    def test_a_close_after_the_whole_request_is_none(self):
        site, answer = asyncio.run(send_once(Exchange(answer=None, ending=Ending.CLOSE)))
        assert (answer, site.has_effect) == (b"", True)

    # Guards against a request of which the rest is taken for the next one.
    def test_of_a_part_that_keeps_the_connection_is_invalid(self):
        with pytest.raises(ValueError, match="end otherwise"):
            Exchange(ReadPart(5), NoEffect(), None)


class TestConnects:
    # Guards against a site that accepts what it should refuse.
    def test_are_refused_from_the_step_on(self):
        async def scenario() -> None:
            async with open_site(Exchange(), StopListening()) as (site, caller):
                await caller.send()
                assert (await caller.receive()).startswith(b"HTTP/1.1 200")
                await caller.send()
                assert (await caller.receive()).startswith(b"HTTP/1.1 200")
                with pytest.raises(ConnectionRefusedError):
                    await RawCaller(site).connect()

        asyncio.run(scenario())

    # Guards against a first step that is never played.
    def test_are_refused_from_the_start(self):
        with pytest.raises(ConnectionRefusedError):
            asyncio.run(send_once(StopListening()))


class TestEffects:
    # Guards against a late effect that ends with its caller, or that `settle` does not wait for.
    @pytest.mark.parametrize(
        "step",
        [
            Exchange(effect=EffectAfter(LATE_S), answer=None, ending=Ending.SILENT),
            Exchange(effect=EffectAfter(LATE_S), answer=None, ending=Ending.CLOSE),
            Exchange(ReadAll(0, LATE_S)),
            Exchange(ReadAll(30, LATE_S)),
        ],
    )
    def test_take_place_after_the_caller_has_closed(self, step):
        async def scenario() -> tuple[bool, bool]:
            async with open_site(step) as (site, caller):
                await caller.send()
                had_effect = site.has_effect
            return had_effect, site.has_effect

        assert asyncio.run(scenario()) == (False, True)

    # Guards against a row whose step does something else than its name says.
    @pytest.mark.parametrize("name", sorted(FAULTS_BY_NAME))
    def test_of_the_rows_are_those_of_their_names(self, name):
        async def scenario() -> bool:
            async with open_site(Exchange(), FAULTS_BY_NAME[name].step) as (site, caller):
                await caller.send()
                await caller.receive()
                await caller.send()
            return any(request.has_effect for request in site.requests[1:])

        is_carried_out = name.startswith(WITH_EFFECT)
        assert asyncio.run(scenario()) == is_carried_out

    # Guards against a request that is carried out although a part of it never arrived.
    def test_need_the_whole_request(self):
        async def scenario() -> bool:
            async with open_site() as (site, caller):
                await caller.send(REQUEST[:-1])
            return site.has_effect

        assert not asyncio.run(scenario())


class TestAnswers:
    # Guards against cuts that are none.
    @pytest.mark.parametrize(("cut", "has_head"), [(Cut.IN_HEAD, False), (Cut.IN_BODY, True)])
    def test_break_off_where_the_step_says(self, cut, has_head):
        plan = AnswerPlan(Answer(200, b"x" * 10), cut=cut)
        _, answer = asyncio.run(send_once(Exchange(answer=plan, ending=Ending.CLOSE)))
        assert (b"\r\n\r\n" in answer, answer.count(b"xxxxx")) == (has_head, int(has_head))

    # Guards against an answer that comes at once although the step says that it is late.
    def test_come_in_pieces_and_late(self):
        started_s = time.monotonic()
        plan = AnswerPlan(delay_s=LATE_S, pieces=4, interval_s=0.01)
        _, answer = asyncio.run(send_once(Exchange(answer=plan)))
        assert time.monotonic() - started_s >= LATE_S
        assert b"\r\n\r\n" not in answer
