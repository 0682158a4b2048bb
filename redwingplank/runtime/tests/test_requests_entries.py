"""Tests of several entries: forwarded requests, hedges and entries that die."""

import asyncio

from redwingplank.platform import OutcomeUnknownError, UnavailableError
from redwingplank.routing import PeerLoad, Ran
from redwingplank.runtime.requests_entries import EntryClient
from redwingplank.runtime.tests.requests_fixture import Cell, run, until
from redwingplank.standin.upstreams import UpstreamFault


class _InProcessEntryClient(EntryClient):
    """Forwards requests to the other entries of the test in the same process."""

    def __init__(self):
        self.entries_by_name = {}
        self.error = None
        self.hops = []

    async def forward_request(self, entry, call, body, timeout_s):
        self.hops.append(call.hops)
        if self.error is not None:
            raise self.error
        return await self.entries_by_name[entry].proxy.handle(call, body)


def make_pair(cell, free_slots=8):
    entries = _InProcessEntryClient()
    for name in ("e1", "e2"):
        entries.entries_by_name[name] = cell.make_entry(name, entries=entries, uses_credits=True)
    first, second = entries.entries_by_name.values()
    now_s = cell.clock.now_s()
    first.router.set_peers(now_s, [PeerLoad("e2", {"notahane": free_slots})])
    second.router.set_peers(now_s, [PeerLoad("e1", {"notahane": free_slots})])
    second.router.set_credits(now_s, {"u0": 8})
    return entries, first, second


class TestHandingOn:
    def test_an_entry_that_gets_everything_hands_on_within_one_hop(self):
        async def scenario():
            cell = Cell()
            entries, first, _ = make_pair(cell)
            answers = await asyncio.gather(*(first.ask() for _ in range(8)))
            assert {answer.ran for answer in answers} == {Ran.YES}
            assert entries.hops == [1] * 8
            assert len(cell.started()) == 8

        run(scenario())

    def test_a_request_does_not_go_in_circles(self):
        async def scenario():
            cell = Cell()
            entries, first, second = make_pair(cell)
            second.router.set_credits(cell.clock.now_s(), {})
            answer = await first.ask("quick")
            assert (answer.ran, entries.hops) == (Ran.NO, [1])

        run(scenario())

    def test_an_entry_that_cannot_be_reached_leaves_it_here(self):
        async def scenario():
            cell = Cell()
            entries, first, _ = make_pair(cell)
            entries.error = UnavailableError("refused")
            call = asyncio.create_task(first.ask())
            await until(lambda: first.router.waiting_count)
            first.router.set_credits(cell.clock.now_s(), {"u0": 1})
            first.proxy.wake_waiting()
            assert (await call).ran is Ran.YES

        run(scenario())

    def test_an_entry_that_is_lost_with_the_request_leaves_it_unknown(self):
        async def scenario():
            cell = Cell()
            entries, first, _ = make_pair(cell)
            entries.error = OutcomeUnknownError("cut")
            assert (await first.ask()).ran is Ran.UNKNOWN

        run(scenario())

    def test_an_order_that_is_handed_on_runs_once(self):
        async def scenario():
            cell = Cell()
            await cell.home.start()
            _, first, second = make_pair(cell)
            answers = [await first.ask("order", key="k"), await second.ask("order", key="k")]
            assert {answer.body for answer in answers} == {b"bureau/notahane bar 1"}
            assert len(cell.started()) == 1

        run(scenario())


class TestHedges:
    def test_a_slow_upstream_is_overtaken_and_its_attempt_cancelled(self):
        async def scenario():
            cell = Cell(upstream_count=2)
            entry = cell.make_entry()
            for upstream in cell.upstreams:
                upstream.service_time_s = 0.002
            for _ in range(30):
                await entry.ask("hedged")
            slow = max(cell.upstreams, key=lambda each: each.counts_by_outcome["answered"])
            slow.standing_fault = UpstreamFault.NEVER_ANSWER
            while not slow.counts_by_outcome["left"]:
                answer = await entry.ask("hedged")
                assert answer.ran is Ran.YES
            await until(lambda: slow.running == 0 and not entry.router.in_flight_count)
            assert slow.counts_by_outcome["left"] > 0

        run(scenario())


class TestAnEntryThatDies:
    def test_mid_order_leaves_no_second_run(self):
        async def scenario():
            cell = Cell()
            await cell.home.start()
            cell.upstreams[0].standing_fault = UpstreamFault.NEVER_ANSWER
            cell.upstreams[0].is_run_to_end = True
            entry = cell.make_entry("e1")
            call = asyncio.create_task(entry.ask("order", key="k", deadline_ms=200))
            await until(lambda: cell.started())
            call.cancel()
            for task in list(entry.proxy._orders._tasks):
                task.cancel()
            cell.upstreams[0].standing_fault = None
            other = cell.make_entry("e2")
            for _ in range(2):
                repeat = await other.ask("order", key="k", deadline_ms=1500)
                assert repeat.ran is Ran.UNKNOWN
            assert len(cell.started()) == 1

        run(scenario())
