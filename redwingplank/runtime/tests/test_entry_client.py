"""What an entry says of a request that it forwarded, on real sockets."""

import asyncio

import pytest

from redwingplank.platform import OutcomeUnknownError
from redwingplank.platform.http import open_session
from redwingplank.platform.tests.cancelled_call import cancel_beside_time_out
from redwingplank.platform.tests.service_fixture import (
    REDIRECTS,
    make_answer,
    redirect_to_nowhere,
    service,
)
from redwingplank.routing import CallerRequest, Ran
from redwingplank.runtime.entry_client import HttpEntryClient


class TestRedirects:
    # Guards against a request that ran behind another entry and is then served here once more.
    @pytest.mark.parametrize("status", REDIRECTS)
    def test_the_answer_of_the_other_entry_is_delivered(self, status):
        async def scenario():
            async with service(redirect_to_nowhere(status, ran="yes")) as (address, carried_out):
                async with open_session() as session:
                    client = HttpEntryClient(session, {"e2": address})
                    call = CallerRequest("o", "s", "r1")
                    answer = await client.forward_request("e2", call, b"{}", 2.0)
                    assert (answer.status, answer.ran) == (status, Ran.YES)
                assert carried_out == [b"POST"]

        asyncio.run(scenario())


class TestAnswersOfOthers:
    # Guards against "not run" by the status of a proxy, which does not know it.
    @pytest.mark.parametrize("status", [408, 429, 502, 503])
    def test_an_answer_that_does_not_say_whether_it_ran_leaves_it_open(self, status):
        async def scenario():
            async with service(make_answer(status)) as (address, _), open_session() as session:
                client = HttpEntryClient(session, {"e2": address})
                call = CallerRequest("o", "s", "r1")
                answer = await client.forward_request("e2", call, b"{}", 2.0)
                assert (answer.status, answer.ran) == (status, Ran.UNKNOWN)

        asyncio.run(scenario())

    # Guards against an unexpected error in place of an answer to the caller.
    def test_a_problem_that_cannot_be_read_leaves_it_open(self):
        async def scenario():
            media_type = b"Content-Type: application/problem+json\r\n"
            answer = make_answer(502, b"<html>", media_type)
            async with service(answer) as (address, _), open_session() as session:
                client = HttpEntryClient(session, {"e2": address})
                call = CallerRequest("o", "s", "r1")
                with pytest.raises(OutcomeUnknownError):
                    await client.forward_request("e2", call, b"{}", 2.0)

        asyncio.run(scenario())


class TestCancellation:
    # Guards against a request that goes on after it was cancelled, as a paused process that wakes
    # finds the time-out of the call to the other entry due as well.
    @pytest.mark.parametrize(
        ("delay_s", "expected"),
        [(-0.05, "cancelled"), (0.05, "cancelled"), (60.0, "OutcomeUnknownError")],
    )
    def test_beside_the_time_out_of_the_call_is_not_lost(self, delay_s, expected):
        async def forward(address: str, timeout_s: float) -> None:
            async with open_session() as session:
                client = HttpEntryClient(session, {"e2": address})
                await client.forward_request("e2", CallerRequest("o", "s", "r1"), b"{}", timeout_s)

        assert asyncio.run(cancel_beside_time_out(forward, delay_s)) == expected
