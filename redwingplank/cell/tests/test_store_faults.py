"""Calls of the store over real sockets, with every fault of a copy and every answer to the others.

An outcome that says that a call has no effect holds for all of its copies, and for good.
"""

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator
from dataclasses import replace

import pytest

from redwingplank.cell.tests.store_fault_fixture import (
    Caller,
    Outcome,
    Send,
    Verdict,
    make_case,
    play,
    play_all,
    report_wrong,
    send_hedged,
    send_single,
    send_submission,
    shorten_hedge_delay,
)
from redwingplank.platform.site.http import NoAnswerError
from redwingplank.standin.exchange_script import (
    Answer,
    AnswerPlan,
    Ending,
    Exchange,
    Step,
    StopListening,
)
from redwingplank.standin.fault_rows import FAULTS_BY_NAME
from redwingplank.standin.scripted_site import ScriptedSite, make_scripted_store
from redwingplank.standin.site_store import SiteStoreModel

LATER = [
    "answered",
    "400",
    "403",
    "404",
    "429",
    "500",
    "503",
    "503 after a pause",
    "503 cut in the body",
    "connect refused",
    "unread, closed",
    "unread, silent",
    "carried out, silent",
    "carried out, cut in the body",
    "carried out later, silent",
]
"""Treatment of the second and all further copies."""
NOTICE = b"HTTP/1.1 408 X\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"
_AS_USUAL = Exchange()
ALL_KEPT = 6
"""All copies of a call use connections that were open before."""
REFUSED = ["400", "403", "429", "503", "503 after a pause", "connect refused"]
LONG_S = 30.0
"""Longer than a busy machine takes for a call."""


def play_table(send: Send, later: list[str], kept_counts: list[int]) -> list[Verdict]:
    cases = [
        make_case(first, answer, kept)
        for first in FAULTS_BY_NAME
        for answer in later
        for kept in kept_counts
    ]
    return asyncio.run(play_all(cases, send))


@contextlib.asynccontextmanager
async def open_site(
    model: SiteStoreModel, script: list[Step], then: Exchange = _AS_USUAL
) -> AsyncIterator[tuple[ScriptedSite, Caller]]:
    """Provide a scripted store and its caller; at the end no call can take effect any more."""
    site = make_scripted_store(model, script, then)
    site.start()
    caller = Caller(site)
    try:
        yield site, caller
    finally:
        await caller.client.close()
        await site.settle()


@pytest.fixture(autouse=True)
def short_delay(monkeypatch):
    shorten_hedge_delay(monkeypatch)


class TestOutcomesOfTransactions:
    # Guards against all failures that `FAULTS_BY_NAME` lists, for a call that is sent once.
    def test_of_a_single_call_say_no_more_than_is_true(self):
        assert report_wrong(play_table(send_single, ["answered"], [0, 1])) == ""

    # Guards against all failures that `FAULTS_BY_NAME` lists, with copies that get other answers.
    def test_of_a_repeated_call_say_no_more_than_is_true(self):
        assert report_wrong(play_table(send_hedged, LATER, [0, ALL_KEPT])) == ""


class TestOutcomesOfSubmissions:
    # Guards against a refusal of a job of which the store has received a copy that it carries out.
    def test_say_no_more_than_is_true(self):
        assert report_wrong(play_table(send_submission, LATER, [1])) == ""


class TestCertainOutcomes:
    # Guards against a client that calls every outcome unknown, so that no refusal is ever certain.
    @pytest.mark.parametrize("send", [send_single, send_hedged, send_submission])
    def test_are_given_for_refusals(self, send):
        cases = [replace(make_case(name, name, 0), wait_s=LONG_S) for name in REFUSED]
        verdicts = asyncio.run(play_all(cases, send))
        assert [verdict.case.name for verdict in verdicts if not verdict.first.is_certain] == []

    # Guards against an answer that is dropped for the refusal of a copy.
    def test_are_not_given_for_a_call_that_is_answered(self):
        case = replace(make_case("answered", "503", 0), wait_s=LONG_S)
        assert asyncio.run(play(case, send_hedged)).first.text == "DONE"


class TestKeptConnections:
    # Guards against a connection that ended before the call and counts as a refused connect.
    def test_a_connection_that_closed_unnoticed_is_no_refusal(self):
        async def scenario() -> Outcome:
            async with open_site(SiteStoreModel(), []) as (site, caller):
                await caller.open_connections(1)
                site.close_connections()
                return await send_single(caller, "one", LONG_S)

        outcome = asyncio.run(scenario())
        assert (outcome.text.partition(":")[0], outcome.is_certain) == ("NoAnswerError", False)

    # Guards against the notice of a proxy that it closes an idle connection, taken for a refusal.
    @pytest.mark.parametrize("is_noticed_before", [True, False])
    def test_a_notice_that_nobody_asked_for_refuses_no_later_call(self, is_noticed_before):
        async def scenario() -> Outcome:
            async with open_site(SiteStoreModel(), []) as (site, caller):
                await caller.open_connections(1)
                site.send_unasked(NOTICE)
                if is_noticed_before:
                    await asyncio.sleep(0.05)
                return await send_single(caller, "one", LONG_S)

        outcome = asyncio.run(scenario())
        assert not outcome.is_certain, outcome.text


class TestRepeatedByTheLibrary:
    # Guards against a client library that repeats a call by itself and reports only the last copy.
    def test_a_call_on_a_kept_connection_that_then_finds_nobody_is_not_taken_for_not_sent(self):
        async def scenario() -> bool:
            model = SiteStoreModel()
            lease = model.open_lease(60.0, time.monotonic())
            carried_out = Exchange(answer=None, ending=Ending.CLOSE)
            script: list[Step] = [Exchange(), carried_out, StopListening()]
            async with open_site(model, script) as (_, caller):
                await caller.open_connections(1)
                with pytest.raises(NoAnswerError):
                    await caller.site_store.end_lease(lease, LONG_S)
            return lease in model.leases

        assert not asyncio.run(scenario())

    # Guards against a redirect that is followed to nobody after the call was carried out.
    def test_a_redirected_call_that_then_finds_nobody_is_not_taken_for_not_sent(self):
        async def scenario() -> tuple[Outcome, bool]:
            with socket.socket() as nobody:
                nobody.bind(("127.0.0.1", 0))
                location = f"http://127.0.0.1:{nobody.getsockname()[1]}/"
                answer = AnswerPlan(Answer(307, location=location))
                async with open_site(SiteStoreModel(), [Exchange(answer=answer)]) as (site, caller):
                    outcome = await send_single(caller, "one", LONG_S)
                return outcome, site.has_effect

        outcome, has_effect = asyncio.run(scenario())
        assert has_effect
        assert not outcome.is_certain, outcome.text
