"""Tests of what a node tells of its memory."""

import os
from types import SimpleNamespace

import pytest

from redwingplank.cell.memory_watch import MemoryWatch
from redwingplank.cell.metrics import NodeMetrics

LIMIT_MIB = 300


@pytest.fixture
def node(tmp_path):
    events = []
    context = SimpleNamespace(
        settings=SimpleNamespace(memory_mb=LIMIT_MIB),
        metrics=NodeMetrics(),
        log=lambda event, **fields: events.append((event, fields)),
    )
    path = tmp_path / "statm"

    def check(resident_mib):
        path.write_text(f"1 {(resident_mib << 20) // os.sysconf('SC_PAGESIZE')} 0", "ascii")
        watch.check()

    watch = MemoryWatch(context, path)
    return SimpleNamespace(context=context, events=events, check=check, watch=watch)


class TestMemoryWatch:
    # Guards against a process that is killed for its memory, and whose log says nothing before.
    def test_logs_once_that_the_limit_is_near(self, node):
        for resident_mib in (100, 250, 260, 230, 250):
            node.check(resident_mib)
        assert node.events == [("memory_short", {"resident_mib": 250, "limit_mib": LIMIT_MIB})]

    def test_logs_that_there_is_enough_again(self, node):
        for resident_mib in (250, 200, 250):
            node.check(resident_mib)
        events = [event for event, _ in node.events]
        assert events == ["memory_short", "memory_enough", "memory_short"]

    def test_publishes_the_resident_size(self, node):
        node.check(123)
        assert b"redwing_resident_mib 123.0" in node.context.metrics.render()

    def test_tells_nothing_where_the_size_cannot_be_read(self, node):
        node.watch.check()
        assert node.events == []
