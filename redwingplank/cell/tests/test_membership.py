"""Election, renewal and resignation of owners while store calls fail, in virtual time."""

import asyncio
import enum
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from redwingplank.batch.fencing import next_epoch
from redwingplank.cell import context, follower, hedged_call, hedged_store, membership
from redwingplank.cell.context import StoreHealth
from redwingplank.cell.hedged_store import HedgedStore
from redwingplank.cell.keys import EPOCH_KEY, OWNER_KEY
from redwingplank.cell.membership import Membership
from redwingplank.cell.tasks import TaskSet
from redwingplank.cell.tests.link_fixture import Link, LinkClient
from redwingplank.platform.site.http import NoAnswerError, Reply
from redwingplank.platform.site.store import SiteStore
from redwingplank.standin.site_store import SiteStoreModel
from redwingplank.standin.virtual_time import run_virtual

OWNED_WITHIN_S = 3.0
"""Time within which a cell has an owner once the store answers again."""
OUTAGE_S = 4.5
NOTICED_WITHIN_S = 1.2
"""Time within which an owner learns that it was replaced, though its watch misses it."""
SLOW_ANSWER_S = 0.3
"""Time after which a slow store answers."""
ELECTION = 2
"""Number of the transaction by which a node wins: it registers by the one before."""
SLOW, FAST = 0.4, 1.0
MODULES_WITH_CLOCK = (context, follower, hedged_call, hedged_store, membership)

FIRST_EPOCH = next_epoch(0)
SECOND_EPOCH = next_epoch(FIRST_EPOCH)


class Answer(enum.Enum):
    """What becomes of a call of the store."""

    REFUSED = "refused"
    LOST = "carried out without an answer"
    DROPPED = "neither carried out nor answered"


class FaultyClient(LinkClient):
    """A link to the store on which calls fail from a chosen transaction on."""

    def __init__(self, model: SiteStoreModel, link: Link) -> None:
        super().__init__(model, link, latency_s=0.004)
        self.transactions = 0
        self.faulty_transaction: int | None = None
        """Number of the first transaction that fails, None for none."""
        self.fault = Answer.REFUSED
        self.is_down = False
        self.fails_reads_of_keys = False

    async def call(self, method: str, address: str, target: str, *args: Any, **values: Any) -> Any:
        if self.is_down:
            await asyncio.sleep(self.latency_s)
            return Reply(503, b"")
        return await super().call(method, address, target, *args, **values)

    async def _answer(self, target: str, body: bytes | None) -> Reply:
        now_s = asyncio.get_running_loop().time()
        self.model.expire(now_s)
        path = target.removeprefix("/-/")
        if path.startswith("kv-key") and self.fails_reads_of_keys:
            return Reply(503, b"")
        if path == "kv-txn":
            return await self._transact(target, body)
        if path == "kv-lease":
            lease = self.model.open_lease(msgspec.json.decode(body or b"")["ttl_ms"] / 1000, now_s)
            return Reply(200, msgspec.json.encode({"lease_id": lease}))
        if path.startswith("kv-keep/"):
            is_kept = self.model.renew(int(path.split("/")[1]), now_s)
            return Reply(200 if is_kept else 404, b"{}")
        return await super()._answer(target, body)

    async def _transact(self, target: str, body: bytes | None) -> Reply:
        self.transactions += 1
        if self.transactions != self.faulty_transaction:
            return await super()._answer(target, body)
        self.is_down = True
        if self.fault is Answer.LOST:
            await super()._answer(target, body)
        if self.fault is Answer.REFUSED:
            return Reply(503, b"")
        raise NoAnswerError("no answer")


class Cell:
    """Nodes that contend for the ownership over one store."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        loop = asyncio.get_running_loop()
        for module in MODULES_WITH_CLOCK:
            monkeypatch.setattr(module, "now_s", loop.time)
        monkeypatch.setattr(membership, "YIELD_AFTER_S", 0.5)
        self.model = SiteStoreModel()
        self.model.put("redwing/system/none", b"")
        self.link = Link(1e8)
        self.clients: list[FaultyClient] = []
        self.members: list[Membership] = []
        self.tasks: list[TaskSet] = []

    def add_node(self, core_share: float) -> tuple[Membership, FaultyClient]:
        name = f"n{len(self.members)}"
        client: Any = FaultyClient(self.model, self.link)
        node_context: Any = SimpleNamespace(
            settings=SimpleNamespace(
                name=name,
                peer_address=f"127.0.0.1:{9000 + len(self.members)}",
                failure_domain="a",
                core_share=core_share,
                store_lease_s=1.0,
            ),
            log=lambda *_, **__: None,
            is_stopping=False,
        )
        node_context.store = HedgedStore(SiteStore(client, "store", lambda *_: None))
        node_context.health = StoreHealth(node_context)
        member = Membership(node_context, lambda _: member.wake(), lambda _: member.wake())
        member.may_own = True
        tasks = TaskSet(node_context)
        for run in (
            member.keep_lease,
            member.prove_ownership,
            member.follow,
            member.contend_for_ownership,
        ):
            tasks.start_loop(run)
        self.members.append(member)
        self.clients.append(client)
        self.tasks.append(tasks)
        return member, client

    def owner(self) -> Membership | None:
        """Return the node whose ownership the store shows, None if there is none."""
        item = self.model.items.get(OWNER_KEY)
        incarnation = msgspec.json.decode(item.value)["incarnation"] if item else ""
        for member in self.members:
            if member.ownership is not None and member.incarnation == incarnation:
                return member
        return None

    async def until_owned(self, within_s: float = OWNED_WITHIN_S) -> Membership:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + within_s
        while (owner := self.owner()) is None:
            assert loop.time() < until_s, f"no owner after {within_s} s"
            await asyncio.sleep(0.01)
        return owner

    async def fail(self, client: FaultyClient, fault: Answer, number: int) -> None:
        """Let a node's transaction of this number from now on fail, and its calls after it."""
        client.fault = fault
        client.faulty_transaction = client.transactions + number

    async def until_down(self, client: FaultyClient) -> bool:
        """Return whether a transaction has failed within 6 s."""
        for _ in range(600):
            if client.is_down:
                return True
            await asyncio.sleep(0.01)
        return False

    async def stop(self) -> None:
        for tasks in self.tasks:
            await tasks.stop()


@pytest.mark.parametrize("fault", list(Answer))
class TestEveryAnswer:
    # Guards against a cell without an owner for good: the owner gave up, its key stayed, and its
    # lease was renewed on and on.
    @pytest.mark.parametrize("number", [1, 2])
    @pytest.mark.parametrize("outage_s", [0.0, 0.4, OUTAGE_S])
    def test_a_hand_over_that_fails_leaves_an_owner(self, monkeypatch, fault, number, outage_s):
        async def scenario() -> None:
            cell = Cell(monkeypatch)
            _, client = cell.add_node(SLOW)
            await cell.until_owned()
            await cell.fail(client, fault, number)
            cell.add_node(FAST)
            assert await cell.until_down(client) or number > 1
            await asyncio.sleep(outage_s)
            client.is_down = False
            client.faulty_transaction = None
            await cell.until_owned()
            await asyncio.sleep(2.0)
            assert cell.owner() is not None
            await cell.stop()

        run_virtual(scenario())

    # Guards against an election that was won without an answer and that nobody acts on.
    @pytest.mark.parametrize("number", [1, 2, 3])
    @pytest.mark.parametrize("outage_s", [0.0, 0.4, OUTAGE_S])
    def test_an_election_that_fails_ends_with_an_owner(self, monkeypatch, fault, number, outage_s):
        async def scenario() -> None:
            cell = Cell(monkeypatch)
            _, client = cell.add_node(FAST)
            await cell.fail(client, fault, number)
            await cell.until_down(client)
            await asyncio.sleep(outage_s)
            client.is_down = False
            client.faulty_transaction = None
            await cell.until_owned()
            await cell.stop()

        run_virtual(scenario())

    # Guards against a node that renews a lease to which its key was never attached.
    @pytest.mark.parametrize("outage_s", [0.0, 0.4, OUTAGE_S])
    def test_a_registration_that_fails_is_repeated(self, monkeypatch, fault, outage_s):
        async def scenario() -> None:
            cell = Cell(monkeypatch)
            cell.add_node(FAST)
            await cell.until_owned()
            _, client = cell.add_node(SLOW)
            await cell.fail(client, fault, 1)
            assert await cell.until_down(client)
            await asyncio.sleep(outage_s)
            client.is_down = False
            client.faulty_transaction = None
            await asyncio.sleep(OWNED_WITHIN_S)
            assert len(cell.members[0].nodes_by_name) == 2
            await cell.stop()

        run_virtual(scenario())


class TestGivenUpOwnership:
    # Guards against the same after an owner gave up for another reason, such as a worker that has
    # seen a higher token.
    @pytest.mark.parametrize("reason", ["fenced_by_worker", "another_owner_wrote"])
    def test_a_cell_has_an_owner_again(self, monkeypatch, reason):
        async def scenario() -> None:
            cell = Cell(monkeypatch)
            member, _ = cell.add_node(FAST)
            await cell.until_owned()
            epoch = member.latest_epoch
            member.give_up_ownership(reason)
            await cell.until_owned()
            assert member.latest_epoch != epoch
            await cell.stop()

        run_virtual(scenario())

    # Guards against an owner that takes back at once what it has handed over to a faster node.
    def test_a_faster_node_owns_after_a_hand_over(self, monkeypatch):
        async def scenario() -> None:
            cell = Cell(monkeypatch)
            cell.add_node(SLOW)
            await cell.until_owned()
            fast, _ = cell.add_node(FAST)
            await asyncio.sleep(5.0)
            assert cell.owner() is fast
            assert fast.latest_epoch is not None and fast.latest_epoch.number == SECOND_EPOCH
            await cell.stop()

        run_virtual(scenario())


class TestReplacedOwner:
    """Pattern: another node takes over, and the owner's watch does not tell."""

    async def replace(self, cell: Cell) -> Membership:
        """Let a second node take over from an owner whose watch misses changes."""
        owner, client = cell.add_node(FAST)
        await cell.until_owned()
        client.is_deaf = True
        successor, _ = cell.add_node(FAST)
        await asyncio.sleep(1.0)
        assert successor.owner is not None
        successor.take_over_from(successor.owner)
        while successor.ownership is None:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        return owner

    # Guards against an owner that was replaced and goes on commanding workers, as long as its lease
    # is renewed.
    def test_gives_up_although_its_lease_is_renewed(self, monkeypatch):
        async def scenario() -> None:
            cell = Cell(monkeypatch)
            owner = await self.replace(cell)
            await asyncio.sleep(NOTICED_WITHIN_S)
            assert owner.ownership is None
            await cell.stop()

        run_virtual(scenario())

    # Guards against a permission to command that only the renewal of the lease extends.
    def test_proves_no_ownership_by_renewals(self, monkeypatch):
        async def scenario() -> None:
            cell = Cell(monkeypatch)
            member, client = cell.add_node(FAST)
            await cell.until_owned()
            client.fails_reads_of_keys = True
            await asyncio.sleep(1.0)
            proven_s, renewed_s = member.proven_s, member.renewed_s
            await asyncio.sleep(2.0)
            assert member.renewed_s > renewed_s
            assert member.proven_s == proven_s
            await cell.stop()

        run_virtual(scenario())

    def test_proves_an_ownership_that_lasts(self, monkeypatch):
        async def scenario() -> None:
            cell = Cell(monkeypatch)
            member, _ = cell.add_node(FAST)
            await cell.until_owned()
            for _ in range(20):
                await asyncio.sleep(0.3)
                age_s = asyncio.get_running_loop().time() - member.proven_s
                assert age_s <= NOTICED_WITHIN_S
            await cell.stop()

        run_virtual(scenario())

    # Guards against a write that proved an earlier ownership and is counted for a later one.
    def test_counts_no_proof_of_an_earlier_ownership(self, monkeypatch):
        async def scenario() -> None:
            cell = Cell(monkeypatch)
            member, _ = cell.add_node(FAST)
            await cell.until_owned()
            earlier = member.ownership
            member.give_up_ownership("fenced_by_worker")
            await cell.until_owned()
            assert earlier is not None and member.ownership != earlier
            proven_s = member.proven_s
            member.record_proof(earlier, proven_s + 1.0)
            assert member.proven_s == proven_s
            await cell.stop()

        run_virtual(scenario())

    def test_the_epoch_of_a_successor_is_taken_over(self, monkeypatch):
        async def scenario() -> None:
            cell = Cell(monkeypatch)
            owner = await self.replace(cell)
            await asyncio.sleep(NOTICED_WITHIN_S)
            assert owner.latest_epoch is not None and owner.latest_epoch.number == SECOND_EPOCH
            assert owner.epoch_revision == cell.model.items[EPOCH_KEY].revision
            await cell.stop()

        run_virtual(scenario())


class TestTimeOfProof:
    """Pattern: answers of the store take long, or the answer to an election is lost."""

    # Guards against a proof that is dated to its answer: another node may own the jobs by then.
    def test_it_is_that_of_sending_the_call(self, monkeypatch):
        async def scenario() -> None:
            cell = Cell(monkeypatch)
            member, client = cell.add_node(FAST)
            client.latency_s = SLOW_ANSWER_S
            loop = asyncio.get_running_loop()
            proofs_s: list[float] = []
            for _ in range(500):
                await asyncio.sleep(0.01)
                if member.proven_s not in (float("-inf"), *proofs_s[-1:]):
                    proofs_s.append(member.proven_s)
                    assert loop.time() - member.proven_s >= SLOW_ANSWER_S
            assert len(proofs_s) >= 4
            await cell.stop()

        run_virtual(scenario())

    # Guards against a new owner that waits for a read before it may command workers.
    def test_an_election_that_was_answered_proves_the_ownership(self, monkeypatch):
        async def scenario() -> None:
            cell = Cell(monkeypatch)
            member, client = cell.add_node(FAST)
            client.fails_reads_of_keys = True
            await cell.until_owned()
            assert asyncio.get_running_loop().time() - member.proven_s < NOTICED_WITHIN_S
            await cell.stop()

        run_virtual(scenario())

    # Guards against an election that counts as proven when the view shows it, which may be old.
    def test_an_election_without_an_answer_proves_nothing(self, monkeypatch):
        async def scenario() -> None:
            cell = Cell(monkeypatch)
            member, client = cell.add_node(FAST)
            client.fails_reads_of_keys = True
            await cell.fail(client, Answer.LOST, ELECTION)
            assert await cell.until_down(client)
            assert OWNER_KEY in cell.model.items
            client.is_down = False
            await cell.until_owned()
            assert member.latest_epoch is not None and member.latest_epoch.number == FIRST_EPOCH
            assert member.proven_s == float("-inf")
            client.fails_reads_of_keys = False
            await asyncio.sleep(NOTICED_WITHIN_S)
            assert asyncio.get_running_loop().time() - member.proven_s < NOTICED_WITHIN_S
            await cell.stop()

        run_virtual(scenario())
