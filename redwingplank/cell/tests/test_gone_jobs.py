"""Jobs of which a DELETE has said that they do not exist, at whole nodes over HTTP.

Failure: the store, another node or the caller's own retry brings such a job afterwards, and it runs
although its cancellation was acknowledged.
"""

import asyncio
from dataclasses import replace

import msgspec

from redwingplank.batch.records import encode_submission
from redwingplank.cell.keys import JOBS_PREFIX
from redwingplank.cell.tests.site_fixture import Site, run_site
from redwingplank.platform.site.jobs import decode_job

STEP = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 50}
JOB = {"spec": "payload", "steps": [STEP]}
ID = "5c0e7a21d94b36f8"
OTHER_ID = "5c0e7a21d94b36f9"
PATH = f"/proof/{ID}"
KEY = f"{JOBS_PREFIX}{ID}"


def encode_job(organisation: str = "") -> bytes:
    """Return the job as a node stores it."""
    spec = decode_job(msgspec.json.encode(JOB), ID, "proof", 0.0)
    return encode_submission(replace(spec, organisation=organisation))


def start_count(site: Site, job_id: str = ID) -> int:
    return sum(task.startswith(job_id) for worker in site.workers for task, _ in worker.starts)


async def let_owner_act(site: Site, node: int = 0) -> None:
    """Complete another job; whatever the owner had to start before it has started."""
    assert (await site.call("POST", f"/proof/{OTHER_ID}", JOB, node=node))[0] == 200
    await site.until(lambda: start_count(site, OTHER_ID) == 1)
    await site.until_state(OTHER_ID, "completed", node=node)


async def begin_held_submission(site: Site, node: int = 0) -> asyncio.Task:
    """Submit the job at a node, and return once the store has the call and holds it back."""
    site.store.held_prefix = JOBS_PREFIX
    submission = asyncio.create_task(site.call("POST", PATH, JOB, node=node))
    await site.until(lambda: site.store.held)
    return submission


class TestLateSubmission:
    # Guards against 410 for a job whose submission the store carries out after that.
    def test_that_the_store_carries_out_later_stores_nothing(self):
        async def scenario(site):
            submission = await begin_held_submission(site)
            assert (await site.call("DELETE", PATH, node=1))[0] == 410
            site.store.release()
            status, _, _ = await submission
            await let_owner_act(site)
            assert (KEY in site.store.items, start_count(site)) == (False, 0)
            assert status in (503, 504)

        run_site(scenario, nodes=2)

    # Guards against the same where the only node that knew of the submission was killed.
    def test_of_a_node_that_was_killed_stores_nothing(self):
        async def scenario(site):
            number = next(i for i, node in enumerate(site.nodes) if not node.owns_jobs)
            submission = await begin_held_submission(site, number)
            submission.cancel()
            await site.crash(site.nodes[number])
            assert (await site.call("DELETE", PATH, node=1 - number))[0] == 410
            site.store.release()
            await let_owner_act(site, 1 - number)
            assert (KEY in site.store.items, start_count(site)) == (False, 0)

        run_site(scenario, nodes=2)

    # Guards against a late copy of a request, which arrives at another node after the 410.
    def test_that_arrives_at_another_node_is_refused(self):
        async def scenario(site):
            assert (await site.call("DELETE", PATH, node=1))[0] == 410
            status, _, headers = await site.call("POST", PATH, JOB, node=0)
            await let_owner_act(site)
            assert (KEY in site.store.items, start_count(site)) == (False, 0)
            assert (status, headers["Retry-After"]) == (503, "1")

        run_site(scenario, nodes=2)

    # Guards against a job that a node of the previous version stores, which asks for no
    # cancellation.
    def test_through_a_node_of_the_previous_version_does_not_run(self):
        async def scenario(site):
            assert (await site.call("DELETE", PATH, node=1))[0] == 410
            site.store.put(KEY, encode_job())
            await let_owner_act(site)
            assert start_count(site) == 0
            await site.until_state(ID, "cancelled")

        run_site(scenario, nodes=2)
