"""How long no node controls the workers after the owner of the jobs has stopped."""

import asyncio
from collections.abc import Mapping

import capnp
import numpy as np

from redwingplank.cell.clocks import now_s
from redwingplank.cell.tests.site_fixture import Site

JOB_ID = "5c0e7a21d94b36f8"
LONG_RUNNING_JOB = {
    "spec": "last",
    "steps": [{"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 50, "long_running": True}],
}


class OwnerGone:
    """Seconds from the stop of an owner until each worker got a command or poll of the next one.

    Three nodes, two workers and the store run in one process and use loopback. The lease is 1.2 s.
    """

    kills = 20
    nodes = 3

    def track_killed(self) -> Mapping[str, float]:
        """Return percentiles over owners that crash as if by SIGKILL."""
        return asyncio.run(capnp.run(self._run(is_killed=True)))

    def track_stopped(self) -> Mapping[str, float]:
        """Return percentiles over owners that stop gracefully and hand over ownership."""
        return asyncio.run(capnp.run(self._run(is_killed=False)))

    async def _run(self, *, is_killed: bool) -> Mapping[str, float]:
        site = Site()
        try:
            await site.start(workers=2, nodes=self.nodes)
            await site.call("POST", f"/proof/{JOB_ID}", LONG_RUNNING_JOB)
            await site.until(lambda: sum(len(worker.runs) for worker in site.workers) == 2)
            durations_s = [
                await self._replace(site, number, is_killed) for number in range(self.kills)
            ]
        finally:
            await site.stop()
        return {
            "p50_s": float(np.median(durations_s)),
            "max_s": max(durations_s),
            "starts": float(sum(len(worker.starts) for worker in site.workers)),
        }

    async def _replace(self, site: Site, number: int, is_killed: bool) -> float:
        """Stop the owner, start another node, and return the seconds that the takeover took."""
        await site.until(lambda: site.owner_node() is not None)
        owner = site.owner_node()
        assert owner is not None
        token = max(worker.token for worker in site.workers)
        started_s = now_s()
        if is_killed:
            await site.crash(owner)
        else:
            site.nodes.remove(owner)
            stopping = asyncio.create_task(owner.stop())
        await site.until(lambda: all(worker.token > token for worker in site.workers))
        duration_s = now_s() - started_s
        if not is_killed:
            await stopping
        await site.add_node(self.nodes + number)
        return duration_s
