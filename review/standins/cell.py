"""Stand-ins for the platform of a small deployment, and the nodes that run against them.

The store, the workers and the callers follow the users' PROTOCOL page; where the page is silent
they behave like sound ones. All addresses are loopback addresses. Only the standard library is
used. The nodes are the project's own program, started as its deploy file says.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "queue.example"
SERVICE = "render"
DONE, FAILED, STOPPED, LAPSED = "done", "failed", "stopped", "lapsed"
NO_ANSWER = object()
"""Returned by a handler whose answer is lost: the channel stays open and returns nothing more."""


class Record:
    """The record of a run: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._started_s

    def write(self, text):
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


def free_address(ip="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return f"{ip}:{probe.getsockname()[1]}"


class HttpService:
    """A small HTTP/1.1 server with JSON bodies; `crash` ends it as a killed process would."""

    def __init__(self, address, handle):
        self.address = address
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def crash(self):
        if self._server is None:
            return
        server, self._server = self._server, None
        server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await _read_message(reader)
                if request is None:
                    return
                first, headers, body = request
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                query = {key: values[0] for key, values in parse_qs(parts.query).items()}
                answer = await self._handle(method, parts.path, query, headers, body)
                if answer is NO_ANSWER:
                    await asyncio.Event().wait()
                status, value = answer
                raw = json.dumps(value).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(raw)}\r\n\r\n"
                )
                writer.write(head.encode() + raw)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_message(reader):
    """Return the first line, the headers and the body of a message; None at the end."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first.decode("latin-1").strip(), headers, body


async def call(method, address, path, body=None, headers=None, timeout_s=3.0):
    """Send one request on a channel of its own; return status and decoded body, or None."""
    host, _, port = address.rpartition(":")
    raw = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(raw)}"]
    lines += [f"{name}: {value}" for name, value in {"Host": HOST, **(headers or {})}.items()]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode() + raw)
            message = await _read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    first, _, answer = message
    return int(first.split(" ")[1]), json.loads(answer) if answer else {}


class Store:
    """The platform's store: items, leases, transactions, ranges and watches."""

    def __init__(self, record):
        self._record = record
        self.items = {}
        self.revision = 1
        self.events = []
        self.forgotten = 0
        self.leases = {}
        self.is_busy = False
        """Every call gets 503 and has no effect; leases pause."""
        self.lose_answer_of = None
        """Called with the body of each transaction that was carried out; true: no answer."""
        self.before_txn = None
        """Called with the body of each transaction before anything is done with it."""
        self._changed = asyncio.Event()
        self._watches = set()
        self.service = HttpService(free_address(), self._handle)
        self._expiring = None

    async def start(self):
        await self.service.start()
        self._expiring = asyncio.ensure_future(self._expire())

    async def stop(self):
        if self._expiring is not None:
            self._expiring.cancel()
        await self.service.crash()

    async def _expire(self):
        last_s = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now_s, was_s = time.monotonic(), last_s
            last_s = now_s
            if self.is_busy:
                for lease in self.leases.values():
                    lease[1] += now_s - was_s
                continue
            for number, (_, until_s) in list(self.leases.items()):
                if now_s >= until_s:
                    self._record.write(f"store: lease {number} has expired")
                    self._end_lease(number)

    def put(self, key, value, lease=0):
        self.revision += 1
        self._put(key, json.dumps(value).encode(), lease)
        self._notify()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._notify()

    def forget_history(self):
        """Discard the history and cut the watches that wait, as the page allows at any time."""
        self.events.clear()
        self.forgotten = self.revision
        for watch in list(self._watches):
            watch.set()

    def _put(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease_id": lease,
        }
        self.events.append((self.revision, self.items[key]))

    def _remove(self, key):
        del self.items[key]
        event = {"key": key, "revision": self.revision, "deleted": True}
        self.events.append((self.revision, event))

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, number):
        if self.leases.pop(number, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item["lease_id"] == number]:
            self.remove(key)
        return True

    async def _handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        name = path.removeprefix("/-/")
        if name == "kv-txn" and self.before_txn is not None:
            self.before_txn(json.loads(body))
        if self.is_busy:
            return 503, {}
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at_rev": self.revision}) if item else (404, {})
        if name == "kv-range":
            return 200, self._range(query)
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            wanted = json.loads(body)
            answer = self._transact(wanted)
            is_done = answer[0] == 200
            if is_done and self.lose_answer_of is not None and self.lose_answer_of(wanted):
                return NO_ANSWER
            return answer
        if name == "kv-lease":
            ttl_ms = json.loads(body)["ttl_ms"]
            self.revision += 1
            self.leases[self.revision] = [ttl_ms / 1000, time.monotonic() + ttl_ms / 1000]
            return 200, {"lease_id": self.revision, "ttl_ms": ttl_ms}
        if name.startswith("kv-keep/"):
            lease = self.leases.get(int(name.split("/")[1]))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {}
        if name.startswith("kv-lease-end/"):
            return (200 if self._end_lease(int(name.split("/")[1])) else 404), {}
        return 404, {}

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:500]]
        return {"items": items, "has_more": len(keys) > 500, "at_rev": self.revision}

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", 0))
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        cut = asyncio.Event()
        self._watches.add(cut)
        try:
            while True:
                if after < self.forgotten:
                    return 410, {}
                if self.is_busy:
                    return 503, {}
                events = [
                    event
                    for revision, event in self.events
                    if revision > after and event["key"].startswith(prefix)
                ]
                left_s = until_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "at_rev": self.revision}
                try:
                    async with asyncio.timeout(min(left_s, 0.05)):
                        await self._changed.wait()
                except TimeoutError:
                    pass
        finally:
            self._watches.discard(cut)

    def _transact(self, wanted):
        expect, puts = wanted.get("expect", []), wanted.get("puts", [])
        removes = wanted.get("remove", [])
        if len(expect) + len(puts) + len(removes) > 32:
            return 400, {}
        for row in expect:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items[row["key"]] for row in expect if row["key"] in self.items]
                return 412, {"items": found}
        if any(row.get("lease_id") and row["lease_id"] not in self.leases for row in puts):
            return 404, {}
        self.revision += 1
        for row in puts:
            self._put(row["key"], base64.b64decode(row["value"]), row.get("lease_id", 0))
        for key in removes:
            if key in self.items:
                self._remove(key)
        self._notify()
        return 200, {"revision": self.revision}


class Worker:
    """A worker: one machine's place, whose process may crash and start again.

    The payload of a task is JSON: `ms` is how long it runs, `fails` how many of its first runs end
    as failed (counted over all workers in `failures_by_task`).
    """

    failures_by_task = {}

    def __init__(self, store, record, name, cpu, labels, zone="a", mem_mb=64000):
        self._store = store
        self._record = record
        self.id = name
        self.cpu, self.mem_mb, self.labels, self.zone = cpu, mem_mb, labels, zone
        self.address = free_address()
        self.service = HttpService(self.address, self._handle)
        self.is_up = False
        self.is_unhealthy = False
        """Whether every start is refused with 503, which has then done nothing."""
        self.starts = []
        """Rows of seconds, task, attempt and worker id, of all processes at this place."""
        self.done = []
        """Rows of seconds, task and attempt of the ends `done`."""
        self.noted = []
        """Rows of seconds, task, attempt and kind of the ends that were taken note of."""
        self._loops = []

    async def boot(self, name=None, cpu=None):
        """Start a process; it holds and knows nothing of the one before."""
        self.id = name or self.id
        self.cpu = cpu or self.cpu
        self.born_ms = int(time.time() * 1000)
        self._zero_s = time.monotonic()
        self.token = 0
        self.lease_until_ms = 0
        self.runs, self.blocked = {}, {}
        self.ends, self.end_count = [], 0
        self._ended = asyncio.Event()
        self._seq = 0
        self.is_up = True
        await self.service.start()
        self._register()
        self._loops = [
            asyncio.ensure_future(self._beat()),
            asyncio.ensure_future(self._advance()),
        ]
        self._record.write(
            f"worker {self.id}: boot, cpu {self.cpu}, labels {self.labels}, at {self.address}"
        )

    async def crash(self):
        """End the process at once: it sends nothing any more and runs nothing."""
        self._record.write(f"worker {self.id}: crash with {sorted(self.runs)}")
        self.is_up = False
        for loop in self._loops:
            loop.cancel()
        self.runs = {}
        await self.service.crash()

    def _register(self):
        self._seq += 1
        if self._store.is_busy:
            return
        self._store.put(
            f"servers/{self.id}",
            {
                "service": SERVICE,
                "address": self.address,
                "zone": self.zone,
                "version": "1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "seq": self._seq,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                "labels": self.labels,
                "born": self.born_ms,
                "host_machine": f"m-{self.address}",
            },
        )

    async def _beat(self):
        while True:
            await asyncio.sleep(1.5)
            self._register()

    def _clock_ms(self):
        return int((time.monotonic() - self._zero_s) * 1000)

    async def _advance(self):
        while True:
            await asyncio.sleep(0.005)
            clock_ms = self._clock_ms()
            for task, run in list(self.runs.items()):
                if clock_ms >= run["until_ms"]:
                    self._end(task, run["how"])
                elif clock_ms > self.lease_until_ms:
                    self._end(task, LAPSED)

    def _end(self, task, how):
        run = self.runs.pop(task)
        self.blocked[task] = max(self.blocked.get(task, 0), run["attempt"])
        self.end_count += 1
        self.ends.append([self.end_count, task, run["attempt"], how, ""])
        if how == DONE:
            self.done.append((round(self._record.now_s(), 3), task, run["attempt"]))
        self._record.write(f"worker {self.id}: end {task} attempt {run['attempt']} {how}")
        self._ended.set()
        self._ended = asyncio.Event()

    @property
    def used_cpu(self):
        return sum(run["cpu"] for run in self.runs.values())

    async def _handle(self, method, path, query, headers, body):
        expected = headers.get("x-redwingplank-expect-instance", self.id)
        if expected != self.id:
            return 421, {"clock_ms": self._clock_ms()}
        wanted = json.loads(body)
        name = path.removeprefix("/-/")
        token = wanted.get("fencing_token", 0)
        if name == "run-start" and self.is_unhealthy:
            self._record.write(f"worker {self.id}: refused {wanted['task']} with 503")
            return 503, {"clock_ms": self._clock_ms()}
        if token < self.token:
            return 409, {"clock_ms": self._clock_ms(), "reason": "fence"}
        self.token = token
        if name == "run-start":
            return self._start(wanted)
        if name == "run-stop":
            return self._stop(wanted)
        if name == "pace":
            return 200, {"clock_ms": self._clock_ms()}
        if name == "hold":
            return await self._hold(wanted)
        return 404, {}

    def _start(self, wanted):
        clock_ms, task, attempt = self._clock_ms(), wanted["task"], wanted["attempt"]
        if wanted["deadline_ms"] < clock_ms:
            return 409, {"clock_ms": clock_ms, "reason": "late"}
        self._extend(wanted)
        if task in self.runs and self.runs[task]["attempt"] == attempt:
            return 200, {"clock_ms": clock_ms}
        if attempt <= self.blocked.get(task, 0) or task in self.runs:
            return 409, {"clock_ms": clock_ms, "reason": "old"}
        spec = json.loads(wanted["spec"])
        how, lasts_ms = DONE, spec["ms"]
        if Worker.failures_by_task.get(task, 0) < spec.get("fails", 0):
            Worker.failures_by_task[task] = Worker.failures_by_task.get(task, 0) + 1
            how, lasts_ms = FAILED, spec.get("fails_ms", lasts_ms)
        self.runs[task] = {
            "attempt": attempt,
            "from_ms": clock_ms,
            "until_ms": clock_ms + lasts_ms,
            "how": how,
            "cpu": spec.get("cpu", 1000),
        }
        self.starts.append((round(self._record.now_s(), 3), task, attempt, self.id))
        self._record.write(
            f"worker {self.id}: start {task} attempt {attempt} token {wanted['fencing_token']};"
            f" in use {self.used_cpu} of {self.cpu}"
        )
        return 200, {"clock_ms": clock_ms}

    def _stop(self, wanted):
        task, attempt = wanted["task"], wanted["attempt"]
        self.blocked[task] = max(self.blocked.get(task, 0), attempt)
        if task in self.runs and self.runs[task]["attempt"] <= attempt:
            self._end(task, STOPPED)
        return 200, {"clock_ms": self._clock_ms()}

    def _extend(self, wanted):
        limit_ms = self._clock_ms() + 6000
        until_ms = min(wanted.get("deadline_ms", 0), limit_ms)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    async def _hold(self, wanted):
        self._extend(wanted)
        for number, task, attempt, how, _ in self.ends:
            if number <= wanted["last_seen"]:
                self.noted.append((self._record.now_s(), task, attempt, how))
                self._record.write(f"worker {self.id}: end of {task} {attempt} is taken note of")
        self.ends = [end for end in self.ends if end[0] > wanted["last_seen"]]
        if not self.ends and wanted.get("wait_ms"):
            try:
                async with asyncio.timeout(wanted["wait_ms"] / 1000):
                    await self._ended.wait()
            except TimeoutError:
                pass
        clock_ms = self._clock_ms()
        running = []
        for task, run in self.runs.items():
            whole_ms = max(1, run["until_ms"] - run["from_ms"])
            percent = int(100 * (clock_ms - run["from_ms"]) / whole_ms)
            running.append([task, run["attempt"], "", min(99, percent), run["cpu"]])
        return 200, {
            "clock_ms": clock_ms,
            "born": self.born_ms,
            "running": running,
            "finished": self.ends[:500],
        }


class Node:
    """One node: the project's own program in a process of its own."""

    def __init__(self, cell, number, core_share):
        self._cell = cell
        self.name = f"edge-{number}"
        self.ip = f"127.{cell.subnet}.{10 + number}"
        self.frontend = free_address(self.ip)
        self.ready = free_address(self.ip)
        peer_port = int(free_address(self.ip).rpartition(":")[2])
        self.settings = cell.folder / f"{self.name}.json"
        self.settings.write_text(
            json.dumps(_make_settings(self, cell.store.service.address, peer_port, core_share))
        )
        self.process = None

    async def start(self):
        log = open(self._cell.folder / f"{self.name}.log", "ab")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self._cell.folder),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "REDWINGPLANK_SETTINGS": str(self.settings),
        }
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "redwingplank.cli.cell",
            cwd=REPOSITORY,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self._cell.record.write(f"node {self.name}: started, frontend {self.frontend}")

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def log_text(self):
        return (self._cell.folder / f"{self.name}.log").read_text(errors="replace")


def _make_settings(node, store_address, peer_port, core_share):
    """The settings of a small deployment, with the bounds of dnyk-notahane."""
    return {
        "node_name": node.name,
        "role": "node",
        "machine_class": "edge",
        "serves": ["edge"],
        "ip": node.ip,
        "zone": "a",
        "region": "r",
        "zones": {"a": "r"},
        "listen": {"frontend": node.frontend, "ready": node.ready},
        "port_range": [peer_port, peer_port],
        "seeds": [],
        "bootstrap": True,
        "failure_counted": False,
        "limits": {
            "cpu_share": core_share,
            "cores": 2,
            "memory_mb": 300,
            "max_fds": 4100,
            "link_mbps": 1000.0,
            "disk_mb": 0,
        },
        "data_dir": None,
        "discovery": "platform",
        "entry": "vip",
        "heartbeat_ms": 1500,
        "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
        "fault_tolerance": {"machines": 1, "zones": 1, "region_count": 0},
        "bounds": {**BOUNDS, **node._cell.bounds},
        "control_mode": "invoked",
        "advisor": None,
        "platform": {
            "address": store_address,
            "form": "kv",
            "writes_per_s": 400,
            "reads_per_s": 2000,
            "history_s": 20,
            "value_bytes": 1048576,
            "ttl_min_ms": 1000,
        },
    }


BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "recover_s": 12,
    "hold_max_ms": 6000,
    "stop_grace_ms": 900,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remote_factor": 2,
    "checkpoint_s": 0.5,
    "restore_ms": 100,
    "notice_ms": 4500,
    "migrate_s": 1.5,
    "maintenance_s": 2,
    "fencing_enabled": True,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "rate_ms": 100,
    "impact_ms": 4000,
}


class Cell:
    """A store, workers and nodes, with the operator and the callers."""

    def __init__(self, record, folder, bounds=None):
        self.record = record
        self.folder = folder
        self.bounds = bounds or {}
        self.store = Store(record)
        self.workers = []
        self.nodes = []
        # The port of a node's metrics is fixed, so that each node has an address of its own.
        self.subnet = f"{random.randint(1, 254)}.{random.randint(0, 254)}"

    async def start(self, workers, nodes=3, core_shares=(), routes=None):
        """Start everything; `workers` is a list of pairs of cpu and labels."""
        await self.store.start()
        self.configure(1, routes or [self.route()])
        for number, (cpu, labels) in enumerate(workers):
            worker = Worker(self.store, self.record, f"w{number}", cpu, labels)
            self.workers.append(worker)
            await worker.boot()
        for number in range(nodes):
            share = core_shares[number] if number < len(core_shares) else 0.5
            node = Node(self, number, share)
            self.nodes.append(node)
            await node.start()
        for node in self.nodes:
            await self.until_ready(node)
        await self.until(lambda: "redwing/system/owner" in self.store.items, 10.0)

    def route(self, **values):
        return {
            "name": "proof",
            "host": HOST,
            "prefix": "/proof/",
            "service": SERVICE,
            "priority": 0,
            "max_attempts": 4,
            "stretch_factor": 1.5,
            "target_duration_ms": 250,
            **values,
        }

    def configure(self, version, routes):
        """Write a configuration, as the operator does."""
        config = {
            "version": version,
            "routes": routes,
            "services": [{"name": SERVICE, "rejects_overload": False}],
            "limits": {"max_body_bytes": 262144},
        }
        self.store.put("op/config", config)
        names = [route["name"] for route in routes]
        self.record.write(f"operator: config {version} with the routes {names}, acknowledged")

    async def until_ready(self, node, limit_s=20.0):
        for _ in range(int(limit_s / 0.1)):
            answer = await call("GET", node.ready, "/-/readyz", timeout_s=1.0)
            if answer is not None and answer[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{node.name} is not ready")

    async def until(self, condition, limit_s):
        """Wait until a condition holds; return whether it did."""
        until_s = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() >= until_s:
                return False
            await asyncio.sleep(0.01)
        return True

    async def request(self, method, path, body=None, node=0):
        """Send a caller's request; return status and body, None without an answer."""
        headers = {"X-Redwingplank-Deadline-Ms": "3000", "Content-Type": "application/json"}
        answer = await call(method, self.nodes[node].frontend, path, body, headers)
        shown = f"{answer[0]} {answer[1]}" if answer else "no answer"
        self.record.write(f"caller: {method} {path} at {self.nodes[node].name}: {shown}")
        return answer

    async def submit(self, job_id, spec, steps, node=0, prefix="/proof/"):
        body = {"spec": json.dumps(spec), "steps": steps}
        return await self.request("POST", f"{prefix}{job_id}", body, node)

    async def state(self, job_id, node=0, prefix="/proof/"):
        answer = await self.request("GET", f"{prefix}{job_id}", node=node)
        if answer is None:
            return "no answer"
        return answer[1].get("state", "") if answer[0] == 200 else str(answer[0])

    async def until_state(self, job_id, states, limit_s, node=0, period_s=0.25):
        until_s = time.monotonic() + limit_s
        while True:
            state = await self.state(job_id, node)
            if state in states or time.monotonic() >= until_s:
                return state
            await asyncio.sleep(period_s)

    def starts_of(self, job_id):
        """Return the starts of a job's tasks on all workers, by time."""
        return sorted(
            row
            for worker in self.workers
            for row in worker.starts
            if row[1].startswith(f"{job_id}.")
        )

    def runs_now(self, job_id):
        return [
            (worker, task)
            for worker in self.workers
            if worker.is_up
            for task in worker.runs
            if task.startswith(f"{job_id}.")
        ]

    async def stop(self):
        for node in self.nodes:
            await node.end()
        for worker in self.workers:
            if worker.is_up:
                await worker.crash()
        await self.store.stop()


def run(case_folder, scenario, bounds=None, limit_s=112.0):
    """Run a scenario; exit with its result, or with 2 if it could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(case_folder) / "record.txt")
    record.write(f"TROUBLE={int(has_trouble)}")

    async def main():
        with tempfile.TemporaryDirectory() as folder:
            cell = Cell(record, Path(folder), bounds)
            task = asyncio.current_task()
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(number, task.cancel)
            try:
                async with asyncio.timeout(limit_s):
                    return await scenario(cell, has_trouble)
            except (Exception, asyncio.CancelledError) as error:
                record.write(f"could not run: {error!r}")
                return COULD_NOT_RUN
            finally:
                await cell.stop()
                if os.environ.get("KEEP_LOGS"):
                    for node in cell.nodes:
                        Path(os.environ["KEEP_LOGS"], f"{node.name}.log").write_text(
                            node.log_text()
                        )

    result = asyncio.run(main())
    words = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}
    record.write(words[result])
    print(words[result])
    sys.exit(result)
