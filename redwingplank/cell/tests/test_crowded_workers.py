"""Calls to a worker that accepts few connections, in virtual time."""

import asyncio

import pytest

from redwingplank.batch.model import PollReport, StartAnswer, StartOutcome
from redwingplank.cell.tests.test_worker_slots import ANSWER_S, TASKS, Owner, Workers
from redwingplank.cell.worker_slots import COMMAND_SLOTS, CROWDED_S
from redwingplank.platform.site.http import NoAnswerError
from redwingplank.standin.virtual_time import run_virtual

BORN_MS = 1


class CrowdedWorkers(Workers):
    """Workers that break every call beyond the number of connections that they accept."""

    def __init__(self, connections: int) -> None:
        super().__init__()
        self.connections = connections
        self.broken_count = 0

    async def start(self, worker, command, timeout_s) -> StartAnswer:
        if self._is_full(worker):
            return StartAnswer(StartOutcome.UNKNOWN)
        return await super().start(worker, command, timeout_s)

    async def stop(self, worker, task, attempt, token, timeout_s) -> bool:
        if self._is_full(worker):
            raise NoAnswerError("reset", is_broken=True)
        return await super().stop(worker, task, attempt, token, timeout_s)

    async def poll(self, worker, token, noted, lease_until_ms, wait_ms) -> PollReport:
        self.calls["poll"] += 1
        if self._is_full(worker):
            raise NoAnswerError("reset", is_broken=True)
        self.under_way[worker.worker_id] += 1
        await asyncio.sleep(wait_ms / 1000 + ANSWER_S)
        self.under_way[worker.worker_id] -= 1
        clock_ms = round(1000 * asyncio.get_running_loop().time())
        return PollReport(clock_ms, BORN_MS, (), ())

    def _is_full(self, worker) -> bool:
        is_full = self.under_way[worker.worker_id] >= self.connections
        if is_full:
            self.broken_count += 1
            self.broken_by_worker[worker.worker_id] += 1
        return is_full


class Crowd(Owner):
    """An owner whose worker accepts a number of connections, and waits in a poll of it."""

    def __init__(self, monkeypatch, connections: int) -> None:
        self.workers: CrowdedWorkers
        super().__init__(monkeypatch, workers=CrowdedWorkers(connections))
        self.worker = self.owner.state.workers_by_id["w0"]

    async def poll(self) -> None:
        """Poll until the polls wait at the worker."""
        self.poller.start_polling(self.worker)
        await asyncio.sleep(1.0)

    async def stop_until_accepted(self, run, for_s: float) -> bool:
        """Repeat a stop as the owner does; return whether the worker accepted it in time."""
        try:
            async with asyncio.timeout(for_s):
                while self.workers.calls["stop"] == 0:
                    await self.commands.stop(run)
                    await asyncio.sleep(0.25)
        except TimeoutError:
            return False
        return True


class TestCrowdedWorker:
    # Guards against a worker that answers polls and takes no command for the rest of the day, as
    # connections of owners that lost power leave this owner one.
    def test_takes_commands_over_the_connection_of_the_polls(self, monkeypatch):
        async def scenario() -> None:
            crowd = Crowd(monkeypatch, connections=1)
            await crowd.poll()
            assert await crowd.stop_until_accepted(crowd.starts[0], for_s=3.0)
            await crowd.tasks.stop()

        run_virtual(scenario())

    # Guards against starts that break one after the other on a worker that has one connection left.
    def test_breaks_few_calls(self, monkeypatch):
        async def scenario() -> None:
            crowd = Crowd(monkeypatch, connections=1)
            await crowd.poll()
            await crowd.stop_until_accepted(crowd.starts[0], for_s=3.0)
            broken = crowd.workers.broken_count
            await crowd.start_all()
            assert crowd.workers.calls["start"] == TASKS
            assert crowd.workers.broken_count == broken
            await crowd.tasks.stop()

        run_virtual(scenario())

    # Guards against polls that end with the first failed command, and a lease with them.
    def test_is_polled_meanwhile(self, monkeypatch):
        async def scenario() -> None:
            crowd = Crowd(monkeypatch, connections=1)
            await crowd.poll()
            await crowd.stop_until_accepted(crowd.starts[0], for_s=3.0)
            polls = crowd.workers.calls["poll"]
            await asyncio.sleep(CROWDED_S / 2)
            assert crowd.workers.calls["poll"] - polls >= CROWDED_S / 2
            await crowd.tasks.stop()

        run_virtual(scenario())

    # Guards against a worker that is slow to command for ever after one broken connection.
    def test_has_all_connections_again_after_a_while(self, monkeypatch):
        async def scenario() -> None:
            crowd = Crowd(monkeypatch, connections=1)
            await crowd.poll()
            await crowd.stop_until_accepted(crowd.starts[0], for_s=3.0)
            crowd.workers.connections = 64
            await asyncio.sleep(CROWDED_S + 1.0)
            took_s = await crowd.start_all()
            assert took_s == pytest.approx(TASKS / COMMAND_SLOTS * ANSWER_S)
            await crowd.tasks.stop()

        run_virtual(scenario())
