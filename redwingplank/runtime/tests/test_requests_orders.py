"""Tests of orders with an ``Idempotency-Key``: they run at most once, repeats get their outcome."""

import asyncio

import pytest

from redwingplank.core import FakeClock
from redwingplank.routing import Ran
from redwingplank.routing.orders import (
    ClaimOutcome,
    OrderBook,
    OrderClaim,
    OrderEnd,
    OrderKey,
    OrderRecord,
    OrderReport,
)
from redwingplank.runtime.order_log import KeyValueOrderLog, OrderExistsError
from redwingplank.runtime.orders import (
    OrderRegistry,
    OrderRegistryUnreachableError,
    ShardOrderRegistry,
)
from redwingplank.runtime.tests.requests_fixture import Cell, run, until
from redwingplank.standin.store import MemoryStoreClient
from redwingplank.standin.upstreams import UpstreamFault

KEY = OrderKey("bureau", "order", "k")


def claim(claim_id="c1", key=KEY, timeout_s=2.0) -> OrderClaim:
    return OrderClaim(key, claim_id, "entry-1", "digest", timeout_s)


def record(claim_id, key) -> OrderRecord:
    made = OrderBook().claim(0.0, claim(claim_id, OrderKey("bureau", "order", key)))
    assert isinstance(made, OrderRecord)
    return made


def is_answer_stored(cell) -> bool:
    entries = cell.store.read("orders/", True).entries
    return any(b"answered" in entry.value for entry in entries)


class _UnreachableRegistry(OrderRegistry):
    """A registry that cannot be reached."""

    async def query_order(self, claim):
        raise OrderRegistryUnreachableError("unreachable")

    async def claim(self, claim):
        raise OrderRegistryUnreachableError("unreachable")

    async def report(self, report):
        raise OrderRegistryUnreachableError("unreachable")


class _QueryOnlyRegistry(_UnreachableRegistry):
    """A registry that answers queries, but no claims and no reports."""

    def __init__(self, registry):
        self.registry = registry

    async def query_order(self, claim):
        return await self.registry.query_order(claim)


class TestRepeats:
    def test_a_repeat_through_another_entry_gets_the_first_answer(self):
        async def scenario():
            cell = Cell(upstream_count=2)
            await cell.home.start()
            first = await cell.make_entry("entry-1").ask("order", key="k")
            repeat = await cell.make_entry("entry-2").ask("order", key="k")
            assert (first.ran, repeat.ran) == (Ran.YES, Ran.YES)
            assert repeat.body == first.body
            assert repeat.headers["idempotent-replayed"] == "true"
            assert len(cell.started()) == 1

        run(scenario())

    def test_many_repeats_at_once_run_once(self):
        async def scenario():
            cell = Cell(upstream_count=2)
            await cell.home.start()
            cell.upstreams[0].service_time_s = cell.upstreams[1].service_time_s = 0.02
            entries = [cell.make_entry(f"entry-{number}") for number in range(3)]
            answers = await asyncio.gather(
                *(entry.ask("order", key="k") for entry in entries for _ in range(5))
            )
            assert {answer.body for answer in answers} == {b"bureau/notahane bar 1"}
            assert len(cell.started()) == 1

        run(scenario())

    def test_another_body_under_the_key_is_refused(self):
        async def scenario():
            cell = Cell()
            await cell.home.start()
            entry = cell.make_entry()
            await entry.ask("order", b"one", key="k")
            other = await entry.ask("order", b"two", key="k")
            assert (other.status, other.ran) == (422, Ran.NO)
            assert len(cell.started()) == 1

        run(scenario())

    def test_an_answer_too_long_to_keep_is_told_to_have_run(self):
        async def scenario():
            cell = Cell()
            cell.upstreams[0].answer_bytes = 100_000
            await cell.home.start()
            entry = cell.make_entry()
            first = await entry.ask("order", key="k")
            await first.body.aclose()
            repeat = await entry.ask("order", key="k")
            assert (repeat.status, repeat.ran) == (410, Ran.YES)
            assert len(cell.started()) == 1

        run(scenario())

    def test_an_idempotent_service_with_a_key_runs_at_most_once_too(self):
        async def scenario():
            cell = Cell(upstream_count=2)
            for upstream in cell.upstreams:
                upstream.standing_fault = UpstreamFault.CUT_AFTER_RUN
            await cell.home.start()
            answer = await cell.make_entry().ask("proof", key="k")
            assert answer.ran is Ran.UNKNOWN
            assert len(cell.started()) == 1

        run(scenario())


class TestUpstreamFaults:
    def test_an_order_that_may_have_run_stays_unknown(self):
        async def scenario():
            cell = Cell(upstream_count=2)
            for upstream in cell.upstreams:
                upstream.faults = [UpstreamFault.CUT_AFTER_RUN]
            await cell.home.start()
            entry = cell.make_entry()
            answers = [await entry.ask("order", key="k") for _ in range(3)]
            assert [answer.ran for answer in answers] == [Ran.UNKNOWN] * 3
            assert len(cell.started()) == 1

        run(scenario())

    def test_an_order_that_certainly_did_not_run_may_be_sent_again(self):
        async def scenario():
            cell = Cell()
            cell.upstreams[0].standing_fault = UpstreamFault.REFUSE
            await cell.home.start()
            entry = cell.make_entry()
            first = await entry.ask("order", key="k")
            cell.upstreams[0].standing_fault = None
            await until(lambda: len(cell.store.read("orders/", True).entries) == 0)
            second = await entry.ask("order", key="k")
            assert (first.ran, second.ran) == (Ran.NO, Ran.YES)
            assert len(cell.started()) == 1

        run(scenario())

    def test_a_caller_that_leaves_does_not_lose_the_answer(self):
        async def scenario():
            cell = Cell()
            cell.upstreams[0].service_time_s = 0.05
            await cell.home.start()
            entry = cell.make_entry()
            call = asyncio.create_task(entry.ask("order", key="k"))
            await until(lambda: cell.started())
            call.cancel()
            repeat = await entry.ask("order", key="k")
            assert (repeat.ran, repeat.body) == (Ran.YES, b"bureau/notahane bar 1")
            assert len(cell.started()) == 1

        run(scenario())


class TestHomes:
    def test_without_its_home_an_order_is_not_run(self):
        async def scenario():
            cell = Cell()
            answer = await cell.make_entry(orders=_UnreachableRegistry()).ask("order", key="k")
            assert (answer.status, answer.ran) == (503, Ran.NO)
            await cell.home.start()
            query_only = cell.make_entry(orders=_QueryOnlyRegistry(cell.home))
            answer = await query_only.ask("order", key="k")
            assert answer.ran is Ran.NO
            assert query_only.router.in_flight_count == 0
            assert not cell.started()

        run(scenario())

    def test_a_new_home_knows_the_orders_of_the_old_one(self):
        async def scenario():
            cell = Cell()
            await cell.home.start()
            first = await cell.make_entry().ask("order", key="k")
            await until(lambda: b"answered" in cell.store.read("orders/", True).entries[0].value)
            new_registry = cell.make_home()
            await new_registry.start()
            repeat = await cell.make_entry("entry-2", orders=new_registry).ask("order", key="k")
            assert repeat.body == first.body
            assert len(cell.started()) == 1

        run(scenario())

    def test_an_entry_that_dies_mid_order_leaves_it_unknown(self):
        async def scenario():
            cell = Cell()
            clock = FakeClock(1000.0)
            registry = ShardOrderRegistry(
                OrderBook(),
                KeyValueOrderLog(MemoryStoreClient(cell.store), "a"),
                clock,
                lambda: True,
            )
            await registry.start()
            assert (await registry.claim(claim("c1"))).outcome is ClaimOutcome.FIRST
            again = await registry.claim(claim("c2", timeout_s=0.01))
            assert again.outcome is ClaimOutcome.IN_PROGRESS
            clock.advance(3.1)
            for claim_id in ("c2", "c3"):
                assert (await registry.claim(claim(claim_id))).outcome is ClaimOutcome.UNKNOWN

        run(scenario())

    def test_asking_again_with_the_same_claim_gives_the_same_answer(self):
        async def scenario():
            cell = Cell()
            await cell.home.start()
            assert (await cell.home.claim(claim("c1"))).outcome is ClaimOutcome.FIRST
            new_registry = cell.make_home()
            await new_registry.start()
            assert (await new_registry.claim(claim("c1"))).outcome is ClaimOutcome.FIRST

        run(scenario())

    def test_of_two_homes_only_one_lets_an_order_run(self):
        async def scenario():
            cell = Cell()
            old, new = cell.make_home(), cell.make_home()
            await old.start()
            await new.start()
            outcomes = [
                (await old.claim(claim("c1", timeout_s=0.05))).outcome,
                (await new.claim(claim("c2", timeout_s=0.05))).outcome,
            ]
            assert outcomes.count(ClaimOutcome.FIRST) == 1

        run(scenario())

    def test_a_home_waits_for_an_order_that_another_home_let_run(self):
        async def scenario():
            cell = Cell()
            cell.upstreams[0].service_time_s = 0.05
            registries = [cell.make_home(), cell.make_home()]
            for registry in registries:
                await registry.start()
            entries = [
                cell.make_entry(f"entry-{n}", orders=registry)
                for n, registry in enumerate(registries)
            ]
            first = asyncio.create_task(entries[0].ask("order", key="k"))
            await until(lambda: cell.started())
            repeat = await entries[1].ask("order", key="k")
            assert (repeat.ran, repeat.body) == (Ran.YES, (await first).body)
            assert len(cell.started()) == 1

        run(scenario())

    def test_a_replaced_home_cannot_delete_the_record_of_a_later_claim(self):
        async def scenario():
            cell = Cell()
            old, new = cell.make_home(), cell.make_home()
            await old.start()
            await old.claim(claim("c1"))
            await new.start()
            await new.report(OrderReport(KEY, "c1", OrderEnd.NOT_RUN))
            assert (await new.claim(claim("c2"))).outcome is ClaimOutcome.FIRST
            with pytest.raises(OrderRegistryUnreachableError):
                await old.report(OrderReport(KEY, "c1", OrderEnd.NOT_RUN))
            third = cell.make_home()
            await third.start()
            assert (await third.claim(claim("c3", timeout_s=0.01))).outcome is (
                ClaimOutcome.IN_PROGRESS
            )

        run(scenario())


class TestAnswersThatHold:
    """What an entry says of an order holds for its repeats, whoever answers them."""

    # Guards against "not run" for an order that ran: its repeat is shed, or the registry of its key
    # gives no answer, and the process that was asked does not know the first run.
    @pytest.mark.parametrize(
        ("registry_kind", "told"),
        [
            ("unreachable", Ran.UNKNOWN),
            ("replaced", Ran.YES),
            ("replaced_and_cut_off", Ran.UNKNOWN),
        ],
    )
    def test_a_repeat_is_not_said_not_to_have_run(self, registry_kind, told):
        async def scenario():
            cell = Cell()
            replaced = cell.make_home(lambda: False)
            await replaced.start()
            await cell.home.start()
            first = await cell.make_entry().ask("order", key="k")
            await until(lambda: is_answer_stored(cell))
            cell.store_faults.is_down = registry_kind == "replaced_and_cut_off"
            registry = _UnreachableRegistry() if registry_kind == "unreachable" else replaced
            entry = cell.make_entry("entry-2", orders=registry)
            entry.router.set_upstreams(cell.clock.now_s(), ())
            repeat = await entry.ask("order", key="k")
            assert (first.ran, repeat.ran) == (Ran.YES, told)
            assert len(cell.started()) == 1

        run(scenario())

    # Guards against a claim that the present registry, which has read the log, does not know.
    def test_a_replaced_registry_grants_no_claim(self):
        async def scenario():
            cell = Cell()
            replaced = cell.make_home(lambda: False)
            await replaced.start()
            with pytest.raises(OrderRegistryUnreachableError):
                await replaced.claim(claim())
            assert not cell.store.read("orders/", True).entries

        run(scenario())

    # Guards against a second run after "ran: yes", whose record the next registry does not have:
    # the entry and the registry die before the report of the answer is stored.
    @pytest.mark.parametrize("is_reported", [True, False])
    def test_an_order_that_ran_does_not_run_again(self, is_reported):
        async def scenario():
            cell = Cell()
            await cell.home.start()
            if not is_reported:
                cell.home.report = _UnreachableRegistry().report
            first = await cell.make_entry().ask("order", key="k")
            assert first.ran is Ran.YES
            await until(lambda: not is_reported or is_answer_stored(cell))
            cell.home.stop()
            successor = cell.make_home()
            await successor.start()
            entry = cell.make_entry("entry-2", orders=successor)
            repeat = await entry.ask("order", key="k")
            assert repeat.ran is (Ran.YES if is_reported else Ran.UNKNOWN)
            assert len(cell.started()) == 1

        run(scenario())


class TestStore:
    def test_while_the_store_is_away_orders_are_not_run(self):
        async def scenario():
            cell = Cell()
            await cell.home.start()
            cell.store_faults.is_down = True
            entry = cell.make_entry()
            answer = await entry.ask("order", key="k")
            plain = await entry.ask("proof")
            assert (answer.ran, plain.ran) == (Ran.NO, Ran.YES)
            assert len(cell.started()) == 1
            cell.store_faults.is_down = False
            assert (await entry.ask("order", key="k")).ran is Ran.YES

        run(scenario())

    @pytest.mark.parametrize("lost", [1, 2])
    def test_a_lost_answer_of_the_store_is_settled_by_reading_back(self, lost):
        async def scenario():
            cell = Cell()
            await cell.home.start()
            cell.store_faults.answers_to_lose = lost
            answer = await cell.make_entry().ask("order", key="k")
            assert answer.ran is Ran.YES
            assert len(cell.started()) == 1

        run(scenario())

    def test_a_dropped_write_is_repeated_by_the_same_claim(self):
        async def scenario():
            cell = Cell()
            await cell.home.start()
            cell.store_faults.calls_to_drop = 1
            answer = await cell.make_entry().ask("order", key="k")
            assert answer.ran is Ran.YES
            assert len(cell.started()) == 1

        run(scenario())

    def test_many_orders_share_a_transaction(self):
        async def scenario():
            cell = Cell(upstream_count=8)
            await cell.home.start()
            claims = [
                claim(f"c{number}", OrderKey("bureau", "order", str(number)))
                for number in range(200)
            ]
            answers = await asyncio.gather(*(cell.home.claim(each) for each in claims))
            assert {answer.outcome for answer in answers} == {ClaimOutcome.FIRST}
            assert cell.store.calls_by_method["transact"] <= 5

        run(scenario())

    def test_one_taken_key_does_not_spoil_the_others_of_its_transaction(self):
        async def scenario():
            cell = Cell()
            log = KeyValueOrderLog(MemoryStoreClient(cell.store), "a", 1000.0)
            other = KeyValueOrderLog(MemoryStoreClient(cell.store), "a", 1000.0)
            records = [record(f"c{number}", str(number)) for number in range(3)]
            await other.create(record("x", "1"))
            results = await asyncio.gather(
                *(log.create(each) for each in records), return_exceptions=True
            )
            assert [type(result) for result in results] == [
                type(None),
                OrderExistsError,
                type(None),
            ]

        run(scenario())

    def test_expired_orders_are_deleted(self):
        async def scenario():
            cell = Cell()
            clock = FakeClock(0.0)
            log = KeyValueOrderLog(MemoryStoreClient(cell.store), "a", 1000.0)
            registry = ShardOrderRegistry(OrderBook(), log, clock, lambda: True)
            await registry.start()
            await registry.claim(claim("c1"))
            clock.advance(100_000.0)
            assert await registry.expire() == 1
            assert not cell.store.read("orders/", True).entries

        run(scenario())
