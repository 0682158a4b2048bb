"""Plays one seed: starts everything, applies the plan, lets it settle, and checks."""

import asyncio
import json
import os
import random
import signal
import time
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import msgspec

from redwingplank.cell.keys import OWNER_KEY
from redwingplank.standin.site_store import make_site_store_app
from tools.soak.callers import HOST, PREFIX, Callers, Organisations
from tools.soak.checks import (
    Violation,
    count_observations,
    find_untrue_refusals,
    find_violations,
)
from tools.soak.history import History
from tools.soak.nodes import ZONES, BusyProcesses, NodeAddress, NodeProcess
from tools.soak.plan import WORKER_KINDS, Fault, FaultKind, make_plan
from tools.soak.platform import FaultyStore, RecordingStore, SoakServer
from tools.soak.pool import WorkerPool
from tools.soak.unasked import count_cancelled
from tools.soak.workers import RecordingWorker

__all__ = ["Result", "Soak", "SoakOptions"]

WORKERS = 4
ORGANISATIONS = 6
STORE_PORT = 17000
RUN_S = 0.15
JOBS_PER_S = 15.0
TICK_S = 0.02
SETTLE_S = 150.0
"""Limit of the wait for the end of all stored jobs; a job takes 0.2 s, a recovery some seconds."""
RUN_ON_S = 8.0
"""Longest wait for runs that go on: `contact_ms`, `cancel_ms` and `stop_grace_ms`, and 1 s more."""
STORE_FAULTS = frozenset(
    {FaultKind.LOST, FaultKind.LATE, FaultKind.REFUSE, FaultKind.SLOW, FaultKind.LIMIT}
)


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """What is played.

    Parameters
    ----------
    seed : int
        Seed of faults, jobs and choices of nodes.
    length_s : float
        Seconds of traffic.
    nodes : int
        Number of nodes.
    tree : Path
        The checkout whose ``redwing-node`` is run.
    folder : Path
        Folder for logs and records.
    """

    seed: int
    length_s: float
    nodes: int
    tree: Path
    folder: Path


@dataclass(frozen=True, slots=True)
class Result:
    """Outcome of a run.

    Parameters
    ----------
    seed, jobs : int
        Seed, and number of jobs that were submitted.
    cancelled : int
        Number of jobs whose cancellation was acknowledged.
    answers : Counter
        Number of submissions by status, ``"none"`` without an answer.
    observations : Counter
        What breaks no rule.
    violations, untrue : tuple of Violation
        Broken rules, and refusals of attempts that had an effect.
    """

    seed: int
    jobs: int
    cancelled: int
    answers: Counter[str]
    observations: Counter[str]
    violations: tuple[Violation, ...]
    untrue: tuple[Violation, ...]

    def __str__(self) -> str:
        answers = ", ".join(f"{name}: {count}" for name, count in sorted(self.answers.items()))
        seen = ", ".join(f"{name}: {count}" for name, count in sorted(self.observations.items()))
        found = f"{len(self.violations)} violations, {len(self.untrue)} untrue refusals"
        jobs = f"{self.jobs} jobs, {self.cancelled} cancelled"
        return f"seed {self.seed}: {jobs}; {answers}; {found}; {seen or '-'}"


class Soak:
    """One run.

    Parameters
    ----------
    options : SoakOptions
        What is played.
    plan : list of Fault, optional
        Faults in place of those of the seed.
    """

    def __init__(self, options: SoakOptions, plan: list[Fault] | None = None) -> None:
        self._options = options
        self._plan = (
            make_plan(options.seed, options.length_s, options.nodes, WORKERS)
            if plan is None
            else plan
        )
        self._started_s = time.monotonic()
        self._history = History()
        self._store = RecordingStore(self._history, self._now_s)
        self._organisations = Organisations(ORGANISATIONS)
        self._version = 0
        subnet = f"127.{100 + os.getpid() // 250 % 100}.{os.getpid() % 250}"
        self._platform_ip = f"{subnet}.1"
        self._faulty = FaultyStore(
            self._make_store_app(), STORE_PORT, random.Random(options.seed + 1)
        )
        addresses = [(self._platform_ip, STORE_PORT + number) for number in range(options.nodes)]
        self._store_server = SoakServer(self._faulty, addresses)
        self._nodes = [self._make_node(subnet, number) for number in range(options.nodes)]
        self._history.node_names = frozenset(node.address.name for node in self._nodes)
        self._pool = self._make_pool()
        self._busy = BusyProcesses()
        self._rng = random.Random(options.seed + 2)

    async def run(self) -> Result:
        """Play the seed and return its outcome; SIGTERM ends the run and its processes."""
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        self._callers = self._make_callers()
        ticker = asyncio.create_task(self._tick())
        try:
            await self._start()
            await self._play()
            await self._settle()
        finally:
            ticker.cancel()
            await self._stop()
        result = self._judge()
        self._write_record(result)
        return result

    def _make_store_app(self) -> Any:
        return make_site_store_app(self._store, self._now_s)

    def _make_worker(self, name: str) -> RecordingWorker:
        return RecordingWorker(name, self._history, RUN_S, random.Random(self._options.seed + 3))

    def _make_pool(self) -> WorkerPool:
        rng = random.Random(self._options.seed + 4)
        return WorkerPool(
            self._platform_ip, self._store, self._history, self._make_worker, self._now_s, rng
        )

    def _make_callers(self) -> Callers:
        return Callers(self._rng, self._nodes, self._organisations, self._history, self._now_s)

    def _now_s(self) -> float:
        return time.monotonic() - self._started_s

    def _make_node(self, subnet: str, number: int) -> NodeProcess:
        store = f"{self._platform_ip}:{STORE_PORT + number}"
        zone = ZONES[number % len(ZONES)]
        address = NodeAddress(f"n{number}", f"{subnet}.{10 + number}", zone, store)
        return NodeProcess(address, self._options.tree, self._options.folder)

    async def _start(self) -> None:
        await self._store_server.start()
        self._configure()
        await self._pool.start(WORKERS)
        for node in self._nodes:
            await node.start()
        await asyncio.gather(*(node.wait_ready(self._callers.session) for node in self._nodes))

    def _configure(self) -> None:
        self._version += 1
        route = {
            "name": "proof",
            "host": HOST,
            "prefix": PREFIX,
            "service": "render",
            "max_attempts": 50,
            "stretch_factor": 1.5,
            "target_duration_ms": 250 + self._version,
        }
        config = {
            "version": self._version,
            "routes": [route],
            "limits": {"max_body_bytes": 20_000},
            "tenants": self._organisations.tenants(),
        }
        self._store.put("op/config", msgspec.json.encode(config))

    async def _tick(self) -> None:
        while True:
            self._pool.advance(self._now_s())
            self._store.expire(self._now_s())
            await asyncio.sleep(TICK_S)

    async def _play(self) -> None:
        began_s = self._now_s()
        faults = [asyncio.create_task(self._apply(fault)) for fault in self._plan]
        jobs = []
        while self._now_s() < began_s + self._options.length_s:
            jobs.append(asyncio.create_task(self._callers.submit_one()))
            await asyncio.sleep(self._rng.expovariate(JOBS_PER_S))
        await asyncio.gather(*faults)
        await asyncio.gather(*jobs)

    async def _apply(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        if fault.is_at_owner:
            fault = replace(fault, nodes=frozenset({self._find_owner()}))
        if fault.kind in WORKER_KINDS:
            await self._pool.apply(fault)
        elif fault.kind is FaultKind.BUSY:
            self._busy.start(int(fault.amount), fault.for_s)
            await asyncio.sleep(fault.for_s)
        elif fault.kind is FaultKind.LONG:
            self._callers.longer_share = fault.amount
            await asyncio.sleep(fault.for_s)
            self._callers.longer_share = 0.0
        elif fault.kind is FaultKind.CANCEL:
            await self._callers.cancel_recent(fault.amount)
        elif fault.kind is FaultKind.CONFIG:
            self._configure()
        elif fault.kind is FaultKind.REVOKE:
            self._organisations.revoke(self._rng.choice(self._organisations.names))
            self._configure()
        else:
            await self._disturb_nodes(fault)

    def _find_owner(self) -> int:
        """Return the number of the node that is the owner, of any node if there is none."""
        item = self._store.items.get(OWNER_KEY)
        if item is None:
            return self._rng.randrange(len(self._nodes))
        name = json.loads(item.value)["owner"]
        return next(number for number, node in enumerate(self._nodes) if node.address.name == name)

    async def _disturb_nodes(self, fault: Fault) -> None:
        nodes = [self._nodes[number] for number in sorted(fault.nodes)]
        names = [node.address.name for node in nodes]
        if fault.kind is FaultKind.LIMIT:
            names = list(self._history.node_names)
        if fault.kind is FaultKind.SLOW:
            names = []
        with self._history.disruptions.during(names, fault.kind.value, self._now_s):
            if fault.kind in STORE_FAULTS:
                self._faulty.active.add(fault)
                await asyncio.sleep(fault.for_s)
                self._faulty.active.discard(fault)
            elif fault.kind in (FaultKind.RESET, FaultKind.UNREAD):
                await self._disturb_channels(fault)
            elif fault.kind is FaultKind.PAUSE:
                await self._pause(nodes, fault.for_s)
            else:
                await asyncio.gather(*(self._restart(node, fault) for node in nodes))
        if fault.kind in (FaultKind.TERM, FaultKind.KILL):
            await asyncio.gather(*(node.wait_ready(self._callers.session) for node in nodes))

    async def _disturb_channels(self, fault: Fault) -> None:
        ports = {STORE_PORT + number for number in fault.nodes}
        if fault.kind is FaultKind.RESET:
            self._store_server.reset(ports)
            return
        self._store_server.stop_reading(ports)
        await asyncio.sleep(fault.for_s)
        self._store_server.read_again(ports)

    async def _pause(self, nodes: list[NodeProcess], for_s: float) -> None:
        for node in nodes:
            node.pause()
        await asyncio.sleep(for_s)
        for node in nodes:
            node.resume()

    async def _restart(self, node: NodeProcess, fault: Fault) -> None:
        await (node.terminate() if fault.kind is FaultKind.TERM else node.kill())
        await asyncio.sleep(fault.for_s)
        await node.start()

    async def _settle(self) -> None:
        for node in self._nodes:
            node.resume()
            await node.start()
        await asyncio.gather(*(node.wait_ready(self._callers.session) for node in self._nodes))
        while self._faulty.late_calls:  # noqa: ASYNC110
            await asyncio.sleep(TICK_S)
        await self._callers.settle(SETTLE_S)
        while self._pool.late_calls:  # noqa: ASYNC110
            await asyncio.sleep(TICK_S)
        await self._wait_for_runs(RUN_ON_S)
        self._history.ended_s = self._now_s()

    async def _wait_for_runs(self, limit_s: float) -> None:
        """Wait until workers run nothing, or for `limit_s` seconds."""
        until_s = self._now_s() + limit_s
        while self._pool.has_runs and self._now_s() < until_s:  # noqa: ASYNC110
            await asyncio.sleep(TICK_S)

    async def _stop(self) -> None:
        self._busy.stop()
        for node in self._nodes:
            await node.kill()
        await self._callers.close()
        await self._pool.stop()
        await self._store_server.stop()

    def _judge(self) -> Result:
        attempts = [each for rows in self._history.attempts_by_job.values() for each in rows]
        answers = Counter(str(each.status or "none") for each in attempts if each.method == "POST")
        return Result(
            self._options.seed,
            len(self._history.attempts_by_job),
            count_cancelled(self._history),
            answers,
            count_observations(self._history),
            tuple(find_violations(self._history)),
            tuple(find_untrue_refusals(self._history)),
        )

    def _write_record(self, result: Result) -> None:
        lines = [str(result), *map(str, result.violations), *map(str, result.untrue)]
        lines += [*map(str, self._plan), *map(str, self._history.disruptions.all)]
        lines += [f"epoch {each}" for each in self._history.owner_by_epoch.items()]
        for job_id in self._history.attempts_by_job:
            stored_s = self._history.stored_s_by_job.get(job_id)
            rows = [*map(str, self._history.attempts_by_job[job_id])]
            for start in self._history.starts_by_job.get(job_id, ()):
                end = self._history.ends_by_run.get((start.worker, start.task, start.attempt))
                rows += [str(start), str(end or "no end")]
            lines.append(json.dumps({"job": job_id, "stored_s": stored_s, "events": rows}))
        path = self._options.folder / "record.txt"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
