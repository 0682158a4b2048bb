"""Starts a small deployment: the store, workers, and nodes with the command of the deploy file.

Everything listens on loopback addresses. `Cell` also plays the platform that restarts nodes, and a
client that submits jobs with retries and asks for their states.
"""

import asyncio
import contextlib
import json
import os
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import wire
from store import Store

ROOT = Path(__file__).resolve().parents[2]
HERE = Path(__file__).resolve().parent
ZONES = ("ankara-a", "ankara-b", "ankara-c")
SERVICE, HOST, PREFIX = "huvo11a", "nony24.example", "/lohu930/"
RETRIED = (None, 429, 502, 503, 504)
RETRIES = 4
MEMORY_MB = 300
MAX_LINES_PER_JOB = 400
"""Runs of larger jobs are counted in the record and not listed one by one."""
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_skew_ms": 5000, "recover_s": 12, "hold_max_ms": 6000,
    "stop_grace_ms": 900, "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "remote_factor": 2, "checkpoint_s": 0.5,
    "restore_ms": 100, "notice_ms": 4500, "migrate_s": 1.5, "maintenance_s": 2,
    "fencing_enabled": True, "lease_ms": 3000, "thaw_ms": 300, "rate_ms": 100, "impact_ms": 4000,
}  # fmt: skip


class CannotRunError(Exception):
    """The deployment did not come up."""


def free_ports(host: str, count: int) -> list[int]:
    """Return free ports of a host."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((host, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


@dataclass
class Job:
    """A job that the client has sent."""

    job_id: str
    prefix: str
    sent_s: float
    answers: list[int | None] = field(default_factory=list)
    accepted_s: float | None = None
    state: str = ""


class Node:
    """A node, and the address at which clients reach it."""

    def __init__(self, cell: "Cell", number: int) -> None:
        self.cell = cell
        self.name = f"edge-{ZONES[number % 3]}-{number + 1}"
        self.ip = f"127.{cell.net[0]}.{cell.net[1]}.{number + 1}"
        front, ready, control, peers = free_ports(self.ip, 4)
        self.client_address, self.ready_address = f"{self.ip}:{front}", f"{self.ip}:{ready}"
        self.process: subprocess.Popen | None = None
        self.ends: list[str] = []
        """Why its processes ended, other than by the script's order."""
        self.log = open(cell.folder / f"{self.name}.log", "ab")  # noqa: SIM115
        settings = {
            "node_name": self.name, "role": "node", "machine_class": "edge", "serves": ["edge"],
            "ip": self.ip, "zone": ZONES[number % 3], "region": "ankara",
            "zones": dict.fromkeys(ZONES, "ankara"),
            "listen": {"frontend": self.client_address, "ready": self.ready_address,
                       "control_plane": f"{self.ip}:{control}"},
            "port_range": [peers, peers + 15], "seeds": [], "bootstrap": True,
            "failure_counted": False,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": MEMORY_MB, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "health", "recover", "sched", "platform"],
            "fault_tolerance": {"machines": 1, "zones": 1, "region_count": 0},
            "bounds": BOUNDS, "control_mode": "invoked", "advisor": "",
            "platform": {"address": cell.store_address, "form": "kv", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
                         "ttl_min_ms": 1000},
        }  # fmt: skip
        self.settings = cell.folder / f"{self.name}.json"
        self.settings.write_text(json.dumps(settings), encoding="utf-8")

    def start(self) -> None:
        """Start its process with the command of the deploy file, unless the script ends."""
        if self.cell.is_stopped:
            return
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        command = deploy["roles"]["node"]["run"].split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={
                **kept,
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "REDWINGPLANK_SETTINGS": str(self.settings),
            },
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    def resident_mb(self) -> float:
        """Return the resident memory of its process."""
        if self.process is None:
            return 0.0
        with contextlib.suppress(OSError, StopIteration):
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
            line = next(each for each in lines if each.startswith("VmRSS:"))
            return int(line.split()[1]) / 1024
        return 0.0


class Link:
    """What nodes send to a worker passes here: it can be cut, and it can hold back a start.

    Parameters
    ----------
    cell : Cell
        The deployment.
    worker, target : str
        The worker and its own address.
    address : str
        Address that the worker publishes.
    """

    def __init__(self, cell: "Cell", worker: str, target: str, address: str) -> None:
        self.cell, self.worker, self.target, self.address = cell, worker, target, address
        self.is_cut = False
        self.holds_starts_of = ""
        """Payload of the job of which the first start is held back, empty for none."""
        self.held: tuple[wire.Request, float] | None = None
        self.started: list[tuple[str, float]] = []
        """Tasks of the starts that the worker has accepted, with their times."""
        self.broken = asyncio.Event()
        """Set while the link resets what it carries."""
        self.never = asyncio.Event()
        """Never set: what waits for it gets no answer."""

    async def serve(self) -> None:
        """Serve until the script ends."""
        host, _, port = self.address.rpartition(":")
        self._server = await wire.serve(self._pass_on, host, int(port))

    async def _pass_on(self, request: wire.Request) -> tuple[int, dict[str, Any]]:
        is_start = request.path == "/-/run-start"
        is_held = any(link.held is not None for link in (self.cell.links or {}).values())
        if is_start and request.body["spec"] == self.holds_starts_of and not is_held:
            self.held = request, time.monotonic()
            self.cell.note(f"{self.worker} leaves the start {request.body} unanswered")
            await self.never.wait()
        await self._pass_cut()
        passing = asyncio.ensure_future(self.carry_out(request))
        breaking = asyncio.ensure_future(self.broken.wait())
        await asyncio.wait([passing, breaking], return_when=asyncio.FIRST_COMPLETED)
        breaking.cancel()
        await self._pass_cut()
        status, body = await passing
        await self._pass_cut()
        if status is None:
            await self.never.wait()
        if is_start and status == 200:
            self.started.append((request.body["task"], time.monotonic()))
        return status or 503, body or {}

    async def _pass_cut(self) -> None:
        """Go on if the link is not cut; else reset the connection, or wait for ever."""
        if self.is_cut and self.broken.is_set():
            raise wire.BrokenLinkError
        if self.is_cut:
            await self.never.wait()

    def cut(self, is_reset: bool = False) -> None:
        """Cut the link; connections and calls are reset, or left without an answer."""
        self.is_cut = True
        if is_reset:
            self.broken.set()

    def heal(self) -> None:
        """Let calls pass again."""
        self.is_cut = False
        self.broken.clear()

    async def carry_out(self, request: wire.Request) -> tuple[int | None, Any]:
        """Let the worker carry out a request, whoever waits for the answer."""
        name = "x-redwingplank-expect-instance"
        headers = {name: request.headers[name]} if name in request.headers else {}
        return await wire.call(
            self.target, request.method, request.path, request.body, "", 5.0, headers
        )


class Cell:
    """A small deployment and its clients."""

    def __init__(self, nodes: int = 3) -> None:
        self.net = (random.randint(20, 250), random.randint(1, 250))
        self.ip = f"127.{self.net[0]}.{self.net[1]}.200"
        self.folder = Path(tempfile.mkdtemp(prefix="review3-"))
        self.store = Store()
        self.store_address = f"{self.ip}:{free_ports(self.ip, 1)[0]}"
        self.nodes = [Node(self, number) for number in range(nodes)]
        self.workers: dict[str, subprocess.Popen] = {}
        self._worker_arguments: dict[str, list[str]] = {}
        self.worker_record = self.folder / "workers.jsonl"
        self.lines: list[tuple[float, str]] = []
        self.jobs: list[Job] = []
        self.version = 0
        self.routes: list[dict[str, Any]] = []
        self._tasks: list[asyncio.Task] = []
        self._server: asyncio.Server | None = None
        self.links: dict[str, Link] | None = None
        """The links to the workers, by their names; None if nodes reach them directly."""
        self.is_stopped = False
        """Whether the script ends, so that nothing is started any more."""
        self.is_killing_large = False
        """Whether a node over its memory limit is killed, and started again."""

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append((time.time(), text))
        print(f"{time.time():.3f} {text}", flush=True)

    # The platform.

    async def start(self, workers: dict[str, dict[str, Any]]) -> None:
        """Start the store, workers and nodes, and wait until every node is ready."""
        host, _, port = self.store_address.rpartition(":")
        self._server = await wire.serve(self._handle_store, host, int(port))
        self._tasks.append(asyncio.create_task(self.store.expire()))
        self.add_route("r-3hwrr6x", PREFIX)
        self.put_config()
        for name, entry in workers.items():
            self.add_worker(name, entry)
        for link in (self.links or {}).values():
            await link.serve()
        for node in self.nodes:
            node.start()
        until_s = time.monotonic() + 25
        for node in self.nodes:
            while (await wire.call(node.ready_address, "GET", "/-/readyz"))[0] != 200:
                if time.monotonic() > until_s:
                    raise CannotRunError(f"{node.name} is not ready")
                await asyncio.sleep(0.1)
        self._tasks.append(asyncio.create_task(self._watch_nodes()))
        await asyncio.sleep(3.0)
        self.note(f"{len(self.nodes)} nodes and {len(workers)} workers are up")

    async def _handle_store(self, request: wire.Request) -> tuple[int, dict[str, Any]]:
        if request.path.startswith("/check-in/"):
            key = "servers/" + request.path.removeprefix("/check-in/")
            self.store.check_in(key, json.dumps(request.body).encode())
            return 200, {}
        return await self.store.handle(request)

    def add_route(self, name: str, prefix: str, **fields: Any) -> None:
        """Add a queue to the next configuration."""
        route = {
            "name": name, "host": HOST, "prefix": prefix, "kind": "non_idempotent",
            "timeout_ms": 3000, "target_duration_ms": 1200, "priority": 0, "service": SERVICE,
            "max_attempts": 4, "stretch_factor": 2.2,
        }  # fmt: skip
        self.routes.append({**route, **fields})

    def put_config(self) -> None:
        """Write the next configuration, as the operator does."""
        self.version += 3
        service = {
            "name": SERVICE, "health_path": "/healthz", "max_conns": 64, "protocol": "h1",
            "tls": False, "rejects_overload": False, "standby": False,
        }  # fmt: skip
        limits = {
            "max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }  # fmt: skip
        config = {
            "version": self.version, "routes": self.routes, "services": [service], "limits": limits,
        }  # fmt: skip
        self.store.put("op/config", json.dumps(config).encode())
        self.note(f"configuration {self.version} is stored")

    def add_worker(self, name: str, entry: dict[str, Any]) -> None:
        """Start a worker for the first time."""
        address = f"{self.ip}:{free_ports(self.ip, 1)[0]}"
        if self.links is not None:
            link = Link(self, name, address, f"{self.ip}:{free_ports(self.ip, 1)[0]}")
            self.links[name] = link
            entry = {**entry, "address": link.address}
        number = len(self._worker_arguments)
        full = {
            "service": SERVICE, "zone": ZONES[number % 3],
            "capacity": {"cpu": 64000, "mem_mb": 131072, "gpu": 0},
            "labels": ["a", f"r1-{number // 8 + 1}"], **entry,
        }  # fmt: skip
        self._worker_arguments[name] = [
            name, address, self.store_address, str(self.worker_record), json.dumps(full),
        ]  # fmt: skip
        self.start_worker(name)

    def start_worker(self, name: str) -> None:
        """Start a process of a worker, at the address that it has."""
        if self.is_stopped:
            return
        command = [sys.executable, str(HERE / "worker.py"), *self._worker_arguments[name]]
        self.workers[name] = subprocess.Popen(command, cwd=HERE, stdin=subprocess.DEVNULL)

    def crash_worker(self, name: str) -> None:
        """End the process of a worker at once."""
        self.workers[name].send_signal(signal.SIGKILL)
        self.workers[name].wait()
        self.note(f"{name} crashes")

    async def _watch_nodes(self) -> None:
        """Start nodes again that have ended, and kill those over their memory limit."""
        while True:
            for node in self.nodes:
                process = node.process
                if process is None:
                    continue
                if self.is_killing_large and node.resident_mb() > MEMORY_MB:
                    self.note(f"{node.name} is killed: it has {node.resident_mb():.0f} MB")
                    process.kill()
                    process.wait()
                    node.ends.append("memory")
                elif process.poll() is not None:
                    self.note(f"{node.name} has ended with {process.returncode}")
                    node.ends.append(f"exit {process.returncode}")
                else:
                    continue
                node.process = None
                asyncio.get_running_loop().call_later(1.0, node.start)
            await asyncio.sleep(0.05)

    # Clients.

    async def submit(self, body: dict[str, Any], prefix: str = PREFIX) -> Job:
        """Submit a job with the retries of a client."""
        job = Job(secrets.token_hex(8), prefix, time.time())
        self.jobs.append(job)
        order = random.sample(self.nodes, len(self.nodes))
        for number in range(1 + RETRIES):
            node = order[number % len(order)]
            status, _ = await wire.call(
                node.client_address, "POST", prefix + job.job_id, body, HOST
            )
            job.answers.append(status)
            if status not in RETRIED:
                break
            await asyncio.sleep(random.uniform(0.2, 0.8))
        if job.answers[-1] == 200:
            job.accepted_s = time.time()
        return job

    async def state(self, job: Job, timeout_s: float = 3.0) -> str:
        """Ask for the state of a job, at up to three nodes."""
        answers = []
        for node in random.sample(self.nodes, len(self.nodes)):
            status, body = await wire.call(
                node.client_address, "GET", job.prefix + job.job_id, None, HOST, timeout_s
            )
            if status == 200:
                job.state = body["state"]
                return job.state
            answers.append(str(status))
        return "no state: " + ", ".join(answers)

    # The end.

    def runs(self) -> list[dict[str, Any]]:
        """Return what the workers have recorded."""
        if not self.worker_record.exists():
            return []
        text = self.worker_record.read_text(encoding="utf-8")
        return [json.loads(line) for line in text.splitlines() if line.endswith("}")]

    def write_record(self, path: Path, verdict: str) -> None:
        """Write what was sent, answered and run."""
        rows = list(self.lines)
        for job in self.jobs:
            rows.append((job.sent_s, f"job {job.job_id} sent to {job.prefix}: {job.answers}"))
        rows += _describe_runs(self.runs())
        first = min((at for at, _ in rows), default=0.0)
        lines = [f"{at - first:9.3f} {text}" for at, text in sorted(rows)]
        path.write_text("\n".join([*lines, verdict, ""]), encoding="utf-8")

    def stop(self) -> None:
        """End every process that was started, and start no further one."""
        self.is_stopped = True
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        processes = [node.process for node in self.nodes if node.process is not None]
        for process in [*processes, *self.workers.values()]:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait()


def _describe_runs(recorded: list[dict[str, Any]]) -> list[tuple[float, str]]:
    """Return a line for each start and end, or a count for each second of a large job."""
    rows_by_job = Counter(row.get("task", "").partition(".")[0] for row in recorded)
    lines: list[tuple[float, str]] = []
    counts: Counter[tuple[int, str]] = Counter()
    for row in recorded:
        job = row.get("task", "").partition(".")[0]
        if job and rows_by_job[job] > MAX_LINES_PER_JOB:
            text = f"worker={row['worker']} what={row['what']} how={row.get('how', '')} job={job}"
            counts[int(row["t"]), text] += 1
            continue
        fields = " ".join(f"{key}={value}" for key, value in row.items() if key != "t")
        lines.append((row["t"], fields))
    return lines + [
        (float(at), f"{text}: {count} in this second") for (at, text), count in counts.items()
    ]


def play(scenario: Any, record: Path) -> int:
    """Play a scenario; return 1 if it broke the rule, 0 if not, 2 if it could not run."""
    cell = Cell()
    verdict, code = "could not run", 2
    try:
        is_disturbed = os.environ.get("TROUBLE", "1") != "0"
        broken = asyncio.run(_play(cell, scenario, is_disturbed))
        verdict, code = (f"BROKEN: {broken}", 1) if broken else ("held", 0)
    except CannotRunError as error:
        verdict = f"could not run: {error}"
    finally:
        cell.write_record(record, verdict)
        print(verdict, flush=True)
    return code


async def _play(cell: Cell, scenario: Any, is_disturbed: bool) -> str:
    try:
        return await scenario(cell, is_disturbed)
    finally:
        cell.stop()
        await asyncio.sleep(0.3)
