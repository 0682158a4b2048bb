"""What the answer to a GET says holds although the owner is killed right after it, over HTTP.

Failure: a node shows a state that only the owner's memory holds, and the next owner shows another.
"""

import asyncio

import pytest

from redwingplank.cell.keys import JOBS_PREFIX, PROGRESS_PREFIX
from redwingplank.cell.tests.answers_fixture import (
    FINAL_STATES,
    ID,
    JOB,
    LASTING,
    LONG_LEASE_S,
    PATH,
    choose_node,
    end_in_memory_only,
    is_ended,
    lose_owner_and_workers,
    owner_node,
    owner_number,
    refuse_all,
    refuse_node,
    refuse_owner,
    replace_owner,
    set_runs,
    start_count,
    start_job,
    stop_intake_of_owner,
)
from redwingplank.cell.tests.site_fixture import run_site

ENDS = {"done": "completed", "failed": "failed"}
"""Final state of the job by the end of its only run."""


async def until_final(site, node):
    """Ask a node for the state until it is final, and return it."""
    for _ in range(3000):
        if (state := await site.state_of(ID, node)) in FINAL_STATES:
            return state
    raise AssertionError("the state did not become final")


class TestFinalState:
    # Guards against a final state that is shown before it is stored: the next owner would run the
    # job again.
    @pytest.mark.parametrize("how", ENDS)
    @pytest.mark.parametrize("refuse", [refuse_all, refuse_owner])
    @pytest.mark.parametrize("asks_owner", [True, False])
    def test_that_is_not_stored_is_not_shown(self, how, refuse, asks_owner):
        async def scenario(site):
            site.configure(2, max_attempts=1)
            node = await choose_node(site, asks_owner=asks_owner)
            await end_in_memory_only(site, refuse, how)
            assert await site.state_of(ID, node) == "running"
            await lose_owner_and_workers(site)
            assert start_count(site) == 2

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against the same for a cancellation that was not acknowledged.
    @pytest.mark.parametrize("asks_owner", [True, False])
    def test_of_a_cancellation_that_is_not_stored_is_not_shown(self, asks_owner):
        async def scenario(site):
            node = await choose_node(site, asks_owner=asks_owner)
            await start_job(site, LASTING)
            refuse_all(site)
            assert (await site.call("DELETE", PATH, node=node))[0] == 503
            assert is_ended(site)
            assert await site.state_of(ID, node) == "running"
            survivor = await replace_owner(site)
            await site.until(lambda: start_count(site) == 2)
            assert await site.state_of(ID, survivor) == "running"

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against a final state that the next owner, or a node that reads the store, does not
    # show.
    @pytest.mark.parametrize("how", ENDS)
    @pytest.mark.parametrize("asks_owner", [True, False])
    def test_that_is_shown_stays_when_the_owner_is_killed_at_once(self, how, asks_owner):
        async def scenario(site):
            site.configure(2, max_attempts=1)
            node = await choose_node(site, asks_owner=asks_owner)
            set_runs(site, 0.2, how)
            await start_job(site)
            assert await until_final(site, node) == ENDS[how]
            survivor = 1 - owner_number(site)
            site.crash_workers()
            await site.crash(owner_node(site))
            assert await site.state_of(ID, survivor) == ENDS[how]
            await site.until(lambda: site.owner_node() is not None)
            assert await site.state_of(ID, survivor) == ENDS[how]
            assert start_count(site) == 1

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against a state that a node reads from the store and that the owner shows differently.
    @pytest.mark.parametrize("how", ENDS)
    def test_that_a_node_without_an_owner_shows_is_that_of_the_owner(self, how):
        async def scenario(site):
            site.configure(2, max_attempts=1)
            node = await choose_node(site, asks_owner=False)
            set_runs(site, 0.2, how)
            await start_job(site)
            membership = site.nodes[node]._membership
            owner, membership.owner = membership.owner, None
            assert await until_final(site, node) == ENDS[how]
            membership.owner = owner
            survivor = await replace_owner(site)
            assert await site.state_of(ID, survivor) == ENDS[how]
            assert start_count(site) == 1

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)


class TestUnreadableProgress:
    # Guards against a completed job whose record the next owner cannot read, and which it therefore
    # runs from the beginning.
    def test_is_not_that_of_a_new_job(self):
        async def scenario(site):
            await start_job(site)
            node = await choose_node(site, asks_owner=False)
            assert await until_final(site, node) == "completed"
            site.store.put(PROGRESS_PREFIX + ID, b"{")
            survivor = await replace_owner(site)
            other = "00000000000000aa"
            assert (await site.call("POST", f"/proof/{other}", JOB, node=survivor))[0] == 200
            await site.until_state(other, "completed", node=survivor)
            assert (await site.call("GET", PATH, node=survivor))[0] == 503
            assert start_count(site) == 1

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)


class TestUnknownJob:
    # Guards against 410 from an owner that has not taken the job in and cannot ask the store.
    def test_is_not_said_not_to_exist_by_an_owner_that_the_store_refuses(self):
        async def scenario(site):
            node = await choose_node(site, asks_owner=False)
            owner = owner_number(site)
            await stop_intake_of_owner(site)
            assert (await site.call("POST", PATH, JOB, node=node))[0] == 200
            assert (await site.call("GET", PATH, node=owner))[0] == 503
            assert await site.state_of(ID, node) == "queued"
            survivor = await replace_owner(site)
            await site.until_state(ID, "completed", node=survivor)

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against 410 from a node that the store refuses, and that reaches no owner.
    def test_is_not_said_not_to_exist_by_a_node_without_store_and_owner(self):
        async def scenario(site):
            node = await choose_node(site, asks_owner=False)
            await start_job(site, LASTING)
            refuse_node(site, node)
            site.nodes[node]._membership.owner = None
            assert (await site.call("GET", PATH, node=node))[0] == 503
            assert JOBS_PREFIX + ID in site.store.items

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)


class TestPending:
    # Guards against a count of waiting jobs that leaves out accepted ones after a change of owner,
    # and against a count where no owner answers.
    def test_counts_the_waiting_jobs_under_the_next_owner_too(self):
        async def scenario(site):
            site.configure(2, service="absent")
            await site.until(lambda: all(node._config.current.version == 2 for node in site.nodes))
            for number in range(3):
                path = f"/proof/{number:016x}"
                assert (await site.call("POST", path, JOB, node=number % 2))[0] == 200
            node = await choose_node(site, asks_owner=False)
            await until_pending(site, node, 3)
            await site.crash(owner_node(site))
            status, body, _ = await site.call("GET", "/proof/", node=node)
            assert (status, body) in ((503, body), (200, {"pending": 3}))
            await until_pending(site, node, 3)

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)


async def until_pending(site, node, count):
    for _ in range(500):
        status, body, _ = await site.call("GET", "/proof/", node=node)
        if (status, body) == (200, {"pending": count}):
            return
        assert status == 503 or body["pending"] < count
        await asyncio.sleep(0.01)
    raise AssertionError(f"the number of waiting jobs did not become {count}")
