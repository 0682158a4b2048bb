"""Changes of which the watches of a store say nothing, in virtual time.

Failure: a follower moves past a change that no answer has shown, and never learns of it.
"""

import asyncio

import pytest

from redwingplank.cell.follower import PrefixFollower
from redwingplank.cell.job_intake import INTAKE_WAIT_S
from redwingplank.cell.keys import (
    CANCELS_PREFIX,
    INTAKE_PREFIX,
    JOBS_PREFIX,
    OWNER_KEY,
    SYSTEM_PREFIX,
)
from redwingplank.cell.membership import WATCH_WAIT_S
from redwingplank.cell.tests.link_fixture import LinkedNode
from redwingplank.platform.site.store import Item, WatchPage
from redwingplank.standin.virtual_time import run_virtual

ID = "5c0e7a21d94b36f8"
HISTORY_S = 20
"""History of the users' store in seconds."""
DEAF_S = 1.0
"""Time for which a watch hears nothing while the store discards its history."""
FOLLOWED = [
    pytest.param(INTAKE_PREFIX, CANCELS_PREFIX + ID, INTAKE_WAIT_S, True, id="cancellation"),
    pytest.param(INTAKE_PREFIX, JOBS_PREFIX + ID, INTAKE_WAIT_S, True, id="job"),
    pytest.param(SYSTEM_PREFIX, OWNER_KEY, WATCH_WAIT_S, False, id="owner"),
]
"""Prefix, key, wait and urgency of what is followed."""


class Keys:
    """The keys that a follower has seen, and how often it has read its prefix."""

    def __init__(self, node: LinkedNode, prefix: str, wait_s: float, is_urgent: bool) -> None:
        self.seen: list[str] = []
        self.read_count = 0
        self.follower = PrefixFollower(
            node.context, prefix, wait_s, self._handle_read, self._take, is_urgent=is_urgent
        )

    def _handle_read(self, items: tuple[Item, ...]) -> None:
        self.read_count += 1
        self._take(items)

    def _take(self, items: tuple[Item, ...]) -> None:
        self.seen.extend(item.key for item in items)


async def be_deaf_while(node: LinkedNode, key: str) -> None:
    """Write a key while watches hear nothing."""
    node.client.is_deaf = True
    await asyncio.sleep(DEAF_S / 2)
    node.model.put(key, b"1")
    await asyncio.sleep(DEAF_S / 2)


class TestDeafWatch:
    """Pattern: watches hear nothing of a change, and their answers carry a later revision."""

    # Guards against a cancelled job that runs, a job that waits for ever and a free ownership that
    # nobody takes.
    @pytest.mark.parametrize("is_lossy", [False, True])
    @pytest.mark.parametrize("prefix, key, wait_s, is_urgent", FOLLOWED)
    def test_a_change_is_seen_some_time_later(
        self, monkeypatch, prefix, key, wait_s, is_urgent, is_lossy
    ):
        async def scenario() -> None:
            node = LinkedNode(monkeypatch, 1_000_000)
            keys = Keys(node, prefix, wait_s, is_urgent)
            node.tasks.start_loop(keys.follower.run)
            await asyncio.sleep(20.0)
            if is_lossy:
                node.context.store.last_lost_s = asyncio.get_running_loop().time()
            await be_deaf_while(node, key)
            # The watch that is waiting ends before it hears anything again.
            await asyncio.sleep(wait_s)
            node.client.is_deaf = False
            await asyncio.sleep(wait_s)
            await node.tasks.stop()
            assert keys.seen == [key]
            assert keys.read_count == 1

        run_virtual(scenario())


class TestPosition:
    # Guards against a prefix without changes that is read anew whenever the history has moved on.
    @pytest.mark.parametrize("prefix, key, wait_s, is_urgent", FOLLOWED)
    def test_stays_within_the_history(self, monkeypatch, prefix, key, wait_s, is_urgent):
        async def scenario() -> None:
            node = LinkedNode(monkeypatch, 1_000_000)
            keys = Keys(node, prefix, wait_s, is_urgent)
            node.tasks.start_loop(keys.follower.run)
            revisions = []
            for _ in range(90):
                revisions.append(node.model.put("servers/w0", b"1"))
                node.model.forgotten = revisions[max(0, len(revisions) - HISTORY_S)]
                await asyncio.sleep(1.0)
            node.model.put(key, b"1")
            await asyncio.sleep(0.1)
            await node.tasks.stop()
            assert keys.read_count == 1
            assert keys.seen == [key]

        run_virtual(scenario())

    # Guards against a call that was given up and counts as one that has found nothing.
    def test_is_not_confirmed_by_a_call_that_was_given_up(self, monkeypatch):
        async def scenario() -> None:
            node = LinkedNode(monkeypatch, 1_000_000)
            follower = Keys(node, INTAKE_PREFIX, INTAKE_WAIT_S, True).follower
            follower.revision = 5
            follower.handle_page(WatchPage((), 9))
            await asyncio.sleep(10.0)
            follower.handle_page(WatchPage((), 5))
            assert follower.revision == 5
            follower.handle_page(WatchPage((), 12))
            assert follower.revision == 9

        run_virtual(scenario())
