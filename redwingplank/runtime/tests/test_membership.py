import asyncio

import capnp

from redwingplank.core import MonotonicClock
from redwingplank.membership import NodeIdentity
from redwingplank.platform import ListedVm, VmRole
from redwingplank.rpc import PeerConnections, serve_node
from redwingplank.rpc.membership_calls import MEMBERSHIP_SERVICE, MembershipCalls
from redwingplank.runtime.apply import apply_declarations
from redwingplank.runtime.declarations import DeclarationsFollower
from redwingplank.runtime.membership import MembershipNode
from redwingplank.standin.faults import Faults
from redwingplank.standin.loopback import find_free_address
from redwingplank.standin.store import MemoryStore, MemoryStoreClient
from redwingplank.standin.vms import LaggingVmList, MemoryVmList

FILES = "schema_version: 1\ntemplates: {{t: {{priority: {priority}}}}}"


def find_free_addresses(count):
    return [find_free_address() for _ in range(count)]


class Cell:
    """Nodes in one process that communicate over RPC on the loopback interface."""

    def __init__(self, names):
        self.clock = MonotonicClock()
        self.store = MemoryStore(self.clock)
        self.vms = LaggingVmList(self.clock)
        self.addresses_by_name = dict(zip(names, find_free_addresses(len(names)), strict=True))
        self.nodes_by_name = {}
        self.followers_by_name = {}
        self.revisions_by_name = {}
        self.parts_by_name = {}
        self.changed = asyncio.Condition()

    async def start(self, name, faults=None):
        domain, _, short_name = name.partition("/")
        address = self.addresses_by_name[name]
        peers = PeerConnections()
        node = MembershipNode(
            NodeIdentity(short_name, domain, address),
            MemoryVmList(self.vms),
            MembershipCalls(peers),
            self.clock,
            addresses_by_name=self.addresses_by_name,
            incarnation=len(self.parts_by_name) + 1,
        )
        revisions = self.revisions_by_name[name] = []
        follower = DeclarationsFollower(
            MemoryStoreClient(self.store, faults),
            lambda declarations: revisions.append(declarations.revision),
            self.clock,
            name=short_name,
            on_store_call=node.record_store_call,
        )
        node.attach_follower(follower)
        server = await serve_node(address, {MEMBERSHIP_SERVICE: node.server})
        await node.start()
        await follower.start()
        self.nodes_by_name[name] = node
        self.followers_by_name[name] = follower
        self.parts_by_name[name] = (node, follower, server, peers)

    async def stop(self, name):
        node, follower, server, peers = self.parts_by_name[name]
        await follower.stop()
        await node.stop()
        await server.stop()
        peers.close()

    async def stop_all(self):
        for name in self.addresses_by_name:
            await self.stop(name)

    async def apply(self, priority):
        files = {"a.yaml": FILES.format(priority=priority)}
        client = MemoryStoreClient(self.store)
        return await apply_declarations(client, files, 0.0, f"nonce-{priority}")

    async def wait_for_revision(self, revision, names=None):
        for name in names or self.addresses_by_name:
            await self.followers_by_name[name].wait_for_revision(revision)


def run(coroutine):
    async def bounded():
        async with asyncio.timeout(10):
            await coroutine

    asyncio.run(capnp.run(bounded()))


async def until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.01)


NAMES = ["d1/a", "d1/b", "d1/c", "d2/a2", "d2/b2"]


class TestNodesOverRpc:
    def test_changes_reach_every_node_by_its_own_watch(self):
        async def scenario():
            cell = Cell(NAMES)
            await cell.apply(1)
            for name in NAMES:
                await cell.start(name)
            await cell.wait_for_revision(1)
            await until(lambda: cell.store.calls_by_method["watch"] == len(NAMES))
            for priority in (2, 3):
                await cell.apply(priority)
                await cell.wait_for_revision(priority)
            assert all(revisions == [1, 2, 3] for revisions in cell.revisions_by_name.values())
            assert cell.store.calls_by_method["watch"] == len(NAMES)
            await cell.stop_all()

        run(scenario())

    def test_a_node_restarted_without_the_store_takes_up_the_revision_when_it_returns(self):
        async def scenario():
            cell = Cell(NAMES[:3])
            await cell.apply(1)
            for name in NAMES[:3]:
                await cell.start(name)
            await cell.wait_for_revision(1)
            await cell.stop("d1/b")
            faults = Faults(is_down=True)
            await cell.start("d1/b", faults)
            await until(lambda: len(cell.nodes_by_name["d1/b"].live_peers(0.0)) == 2)
            assert cell.followers_by_name["d1/b"].revision == 0
            faults.is_down = False
            await cell.wait_for_revision(1, ["d1/b"])
            await cell.stop_all()

        run(scenario())

    def test_an_upstreams_word_and_a_leaving_node_reach_the_others(self):
        async def scenario():
            cell = Cell(NAMES[:3])
            cell.vms.put(*(ListedVm(f"u{i}", VmRole.UPSTREAM, "d1", "r", "u") for i in range(2)))
            for name in NAMES[:3]:
                await cell.start(name)
            a, b, c = cell.nodes_by_name.values()
            await until(lambda: all(len(n.live_peers(0.0)) == 2 for n in (a, b, c)))
            await until(lambda: all(len(n.live_upstreams(0.0)) == 2 for n in (a, b, c)))
            b.mark_leaving("u0")
            c.leave()
            await until(lambda: all(len(n.live_upstreams(0.0)) == 1 for n in (a, b, c)))
            await until(lambda: all(len(n.live_peers(0.0)) == 1 for n in (a, b)))
            await cell.stop_all()

        run(scenario())

    def test_a_report_says_what_is_in_force(self):
        async def scenario():
            cell = Cell(NAMES[:1])
            await cell.apply(1)
            await cell.start("d1/a")
            await cell.wait_for_revision(1)
            await until(lambda: cell.followers_by_name["d1/a"].is_watching)
            peers = PeerConnections()
            calls = MembershipCalls(peers)
            report = await calls.status(cell.addresses_by_name["d1/a"], 2.0)
            assert (report.name, report.revision, report.is_watching) == ("a", 1, True)
            peers.close()
            await cell.stop_all()

        run(scenario())


class TestFollower:
    def test_it_reads_and_watches(self):
        async def scenario():
            clock = MonotonicClock()
            store = MemoryStore(clock)
            client = MemoryStoreClient(store)
            revisions = []
            follower = DeclarationsFollower(
                client, lambda declarations: revisions.append(declarations.revision), clock
            )
            await follower.start()
            for priority in (1, 2):
                files = {"a.yaml": FILES.format(priority=priority)}
                await apply_declarations(client, files, 0.0, f"n{priority}")
                await follower.wait_for_revision(priority)
            await follower.stop()
            assert revisions == [1, 2]

        run(scenario())
