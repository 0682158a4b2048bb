import asyncio
from typing import Any

from redwingplank.core import FakeClock
from redwingplank.platform import Put
from redwingplank.standin.store import MemoryStore, MemoryStoreClient


class TestWatch:
    def test_a_change_at_the_moment_of_waiting_is_delivered(self):
        async def scenario():
            store = MemoryStore(FakeClock())
            watch: Any = MemoryStoreClient(store).watch("a", 1)
            batch = asyncio.ensure_future(anext(watch))
            await asyncio.sleep(0)
            store.transact((), (Put("a", b"1"),))
            async with asyncio.timeout(5):
                return (await batch).events[0].key

        assert asyncio.run(scenario()) == "a"

    def test_a_change_during_a_slow_delivery_is_not_skipped(self):
        async def scenario():
            store = MemoryStore(FakeClock())
            client = MemoryStoreClient(store)
            client.faults.delay_s = 0.01
            watch: Any = client.watch("a", 1)
            store.transact((), (Put("a", b"1"),))
            first = asyncio.ensure_future(anext(watch))
            await asyncio.sleep(0.015)
            store.transact((), (Put("a", b"2"),))
            async with asyncio.timeout(5):
                batches = [await first, await anext(watch)]
            return [event.entry.value for batch in batches for event in batch.events]

        assert asyncio.run(scenario()) == [b"1", b"2"]
