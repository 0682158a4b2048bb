"""Refusals that a node gives before it tries to store a job, on real sockets.

Failure: 503 says that a job never runs, although an earlier attempt may have stored it.
"""

import asyncio

import pytest

from redwingplank.cell import app
from redwingplank.cell.clocks import now_s
from redwingplank.cell.tests.answers_fixture import JOB, LONG_LEASE_S, PATH
from redwingplank.cell.tests.site_fixture import run_site
from redwingplank.cell.tests.test_access import A, configure
from redwingplank.cell.tests.test_answers import ID


class TestKeyThatCannotBeChecked:
    # Guards against a refusal while another attempt is under way that stores the job.
    def test_does_not_refuse_a_job_that_is_being_stored(self):
        async def scenario(site):
            await configure(site, 2, A)
            node = site.nodes[0]
            submissions = node.callers._submission_store
            store = submissions.store
            may_go_on = asyncio.Event()

            async def store_late(*arguments):
                await may_go_on.wait()
                return await store(*arguments)

            submissions.store = store_late
            first = asyncio.create_task(site.call("POST", PATH, JOB, key="key-a"))
            await site.until(lambda: node.callers._unresolved.is_known(ID, now_s()))
            site.store.is_silent = True
            await site.until(lambda: node._config.age_s(now_s()) > 1.8)
            repeated, _, _ = await site.call("POST", PATH, JOB, key="key-a")
            site.store.is_silent = False
            may_go_on.set()
            assert (repeated, (await first)[0]) == (504, 200)

        run_site(scenario, revocation_limit_s=2.0, store_lease_s=30.0)


class TestQueueThatIsNotKnown:
    # Guards against a refusal by a node that has missed the queue of a job which another node may
    # have stored, or that has no configuration yet.
    @pytest.mark.parametrize("has_config", [True, False])
    def test_does_not_refuse_a_job_that_may_be_stored(self, has_config, monkeypatch):
        async def scenario(site):
            callers = site.nodes[0].callers
            callers.note_unresolved(ID)
            if has_config:
                monkeypatch.setattr(callers.access, "is_view_outdated", lambda _: True)
            else:
                monkeypatch.setattr(callers, "find_config", lambda: None)
            path = f"/missed/{ID}" if has_config else PATH
            other = path.replace(ID, "00000000000000aa")
            assert (await site.call("POST", path, JOB))[0] == 504
            assert (await site.call("POST", other, JOB))[0] == 503
            assert (await site.call("GET", path))[0] == 503

        run_site(scenario, store_lease_s=LONG_LEASE_S)


class TestRequestThatFails:
    # Guards against a refusal where a request fails before its call, and an earlier attempt may
    # have stored the job.
    @pytest.mark.parametrize("is_accepted", [True, False])
    def test_does_not_refuse_a_job_that_may_be_stored(self, is_accepted, monkeypatch):
        def fail(*_arguments):
            raise RuntimeError("unexpected")

        async def scenario(site):
            if is_accepted:
                assert (await site.call("POST", PATH, JOB))[0] == 200
            else:
                site.nodes[0].callers.note_unresolved(ID)
            monkeypatch.setattr(app, "decode_job", fail)
            assert (await site.call("POST", PATH, JOB))[0] == 504
            assert (await site.call("POST", "/proof/00000000000000aa", JOB))[0] == 503

        run_site(scenario, store_lease_s=LONG_LEASE_S)
