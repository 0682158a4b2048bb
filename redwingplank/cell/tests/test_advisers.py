"""Calls of the advice service that fail are repeated through another node."""

import asyncio
from types import SimpleNamespace

import pytest

from redwingplank.batch.commands import AskAdvice
from redwingplank.batch.model import StepKey
from redwingplank.cell import advisers
from redwingplank.cell.advisers import Advisers
from redwingplank.cell.system_entries import NodeEntry
from redwingplank.platform.site.http import NotSentError


class World:
    """A node that cannot reach the advice service itself, and one peer."""

    def __init__(self, tickets_of_peer):
        self.asked = []
        self.answers = []
        self.tickets_of_peer = tickets_of_peer
        context = SimpleNamespace(
            settings=SimpleNamespace(name="own", failure_domain="a"),
            advice=SimpleNamespace(ask=self.ask_own),
            calls=SimpleNamespace(advise=self.ask_peer),
            log=lambda event, **fields: None,
        )
        membership = SimpleNamespace(nodes_by_name={"peer": NodeEntry("peer:1", "a")})
        self.advisers = Advisers(
            context, membership, lambda call, tickets: self.answers.append(tickets)
        )

    async def ask_own(self, step, workers, timeout_s):
        self.asked.append("own")
        raise NotSentError("cut")

    async def ask_peer(self, address, step, workers, timeout_s):
        self.asked.append("peer")
        return self.tickets_of_peer

    def ask(self, times):
        async def ask_repeatedly():
            for _ in range(times):
                step = SimpleNamespace(key=StepKey("job", 0, 0))
                await self.advisers.ask(AskAdvice(step, ("w",), 0.04, 2.0))

        asyncio.run(ask_repeatedly())


@pytest.fixture(autouse=True)
def stopped_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(advisers, "now_s", lambda: 100.0)


class TestFailure:
    def test_another_node_is_asked_next(self):
        world = World({"w": "ticket"})
        world.ask(3)
        assert world.asked == ["own", "peer", "peer"]
        assert world.answers == [None, {"w": "ticket"}, {"w": "ticket"}]

    def test_a_peer_without_an_answer_is_left_out_too(self, monkeypatch: pytest.MonkeyPatch):
        pauses = []

        async def pause(seconds):
            pauses.append(seconds)

        monkeypatch.setattr(advisers.asyncio, "sleep", pause)
        world = World(None)
        world.ask(3)
        assert world.asked == ["own", "peer", "own"]
        assert advisers.ALL_FAILED_PAUSE_S in pauses
