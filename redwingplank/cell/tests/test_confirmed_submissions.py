"""What the answer to a POST confirms holds although the owner is killed right after it, over HTTP.

Failure: a job that was accepted is not stored, or one that was said not to run is.
"""

import asyncio

import pytest

from redwingplank.cell.keys import JOBS_PREFIX
from redwingplank.cell.submission import SubmitOutcome
from redwingplank.cell.tests.answers_fixture import (
    ID,
    JOB,
    LONG_LEASE_S,
    PATH,
    choose_node,
    owner_number,
    refuse_all,
    refuse_node,
    refuse_owner,
    replace_owner,
    start_count,
    stop_intake_of_owner,
)
from redwingplank.cell.tests.site_fixture import run_site

KEY = JOBS_PREFIX + ID


async def assert_runs(site, node):
    """Check that the job is stored, and that it completes under the present owner."""
    assert KEY in site.store.items
    await site.until_state(ID, "completed", node=node)


class TestAcceptedJob:
    # Guards against a job that is accepted on the word of an owner, or before it is stored.
    @pytest.mark.parametrize("asks_owner", [True, False])
    def test_runs_under_the_next_owner(self, asks_owner):
        async def scenario(site):
            node = await choose_node(site, asks_owner=asks_owner)
            assert (await site.call("POST", PATH, JOB, node=node))[0] == 200
            await assert_runs(site, await replace_owner(site))

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against a job that the owner never took in and that the next one does not find.
    @pytest.mark.parametrize("attempts", [1, 2])
    def test_that_the_owner_did_not_take_in_runs_under_the_next_one(self, attempts):
        async def scenario(site):
            node = await choose_node(site, asks_owner=False)
            await stop_intake_of_owner(site)
            for _ in range(attempts):
                assert (await site.call("POST", PATH, JOB, node=node))[0] == 200
            survivor = await replace_owner(site)
            await assert_runs(site, survivor)
            assert start_count(site) == 1

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against a peer that says that it has stored what it has not.
    def test_through_a_peer_runs_under_the_next_owner(self):
        async def scenario(site):
            node = await choose_node(site, asks_owner=False)
            store = site.contexts[node].store
            refuse_node(site, node)
            assert (await site.call("POST", PATH, JOB, node=node))[0] == 200
            site.contexts[node].store = store
            await assert_runs(site, await replace_owner(site))

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against an owner that accepts a job by itself which only a peer can store.
    def test_at_an_owner_that_the_store_refuses_runs_under_the_next_one(self):
        async def scenario(site):
            node = await choose_node(site, asks_owner=False)
            refuse_owner(site)
            assert (await site.call("POST", PATH, JOB, node=1 - node))[0] == 200
            await assert_runs(site, await replace_owner(site))

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against a node or its peer that remembers a job as accepted which is not stored, and
    # against an owner that knows one.
    @pytest.mark.parametrize("who_knows", ["node", "peer", "owner"])
    def test_that_is_repeated_while_the_store_refuses_all_runs(self, who_knows):
        async def scenario(site):
            node = await choose_node(site, asks_owner=False)
            first = node if who_knows == "node" else 1 - node
            assert (await site.call("POST", PATH, JOB, node=first))[0] == 200
            await site.until(lambda: start_count(site) == 1)
            if who_knows == "owner":
                for each in site.nodes:
                    each.callers._unresolved._accepted_s_by_job_id.clear()
            refuse_all(site)
            assert (await site.call("POST", PATH, JOB, node=node))[0] == 200
            await assert_runs(site, await replace_owner(site))

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)


class TestRefusedJob:
    # Guards against a job that was said not to run and that a later owner finds.
    @pytest.mark.parametrize("asks_owner", [True, False])
    def test_runs_under_no_owner(self, asks_owner):
        async def scenario(site):
            node = await choose_node(site, asks_owner=asks_owner)
            refuse_all(site)
            status, _, headers = await site.call("POST", PATH, JOB, node=node)
            assert (status, headers["Retry-After"]) == (503, "1")
            survivor = await replace_owner(site)
            other = "00000000000000aa"
            assert (await site.call("POST", f"/proof/{other}", JOB, node=survivor))[0] == 200
            await site.until_state(other, "completed", node=survivor)
            assert (KEY in site.store.items, start_count(site)) == (False, 0)

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)


class TestAnswersOfPeers:
    # Guards against an answer to a peer that confirms more than the store has: a cancellation and
    # a final state by an owner that the store refuses, and a submission by a node that it refuses.
    def test_confirm_nothing_that_is_not_stored(self):
        async def scenario(site):
            node = await choose_node(site, asks_owner=False)
            owner = owner_number(site)
            calls, address = (
                site.contexts[node].calls,
                site.contexts[owner].settings.peer_address,
            )
            assert (await site.call("POST", PATH, JOB, node=node))[0] == 200
            await site.until(lambda: start_count(site) == 1)
            await stop_intake_of_owner(site)
            answer, (is_owner, state), outcome = await asyncio.gather(
                calls.cancel(address, ID, 2.0),
                calls.job_state(address, ID, 0.5),
                calls.submit(address, "00000000000000aa", b"{}", 0.7),
            )
            assert (answer.is_known, answer.is_stored) == (True, False)
            assert (is_owner, state) == (True, "running")
            assert SubmitOutcome[outcome] is SubmitOutcome.NOT_RUN
            assert f"{JOBS_PREFIX}00000000000000aa" not in site.store.items

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against a node that answers for an owner which it is not any more.
    def test_of_a_node_that_owns_nothing_say_so(self):
        async def scenario(site):
            node = await choose_node(site, asks_owner=False)
            owner = owner_number(site)
            calls = site.contexts[owner].calls
            address = site.contexts[node].settings.peer_address
            assert await calls.cancel(address, ID, 1.0) is None
            assert await calls.cancel(address, ID, 1.0, "a") is None
            assert await calls.job_state(address, ID, 1.0) == (False, None)
            assert await calls.pending(address, "proof", 1.0) is None

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against a refusal by a node that has confirmed that it was told of another attempt.
    def test_of_a_node_that_was_told_of_another_attempt_is_no_refusal(self):
        async def scenario(site):
            node = await choose_node(site, asks_owner=False)
            calls = site.contexts[1 - node].calls
            address = site.contexts[node].settings.peer_address
            await calls.note_unresolved(address, ID, 1.0)
            refuse_all(site)
            assert await calls.submit(address, ID, b"{}", 0.7) == "UNKNOWN"
            assert (await site.call("POST", PATH, JOB, node=node))[0] == 504
            assert (await site.call("GET", PATH, node=node))[0] == 503

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)
