import asyncio

import capnp
import pytest

from redwingplank.core import FakeClock
from redwingplank.platform import ListedVm, VmRole
from redwingplank.rpc import PeerConnections, PeerUnreachableError, RpcError
from redwingplank.runtime.operator import CellAddresses, OperatorSession, UnknownTargetError
from redwingplank.runtime.tests.test_membership import Cell, run, until
from redwingplank.standin.store import MemoryStore, MemoryStoreClient
from redwingplank.standin.vms import LaggingVmList, MemoryVmList


class FakeSchedulers:
    """Answers like a scheduler that knows the owner of the shard of failure domain d1."""

    def __init__(self):
        self.drained = []

    async def owners(self, address, timeout_s):
        return {"d1": ("owner:1", 3)}

    async def drain(self, address, vm, is_draining, timeout_s):
        self.drained.append((address, vm, is_draining))

    async def explain(self, address, shard, identifier, timeout_s):
        return (f"{identifier} at {address}",)


def make_session(cell, schedulers):
    addresses = CellAddresses("", "", cell.addresses_by_name, schedulers, 0.5)
    return OperatorSession(
        addresses, MemoryStoreClient(cell.store), MemoryVmList(cell.vms), PeerConnections()
    )


class TestOperatorSession:
    def test_status_shows_who_lags_and_who_does_not_answer(self):
        async def scenario():
            cell = Cell(["d1/a", "d1/b"])
            await cell.apply(1)
            await cell.start("d1/a")
            await cell.wait_for_revision(1, ["d1/a"])
            session = make_session(cell, {})
            first, second = await session.read_nodes()
            assert (first.name, first.lag(1), first.lag(3)) == ("d1/a", 0, 2)
            assert second.report is None and "cannot reach" in second.problem
            await session.close()
            await cell.stop("d1/a")

        run(scenario())

    def test_drain_goes_to_the_owner_or_to_an_entry_of_the_failure_domain(self):
        async def scenario():
            cell = Cell(["d1/a"])
            cell.vms.put(
                ListedVm("w", VmRole.WORKER, "d1", "r", "w:1"),
                ListedVm("u", VmRole.UPSTREAM, "d1", "r", "u:1"),
                ListedVm("e", VmRole.ENTRY, "d1", "r", "127.0.0.1:17599"),
            )
            await cell.start("d1/a")
            node = cell.nodes_by_name["d1/a"]
            await until(lambda: len(node.live_upstreams(0.0)) == 1)
            session = make_session(cell, {"d1/s": "s:1"})
            schedulers = session._schedulers = FakeSchedulers()
            assert "no new tasks" in await session.drain("w", True)
            assert schedulers.drained == [("owner:1", "w", True)]
            assert "no new requests" in await session.drain("u", True)
            assert node.live_upstreams(0.0) == ()
            for name, is_draining in (("u", False), ("e", True), ("x", True)):
                with pytest.raises(UnknownTargetError):
                    await session.drain(name, is_draining)
            assert await session.explain("d1.k7/0") == ("d1.k7/0 at owner:1",)
            with pytest.raises(UnknownTargetError):
                await session.explain("nonsense")
            await session.close()
            await cell.stop("d1/a")

        run(scenario())


class FakeMembership:
    """Takes words to entries, except those that cannot be reached."""

    def __init__(self, unreachable):
        self._unreachable = unreachable
        self.told = []

    async def mark(self, address, word, timeout_s):
        if address in self._unreachable:
            raise PeerUnreachableError(f"cannot reach {address}")
        self.told.append((address, word.vm))


class TestDrainOfAnUpstream:
    def drain(self, membership) -> str:
        async def scenario() -> str:
            vms = LaggingVmList(FakeClock())
            vms.put(ListedVm("u", VmRole.UPSTREAM, "d1", "r", "u:1"))
            entries = {"d1/a": "a:1", "d1/b": "b:1", "d2/c": "c:1"}
            addresses = CellAddresses("", "", entries, {}, 0.5)
            store = MemoryStoreClient(MemoryStore(FakeClock()))
            session = OperatorSession(addresses, store, MemoryVmList(vms), PeerConnections())
            session._membership = membership
            try:
                return await session.drain("u", True)
            finally:
                await session.close()

        return asyncio.run(capnp.run(scenario()))

    # Guards against an upstream that gets new requests after the drain was confirmed: the only
    # entry that had been told was killed before it told the others.
    def test_tells_every_entry_of_the_failure_domain(self):
        membership = FakeMembership(())
        self.drain(membership)
        assert sorted(membership.told) == [("a:1", "u"), ("b:1", "u")]

    # Guards against a confirmation for entries that were not told, now or because they start later.
    def test_names_the_entries_that_were_not_told(self):
        message = self.drain(FakeMembership(("a:1",)))
        assert "no new requests" in message
        assert "not told: d1/a" in message
        assert "start later" in message

    def test_without_any_entry_nothing_is_confirmed(self):
        with pytest.raises(RpcError):
            self.drain(FakeMembership(("a:1", "b:1")))
