"""Reads and watches of a prefix over a link of limited bandwidth, in virtual time."""

import asyncio

from redwingplank.cell.follower import PrefixFollower
from redwingplank.cell.tests.link_fixture import LinkedNode
from redwingplank.platform.site.store import Item
from redwingplank.standin.virtual_time import run_virtual

PREFIX = "redwing/intake/"
JOBS = 700
JOB_BYTES = 1200
TOTAL_BYTES = 1_250_000
"""Bytes of the answers with all jobs, rounded up; they fill two pages."""
LINK_BYTES_PER_S = 300_000


class Jobs:
    """What a follower has seen of the stored jobs."""

    def __init__(self, node: LinkedNode, is_urgent: bool) -> None:
        self.values_by_key: dict[str, bytes | None] = {}
        self.follower = PrefixFollower(
            node.context, PREFIX, 1.5, self._take, self._take, is_urgent=is_urgent
        )

    def _take(self, items: tuple[Item, ...]) -> None:
        self.values_by_key |= {item.key: item.value for item in items}


def store_jobs(node: LinkedNode, prefix: str, count: int) -> None:
    for number in range(count):
        node.model.put(f"{PREFIX}{prefix}{number:04}", b"x" * JOB_BYTES)


class TestNarrowLink:
    """Pattern: more stored jobs than the link carries within the time-out of a call."""

    # Guards against a new owner that never finishes reading the stored jobs.
    def test_all_items_are_read_once(self, monkeypatch):
        async def scenario() -> None:
            node = LinkedNode(monkeypatch, LINK_BYTES_PER_S, latency_s=0.24)
            store_jobs(node, "old", JOBS)
            jobs = Jobs(node, is_urgent=True)
            async with asyncio.timeout(1.2 * TOTAL_BYTES / LINK_BYTES_PER_S):
                await jobs.follower.read()
            assert len(jobs.values_by_key) == JOBS
            assert node.link.bytes_sent < TOTAL_BYTES

        run_virtual(scenario())

    # Guards against a watch of new jobs that is cut off while they arrive, each time anew.
    def test_many_changes_at_once_arrive_while_answers_are_lost(self, monkeypatch):
        async def scenario() -> None:
            node = LinkedNode(monkeypatch, LINK_BYTES_PER_S, latency_s=0.24)
            jobs = Jobs(node, is_urgent=True)
            node.tasks.start_loop(jobs.follower.run)
            await asyncio.sleep(1.0)
            store_jobs(node, "new", JOBS)
            for _ in range(60):
                node.context.store.last_lost_s = asyncio.get_running_loop().time()
                await asyncio.sleep(0.1)
            assert len(jobs.values_by_key) == JOBS
            await node.tasks.stop()

        run_virtual(scenario())

    # Guards against changes that are lost because an error ended the loop while they were applied.
    def test_changes_are_passed_on_again_after_an_error(self, monkeypatch):
        async def scenario() -> None:
            node = LinkedNode(monkeypatch, LINK_BYTES_PER_S)
            seen: list[str] = []

            def take(items: tuple[Item, ...]) -> None:
                if items and not seen:
                    seen.append("failed")
                    raise ArithmeticError
                seen.extend(item.key for item in items)

            follower = PrefixFollower(node.context, PREFIX, 1.5, take, take)
            node.tasks.start_loop(follower.run)
            await asyncio.sleep(1.0)
            store_jobs(node, "new", 2)
            await asyncio.sleep(3.0)
            assert seen == ["failed", f"{PREFIX}new0000", f"{PREFIX}new0001"]
            await node.tasks.stop()

        run_virtual(scenario())
