"""A cell of separate processes on loopback addresses, for tests and manual experiments.

``python -m tools.local_cell`` starts the stand-in for the platform and three failure domains with
seven entries and three schedulers in total, and runs until it is interrupted.
"""

import asyncio
import base64
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
import uuid
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from redwingplank.config import read_declaration_files
from redwingplank.platform.http import HttpKeyValueStore, open_session
from redwingplank.runtime.apply import ApplyOutcome, ApplyResult, apply_declarations
from redwingplank.scheduling.ownership import ShardKeys, decode_owner
from tools.relay import Relay

__all__ = [
    "CellLayout",
    "LocalCell",
    "NodeAddresses",
    "WaitTimeoutError",
    "wait_until",
]

ROOT = Path(__file__).resolve().parent.parent
MODULES_BY_ROLE = {
    "standin": "redwingplank.cli.standin",
    "scheduler": "redwingplank.cli.scheduler",
    "entry": "redwingplank.cli.entry",
}
UPSTREAM_SLOTS = 8
STANDIN_HOST = "127.0.1.1"
MANUAL_FIRST_PORT = 7600
HTTP_PORT_OFFSET = 200
RPC_PORT_OFFSET = 201
READY_DEADLINE_S = 60.0
STOP_DEADLINE_S = 60.0
POLL_S = 0.05
CALL_TIMEOUT_S = 5.0


class WaitTimeoutError(AssertionError):
    """A condition did not hold within the deadline of a wait."""


def wait_until(what: str, condition: Callable[[], bool], deadline_s: float = 60.0) -> None:
    """Wait until `condition` returns True.

    Parameters
    ----------
    what : str
        Description of the condition, for the error message.
    condition : callable
        Called every `POLL_S` seconds without arguments.
    deadline_s : float
        Seconds after which the wait fails; the default is far beyond what a slow machine needs.
    """
    deadline_at_s = time.monotonic() + deadline_s
    while not condition():
        if time.monotonic() > deadline_at_s:
            raise WaitTimeoutError(f"{what}: condition not met within {deadline_s:g} s")
        time.sleep(POLL_S)


@dataclass(frozen=True)
class CellLayout:
    """The number of processes of each role in a cell, and the ports that they use.

    Parameters
    ----------
    entries_by_domain, schedulers_by_domain : mapping of str to int
        Number of processes in each failure domain.
    first_port : int
        Port of the stand-in; all other ports are derived from it.
    workers_per_domain, upstreams_per_domain : int
        Number of VMs of each role that the stand-in runs in a failure domain.
    """

    entries_by_domain: Mapping[str, int]
    schedulers_by_domain: Mapping[str, int]
    first_port: int = 17600
    workers_per_domain: int = 3
    upstreams_per_domain: int = 2


@dataclass(frozen=True)
class NodeAddresses:
    """Name, role, failure domain and addresses of an entry or a scheduler."""

    name: str
    role: str
    failure_domain: str
    rpc_address: str
    http_address: str = ""


@dataclass
class LocalCell:
    """The processes of one cell; `stop` ends all that are still running.

    Parameters
    ----------
    layout : CellLayout
        Number and ports of the processes to start.
    extra_flags_by_role : mapping of str to sequence of str
        Additional command-line flags for the processes of each role.
    """

    layout: CellLayout
    extra_flags_by_role: Mapping[str, Sequence[str]] = field(default_factory=dict)
    processes_by_name: dict[str, subprocess.Popen] = field(default_factory=dict)
    relays_by_domain: dict[str, Relay] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.log_folder = Path(tempfile.mkdtemp(prefix="redwing-cell-"))
        self.nodes = _plan_nodes(self.layout)
        self.nodes_by_name = {node.name: node for node in self.nodes}
        self.upstream_slots = UPSTREAM_SLOTS
        self.standin_url = f"http://{STANDIN_HOST}:{self.layout.first_port}"

    @property
    def entries(self) -> list[NodeAddresses]:
        """The entries, in the order of their failure domains in the layout and then by number."""
        return [node for node in self.nodes if node.role == "entry"]

    def start(self, declarations: Sequence[Path]) -> None:
        """Start all processes, apply the declarations and wait until all entries are ready."""
        self.start_standin()
        self.apply(declarations)
        for node in self.nodes:
            self.start_node(node.name)
        for node in self.entries:
            self.wait_ready(node.name)

    def start_standin(self) -> None:
        """Start the stand-in for the platform, with a relay per failure domain, and wait for it."""
        flags = [f"--host={STANDIN_HOST}", f"--port={self.layout.first_port}"]
        flags += [f"--first-vm-port={self.layout.first_port + 1}"]
        flags += [f"--failure-domains={','.join(self.layout.entries_by_domain)}"]
        flags += [f"--workers-per-domain={self.layout.workers_per_domain}"]
        flags += [f"--upstreams-per-domain={self.layout.upstreams_per_domain}"]
        flags += [f"--entries={self._peers('entry')}"]
        self._spawn("standin", "standin", flags)
        target = (STANDIN_HOST, self.layout.first_port)
        for index, domain in enumerate(self.layout.entries_by_domain, start=2):
            relay = Relay((f"127.0.{index}.1", self.layout.first_port), target)
            self.relays_by_domain[domain] = relay
        wait_until("the stand-in answers", lambda: self.get_admin("/calls") is not None)

    def apply(self, declarations: Sequence[Path]) -> None:
        """Apply declarations from files or folders through the store."""
        files = read_declaration_files([str(path) for path in declarations])

        async def apply() -> ApplyResult:
            async with open_session() as session:
                store = HttpKeyValueStore(session, self.standin_url, CALL_TIMEOUT_S)
                return await apply_declarations(store, files, time.time(), uuid.uuid4().hex)

        result = asyncio.run(apply())
        if result.outcome is not ApplyOutcome.APPLIED:
            raise AssertionError(f"the declarations were not applied: {result}")

    def start_node(self, name: str) -> None:
        """Start an entry or a scheduler by its name."""
        node = self.nodes_by_name[name]
        flags = [f"--name={node.name}", f"--failure-domain={node.failure_domain}"]
        flags += [f"--failure-domains={','.join(self.layout.entries_by_domain)}"]
        flags += [f"--rpc-address={node.rpc_address}"]
        platform_url = f"http://{self.relays_by_domain[node.failure_domain].address}"
        flags += [f"--store-url={platform_url}", f"--vms-url={platform_url}"]
        flags += [f"--entries={self._peers('entry')}"]
        flags += [f"--schedulers={self._peers('scheduler')}"]
        if node.role == "entry":
            flags += [f"--http-address={node.http_address}"]
            flags += [f"--entries-http={self._peers('entry', is_http=True)}"]
        self._spawn(name, node.role, flags)

    def wait_ready(self, name: str) -> None:
        """Wait until an entry reports that it is ready."""
        url = f"http://{self.nodes_by_name[name].http_address}/readyz"
        wait_until(
            f"{name} is ready", lambda: get_json(url) is not None, deadline_s=READY_DEADLINE_S
        )

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one of the processes."""
        self.processes_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its exit."""
        process = self.processes_by_name.pop(name)
        process.kill()
        process.wait(STOP_DEADLINE_S)

    def stop_gracefully(self, name: str) -> int:
        """Send SIGTERM to a process, wait for its exit and return the exit code."""
        process = self.processes_by_name.pop(name)
        process.terminate()
        return process.wait(STOP_DEADLINE_S)

    def stop(self) -> None:
        """Kill all remaining processes, the stand-in last, and close the relays."""
        for name in sorted(self.processes_by_name, key=lambda each: each == "standin"):
            process = self.processes_by_name.pop(name)
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait(STOP_DEADLINE_S)
        for relay in self.relays_by_domain.values():
            relay.close()
        self.relays_by_domain.clear()

    def get_admin(self, path: str) -> Any:
        """Return the JSON body of a GET from the stand-in, or None if it fails."""
        return get_json(f"{self.standin_url}{path}")

    def post_admin(self, path: str, values: Mapping[str, Any]) -> Any:
        """Post values to a path of the stand-in and return the JSON body of its answer."""
        return post_json(f"{self.standin_url}{path}", values)

    def read_owners(self) -> dict[str, str]:
        """Return the owning scheduler's name by shard, for all shards that have an owner."""
        names_by_address = {node.rpc_address: node.name for node in self.nodes}
        owners = {}
        for shard in self.layout.schedulers_by_domain:
            key = base64.b64encode(ShardKeys(shard).owner.encode()).decode()
            found = self.post_admin("/v3/kv/range", {"key": key}).get("kvs", ())
            if found:
                record = decode_owner(base64.b64decode(found[0]["value"]))
                owners[shard] = names_by_address[record.address]
        return owners

    def upstream_names(self) -> list[str]:
        """Return the names of the upstreams that the stand-in runs."""
        vms = self.get_admin("/vms")["vms"]
        return [vm["name"] for vm in vms if vm["role"] == "upstream"]

    def cut_store(self, failure_domain: str, *, is_cut: bool) -> None:
        """Cut or restore a failure domain's connection to the platform's store and VM list."""
        self.relays_by_domain[failure_domain].set_cut(is_cut)

    def _peers(self, role: str, is_http: bool = False) -> str:
        return ",".join(
            f"{node.failure_domain}/{node.name}="
            f"{node.http_address if is_http else node.rpc_address}"
            for node in self.nodes
            if node.role == role
        )

    def _spawn(self, name: str, role: str, flags: Sequence[str]) -> None:
        command = [sys.executable, "-m", MODULES_BY_ROLE[role], *flags]
        command += self.extra_flags_by_role.get(role, ())
        with open(self.log_folder / f"{name}.log", "ab") as log:
            self.processes_by_name[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )


def get_json(url: str) -> Any:
    """Return the JSON body of a successful GET, or None if it fails."""
    try:
        with urllib.request.urlopen(url, timeout=CALL_TIMEOUT_S) as answer:
            return json.load(answer)
    except (urllib.error.URLError, OSError, ValueError):
        return None


def post_json(url: str, values: Mapping[str, Any]) -> Any:
    """Post a JSON body and return the JSON body of the answer."""
    request = urllib.request.Request(
        url, json.dumps(values).encode(), {"Content-Type": "application/json"}, method="POST"
    )
    with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as answer:
        return json.load(answer)


def _plan_nodes(layout: CellLayout) -> list[NodeAddresses]:
    nodes = []
    http_port = layout.first_port + HTTP_PORT_OFFSET
    rpc_port = layout.first_port + RPC_PORT_OFFSET
    for domain_index, domain in enumerate(layout.entries_by_domain, start=2):
        for index in range(layout.entries_by_domain[domain]):
            host = f"127.0.{domain_index}.{10 + index}"
            name = f"entry-{domain}-{index + 1}"
            rpc_address, http_address = f"{host}:{rpc_port}", f"{host}:{http_port}"
            nodes.append(NodeAddresses(name, "entry", domain, rpc_address, http_address))
        for index in range(layout.schedulers_by_domain[domain]):
            host = f"127.0.{domain_index}.{40 + index}"
            name = f"scheduler-{domain}-{index + 1}"
            nodes.append(NodeAddresses(name, "scheduler", domain, f"{host}:{rpc_port}"))
    return nodes


def main() -> int:
    """Start the cell that the module docstring describes and run it until interrupted."""
    domains = ("north", "middle", "south")
    layout = CellLayout(
        entries_by_domain=dict(zip(domains, (3, 2, 2), strict=True)),
        schedulers_by_domain=dict.fromkeys(domains, 1),
        first_port=MANUAL_FIRST_PORT,
    )
    cell = LocalCell(layout)
    try:
        cell.start([ROOT / "examples" / "bureau", ROOT / "examples" / "cooperative"])
        print(f"platform stand-in at {cell.standin_url}, logs in {cell.log_folder}")
        for node in cell.entries:
            print(f"{node.name} at http://{node.http_address}")
        signal.sigwait({signal.SIGINT, signal.SIGTERM})
    finally:
        cell.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
