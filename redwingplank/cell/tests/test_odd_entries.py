"""Entries that another writer has left in the store: they are passed over, all others hold."""

from typing import Any

import msgspec
import pytest

from redwingplank.batch.model import Amounts, JobSpec, StepSpec
from redwingplank.batch.records import encode_submission
from redwingplank.cell.tests.site_fixture import Site, run_site
from redwingplank.platform.site.http import NoAnswerError
from redwingplank.platform.site.workers import _read_report
from redwingplank.standin.loopback import find_free_address

PREFIXES = [
    "servers/",
    "redwing/system/nodes/",
    "redwing/intake/jobs/",
    "redwing/intake/cancels/",
    "redwing/progress/",
]
JOB: dict[str, Any] = {"spec": "text", "steps": [{"count": 1, "cpu": 100, "mem_mb": 10}]}
DEEP = b"[" * 50_000 + b"]" * 50_000
LARGE = b"9" * 400


def odd_values(address: str) -> dict[str, bytes]:
    """Return values that look like an entry of any prefix at first sight."""
    entry: dict[str, Any] = {
        "service": "render",
        "address": address,
        "state": "ready",
        "zone": "a",
        "failure_domain": "a",
        "job_id": "odd",
        "queue": "proof",
        "payload": "",
        "steps": {},
    }
    plain = msgspec.json.encode(entry)[:-1]
    return {
        "nested": plain + b',"other":' + DEEP + b"}",
        "large_number": plain + b',"born":' + LARGE + b',"core_share":' + LARGE + b"}",
        "large_amount": plain + b',"capacity":{"cpu":1e300},"core_share":1e300}',
        "port": plain.replace(address.encode(), b"127.0.0.1:99999") + b"}",
        "not_text": b'{"service":"\xff"}',
    }


def put_odd_entries(site: Site) -> None:
    for name, value in odd_values(find_free_address()).items():
        for prefix in PREFIXES:
            site.store.put(f"{prefix}odd-{name}", value)
    site.store.put("op/config", b'{"version":9,"other":' + DEEP + b"}")
    site.store.put("redwing/learned", b'{"by_kind":{},"other":' + DEEP + b"}")


def has_failed(site: Site) -> bool:
    return any("event=task_failed" in line for line in site.events())


class TestOddEntries:
    """Pattern: deep nesting, numbers too large, ports out of range, beside entries that hold."""

    # Guards against a reader that ends, or that stops following its prefix, at one odd entry.
    def test_a_running_node_follows_every_prefix_past_them(self):
        async def scenario(site):
            put_odd_entries(site)
            await site.add_worker(2)
            site.configure(10, prefix="/new/")
            await site.until(lambda: site.nodes[0].callers.find_config().version == 10)
            owner = site.nodes[0]._owner
            await site.until(lambda: "w2" in owner.owner.state.workers_by_id)
            assert set(owner.owner.state.workers_by_id) == {"w0", "w1", "w2"}
            assert (await site.call("POST", "/new/job1", JOB))[0] == 200
            await site.until(lambda: owner.job_state("job1") == "completed")
            assert not has_failed(site)

        run_site(scenario)

    # Guards against a next owner that cannot read what is stored, and never begins.
    def test_a_new_owner_starts_with_them(self):
        async def scenario(site):
            await site.add_node(1)
            put_odd_entries(site)
            site.configure(10)
            await site.hand_over()
            assert (await site.call("POST", "/proof/job1", JOB, node=1))[0] == 200
            await site.until_state("job1", "completed", node=1)
            assert not has_failed(site)

        run_site(scenario)

    # Guards against a node that never notices the end of the owner's process, because another
    # node's address cannot be connected to.
    def test_the_end_of_the_owner_is_noticed(self):
        async def scenario(site):
            next_owner = await site.add_node(1)
            await site.until(lambda: next_owner._membership.owner is not None)
            await site.until(next_owner.callers.find_config)
            put_odd_entries(site)
            await site.crash(site.nodes[0])
            await site.until(lambda: any("event=owner_gone" in line for line in site.events()))
            await site.until(site.owner_node)
            assert not has_failed(site)

        run_site(scenario, store_lease_s=8.0)

    # Guards against an election that fails for ever, because the last owner's keys are unreadable.
    @pytest.mark.parametrize("name", ["nested", "port", "not_text"])
    def test_unreadable_keys_of_the_ownership_are_replaced(self, name):
        async def scenario(site):
            first = site.nodes[0]._membership.latest_epoch
            value = odd_values("127.0.0.1:1")[name]
            site.store.put("redwing/system/owner", value)
            site.store.put("redwing/system/term", value)
            membership = site.nodes[0]._membership
            await site.until(lambda: membership.latest_epoch.number > first.number)
            await site.until(site.owner_node)
            assert (await site.call("POST", "/proof/job1", JOB))[0] == 200
            await site.until_state("job1", "completed")

        run_site(scenario)


class TestOddAnswers:
    """Pattern: a worker's answer that cannot be read."""

    # Guards against an owner that never polls a worker again after one odd answer.
    @pytest.mark.parametrize(
        "body",
        [
            b'{"other":' + DEEP + b"}",
            b'{"running":[["a.0.0.0",1,"",' + LARGE + b"]]}",
            b'{"finished":[[1,7,1,"done",""]]}',
        ],
        ids=["nested", "large_number", "task_is_a_number"],
    )
    def test_it_counts_as_none(self, body):
        with pytest.raises(NoAnswerError):
            _read_report(body)


class TestOddJobs:
    """Pattern: a job with a number too large, from a caller or from another writer of the store."""

    # Guards against one job that ends every pass of this owner and of every next one.
    @pytest.mark.parametrize("field", ["cpu", "mem_mb", "gpu", "max_per_server"])
    def test_a_job_of_a_caller_is_rejected(self, field):
        async def scenario(site):
            steps = b'{"spec":"","steps":[{"count":1,"%s":%s}]}' % (field.encode(), LARGE)
            status, body, _ = await site.call("POST", "/proof/large", steps)
            assert (status, "steps[0]" in body["problem"]) == (400, True)
            assert (await site.call("POST", "/proof/job1", JOB))[0] == 200
            await site.until_state("job1", "completed")
            assert not has_failed(site)

        run_site(scenario)

    # Guards against the same job if another writer has stored it.
    def test_a_stored_job_is_passed_over(self):
        async def scenario(site):
            spec = JobSpec("large", "proof", "", (StepSpec(1, Amounts(int(LARGE), 1)),))
            site.store.put("redwing/intake/jobs/large", encode_submission(spec))
            assert (await site.call("POST", "/proof/job1", JOB))[0] == 200
            await site.until_state("job1", "completed")
            assert any("event=job_unreadable job=large" in line for line in site.events())
            assert not has_failed(site)

        run_site(scenario)
