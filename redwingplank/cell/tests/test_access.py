"""Keys and organisations at whole nodes over HTTP."""

import msgspec

from redwingplank.cell.authentication import AccessRefusal, Credentials
from redwingplank.cell.callers import SubmitAnswer
from redwingplank.cell.clocks import now_s
from redwingplank.cell.service import CellService
from redwingplank.cell.submission import SubmitOutcome
from redwingplank.cell.tests.site_fixture import run_site
from redwingplank.cell.tests.test_node import ID, LASTING
from redwingplank.platform.site.jobs import decode_job

A = {"name": "a", "api_keys": ["key-a"]}
B = {"name": "b", "api_keys": ["key-b"]}
JOB_KEY = f"redwing/intake/jobs/{ID}"


async def configure(site, version, *organisations):
    """Write a configuration, and wait until every node has it and has proven it if it has to."""
    site.configure(version, list(organisations))
    followers = [node._config for node in site.nodes]
    await site.until(lambda: all(each.current.version == version for each in followers))
    if site.revocation_limit_s is not None:
        await site.until(lambda: all(each.age_s(now_s()) < 1 for each in followers))


async def assert_only_visible_to_a(site, node):
    for method in ("GET", "DELETE"):
        assert (await site.call(method, f"/proof/{ID}", node=node, key="key-b"))[0] == 410
        assert (await site.call(method, f"/open/{ID}", node=node))[0] == 410
    assert (await site.call("GET", f"/proof/{ID}", node=node, key="key-a"))[0] == 200


class TestOrganisations:
    def test_a_job_belongs_to_the_organisation_of_its_key(self, monkeypatch):
        """Guards against jobs that run without a key, or that others see or cancel: at the owner,
        through another node, and in the store while the owner is of the previous version."""

        async def scenario(site):
            await configure(site, 2, A, B)
            path = f"/proof/{ID}"
            status, _, headers = await site.call("POST", path, LASTING)
            assert (status, headers["WWW-Authenticate"]) == (401, "Bearer")
            assert (await site.call("GET", "/proof/"))[0] == 401
            assert JOB_KEY not in site.store.items
            assert (await site.call("POST", path, LASTING, key="key-a"))[0] == 200
            assert msgspec.json.decode(site.store.items[JOB_KEY].value)["organisation"] == "a"
            for node in range(2):
                await assert_only_visible_to_a(site, node)
            monkeypatch.delattr(CellService, "jobStateFor")
            monkeypatch.delattr(CellService, "cancelFor")
            for node in range(2):
                await assert_only_visible_to_a(site, node)
            assert any("event=owner_unreachable" in line for line in site.events())
            for node in range(2):
                assert (await site.call("DELETE", path, node=node, key="key-a"))[0] == 200
            assert not any("key-a" in line or "key-b" in line for line in site.events())

        run_site(scenario, nodes=2, revocation_limit_s=5.0)

    def test_a_job_without_organisation_is_visible_to_all(self):
        """Guards against losing sight of jobs that were stored before there were organisations."""

        async def scenario(site):
            assert (await site.call("POST", f"/proof/{ID}", LASTING))[0] == 200
            await configure(site, 2, A)
            assert (await site.call("GET", f"/proof/{ID}", key="key-a"))[0] == 200
            assert (await site.call("GET", f"/open/{ID}"))[0] == 200

        run_site(scenario)


class TestRevocation:
    def test_a_node_without_the_store_admits_no_key_after_the_bound(self):
        """Guards against success with a key that was removed while the store was out of reach."""

        async def scenario(site):
            await configure(site, 2, A)
            assert (await site.call("GET", "/proof/", key="key-a"))[0] == 200
            site.store.is_down = True
            await site.until(lambda: site.nodes[0]._config.age_s(now_s()) > 1.8)
            status, _, headers = await site.call("GET", "/proof/", key="key-a")
            assert (status, headers["Retry-After"]) == (503, "1")
            assert (await site.call("GET", "/open/"))[0] == 200
            site.store.put("op/config", b'{"version":3,"tenants":[]}')
            site.store.is_down = False
            await site.until(lambda: site.nodes[0]._config.current.version == 3)
            assert any("cause=view_too_old" in line for line in site.events())

        run_site(scenario, revocation_limit_s=2.0, store_lease_s=30.0)

    def test_a_key_removed_while_the_body_arrives_stores_nothing(self):
        """Guards against a job that is written with a key that was removed after its arrival."""

        async def scenario(site):
            await configure(site, 2, A)
            queue = site.nodes[0]._config.current.queues_by_name["proof"]
            await configure(site, 3, B)
            spec = decode_job(msgspec.json.encode(LASTING), ID, "proof", 0.0)
            credentials = Credentials(queue, "Bearer key-a")
            answer = await site.nodes[0].callers.submit(spec, credentials, now_s() + 3)
            assert answer == SubmitAnswer(SubmitOutcome.NOT_RUN, AccessRefusal.UNKNOWN_KEY)
            assert JOB_KEY not in site.store.items

        run_site(scenario)


class TestOldView:
    """Pattern: a route and a key are added, and one node hears nothing of the store."""

    # Guards against a 404 or 401 that an old configuration gives for what has long been added.
    def test_what_is_not_known_is_refused_for_now(self):
        async def scenario(site):
            await configure(site, 2, A)
            assert (await site.call("GET", "/added/", key="key-a"))[0] == 404
            assert (await site.call("GET", "/proof/", key="added"))[0] == 401
            site.store.is_silent = True
            access = site.nodes[0].callers.access
            await site.until(lambda: access.is_view_outdated(now_s()))
            for path, key in (("/added/", "key-a"), ("/proof/", "added")):
                status, _, headers = await site.call("GET", path, key=key)
                assert (status, headers["Retry-After"]) == (503, "1")
            site.store.is_silent = False
            await site.until(lambda: not access.is_view_outdated(now_s()))
            assert (await site.call("GET", "/added/", key="key-a"))[0] == 404

        run_site(scenario, revocation_limit_s=30.0)
