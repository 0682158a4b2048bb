"""Costs of single messages and of whole programs; docs/CAPACITY.md is computed from them."""

import asyncio
import threading
import time
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager, suppress
from typing import Any

import aiohttp
import psutil

from benchmarks.scheduling import TASKS_PER_JOB, _Cell
from redwingplank.core import Resources
from redwingplank.platform import (
    Compare,
    Put,
    StartTask,
    TaskCommand,
    TaskCommandKind,
    WorkerRequest,
)
from redwingplank.platform.http import HttpKeyValueStore, HttpWorkerClient, open_session
from tools.local_cell import ROOT, STANDIN_HOST, CellLayout, LocalCell, wait_until
from tools.relay import Relay

FIRST_PORT = 17700
RELAY_PORT = 17990
EXCHANGES = 200  # per measurement, also the number of store writes
PAYLOAD = b'{"run_s": 1000.0}'
TASK = Resources(100, 64)
DOMAIN = "only"
MEASURED_S = 8.0
LOADED_WORKERS = 24
EXAMPLES = (ROOT / "examples" / "bureau", ROOT / "examples" / "cooperative")
SETTLE_S = 4.0  # pause before the measurement starts
US_PER_S = 1e6
MIB = 1024 * 1024


@contextmanager
def running_standin(workers: int) -> Iterator[LocalCell]:
    """Run only the stand-in for the platform."""
    cell = make_cell(workers)
    try:
        cell.start_standin()
        yield cell
    finally:
        cell.stop()


def make_cell(workers: int, entries: int = 1, schedulers: int = 2) -> LocalCell:
    """Return a cell of one failure domain whose processes are not started yet."""
    layout = CellLayout(
        entries_by_domain={DOMAIN: entries},
        schedulers_by_domain={DOMAIN: schedulers},
        first_port=FIRST_PORT,
        workers_per_domain=workers,
    )
    return LocalCell(layout, extra_flags_by_role={"standin": ["--processors=1024"]})


class WorkerExchange:
    """One exchange with a worker over HTTP: it sends starts and returns completions."""

    params = [[0, 4, 16, 64]]
    param_names = ["starts"]
    timeout = 120

    def track_cost(self, starts: int) -> dict[str, float]:
        """Return processor time of the owner and bytes per exchange without TCP and IP headers."""
        with running_standin(1) as cell:
            port = cell.layout.first_port + 1
            relay = Relay((STANDIN_HOST, RELAY_PORT), (STANDIN_HOST, port))
            try:
                asyncio.run(_exchange(relay.address, starts, 1, EXCHANGES))
                bytes_out, bytes_in = relay.bytes_forwarded, relay.bytes_returned
            finally:
                relay.close()
            used_s = asyncio.run(_exchange(f"{STANDIN_HOST}:{port}", starts, 1000, EXCHANGES))
        return {
            "us": used_s / EXCHANGES * US_PER_S,
            "request_bytes": bytes_out / EXCHANGES,
            "report_bytes": bytes_in / EXCHANGES,
        }


class StoreWrite:
    """One journal write to the store over HTTP."""

    params = [[100, 1_000, 10_000, 100_000]]
    param_names = ["value_bytes"]
    timeout = 120

    def track_cost(self, value_bytes: int) -> dict[str, float]:
        """Return processor time of the owner and bytes in both directions without headers.

        The headers left out are those of TCP and IP.
        """
        with running_standin(1) as cell:
            target = (STANDIN_HOST, cell.layout.first_port)
            relay = Relay((STANDIN_HOST, RELAY_PORT), target)
            try:
                asyncio.run(_write(f"http://{relay.address}", value_bytes, EXCHANGES))
                bytes_moved = relay.bytes_forwarded + relay.bytes_returned
            finally:
                relay.close()
            used_s = asyncio.run(_write(cell.standin_url, value_bytes, EXCHANGES))
        return {"us": used_s / EXCHANGES * US_PER_S, "bytes": bytes_moved / EXCHANGES}


class OwnerMemory:
    """Memory of one owner by number of running tasks, including Python and libraries."""

    params = [[1_000, 4_000, 16_000, 56_000]]
    param_names = ["running_tasks"]
    timeout = 300

    def peakmem_running(self, running_tasks: int) -> None:
        """Start tasks on an owner of 1,000 workers for 150 organisations."""
        cell = _Cell(1000, 1e9, organisations=150)
        for _ in range(running_tasks // TASKS_PER_JOB):
            cell.submit()
        while cell.starts < running_tasks:
            cell.tick()


class LoadedPrograms:
    """Real programs that start and complete tasks at a steady rate."""

    params = [[0, 20, 60, 120]]
    param_names = ["starts_per_s"]
    timeout = 300

    def track_cost(self, starts_per_s: int) -> dict[str, float]:
        """Return processor time and memory of owner, standby and entry, and store calls/s."""
        return _measure_with_load(lambda url: _submit_jobs(url, starts_per_s))


class LoadedEntry:
    """A real entry that forwards requests to upstreams at a steady rate."""

    params = [[0, 50, 100, 200]]
    param_names = ["requests_per_s"]
    timeout = 300

    def track_cost(self, requests_per_s: int) -> dict[str, float]:
        """Return processor time and memory of owner, standby and entry, and store calls/s."""
        return _measure_with_load(lambda url: _send_requests(url, requests_per_s))


class IdlePrograms:
    """Real programs without jobs or requests, for increasing numbers of workers."""

    params = [[4, 16, 64]]
    param_names = ["workers"]
    timeout = 300

    def track_cost(self, workers: int) -> dict[str, float]:
        """Return processor time and memory of owner, standby and entry, and store calls/s."""
        cell = make_cell(workers)
        try:
            cell.start_standin()
            for node in cell.nodes:
                cell.start_node(node.name)
            wait_until("the shard has an owner", lambda: bool(cell.read_owners()))
            time.sleep(SETTLE_S)
            return _measure_programs(cell, MEASURED_S)
        finally:
            cell.stop()


def _measure_programs(cell: LocalCell, for_s: float) -> dict[str, float]:
    owner = cell.read_owners()[DOMAIN]
    names = {"owner": owner, "entry": cell.entries[0].name}
    names["standby"] = next(
        node.name for node in cell.nodes if node.role == "scheduler" and node.name != owner
    )
    processes = {
        role: psutil.Process(cell.processes_by_name[name].pid) for role, name in names.items()
    }
    relay = cell.relays_by_domain[DOMAIN]
    calls = sum(cell.get_admin("/calls").values())
    bytes_moved = relay.bytes_forwarded + relay.bytes_returned
    used_s = {role: _cpu_s(process) for role, process in processes.items()}
    time.sleep(for_s)
    figures = {}
    for role, process in processes.items():
        figures[f"{role}_core_percent"] = (_cpu_s(process) - used_s[role]) / for_s * 100
        figures[f"{role}_mib"] = process.memory_info().rss / MIB
    figures["store_calls_per_s"] = (sum(cell.get_admin("/calls").values()) - calls) / for_s
    figures["platform_bytes_per_s"] = (
        relay.bytes_forwarded + relay.bytes_returned - bytes_moved
    ) / for_s
    return figures


def _measure_with_load(make_load: Callable[[str], Coroutine[Any, Any, None]]) -> dict[str, float]:
    cell = make_cell(LOADED_WORKERS)
    try:
        cell.start(EXAMPLES)
        wait_until("the shard has an owner", lambda: bool(cell.read_owners()))
        stop_load = start_load(make_load(f"http://{cell.entries[0].http_address}"))
        time.sleep(SETTLE_S)
        figures = _measure_programs(cell, MEASURED_S)
        stop_load()
        return figures
    finally:
        cell.stop()


def start_load(load: Coroutine[Any, Any, None]) -> Callable[[], None]:
    """Run a load in a thread and return a function that stops it."""
    loop = asyncio.new_event_loop()
    task = loop.create_task(load)
    thread = threading.Thread(target=_run_until_cancelled, args=(loop, task), daemon=True)
    thread.start()

    def stop() -> None:
        loop.call_soon_threadsafe(task.cancel)
        thread.join()

    return stop


def _run_until_cancelled(loop: asyncio.AbstractEventLoop, task: asyncio.Task[None]) -> None:
    with suppress(asyncio.CancelledError):
        loop.run_until_complete(task)
    loop.close()


async def _submit_jobs(url: str, starts_per_s: int) -> None:
    path = f"{url}/v1/organisations/state-orchestra/jobs"
    body = {"service": "part-extraction", "tasks": TASKS_PER_JOB, "payload": {"run_s": 2.0}}
    await _post_steadily(path, starts_per_s / TASKS_PER_JOB, json=body)


async def _send_requests(url: str, requests_per_s: int) -> None:
    path = f"{url}/v1/organisations/tokachi/services/quick-quote/requests"
    await _post_steadily(path, requests_per_s, data=b"a table")


async def _post_steadily(url: str, calls_per_s: float, **body: Any) -> None:
    if not calls_per_s:
        await asyncio.Event().wait()
    async with aiohttp.ClientSession() as session:
        pending: set[asyncio.Task[None]] = set()
        try:
            while True:
                task = asyncio.create_task(_post(session, url, body))
                pending.add(task)
                task.add_done_callback(pending.discard)
                await asyncio.sleep(1 / calls_per_s)
        finally:
            for task in pending:
                task.cancel()
            await asyncio.gather(*pending, return_exceptions=True)


async def _post(session: aiohttp.ClientSession, url: str, body: dict[str, Any]) -> None:
    with suppress(aiohttp.ClientError, TimeoutError):
        async with session.post(url, **body) as response:
            await response.read()


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


async def _exchange(address: str, starts: int, first_attempt: int, count: int) -> float:
    """Exchange `count` times and return the processor time in seconds.

    Each exchange stops the tasks that the previous one started.
    """
    async with open_session() as session:
        client = HttpWorkerClient(session)
        await client.adopt(address, 1, 30.0)
        before_s = time.process_time()
        acknowledged = 0
        for attempt in range(first_attempt, first_attempt + count):
            request = WorkerRequest(
                epoch=1,
                lease_s=30.0,
                starts=tuple(_start(index, attempt) for index in range(starts)),
                actions=tuple(_stop(index, attempt - 1) for index in range(starts)),
                acknowledged_sequence=acknowledged,
            )
            report = await client.exchange(address, request)
            acknowledged = max(
                (completion.sequence for completion in report.ended), default=acknowledged
            )
        return time.process_time() - before_s


def _start(index: int, attempt: int) -> StartTask:
    return StartTask(f"{DOMAIN}.{'0' * 32}/{index}", attempt, TASK, PAYLOAD)


def _stop(index: int, attempt: int) -> TaskCommand:
    return TaskCommand(f"{DOMAIN}.{'0' * 32}/{index}", attempt, TaskCommandKind.STOP)


async def _write(url: str, value_bytes: int, count: int) -> float:
    async with open_session() as session:
        store = HttpKeyValueStore(session, url, 5.0)
        value = b"x" * value_bytes
        before_s = time.process_time()
        for _ in range(count):
            await store.transact((Compare("absent", 0),), (Put("written", value),))
        return time.process_time() - before_s
