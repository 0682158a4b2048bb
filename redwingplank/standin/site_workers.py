"""A stand-in for the users' workers: start, stop and poll over HTTP."""

import asyncio
import math
from collections.abc import Callable
from typing import Any

import falcon.asgi
import msgspec

__all__ = ["SiteWorkerModel", "make_site_worker_app"]

LIST_LIMIT = 500
"""Largest number of completions in one report."""


class SiteWorkerModel:
    """State of a worker; methods that depend on the time get it as an argument.

    Parameters
    ----------
    born_ms : int
        Incarnation of the worker.
    run_s : float
        Run time of each task in seconds; a task whose payload is ``"last"`` runs until stopped.
    longest_lease_s : float
        Longest lease in seconds; one that is asked for longer is shortened to it.
    """

    def __init__(
        self, born_ms: int = 1, run_s: float = 0.05, longest_lease_s: float = math.inf
    ) -> None:
        self.born_ms = born_ms
        self.run_s = run_s
        self.longest_lease_s = longest_lease_s
        self.clock_offset_s = 0.0
        """Time on the worker's clock, less the time that methods get, in seconds."""
        self.how = "done"
        """How the runs end whose time is over: ``"done"`` or ``"failed"``."""
        self.saved = ""
        """Checkpoint that is listed with each run and each end."""
        self.token = 0
        self.lease_until_ms = 0.0
        """End of the lease on the worker's clock."""
        self.runs: dict[str, tuple[int, float]] = {}
        self.blocked: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.end_count = 0
        self.list_limit = LIST_LIMIT
        self.starts: list[tuple[str, int]] = []
        self.payloads: list[str] = []
        self.checkpoints: list[str] = []
        """Checkpoint of each start, empty for none."""
        self.acknowledged: list[tuple[str, int]] = []
        """Task and attempt of each end that an owner has acknowledged, in any process."""
        self.poll_count = 0
        self.lose_answers = 0
        self.late_s: float | None = None
        """Start commands get no answer and are executed after this many seconds; None to answer."""

    def crash(self, born_ms: int) -> None:
        """Restart the process: all runs, completions and fencing tokens are lost."""
        self.born_ms = born_ms
        self.token = self.end_count = 0
        self.lease_until_ms = 0.0
        self.runs.clear()
        self.blocked.clear()
        self.ends = []

    def set_clock(self, clock_s: float, now_s: float) -> None:
        """Set the worker's clock, which begins anew with each process."""
        self.clock_offset_s = clock_s - now_s

    def clock_ms(self, now_s: float) -> float:
        """Return the time on the worker's clock in milliseconds."""
        return (now_s + self.clock_offset_s) * 1000

    @property
    def lease_until_s(self) -> float:
        """End of the lease in the time that methods get, in seconds."""
        return self.lease_until_ms / 1000 - self.clock_offset_s

    def _take_lease(self, until_ms: int, now_s: float) -> None:
        longest_ms = self.clock_ms(now_s) + self.longest_lease_s * 1000
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, longest_ms))

    def start(self, body: dict[str, Any], now_s: float) -> tuple[int, str]:
        """Handle a start command and return the status and the reason of the answer."""
        task, attempt = body["task"], body["attempt"]
        if body.get("fencing_token", 0) < self.token:
            return 409, "fence"
        self.token = body.get("fencing_token", 0)
        if body["deadline_ms"] < self.clock_ms(now_s):
            return 409, "late"
        self._take_lease(body["deadline_ms"], now_s)
        if task in self.runs and self.runs[task][0] == attempt:
            return 200, ""
        if attempt <= self.blocked.get(task, 0):
            return 409, "old"
        ends_s = now_s + self.run_s if body["spec"] != "last" else float("inf")
        self.runs[task] = (attempt, ends_s)
        self.starts.append((task, attempt))
        self.payloads.append(body["spec"])
        self.checkpoints.append(body.get("checkpoint", ""))
        return 200, ""

    def stop(self, body: dict[str, Any]) -> tuple[int, str]:
        """Handle a stop command and return the status and the reason of the answer."""
        task, attempt = body["task"], body["attempt"]
        if body.get("fencing_token", 0) < self.token:
            return 409, "fence"
        self.token = body.get("fencing_token", 0)
        self.blocked[task] = max(self.blocked.get(task, 0), attempt)
        if task in self.runs and self.runs[task][0] <= attempt:
            self._end_run(task, "stopped")
        return 200, ""

    def advance(self, now_s: float) -> None:
        """End the runs whose time is over or whose lease has expired."""
        for task, (_, ends_s) in list(self.runs.items()):
            if self.clock_ms(min(now_s, ends_s)) > self.lease_until_ms:
                self._end_run(task, "lapsed")
            elif now_s >= ends_s:
                self._end_run(task, self.how)

    def end_all(self, how: str) -> None:
        """End all runs at once."""
        for task in list(self.runs):
            self._end_run(task, how)

    def _end_run(self, task: str, how: str) -> None:
        attempt, _ = self.runs.pop(task)
        self.blocked[task] = max(self.blocked.get(task, 0), attempt)
        self.end_count += 1
        self.ends.append([self.end_count, task, attempt, how, self.saved])

    def handle_poll(self, body: dict[str, Any], now_s: float) -> tuple[int, str]:
        """Renew the lease and discard acknowledged completions; return status and reason."""
        if body.get("fencing_token", 0) < self.token:
            return 409, "fence"
        self.token = body.get("fencing_token", 0)
        self._take_lease(body.get("deadline_ms", 0), now_s)
        self.poll_count += 1
        for _, task, attempt, *_ in (end for end in self.ends if end[0] <= body["last_seen"]):
            self.acknowledged.append((task, attempt))
        self.ends = [end for end in self.ends if end[0] > body["last_seen"]]
        return 200, ""

    def report(self, now_s: float) -> dict[str, Any]:
        """Return the report of a poll, with the running tasks and the completions."""
        running = [[task, attempt, self.saved, 50, 0] for task, (attempt, _) in self.runs.items()]
        return {
            "clock_ms": round(self.clock_ms(now_s)),
            "born": self.born_ms,
            "running": running,
            "finished": self.ends[: self.list_limit],
        }


class _WorkerResource:
    def __init__(self, model: SiteWorkerModel, now_s: Callable[[], float]) -> None:
        self._model = model
        self._now_s = now_s

    async def handle(self, req: falcon.asgi.Request, resp: Any, **_: Any) -> None:
        model, name = self._model, req.path.removeprefix("/-/")
        body = msgspec.json.decode(await req.stream.read())
        model.advance(self._now_s())
        if name == "run-start":
            await self._start(body, resp)
            return
        if name == "run-stop":
            self._answer(resp, *model.stop(body))
            return
        status, reason = model.handle_poll(body, self._now_s())
        until_s = self._now_s() + body.get("wait_ms", 0) / 1000
        while status == 200 and not model.ends and self._now_s() < until_s:
            await asyncio.sleep(0.01)
            model.advance(self._now_s())
        self._answer(resp, status, reason)
        if status == 200:
            resp.media = model.report(self._now_s())

    async def _start(self, body: dict[str, Any], resp: Any) -> None:
        model = self._model
        if model.late_s is not None:
            await asyncio.sleep(model.late_s)
            model.start(body, self._now_s())
            await asyncio.Event().wait()
        status, reason = model.start(body, self._now_s())
        if model.lose_answers:
            model.lose_answers -= 1
            await asyncio.Event().wait()
        self._answer(resp, status, reason)

    def _answer(self, resp: Any, status: int, reason: str) -> None:
        resp.status = status
        clock_ms = round(self._model.clock_ms(self._now_s()))
        resp.media = {"clock_ms": clock_ms, "reason": reason}


def make_site_worker_app(model: SiteWorkerModel, now_s: Callable[[], float]) -> falcon.asgi.App:
    """Return the HTTP application of a worker.

    Parameters
    ----------
    model : SiteWorkerModel
        State of the worker.
    now_s : callable
        Function that returns the time in seconds; the worker's own clock may differ.
    """
    app = falcon.asgi.App()
    app.add_sink(_WorkerResource(model, now_s).handle, prefix="/")
    return app
