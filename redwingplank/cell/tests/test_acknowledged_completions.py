"""The owner is killed right after a worker's completion was acknowledged.

Failure: a completion is acknowledged, so that the worker forgets it, and the next owner does not
know of what it told.
"""

import pytest

from redwingplank.cell.keys import EPOCH_KEY, JOBS_PREFIX
from redwingplank.cell.tests.answers_fixture import (
    ID,
    LASTING,
    LONG_LEASE_S,
    PATH,
    STEP,
    choose_node,
    is_ended,
    job_in_memory,
    owner_node,
    refuse_all,
    refuse_owner,
    replace_owner,
    set_runs,
    start_count,
    start_job,
)
from redwingplank.cell.tests.site_fixture import run_site

SAVING = {"spec": "last", "steps": [{**STEP, "checkpointing": True}]}
POLLS = 4
"""Polls after which a completion that may be acknowledged is."""


def acknowledged_count(site):
    return sum(len(worker.acknowledged) for worker in site.workers)


async def poll_some_times(site, count=POLLS):
    """Wait until every worker with a completion was polled some times more."""
    due = [(worker, worker.poll_count + count) for worker in site.workers if worker.ends]
    await site.until(
        lambda: all(worker.poll_count >= polls or not worker.ends for worker, polls in due)
    )


async def until_handled(site):
    """Wait until the owner has applied the completions that the workers list."""

    def is_handled():
        by_id = owner_node(site)._owner.owner.state.workers_by_id
        handled = sum(each.handled_completion_number for each in by_id.values())
        return handled == sum(worker.end_count for worker in site.workers) > 0

    await site.until(is_handled)


class TestAcknowledgement:
    # Guards against a completion that is acknowledged before its effect is stored, and against one
    # that is never acknowledged.
    @pytest.mark.parametrize("how", ["done", "failed"])
    @pytest.mark.parametrize("refuse", [refuse_all, refuse_owner])
    def test_waits_for_the_store(self, how, refuse):
        async def scenario(site):
            site.configure(2, max_attempts=1)
            set_runs(site, 0.4, how)
            await start_job(site)
            refuse(site)
            await site.until(lambda: is_ended(site))
            await poll_some_times(site)
            assert acknowledged_count(site) == 0
            survivor = await replace_owner(site, loses_workers=False)
            await site.until(lambda: acknowledged_count(site) == 1)
            expected = "completed" if how == "done" else "failed"
            assert await site.state_of(ID, survivor) == expected
            assert start_count(site) == 1

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against a completion that is lost with the owner that acknowledged it.
    def test_holds_when_the_owner_and_the_workers_are_killed_at_once(self):
        async def scenario(site):
            await choose_node(site, asks_owner=False)
            await start_job(site)
            await site.until(lambda: acknowledged_count(site) == 1)
            survivor = await replace_owner(site)
            assert await site.state_of(ID, survivor) == "completed"
            assert start_count(site) == 1

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against failures that the next owner does not count, and a task that fails too often.
    def test_of_a_failure_counts_it_for_the_next_owner(self):
        async def scenario(site):
            site.configure(2, max_attempts=2)
            await choose_node(site, asks_owner=False)
            set_runs(site, 0.2, "failed")
            await start_job(site)
            for worker in site.workers:
                worker.run_s = 60.0
            await site.until(lambda: acknowledged_count(site) == 1 and start_count(site) == 2)
            survivor = await replace_owner(site, how="failed")
            await site.until_state(ID, "failed", node=survivor)
            # The first run failed, the second was lost with its worker, and the third failed.
            assert start_count(site) == 3

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)

    # Guards against the completion of a stopped run that is acknowledged before the cancellation
    # that stopped it is stored.
    @pytest.mark.parametrize("refuse", [refuse_all, refuse_owner])
    def test_of_a_stopped_run_waits_for_the_cancellation(self, refuse):
        async def scenario(site):
            await start_job(site, LASTING)
            refuse(site)
            node = await choose_node(site, asks_owner=True)
            assert (await site.call("DELETE", PATH, node=node))[0] == 503
            await until_handled(site)
            await poll_some_times(site)
            assert acknowledged_count(site) == 0
            survivor = await replace_owner(site, loses_workers=False)
            await site.until(lambda: start_count(site) == 2)
            assert (await site.call("DELETE", PATH, node=survivor))[0] == 200

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)


class TestCheckpoint:
    # Guards against the completion of a run that has saved a checkpoint, acknowledged before the
    # store has the checkpoint, so that the next owner starts the task from the beginning.
    @pytest.mark.parametrize("how", ["stopped", "lapsed", "failed"])
    @pytest.mark.parametrize("is_known_before", [True, False])
    def test_of_an_acknowledged_run_is_that_of_the_next_start(self, how, is_known_before):
        async def scenario(site):
            set_runs(site, 60.0)
            await start_job(site, SAVING)
            if is_known_before:
                for worker in site.workers:
                    worker.saved = "half"
                await site.until(lambda: task_of(site).saved == "half")
            refuse_owner(site)
            for worker in site.workers:
                worker.saved = "half"
                worker.end_all(how)
            await until_handled(site)
            await poll_some_times(site)
            acknowledged = acknowledged_count(site)
            for worker in site.workers:
                worker.saved = ""
            await replace_owner(site)
            await site.until(lambda: start_count(site) == 2)
            checkpoints = [text for worker in site.workers for text in worker.checkpoints]
            assert acknowledged == 0 or "half" in checkpoints

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)


def task_of(site):
    (step,) = job_in_memory(site).steps_by_key.values()
    return step.tasks[0]


class TestUnknownJob:
    # Guards against a worker whose completions of removed jobs are listed for ever.
    def test_that_is_not_stored_is_acknowledged(self):
        async def scenario(site):
            set_runs(site, 60.0)
            await start_job(site)
            site.store.remove(JOBS_PREFIX + ID)
            await replace_owner(site, loses_workers=False)
            assert job_in_memory(site) is None
            await site.until(lambda: acknowledged_count(site) == 1)

        run_site(scenario, store_lease_s=LONG_LEASE_S, nodes=2)


class TestReplacedOwner:
    # Guards against an owner that was replaced without noticing it, and that takes a write which
    # the store has not carried out for one that it has.
    def test_acknowledges_nothing_that_it_can_store_no_more(self):
        async def scenario(site):
            set_runs(site, 0.6)
            await start_job(site)
            membership = owner_node(site)._membership
            membership._apply_epoch = lambda *_: None
            site.store.put(EPOCH_KEY, site.store.items[EPOCH_KEY].value)
            await site.until(lambda: membership.ownership is None or acknowledged_count(site))
            assert acknowledged_count(site) == 0
            del membership._apply_epoch
            await site.until_state(ID, "completed")
            await site.until(lambda: acknowledged_count(site) == 1)
            assert start_count(site) == 1

        run_site(scenario, store_lease_s=LONG_LEASE_S)
