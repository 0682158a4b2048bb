"""Callers of a cell, in a thread with an event loop of its own; they record what they are told."""

import asyncio
import itertools
import json
import threading
import time
from collections.abc import Callable, Coroutine, Sequence
from concurrent.futures import Future
from dataclasses import dataclass, replace
from typing import Any

import aiohttp
import xxhash

from redwingplank.standin.callers import CallerRecords, JobRecord, Ran, RequestRecord

__all__ = ["CallerPool", "JobWanted", "RequestWanted"]

CALL_TIMEOUT_S = 45.0
CONNECT_TIMEOUT_S = 2.0
REPEAT_PAUSE_S = 0.1
READINESS_POLL_S = 0.25
FINAL_STATES = frozenset({"succeeded", "failed", "cancelled", "unknown"})


@dataclass(frozen=True)
class RequestWanted:
    """A request that a caller sends; one with a key is an order."""

    organisation: str
    service: str
    body: bytes
    key: str = ""


@dataclass(frozen=True)
class JobWanted:
    """A job that a caller submits."""

    organisation: str
    service: str
    task_count: int
    run_s: float
    key: str


@dataclass(frozen=True)
class _Answer:
    status: int
    body: bytes
    request_id: str
    ran: Ran


class CallerPool:
    """Sends work to the entries in turn, as the platform's balancer would.

    Parameters
    ----------
    entry_addresses : sequence of str
        ``"IP:PORT"`` of each entry.
    """

    def __init__(self, entry_addresses: Sequence[str]) -> None:
        self._addresses = list(entry_addresses)
        self._turn = itertools.count()
        self._lock = threading.Lock()
        self._requests: list[RequestRecord] = []
        self._jobs_by_id: dict[str, JobRecord] = {}
        self._refused_jobs: list[JobRecord] = []
        self.refusals: list[str] = []
        self._load: Future | None = None
        self._is_loading = False
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._ready = list(entry_addresses)
        self._session: aiohttp.ClientSession = self.run(self._open())
        self._balancer = self.begin(self._watch_readiness())

    def records(self) -> CallerRecords:
        """Return what callers were told so far."""
        with self._lock:
            jobs = (*self._jobs_by_id.values(), *self._refused_jobs)
            return CallerRecords(tuple(self._requests), jobs)

    def close(self) -> None:
        """Stop the load and end the thread."""
        self.stop_load()
        self._balancer.cancel()
        self.run(self._session.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine in the callers' loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def begin(self, coroutine: Coroutine[Any, Any, Any]) -> Future:
        """Start a coroutine in the callers' loop."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def start_load(self, wanted: RequestWanted, pause_s: float, callers: int = 4) -> None:
        """Send copies of a request without end, each caller one after the other."""
        self._is_loading = True
        self._load = self.begin(self._send_until_stopped(wanted, pause_s, callers))

    def stop_load(self) -> None:
        """End the load once its requests in flight are answered."""
        self._is_loading = False
        if self._load is not None:
            self._load.result()
            self._load = None

    async def send(self, wanted: RequestWanted, address: str = "") -> RequestRecord:
        """Send a request once, to any entry or to a given one, and record the answer."""
        answer = await self._post(wanted, address)
        record = RequestRecord("", wanted.organisation, wanted.key, is_cut=True)
        if answer is not None:
            is_whole = answer.ran is Ran.YES and answer.status == 200
            record = RequestRecord(
                answer.request_id,
                wanted.organisation,
                wanted.key,
                answer.ran,
                xxhash.xxh3_64_hexdigest(answer.body) if is_whole else "",
                answered_request_id=answer.request_id,
            )
            if not is_whole:
                self.refusals.append(f"{answer.status} {answer.body[:200]!r}")
        record = replace(record, is_idempotent=not wanted.key)
        with self._lock:
            self._requests.append(record)
        return record

    async def send_until_settled(
        self, wanted: RequestWanted, address: str, deadline_s: float = 60.0
    ) -> RequestRecord:
        """Send a request again as long as it is called not run."""
        ends_at_s = time.monotonic() + deadline_s
        record = await self.send(wanted, address)
        while record.ran is Ran.NO and time.monotonic() < ends_at_s:
            await asyncio.sleep(REPEAT_PAUSE_S)
            record = await self.send(wanted, address)
        return record

    async def submit(self, wanted: JobWanted, deadline_s: float = 60.0) -> str:
        """Submit a job, repeating it under its key until it is accepted, and return its id."""
        ends_at_s = time.monotonic() + deadline_s
        while time.monotonic() < ends_at_s:
            status, value = await self._submit_once(wanted)
            if status == 202:
                record = JobRecord(value["job_id"], wanted.organisation, wanted.task_count)
                with self._lock:
                    self._jobs_by_id.setdefault(record.job_id, record)
                return record.job_id
            await asyncio.sleep(REPEAT_PAUSE_S)
        raise AssertionError(f"job {wanted.key} was not accepted within {deadline_s:g} s: {value}")

    async def read_job(self, job_id: str) -> dict[str, Any] | None:
        """Return a job's state from any entry, None when no entry has it at hand."""
        organisation = self._jobs_by_id[job_id].organisation
        url = f"{self._next_url()}/v1/organisations/{organisation}/jobs/{job_id}"
        try:
            async with self._session.get(url) as response:
                return await response.json() if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def wait_jobs(
        self, is_reached: Callable[[dict[str, Any]], bool], deadline_s: float = 90.0
    ) -> None:
        """Wait until every accepted job has reached something; records their last states."""
        for job_id in list(self._jobs_by_id):
            ends_at_s = time.monotonic() + deadline_s
            job = await self.read_job(job_id)
            while job is None or not is_reached(job):
                if time.monotonic() > ends_at_s:
                    raise AssertionError(f"job {job_id} after {deadline_s:g} s: {job}")
                await asyncio.sleep(REPEAT_PAUSE_S)
                job = await self.read_job(job_id)
            with self._lock:
                record = self._jobs_by_id[job_id]
                self._jobs_by_id[job_id] = replace(record, last_state=job["state"])

    async def wait_jobs_ended(self, deadline_s: float = 90.0) -> None:
        """Wait until every accepted job has ended."""
        await self.wait_jobs(lambda job: job["state"] in FINAL_STATES, deadline_s)

    async def _open(self) -> aiohttp.ClientSession:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        return aiohttp.ClientSession(timeout=timeout)

    async def _watch_readiness(self) -> None:
        while True:
            answers = await asyncio.gather(*(self._is_ready(each) for each in self._addresses))
            pairs = zip(self._addresses, answers, strict=True)
            self._ready = [address for address, is_ready in pairs if is_ready] or self._addresses
            await asyncio.sleep(READINESS_POLL_S)

    async def _is_ready(self, address: str) -> bool:
        try:
            async with self._session.get(f"http://{address}/readyz") as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _send_until_stopped(
        self, wanted: RequestWanted, pause_s: float, callers: int
    ) -> None:
        async def send_in_turn(caller: int) -> None:
            number = itertools.count()
            while self._is_loading:
                body = wanted.body + f" {caller}.{next(number)}".encode()
                await self.send(replace(wanted, body=body))
                await asyncio.sleep(pause_s)

        await asyncio.gather(*(send_in_turn(caller) for caller in range(callers)))

    async def _post(self, wanted: RequestWanted, address: str) -> _Answer | None:
        path = f"/v1/organisations/{wanted.organisation}/services/{wanted.service}/requests"
        headers = {"Idempotency-Key": wanted.key} if wanted.key else {}
        for _ in range(len(self._addresses)):
            base = f"http://{address}" if address else self._next_url()
            try:
                async with self._session.post(
                    base + path, data=wanted.body, headers=headers
                ) as response:
                    body = await response.read()
                    return _Answer(
                        response.status,
                        body,
                        response.headers.get("X-Request-Id", ""),
                        Ran(response.headers.get("X-Redwing-Ran", "unknown")),
                    )
            except aiohttp.ClientConnectorError:
                if address:
                    return None
            except (aiohttp.ClientError, TimeoutError, OSError):
                return None
        return None

    async def _submit_once(self, wanted: JobWanted) -> tuple[int, dict[str, Any]]:
        url = f"{self._next_url()}/v1/organisations/{wanted.organisation}/jobs"
        body = {
            "service": wanted.service,
            "tasks": wanted.task_count,
            "payload": {"run_s": wanted.run_s},
        }
        headers = {"Idempotency-Key": wanted.key}
        try:
            async with self._session.post(url, json=body, headers=headers) as response:
                return response.status, json.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return 0, {"detail": repr(error)}

    def _next_url(self) -> str:
        return f"http://{self._ready[next(self._turn) % len(self._ready)]}"
