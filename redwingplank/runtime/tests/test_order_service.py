"""Tests of order registries over RPC, also when the owner of their shard changes."""

import asyncio

import capnp
import pytest

from redwingplank.routing import Ran
from redwingplank.routing.orders import ClaimOutcome, OrderClaim, OrderKey
from redwingplank.rpc import PeerConnections, serve_node
from redwingplank.runtime.order_service import (
    ORDERS_SERVICE,
    OrderService,
    OwnedOrderRegistries,
    RpcOrderRegistry,
)
from redwingplank.runtime.orders import OrderRegistryUnreachableError
from redwingplank.runtime.tests.requests_fixture import Cell

FIRST_ADDRESS, SECOND_ADDRESS = "127.0.0.1:17401", "127.0.0.1:17402"


def run(coroutine):
    return asyncio.run(capnp.run(asyncio.wait_for(coroutine, 20.0)))


class _Scheduler:
    """A scheduler process whose owned shards are set by the test."""

    def __init__(self, cell, address):
        self.owned = []
        self.address = address
        self.registries = OwnedOrderRegistries(lambda shard: cell.make_home(), lambda: self.owned)

    async def serve(self):
        services = {ORDERS_SERVICE: OrderService(self.registries.registries_by_shard)}
        self.server = await serve_node(self.address, services)

    async def own(self, *shards):
        self.owned = list(shards)
        await self.registries.follow()


class TestOrdersOverRpc:
    def test_a_repeat_after_the_home_moved_gets_the_first_answer(self):
        async def scenario():
            cell = Cell()
            first, second = _Scheduler(cell, FIRST_ADDRESS), _Scheduler(cell, SECOND_ADDRESS)
            await first.serve()
            await second.serve()
            await first.own("a")
            owner = [FIRST_ADDRESS]
            peers = PeerConnections()
            registries = RpcOrderRegistry(peers, ["a"], lambda shard: owner[0])
            entry = cell.make_entry(orders=registries)
            answer = await entry.ask("order", key="k")
            assert answer.ran is Ran.YES
            entry.proxy.begin_stop()
            await entry.proxy.drained()
            await first.server.stop()
            await second.own("a")
            owner[0] = SECOND_ADDRESS
            repeat = await cell.make_entry("entry-2", orders=registries).ask("order", key="k")
            assert repeat.body == answer.body
            assert repeat.headers["idempotent-replayed"] == "true"
            assert len(cell.started()) == 1
            peers.close()
            await second.server.stop()

        run(scenario())

    def test_a_shard_without_home_or_owner_means_not_run(self):
        async def scenario():
            cell = Cell()
            scheduler = _Scheduler(cell, FIRST_ADDRESS)
            await scheduler.serve()
            peers = PeerConnections()
            for address in (FIRST_ADDRESS, SECOND_ADDRESS, None):
                registries = RpcOrderRegistry(peers, ["a"], lambda shard, found=address: found)
                answer = await cell.make_entry(orders=registries).ask("order", key="k")
                assert answer.ran is Ran.NO
            assert not cell.started()
            peers.close()
            await scheduler.server.stop()

        run(scenario())

    def test_a_lost_shard_is_no_longer_answered_for(self):
        async def scenario():
            cell = Cell()
            scheduler = _Scheduler(cell, FIRST_ADDRESS)
            await scheduler.own("a")
            registry = scheduler.registries.registries_by_shard["a"]
            await scheduler.own()
            claim = OrderClaim(OrderKey("b", "o", "k"), "c", "e", "d", 1.0)
            with pytest.raises(OrderRegistryUnreachableError):
                await registry.claim(claim)
            cell.store_faults.is_down = True
            await scheduler.own("a")
            assert not scheduler.registries.registries_by_shard
            cell.store_faults.is_down = False
            await scheduler.own("a")
            answer = await scheduler.registries.registries_by_shard["a"].claim(claim)
            assert answer.outcome is ClaimOutcome.FIRST

        run(scenario())
