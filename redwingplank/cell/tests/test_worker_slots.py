"""Calls that are under way to one worker, in virtual time."""

import asyncio
from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest

from redwingplank.batch.model import StartAnswer, StartOutcome
from redwingplank.batch.runs import RunState
from redwingplank.batch.tests.cells import make_cell, make_job, step
from redwingplank.cell import worker_commands, worker_poller
from redwingplank.cell.tasks import TaskSet
from redwingplank.cell.worker_commands import WorkerCommands
from redwingplank.cell.worker_poller import WorkerPoller
from redwingplank.cell.worker_slots import (
    COMMAND_SLOTS,
    CONNECTIONS_PER_OWNER,
    LOST_OWNERS,
    WORKER_CONNECTIONS,
)
from redwingplank.platform.site.http import NoAnswerError
from redwingplank.standin.virtual_time import run_virtual

ANSWER_S = 0.005
TIMEOUT_S = 0.35
TASKS = 12


class Workers:
    """Workers that answer after `ANSWER_S`, or never."""

    def __init__(self) -> None:
        self.silent: set[str] = set()
        self.under_way: Counter[str] = Counter()
        self.most_under_way: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self.broken_by_worker: Counter[str] = Counter()

    async def start(self, worker, command, timeout_s) -> StartAnswer:
        is_answered = await self._call(worker, "start")
        return StartAnswer(StartOutcome.STARTED if is_answered else StartOutcome.UNKNOWN)

    async def stop(self, worker, task, attempt, token, timeout_s) -> bool:
        if not await self._call(worker, "stop"):
            raise NoAnswerError("no answer")
        return True

    async def poll(self, worker, token, noted, lease_until_ms, wait_ms):
        await self._call(worker, "poll")
        raise NoAnswerError("no answer")

    async def _call(self, worker, name: str) -> bool:
        self.calls[name] += 1
        self.under_way[worker.worker_id] += 1
        self.most_under_way |= self.under_way
        is_silent = worker.worker_id in self.silent
        await asyncio.sleep(TIMEOUT_S if is_silent else ANSWER_S)
        self.under_way[worker.worker_id] -= 1
        return not is_silent


class Owner:
    """An owner with planned starts, and the calls that it makes to its workers."""

    def __init__(self, monkeypatch, worker_count: int = 1, workers: Workers | None = None) -> None:
        loop = asyncio.get_running_loop()
        for module in (worker_commands, worker_poller):
            monkeypatch.setattr(module, "now_s", lambda: 101.0 + loop.time())
        self.workers = workers or Workers()
        cell = make_cell(worker_count)
        cell.submit(make_job("a", step(TASKS * worker_count, cpu=500), at_s=cell.now_s))
        commands = cell.owner.tick(cell.now_s, cell.now_s)
        records = cell.owner.pop_records(10)
        cell.owner.confirm_stored_records(records, cell.now_s)
        self.owner = cell.owner
        self.starts = [*commands.starts, *cell.owner.tick(cell.now_s, cell.now_s).starts]
        context: Any = SimpleNamespace(workers=self.workers, log=lambda *_, **__: None)
        membership: Any = SimpleNamespace(proven_s=float("inf"))
        self.commands = WorkerCommands(context, membership, cell.owner, lambda: None)
        self.tasks = TaskSet(context)
        self.poller = WorkerPoller(context, cell.owner, self.commands, self.tasks, lambda: None)

    async def start_all(self) -> float:
        """Send all planned starts; return the seconds until all have ended."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await asyncio.gather(*(self.commands.start(run) for run in self.starts))
        return loop.time() - started_s


class TestBudget:
    # Guards against owners that lost power and hold all connections of a worker between them.
    def test_leaves_room_for_owners_that_are_gone(self):
        assert CONNECTIONS_PER_OWNER * (LOST_OWNERS + 1) <= WORKER_CONNECTIONS
        assert COMMAND_SLOTS + 1 <= CONNECTIONS_PER_OWNER
        assert LOST_OWNERS >= 12

    def test_holds_for_starts_that_are_due_together(self, monkeypatch):
        async def scenario() -> None:
            owner = Owner(monkeypatch, worker_count=2)
            took_s = await owner.start_all()
            assert owner.workers.calls["start"] == 2 * TASKS
            assert set(owner.workers.most_under_way.values()) == {COMMAND_SLOTS}
            assert took_s == pytest.approx(TASKS / COMMAND_SLOTS * ANSWER_S)

        run_virtual(scenario())


class TestSilentWorker:
    # Guards against tasks that wait one after the other for a worker that answers no start.
    def test_starts_that_wait_there_are_given_back(self, monkeypatch):
        async def scenario() -> None:
            owner = Owner(monkeypatch)
            owner.workers.silent.add("w0")
            took_s = await owner.start_all()
            assert took_s == pytest.approx(TIMEOUT_S)
            assert owner.workers.calls["start"] == COMMAND_SLOTS
            left = owner.owner.state.jobs_by_id["a"].runs()
            assert len(left) == COMMAND_SLOTS
            assert all(run.state is RunState.STOPPING for run in left)

        run_virtual(scenario())

    # Guards against a run that is taken for not started, and started a second time elsewhere.
    def test_a_run_that_has_started_is_not_given_back(self, monkeypatch):
        async def scenario() -> None:
            owner = Owner(monkeypatch)
            started, *others = owner.starts[: COMMAND_SLOTS + 1]
            await owner.commands.start(started)
            owner.workers.silent.add("w0")
            await asyncio.gather(*(owner.commands.start(run) for run in [*others, started]))
            assert started.state is RunState.RUNNING
            assert started in owner.owner.state.jobs_by_id["a"].runs()

        run_virtual(scenario())

    def test_other_workers_are_not_delayed(self, monkeypatch):
        async def scenario() -> None:
            owner = Owner(monkeypatch, worker_count=2)
            owner.workers.silent.add("w0")
            await owner.start_all()
            states = Counter(
                run.worker.id
                for run in owner.owner.state.jobs_by_id["a"].runs()
                if run.state is RunState.RUNNING
            )
            assert states == {"w1": TASKS}

        run_virtual(scenario())

    # Guards against stops that are repeated faster than they time out, and pile up.
    def test_a_stop_that_is_under_way_is_not_sent_again(self, monkeypatch):
        async def scenario() -> None:
            owner = Owner(monkeypatch)
            await owner.start_all()
            owner.workers.silent.add("w0")
            run = owner.starts[0]
            await asyncio.gather(*(owner.commands.stop(run) for _ in range(5)))
            assert owner.workers.calls["stop"] == 1
            await owner.commands.stop(run)
            assert owner.workers.calls["stop"] == 2

        run_virtual(scenario())

    # Guards against polls at once that wait in a row for a worker that answers nothing.
    def test_polls_at_once_are_sent_once(self, monkeypatch):
        async def scenario() -> None:
            owner = Owner(monkeypatch)
            worker = owner.owner.state.workers_by_id["w0"]
            for _ in range(5):
                owner.poller.poll_now(worker)
            await asyncio.sleep(1.0)
            assert owner.workers.calls["poll"] == 1
            await owner.tasks.stop()

        run_virtual(scenario())
