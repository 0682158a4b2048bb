"""Callers of a cell that record the answers; they run in a thread with its own event loop."""

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

__all__ = ["CallerPool", "JobSubmission", "RequestSpec"]

CALL_TIMEOUT_S = 45.0
CONNECT_TIMEOUT_S = 2.0
REPEAT_PAUSE_S = 0.1
READINESS_POLL_S = 0.25
FINAL_STATES = frozenset({"succeeded", "failed", "cancelled", "unknown"})


@dataclass(frozen=True)
class RequestSpec:
    """A request to send; a request with an idempotency key is an order."""

    organisation: str
    service: str
    body: bytes
    key: str = ""


@dataclass(frozen=True)
class JobSubmission:
    """A job to submit, with the run time of each task in seconds."""

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
    """Sends work to the ready entries in turn, as the load balancer of the platform would.

    Parameters
    ----------
    entry_addresses : sequence of str
        HTTP address of each entry as ``"IP:PORT"``.

    Notes
    -----
    `refusals` collects status and body of each answer to a request that was not a success.
    """

    def __init__(self, entry_addresses: Sequence[str]) -> None:
        self._addresses = list(entry_addresses)
        self._next_index = itertools.count()
        self._lock = threading.Lock()
        self._requests: list[RequestRecord] = []
        self._jobs_by_id: dict[str, JobRecord] = {}
        self._refused_jobs: list[JobRecord] = []
        self.refusals: list[str] = []
        self._load_future: Future | None = None
        self._is_loading = False
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._ready_addresses = list(entry_addresses)
        self._session: aiohttp.ClientSession = self.run(self._open_session())
        self._readiness_watch = self.begin(self._watch_readiness())

    def records(self) -> CallerRecords:
        """Return the records of all answers that callers have received so far."""
        with self._lock:
            jobs = (*self._jobs_by_id.values(), *self._refused_jobs)
            return CallerRecords(tuple(self._requests), jobs)

    def close(self) -> None:
        """Stop the load, close the connections and end the thread."""
        self.stop_load()
        self._readiness_watch.cancel()
        self.run(self._session.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine in the callers' event loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def begin(self, coroutine: Coroutine[Any, Any, Any]) -> Future:
        """Start a coroutine in the callers' event loop and return its future."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def start_load(self, request: RequestSpec, pause_s: float, callers: int = 4) -> None:
        """Send variants of a request until `stop_load`; each caller sends one at a time."""
        self._is_loading = True
        self._load_future = self.begin(self._send_until_stopped(request, pause_s, callers))

    def stop_load(self) -> None:
        """Stop the load and wait for the answers to the requests in flight."""
        self._is_loading = False
        if self._load_future is not None:
            self._load_future.result()
            self._load_future = None

    async def send(self, request: RequestSpec, address: str = "") -> RequestRecord:
        """Send a request once, to the given or the next ready entry, and record the answer."""
        answer = await self._post(request, address)
        record = RequestRecord("", request.organisation, request.key, is_cut=True)
        if answer is not None:
            is_success = answer.ran is Ran.YES and answer.status == 200
            record = RequestRecord(
                answer.request_id,
                request.organisation,
                request.key,
                answer.ran,
                xxhash.xxh3_64_hexdigest(answer.body) if is_success else "",
                answered_request_id=answer.request_id,
            )
            if not is_success:
                self.refusals.append(f"{answer.status} {answer.body[:200]!r}")
        record = replace(record, is_idempotent=not request.key)
        with self._lock:
            self._requests.append(record)
        return record

    async def send_until_settled(
        self, request: RequestSpec, address: str, deadline_s: float = 60.0
    ) -> RequestRecord:
        """Send a request, and repeat it while the answer says that it did not run."""
        deadline_at_s = time.monotonic() + deadline_s
        record = await self.send(request, address)
        while record.ran is Ran.NO and time.monotonic() < deadline_at_s:
            await asyncio.sleep(REPEAT_PAUSE_S)
            record = await self.send(request, address)
        return record

    async def submit(self, submission: JobSubmission, deadline_s: float = 60.0) -> str:
        """Submit a job, retrying with the same key until it is accepted, and return its id."""
        deadline_at_s = time.monotonic() + deadline_s
        while time.monotonic() < deadline_at_s:
            status, value = await self._submit_once(submission)
            if status == 202:
                record = JobRecord(value["job_id"], submission.organisation, submission.task_count)
                with self._lock:
                    self._jobs_by_id.setdefault(record.job_id, record)
                return record.job_id
            await asyncio.sleep(REPEAT_PAUSE_S)
        raise AssertionError(
            f"job {submission.key} was not accepted within {deadline_s:g} s: {value}"
        )

    async def read_job(self, job_id: str) -> dict[str, Any] | None:
        """Return a job's status from the next ready entry, or None if it gives none."""
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
        """Wait until `is_reached` holds for every accepted job, and record the last states."""
        for job_id in list(self._jobs_by_id):
            deadline_at_s = time.monotonic() + deadline_s
            job = await self.read_job(job_id)
            while job is None or not is_reached(job):
                if time.monotonic() > deadline_at_s:
                    raise AssertionError(
                        f"job {job_id} did not reach the state within {deadline_s:g} s: {job}"
                    )
                await asyncio.sleep(REPEAT_PAUSE_S)
                job = await self.read_job(job_id)
            with self._lock:
                record = self._jobs_by_id[job_id]
                self._jobs_by_id[job_id] = replace(record, last_state=job["state"])

    async def wait_jobs_ended(self, deadline_s: float = 90.0) -> None:
        """Wait until every accepted job is in a final state, and record the states."""
        await self.wait_jobs(lambda job: job["state"] in FINAL_STATES, deadline_s)

    async def _open_session(self) -> aiohttp.ClientSession:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        return aiohttp.ClientSession(timeout=timeout)

    async def _watch_readiness(self) -> None:
        while True:
            answers = await asyncio.gather(*(self._is_ready(each) for each in self._addresses))
            readiness = zip(self._addresses, answers, strict=True)
            self._ready_addresses = [
                address for address, is_ready in readiness if is_ready
            ] or self._addresses
            await asyncio.sleep(READINESS_POLL_S)

    async def _is_ready(self, address: str) -> bool:
        try:
            async with self._session.get(f"http://{address}/readyz") as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _send_until_stopped(self, request: RequestSpec, pause_s: float, callers: int) -> None:
        async def send_in_turn(caller: int) -> None:
            number = itertools.count()
            while self._is_loading:
                body = request.body + f" {caller}.{next(number)}".encode()
                await self.send(replace(request, body=body))
                await asyncio.sleep(pause_s)

        await asyncio.gather(*(send_in_turn(caller) for caller in range(callers)))

    async def _post(self, request: RequestSpec, address: str) -> _Answer | None:
        path = f"/v1/organisations/{request.organisation}/services/{request.service}/requests"
        headers = {"Idempotency-Key": request.key} if request.key else {}
        for _ in range(len(self._addresses)):
            base = f"http://{address}" if address else self._next_url()
            try:
                async with self._session.post(
                    base + path, data=request.body, headers=headers
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

    async def _submit_once(self, submission: JobSubmission) -> tuple[int, dict[str, Any]]:
        url = f"{self._next_url()}/v1/organisations/{submission.organisation}/jobs"
        body = {
            "service": submission.service,
            "tasks": submission.task_count,
            "payload": {"run_s": submission.run_s},
        }
        headers = {"Idempotency-Key": submission.key}
        try:
            async with self._session.post(url, json=body, headers=headers) as response:
                return response.status, json.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return 0, {"detail": repr(error)}

    def _next_url(self) -> str:
        return (
            f"http://{self._ready_addresses[next(self._next_index) % len(self._ready_addresses)]}"
        )
