"""Stand-ins for the platform of a small deployment, and starts of the project's own nodes.

Only the standard library is used. The store, the workers and the clients run in the process of the
script, the nodes as separate processes. All addresses are on the loopback interface.
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

ROOT = Path(__file__).resolve().parents[2]
HOLD_MAX_MS = 6000
STOP_GRACE_S = 0.2
HEARTBEAT_S = 1.5
WAITS_MOST_MS = 2000


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the script began."""
        return time.monotonic() - self._started_s

    def write(self, text):
        """Write a line."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


class HttpServer:
    """A small HTTP/1.1 server; the handler returns a status and a body, or None for silence."""

    def __init__(self, handle, ip="127.0.0.1", port=0, drops_left=False):
        self._handle = handle
        self._drops_left = drops_left
        self._writers = set()
        self._tasks = set()
        self._server = None
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((ip, port))
        self.port = self._listener.getsockname()[1]
        self.address = f"{ip}:{self.port}"

    async def start(self):
        """Begin to accept connections."""
        self._server = await asyncio.start_server(self._serve, sock=self._listener, backlog=256)

    def stop(self):
        """Close the listener, and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name:
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if self._drops_left:
                    answer = await self._until_left(reader, method, target, headers, body)
                else:
                    answer = await self._handle(method, target, headers, body)
                if answer is None:
                    await reader.read()
                    return
                status, media = answer
                data = b"" if media is None else json.dumps(media).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()

    async def _until_left(self, reader, *request):
        """Return the answer to a request, or None if the caller closes its channel before."""
        handling = asyncio.ensure_future(self._handle(*request))
        try:
            while not handling.done() and not reader.at_eof():
                await asyncio.wait([handling], timeout=0.02)
            return handling.result() if handling.done() else None
        finally:
            handling.cancel()


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self._record = record
        self.items = {}
        self.events = []
        self.revision = 1
        self.leases = {}
        self.changed = asyncio.Event()
        self.server = HttpServer(self._handle)
        self.answer_s = 0.004
        self.intercept = None
        """Called with the name and the body of each call; returns None to carry it out as usual,
        or an awaitable of the answer."""

    def put(self, key, value, lease=0):
        """Write a key as the operator or a worker does."""
        self.revision += 1
        self._put(key, value, lease)
        self._notify()

    def remove(self, key):
        """Remove a key."""
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._notify()

    def _put(self, key, value, lease):
        old = self.items.get(key)
        created = old["created"] if old else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease_id": lease,
        }
        self.items[key] = item
        self.events.append((self.revision, item))

    def _remove(self, key):
        del self.items[key]
        event = {"key": key, "revision": self.revision, "deleted": True}
        self.events.append((self.revision, event))

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now_s = time.monotonic()
        for lease, (_, until_s) in list(self.leases.items()):
            if now_s >= until_s:
                self._end_lease(lease)

    async def run(self):
        """Expire leases until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            self._expire()

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item["lease_id"] == lease]:
            self.remove(key)
        return True

    async def _handle(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        name = parts.path.removeprefix("/-/")
        media = json.loads(body) if body else {}
        await asyncio.sleep(self.answer_s / 2)
        if self.intercept is not None:
            answer = self.intercept(name, media)
            if answer is not None:
                return await answer
        answer = await self.carry_out(name, query, media)
        await asyncio.sleep(self.answer_s / 2)
        return answer

    async def carry_out(self, name, query, media):
        """Carry out a call and return its answer."""
        self._expire()
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (404, {"at_rev": self.revision}) if item is None else (200, item)
        if name == "kv-range":
            return 200, self._range(query)
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self.transact(media)
        if name == "kv-lease":
            self.revision += 1
            ttl_ms = max(1000, media["ttl_ms"])
            self.leases[self.revision] = (ttl_ms / 1000, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease_id": self.revision, "ttl_ms": ttl_ms}
        kind, _, number = name.partition("/")
        if kind == "kv-keep":
            found = self.leases.get(int(number))
            if found is None:
                return 404, {}
            self.leases[int(number)] = (found[0], time.monotonic() + found[0])
            return 200, {}
        if kind == "kv-lease-end":
            return (200 if self._end_lease(int(number)) else 404), {}
        return 404, {}

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return {
            "items": [self.items[key] for key in keys[:500]],
            "has_more": len(keys) > 500,
            "at_rev": self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", 0))
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [
                event
                for revision, event in self.events
                if revision > after and event["key"].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass

    def transact(self, media):
        """Carry out a transaction and return its answer."""
        expected = media.get("expect", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items[row["key"]] for row in expected if row["key"] in self.items]
                return 412, {"items": found}
        for row in media.get("puts", []):
            if row.get("lease_id") and row["lease_id"] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in media.get("puts", []):
            self._put(row["key"], base64.b64decode(row["value"]), row.get("lease_id", 0))
        for key in media.get("remove", []):
            if key in self.items:
                self._remove(key)
        self._notify()
        return 200, {"revision": self.revision}


class Worker:
    """One worker; its process may crash and start again, under a new id or the same one.

    The payload of a job says how long its tasks run: `run SECONDS`, or `last`.
    """

    def __init__(self, record, store, number, zone, capacity=None, service="svc"):
        self._record = record
        self._store = store
        self.number = number
        self.zone = zone
        self.service = service
        self.capacity = capacity or {"cpu": 64000, "mem_mb": 131072, "gpu": 0}
        self.worker_id = f"w{number}-1"
        self._life = 1
        self.born_ms = int(time.time() * 1000) - 3_600_000
        self._born_s = time.monotonic() - 3600.0
        self._port = 0
        self.is_up = False
        self.is_cut = False
        """Cut off from all nodes: what arrives is neither read nor answered."""
        self._healed = asyncio.Event()
        self._healed.set()
        self.before_start = None
        """Called with this worker and the body of each start before it is carried out; returns
        False to leave the start unanswered and not carried out."""
        self.after_start = None
        """Called with this worker and the body of each start that has begun a run."""
        self._reset()

    def _reset(self):
        self.token = 0
        self.lease_until_ms = 0
        self.runs = {}
        self.blocked = {}
        self.ends = []
        self.end_count = 0
        self.ended = asyncio.Event()
        self.seq = 0

    def clock_ms(self):
        """Return the steady clock of the present process."""
        return int((time.monotonic() - self._born_s) * 1000)

    async def start_process(self, same_id=False):
        """Start the worker's process."""
        if self._port:
            self._reset()
            self._life += 1
            self.born_ms = int(time.time() * 1000)
            self._born_s = time.monotonic()
            if not same_id:
                self.worker_id = f"w{self.number}-{self._life}"
        self.server = HttpServer(self._handle, port=self._port)
        self._port = self.server.port
        await self.server.start()
        self.is_up = True
        self.write_entry()
        self._beat = asyncio.ensure_future(self._run())
        self._record.write(
            f"worker {self.worker_id} is up at {self.server.address}, born {self.born_ms}"
        )

    def crash(self):
        """End the process: all runs and all that it knows are gone, and its channels are reset."""
        self._record.write(f"worker {self.worker_id} crashes with {len(self.runs)} runs")
        for task, run in self.runs.items():
            self._record.write(f"lost with its worker: {task} run {run[0]} on {self.worker_id}")
        self.is_up = False
        self.runs = {}
        self._beat.cancel()
        self.server.stop()

    def cut(self, is_cut):
        """Cut the worker off from the nodes, not from the store, or end that."""
        self._record.write(f"worker {self.worker_id} is {'cut off' if is_cut else 'reached again'}")
        self.is_cut = is_cut
        if is_cut:
            self._healed.clear()
        else:
            self._healed.set()

    def write_entry(self):
        """Report to the store."""
        self.seq += 1
        entry = {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": self.seq,
            "capacity": self.capacity,
            "labels": ["a", f"r{self.number % 3}"],
            "born": self.born_ms,
        }
        self._store.put(f"servers/{self.worker_id}", json.dumps(entry).encode())

    async def _run(self):
        beat_s = time.monotonic() + HEARTBEAT_S
        while True:
            await asyncio.sleep(0.01)
            self._advance()
            if time.monotonic() >= beat_s:
                beat_s += HEARTBEAT_S
                self.write_entry()

    def _advance(self):
        now_ms = self.clock_ms()
        for task, (attempt, ends_ms, how) in list(self.runs.items()):
            if now_ms > self.lease_until_ms:
                self._end(task, attempt, "lapsed")
            elif now_ms >= ends_ms:
                self._end(task, attempt, how)

    def _end(self, task, attempt, how):
        if self.runs.get(task, (None,))[0] != attempt:
            return
        del self.runs[task]
        self.blocked[task] = max(self.blocked.get(task, 0), attempt)
        self.end_count += 1
        self.ends.append([self.end_count, task, attempt, how, ""])
        self._record.write(f"run ends {how}: {task} run {attempt} on {self.worker_id}")
        self.ended.set()
        self.ended = asyncio.Event()

    async def _handle(self, method, target, headers, body):
        if self.is_cut:
            await self._healed.wait()
            return None
        wanted = headers.get("x-redwingplank-expect-instance")
        media = json.loads(body) if body else {}
        name = target.removeprefix("/-/")
        if name == "run-start" and self.before_start is not None:
            if self.before_start(self, media, wanted) is False:
                return None
        answer = await self.carry_out(name, media, wanted)
        return None if self.is_cut else answer

    async def carry_out(self, name, media, wanted):
        """Carry out a call and return its answer."""
        if wanted and wanted != self.worker_id:
            return 421, {"clock_ms": self.clock_ms()}
        if media.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.token = media.get("fencing_token", 0)
        self._advance()
        if name == "run-start":
            return self._start(media)
        if name == "run-stop":
            return self._stop(media)
        if name == "hold":
            return await self._hold(media)
        return 200, {"clock_ms": self.clock_ms()}

    def _take_lease(self, until_ms):
        capped_ms = min(until_ms, self.clock_ms() + HOLD_MAX_MS)
        self.lease_until_ms = max(self.lease_until_ms, capped_ms)

    def _refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def _start(self, media):
        task, attempt = media["task"], media["attempt"]
        if media["deadline_ms"] <= self.clock_ms():
            return self._refuse("late")
        self._take_lease(media["deadline_ms"])
        if task in self.runs and self.runs[task][0] == attempt:
            return 200, {"clock_ms": self.clock_ms()}
        if attempt <= self.blocked.get(task, 0) or task in self.runs:
            return self._refuse("old")
        kind, _, number = media["spec"].partition(" ")
        length_ms = float("inf") if kind == "last" else float(number) * 1000
        how = "failed" if kind == "fail" else "done"
        self.runs[task] = (attempt, self.clock_ms() + length_ms, how)
        self._record.write(
            f"run begins: {task} run {attempt} on {self.worker_id} token {media['fencing_token']}"
            f" lease until {self.lease_until_ms} clock {self.clock_ms()}"
        )
        if self.after_start is not None:
            self.after_start(self, media)
        return 200, {"clock_ms": self.clock_ms()}

    def _stop(self, media):
        task, attempt = media["task"], media["attempt"]
        self.blocked[task] = max(self.blocked.get(task, 0), attempt)
        run = self.runs.get(task)
        if run is not None and run[0] <= attempt:
            asyncio.get_running_loop().call_later(STOP_GRACE_S, self._end, task, run[0], "stopped")
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, media):
        if "deadline_ms" in media:
            self._take_lease(media["deadline_ms"])
        self.ends = [end for end in self.ends if end[0] > media["last_seen"]]
        until_s = time.monotonic() + min(WAITS_MOST_MS, media.get("wait_ms", 0)) / 1000
        while not self.ends and time.monotonic() < until_s:
            try:
                await asyncio.wait_for(self.ended.wait(), until_s - time.monotonic())
            except asyncio.TimeoutError:
                break
        running = [
            [task, run[0], "", 100 if run[1] == float("inf") else 50, 0]
            for task, run in self.runs.items()
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born_ms,
            "running": running,
            "finished": self.ends[:500],
        }


class Advisor:
    """The advice service, as one machine calls it: one call at a time, all workers are allowed."""

    def __init__(self, decision_s=0.37, per_worker_s=0.005):
        self.decision_s = decision_s
        self.per_worker_s = per_worker_s
        self.called = asyncio.Event()
        """Set at each call."""
        self._lock = asyncio.Lock()
        self._waiting = 0
        self.server = HttpServer(self._handle)

    async def _handle(self, method, target, headers, body):
        media = json.loads(body)
        if self._waiting >= 32:
            return 429, {}
        self._waiting += 1
        try:
            async with self._lock:
                self.called.set()
                await asyncio.sleep(self.decision_s + self.per_worker_s * len(media["workers"]))
        finally:
            self._waiting -= 1
        return 200, {"allowed": [[worker, f"t-{worker}"] for worker in media["workers"]]}


class Node:
    """One of the project's own nodes, started as the deploy file says."""

    def __init__(self, record, site, number, zone):
        self._record = record
        self.name = f"edge-{number}"
        self.ip = f"127.{site.net}.{number}.1"
        self.zone = zone
        ports = find_ports(self.ip, 3)
        self.address = f"{self.ip}:{ports[0]}"
        self.peer_port = ports[2]
        self._site = site
        self.settings = {
            "node_name": self.name,
            "role": "node",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": self.ip,
            "zone": zone,
            "region": "r",
            "zones": {name: "r" for name in site.zones},
            "listen": {"frontend": self.address, "ready": f"{self.ip}:{ports[1]}"},
            "port_range": [ports[2], ports[2]],
            "seeds": [],
            "bootstrap": True,
            "failure_counted": True,
            "limits": {"cpu_share": 0.9, "cores": 1, "memory_mb": 300, "max_fds": 4100},
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1500,
            "bounds": {
                "contact_ms": 3000,
                "ack_ms": 4000,
                "drain_ms": 2000,
                "grace_s": 6,
                "config_apply_ms": 2000,
                "hold_max_ms": HOLD_MAX_MS,
                "stop_grace_ms": 900,
                "gang_timeout_ms": 3000,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "finish_s": 14,
                "status_s": 120,
                "remote_factor": 2,
            },
            "control_mode": "invoked",
            "platform": {
                "address": site.store.server.address,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        self.advisor = Advisor() if site.has_advisor else None
        if self.advisor is not None:
            self.settings["advisor"] = self.advisor.server.address
        self.process = None

    async def start(self):
        """Start the process."""
        path = self._site.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings), encoding="utf-8")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["REDWINGPLANK_SETTINGS"] = str(path)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        if os.environ.get("FAULTS"):
            environment["PYTHONFAULTHANDLER"] = "1"
        log = open(self._site.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "redwingplank.cli.cell",
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self._record.write(f"node {self.name} starts as process {self.process.pid}")

    def send(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self._record.write(f"node {self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    def log_text(self):
        """Return what the process has written."""
        path = self._site.folder / f"{self.name}.log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""


class Site:
    """A small deployment: a store, workers and nodes."""

    def __init__(self, record, node_count=3, worker_count=6, has_advisor=False):
        self.record = record
        self.has_advisor = has_advisor
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = random.randint(20, 250)
        self.zones = ["z1", "z2", "z3"]
        self.store = Store(record)
        self.workers = [
            Worker(record, self.store, number, self.zones[number % 3])
            for number in range(1, worker_count + 1)
        ]
        self.nodes = [
            Node(record, self, number, self.zones[number % 3])
            for number in range(1, node_count + 1)
        ]
        self.version = 3
        self.routes = [make_route("q1", "/q1/")]

    def write_config(self):
        """Write the configuration as the operator does."""
        self.version += 4
        config = {
            "version": self.version,
            "routes": self.routes,
            "services": [{"name": "svc", "rejects_overload": False}],
            "limits": {"max_body_bytes": 262144},
        }
        self.store.put("op/config", json.dumps(config).encode())
        self.record.write(
            f"configuration {self.version}: {[route['name'] for route in self.routes]}"
        )

    async def start(self):
        """Start everything, and wait until all nodes are ready and there is an owner."""
        await self.store.server.start()
        for node in self.nodes:
            if node.advisor is not None:
                await node.advisor.server.start()
        self._expiring = asyncio.ensure_future(self.store.run())
        self.write_config()
        for worker in self.workers:
            await worker.start_process()
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            for _ in range(300):
                status, _ = await call(
                    node.settings["listen"]["ready"], "GET", "/-/readyz", timeout_s=1
                )
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"{node.name} does not become ready:\n{node.log_text()[-2000:]}")
        for _ in range(100):
            if self.owner() is not None:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("no node owns the jobs")

    def owner(self):
        """Return the node that owns the jobs by the store, None if there is none."""
        item = self.store.items.get("redwing/system/owner")
        if item is None:
            return None
        name = json.loads(base64.b64decode(item["value"]))["owner"]
        return next(node for node in self.nodes if node.name == name)

    async def stop(self):
        """End all processes and remove the temporary folder."""
        for node in self.nodes:
            process = node.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for worker in self.workers:
            if worker.is_up:
                worker.crash()
        self.store.server.stop()
        for node in self.nodes:
            if node.advisor is not None:
                node.advisor.server.stop()
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()


def make_route(name, prefix, max_attempts=3, priority=0, advisor=None):
    """Return a route of the configuration."""
    more = {} if advisor is None else {"advisor": advisor}
    return {
        **more,
        "name": name,
        "host": "jobs.example",
        "prefix": prefix,
        "service": "svc",
        "priority": priority,
        "max_attempts": max_attempts,
        "stretch_factor": 2.0,
        "target_duration_ms": 500,
    }


def find_ports(ip, count):
    """Return free ports of an address below those for outgoing connections."""
    found = []
    while len(found) < count:
        port = random.randint(12000, 31000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


async def call(address, method, path, body=None, timeout_s=3.0):
    """Send one request on a new channel; return status and body, or None for no whole answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: jobs.example\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                f"X-Redwingplank-Deadline-Ms: {int(timeout_s * 1000)}\r\n\r\n".encode() + data
            )
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            length = 0
            for line in head.decode("latin-1").split("\r\n"):
                if line.lower().startswith("content-length:"):
                    length = int(line.partition(":")[2])
            content = await reader.readexactly(length)
            return status, content.decode()
    except (OSError, asyncio.IncompleteReadError, TimeoutError, IndexError, ValueError):
        return None, ""
    finally:
        if writer is not None:
            writer.transport.abort()


class Client:
    """A requester: submits, asks and cancels, and records what was answered."""

    def __init__(self, record, site):
        self._record = record
        self._site = site

    async def request(self, method, path, body=None, node=None):
        """Send a request to a node, by default a random one, and record it."""
        chosen = node or random.choice(self._site.nodes)
        status, text = await call(chosen.address, method, path, body)
        self._record.write(f"{method} {path} at {chosen.name} -> {status} {text}")
        return status, text

    async def submit(self, path, spec, steps, attempts=5, node=None):
        """Submit a job until it is accepted; return whether it was."""
        for _ in range(attempts):
            status, _ = await self.request("POST", path, {"spec": spec, "steps": steps}, node)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, path, node=None):
        """Return the state of a job, or its status if there is none."""
        status, text = await self.request("GET", path, None, node)
        return json.loads(text)["state"] if status == 200 else status

    async def wait_for(self, path, states, timeout_s):
        """Ask every 0.5 s until a state is reached; return the last one."""
        until_s = time.monotonic() + timeout_s
        state = None
        while time.monotonic() < until_s:
            state = await self.state(path)
            if state in states:
                return state
            await asyncio.sleep(0.5)
        return state


def new_id():
    """Return an id for a job."""
    return f"{random.getrandbits(64):016x}"


def has_trouble():
    """Return whether the script makes its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, folder):
    """Run a case, which returns whether the rule held, and exit as the issue says."""
    record = Record(Path(folder) / "record.txt")
    try:
        held = asyncio.run(_run(case, record))
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record.write("the rule held" if held else "the rule was BROKEN")
    print("held" if held else "broken")
    sys.exit(0 if held else 1)


async def _run(case, record):
    async with asyncio.timeout(115):
        return await case(record)
