"""Benchmarks of declarations and their propagation, of membership and of calls to the store.

Most of them run cells of nodes on a fake clock and a fake network (`redwingplank.standin.nodes`);
`NodeProcesses` runs real processes on loopback.
"""

import asyncio
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Mapping
from typing import Any

import capnp
import msgspec
import numpy as np
import psutil

from redwingplank.config import parse_declarations, parse_documents
from redwingplank.config.stored import encode_declarations
from redwingplank.core import MonotonicClock, make_resources
from redwingplank.membership import DomainSummary, Heartbeat, MembershipTiming, VmWord
from redwingplank.platform import ListedVm, Put, VmRole
from redwingplank.platform.http import serve_http
from redwingplank.rpc import PeerConnections, load_schema, serve_node
from redwingplank.rpc.membership_calls import MEMBERSHIP_SERVICE, MembershipCalls
from redwingplank.rpc.membership_codec import encode_word, message_bytes
from redwingplank.runtime.apply import apply_declarations
from redwingplank.runtime.operator import make_plan
from redwingplank.standin.nodes import NodeCell, make_node_cell
from redwingplank.standin.store import MemoryStore, MemoryStoreClient

NODES_PER_DOMAIN = 9
DOMAINS = [1, 5, 15]
CHANGES_PER_DAY = 3900
SECONDS_PER_DAY = 86_400
FIRST_PORT = 17_540
RELAY_PORT = 17_560
STORE_PORT = 17_561
WORKERS_PER_DOMAIN = 460
UPSTREAMS_PER_DOMAIN = 24
LISTED_VMS = WORKERS_PER_DOMAIN + UPSTREAMS_PER_DOMAIN + NODES_PER_DOMAIN

TEMPLATES = """
schema_version: 1
templates:
  base: {max_attempts: 3, is_idempotent: true}
  proof: {extends: base, kind: request, upstream_service: notahane, deadline_class: urgent}
  extraction:
    extends: base
    kind: batch
    deadline_class: bulk
    resources: {millicores: 2000, memory_mib: 3072}
  watcher: {extends: base, kind: service, count: 2, resources: {millicores: 500}}
  premiere: {extends: base, kind: gang, resources: {millicores: 4000, memory_mib: 4096}}
"""

ORGANISATION = """
schema_version: 1
organisations:
  org-{index}:
    share: {share}
    quota: {{millicores: 512000, memory_mib: 1048576}}
    services:
      proof:
        template: proof
        priority: 700
      part-extraction:
        template: extraction
        resources: {{memory_mib: 2048}}
      watcher:
        template: watcher
        count: 2
      premiere-set: {{template: premiere}}
"""


def make_files(organisations: int) -> dict[str, str]:
    """Return declarations by file name: one file per organisation and one with templates."""
    files = {"templates.yaml": TEMPLATES}
    for index in range(organisations):
        files[f"org-{index}.yaml"] = ORGANISATION.format(index=index, share=100)
    return files


def apply_change(store: MemoryStore, index: int, share: int) -> int:
    """Apply a change to the share of one organisation and return its revision."""
    files = {"a.yaml": ORGANISATION.format(index=index, share=share)}
    nonce = f"{index}-{share}-{store.revision}"
    return asyncio.run(apply_declarations(MemoryStoreClient(store), files, 0.0, nonce)).revision


def make_started_cell(domains: int, nodes: int = NODES_PER_DOMAIN, **options: Any) -> NodeCell:
    """Return a cell in which the declarations of 150 organisations are in force at every node."""
    cell = make_node_cell(domains, nodes, **options)
    values = encode_declarations(parse_documents(make_files(150)))
    cell.store.transact((), tuple(Put(key, value) for key, value in values.items()))
    cell.run_for(20.0)
    if any(node.follow.revision != 1 for node in cell.nodes):
        raise RuntimeError("some nodes do not have the first revision after 20 s")
    return cell


class ChangeInForce:
    """Seconds on a fake clock from the commit of a change until it is in force at each node."""

    params = DOMAINS
    param_names = ["domains"]
    changes = 10

    def setup(self, domains: int) -> None:
        """Start the cell."""
        self.cell = make_started_cell(domains)

    def track_time(self, domains: int) -> Mapping[str, float]:
        """Return the median and the maximum over all nodes and changes."""
        taken_s = []
        for share in range(1, self.changes + 1):
            committed_at_s = self.cell.clock.now_s()
            revision = apply_change(self.cell.store, share, share)
            self.cell.run_for(9.0)
            taken_s += [
                node.in_force_at_s.get(revision, float("inf")) - committed_at_s
                for node in self.cell.nodes
            ]
        return {"p50_s": float(np.median(taken_s)), "max_s": max(taken_s)}


class ChangeInForceWithoutWatch(ChangeInForce):
    """Like `ChangeInForce`, but no watch delivers events, so that polling finds the change."""

    params = [1, 15]
    changes = 5

    def setup(self, domains: int) -> None:
        """Start the cell and suppress the events of all watches."""
        super().setup(domains)
        for node in self.cell.nodes:
            node.is_watch_silent = True


class Detection:
    """Seconds on a fake clock until all nodes of a failure domain know that a VM is gone."""

    params = [9, 18]
    param_names = ["nodes"]
    seeds = range(10)

    def track_leaving(self, nodes: int) -> Mapping[str, float]:
        """Return the longest time until all nodes know that a node leaves."""
        return {"max_s": max(self._measure_leaving(nodes, seed) for seed in self.seeds)}

    def track_upstream_leaving(self, nodes: int) -> Mapping[str, float]:
        """Return the longest time until all nodes know that an upstream leaves."""
        return {"max_s": max(self._measure_marking(nodes, seed) for seed in self.seeds)}

    def track_dead(self, nodes: int) -> Mapping[str, float]:
        """Return the longest time until all nodes have detected a dead node."""
        return {"max_s": max(self._measure_death(nodes, seed) for seed in self.seeds)}

    def track_false_deaths_in_one_hour(self, nodes: int) -> float:
        """Return how often a node missed a live peer while one node pauses for 1 s every 2 s."""
        cell = self._start(nodes, 1)
        generator = np.random.default_rng(3)
        missing = 0
        for _ in range(1800):
            node = cell.nodes[int(generator.integers(nodes))]
            node.paused_until_s = cell.clock.now_s() + 1.0
            cell.run_for(2.0)
            missing += sum(len(n.membership.live_peers()) != nodes - 1 for n in cell.nodes)
        return missing

    def _measure_leaving(self, nodes: int, seed: int) -> float:
        cell = self._start(nodes, seed)
        cell.nodes[0].membership.leave()
        return self._wait_until_gone(cell)

    def _measure_death(self, nodes: int, seed: int) -> float:
        cell = self._start(nodes, seed)
        cell.nodes[0].is_dead = True
        return self._wait_until_gone(cell)

    def _measure_marking(self, nodes: int, seed: int) -> float:
        cell = self._start(nodes, seed)
        started_s = cell.clock.now_s()
        cell.nodes[0].membership.mark(started_s, VmWord("u"))
        while not all(node.membership.vms.has_word("u") for node in cell.nodes):
            cell.run_for(0.01)
        return cell.clock.now_s() - started_s

    @staticmethod
    def _start(nodes: int, seed: int) -> NodeCell:
        cell = make_node_cell(1, nodes, seed=seed)
        cell.run_for(5.0 + 0.37 * seed)
        return cell

    @staticmethod
    def _wait_until_gone(cell: NodeCell) -> float:
        started_s = cell.clock.now_s()
        name = cell.nodes[0].identity.name
        others = cell.nodes[1:]
        while any(peer.name == name for node in others for peer in node.membership.live_peers()):
            cell.run_for(0.01)
        return cell.clock.now_s() - started_s


class NodeTraffic:
    """Bytes per second of the busiest node in both directions, at 3,900 changes per day."""

    params = [DOMAINS, [9, 18]]
    param_names = ["domains", "nodes_per_domain"]
    window_s = 240.0

    def setup(self, domains: int, nodes_per_domain: int) -> None:
        """Start the cell; 15 domains with 18 nodes each are skipped because they run too long."""
        if domains == max(DOMAINS) and nodes_per_domain > NODES_PER_DOMAIN:
            raise NotImplementedError
        self.overhead_bytes = measure_call_overhead_bytes()
        self.cell = make_started_cell(domains, nodes_per_domain, size_of=_size_of)

    def track_traffic(self, domains: int, nodes_per_domain: int) -> Mapping[str, float]:
        """Return the total, the traffic by message kind and of the VM list, and processor time."""
        cell = self.cell
        cell.traffic.bytes_by_node.clear()
        cell.traffic.bytes_by_kind.clear()
        cell.traffic.messages_by_kind.clear()
        calls_by_node = self._count_calls()
        started_s = time.process_time()
        self._run()
        used_s = time.process_time() - started_s
        busiest = max(
            cell.traffic.bytes_by_node[address] + self.overhead_bytes * calls_by_node[address]
            for address in cell.nodes_by_address
        )
        list_bytes_per_s = list_bytes() * MembershipTiming().listed_vms_per_s / LISTED_VMS
        node_count = domains * nodes_per_domain
        result = {
            "busiest_node_bytes_per_s": busiest / self.window_s + list_bytes_per_s,
            "list_bytes_per_s": list_bytes_per_s,
            "overhead_bytes_per_call": self.overhead_bytes,
            "decisions_percent": 100.0 * used_s / (self.window_s * node_count),
        }
        for kind, size_bytes in cell.traffic.bytes_by_kind.items():
            # Each message is sent by one node and received by another.
            per_node = 2 * size_bytes / node_count / self.window_s
            result[f"mean_{kind.lower()}_bytes_per_s"] = per_node
        return result

    def _count_calls(self) -> Counter[str]:
        calls_by_node: Counter[str] = Counter()
        count = self.cell._call

        def call(node: Any, address: str, *rest: Any) -> None:
            calls_by_node[node.identity.address] += 1
            calls_by_node[address] += 1
            count(node, address, *rest)

        self.cell._call = call  # type: ignore[method-assign]
        return calls_by_node

    def _run(self) -> None:
        interval_s = SECONDS_PER_DAY / CHANGES_PER_DAY
        for change in range(int(self.window_s / interval_s)):
            apply_change(self.cell.store, change % 150, 200 + change)
            self.cell.run_for(interval_s)
        self.cell.run_for(self.window_s % interval_s)


class StoreCalls:
    """Calls to the store by all nodes together, on a fake clock."""

    params = DOMAINS
    param_names = ["domains"]

    def track_calls(self, domains: int) -> Mapping[str, float]:
        """Return the rates of calls at start, in steady state, in an outage and after it."""
        cell = make_started_cell(domains)
        at_start = self._busiest_second(cell, 0.0)
        steady_from_s = cell.clock.now_s()
        cell.run_for(60.0)
        steady = self._count(cell, steady_from_s) / 60.0
        cell.is_store_down = True
        down_from_s = cell.clock.now_s()
        cell.run_for(600.0)
        in_outage = self._count(cell, down_from_s) / 600.0
        cell.is_store_down = False
        returned_at_s = cell.clock.now_s()
        revision = apply_change(cell.store, 1, 7)
        cell.run_for(30.0)
        in_force_s = max(node.in_force_at_s[revision] for node in cell.nodes) - returned_at_s
        return {
            "busiest_second_at_start": at_start,
            "steady_per_s": steady,
            "outage_per_s": in_outage,
            "busiest_second_at_return": self._busiest_second(cell, returned_at_s),
            "in_force_after_return_s": in_force_s,
        }

    @staticmethod
    def _count(cell: NodeCell, from_s: float) -> int:
        return sum(at_s >= from_s for at_s in cell.store_call_times_s)

    @staticmethod
    def _busiest_second(cell: NodeCell, from_s: float) -> float:
        times_s = np.array([at_s for at_s in cell.store_call_times_s if at_s >= from_s])
        window_ends = np.searchsorted(times_s, times_s + 1.0)
        return float(max(window_ends - np.arange(len(times_s)), default=0))


class ParseTime:
    """Time of the commands that check declarations while an operator waits."""

    params = [10, 50, 150]
    param_names = ["organisations"]

    def setup(self, organisations: int) -> None:
        """Write the declarations to a store in memory."""
        self.files = make_files(organisations)
        self.store = MemoryStore(MonotonicClock())
        values = encode_declarations(parse_documents(self.files))
        self.store.transact((), tuple(Put(key, value) for key, value in values.items()))

    def time_validate(self, organisations: int) -> None:
        """Parse and check all files."""
        parse_declarations(self.files)

    def time_plan(self, organisations: int) -> None:
        """Compare all files with the declarations in force."""
        asyncio.run(make_plan(MemoryStoreClient(self.store), self.files))


class NodeProcesses:
    """Time until a change is in force in nine separate processes on loopback."""

    processes = 9
    changes = 60
    idle_s = 10.0

    def track_change(self) -> Mapping[str, float]:
        """Return the seconds since the call of apply, and the busiest process's CPU time."""
        return asyncio.run(self._run())

    async def _run(self) -> Mapping[str, float]:
        # Imported here because only this benchmark needs the web framework of the stand-in.
        import falcon.asgi

        from redwingplank.standin.http_admin import add_vm_list_routes
        from redwingplank.standin.http_store import add_store_routes
        from redwingplank.standin.vms import LaggingVmList, MemoryVmList

        clock = MonotonicClock()
        store = MemoryStore(clock)
        app = falcon.asgi.App()
        add_store_routes(app, MemoryStoreClient(store))
        add_vm_list_routes(app, MemoryVmList(LaggingVmList(clock)))
        server = await serve_http(app, [f"127.0.0.1:{STORE_PORT}"])
        values = encode_declarations(parse_documents(make_files(150)))
        store.transact((), tuple(Put(key, value) for key, value in values.items()))
        nodes = self._start_nodes()
        try:
            return await self._measure(store, nodes)
        finally:
            for node in nodes:
                node.kill()
                node.wait()
            store.close()
            await server.stop()

    async def _measure(
        self, store: MemoryStore, nodes: list["subprocess.Popen[str]"]
    ) -> Mapping[str, float]:
        loop = asyncio.get_running_loop()
        await asyncio.gather(*(loop.run_in_executor(None, _wait_for, node, 1) for node in nodes))
        taken_s: list[float] = []
        used_before_s = _read_cpu_s(nodes)
        for share in range(1, self.changes + 1):
            files = {"a.yaml": ORGANISATION.format(index=share, share=share)}
            started_s = time.time()
            result = await apply_declarations(
                MemoryStoreClient(store), files, started_s, f"n{share}"
            )
            waits = (loop.run_in_executor(None, _wait_for, node, result.revision) for node in nodes)
            taken_s += [at_s - started_s for at_s in await asyncio.gather(*waits)]
            await asyncio.sleep(0.1)
        used_s = _read_cpu_s(nodes)
        await asyncio.sleep(self.idle_s)
        idle_used_s = _read_cpu_s(nodes) - used_s
        return {
            "p50_s": float(np.percentile(taken_s, 50)),
            "p99_s": float(np.percentile(taken_s, 99)),
            "max_s": max(taken_s),
            "cpu_per_change_ms": 1000 * float(max(used_s - used_before_s)) / self.changes,
            "idle_cpu_percent": 100 * float(max(idle_used_s)) / self.idle_s,
        }

    def _start_nodes(self) -> list["subprocess.Popen[str]"]:
        names = [f"domain-{index % 3}/node-{index}" for index in range(self.processes)]
        addresses = {name: f"127.0.0.1:{FIRST_PORT + index}" for index, name in enumerate(names)}
        entries = ",".join(f"{name}={address}" for name, address in addresses.items())
        nodes = []
        for name, address in addresses.items():
            failure_domain, _, short_name = name.partition("/")
            settings = {
                "name": short_name,
                "failure_domain": failure_domain,
                "failure_domains": "domain-0,domain-1,domain-2",
                "rpc_address": address,
                "store_url": f"http://127.0.0.1:{STORE_PORT}",
                "vms_url": f"http://127.0.0.1:{STORE_PORT}",
                "entries": entries,
            }
            arguments = [f"{key}={value}" for key, value in settings.items()]
            command = [sys.executable, "-m", "benchmarks._node_process", *arguments]
            nodes.append(subprocess.Popen(command, stdout=subprocess.PIPE, text=True))
        return nodes


def _wait_for(node: "subprocess.Popen[str]", revision: int) -> float:
    assert node.stdout is not None
    for line in node.stdout:
        kind, *values = line.split()
        if kind == "revision" and int(values[0]) >= revision:
            return float(values[1])
    raise RuntimeError(f"a node exited with code {node.wait()} before revision {revision}")


def _read_cpu_s(nodes: list["subprocess.Popen[str]"]) -> np.ndarray:
    times = [psutil.Process(node.pid).cpu_times() for node in nodes]
    return np.array([used.user + used.system for used in times])


def list_bytes() -> int:
    """Return the size in bytes of one failure domain's part of the VM list, as JSON."""
    roles = (
        [VmRole.WORKER] * WORKERS_PER_DOMAIN
        + [VmRole.UPSTREAM] * UPSTREAMS_PER_DOMAIN
        + [VmRole.ENTRY] * NODES_PER_DOMAIN
    )
    capacity = make_resources(64_000, 131_072, {"gpu": 2})
    vms = [
        ListedVm(
            f"{role}-domain-7-{index}",
            role,
            "domain-7",
            f"rack-{index // 8}",
            f"10.7.{index // 250}.{index % 250}:7000",
            capacity=capacity,
        )
        for index, role in enumerate(roles)
    ]
    return len(msgspec.json.encode(vms))


def _size_of(message: Any) -> int:
    """Return the size of a membership message, and 0 for others."""
    return message_bytes(message) if isinstance(message, Heartbeat | DomainSummary) else 0


def measure_call_overhead_bytes() -> float:
    """Return the bytes of one call besides its message, on a connection that stays open.

    A relay between caller and server counts all bytes.
    """
    return asyncio.run(capnp.run(_measure_call_overhead_bytes()))


async def _measure_call_overhead_bytes() -> float:
    calls_made = 50
    relayed_bytes = [0]
    relayed = asyncio.Event()
    target = f"127.0.0.1:{FIRST_PORT + 9}"
    server = await serve_node(target, {MEMBERSHIP_SERVICE: _EmptyServer()})

    async def relay_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await _relay(reader, writer, target, relayed_bytes)
        relayed.set()

    relay = await asyncio.start_server(relay_connection, "127.0.0.1", RELAY_PORT)
    peers = PeerConnections()
    calls = MembershipCalls(peers)
    address = f"127.0.0.1:{RELAY_PORT}"
    word = VmWord("u")
    await calls.mark(address, word, 2.0)
    before = relayed_bytes[0]
    for _ in range(calls_made):
        await calls.mark(address, word, 2.0)
    used_bytes = relayed_bytes[0] - before
    peers.close()
    await relayed.wait()
    relay.close()
    await server.stop()
    return used_bytes / calls_made - len(encode_word(word).to_bytes())


async def _relay(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    target: str,
    relayed_bytes: list[int],
) -> None:
    host, _, port = target.rpartition(":")
    other_reader, other_writer = await asyncio.open_connection(host, int(port))
    await asyncio.gather(
        _copy(reader, other_writer, relayed_bytes), _copy(other_reader, writer, relayed_bytes)
    )


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, relayed_bytes: list[int]
) -> None:
    while data := await reader.read(65_536):
        relayed_bytes[0] += len(data)
        writer.write(data)
    writer.close()


_Server: Any = load_schema("membership").Membership.Server


class _EmptyServer(_Server):
    async def mark(self, word: Any, _context: Any, **_: Any) -> None:
        """Accept the call without using the message."""
