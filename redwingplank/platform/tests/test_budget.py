import asyncio
from typing import Any

import numpy as np
import pytest

from redwingplank.core import FakeClock
from redwingplank.platform import Put, UnavailableError
from redwingplank.platform.budget import (
    BudgetedStore,
    BudgetLimits,
    CallKind,
    StoreBudget,
    StorePurpose,
)
from redwingplank.standin.faults import Faults
from redwingplank.standin.store import MemoryStore, MemoryStoreClient

READ, WRITE = CallKind.READ, CallKind.WRITE
JOURNAL, LEASE = StorePurpose.JOURNAL, StorePurpose.LEASE


def make_budget(node_count=100, seed=1, **limits):
    return StoreBudget(BudgetLimits(**limits), node_count, np.random.default_rng(seed))


class TestShare:
    def test_a_node_gets_its_share_of_the_cells_writes(self):
        budget = make_budget(node_count=100)
        sent_at_s = []
        now_s = 0.0
        while now_s < 60.0:
            try:
                sent_at_s.append(now_s + budget.admit(now_s, WRITE, JOURNAL, "transact"))
            except UnavailableError:
                now_s += 0.1
        assert 60 * 3 - 1 <= len(sent_at_s) <= 60 * 3 + 12
        assert sent_at_s == sorted(sent_at_s)

    def test_leases_never_wait_but_use_up_the_others_share(self):
        budget = make_budget(node_count=300)
        for _ in range(20):
            assert budget.admit(0.0, WRITE, LEASE, "keep_alive") == 0.0
        with pytest.raises(UnavailableError, match="used up"):
            budget.admit(0.0, WRITE, JOURNAL, "transact")
        assert budget.admit(0.0, READ, JOURNAL, "range") == 0.0

    def test_a_flood_of_leases_stops_the_others_for_a_bounded_time(self):
        budget = make_budget(node_count=300)
        for _ in range(1000):
            budget.admit(0.0, WRITE, LEASE, "keep_alive")
        with pytest.raises(UnavailableError, match="used up"):
            budget.admit(0.0, WRITE, JOURNAL, "transact")
        assert budget.admit(12.0, WRITE, JOURNAL, "transact") <= 2.0

    def test_more_nodes_make_a_share_smaller(self):
        budget = make_budget(node_count=3)
        budget.set_node_count(300)
        admitted = 0
        with pytest.raises(UnavailableError):
            for _ in range(50):
                budget.admit(0.0, WRITE, JOURNAL, "transact")
                admitted += 1
        assert admitted <= 7


class TestBackoff:
    def test_grows_with_jitter_up_to_its_bound_and_ends_with_a_success(self):
        budget = make_budget()
        now_s, waits_s = 0.0, []
        for _ in range(12):
            budget.note_failure(now_s)
            failed_at_s = now_s
            while True:
                now_s += 0.01
                try:
                    budget.admit(now_s, READ, JOURNAL, "range")
                    break
                except UnavailableError:
                    continue
            waits_s.append(now_s - failed_at_s)
        assert waits_s[0] <= 0.21
        assert 4.0 <= max(waits_s) <= 8.1
        budget.note_success(now_s)
        assert budget.admit(now_s, READ, JOURNAL, "range") <= 0.06

    def test_calls_that_piled_up_go_at_the_nodes_rate_after_the_outage(self):
        budget = make_budget(node_count=100)
        budget.note_failure(0.0)
        budget.admit(100.0, WRITE, JOURNAL, "transact")
        budget.note_success(100.0)
        waits_s = [budget.admit(100.0, WRITE, JOURNAL, "transact") for _ in range(3)]
        assert waits_s == pytest.approx([1 / 3, 2 / 3, 1.0])

    def test_leases_are_tried_again_sooner(self):
        budget = make_budget()
        now_s = 0.0
        for _ in range(10):
            budget.note_failure(now_s)
            now_s += 10.0
        budget.note_failure(now_s)
        assert budget.admit(now_s + 0.51, WRITE, LEASE, "keep_alive") == 0.0
        with pytest.raises(UnavailableError, match="try again in"):
            budget.admit(now_s + 0.51, WRITE, JOURNAL, "transact")

    def test_no_stampede_of_135_nodes_at_the_return_after_ten_minutes(self):
        budgets = [make_budget(135, seed) for seed in range(135)]
        arrivals_s = []
        for budget in budgets:
            now_s = 0.0
            while now_s < 610.0:
                try:
                    wait_s = budget.admit(now_s, READ, JOURNAL, "range")
                except UnavailableError:
                    now_s += 0.05
                    continue
                if now_s + wait_s < 600.0:
                    budget.note_failure(now_s)
                else:
                    arrivals_s.append(now_s + wait_s)
                    budget.note_success(now_s)
                    break
                now_s += 0.05
        assert len(arrivals_s) == 135
        per_second = np.histogram(arrivals_s, bins=np.arange(600.0, 612.0))[0]
        assert per_second.max() <= 60


class TestBudgetedStore:
    def test_counts_each_call_and_a_waiting_watch_as_one(self):
        async def scenario():
            clock = FakeClock()
            memory = MemoryStore(clock)
            budget = make_budget(1)
            store = BudgetedStore(MemoryStoreClient(memory), budget, clock)
            await store.transact((), (Put("a", b"1"),))
            await store.range("a")
            lease_id = await store.with_purpose(LEASE).grant_lease(3.0)
            await store.keep_alive(lease_id)
            await store.revoke_lease(lease_id)
            watch: Any = store.watch("a", 1)
            batch = await anext(watch)
            waiting = budget.open_watches
            await watch.aclose()
            return budget, batch, waiting

        budget, batch, waiting = asyncio.run(scenario())
        assert batch.events[0].key == "a"
        assert (waiting, budget.open_watches) == (1, 0)
        assert budget.calls_by_method == {
            "transact": 1,
            "range": 1,
            "grant_lease": 1,
            "keep_alive": 1,
            "revoke_lease": 1,
            "watch": 1,
        }

    def test_a_failing_store_is_not_called_while_it_is_backed_off(self):
        async def scenario():
            clock = FakeClock()
            memory = MemoryStore(clock)
            faults = Faults(is_down=True)
            store = BudgetedStore(MemoryStoreClient(memory, faults), make_budget(1), clock)
            for _ in range(50):
                with pytest.raises(UnavailableError):
                    await store.range("a")
            calls_when_down = memory.calls_by_method["range"]
            faults.is_down = False
            clock.advance(8.0)
            await store.range("a")
            return calls_when_down

        assert asyncio.run(scenario()) == 1

    def test_a_call_over_the_share_waits_its_turn(self):
        waits_s = []

        async def sleep(delay_s):
            waits_s.append(delay_s)

        async def scenario():
            clock = FakeClock()
            client = MemoryStoreClient(MemoryStore(clock))
            store = BudgetedStore(client, make_budget(100), clock, JOURNAL, sleep)
            for _ in range(6):
                await store.transact((), (Put("a", b"1"),))

        asyncio.run(scenario())
        assert waits_s == pytest.approx([1 / 3, 2 / 3])
