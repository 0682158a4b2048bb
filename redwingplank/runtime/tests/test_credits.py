"""Tests of the exchange of slot credits between running entries, in process and over RPC."""

import asyncio

import capnp
import pytest

from redwingplank.core import MonotonicClock
from redwingplank.platform import ListedVm, VmRole
from redwingplank.routing import RouterSettings, make_router
from redwingplank.routing.credit_messages import (
    CreditGrant,
    CreditReport,
    CreditSettings,
    ServiceUse,
)
from redwingplank.rpc import PeerConnections, PeerUnreachableError, serve_node
from redwingplank.rpc.credit_messages import read_grant, read_report, write_grant, write_report
from redwingplank.runtime.credits import (
    CREDITS_SERVICE,
    CreditClient,
    CreditExchange,
    CreditService,
    EntryPlace,
    RpcCreditClient,
)
from redwingplank.runtime.requests import ProxySettings, make_request_proxy
from redwingplank.runtime.tests.requests_fixture import (
    DOMAIN,
    Cell,
    Entry,
    declare,
    until,
    upstream_vm,
)
from redwingplank.standin.faults import Faults
from redwingplank.standin.store import MemoryStore, MemoryStoreClient
from redwingplank.standin.upstreams import MemoryUpstreamClient

SLOTS = 8


def run(coroutine):
    return asyncio.run(capnp.run(asyncio.wait_for(coroutine, 30.0)))


class _DirectClient(CreditClient):
    """Calls the exchanges of the other entries of the test directly, unless they were killed."""

    def __init__(self, exchanges_by_address):
        self.exchanges_by_address = exchanges_by_address

    async def exchange(self, address, report):
        found = self.exchanges_by_address.get(address)
        if found is None:
            raise PeerUnreachableError(f"no entry listens at {address}")
        return await found.answer(report)

    async def is_refused(self, address):
        return address not in self.exchanges_by_address


class Domain:
    """Entries that share the slots of a cell's upstreams by credits."""

    def __init__(self, entries=3, upstreams=3, credit_settings=None):
        self.credit_settings = credit_settings or CreditSettings()
        self.cell = Cell(upstream_count=upstreams)
        self.store = MemoryStore(MonotonicClock())
        self.faults = Faults()
        self.exchanges_by_address = {}
        self.client = _DirectClient(self.exchanges_by_address)
        self.names = [f"e{number}" for number in range(entries)]
        self.entries, self.exchanges, self.tasks = {}, {}, {}

    def start(self):
        for number, name in enumerate(self.names):
            self.start_entry(name, self.client, f"addr-{number}")

    def start_entry(self, name, client, address):
        cell = self.cell
        settings = RouterSettings(entry=name, failure_domain=DOMAIN, uses_credits=True)
        router = make_router(settings, cell.clock.now_s())
        router.set_declarations(declare())
        router.set_upstreams(cell.clock.now_s(), self.upstream_vms())
        proxy = make_request_proxy(
            router,
            MemoryUpstreamClient(cell.by_address),
            cell.home,
            cell.clock,
            settings=ProxySettings(entry=name),
        )
        addresses = {each: f"addr-{number}" for number, each in enumerate(self.names)}
        place = EntryPlace(name, address, DOMAIN, 1, self.credit_settings, addresses)
        store = MemoryStoreClient(self.store, self.faults)
        exchange = CreditExchange(place, router, proxy.wake_waiting, store, client, cell.clock)
        exchange.set_listed(self.listed())
        self.entries[name] = Entry(router, proxy)
        self.exchanges[name] = exchange
        self.exchanges_by_address[address] = exchange
        self.tasks[name] = asyncio.create_task(exchange.run())
        return exchange

    def upstream_vms(self):
        return tuple(upstream_vm(each.name, slots=SLOTS) for each in self.cell.upstreams)

    def listed(self):
        entries = (ListedVm(name, VmRole.ENTRY, DOMAIN, "r", "") for name in self.names)
        return (*self.upstream_vms(), *entries)

    def credits(self, name):
        rows = self.entries[name].router._table.rows_by_name.values()
        return sum(row.credits for row in rows)

    def total(self):
        return sum(self.credits(name) for name in self.entries)

    def kill(self, name):
        self.tasks.pop(name).cancel()
        address = f"addr-{self.names.index(name)}"
        del self.exchanges_by_address[address]
        del self.entries[name], self.exchanges[name]

    async def stop(self):
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)


class TestExchange:
    def test_all_slots_are_used_by_the_entry_that_gets_all_requests(self):
        async def scenario():
            domain = Domain()
            domain.start()
            for upstream in domain.cell.upstreams:
                upstream.service_time_s = 0.01
            await until(lambda: domain.total() == SLOTS * 3)
            calls = [domain.entries["e1"].ask() for _ in range(200)]
            answers = await asyncio.gather(*calls)
            assert {answer.status for answer in answers} == {200}
            assert max(each.max_running for each in domain.cell.upstreams) <= SLOTS
            assert sum(each.counts_by_outcome["refused"] for each in domain.cell.upstreams) == 0
            assert domain.credits("e1") > SLOTS
            await domain.stop()

        run(scenario())

    def test_load_from_every_entry_never_exceeds_the_slots(self):
        async def scenario():
            domain = Domain()
            domain.start()
            for upstream in domain.cell.upstreams:
                upstream.service_time_s = 0.005
            await until(lambda: domain.total() == SLOTS * 3)
            calls = [entry.ask() for entry in domain.entries.values() for _ in range(200)]
            await asyncio.gather(*calls)
            assert max(each.max_running for each in domain.cell.upstreams) <= SLOTS
            assert sum(each.counts_by_outcome["refused"] for each in domain.cell.upstreams) == 0
            await domain.stop()

        run(scenario())

    @pytest.mark.parametrize("is_grantor", [True, False])
    def test_an_entry_that_leaves_gives_its_credits_to_the_others(self, is_grantor):
        async def scenario():
            domain = Domain()
            domain.start()
            await until(lambda: domain.total() == SLOTS * 3)
            leaving = next(
                name
                for name in domain.names
                if domain.exchanges[name]._authority.is_held == is_grantor
            )
            await domain.exchanges[leaving].leave()
            await asyncio.sleep(0.1)
            assert domain.credits(leaving) == 0
            domain.kill(leaving)
            await until(lambda: domain.total() == SLOTS * 3)
            await domain.stop()

        run(scenario())

    def test_credits_are_kept_while_the_store_is_away_and_the_grantor_dead(self):
        async def scenario():
            domain = Domain()
            domain.start()
            await until(lambda: domain.total() == SLOTS * 3)
            domain.faults.is_down = True
            holders = [exchange._holder for exchange in domain.exchanges.values()]
            await until(lambda: all(each._expires_s == float("inf") for each in holders))
            for name in list(domain.entries):
                if domain.exchanges[name]._authority.is_held:
                    domain.kill(name)
            held = domain.total()
            await asyncio.sleep(2.0)
            assert domain.total() == held
            answer = await next(iter(domain.entries.values())).ask()
            assert answer.status == 200
            await domain.stop()

        run(scenario())

    def test_a_killed_grantors_credits_are_free_after_its_lease_though_its_vm_is_listed(self):
        async def scenario():
            domain = Domain(credit_settings=CreditSettings(lease_s=0.6, margin_s=0.1))
            domain.start()
            await until(lambda: domain.total() == SLOTS * 3)
            dead = next(name for name in domain.names if domain.exchanges[name]._authority.is_held)
            assert domain.credits(dead) > 0
            domain.kill(dead)
            await until(lambda: domain.total() == SLOTS * 3)
            await domain.stop()

        run(scenario())

    def test_a_new_grantor_takes_over(self):
        async def scenario():
            domain = Domain()
            domain.start()
            await until(lambda: domain.total() == SLOTS * 3)
            dead = next(name for name in domain.names if domain.exchanges[name]._authority.is_held)
            domain.kill(dead)
            domain.names.remove(dead)
            await until(
                lambda: any(each._authority.is_held for each in domain.exchanges.values()), 8000
            )
            for exchange in domain.exchanges.values():
                exchange.set_listed(domain.listed())
            await until(lambda: domain.total() == SLOTS * 3)
            await domain.stop()

        run(scenario())


class TestOverRpc:
    def test_two_entries_share_the_slots(self):
        async def scenario():
            domain = Domain(entries=2)
            servers, peers = [], []
            for number, name in enumerate(domain.names):
                address = f"127.0.0.1:{17410 + number}"
                peers.append(PeerConnections())
                exchange = domain.start_entry(name, RpcCreditClient(peers[-1]), address)
                service = {CREDITS_SERVICE: CreditService(exchange)}
                servers.append(await serve_node(address, service))
            await until(lambda: min(domain.credits(name) for name in domain.names) > 0)
            await until(lambda: domain.total() == SLOTS * 3)
            await domain.stop()
            for each in peers:
                each.close()
            for server in servers:
                await server.stop()

        run(scenario())

    @pytest.mark.parametrize("is_frozen", [True, False])
    def test_messages_arrive_as_they_were_sent(self, is_frozen):
        report = CreditReport(
            "e", 2, 3, 4, {"u": 5}, {"s": ServiceUse(6, 7)}, {"s": 8}, is_frozen, False
        )
        assert read_report(write_report(report)) == report
        grant = CreditGrant(4, 2, 3, {"u": 5}, is_frozen)
        assert read_grant(write_grant(grant)) == grant
