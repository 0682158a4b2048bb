"""Repeated submissions of a job that an earlier attempt has stored, on real sockets."""

from redwingplank.cell.clocks import now_s
from redwingplank.cell.submission import SubmitOutcome
from redwingplank.cell.tests.site_fixture import run_site
from redwingplank.cell.tests.test_access import A, configure
from redwingplank.cell.tests.test_answers import ID, KEY, lose_answer_then_refuse
from redwingplank.cell.unresolved_submissions import KEPT_S, UnresolvedSubmissions

PATH = f"/proof/{ID}"
STEP = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 50, "long_running": True}
LASTING = {"spec": "p", "steps": [STEP]}
ACCEPTED, NOT_RUN, UNKNOWN = SubmitOutcome.ACCEPTED, SubmitOutcome.NOT_RUN, SubmitOutcome.UNKNOWN


class TestStoredJob:
    # Guards against a caller who is told that its job never runs, although this node stored it and
    # only the answer was lost.
    def test_is_not_refused_at_the_node_that_stored_it(self):
        async def scenario(site):
            assert (await site.call("POST", PATH, LASTING))[0] == 200
            site.store.is_down = True
            status, body, _ = await site.call("POST", PATH, LASTING)
            site.store.is_down = False
            assert (status, body) == (200, {})

        run_site(scenario)

    # Guards against the same at another node, which can ask the owner of the jobs.
    def test_is_not_refused_at_a_node_that_reaches_the_owner(self):
        async def scenario(site):
            node = site.nodes[1] if site.owner_node() is site.nodes[0] else site.nodes[0]
            number = site.nodes.index(node)
            await site.until(lambda: node._membership.owner is not None)
            assert (await site.call("POST", PATH, LASTING, node=1 - number))[0] == 200
            await site.until_state(ID, "running", node=number)
            site.store.is_down = True
            status, body, _ = await site.call("POST", PATH, LASTING, node=number)
            site.store.is_down = False
            assert (status, body) == (200, {})

        run_site(scenario, nodes=2)

    # Guards against 504 where the owner has seen the job whose answer was lost.
    def test_is_accepted_after_a_lost_answer(self):
        async def scenario(site):
            lose_answer_then_refuse(site)
            statuses = [(await site.call("POST", PATH, LASTING))[0] for _ in range(3)]
            site.store.is_down = False
            assert statuses == [504, 200, 200]

        run_site(scenario)

    # Guards against asking an owner that does not answer once for each refused job.
    def test_an_owner_that_does_not_answer_is_not_asked_for_each_job(self):
        async def scenario(site):
            owner = site.owner_node()
            node = next(each for each in site.nodes if each is not owner)
            number = site.nodes.index(node)
            await site.until(lambda: node._membership.owner is not None)
            site.store.is_down = True
            await site.crash(owner)
            site.contexts.pop(1 - number)
            statuses = [
                (await site.call("POST", f"/proof/{index:016x}", LASTING))[0] for index in range(5)
            ]
            site.store.is_down = False
            assert statuses == [503] * 5
            asked = [line for line in site.events() if "event=owner_unreachable" in line]
            assert len(asked) < 5

        run_site(scenario, nodes=2, store_lease_s=30.0)


class TestUnresolvedJob:
    # Guards against a refusal for an old view of the keys, which says that the job never runs.
    def test_is_not_refused_while_the_view_of_the_keys_is_too_old(self):
        async def scenario(site):
            await configure(site, 2, A)
            assert (await site.call("GET", "/proof/", key="key-a"))[0] == 200
            lose_answer_then_refuse(site)
            assert (await site.call("POST", PATH, LASTING, key="key-a"))[0] == 504
            await site.until(lambda: site.nodes[0]._config.age_s(now_s()) > 1.8)
            repeated = (await site.call("POST", PATH, LASTING, key="key-a"))[0]
            other = (await site.call("POST", "/proof/00000000000000aa", LASTING, key="key-a"))[0]
            is_stored = KEY in site.store.items
            site.store.is_down = False
            assert (repeated, other, is_stored) == (504, 503, True)

        run_site(scenario, revocation_limit_s=2.0, store_lease_s=30.0)


class TestAcceptedSubmissions:
    # Guards against a refusal of an attempt that ends after another one has stored the job.
    def test_an_attempt_that_ends_later_is_accepted_too(self):
        submissions = UnresolvedSubmissions()
        submissions.begin("a")
        submissions.begin("a")
        assert submissions.end("a", ACCEPTED, 1.0) is ACCEPTED
        assert submissions.end("a", NOT_RUN, 1.0) is ACCEPTED

    # Guards against taking a report of another node for newer than the store's own answer.
    def test_a_report_of_an_unknown_outcome_does_not_undo_it(self):
        submissions = UnresolvedSubmissions()
        submissions.settle("a", ACCEPTED, 1.0)
        assert submissions.settle("a", UNKNOWN, 2.0) is ACCEPTED
        assert not submissions.is_known("a", 2.0)

    # Guards against remembering a job for longer than the store keeps it.
    def test_is_remembered_for_a_time(self):
        submissions = UnresolvedSubmissions()
        submissions.settle("a", ACCEPTED, 0.0)
        assert submissions.settle("a", NOT_RUN, KEPT_S - 1) is ACCEPTED
        assert submissions.settle("a", NOT_RUN, KEPT_S) is NOT_RUN
