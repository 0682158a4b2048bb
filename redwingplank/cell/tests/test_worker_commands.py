"""Tests of the commands to workers, against a client that records them."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from redwingplank.batch.entities import Run, RunState
from redwingplank.batch.model import StartOutcome
from redwingplank.batch.tests.cells import make_cell, make_job, step
from redwingplank.cell import worker_commands
from redwingplank.cell.worker_commands import WorkerCommands

PROVEN_S = 100.0
LONG_PAUSE_S = 6.0


class RecordingWorkers:
    """Accepts every command and records its name."""

    def __init__(self) -> None:
        self.sent: list[str] = []

    async def start(self, *_: Any) -> StartOutcome:
        self.sent.append("start")
        return StartOutcome.STARTED

    async def stop(self, *_: Any) -> bool:
        self.sent.append("stop")
        return True


class TestPausedOwner:
    """Pattern: a process is paused for seconds, and goes on with a command it was about to send."""

    def make_run(self) -> tuple[Any, Run]:
        cell = make_cell(1)
        cell.submit(make_job("a", step(1), at_s=cell.now_s))
        cell.owner.tick(cell.now_s, cell.now_s)
        (run,) = cell.owner.state.jobs_by_id["a"].runs()
        return cell.owner, run

    def make_commands(self, owner: Any, workers: RecordingWorkers) -> WorkerCommands:
        context: Any = SimpleNamespace(workers=workers, log=lambda *_, **__: None)
        membership: Any = SimpleNamespace(proven_s=PROVEN_S)
        return WorkerCommands(context, membership, owner, lambda: None)

    @pytest.mark.parametrize(
        ("pause_s", "sent"), [(0.5, ["start", "stop"]), (LONG_PAUSE_S, [])], ids=["short", "long"]
    )
    def test_sends_nothing_on_a_permission_that_ran_out(self, monkeypatch, pause_s, sent):
        owner, run = self.make_run()
        workers = RecordingWorkers()
        commands = self.make_commands(owner, workers)
        monkeypatch.setattr(worker_commands, "now_s", lambda: PROVEN_S + pause_s)
        asyncio.run(commands.start(run))
        asyncio.run(commands.stop(run))
        assert workers.sent == sent

    def test_the_command_that_was_not_sent_leaves_nothing_behind(self, monkeypatch):
        owner, run = self.make_run()
        commands = self.make_commands(owner, RecordingWorkers())
        monkeypatch.setattr(worker_commands, "now_s", lambda: PROVEN_S + LONG_PAUSE_S)
        assert run.state is RunState.PLANNED
        asyncio.run(commands.start(run))
        assert owner.state.jobs_by_id["a"].runs() == []
        assert not owner.next_poll(run.worker, PROVEN_S, leases_until_s=None).lease_until_ms
