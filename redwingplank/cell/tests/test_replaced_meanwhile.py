"""An owner that is replaced while a DELETE waits at it, at whole nodes over HTTP."""

import asyncio

import pytest

from redwingplank.cell import owner as owner_module
from redwingplank.cell.tests.answers_fixture import (
    ID,
    JOB,
    LASTING,
    LONG_LEASE_S,
    STEP,
    is_all_stored,
    job_in_memory,
    owner_node,
    refuse_owner,
    start_count,
    start_job,
)
from redwingplank.cell.tests.site_fixture import run_site

LONGER_THAN_THE_TEST_S = 1000.0
CANCEL_S = 3.0
"""Time after an acknowledged cancellation from which no task of the job may start."""


class TestOwnerReplacedWhileItWaits:
    # Guards against a cancellation that is acknowledged and only the replaced owner knows of. The
    # refused owner has no store to write it to, and answers 503; the other node has.
    @pytest.mark.parametrize("asks_owner", [True, False])
    def test_the_next_owner_knows_of_what_was_acknowledged(self, asks_owner):
        async def scenario(site):
            for worker in site.workers:
                worker.run_s = 2.5
            two_steps = {**JOB, "steps": [STEP, {**STEP, "after": [0]}]}
            assert (await site.call("POST", f"/proof/{ID}", two_steps))[0] == 200
            await site.until(lambda: start_count(site) == 1 and is_all_stored(site))
            replaced = owner_node(site)
            owner = site.nodes.index(replaced)
            refuse_owner(site)
            node = owner if asks_owner else 1 - owner
            call = asyncio.ensure_future(site.call("DELETE", f"/proof/{ID}", node=node))
            await asyncio.sleep(0.3)
            successor = site.nodes[1 - owner]
            successor._membership.take_over_from(successor._membership.owner)
            await site.until(lambda: successor.owns_jobs)
            status, _, _ = await call
            starts = start_count(site)
            await asyncio.sleep(CANCEL_S)
            assert status == (503 if asks_owner else 200)
            is_stopped = start_count(site) == starts and not any(w.runs for w in site.workers)
            assert is_stopped is (status == 200)

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against callers that wait for a store which takes no record of this owner any more.
    def test_the_wait_ends_with_the_ownership(self, monkeypatch):
        monkeypatch.setattr(owner_module, "CANCEL_WAIT_S", LONGER_THAN_THE_TEST_S)

        async def scenario(site):
            await start_job(site, LASTING)
            owner = owner_node(site)
            refuse_owner(site)
            call = asyncio.ensure_future(site.call("DELETE", f"/proof/{ID}"))
            await site.until(lambda: job_in_memory(site).state.is_final)
            owner._membership.give_up_ownership("fenced_by_worker")
            assert (await call)[0] == 503

        run_site(scenario, store_lease_s=LONG_LEASE_S)
