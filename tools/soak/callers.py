"""Callers that submit jobs, try again at other nodes, and ask for states."""

import asyncio
import enum
import json
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp

from tools.soak.checks import ENDED_STATES, is_accepted
from tools.soak.history import Attempt, History, SentJob
from tools.soak.nodes import NodeProcess
from tools.soak.payload import Payload
from tools.soak.unasked import is_cancel_acknowledged

__all__ = ["Callers", "Organisations"]

HOST = "queue.example"
PREFIX = "/proof/"
DEADLINE_S = 3.0
RETRIES = 4
RETRIED = frozenset({None, 429, 502, 503, 504})
REPEAT_SHARE = 0.05
"""Share of accepted jobs whose submission arrives once more, later."""
CANCEL_SHARE = 0.4
"""Share of jobs that are cancelled, besides those that last."""
PERSISTENT_SHARE = 0.7
"""Share of callers that repeat a cancellation until it is acknowledged."""
CANCEL_LIMIT_S = 20.0
"""Longest time for which they do so."""
DONE_LIMIT_S = 6.0
"""Longest wait for the last task of a job that is to be cancelled after its end."""
RECENT_S = 2.0
"""Age of the jobs that callers cancel all at once: most run then or have just ended."""
STEP_S = 0.02
LASTING_SHARE = 0.04
TWO_STEPS_SHARE = 0.15
SAVING_SHARE = 0.1
LONG_SHARE = 0.1
"""Share of jobs whose tasks run for a second or two."""
MEDIUM_SHARE = 0.6
"""Share of the others whose tasks run for up to 1.2 s, the lease of an owner."""
SHORT_RUN_S = 0.15
LONGER_RUN_S = (8.0, 14.0)
"""Shortest and longest run time of the tasks that `Callers.longer_share` asks for."""
LOST_SIGHT_SHARE = 0.5
"""Share of jobs without an accepted attempt that are asked for or cancelled."""
STATE_POLLS = 4


class CancelMoment(enum.Enum):
    """When a job is cancelled."""

    ACCEPTED = "accepted"
    RUNNING = "running"
    DONE = "done"
    """Just after its last task has ended."""
    LATER = "later"


MOMENTS = (*CancelMoment, CancelMoment.DONE)
"""The moments that are drawn; the one after the end, which is not yet stored, is drawn more."""


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
    is_lasting: bool
    drawn_s: float


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
        self.longer_share = 0.0
        """Share of the jobs whose tasks run for about as long as the longest lease."""
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
            await self._follow(job, node, is_stored)

    async def cancel_recent(self, share: float) -> None:
        """Cancel a share of the jobs of the last `RECENT_S` seconds, all at once."""
        since_s = self._now_s() - RECENT_S
        recent = [job for job in self._jobs if job.drawn_s > since_s and self._is_stored(job)]
        chosen = [job for job in recent if self._rng.random() < share]
        await asyncio.gather(*(self._cancel_until_acknowledged(job, None) for job in chosen))

    def _is_stored(self, job: _Job) -> bool:
        return job.job_id in self._history.stored_s_by_job

    async def settle(self, limit_s: float) -> None:
        """Ask for each stored job until it has ended; give up after `limit_s` seconds.

        Tasks that last are cancelled before.
        """
        open_jobs = [job for job in self._jobs if self._is_stored(job)]
        until_s = self._now_s() + limit_s
        lasting = [job for job in open_jobs if job.is_lasting]
        await asyncio.gather(*(self._cancel_until_acknowledged(job, None) for job in lasting))
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

    async def _follow(self, job: _Job, node: NodeProcess, is_stored: bool) -> None:
        is_cancelled = job.is_lasting or self._rng.random() < CANCEL_SHARE
        if is_cancelled:
            await self._wait_for_moment(job, self._rng.choice(MOMENTS))
            if job.is_lasting or self._rng.random() < PERSISTENT_SHARE:
                await self._cancel_until_acknowledged(job, node)
            else:
                await self._request("DELETE", self._choose_node(node), job)
        if is_stored and self._rng.random() < REPEAT_SHARE:
            await asyncio.sleep(self._rng.uniform(0.5, 3.0))
            await self._request("POST", self._choose_node(None), job)
        for _ in range(STATE_POLLS):
            await asyncio.sleep(self._rng.uniform(0.1, 0.8))
            await self._request("GET", self._choose_node(None), job)

    async def _wait_for_moment(self, job: _Job, moment: CancelMoment) -> None:
        rng = self._rng
        if moment is CancelMoment.RUNNING:
            await asyncio.sleep(rng.uniform(0.01, 0.3))
        elif moment is CancelMoment.DONE and not job.is_lasting:
            await self._wait_until_done(job)
            await asyncio.sleep(rng.uniform(0.0, 0.3))
        elif moment is not CancelMoment.ACCEPTED:
            await asyncio.sleep(rng.uniform(0.5, 6.0))

    async def _wait_until_done(self, job: _Job) -> None:
        until_s = self._now_s() + DONE_LIMIT_S
        while self._now_s() < until_s:
            if self._history.has_ended_done(job.job_id):
                return
            await asyncio.sleep(STEP_S)

    async def _cancel_until_acknowledged(self, job: _Job, submitted_to: NodeProcess | None) -> None:
        """Cancel a job, beginning at another node than that of its submission."""
        node = self._choose_node(submitted_to)
        until_s = self._now_s() + CANCEL_LIMIT_S
        while self._now_s() < until_s:
            if is_cancel_acknowledged(await self._request("DELETE", node, job)):
                return
            await asyncio.sleep(self._rng.uniform(0.05, 0.8))
            node = self._choose_node(node)

    def _draw_job(self) -> _Job:
        rng = self._rng
        job_id = f"{rng.getrandbits(64):016x}"
        organisation = rng.choice(self._organisations.names)
        draw = rng.random()
        is_lasting = draw < LASTING_SHARE
        is_saving = LASTING_SHARE <= draw < LASTING_SHARE + SAVING_SHARE
        is_long = is_saving or draw > 1 - LONG_SHARE
        run_s = self._draw_run_s(is_long=is_long)
        payload = Payload(job_id, float("inf") if is_lasting else run_s, 0.3 if is_saving else 0.0)
        steps = [self._draw_step(run_s, is_saving=is_saving, is_lasting=is_lasting)]
        if not is_lasting and rng.random() < TWO_STEPS_SHARE:
            steps.append(self._draw_step(run_s, is_saving=is_saving, is_lasting=False))
            steps[1]["after"] = [0]
        sent = {"spec": str(payload), "steps": steps}
        tasks = [
            f"{job_id}.0.{number}.{index}"
            for number, step in enumerate(steps)
            for index in range(step["count"])
        ]
        self._history.sent_by_job[job_id] = SentJob(str(payload), frozenset(tasks))
        key = self._organisations.key_of(organisation)
        return _Job(job_id, organisation, key, json.dumps(sent).encode(), is_lasting, self._now_s())

    def _draw_run_s(self, *, is_long: bool) -> float:
        """Return the run time of a job's tasks.

        Only tasks that run when the store begins to refuse the owner can end unstored: it takes no
        further job then.
        """
        if self.longer_share and self._rng.random() < self.longer_share:
            return self._rng.uniform(*LONGER_RUN_S)
        if is_long:
            return self._rng.uniform(1.0, 2.5)
        is_medium = self._rng.random() < MEDIUM_SHARE
        return self._rng.uniform(0.2, 1.2) if is_medium else SHORT_RUN_S

    def _draw_step(self, run_s: float, *, is_saving: bool, is_lasting: bool) -> dict[str, Any]:
        """Return a step as callers send it."""
        step: dict[str, Any] = {
            "count": self._rng.randint(1, 2),
            "cpu": 100,
            "mem_mb": 64,
            "estimate_ms": round(run_s * 700),
        }
        if is_saving:
            step["checkpointing"] = True
        if is_lasting:
            step["long_running"] = True
        return step

    def _choose_node(self, last: NodeProcess | None) -> NodeProcess:
        serving = [node for node in self._nodes if node.is_serving]
        others = [node for node in serving if node is not last]
        return self._rng.choice(others or serving or list(self._nodes))

    async def _request(self, method: str, node: NodeProcess, job: _Job) -> Attempt:
        sent_s = self._now_s()
        key = self._organisations.key_of(job.organisation) if method == "DELETE" else job.key
        status, _ = await self._send(method, node, job, key)
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
