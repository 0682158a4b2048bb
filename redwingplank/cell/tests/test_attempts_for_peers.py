"""Attempts of a node to store jobs for its peers, over real connections between nodes."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from redwingplank.cell.clocks import now_s
from redwingplank.cell.keys import JOBS_PREFIX
from redwingplank.cell.submission import SubmitOutcome
from redwingplank.cell.tests.site_fixture import run_site
from redwingplank.cell.unresolved_submissions import KEPT_S
from redwingplank.rpc.errors import RpcError

ID = "5c0e7a21d94b36f8"
KEY = f"{JOBS_PREFIX}{ID}"
JOB = {"spec": "payload", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 50}]}
SUBMISSION = b"{}"
LONG_S = 30.0
"""Longer than a scenario may take: the attempt ends by what the scenario does."""
LOST_S = 2.0
"""Time-out of the attempt whose answer is lost; the store carries it out within milliseconds."""


def lose_answer_then_refuse(site):
    """Let the store carry out the next submission without an answer, and refuse all others."""
    site.store.lose_answers, site.store.lost_prefix = 1, JOBS_PREFIX
    site.store.is_down_after_loss = True


async def store_through(site, node, timeout_s):
    """Ask a node, as its peer, to store the job; return the name of the outcome."""
    address = site.contexts[node].settings.peer_address
    return await site.contexts[1 - node].calls.submit(address, ID, SUBMISSION, timeout_s)


@asynccontextmanager
async def attempt_under_way(site):
    """Let node 1 make an attempt for node 0 that the store has carried out and not answered."""
    lose_answer_then_refuse(site)
    attempt = asyncio.create_task(store_through(site, 1, LONG_S))
    try:
        await site.until(lambda: KEY in site.store.items)
        yield attempt
    finally:
        attempt.cancel()
        await asyncio.wait([attempt])


async def until_attempt_has_ended(site, outcome):
    await site.until(
        lambda: any(
            "event=submit_for_peer" in line and f"outcome={outcome}" in line
            for line in site.events()
        )
    )


async def submit_again(site):
    """Submit the job to node 1; return the status, and end the outage of the store."""
    assert site.store.is_down
    status, _, _ = await site.call("POST", f"/proof/{ID}", JOB, node=1)
    site.store.is_down = False
    return status


class TestAttemptForPeer:
    # Guards against 503 for a job that the node's own attempt for a peer stores at this time.
    def test_a_refusal_while_it_is_under_way_is_unknown(self):
        async def scenario(site):
            async with attempt_under_way(site) as attempt:
                assert await submit_again(site) == 504
                assert not attempt.done()

        run_site(scenario, nodes=2)

    # Guards against the same answer by a peer that is asked twice.
    def test_another_peer_is_not_told_that_the_job_was_not_stored(self):
        async def scenario(site):
            async with attempt_under_way(site):
                assert await store_through(site, 1, LONG_S) == SubmitOutcome.UNKNOWN.name
                site.store.is_down = False

        run_site(scenario, nodes=2)

    # Guards against 503 for a stored job after the peer has given the call up.
    def test_a_refusal_after_it_was_cancelled_is_unknown(self):
        async def scenario(site):
            async with attempt_under_way(site) as attempt:
                attempt.cancel()
                await until_attempt_has_ended(site, "cancelled")
                assert await submit_again(site) == 504

        run_site(scenario, nodes=2)

    # Guards against a job whose attempt counts as under way for ever, and is never refused again.
    def test_is_forgotten_some_time_after_it_was_cancelled(self):
        async def scenario(site):
            async with attempt_under_way(site) as attempt:
                attempt.cancel()
                await until_attempt_has_ended(site, "cancelled")
                unresolved = site.nodes[1].callers._unresolved
                assert unresolved.is_known(ID, now_s())
                assert not unresolved.is_known(ID, now_s() + KEPT_S)
                site.store.is_down = False

        run_site(scenario, nodes=2)

    # Guards against 503 for a stored job after the peer has died during the call.
    def test_a_refusal_after_the_peer_was_killed_is_unknown(self):
        async def scenario(site):
            async with attempt_under_way(site) as attempt:
                await site.crash(site.nodes[0])
                with pytest.raises(RpcError):
                    await attempt
                await until_attempt_has_ended(site, "cancelled")
                assert await submit_again(site) == 504

        run_site(scenario, nodes=2)

    # Guards against 503 for a stored job after the attempt has failed unexpectedly.
    def test_a_refusal_after_it_failed_is_unknown(self, monkeypatch):
        async def scenario(site):
            store = site.contexts[1].store

            async def store_and_fail(*arguments):
                await transact(*arguments)
                raise RuntimeError("unexpected")

            transact = store.transact
            with monkeypatch.context() as patch:
                patch.setattr(store, "transact", store_and_fail)
                with pytest.raises(RpcError):
                    await store_through(site, 1, LONG_S)
            assert KEY in site.store.items
            site.store.is_down = True
            assert await submit_again(site) == 504

        run_site(scenario, nodes=2)

    # Guards against 503 for a stored job after the store did not answer in time.
    def test_a_refusal_after_its_answer_was_lost_is_unknown(self):
        async def scenario(site):
            lose_answer_then_refuse(site)
            assert await store_through(site, 1, LOST_S) == SubmitOutcome.UNKNOWN.name
            assert KEY in site.store.items
            assert await store_through(site, 1, LONG_S) == SubmitOutcome.UNKNOWN.name
            assert await submit_again(site) == 504

        run_site(scenario, nodes=2)

    # Guards against telling a peer that a job was not stored which another node may have stored.
    def test_its_refusal_covers_the_attempts_that_the_node_was_told_of(self):
        async def scenario(site):
            site.nodes[1].callers.note_unresolved(ID)
            site.store.is_down = True
            assert await store_through(site, 1, LONG_S) == SubmitOutcome.UNKNOWN.name
            site.store.is_down = False

        run_site(scenario, nodes=2)
