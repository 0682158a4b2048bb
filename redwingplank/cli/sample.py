"""Sends a sample of each kind of workload through an entry, as callers would."""

import asyncio
import time
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Any

import aiohttp
import xxhash
from tabulate import tabulate

from redwingplank.standin.callers import CallerRecords, JobRecord, Ran, RequestRecord
from redwingplank.standin.cell import StandinCell
from redwingplank.standin.checks import check_history, make_checked_run
from redwingplank.standin.history import HistoryEventKind

__all__ = ["SampleJob", "SampleRequest", "SampleRow", "check_sample", "format_rows", "send_sample"]

JOB_WAIT_S = 20.0
CALL_TIMEOUT_S = 40.0
FINAL_STATES = frozenset({"succeeded", "failed", "cancelled", "unknown"})


@dataclass(frozen=True, slots=True)
class SampleRequest:
    """One request of the sample.

    A request that is not idempotent is sent with an idempotency key. It is sent `repeats` more
    times with the same key, and every repeat must get the same answer.
    """

    workload: str
    organisation: str
    service: str
    body: bytes
    is_idempotent: bool = True
    repeats: int = 0


@dataclass(frozen=True, slots=True)
class SampleJob:
    """One job of the sample; `run_s` is the run time in seconds of each task at its worker."""

    workload: str
    organisation: str
    service: str
    task_count: int = 1
    run_s: float = 0.3


@dataclass(frozen=True, slots=True)
class SampleRow:
    """The result of one request, job or service of the sample.

    Parameters
    ----------
    workload, organisation, service : str
        Kind of workload, and the organisation and service that it was sent to.
    answer : str
        Text of the answer; the body of a request is cut to 40 characters.
    vms : str
        Names of the VMs that it ran on.
    waiting_ms : float
        Milliseconds from sending a request to the headers of its answer, or from submitting a
        job to its last task start. For a service, the time until its count was checked.
    problem : str
        Description of a wrong answer; empty if the answer is right.
    """

    workload: str
    organisation: str
    service: str
    answer: str
    vms: str
    waiting_ms: float
    problem: str = ""


SAMPLE: tuple[SampleRequest | SampleJob, ...] = (
    SampleRequest("proof", "state-orchestra", "proof", b"violin 1, bars 1-64"),
    SampleJob("part extraction, 24 tasks", "state-orchestra", "part-extraction", 24),
    SampleJob("extraction under a quota", "conservatory", "part-extraction", 4),
    SampleJob("gang of 6", "state-orchestra", "premiere-set", 6),
    SampleRequest("quick quote", "tokachi", "quick-quote", b"piano lid, 2 m2"),
    SampleJob("full estimate", "tokachi", "full-estimate"),
    SampleRequest("order, sent twice", "tokachi", "order", b"shellac, 3 kg", False, repeats=1),
)


class _Caller:
    """Sends requests and jobs to one entry and records the answers that the caller received."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str, cell: StandinCell) -> None:
        self._session = session
        self._base_url = base_url
        self._cell = cell
        self.requests: list[RequestRecord] = []
        self.jobs: list[JobRecord] = []
        self._ids_by_key: dict[str, str] = {}

    async def send(self, item: SampleRequest | SampleJob) -> SampleRow:
        if isinstance(item, SampleRequest):
            return await self._send_request(item)
        return await self._send_job(item)

    async def _send_request(self, item: SampleRequest) -> SampleRow:
        key = "" if item.is_idempotent else uuid.uuid4().hex
        row = await self._send_once(item, key)
        for _ in range(item.repeats):
            repeated = await self._send_once(item, key)
            if repeated.answer != row.answer:
                row = replace(row, problem="a repeat got another answer")
        return row

    async def _send_once(self, item: SampleRequest, key: str) -> SampleRow:
        url = f"{self._organisation_url(item.organisation)}/services/{item.service}/requests"
        headers = {"Idempotency-Key": key} if key else {}
        started_s = time.monotonic()
        async with self._session.post(url, data=item.body, headers=headers) as response:
            waiting_ms = (time.monotonic() - started_s) * 1000
            body = await response.read()
            request_id = response.headers.get("X-Request-Id", "")
            ran = Ran(response.headers.get("X-Redwing-Ran", "unknown"))
        digest = xxhash.xxh3_64_hexdigest(body) if ran is Ran.YES else ""
        self.requests.append(
            RequestRecord(
                request_id,
                item.organisation,
                key,
                ran,
                digest,
                answered_request_id=self._ids_by_key.setdefault(key or request_id, request_id),
                is_idempotent=item.is_idempotent,
            )
        )
        problem = "" if body.endswith(item.body) else f"status {response.status}"
        return SampleRow(
            item.workload,
            item.organisation,
            item.service,
            body.decode("utf-8", "replace")[:40],
            self._find_upstream(request_id),
            waiting_ms,
            problem,
        )

    async def _send_job(self, item: SampleJob) -> SampleRow:
        url = f"{self._organisation_url(item.organisation)}/jobs"
        body = {
            "service": item.service,
            "tasks": item.task_count,
            "payload": {"run_s": item.run_s},
        }
        started_s = time.monotonic()
        async with self._session.post(url, json=body) as response:
            accepted = await response.json(content_type=None)
        if response.status != 202:
            detail = str(accepted.get("detail", accepted))
            return SampleRow(item.workload, item.organisation, item.service, "", "", 0.0, detail)
        job = await self._wait_for_completion(f"{url}/{accepted['job_id']}")
        self.jobs.append(
            JobRecord(
                accepted["job_id"], item.organisation, item.task_count, last_state=job["state"]
            )
        )
        starts = self._find_starts(accepted["job_id"])
        waiting_ms = (max(starts.values(), default=started_s) - started_s) * 1000
        return _make_job_row(item, job, sorted(starts), waiting_ms)

    async def _wait_for_completion(self, url: str) -> dict[str, Any]:
        deadline_s = time.monotonic() + JOB_WAIT_S
        job: dict[str, Any] = {"state": "unknown", "version": 0, "tasks": []}
        while time.monotonic() < deadline_s:
            params = {"wait_s": "2", "version": str(job["version"])}
            async with self._session.get(url, params=params) as response:
                if response.status == 200:
                    job = await response.json()
            if job["state"] in FINAL_STATES and job["tasks"]:
                break
        return job

    def _find_upstream(self, request_id: str) -> str:
        for event in reversed(self._cell.history.events):
            is_request = event.kind is HistoryEventKind.REQUEST_STARTED
            if is_request and request_id and event.subject.startswith(request_id):
                return event.vm
        return ""

    def _find_starts(self, job_id: str) -> dict[str, float]:
        """Return the last start time of a job's tasks on each VM that ran them, by VM name."""
        return {
            event.vm: event.time_s
            for event in self._cell.history.events
            if event.kind is HistoryEventKind.TASK_STARTED
            and event.subject.rpartition("/")[0] == job_id
        }

    def _organisation_url(self, organisation: str) -> str:
        return f"{self._base_url}/v1/organisations/{organisation}"


async def send_sample(
    base_url: str,
    cell: StandinCell,
    items: Sequence[SampleRequest | SampleJob] = SAMPLE,
) -> tuple[list[SampleRow], CallerRecords]:
    """Send all items concurrently and wait for their answers.

    Parameters
    ----------
    base_url : str
        Base URL of an entry.
    cell : StandinCell
        Stand-in cell; its history shows the VM on which each request and task ran.
    items : sequence, optional
        Requests and jobs to send.

    Returns
    -------
    rows : list of SampleRow
        One row for each item, in the order of `items`.
    records : CallerRecords
        Answers that the callers received, for the checks.
    """
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        caller = _Caller(session, base_url, cell)
        rows = await asyncio.gather(*(caller.send(item) for item in items))
    return list(rows), CallerRecords(tuple(caller.requests), tuple(caller.jobs))


def count_running(cell: StandinCell, is_counted: Callable[[str], bool]) -> dict[str, int]:
    """Return the number of running tasks whose id `is_counted` accepts, by worker.

    Workers without such a task are left out.
    """
    counts = {}
    for worker in cell.workers_by_address.values():
        counts[worker.name] = sum(1 for task_id in worker.attempts_by_task if is_counted(task_id))
    return {name: count for name, count in counts.items() if count}


def check_sample(cell: StandinCell, records: CallerRecords) -> list[str]:
    """Check the cell's history against all guarantees and return the violations found."""
    for worker in cell.workers_by_address.values():
        worker.advance()
    return [
        str(finding) for finding in check_history(make_checked_run(cell.history.events, records))
    ]


def format_rows(rows: Sequence[SampleRow]) -> str:
    """Return the rows as a table."""
    headers = ["workload", "organisation", "service", "answer", "VM", "waiting ms", "problem"]
    table = [
        (
            row.workload,
            row.organisation,
            row.service,
            row.answer,
            row.vms,
            f"{row.waiting_ms:.1f}",
            row.problem or "-",
        )
        for row in rows
    ]
    return tabulate(table, headers, maxcolwidths=[None, None, None, 40, 34, None, 40])


def _make_job_row(
    item: SampleJob, job: dict[str, Any], vms: Sequence[str], waiting_ms: float
) -> SampleRow:
    tasks = job["tasks"]
    results = {task["result"] for task in tasks}
    succeeded = sum(1 for task in tasks if task["state"] == "succeeded")
    problem = ""
    if job["state"] != "succeeded" or succeeded != item.task_count:
        problem = f"job is {job['state']}: {job.get('reason', '')}"
    elif len(results) != item.task_count:
        problem = "two tasks gave the same result"
    shown = ", ".join(vms[:2]) + (f" and {len(vms) - 2} more" if len(vms) > 2 else "")
    answer = f"{succeeded} of {item.task_count} tasks succeeded"
    return SampleRow(
        item.workload, item.organisation, item.service, answer, shown, waiting_ms, problem
    )
