import asyncio

import numpy as np

from redwingplank.runtime.lease_loop import ShardLeaseLoop
from redwingplank.runtime.tests.step_clients import CallFault, StepStore, make_steps
from redwingplank.scheduling.messages import OwnershipMode
from redwingplank.scheduling.ownership import LeaseSettings, ShardOwnership, decode_owner
from redwingplank.standin.store import MemoryStore, MemoryStoreClient
from redwingplank.standin.virtual_time import VirtualClock, run_virtual


class SlowAnswers(StepStore):
    """Delays the answer to each renewal by 0.9 s after it took effect."""

    async def keep_alive(self, lease_id):
        remaining_s = await self.inner.keep_alive(lease_id)
        await asyncio.sleep(0.9)
        return remaining_s


class Candidate:
    """A lease loop without the rest of a scheduler process."""

    def __init__(self, store, name, wrap=StepStore, faults_by_call=None, rate=1.0, **settings):
        self.clock = VirtualClock(rate=rate)
        self.steps = make_steps(faults_by_call)
        self.ownership = ShardOwnership(
            LeaseSettings(**settings), name, np.random.default_rng(len(name)), self.clock.now_s()
        )
        client = MemoryStoreClient(store)
        client.faults.is_watch_silent = True
        self.faults = client.faults
        nonces = iter(f"{name}{number}" for number in range(100))
        self.loop = ShardLeaseLoop(
            wrap(client, self.steps),
            self.ownership,
            "s",
            self.clock,
            lambda: next(nonces),
            lambda: None,
        )
        self.task = asyncio.create_task(self.loop.run())

    @property
    def is_owning(self):
        return self.ownership.mode(self.clock.now_s()) is OwnershipMode.OWNING


def owner_nonce(store):
    entries = store.read("shards/s/owner", is_prefix=False).entries
    return decode_owner(entries[0].value).nonce if entries else ""


class TestElection:
    def test_a_win_whose_answer_was_lost_is_found_at_once(self):
        async def scenario():
            store = MemoryStore(VirtualClock())
            transaction = 3
            candidate = Candidate(store, "a", faults_by_call={transaction: CallFault.ANSWER_LOST})
            await asyncio.sleep(0.5)
            assert candidate.steps.names[transaction] == "transact"
            assert candidate.is_owning
            assert candidate.ownership.term.epoch == 1

        run_virtual(scenario())

    def test_an_owner_that_wrote_its_key_again_is_not_replaced(self):
        """The owner's key is absent when a candidate reads it, and present when it writes."""

        async def scenario():
            store = MemoryStore(VirtualClock())
            first = Candidate(store, "a")
            await asyncio.sleep(0.5)
            store.revoke_lease(first.ownership.term.lease_id)
            second = Candidate(store, "bbbb", jitter_s=3.0)
            await asyncio.sleep(0.05)
            assert second.ownership.next_action(0.0).kind == "acquire"
            await asyncio.sleep(5.0)
            assert first.is_owning and not second.is_owning
            assert owner_nonce(store) == "a0"
            assert first.ownership.term.epoch == 1

        run_virtual(scenario())


class TestRenewal:
    def test_slow_answers_do_not_lengthen_the_lease(self):
        """The owner stops before its key expires in the store, so that no other owner overlaps."""

        async def scenario():
            store = MemoryStore(VirtualClock())
            owner = Candidate(store, "a", wrap=SlowAnswers)
            await asyncio.sleep(5.0)
            owner.faults.is_down = True
            while owner.is_owning:
                assert owner_nonce(store) == "a0", "the owner outlived its lease"
                await asyncio.sleep(0.01)

        run_virtual(scenario())

    def test_clocks_of_other_rates_do_not_lengthen_the_lease(self):
        async def scenario(rate):
            store = MemoryStore(VirtualClock())
            owner = Candidate(store, "a", rate=rate, clock_margin_s=0.0)
            await asyncio.sleep(5.0)
            owner.faults.is_down = True
            while owner.is_owning:
                assert owner_nonce(store) == "a0", "the owner outlived its lease"
                await asyncio.sleep(0.001)

        for rate in (0.99, 1.01):
            run_virtual(scenario(rate))
