"""What the answer to a DELETE confirms holds although the owner is killed right after it.

Failure: a node answers for what only the owner's memory holds, and the next owner does not know of
it.
"""

import asyncio

import pytest

from redwingplank.cell import owner as owner_module
from redwingplank.cell.keys import CANCELS_PREFIX
from redwingplank.cell.tests.answers_fixture import (
    ID,
    LASTING,
    LONG_LEASE_S,
    PATH,
    choose_node,
    end_in_memory_only,
    is_all_stored,
    is_ended,
    lose_owner_and_workers,
    owner_node,
    owner_number,
    refuse_all,
    refuse_owner,
    replace_owner,
    start_count,
    start_job,
)
from redwingplank.cell.tests.site_fixture import run_site
from redwingplank.cell.tests.test_access import A, B, configure


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


async def assert_cancelled(site, node, key=None):
    """Check that the present owner has the job as cancelled, and that nothing of it starts."""
    await site.until(lambda: is_ended(site))
    starts = start_count(site)
    assert (await site.call("DELETE", PATH, node=node, key=key))[0] == 200
    assert (await site.call("GET", PATH, node=node, key=key))[1] == {"state": "cancelled"}
    assert start_count(site) == starts == 1


class TestCancellationOfARunningJob:
    # Guards against a DELETE that is acknowledged on the word of an owner that has not stored it,
    # and against one that a node stores and the next owner does not take in.
    @pytest.mark.parametrize("refuse", [refuse_all, refuse_owner])
    @pytest.mark.parametrize("asks_owner", [True, False])
    def test_holds_for_the_next_owner_if_it_is_acknowledged(self, refuse, asks_owner):
        async def scenario(site):
            await start_job(site, LASTING)
            node = await choose_node(site, asks_owner=asks_owner)
            refuse(site)
            status, _, _ = await site.call("DELETE", PATH, node=node)
            is_stored = CANCELS_PREFIX + ID in site.store.items
            assert (status, is_stored) in ((200, True), (503, False))
            assert is_stored == (refuse is refuse_owner and not asks_owner)
            survivor = await replace_owner(site)
            if status == 200:
                await assert_cancelled(site, survivor)
            else:
                await site.until(lambda: start_count(site) == 2)
                assert (await site.call("DELETE", PATH, node=survivor))[0] == 200

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against an owner that answers before its write is carried out.
    @pytest.mark.parametrize("asks_owner", [True, False])
    def test_by_the_owner_holds_when_both_are_killed_at_once(self, asks_owner):
        async def scenario(site):
            await start_job(site, LASTING)
            node = await choose_node(site, asks_owner=asks_owner)
            assert (await site.call("DELETE", PATH, node=node))[0] == 200
            assert CANCELS_PREFIX + ID not in site.store.items
            await assert_cancelled(site, await replace_owner(site))

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against a cancellation that is lost between the owner that was asked and the next one.
    def test_during_which_the_owner_is_killed(self):
        async def scenario(site):
            await start_job(site, LASTING)
            node = await choose_node(site, asks_owner=False)
            refuse_owner(site)
            answer = asyncio.create_task(site.call("DELETE", PATH, node=node))
            await site.until(lambda: is_ended(site))
            assert not answer.done()
            survivor = await replace_owner(site)
            assert (await answer)[0] == 200
            await assert_cancelled(site, survivor)

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against a node without an owner that answers before the store has the cancellation.
    @pytest.mark.parametrize("is_store_down", [True, False])
    def test_at_a_node_that_knows_no_owner(self, is_store_down):
        async def scenario(site):
            await start_job(site, LASTING)
            node = await choose_node(site, asks_owner=False)
            refuse_owner(site)
            membership = site.nodes[node]._membership
            owner, membership.owner = membership.owner, None
            site.store.is_down = is_store_down
            status, _, _ = await site.call("DELETE", PATH, node=node)
            membership.owner = owner
            assert status == (503 if is_store_down else 200)
            survivor = await replace_owner(site)
            if is_store_down:
                await site.until(lambda: start_count(site) == 2)
            else:
                await assert_cancelled(site, survivor)

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against a cancellation for an organisation that takes another way than the others, and
    # against one by another organisation.
    @pytest.mark.parametrize("asks_owner", [True, False])
    def test_of_an_organisation(self, asks_owner):
        async def scenario(site):
            await configure(site, 2, A, B)
            await start_job(site, LASTING, key="key-a")
            node = await choose_node(site, asks_owner=asks_owner)
            refuse_owner(site)
            other = 1 - owner_number(site)
            assert (await site.call("DELETE", PATH, node=other, key="key-b"))[0] == 410
            assert not is_ended(site)
            status, _, _ = await site.call("DELETE", PATH, node=node, key="key-a")
            assert status == (503 if asks_owner else 200)
            survivor = await replace_owner(site)
            if asks_owner:
                await site.until(lambda: start_count(site) == 2)
                assert (await site.call("DELETE", PATH, node=survivor, key="key-a"))[0] == 200
            else:
                await assert_cancelled(site, survivor, key="key-a")

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)


class TestCancellationDuringARemoval:
    # Guards against a job that comes back although it was said to be cancelled, or to be gone.
    @pytest.mark.parametrize("is_refused", [True, False])
    def test_holds_for_the_next_owner(self, is_refused, monkeypatch):
        monkeypatch.setattr(owner_module, "REMOVAL_PERIOD_S", 0.2)

        async def scenario(site):
            await start_job(site)
            await site.until(lambda: is_ended(site) and is_all_stored(site))
            await site.until(lambda: not any(worker.ends for worker in site.workers))
            node = await choose_node(site, asks_owner=False)
            settings = owner_node(site)._owner._settings
            object.__setattr__(settings, "state_kept_s", 0.0)
            if is_refused:
                refuse_owner(site)
                await site.until(
                    lambda: any("event=removal_failed" in line for line in site.events())
                )
            else:
                await site.until(lambda: f"redwing/intake/jobs/{ID}" not in site.store.items)
            status, _, _ = await site.call("DELETE", PATH, node=node)
            assert status == 200 or not is_refused
            survivor = await replace_owner(site)
            assert (await site.call("DELETE", PATH, node=survivor))[0] == (
                200 if is_refused else 410
            )
            assert start_count(site) == 1

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)
