"""What an answer confirms holds although the owner is killed right after it, over HTTP.

Failure: a node answers for what only the owner's memory holds, and the next owner does not know of
it.
"""

from collections.abc import Callable

import pytest

from redwingplank.batch.entities import Job
from redwingplank.cell.node import Node
from redwingplank.cell.tests.site_fixture import Site, run_site
from redwingplank.platform.site.store import StoreRefusedError

STEP = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 50}
JOB = {"spec": "payload", "steps": [STEP]}
ID = "5c0e7a21d94b36f8"
LONG_LEASE_S = 10.0
"""An owner that the store refuses keeps the ownership for longer than it waits for the store."""


class RefusingStore:
    """Refuses all calls of one node, as a store does that turns away some VMs."""

    last_lost_s = float("-inf")

    def __getattr__(self, name: str):
        async def refuse(*_arguments, **_options):
            raise StoreRefusedError("the store refused with status 503")

        return refuse


def refuse_all(site: Site) -> None:
    """Let the store refuse all calls."""
    site.store.is_down = True


def refuse_owner(site: Site) -> None:
    """Let the store refuse the owner and serve the others."""
    site.contexts[owner_number(site)].store = RefusingStore()  # type: ignore[assignment]


def owner_node(site: Site) -> Node:
    """Return the node that owns the jobs; there has to be one."""
    node = site.owner_node()
    assert node is not None
    return node


def owner_number(site: Site) -> int:
    return site.nodes.index(owner_node(site))


def job_in_memory(site: Site) -> Job | None:
    """Return the job as the owner knows it."""
    runtime = owner_node(site)._owner
    assert runtime is not None
    return runtime.owner.state.jobs_by_id.get(ID)


def is_ended(site: Site) -> bool:
    job = job_in_memory(site)
    return job is not None and job.state.is_final


def is_all_stored(site: Site) -> bool:
    job = job_in_memory(site)
    return job is not None and job.stored_version == job.version


def start_count(site: Site, job_id: str = ID) -> int:
    return sum(task.startswith(job_id) for worker in site.workers for task, _ in worker.starts)


async def end_in_memory_only(site: Site, refuse: Callable[[Site], None], how: str) -> None:
    """Let a task of the job end, of which the store takes no record."""
    for worker in site.workers:
        worker.run_s, worker.how = 0.4, how
    assert (await site.call("POST", f"/proof/{ID}", JOB))[0] == 200
    await site.until(lambda: start_count(site) == 1 and is_all_stored(site))
    refuse(site)
    await site.until(lambda: is_ended(site))


async def lose_owner_and_workers(site: Site) -> int:
    """Kill the workers and the owner; return the number of the node that is left.

    Returns when the job has ended for the next owner.
    """
    survivor = 1 - owner_number(site)
    site.crash_workers()
    await site.crash(owner_node(site))
    site.store.is_down = False
    for worker in site.workers:
        worker.run_s, worker.how = 0.05, "done"
    await site.until(lambda: site.owner_node() is not None)
    await site.until(lambda: is_ended(site) and is_all_stored(site))
    return survivor


class TestCancellationOfAnEndedJob:
    # Guards against a DELETE that is acknowledged although neither the end of the job nor its
    # cancellation is stored, so that the next owner runs the job again.
    @pytest.mark.parametrize("how", ["done", "failed"])
    @pytest.mark.parametrize("refuse", [refuse_all, refuse_owner])
    @pytest.mark.parametrize("asks_owner", [True, False])
    def test_that_is_not_stored_is_not_acknowledged(self, how, refuse, asks_owner):
        async def scenario(site):
            site.configure(2, max_attempts=1)
            await end_in_memory_only(site, refuse, how)
            owner = owner_number(site)
            node = owner if asks_owner else 1 - owner
            status, _, _ = await site.call("DELETE", f"/proof/{ID}", node=node)
            survivor = await lose_owner_and_workers(site)
            assert status in (200, 503)
            assert status == 503 or start_count(site) == 1
            assert (await site.call("DELETE", f"/proof/{ID}", node=survivor))[0] == 200

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)
