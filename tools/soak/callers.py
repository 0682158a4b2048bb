"""Callers that submit jobs, try again at other nodes, and ask for states."""

import asyncio
import json
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import aiohttp

from tools.soak.checks import ENDED_STATES, is_accepted
from tools.soak.history import Attempt, History
from tools.soak.nodes import NodeProcess

__all__ = ["Callers", "Organisations"]

HOST = "queue.example"
PREFIX = "/proof/"
DEADLINE_S = 3.0
RETRIES = 4
RETRIED = frozenset({None, 429, 502, 503, 504})
REPEAT_SHARE = 0.05
"""Share of accepted jobs whose submission arrives once more, later."""
CANCEL_SHARE = 0.05
LOST_SIGHT_SHARE = 0.5
"""Share of jobs without an accepted attempt that are asked for or cancelled."""
STATE_POLLS = 4


class Organisations:
    """Organisations and their keys; a revoked key is replaced by a new one.

    Parameters
    ----------
    count : int
        Number of organisations.
    """

    def __init__(self, count: int) -> None:
        self._key_by_name = {f"org{number}": f"key-{number}-0" for number in range(count)}
        self._revisions = 0

    @property
    def names(self) -> list[str]:
        """The names of all organisations."""
        return list(self._key_by_name)

    def key_of(self, name: str) -> str:
        """Return the valid key of an organisation."""
        return self._key_by_name[name]

    def revoke(self, name: str) -> None:
        """Replace the key of an organisation."""
        self._revisions += 1
        self._key_by_name[name] = f"key-{name}-{self._revisions}"

    def tenants(self) -> list[dict[str, object]]:
        """Return the organisations as the configuration lists them."""
        return [
            {"name": name, "api_keys": [key], "weight": 1.0}
            for name, key in self._key_by_name.items()
        ]


@dataclass(frozen=True, slots=True)
class _Job:
    job_id: str
    organisation: str
    key: str
    body: bytes


class Callers:
    """Sends the requests of all callers over connections that are kept open.

    Parameters
    ----------
    rng : random.Random
        Draws jobs and nodes.
    nodes : sequence of NodeProcess
        The nodes; requests go to those that serve.
    organisations : Organisations
        Provides the keys.
    history : History
        Receives the attempts.
    now_s : callable
        Returns the time in seconds.
    """

    def __init__(
        self,
        rng: random.Random,
        nodes: Sequence[NodeProcess],
        organisations: Organisations,
        history: History,
        now_s: Callable[[], float],
    ) -> None:
        self._rng = rng
        self._nodes = nodes
        self._organisations = organisations
        self._history = history
        self._now_s = now_s
        self._jobs: list[_Job] = []
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=3600.0),
            timeout=aiohttp.ClientTimeout(total=DEADLINE_S),
        )

    @property
    def session(self) -> aiohttp.ClientSession:
        """The session of the callers."""
        return self._session

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def submit_one(self) -> None:
        """Submit a job as one caller does, with retries, and ask for it afterwards."""
        job = self._draw_job()
        self._jobs.append(job)
        is_stored = False
        node = self._choose_node(None)
        for _ in range(1 + RETRIES):
            attempt = await self._request("POST", node, job)
            is_stored = is_accepted(attempt)
            if is_stored or attempt.status not in RETRIED:
                break
            await asyncio.sleep(self._rng.uniform(0.02, 1.0))
            node = self._choose_node(node)
        if is_stored or self._rng.random() < LOST_SIGHT_SHARE:
            await self._follow(job, is_stored)

    async def settle(self, limit_s: float) -> None:
        """Ask for each stored job until it has ended; give up after `limit_s` seconds."""
        open_jobs = [job for job in self._jobs if job.job_id in self._history.stored_s_by_job]
        until_s = self._now_s() + limit_s
        while open_jobs and self._now_s() < until_s:
            states = await asyncio.gather(*(self._state(job) for job in open_jobs))
            for job, state in zip(open_jobs, states, strict=True):
                self._history.final_state_by_job[job.job_id] = state
            open_jobs = [
                job
                for job, state in zip(open_jobs, states, strict=True)
                if state not in ENDED_STATES
            ]
            await asyncio.sleep(0.3 if open_jobs else 0.0)

    async def _follow(self, job: _Job, is_stored: bool) -> None:
        if is_stored and self._rng.random() < REPEAT_SHARE:
            await asyncio.sleep(self._rng.uniform(0.5, 3.0))
            await self._request("POST", self._choose_node(None), job)
        if self._rng.random() < CANCEL_SHARE:
            await self._request("DELETE", self._choose_node(None), job)
        for _ in range(STATE_POLLS):
            await asyncio.sleep(self._rng.uniform(0.1, 0.8))
            await self._request("GET", self._choose_node(None), job)

    def _draw_job(self) -> _Job:
        job_id = f"{self._rng.getrandbits(64):016x}"
        organisation = self._rng.choice(self._organisations.names)
        step = {"count": self._rng.randint(1, 2), "cpu": 100, "mem_mb": 64, "estimate_ms": 100}
        body = json.dumps({"spec": job_id, "steps": [step]}).encode()
        return _Job(job_id, organisation, self._organisations.key_of(organisation), body)

    def _choose_node(self, last: NodeProcess | None) -> NodeProcess:
        serving = [node for node in self._nodes if node.is_serving]
        others = [node for node in serving if node is not last]
        return self._rng.choice(others or serving or list(self._nodes))

    async def _request(self, method: str, node: NodeProcess, job: _Job) -> Attempt:
        sent_s = self._now_s()
        status, _ = await self._send(method, node, job, job.key)
        attempt = Attempt(job.job_id, method, node.address.name, sent_s, self._now_s(), status)
        self._history.add_attempt(attempt)
        return attempt

    async def _state(self, job: _Job) -> str:
        key = self._organisations.key_of(job.organisation)
        status, raw = await self._send("GET", self._choose_node(None), job, key)
        return json.loads(raw)["state"] if status == 200 else str(status)

    async def _send(
        self, method: str, node: NodeProcess, job: _Job, key: str
    ) -> tuple[int | None, bytes]:
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "Authorization": f"Bearer {key}",
            "X-Redwingplank-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        url = f"http://{node.address.callers}{PREFIX}{job.job_id}"
        body = job.body if method == "POST" else None
        try:
            async with self._session.request(method, url, data=body, headers=headers) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None, b""
