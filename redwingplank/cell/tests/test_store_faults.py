"""Calls of the store over real sockets, with every fault of a copy and every answer to the others.

An outcome that says that a call has no effect holds for all of its copies, and for good.
"""

import asyncio

import pytest

from redwingplank.cell.tests.store_fault_fixture import (
    Caller,
    Send,
    Verdict,
    make_case,
    play_all,
    report_wrong,
    send_hedged,
    send_single,
    send_submission,
    shorten_hedge_delay,
)
from redwingplank.platform.site.http import NoAnswerError
from redwingplank.platform.site.store import Put
from redwingplank.standin.exchange_script import Ending, Exchange
from redwingplank.standin.fault_rows import FAULTS_BY_NAME
from redwingplank.standin.scripted_site import make_scripted_store
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
ALL_KEPT = 6
"""All copies of a call use connections that were open before."""
REFUSED = {"400", "403", "429", "503", "503 after a pause"}
CARRIED_OUT_ONLY = {name for name in FAULTS_BY_NAME if name.startswith("carried out")}


def play_table(send: Send, later: list[str]) -> dict[str, Verdict]:
    cases = [
        make_case(first, answer, kept)
        for first in FAULTS_BY_NAME
        for answer in later
        for kept in (0, 1, ALL_KEPT)
    ]
    return {verdict.case.name: verdict for verdict in asyncio.run(play_all(cases, send))}


@pytest.fixture(autouse=True)
def short_delay(monkeypatch):
    shorten_hedge_delay(monkeypatch)


class TestOutcomesOfTransactions:
    # Guards against all failures that `FAULTS_BY_NAME` lists, for a call that is sent once.
    def test_of_a_single_call_say_no_more_than_is_true(self):
        verdicts = play_table(send_single, ["answered"])
        assert report_wrong(verdicts.values()) == ""
        for name in REFUSED:
            assert verdicts[f"{name} / then answered / 0 kept"].is_certain
        assert verdicts["connect refused / then answered / 0 kept"].is_certain

    # Guards against all failures that `FAULTS_BY_NAME` lists, with copies that get other answers.
    def test_of_a_repeated_call_say_no_more_than_is_true(self):
        verdicts = play_table(send_hedged, LATER)
        assert report_wrong(verdicts.values()) == ""
        assert verdicts["answered / then 503 / 0 kept"].outcome == "DONE"
        assert verdicts["connect refused / then 503 / 0 kept"].is_certain
        for name in CARRIED_OUT_ONLY:
            assert verdicts[f"{name} / then 503 / 1 kept"].has_effect


class TestOutcomesOfSubmissions:
    # Guards against a refusal of a job of which the store has received a copy that it carries out.
    def test_say_no_more_than_is_true(self):
        verdicts = play_table(send_submission, LATER)
        assert report_wrong(verdicts.values()) == ""
        assert verdicts["429 / then 429 / 0 kept"].outcome == "NOT_RUN refused_by_store"


class TestKeptConnections:
    # Guards against a connection that ended before the call and counts as a refused connect.
    def test_a_connection_that_closed_unnoticed_is_no_refusal(self):
        async def scenario() -> tuple[str, bool]:
            site = make_scripted_store(SiteStoreModel(), [], Exchange())
            site.start()
            caller = Caller(site)
            await caller.open_connections(1)
            site.close_connections()
            answer = await send_single(caller)
            await caller.client.close()
            await site.settle()
            return answer

        outcome, is_certain = asyncio.run(scenario())
        assert (outcome.partition(":")[0], is_certain) == ("NoAnswerError", False)

    # Guards against an answer without a request that is taken for that to the next call.
    def test_an_answer_that_nobody_asked_for_refuses_no_later_call(self):
        async def scenario() -> tuple[str, bool, bool]:
            site = make_scripted_store(SiteStoreModel(), [], Exchange())
            site.start()
            caller = Caller(site)
            await caller.open_connections(1)
            site.send_unasked(b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\n{}")
            outcome, is_certain = await send_single(caller)
            await caller.client.close()
            await site.settle()
            return outcome, is_certain, any(request.has_effect for request in site.requests[1:])

        outcome, is_certain, has_effect = asyncio.run(scenario())
        assert not (is_certain and has_effect), outcome


class TestEndOfALease:
    # Guards against a client library that repeats a call by itself and reports only the last copy.
    def test_a_repeated_call_that_finds_nobody_is_not_taken_for_not_sent(self):
        async def scenario() -> bool:
            model = SiteStoreModel()
            lease = model.open_lease(60.0, 0.0)
            site = make_scripted_store(
                model,
                [
                    Exchange(),
                    Exchange(answer=None, ending=Ending.CLOSE),
                    FAULTS_BY_NAME["connect refused"].step,
                ],
                Exchange(),
            )
            site.start()
            caller = Caller(site)
            await caller.site_store.transact({}, [Put("warm", b"")], [], 1.0)
            with pytest.raises(NoAnswerError):
                await caller.site_store.end_lease(lease, 1.0)
            await caller.client.close()
            await site.settle()
            return lease in model.leases

        assert not asyncio.run(scenario())
