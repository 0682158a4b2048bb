"""Stand-in workers that record what they do, and their faults."""

import asyncio
import random
from contextvars import ContextVar
from typing import Any

import msgspec

from redwingplank.standin.site_workers import SiteWorkerModel
from tools.soak.asgi import Receive, Send, drop, read_body, replay, wait_for_disconnect
from tools.soak.history import History, RunEnd, RunStart
from tools.soak.payload import Payload

__all__ = ["LONGEST_LEASE_S", "FaultyWorker", "RecordingWorker"]

START_PATH = "/-/run-start"
LATE_PATHS = (START_PATH, "/-/run-stop", "/-/hold")
"""Paths of the calls that may be carried out late."""
LONGEST_LEASE_S = 10.0
"""`hold_max_ms` of tokachi-polish."""
MAX_FAILED_S = 1.0
"""Longest time until a run that is to fail does so."""

_arrived_s: ContextVar[float] = ContextVar("arrived_s")
"""Time at which the call that is carried out arrived, if that is earlier."""


class RecordingWorker(SiteWorkerModel):
    """A worker that records what it does.

    Parameters
    ----------
    name : str
        Id of the worker.
    history : History
        Receives the records.
    run_s : float
        Run time in seconds of tasks whose payload gives none.
    rng : random.Random, optional
        Selects the runs that fail.
    """

    def __init__(
        self, name: str, history: History, run_s: float, rng: random.Random | None = None
    ) -> None:
        super().__init__(run_s=run_s, longest_lease_s=LONGEST_LEASE_S)
        self.name = name
        self.failing_share = 0.0
        """Share of the runs that fail."""
        self.is_down = False
        """Whether the process is gone, so that it begins nothing."""
        self.former_token = 0
        """Highest token that any earlier process has received."""
        self.former_blocked: dict[str, int] = {}
        """Highest attempt of each task that ended or was stopped in an earlier process."""
        self._history = history
        self._now_s = 0.0
        self._rng = rng or random.Random(0)
        self._not_counted: set[int] = set()
        """Numbers of completions after which the lease lapsed: noting them binds nobody."""
        self._failing: set[str] = set()
        """Tasks whose run is to end ``failed``."""
        self._saving: dict[str, tuple[Payload, float]] = {}
        """By task, what its run saves, and the time at which it would have begun from nothing."""

    @property
    def seen_s(self) -> float:
        """Time of the last call of `advance`, in seconds."""
        return self._now_s

    @property
    def incarnation(self) -> str:
        """Id and incarnation of the worker, ``"w0/1"``."""
        return f"{self.name}/{self.born_ms}"

    def start(self, body: dict[str, Any], now_s: float) -> tuple[int, str]:
        """Handle a start command, and record a run that begins."""
        if self.is_down:
            return 503, ""
        count = len(self.starts)
        answer = super().start(body, now_s)
        if len(self.starts) > count:
            self._history.add_start(self._make_record(body, now_s))
            self._set_run_time(body, now_s)
        return answer

    def _make_record(self, body: dict[str, Any], now_s: float) -> RunStart:
        return RunStart(
            task=body["task"],
            attempt=body["attempt"],
            worker=self.incarnation,
            at_s=now_s,
            arrived_s=_arrived_s.get(now_s),
            spec=body["spec"],
            checkpoint=body.get("checkpoint", ""),
            token=body.get("fencing_token", 0),
        )

    def _set_run_time(self, body: dict[str, Any], now_s: float) -> None:
        """Let a run take as long as its payload says, less what its checkpoint has saved."""
        task, payload = body["task"], Payload.parse(body["spec"])
        if payload is None:
            return
        began_s = now_s - payload.saved_s(body.get("checkpoint", ""))
        ends_s = began_s + payload.run_s
        self._saving[task] = (payload, began_s)
        self._failing.discard(task)
        if self._rng.random() < self.failing_share:
            self._failing.add(task)
            ends_s = min(ends_s, now_s + self._rng.uniform(0.0, MAX_FAILED_S))
        self.runs[task] = (body["attempt"], ends_s)

    def advance(self, now_s: float) -> None:
        """End runs that are over, and note a lapse of the lease."""
        self._now_s = now_s
        super().advance(now_s)
        if self.clock_ms(now_s) > self.lease_until_ms:
            self._not_counted.update(end[0] for end in self.ends)

    def crash(self, born_ms: int) -> None:
        """Restart the process; runs, completions and fencing tokens are lost."""
        for task, (attempt, _) in self.runs.items():
            end = RunEnd(task, attempt, self.incarnation, self._now_s, "crashed")
            self._history.add_end(end)
        self._not_counted.clear()
        self._failing.clear()
        self._saving.clear()
        self.former_token = max(self.former_token, self.token)
        for task, attempt in self.blocked.items():
            self.former_blocked[task] = max(attempt, self.former_blocked.get(task, 0))
        super().crash(born_ms)

    def was_refused_before(self, body: dict[str, Any]) -> bool:
        """Return whether an earlier process would have refused a start for good."""
        is_fenced = body.get("fencing_token", 0) < self.former_token
        return is_fenced or body["attempt"] <= self.former_blocked.get(body["task"], 0)

    def handle_poll(self, body: dict[str, Any], now_s: float) -> tuple[int, str]:
        """Handle a poll, and record the completions that it acknowledges."""
        before = list(self.ends)
        answer = super().handle_poll(body, now_s)
        kept = {end[0] for end in self.ends}
        for number, task, attempt, how, _ in before:
            if number not in kept and how == "done" and number not in self._not_counted:
                self._history.acknowledged.add((self.incarnation, task, attempt))
        return answer

    def report(self, now_s: float) -> dict[str, Any]:
        """Return the report of a poll, with the checkpoints of the running tasks."""
        report = super().report(now_s)
        for row in report["running"]:
            row[2] = self._save(row[0], now_s)
        return report

    def _save(self, task: str, now_s: float, *, is_stopped: bool = False) -> str:
        """Return the newest checkpoint of a task, empty if it saves none."""
        if task not in self._saving:
            return ""
        payload, began_s = self._saving[task]
        checkpoint = payload.checkpoint(task, now_s - began_s, is_stopped=is_stopped)
        if checkpoint:
            self._history.checkpoints_by_task[task].add(checkpoint)
        return checkpoint

    def _end_run(self, task: str, how: str) -> None:
        attempt, ends_s = self.runs[task]
        at_s = self._now_s
        if how != "stopped":
            at_s = min(at_s, ends_s, self.lease_until_s)
        if how == "done" and task in self._failing:
            how = "failed"
        self._history.add_end(RunEnd(task, attempt, self.incarnation, at_s, how))
        super()._end_run(task, how)
        self.ends[-1][4] = self._save(task, at_s, is_stopped=how == "stopped")
        self._saving.pop(task, None)


class FaultyWorker:
    """ASGI middleware: calls that a worker carries out late, without an answer.

    A process that has restarted under its id carries out what was meant for the one before it. It
    does not carry out a late start that the earlier process was told to refuse: a worker that
    forgets this may run any task again before an owner hears of it, and no owner can prevent that.

    Parameters
    ----------
    app : ASGI application
        The worker.
    worker : RecordingWorker
        The same worker's state: a process that is down carries out nothing.
    rng : random.Random
        Selects the calls.
    """

    def __init__(self, app: Any, worker: RecordingWorker, rng: random.Random) -> None:
        self._app = app
        self._worker = worker
        self._rng = rng
        self.late_share = 0.0
        """Share of the calls that are carried out late."""
        self.late_s = (0.0, 0.0)
        """Shortest and longest time until then, in seconds."""
        self.late_calls = 0
        """Number of calls that are still to be carried out."""

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Handle one call of a node."""
        is_late = scope["path"] in LATE_PATHS and self._rng.random() < self.late_share
        if not is_late:
            await self._app(scope, receive, send)
            return
        body = await read_body(receive)
        await self._run_late(scope, body, self._rng.uniform(*self.late_s))
        await wait_for_disconnect(receive)

    async def _run_late(self, scope: dict[str, Any], body: bytes, delay_s: float) -> None:
        _arrived_s.set(self._worker.seen_s)
        self.late_calls += 1
        try:
            await asyncio.sleep(delay_s)
            if self._is_carried_out(scope["path"], body):
                await self._app(scope, replay(body), drop)
        finally:
            self.late_calls -= 1

    def _is_carried_out(self, path: str, body: bytes) -> bool:
        """Return whether the process that now runs carries out a late call."""
        worker = self._worker
        if worker.is_down:
            return False
        return path != START_PATH or not worker.was_refused_before(msgspec.json.decode(body))
