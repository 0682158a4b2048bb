"""Tests of the commands to workers, against a client that records them."""

import asyncio
from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from redwingplank.batch.model import StartAnswer, StartOutcome
from redwingplank.batch.runs import Run, RunState
from redwingplank.batch.tests.cells import make_cell, make_job, step
from redwingplank.cell import worker_commands
from redwingplank.cell.worker_commands import WorkerCommands
from redwingplank.platform.site.workers import FencedError

PROVEN_S = 100.0
LONG_PAUSE_S = 6.0


class RecordingWorkers:
    """Accepts every command and records its name."""

    def __init__(self) -> None:
        self.sent: list[str] = []
        self.broken_by_worker: Counter[str] = Counter()

    async def start(self, *_: Any) -> StartAnswer:
        self.sent.append("start")
        return StartAnswer(StartOutcome.STARTED)

    async def stop(self, *_: Any) -> bool:
        self.sent.append("stop")
        return True


class FencingWorkers:
    """Refuses every command as fenced, after an event."""

    def __init__(self, before: Callable[[], None]) -> None:
        self._before = before
        self.broken_by_worker: Counter[str] = Counter()

    async def start(self, *_: Any) -> StartAnswer:
        self._before()
        return StartAnswer(StartOutcome.FENCED)

    async def stop(self, *_: Any) -> bool:
        self._before()
        raise FencedError("w0")


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


class TestLeaseThatAProcessTook:
    # Guards against a start whose run may outlast the wait of a next owner.
    @pytest.mark.parametrize(("lease_s", "sent"), [(6.0, ["start"]), (8.0, [])])
    def test_holds_up_starts_while_it_outlasts_those_of_the_owner(self, monkeypatch, lease_s, sent):
        cell = make_cell(1)
        cell.submit(make_job("a", step(1), at_s=cell.now_s))
        cell.owner.tick(cell.now_s, cell.now_s)
        (run,) = cell.owner.state.jobs_by_id["a"].runs()
        now_s = cell.now_s
        run.worker.taken_until_ms = run.worker.clock_now_ms(now_s) + round(lease_s * 1000)
        workers = RecordingWorkers()
        context: Any = SimpleNamespace(workers=workers, log=lambda *_, **__: None)
        membership: Any = SimpleNamespace(proven_s=now_s)
        commands = WorkerCommands(context, membership, cell.owner, lambda: None)
        monkeypatch.setattr(worker_commands, "now_s", lambda: now_s)
        asyncio.run(commands.start(run))
        assert workers.sent == sent


class TestFencedCommand:
    """A worker that has received a higher token than that of a command refuses it."""

    def send(self, monkeypatch, name: str, *, has_restarted: bool) -> tuple[Any, Run, list[str]]:
        """Send a start or a stop, and return the reasons for which the ownership was given up."""
        cell = make_cell(1)
        cell.submit(make_job("a", step(1), at_s=cell.now_s))
        cell.owner.tick(cell.now_s, cell.now_s)
        (run,) = cell.owner.state.jobs_by_id["a"].runs()

        def restart() -> None:
            if has_restarted:
                run.worker.note_restart(run.worker.born_ms + 1, PROVEN_S)

        reasons: list[str] = []
        context: Any = SimpleNamespace(workers=FencingWorkers(restart), log=lambda *_, **__: None)
        membership: Any = SimpleNamespace(proven_s=PROVEN_S, give_up_ownership=reasons.append)
        commands = WorkerCommands(context, membership, cell.owner, lambda: None)
        monkeypatch.setattr(worker_commands, "now_s", lambda: PROVEN_S)
        asyncio.run(getattr(commands, name)(run))
        return cell.owner, run, reasons

    # Guards against an owner that goes on although the worker has heard of another one.
    @pytest.mark.parametrize("name", ["start", "stop"])
    def test_ends_the_ownership(self, monkeypatch, name):
        _, _, reasons = self.send(monkeypatch, name, has_restarted=False)
        assert reasons == ["fenced_by_worker"]

    # Guards against an owner that gives up as its own later token reached a restarted worker first.
    @pytest.mark.parametrize("name", ["start", "stop"])
    def test_of_a_former_process_does_not(self, monkeypatch, name):
        _, _, reasons = self.send(monkeypatch, name, has_restarted=True)
        assert reasons == []

    # Guards against a run that stays for ever after its start was refused to a former process.
    def test_of_a_former_process_was_not_carried_out(self, monkeypatch):
        owner, _, _ = self.send(monkeypatch, "start", has_restarted=True)
        assert owner.state.jobs_by_id["a"].runs() == []
