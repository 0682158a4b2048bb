"""Changes of jobs that a watch leaves out, at whole nodes over HTTP.

Failure: a watch returns nothing although there was a change, and a position past it, as while the
store discards its history. The owner goes on from that position and never learns of the change.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from redwingplank.cell.job_intake import INTAKE_WAIT_S
from redwingplank.cell.keys import INTAKE_PREFIX
from redwingplank.cell.tests.site_fixture import Site, run_site

STEP = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 50}
TWO_STEPS = {"spec": "payload", "steps": [STEP, {**STEP, "after": [0]}]}
ID = "5c0e7a21d94b36f8"
CANCEL_S = 3.0
"""Time after an acknowledged cancellation from which no task of the job may start."""


def start_count(site: Site) -> int:
    return sum(len(worker.starts) for worker in site.workers)


@asynccontextmanager
async def leaving_out_changes(site: Site, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[None]:
    """Let watches of the jobs leave out what changes, until one that began meanwhile has ended."""
    with monkeypatch.context() as patch:
        events_after = site.store.events_after
        patch.setattr(
            site.store,
            "events_after",
            lambda prefix, after: [] if prefix == INTAKE_PREFIX else events_after(prefix, after),
        )
        yield
        await asyncio.sleep(2 * INTAKE_WAIT_S)


class TestChangesLeftOut:
    # Guards against an owner that never learns of a cancellation which another node has stored and
    # acknowledged, and starts the next step.
    def test_a_cancellation_that_a_watch_left_out_is_found(self, monkeypatch):
        async def scenario(site):
            for worker in site.workers:
                worker.run_s = CANCEL_S + 1.0
            await site.call("POST", f"/proof/{ID}", TWO_STEPS)
            await site.until(lambda: start_count(site) == 1)
            node = next(i for i, node in enumerate(site.nodes) if not node.owns_jobs)
            async with leaving_out_changes(site, monkeypatch):
                site.nodes[node]._membership.owner = None
                assert (await site.call("DELETE", f"/proof/{ID}", node=node))[0] == 200
            await asyncio.sleep(CANCEL_S)
            assert start_count(site) == 1

        run_site(scenario, nodes=2)

    # Guards against an accepted job that no owner ever learns of.
    def test_a_job_that_a_watch_left_out_is_found(self, monkeypatch):
        async def scenario(site):
            async with leaving_out_changes(site, monkeypatch):
                assert (await site.call("POST", f"/proof/{ID}", TWO_STEPS))[0] == 200
            await asyncio.sleep(2 * INTAKE_WAIT_S)
            assert start_count(site) > 0

        run_site(scenario)
