"""Real ``redwing-node`` processes, and processes that keep the processor busy."""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp

from tools.soak.workers import LONGEST_LEASE_S

__all__ = ["ZONES", "BusyProcesses", "NodeAddress", "NodeProcess"]

ZONES = ("a", "b", "c")
CALLERS_PORT = 17080
READY_PORT = 17081
PEER_PORT = 17082
READY_POLL_S = 0.1
READY_TIMEOUT_S = 120.0
"""Far beyond what a starved node needs."""
GRACE_S = 6.0


@dataclass(frozen=True, slots=True)
class NodeAddress:
    """Name and addresses of a node.

    Parameters
    ----------
    name, ip, zone : str
        Its name, its own loopback address and its zone.
    store : str
        ``"IP:PORT"`` at which the store serves this node.
    """

    name: str
    ip: str
    zone: str
    store: str

    @property
    def callers(self) -> str:
        """``"IP:PORT"`` for callers."""
        return f"{self.ip}:{CALLERS_PORT}"

    @property
    def ready(self) -> str:
        """``"IP:PORT"`` for readiness checks."""
        return f"{self.ip}:{READY_PORT}"

    def settings(self) -> dict[str, Any]:
        """Return the settings file of the node, with the bounds of cofnod-hinsawdd-grown.

        Only the longest lease is that of tokachi-polish.
        """
        return {
            "node_name": self.name,
            "role": "node",
            "ip": self.ip,
            "zone": self.zone,
            "region": "r",
            "zones": dict.fromkeys(ZONES, "r"),
            "listen": {"frontend": self.callers, "ready": self.ready},
            "port_range": [PEER_PORT, PEER_PORT],
            "limits": {"cpu_share": 0.5, "cores": 1, "memory_mb": 300},
            "contracts": ["base", "drain", "config", "sched", "tenants", "quota", "platform"],
            "control_mode": "invoked",
            "bounds": {
                "hold_max_ms": round(LONGEST_LEASE_S * 1000),
                "remote_factor": 2,
                "grace_s": GRACE_S,
                "status_s": 120,
                "strict_revoke": True,
                "revoke_ms": 5000,
                "config_apply_ms": 3000,
                "lease_ms": 3000,
            },
            "platform": {"address": self.store, "form": "kv", "ttl_min_ms": 1000},
        }


class NodeProcess:
    """A node of a checkout, in a process of its own that can be started again.

    Parameters
    ----------
    address : NodeAddress
        Name and addresses.
    tree : Path
        The checkout whose program is run.
    folder : Path
        Folder for the settings file and the log.
    """

    def __init__(self, address: NodeAddress, tree: Path, folder: Path) -> None:
        self.address = address
        self.is_serving = False
        """Whether the node has been ready since its last start, and has not been ended."""
        self._tree = tree
        self._folder = folder
        self._log = folder / f"{address.name}.log"
        self._settings = folder / f"{address.name}.json"
        self._settings.write_text(json.dumps(address.settings()), encoding="utf-8")
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process unless it runs."""
        if self._process is not None and self._process.returncode is None:
            return
        self._process = await self._spawn()

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until the node is ready; raise TimeoutError if it is not for `READY_TIMEOUT_S`."""
        url = f"http://{self.address.ready}/-/readyz"
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await _is_ok(session, url):  # noqa: ASYNC110
                await asyncio.sleep(READY_POLL_S)
        self.is_serving = True

    def pause(self) -> None:
        """Stop the process until `resume`."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process."""
        self._signal(signal.SIGCONT)

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL if the process runs on after `GRACE_S`."""
        self._signal(signal.SIGTERM)
        self.is_serving = False
        if self._process is None:
            return
        try:
            async with asyncio.timeout(GRACE_S):
                await self._process.wait()
        except TimeoutError:
            await self.kill()

    async def kill(self) -> None:
        """End the process at once."""
        self.is_serving = False
        self._signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def _spawn(self) -> asyncio.subprocess.Process:
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self._folder),
            "PYTHONPATH": str(self._tree),
            "PYTHONDONTWRITEBYTECODE": "1",
            "REDWINGPLANK_SETTINGS": str(self._settings),
        }
        log = os.open(self._log, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        try:
            return await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "redwingplank.cli.cell"),
                cwd=self._tree,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        finally:
            os.close(log)

    def _signal(self, number: int) -> None:
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)


class BusyProcesses:
    """Processes that use the processor for a while."""

    def __init__(self) -> None:
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(self, count: int, limit_s: float) -> None:
        """Start `count` processes, each of which ends by itself after `limit_s`."""
        code = f"import time\nend = time.monotonic() + {limit_s}\nwhile time.monotonic() < end: 1"
        for _ in range(count):
            self._processes.append(subprocess.Popen([sys.executable, "-c", code]))

    def stop(self) -> None:
        """End all of them."""
        for process in self._processes:
            process.kill()
            process.wait()
        self._processes.clear()


async def _is_ok(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        timeout = aiohttp.ClientTimeout(total=2.0)
        async with session.get(url, timeout=timeout) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False
