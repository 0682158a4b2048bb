"""Jobs of which a DELETE has said that they do not exist, at whole nodes over HTTP.

Failure: the store, another node or the caller's own retry brings such a job afterwards, and it runs
although its cancellation was acknowledged.
"""

import asyncio
from dataclasses import replace

import msgspec
import pytest

from redwingplank.batch.model import JobState
from redwingplank.batch.records import encode_submission
from redwingplank.cell import job_intake
from redwingplank.cell import owner as owner_module
from redwingplank.cell.clocks import now_s
from redwingplank.cell.keys import CANCELS_PREFIX, EPOCH_KEY, JOBS_PREFIX
from redwingplank.cell.record_writer import CANCELLATIONS_PER_REMOVAL
from redwingplank.cell.submission import SubmitOutcome
from redwingplank.cell.tests.site_fixture import Site, run_site
from redwingplank.cell.tests.test_access import A, B, configure
from redwingplank.platform.site.jobs import decode_job

STEP = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 50}
JOB = {"spec": "payload", "steps": [STEP]}
LASTING = {"spec": "last", "steps": [{**STEP, "long_running": True}]}
ID = "5c0e7a21d94b36f8"
OTHER_ID = "5c0e7a21d94b36f9"
PATH = f"/proof/{ID}"
KEY = f"{JOBS_PREFIX}{ID}"
CANCEL_KEY = f"{CANCELS_PREFIX}{ID}"


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


def owner_of(site: Site):
    """Return the owner of the jobs that runs in one of the nodes."""
    node = site.owner_node()
    assert node is not None and node._owner is not None
    return node._owner


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

    # Guards against an owner that forgets such a cancellation when it reads all jobs: the job comes
    # after the owner has changed.
    @pytest.mark.parametrize("is_stored_before", [True, False])
    def test_does_not_run_for_the_next_owner(self, is_stored_before):
        async def scenario(site):
            assert (await site.call("DELETE", PATH))[0] == 410
            survivor = next(i for i, node in enumerate(site.nodes) if not node.owns_jobs)
            if is_stored_before:
                site.store.is_silent = True
                site.store.put(KEY, encode_job())
            await site.crash(site.owner_node())
            site.store.is_silent = False
            await site.until(lambda: site.owner_node() is not None)
            if not is_stored_before:
                site.store.put(KEY, encode_job())
            await let_owner_act(site, survivor)
            assert start_count(site) == 0
            await site.until_state(ID, "cancelled", node=survivor)

        run_site(scenario, nodes=2)


class TestAnswer:
    # Guards against 410 for a job of which no cancellation is stored.
    def test_is_no_410_while_the_cancellation_cannot_be_stored(self):
        async def scenario(site):
            site.store.held_prefix = CANCELS_PREFIX
            status, _, headers = await site.call("DELETE", PATH)
            assert (status, headers["Retry-After"]) == (503, "1")
            assert CANCEL_KEY not in site.store.items
            site.store.release()
            assert (await site.call("POST", PATH, JOB))[0] == 503

        run_site(scenario)

    # Guards against 503 where a copy of the call finds the cancellation of the copy before it.
    def test_is_410_after_a_lost_answer(self):
        async def scenario(site):
            site.store.lose_answers, site.store.lost_prefix = 1, CANCELS_PREFIX
            assert (await site.call("DELETE", PATH))[0] == 410
            assert CANCEL_KEY in site.store.items
            assert (await site.call("DELETE", PATH))[0] == 410

        run_site(scenario)

    # Guards against 410 for a job that is stored between the read of its key and the cancellation.
    def test_is_200_for_a_job_that_appears_meanwhile(self):
        async def scenario(site):
            node = next(i for i, node in enumerate(site.nodes) if not node.owns_jobs)
            store = site.contexts[node].store
            get = store.get

            async def get_and_store(key, timeout_s):
                found = await get(key, timeout_s)
                if key == KEY:
                    store.get = get
                    assert (await site.call("POST", PATH, LASTING, node=1 - node))[0] == 200
                    await site.until(lambda: start_count(site) == 1)
                return found

            store.get = get_and_store
            site.nodes[node]._membership.owner = None
            assert (await site.call("DELETE", PATH, node=node))[0] == 200
            await site.until(lambda: not any(worker.runs for worker in site.workers))
            await site.until_state(ID, "cancelled")
            assert start_count(site) == 1

        run_site(scenario, nodes=2)

    # Guards against 503 for a job that was stored and cancelled, whose submission is repeated.
    def test_to_a_repeated_submission_of_a_cancelled_job_is_200(self):
        async def scenario(site):
            assert (await site.call("POST", PATH, LASTING))[0] == 200
            site.nodes[0]._membership.owner = None
            assert (await site.call("DELETE", PATH))[0] == 200
            assert (await site.call("POST", PATH, LASTING))[0] == 200
            await site.until_state(ID, "cancelled")

        run_site(scenario)

    # Guards against 503 where a copy of a submission finds the job that the copy before it stored.
    def test_to_a_submission_is_200_after_a_lost_answer(self):
        async def scenario(site):
            site.store.lose_answers, site.store.lost_prefix = 1, JOBS_PREFIX
            assert (await site.call("POST", PATH, LASTING))[0] == 200

        run_site(scenario)


class TestOrganisations:
    # Guards against an organisation that keeps the jobs of others from being stored or run.
    def test_a_job_of_another_organisation_is_stored_and_runs(self):
        async def scenario(site):
            await configure(site, 2, A, B)
            assert (await site.call("DELETE", PATH, key="key-b"))[0] == 410
            assert (await site.call("DELETE", f"/open/{ID}"))[0] == 410
            assert CANCEL_KEY in site.store.items
            assert (await site.call("POST", PATH, JOB, key="key-a"))[0] == 200
            assert CANCEL_KEY not in site.store.items
            await site.until(lambda: start_count(site) == 1)

        run_site(scenario)

    # Guards against an owner that applies the cancellation of another organisation.
    def test_an_owner_does_not_cancel_it_either(self):
        async def scenario(site):
            await configure(site, 2, A, B)
            assert (await site.call("DELETE", PATH, key="key-b"))[0] == 410
            site.store.put(KEY, encode_job("a"))
            await site.until(lambda: start_count(site) == 1)
            assert (await site.call("DELETE", PATH, key="key-b"))[0] == 410

        run_site(scenario)

    # Guards against a cancellation that takes the place of that of another organisation.
    def test_cancellations_of_several_count_for_each(self):
        async def scenario(site):
            await configure(site, 2, A, B)
            for key in ("key-b", "key-a", "key-b"):
                assert (await site.call("DELETE", PATH, key=key))[0] == 410
            for key in ("key-a", "key-b"):
                assert (await site.call("POST", PATH, JOB, key=key))[0] == 503
            assert KEY not in site.store.items

        run_site(scenario)

    # Guards against a cancellation that a node of the previous version stored and that is ignored.
    def test_one_of_the_previous_version_counts_for_all(self):
        async def scenario(site):
            await configure(site, 2, A, B)
            site.store.put(CANCEL_KEY, b"1")
            assert (await site.call("POST", PATH, JOB, key="key-a"))[0] == 503
            site.store.put(KEY, encode_job("a"))
            state = owner_of(site).job_state
            await site.until(lambda: state(ID) is JobState.CANCELLED)
            assert start_count(site) == 0

        run_site(scenario)

    # Guards against "never runs" for a job whose first call the store may carry out, once the
    # cancellation of another organisation, which it found, is removed.
    def test_a_refusal_after_one_of_others_was_found_is_no_certainty(self, monkeypatch):
        async def scenario(site):
            await configure(site, 2, A, B)
            assert (await site.call("DELETE", PATH, key="key-b"))[0] == 410
            store = site.contexts[0].store
            transact = store.transact

            async def transact_and_refuse(*arguments):
                result = await transact(*arguments)
                site.store.is_down = True
                return result

            monkeypatch.setattr(store, "transact", transact_and_refuse)
            callers = site.nodes[0].callers
            outcome, _ = await callers.store_here(ID, encode_job("a"), 2.0)
            site.store.is_down = False
            assert outcome is SubmitOutcome.UNKNOWN

        run_site(scenario)


class TestRemoval:
    """Cancellations without a job, which the owner removes after some time."""

    @pytest.fixture(autouse=True)
    def short_period(self, monkeypatch):
        monkeypatch.setattr(owner_module, "REMOVAL_PERIOD_S", 0.1)

    # Guards against keys that stay for ever, and against ids that can never be used again.
    def test_lets_the_id_be_used_again(self, monkeypatch):
        async def scenario(site):
            job_ids = [f"{number:016x}" for number in range(2 * CANCELLATIONS_PER_REMOVAL + 1)]
            for job_id in job_ids:
                assert (await site.call("DELETE", f"/proof/{job_id}"))[0] == 410
            monkeypatch.setattr(job_intake, "KEPT_S", 0.0)
            await site.until(
                lambda: not any(key.startswith(CANCELS_PREFIX) for key in site.store.items)
            )
            assert (await site.call("POST", f"/proof/{job_ids[0]}", JOB))[0] == 200
            await site.until_state(job_ids[0], "completed")

        run_site(scenario)

    # Guards against a removal before the store can have carried out all calls.
    def test_waits_from_the_last_cancellation(self):
        async def scenario(site):
            intake = owner_of(site)._intake
            assert (await site.call("DELETE", PATH))[0] == 410
            await site.until(lambda: intake._cancellations_by_id)
            first = intake._cancellations_by_id[ID]
            assert intake.old_cancellations(first.seen_s + job_intake.KEPT_S - 1) == {}
            old = intake.old_cancellations(first.seen_s + job_intake.KEPT_S + 1)
            assert old == {ID: first.revision}
            assert (await site.call("DELETE", PATH))[0] == 410
            await site.until(lambda: intake._cancellations_by_id[ID].revision > first.revision)
            last = intake._cancellations_by_id[ID]
            assert last.seen_s > first.seen_s
            assert intake.old_cancellations(last.seen_s + job_intake.KEPT_S - 1) == {}
            await owner_of(site)._writer.remove_cancellations(old)
            assert CANCEL_KEY in site.store.items

        run_site(scenario)

    # Guards against a removal that takes the cancellation of a stored job, which then runs.
    def test_leaves_the_cancellation_of_a_stored_job(self):
        async def scenario(site):
            assert (await site.call("POST", PATH, LASTING))[0] == 200
            site.nodes[0]._membership.owner = None
            owner = owner_of(site)
            revision = site.store.put(CANCEL_KEY, b"1")
            await site.until(lambda: owner._intake._cancellations_by_id)
            assert owner._intake.old_cancellations(now_s() + job_intake.KEPT_S) == {}
            await owner._writer.remove_cancellations({ID: revision})
            assert CANCEL_KEY in site.store.items
            assert any("event=removal_failed" in line for line in site.events())

        run_site(scenario)

    # Guards against an owner that was replaced and removes what the next one relies on.
    def test_needs_the_epoch_of_the_owner(self):
        async def scenario(site):
            assert (await site.call("DELETE", PATH))[0] == 410
            revision = site.store.items[CANCEL_KEY].revision
            writer = owner_of(site)._writer
            site.store.put(EPOCH_KEY, site.store.items[EPOCH_KEY].value)
            await writer.remove_cancellations({ID: revision})
            assert CANCEL_KEY in site.store.items

        run_site(scenario)


class TestRemovedJob:
    """A cancelled job that was removed, and is submitted again under the same id."""

    @pytest.fixture(autouse=True)
    def short_period(self, monkeypatch):
        monkeypatch.setattr(owner_module, "REMOVAL_PERIOD_S", 0.1)

    # Guards against a new job that is refused or cancelled because of an earlier one with its id.
    @pytest.mark.parametrize("asks_owner", [True, False])
    def test_runs_again_also_for_the_next_owner(self, asks_owner):
        async def scenario(site):
            assert (await site.call("POST", PATH, LASTING))[0] == 200
            await site.until(lambda: start_count(site) == 1)
            number = site.nodes.index(site.owner_node())
            if not asks_owner:
                site.nodes[1 - number]._membership.owner = None
            node = number if asks_owner else 1 - number
            assert (await site.call("DELETE", PATH, node=node))[0] == 200
            await site.until(lambda: not any(worker.runs for worker in site.workers))
            object.__setattr__(owner_of(site)._settings, "state_kept_s", 0.0)
            await site.until(lambda: KEY not in site.store.items)
            assert CANCEL_KEY not in site.store.items
            object.__setattr__(owner_of(site)._settings, "state_kept_s", 120.0)
            assert (await site.call("POST", PATH, LASTING))[0] == 200
            await site.until(lambda: start_count(site) == 2)
            await site.crash(site.owner_node())
            await site.until(lambda: site.owner_node() is not None)
            await let_owner_act(site, 1 - number)
            assert await site.state_of(ID, node=1 - number) == "running"
            assert start_count(site) == 2

        run_site(scenario, nodes=2)
