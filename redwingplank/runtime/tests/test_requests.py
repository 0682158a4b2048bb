"""Tests of requests through one entry: answers, failures and what the upstreams ran."""

import asyncio

import pytest

from redwingplank.routing import Ran
from redwingplank.runtime.requests import AnswerCutError, ProxySettings
from redwingplank.runtime.requests_attempt import AttemptLimits
from redwingplank.runtime.tests.requests_fixture import Cell, run, until
from redwingplank.standin.upstreams import UpstreamFault


async def read(body) -> bytes:
    return b"".join([chunk async for chunk in body])


class TestAnswers:
    def test_a_request_goes_through(self):
        async def scenario():
            cell = Cell()
            answer = await cell.make_entry().ask(body=b"bar 7")
            assert (answer.status, answer.ran) == (200, Ran.YES)
            assert answer.body == b"bureau/notahane bar 7"
            assert len(cell.started()) == 1

        run(scenario())

    def test_an_undeclared_service_is_not_run(self):
        async def scenario():
            cell = Cell()
            answer = await cell.make_entry().ask("absent")
            assert (answer.status, answer.ran) == (404, Ran.NO)
            assert answer.problem.code == "unknown_service"
            assert not cell.started()

        run(scenario())

    def test_a_long_answer_is_streamed_whole_and_frees_its_slot(self):
        async def scenario():
            cell = Cell()
            cell.upstreams[0].answer_bytes = 1_000_000
            entry = cell.make_entry()
            answer = await entry.ask()
            assert not isinstance(answer.body, bytes)
            assert len(await read(answer.body)) == 1_000_000
            await asyncio.sleep(0)
            assert entry.router.in_flight_count == 0

        run(scenario())


class TestFailuresOfAnUpstream:
    """For each failure, `ran` in the answer is compared with what the upstream did."""

    CASES = [
        (UpstreamFault.REFUSE, Ran.NO, 0),
        (UpstreamFault.CUT_BEFORE_RUN, Ran.UNKNOWN, 0),
        (UpstreamFault.CUT_AFTER_RUN, Ran.UNKNOWN, 1),
        (UpstreamFault.CUT_BODY, Ran.UNKNOWN, 1),
        (UpstreamFault.SHORT_BODY, Ran.UNKNOWN, 1),
        (UpstreamFault.WRONG_ID, Ran.UNKNOWN, 1),
        (UpstreamFault.SERVER_ERROR, Ran.YES, 1),
    ]

    @pytest.mark.parametrize(("fault", "ran", "runs"), CASES)
    def test_order_without_key_is_sent_once(self, fault, ran, runs):
        async def scenario():
            cell = Cell()
            cell.upstreams[0].standing_fault = fault
            answer = await cell.make_entry().ask("order")
            assert answer.ran is ran
            assert len(cell.started()) == runs

        run(scenario())

    @pytest.mark.parametrize("fault", [case[0] for case in CASES[:-1]])
    def test_idempotent_request_is_sent_again_and_answered(self, fault):
        async def scenario():
            cell = Cell(upstream_count=2)
            entry = cell.make_entry()
            for upstream in cell.upstreams:
                upstream.faults = [fault]
            answer = await entry.ask("proof")
            assert (answer.ran, answer.body) == (Ran.YES, b"bureau/notahane bar 1")

        run(scenario())

    @pytest.mark.parametrize("cut_at", [0, 1, 20, 21])
    def test_cut_at_each_byte_boundary_is_never_a_success(self, cut_at):
        async def scenario():
            cell = Cell()
            cell.upstreams[0].standing_fault = UpstreamFault.CUT_BODY
            cell.upstreams[0].cut_after_bytes = cut_at
            answer = await cell.make_entry().ask("order")
            assert answer.ran is Ran.UNKNOWN
            assert answer.body == b""

        run(scenario())

    def test_upstream_that_cannot_be_reached(self):
        async def scenario():
            cell = Cell()
            cell.upstreams[0].is_reachable = False
            answer = await cell.make_entry().ask("order")
            assert answer.ran is Ran.NO
            assert answer.retry_after_s > 0
            assert not cell.started()

        run(scenario())

    def test_upstream_that_never_answers(self):
        async def scenario():
            cell = Cell()
            cell.upstreams[0].standing_fault = UpstreamFault.NEVER_ANSWER
            entry = cell.make_entry()
            answer = await entry.ask("quick")
            assert (answer.status, answer.ran) == (504, Ran.UNKNOWN)
            assert entry.router.in_flight_count == 0

        run(scenario())

    def test_answer_that_comes_twice_reaches_only_its_own_caller(self):
        async def scenario():
            cell = Cell()
            cell.upstreams[0].faults = [UpstreamFault.ANSWER_TWICE]
            entry = cell.make_entry()
            first = await entry.ask("order", b"mine")
            second = await entry.ask("order", b"yours")
            assert first.body == b"bureau/notahane mine"
            assert (second.ran, second.body) == (Ran.UNKNOWN, b"")

        run(scenario())

    def test_long_answer_that_is_cut_aborts_the_stream(self):
        async def scenario():
            cell = Cell()
            upstream = cell.upstreams[0]
            upstream.answer_bytes, upstream.cut_after_bytes = 500_000, 300_000
            upstream.standing_fault = UpstreamFault.CUT_BODY
            entry = cell.make_entry()
            answer = await entry.ask()
            with pytest.raises(AnswerCutError):
                await read(answer.body)
            assert entry.router.in_flight_count == 0

        run(scenario())


class TestCallers:
    def test_a_caller_that_leaves_frees_the_slot(self):
        async def scenario():
            cell = Cell()
            cell.upstreams[0].service_time_s = 10.0
            entry = cell.make_entry()
            call = asyncio.create_task(entry.ask())
            await until(lambda: cell.started())
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            await until(lambda: not entry.router.in_flight_count)
            assert cell.upstreams[0].running == 0

        run(scenario())

    def test_a_waiting_caller_that_leaves_is_never_sent(self):
        async def scenario():
            cell = Cell()
            upstream = cell.upstreams[0]
            upstream.slots, upstream.service_time_s = 1, 0.05
            entry = cell.make_entry()
            first = asyncio.create_task(entry.ask())
            second = asyncio.create_task(entry.ask())
            await until(lambda: entry.router.waiting_count)
            second.cancel()
            await first
            await asyncio.gather(second, return_exceptions=True)
            assert entry.router.waiting_count == 0
            assert len(cell.started()) == 1

        run(scenario())

    def test_a_slow_caller_does_not_hold_a_slot(self):
        async def scenario():
            cell = Cell()
            cell.upstreams[0].answer_bytes = 2_000_000
            limits = AttemptLimits(stall_timeout_s=0.05)
            entry = cell.make_entry(proxy=ProxySettings(limits=limits))
            answer = await entry.ask()
            await until(lambda: not entry.router.in_flight_count)
            with pytest.raises(AnswerCutError):
                await read(answer.body)

        run(scenario())

    def test_closing_a_stream_frees_the_slot(self):
        async def scenario():
            cell = Cell()
            cell.upstreams[0].answer_bytes = 2_000_000
            entry = cell.make_entry()
            answer = await entry.ask()
            await answer.body.aclose()
            await until(lambda: not entry.router.in_flight_count)

        run(scenario())


class TestWaiting:
    def test_requests_wait_for_slots_and_none_is_exceeded(self):
        async def scenario():
            cell = Cell()
            cell.upstreams[0].service_time_s = 0.002
            entry = cell.make_entry()
            answers = await asyncio.gather(*(entry.ask() for _ in range(100)))
            assert {answer.ran for answer in answers} == {Ran.YES}
            assert cell.upstreams[0].max_running == 8

        run(scenario())


class TestStop:
    def test_nothing_in_flight_is_cut_and_nothing_new_is_taken(self):
        async def scenario():
            cell = Cell()
            cell.upstreams[0].service_time_s = 0.02
            entry = cell.make_entry()
            calls = [asyncio.create_task(entry.ask()) for _ in range(20)]
            await until(lambda: cell.started())
            entry.proxy.begin_stop()
            late = await entry.ask()
            assert (late.status, late.ran) == (503, Ran.NO)
            await entry.proxy.drained()
            assert all(call.done() for call in calls)
            assert {call.result().ran for call in calls} == {Ran.YES}

        run(scenario())

    def test_an_open_stream_is_waited_for(self):
        async def scenario():
            cell = Cell()
            cell.upstreams[0].answer_bytes = 2_000_000
            entry = cell.make_entry()
            answer = await entry.ask()
            entry.proxy.begin_stop()
            drained = asyncio.create_task(entry.proxy.drained())
            await asyncio.sleep(0.01)
            assert not drained.done()
            assert len(await read(answer.body)) == 2_000_000
            await drained

        run(scenario())
