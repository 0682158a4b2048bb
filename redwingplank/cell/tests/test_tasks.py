"""Tests of the background tasks."""

import asyncio
from typing import Any

from redwingplank.cell import tasks
from redwingplank.cell.tasks import TaskSet


class RecordedContext:
    def __init__(self) -> None:
        self.events: list[str] = []

    def log(self, event: str, **_fields: Any) -> None:
        self.events.append(event)


class TestStartLoop:
    def test_a_loop_runs_again_after_an_unexpected_error(self, monkeypatch):
        monkeypatch.setattr(tasks, "RESTART_PAUSE_S", 0.0)
        calls = []

        async def fail_twice() -> None:
            calls.append(1)
            if len(calls) <= 2:
                raise KeyError("malformed")

        async def scenario(context: Any) -> None:
            await TaskSet(context).start_loop(fail_twice)

        context = RecordedContext()
        asyncio.run(scenario(context))
        assert len(calls) == 3
        assert context.events == ["task_failed", "task_failed"]

    def test_a_stopped_loop_does_not_run_again(self):
        calls = []

        async def wait_for_ever() -> None:
            calls.append(1)
            await asyncio.Event().wait()

        async def scenario() -> None:
            context: Any = RecordedContext()
            task_set = TaskSet(context)
            task_set.start_loop(wait_for_ever)
            await asyncio.sleep(0)
            await task_set.stop()
            await asyncio.sleep(0)

        asyncio.run(scenario())
        assert calls == [1]
