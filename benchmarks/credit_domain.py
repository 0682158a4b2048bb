"""Entries that share upstreams through credits; the real exchanges run in virtual time."""

import asyncio
from dataclasses import dataclass

from benchmarks.request_simulation import (
    DOMAIN,
    ONLY_QUOTES,
    ORGANISATION,
    RequestLoad,
    declare,
    upstream_vms,
)
from redwingplank.platform import ListedVm, VmRole
from redwingplank.routing import Route, Router, RouteRequest, RouterSettings, make_router
from redwingplank.routing.credit_messages import CreditGrant, CreditReport
from redwingplank.runtime.credits import CreditClient, CreditExchange, EntryPlace
from redwingplank.standin.store import MemoryStore, MemoryStoreClient
from redwingplank.standin.virtual_time import VirtualClock, run_virtual

__all__ = ["CreditMove", "measure_credit_move"]

MESSAGE_DELAY_S = 0.0015  # one way
SETTLE_S = 2.0
SAMPLE_INTERVAL_S = 0.001
MEASURED_S = 5.0
DEADLINE_S = 60.0
SLOTS = 8  # of each upstream
MOVED_FRACTION = 0.9  # of the final number of requests in flight


@dataclass(frozen=True)
class CreditMove:
    """The result of moving credits to an entry that becomes hot.

    Parameters
    ----------
    duration_s : float
        Seconds until the hot entry used nine tenths of the slots that it uses at the end.
    most_over_slots : float
        Highest sampled sum of all entries' credits for an upstream, divided by its slots.
    final_part : float
        Fraction of all slots that the hot entry uses at the end.
    """

    duration_s: float
    most_over_slots: float
    final_part: float


class _DelayedClient(CreditClient):
    def __init__(self, exchanges_by_address: dict[str, CreditExchange]) -> None:
        self._exchanges_by_address = exchanges_by_address

    async def exchange(self, address: str, report: CreditReport) -> CreditGrant | None:
        await asyncio.sleep(MESSAGE_DELAY_S)
        grant = await self._exchanges_by_address[address].answer(report)
        await asyncio.sleep(MESSAGE_DELAY_S)
        return grant

    async def is_refused(self, address: str) -> bool:
        return address not in self._exchanges_by_address


class _Entry:
    def __init__(self, name: str, domain: "_Domain") -> None:
        self.router = _make_router(name)
        self.router.set_upstreams(0.0, domain.upstreams)
        place = EntryPlace(name, name, DOMAIN, 1)
        store = MemoryStoreClient(domain.store)
        self.exchange = CreditExchange(
            place, self.router, self._start_released, store, domain.client, domain.clock
        )
        self.exchange.set_listed(domain.listed)
        self.clock = domain.clock
        self.in_flight = 0

    def offer_requests(self, count: int) -> None:
        now_s = self.clock.now_s()
        for number in range(count):
            request = RouteRequest(f"r{number}", ORGANISATION, "quick", now_s + DEADLINE_S)
            self.in_flight += isinstance(self.router.decide(now_s, request), Route)

    def _start_released(self) -> None:
        released = self.router.decide_waiting(self.clock.now_s())
        self.in_flight += sum(1 for decision in released if isinstance(decision, Route))


class _Domain:
    def __init__(self, entries: int, upstreams: int) -> None:
        names = [f"entry-{number}" for number in range(entries)]
        self.clock = VirtualClock()
        self.store = MemoryStore(self.clock)
        self.upstreams = upstream_vms(upstreams)
        self.listed = (
            *self.upstreams,
            *(ListedVm(name, VmRole.ENTRY, DOMAIN, "rack-0", name) for name in names),
        )
        exchanges_by_address: dict[str, CreditExchange] = {}
        self.client = _DelayedClient(exchanges_by_address)
        self.entries = [_Entry(name, self) for name in names]
        exchanges_by_address.update(
            {name: entry.exchange for name, entry in zip(names, self.entries, strict=True)}
        )
        self.slots = SLOTS * upstreams
        self.most_over_slots = 0.0

    async def measure(self) -> CreditMove:
        tasks = [asyncio.create_task(entry.exchange.run()) for entry in self.entries]
        await asyncio.sleep(SETTLE_S)
        hot = self.entries[-1]
        started_s = self.clock.now_s()
        hot.offer_requests(2 * self.slots)
        samples = []
        while self.clock.now_s() < started_s + MEASURED_S:
            samples.append((self.clock.now_s() - started_s, hot.in_flight))
            self._record_credit_totals()
            await asyncio.sleep(SAMPLE_INTERVAL_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        final = samples[-1][1]
        duration_s = next(
            at_s for at_s, in_flight in samples if in_flight >= MOVED_FRACTION * final
        )
        return CreditMove(duration_s, self.most_over_slots, final / self.slots)

    def _record_credit_totals(self) -> None:
        totals: dict[str, int] = {}
        for entry in self.entries:
            for upstream, credit_count in entry.exchange.held().items():
                totals[upstream] = totals.get(upstream, 0) + credit_count
        self.most_over_slots = max(self.most_over_slots, max(totals.values(), default=0) / SLOTS)


def measure_credit_move(entries: int, upstreams: int) -> CreditMove:
    """Give load to one of several idle entries and measure how credits move to it."""

    async def measure() -> CreditMove:
        return await _Domain(entries, upstreams).measure()

    return run_virtual(measure())


def _make_router(name: str) -> Router:
    settings = RouterSettings(
        entry=name, failure_domain=DOMAIN, uses_credits=True, max_waiting=100_000
    )
    router = make_router(settings, 0.0)
    router.set_declarations(declare(RequestLoad(1.0, kinds=ONLY_QUOTES)))
    return router
