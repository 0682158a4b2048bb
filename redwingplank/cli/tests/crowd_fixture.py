"""Crowds of clients outside the limits, and programs of the system in processes of their own."""

import asyncio
import contextlib
import json
import os
import selectors
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from redwingplank.platform.http.server import HttpServer, serve_http
from redwingplank.standin.loopback import find_free_address
from redwingplank.standin.site_store import SiteStoreModel, make_site_store_app

HOST = "queue.example"
MEMORY_MB = 128
"""Memory of the machine in the settings of the programs, which their peak has to stay below."""
DESCRIPTORS = 256
"""Descriptors of the machine in the same settings."""
CROWD = 8
"""Number of connections."""
BYTES_PER_CLIENT = 16 << 20
"""What each of them sends at most."""
BLOCK_BYTES = 64 << 10
STALLED_S = 1.0
"""A crowd of which no connection takes a byte for this long has been held back."""
START_S = 60.0
ANSWER_S = 30.0


@dataclass(frozen=True, slots=True)
class Stream:
    """What each client of a crowd sends: a beginning, and then one part again and again."""

    beginning: bytes
    part: bytes

    def block(self) -> bytes:
        """Return whole parts of about `BLOCK_BYTES`."""
        return self.part * max(1, BLOCK_BYTES // len(self.part))


class ProgramProcess:
    """A program of the system in a process of its own.

    Parameters
    ----------
    module : str
        Module that is run.
    address : str
        ``"IP:PORT"`` at which it answers callers once it serves; empty if it has none.
    peers : str
        ``"IP:PORT"`` at which it answers the other processes of the system.
    environment : dict
        Variables of its environment, besides the path.
    log : Path
        File for its output.
    """

    def __init__(
        self, module: str, address: str, peers: str, environment: dict[str, str], log: Path
    ) -> None:
        self.address = address
        self.peers = peers
        self._log = log
        variables = {"PATH": os.environ.get("PATH", ""), "PYTHONPATH": os.getcwd(), **environment}
        with log.open("wb") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module], env=variables, stdout=output, stderr=output
            )

    def wait_until_answering(self, path: str, is_expected=lambda _: True) -> None:
        """Wait until a request to a path is answered with an expected status."""
        self._wait_until(lambda: is_expected(request(self.address, "GET", path)))

    def wait_until_listening(self) -> None:
        """Wait until the listener for other processes accepts connections."""
        self._wait_until(lambda: is_listening(self.peers))

    def _wait_until(self, condition) -> None:
        until_s = time.monotonic() + START_S
        while time.monotonic() < until_s:
            assert self.is_alive, self._log.read_text(errors="replace")[-2000:]
            with contextlib.suppress(OSError):
                if condition():
                    return
            time.sleep(0.05)
        raise AssertionError(self._log.read_text(errors="replace")[-2000:])

    @property
    def is_alive(self) -> bool:
        return self._process.poll() is None

    def peak_memory_mb(self) -> float:
        """Return the largest memory that the process has had."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        (line,) = [each for each in status.splitlines() if each.startswith("VmHWM:")]
        return int(line.split()[1]) / 1024

    def descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def stop(self) -> None:
        self._process.kill()
        self._process.wait()


class Crowd:
    """Clients that send what they are told to, and read no answer.

    Parameters
    ----------
    program : ProgramProcess
        Program that they press.
    stream : Stream
        What each of them sends.
    address : str
        ``"IP:PORT"`` that they connect to, by default that for callers.
    """

    def __init__(self, program: ProgramProcess, stream: Stream, address: str = "") -> None:
        self._program = program
        self._block = stream.block()
        self.clients = [connect(address or program.address) for _ in range(CROWD)]
        self._sent = dict.fromkeys(self.clients, 0)
        self._rest = dict.fromkeys(self.clients, stream.beginning)
        self.cut_off = 0
        """Number of clients whose connection the program has ended."""

    def press(self) -> None:
        """Send until all has been sent, the connections have ended, or nothing more is taken.

        It ends early if the program takes more memory than it has, which is enough to know.
        """
        with selectors.DefaultSelector() as selector:
            for client in self.clients:
                client.setblocking(False)
                selector.register(client, selectors.EVENT_WRITE)
            while selector.get_map():
                ready = selector.select(STALLED_S)
                if not ready or self._is_over_memory():
                    return
                for key, _ in ready:
                    if not self._send_block(key.fileobj):
                        selector.unregister(key.fileobj)

    def _is_over_memory(self) -> bool:
        return not self._program.is_alive or self._program.peak_memory_mb() > MEMORY_MB

    def _send_block(self, client) -> bool:
        """Send a part of the stream; return whether the client goes on."""
        rest = self._rest[client] or self._block
        try:
            count = client.send(rest)
        except BlockingIOError:
            return True
        except OSError:
            self.cut_off += 1
            return False
        self._rest[client] = rest[count:]
        self._sent[client] += count
        return self._sent[client] < BYTES_PER_CLIENT

    def close(self) -> None:
        for client in self.clients:
            client.close()


def own_loopback_ip() -> str:
    """Return a loopback address of this process, as a node's port for metrics is fixed."""
    number = os.getpid()
    return f"127.{64 + number // 64_000 % 64}.{number // 250 % 256}.{1 + number % 250}"


def find_free_port() -> int:
    return int(find_free_address().rpartition(":")[2])


def is_listening(address: str) -> bool:
    """Return True if an address accepts a connection; raise OSError otherwise."""
    connect(address).close()
    return True


def connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=ANSWER_S)


def request(address: str, method: str, path: str, body: bytes = b"") -> int:
    """Send one ordinary request on a connection of its own, and return the status of its answer."""
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
    with connect(address) as client:
        client.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        answer = b""
        while chunk := client.recv(65536):
            answer += chunk
    if not answer:
        raise ConnectionResetError("no answer")
    return int(answer.split()[1])


@contextlib.contextmanager
def run_store() -> Iterator[str]:
    """Serve a stand-in of the platform's store in a thread, and return its address."""
    model, address = SiteStoreModel(), find_free_address()
    route = {"name": "proof", "host": HOST, "prefix": "/proof/", "service": "render"}
    limits = {"max_body_bytes": BYTES_PER_CLIENT}
    config = {"version": 1, "routes": [route | {"max_attempts": 3}], "limits": limits}
    model.put("op/config", msgspec.json.encode(config))
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    app = make_site_store_app(model, time.monotonic)
    server = asyncio.run_coroutine_threadsafe(serve_http(app, [address], 0), loop).result(START_S)
    try:
        yield address
    finally:
        asyncio.run_coroutine_threadsafe(stop_store(server), loop).result(START_S)
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


async def stop_store(server: HttpServer) -> None:
    """Stop a server, and end the watches that wait there."""
    server.abort()
    await server.stop()
    waiting = asyncio.all_tasks() - {asyncio.current_task()}
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)


@contextlib.contextmanager
def run_node(folder: Path) -> Iterator[ProgramProcess]:
    """Run a `redwing-node` that is ready, on a machine with little memory."""
    ip = own_loopback_ip()
    callers_port, peer_port = find_free_port(), find_free_port()
    callers, peers = f"{ip}:{callers_port}", f"{ip}:{peer_port}"
    with run_store() as store:
        settings = {
            "node_name": "n0",
            "ip": ip,
            "zone": "a",
            "listen": {"frontend": callers, "ready": callers},
            "port_range": [peer_port, peer_port],
            "limits": {"cpu_share": 0.5, "memory_mb": MEMORY_MB, "max_fds": DESCRIPTORS},
            "platform": {"address": store, "ttl_min_ms": 1000},
        }
        path = folder / "settings.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        environment = {"REDWINGPLANK_SETTINGS": str(path)}
        node = ProgramProcess("redwingplank.cli.cell", callers, peers, environment, folder / "log")
        try:
            node.wait_until_answering("/-/readyz", lambda status: status == 200)
            yield node
        finally:
            node.stop()


@contextlib.contextmanager
def run_entry(folder: Path) -> Iterator[ProgramProcess]:
    """Run a `redwing-entry` without a platform, on a machine with little memory."""
    address, peers = find_free_address(), find_free_address()
    environment = make_environment("e1", peers) | {
        "REDWING_HTTP_ADDRESS": address,
        "REDWING_MEMORY_MB": str(MEMORY_MB),
    }
    entry = ProgramProcess("redwingplank.cli.entry", address, peers, environment, folder / "log")
    try:
        entry.wait_until_answering("/")
        yield entry
    finally:
        entry.stop()


@contextlib.contextmanager
def run_scheduler(folder: Path) -> Iterator[ProgramProcess]:
    """Run a `redwing-scheduler` without a platform, on a machine with little memory."""
    peers = find_free_address()
    environment = make_environment("s1", peers)
    scheduler = ProgramProcess("redwingplank.cli.scheduler", "", peers, environment, folder / "log")
    try:
        scheduler.wait_until_listening()
        yield scheduler
    finally:
        scheduler.stop()


def make_environment(name: str, peers: str) -> dict[str, str]:
    """Return the variables of a program of our own interface, without a platform."""
    platform_url = f"http://{find_free_address()}"
    return {
        "REDWING_NAME": name,
        "REDWING_FAILURE_DOMAIN": "north",
        "REDWING_FAILURE_DOMAINS": "north",
        "REDWING_RPC_ADDRESS": peers,
        "REDWING_STORE_URL": platform_url,
        "REDWING_VMS_URL": platform_url,
        "REDWING_DESCRIPTORS": str(DESCRIPTORS),
    }
