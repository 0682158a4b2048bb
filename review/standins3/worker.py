"""Stand-in for a worker, a process of its own, as PROTOCOL.md describes it.

python3 worker.py NAME ADDRESS STORE RECORD SETTINGS, where SETTINGS is JSON of the published entry.
The payload of a task is JSON: its field `work_s` says how long a run takes; without it the run
lasts until it is stopped; `ends` is how it ends then (`done` if not given); `spread` is the share by which it may differ. With `saves_under` a run has
a checkpoint, a path below it, that is new with each half second of work. Starts and ends are
appended to RECORD, one JSON object a line.
"""

import asyncio
import json
import random
import sys
import time
from dataclasses import dataclass
from typing import Any

import wire

BEAT_S = 1.5
STOP_GRACE_S = 0.1
LONGEST_LEASE_S = 6.0
MAX_WAIT_S = 2.0
LISTED_ENDS = 500
CHECKPOINT_S = 0.5


@dataclass
class Run:
    """One run of a task."""

    task: str
    attempt: int
    began_s: float
    work_s: float | None
    saves_under: str = ""
    how: str = "done"
    stops_s: float | None = None

    @property
    def ends_s(self) -> float | None:
        """Time at which it ends by itself, or as it is stopped."""
        done_s = None if self.work_s is None else self.began_s + self.work_s
        times = [each for each in (done_s, self.stops_s) if each is not None]
        return min(times, default=None)

    def checkpoint(self, now: float) -> str:
        """Return its newest checkpoint, empty if it has none."""
        number = int((now - self.began_s) / CHECKPOINT_S)
        return f"{self.saves_under}/{self.task}/{number:06d}" if self.saves_under and number else ""

    def percent(self, now: float) -> int:
        """Return its progress."""
        if self.work_s is None:
            return 100
        return min(99, int(100 * (now - self.began_s) / max(self.work_s, 0.001)))


class Worker:
    """The runs of one process of a worker."""

    def __init__(self, name: str, address: str, store: str, record: str, entry: dict) -> None:
        self.name, self.address, self.store = name, address, store
        self._record = open(record, "a", buffering=1)  # noqa: SIM115
        self.entry = entry
        self.born = int(time.time() * 1000)
        self._zero_s = time.monotonic()
        self.token = 0
        self.lease_ms = 0.0
        self.runs: dict[str, Run] = {}
        self.blocked: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.count = 0
        self.seq = 0

    def clock_ms(self) -> int:
        """Return the worker's own clock."""
        return int((time.monotonic() - self._zero_s) * 1000)

    def note(self, what: str, **fields: Any) -> None:
        """Append a line to the record."""
        line = {"t": round(time.time(), 3), "worker": self.name, "what": what, **fields}
        self._record.write(json.dumps(line) + "\n")

    def advance(self) -> None:
        """End the runs that are over."""
        now = time.monotonic()
        for run in list(self.runs.values()):
            ends_s = run.ends_s
            if ends_s is not None and now >= ends_s:
                self._end(run, "stopped" if ends_s == run.stops_s else run.how)
        if self.runs and self.clock_ms() > self.lease_ms:
            for run in list(self.runs.values()):
                self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self.blocked[run.task] = max(self.blocked.get(run.task, 0), run.attempt)
        self.count += 1
        saved = run.checkpoint(time.monotonic())
        self.ends.append([self.count, run.task, run.attempt, how, saved])
        self.note("end", task=run.task, attempt=run.attempt, how=how)

    def _take_lease(self, deadline_ms: float) -> None:
        longest_ms = self.clock_ms() + LONGEST_LEASE_S * 1000
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest_ms))

    async def handle(self, request: wire.Request) -> tuple[int, dict[str, Any]]:
        """Handle one call."""
        if request.method == "GET" and request.path == "/healthz":
            return 200, {}
        if request.headers.get("x-redwingplank-expect-instance", self.name) != self.name:
            return 421, {}
        body = request.body or {}
        self.advance()
        if body.get("fencing_token", 0) < self.token:
            return 409, self._tell(reason="fence")
        self.token = body.get("fencing_token", 0)
        name = request.path.removeprefix("/-/")
        if name == "run-start":
            return self._start(body)
        if name == "run-stop":
            return self._stop(body)
        if name == "hold":
            return await self._hold(body)
        if name == "pace":
            return 200, self._tell()
        return 404, {}

    def _tell(self, **fields: Any) -> dict[str, Any]:
        return {"clock_ms": self.clock_ms(), **fields}

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, attempt = body["task"], body["attempt"]
        if body["deadline_ms"] < self.clock_ms():
            return 409, self._tell(reason="late")
        self._take_lease(body["deadline_ms"])
        present = self.runs.get(task)
        if present is not None and present.attempt == attempt:
            return 200, self._tell()
        if attempt <= self.blocked.get(task, 0) or present is not None:
            return 409, self._tell(reason="old")
        payload = json.loads(body["spec"])
        work_s, saves_under = payload.get("work_s"), payload.get("saves_under", "")
        if work_s is not None:
            spread = payload.get("spread", 0.0)
            work_s *= random.uniform(1 - spread, 1 + spread)
        how = payload.get("ends", "done")
        self.runs[task] = Run(task, attempt, time.monotonic(), work_s, saves_under, how)
        self.note("start", task=task, attempt=attempt, token=self.token)
        return 200, self._tell()

    def _stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, attempt = body["task"], body["attempt"]
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt:
            run.stops_s = run.stops_s or time.monotonic() + STOP_GRACE_S
        self.blocked[task] = max(self.blocked.get(task, 0), attempt)
        return 200, self._tell()

    async def _hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if "deadline_ms" in body:
            self._take_lease(body["deadline_ms"])
        self.ends = [end for end in self.ends if end[0] > body.get("last_seen", 0)]
        until_s = time.monotonic() + min(MAX_WAIT_S, body.get("wait_ms", 0) / 1000)
        while not self.ends and time.monotonic() < until_s:
            await asyncio.sleep(0.01)
            self.advance()
        now = time.monotonic()
        running = [
            [run.task, run.attempt, run.checkpoint(now), run.percent(now), 0]
            for run in self.runs.values()
        ]
        listed = self.ends[:LISTED_ENDS]
        return 200, self._tell(born=self.born, running=running, finished=listed)

    async def beat(self) -> None:
        """Check in at the store until cancelled."""
        while True:
            self.seq += 1
            entry = {
                "address": self.address,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "seq": self.seq,
                "born": self.born,
                **self.entry,
            }
            await wire.call(self.store, "POST", f"/check-in/{self.name}", entry, timeout_s=1.0)
            await asyncio.sleep(BEAT_S)

    async def run(self) -> None:
        """Serve until killed."""
        host, _, port = self.address.rpartition(":")
        self.note("up", born=self.born)
        server = await wire.serve(self.handle, host, int(port))
        beating = asyncio.create_task(self.beat())
        try:
            while True:
                await asyncio.sleep(0.02)
                self.advance()
        finally:
            beating.cancel()
            server.close()


if __name__ == "__main__":
    worker_name, own_address, store_address, record_path, settings = sys.argv[1:]
    asyncio.run(
        Worker(worker_name, own_address, store_address, record_path, json.loads(settings)).run()
    )
