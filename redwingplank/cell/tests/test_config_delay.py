"""Time from a change of the configuration until a node has it in force, in virtual time."""

import asyncio

import pytest

from redwingplank.cell.tests.link_fixture import CONFIG_KEY, LinkedNode
from redwingplank.standin.virtual_time import run_virtual

LIMIT_S = 3.0
"""Time within which a confirmed change has to be in force at a node that reaches the store."""
OUTAGE_LIMIT_S = 3.0
"""Time after the end of a fault from which a node counts as reaching the store again."""
ROUTES = 900
VERSION_BYTES = 280_000
"""Bytes of an answer with one version of `ROUTES` routes, rounded."""


class TestNarrowLink:
    """Pattern: a large configuration, and a link that one version takes half a second to pass."""

    # Guards against repeated calls that share a narrow link until none of them ends in time.
    def test_a_burst_of_versions_after_a_lost_history_is_in_force_in_time(self, monkeypatch):
        async def scenario() -> None:
            node = LinkedNode(monkeypatch, bytes_per_s=2 * VERSION_BYTES, latency_s=0.24)
            node.configure(1)
            node.start()
            await node.until_version(1, LIMIT_S)
            node.configure(2, ROUTES)
            await node.until_version(2, LIMIT_S)
            node.model.forget_history()
            for version in range(3, 9):
                node.configure(version, ROUTES)
                await asyncio.sleep(0.5)
            node.client.latency_s = 0.004
            await node.until_version(8, LIMIT_S)
            await node.tasks.stop()

        run_virtual(scenario())

    # Guards against a link that is filled for ever after one change that was large.
    def test_the_link_carries_a_version_a_few_times_at_most(self, monkeypatch):
        async def scenario() -> None:
            node = LinkedNode(monkeypatch, bytes_per_s=VERSION_BYTES / 2, latency_s=0.24)
            node.configure(1, ROUTES)
            node.start()
            await node.until_version(1, 2 * LIMIT_S)
            await asyncio.sleep(10.0)
            node.configure(2, ROUTES)
            sent = node.link.bytes_sent
            await node.until_version(2, 2 * LIMIT_S)
            await asyncio.sleep(10.0)
            assert node.link.bytes_sent - sent < 3 * VERSION_BYTES
            await node.tasks.stop()

        run_virtual(scenario())


class TestOutage:
    """Pattern: the store gives no answer for some time, and the configuration changes meanwhile."""

    # Guards against a wait for a call that nobody will answer, after the store answers others.
    @pytest.mark.parametrize("outage_s", [2.6, 4.4, 6.5, 10.2])
    @pytest.mark.parametrize("has_keys", [True, False])
    def test_a_change_is_in_force_soon_after_the_end(self, monkeypatch, has_keys, outage_s):
        async def scenario() -> None:
            node = LinkedNode(monkeypatch, bytes_per_s=1e8)
            node.configure(1, keys=has_keys)
            node.start()
            await node.until_version(1, LIMIT_S)
            await asyncio.sleep(3.3)
            node.client.is_silent = True
            await asyncio.sleep(outage_s)
            node.configure(2, keys=has_keys)
            node.client.is_silent = False
            await node.until_version(2, OUTAGE_LIMIT_S)
            await node.tasks.stop()

        run_virtual(scenario())


class TestMissedChanges:
    """Pattern: a watch returns nothing although there was a change, and a position past it."""

    # Guards against a change that nobody sees, because an empty answer was taken for a proof.
    @pytest.mark.parametrize("has_keys", [True, False])
    def test_a_change_that_a_watch_left_out_is_found_by_the_next_one(self, monkeypatch, has_keys):
        async def scenario() -> None:
            node = LinkedNode(monkeypatch, bytes_per_s=1e8)
            node.configure(1, keys=has_keys)
            node.start()
            await node.until_version(1, LIMIT_S)
            await asyncio.sleep(7.3)
            node.client.is_deaf = True
            node.configure(2, keys=has_keys)
            await asyncio.sleep(1.5)
            node.client.is_deaf = False
            await node.until_version(2, LIMIT_S)
            await node.tasks.stop()

        run_virtual(scenario())

    # Guards against a position that stays behind for ever, so that watches ask for lost history.
    def test_a_position_that_is_proven_moves_on(self, monkeypatch):
        async def scenario() -> None:
            node = LinkedNode(monkeypatch, bytes_per_s=1e8)
            node.configure(1)
            node.start()
            await node.until_version(1, LIMIT_S)
            for _ in range(20):
                node.model.put("redwing/other", b"")
                await asyncio.sleep(1.0)
            assert node.watch.revision >= node.model.revision - 5
            node.model.forget_history()
            node.configure(2)
            await node.until_version(2, LIMIT_S)
            await node.tasks.stop()

        run_virtual(scenario())

    # Guards against an old version that comes into force because a newer one cannot be read.
    def test_the_newest_valid_version_of_several_is_in_force(self, monkeypatch):
        async def scenario() -> None:
            node = LinkedNode(monkeypatch, bytes_per_s=1e8)
            node.configure(1)
            node.start()
            await node.until_version(1, LIMIT_S)
            node.configure(2)
            node.configure(3)
            node.model.put(CONFIG_KEY, b'{"version":4,"routes":{}}')
            await node.until_version(3, LIMIT_S)
            in_force = [fields for event, fields in node.events if event == "config_in_force"]
            assert [fields["version"] for fields in in_force] == [1, 3]
            await node.tasks.stop()

        run_virtual(scenario())
