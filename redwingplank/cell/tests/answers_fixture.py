"""A job whose owner is killed right after an answer, while the store refuses some or all calls."""

from collections.abc import Callable, Mapping

from redwingplank.batch.entities import Job
from redwingplank.cell.node import Node
from redwingplank.cell.tests.site_fixture import Site
from redwingplank.platform.site.store import StoreRefusedError

STEP = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 50}
JOB = {"spec": "payload", "steps": [STEP]}
LASTING = {"spec": "last", "steps": [{**STEP, "long_running": True}]}
ID = "5c0e7a21d94b36f8"
PATH = f"/proof/{ID}"
FINAL_STATES = ("completed", "failed", "cancelled")
LONG_LEASE_S = 10.0
"""An owner that the store refuses keeps the ownership for longer than it waits for the store."""

Refuse = Callable[[Site], None]


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
    refuse_node(site, owner_number(site))


def refuse_node(site: Site, number: int) -> None:
    """Let the store refuse one node."""
    site.contexts[number].store = RefusingStore()  # type: ignore[assignment]


async def stop_intake_of_owner(site: Site) -> None:
    """Let the store refuse the owner, and wait until no watch of the owner for jobs is left."""
    refuse_owner(site)
    site.store.put("redwing/intake/none", b"")
    await site.until(
        lambda: any(
            "event=follow_failed" in line and "redwing/intake" in line for line in site.events()
        )
    )


def owner_node(site: Site) -> Node:
    """Return the node that owns the jobs; there has to be one."""
    node = site.owner_node()
    assert node is not None
    return node


def owner_number(site: Site) -> int:
    return site.nodes.index(owner_node(site))


async def choose_node(site: Site, *, asks_owner: bool) -> int:
    """Return the number of the owner, or of another node that knows of the owner."""
    owner = owner_number(site)
    if asks_owner:
        return owner
    other = site.nodes[1 - owner]
    await site.until(lambda: other._membership.owner is not None)
    return 1 - owner


def job_in_memory(site: Site, job_id: str = ID) -> Job | None:
    """Return the job as the owner knows it."""
    runtime = owner_node(site)._owner
    assert runtime is not None
    return runtime.owner.state.jobs_by_id.get(job_id)


def is_ended(site: Site) -> bool:
    job = job_in_memory(site)
    return job is not None and job.state.is_final


def is_all_stored(site: Site) -> bool:
    job = job_in_memory(site)
    return job is not None and job.stored_version == job.version


def start_count(site: Site, job_id: str = ID) -> int:
    return sum(task.startswith(job_id) for worker in site.workers for task, _ in worker.starts)


def set_runs(site: Site, run_s: float, how: str = "done") -> None:
    """Set how long the tasks run that start from now on, and how all runs end."""
    for worker in site.workers:
        worker.run_s, worker.how = run_s, how


async def start_job(site: Site, body: Mapping[str, object] = JOB, key: str | None = None) -> None:
    """Submit the job, and return when its first task runs and the owner has stored that."""
    assert (await site.call("POST", PATH, body, key=key))[0] == 200
    await site.until(lambda: start_count(site) == 1 and is_all_stored(site))


async def end_in_memory_only(site: Site, refuse: Refuse, how: str) -> None:
    """Let a task of the job end, of which the store takes no record."""
    set_runs(site, 0.4, how)
    await start_job(site)
    refuse(site)
    await site.until(lambda: is_ended(site))


async def replace_owner(site: Site, *, loses_workers: bool = True, how: str = "done") -> int:
    """Kill the owner, and the workers with it; return the number of the node that is left.

    Returns when that node owns the jobs, and the store serves it. What runs then ends as `how`.
    """
    survivor = 1 - owner_number(site)
    runtime = owner_node(site)._owner
    assert runtime is not None
    runtime._orders.stop_sending()
    if loses_workers:
        site.crash_workers()
    set_runs(site, 0.05, how)
    await site.crash(owner_node(site))
    site.store.is_down = False
    await site.until(lambda: site.owner_node() is not None)
    return survivor


async def lose_owner_and_workers(site: Site) -> int:
    """Replace the owner, and return the node that is left when the job has ended for it."""
    survivor = await replace_owner(site)
    await site.until(lambda: is_ended(site) and is_all_stored(site))
    return survivor
