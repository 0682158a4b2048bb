import asyncio
import json
import sys
from dataclasses import dataclass, field

import falcon.testing
import pytest

from redwingplank.api import make_entry_app, read_openapi
from redwingplank.config import Declarations, Organisation, Service, WorkloadKind
from redwingplank.core import FakeClock, start_logging
from redwingplank.platform import ListedVm, VmRole
from redwingplank.routing import RouterSettings, make_router
from redwingplank.routing.orders import OrderBook
from redwingplank.rpc import CallOutcomeUnknownError, PeerUnreachableError
from redwingplank.runtime.entry import EntryParts, EntryRuntime
from redwingplank.runtime.jobs import JobGateway
from redwingplank.runtime.order_log import KeyValueOrderLog
from redwingplank.runtime.orders import ShardOrderRegistry
from redwingplank.runtime.requests import make_request_proxy
from redwingplank.runtime.shards import ShardDirectory
from redwingplank.scheduling.messages import (
    CancelAnswer,
    JobState,
    JobStatus,
    SubmitAnswer,
    SubmitOutcome,
)
from redwingplank.standin.history import History
from redwingplank.standin.store import MemoryStore, MemoryStoreClient
from redwingplank.standin.upstreams import MemoryUpstreamClient, UpstreamBehaviour

JOBS = "/v1/organisations/bureau/jobs"
REQUESTS = "/v1/organisations/bureau/services/proof/requests"
DECLARATIONS = Declarations(
    1,
    {
        "bureau": Organisation(
            "bureau",
            services_by_name={
                "proof": Service("proof", "proof", WorkloadKind.REQUEST, "notahane"),
                "parts": Service("parts", "parts", WorkloadKind.BATCH),
            },
        )
    },
)


@dataclass
class FakeCalls:
    """Scheduler calls with a set outcome; records the submitted specifications."""

    outcome: SubmitOutcome | Exception = SubmitOutcome.ACCEPTED
    detail: str = ""
    organisation: str = "bureau"
    state: JobState = JobState.RUNNING
    specs: list = field(default_factory=list)

    async def owners(self, address, timeout_s):
        return {"d1": ("127.0.0.1:1", 1)}

    async def submit(self, address, shard, spec, timeout_s):
        if isinstance(self.outcome, Exception):
            raise self.outcome
        self.specs.append(spec)
        return SubmitAnswer(0, spec.job_id, self.outcome, self.detail)

    async def status(self, address, shard, job_id, known_version, wait_s, timeout_s):
        status = JobStatus(job_id, self.organisation, "parts", self.state, "", ())
        return status, known_version + 1

    async def cancel(self, address, shard, job_id, timeout_s):
        return CancelAnswer(0, job_id, is_known=True)


class EntryFixture:
    """An entry's application with in-memory parts, and a test client for it."""

    def __init__(self, calls=None):
        clock = FakeClock()
        self.calls = calls or FakeCalls()
        self.upstream = UpstreamBehaviour("u1", clock, History())
        router = make_router(RouterSettings(failure_domain="d1"), 0.0)
        router.set_declarations(DECLARATIONS)
        row = ListedVm("u1", VmRole.UPSTREAM, "d1", "r1", "127.0.0.1:2", service="notahane")
        order_registry = ShardOrderRegistry(
            OrderBook(),
            KeyValueOrderLog(MemoryStoreClient(MemoryStore(clock)), "d1"),
            clock,
            lambda: True,
        )
        client = MemoryUpstreamClient({"127.0.0.1:2": self.upstream})
        proxy = make_request_proxy(router, client, order_registry, clock)
        directory = ShardDirectory(self.calls, ["d1"], {"d1/s1": "127.0.0.1:1"}, "d1")
        asyncio.run(directory.refresh())
        gateway = JobGateway(self.calls, directory)
        self.entry = EntryRuntime(EntryParts(router, proxy, gateway, directory), clock)
        self.entry.change_upstreams((row,))
        self.client = falcon.testing.TestClient(make_entry_app(proxy, gateway, self.entry))

    def post(self, path, body=b"", **headers):
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return self.client.simulate_post(path, body=body, headers=named)


def assert_problem(result, status, ran):
    assert result.status_code == status, result.text
    assert result.headers["content-type"] == "application/problem+json"
    assert result.json["ran"] == ran
    assert result.json["detail"]


class TestRequests:
    def test_returns_the_upstreams_whole_answer_and_says_that_it_ran(self):
        result = EntryFixture().post(REQUESTS, b"bars 1-8")
        assert result.status_code == 200
        assert result.content == b"bureau/notahane bars 1-8"
        assert result.headers["x-redwing-ran"] == "yes"
        assert "~" not in result.headers["x-request-id"]

    def test_a_request_that_was_handed_on_keeps_its_id(self):
        result = EntryFixture().post(REQUESTS, b"x", X_Redwing_Hops="1", X_Request_Id="abc123")
        assert result.headers["x-request-id"] == "abc123"
        assert EntryFixture().post(REQUESTS, b"x", X_Redwing_Hops="1").status_code == 400

    @pytest.mark.parametrize(
        "path",
        [
            "/v1/organisations/nobody/services/proof/requests",
            "/v1/organisations/bureau/services/nothing/requests",
            "/v1/organisations/bureau/services/parts/requests",
        ],
    )
    def test_unknown_names_are_not_run(self, path):
        fixture = EntryFixture()
        assert_problem(fixture.post(path, b"x"), 404, "no")
        assert not fixture.upstream.history.events

    @pytest.mark.parametrize(
        "headers",
        [
            {"X_Deadline_Ms": "0"},
            {"X_Deadline_Ms": "soon"},
            {"X_Redwing_Hops": "2"},
            {"Idempotency_Key": "k" * 129},
        ],
    )
    def test_bad_headers_are_not_run(self, headers):
        fixture = EntryFixture()
        assert_problem(fixture.post(REQUESTS, b"x", **headers), 400, "no")
        assert not fixture.upstream.history.events

    def test_too_long_a_body_is_not_run(self):
        fixture = EntryFixture()
        assert_problem(fixture.post(REQUESTS, b"x" * (8 * 1024 * 1024 + 1)), 413, "no")
        assert not fixture.upstream.history.events


class TestUnexpectedError:
    def test_is_unknown_to_the_caller_and_logged(self, capsys):
        handler = start_logging("ERROR", sys.stdout)
        try:
            result = EntryFixture(FakeCalls(ZeroDivisionError("odd"))).post(
                JOBS, b'{"service": "parts"}'
            )
        finally:
            handler.pop_application()
        assert_problem(result, 500, "unknown")
        assert "event=unexpected" in capsys.readouterr().out


class TestJobs:
    def test_accepts_a_job_and_says_where_to_read_it(self):
        fixture = EntryFixture()
        body = json.dumps({"service": "parts", "tasks": 3, "payload": {"run_s": 1}})
        result = fixture.post(JOBS, body)
        assert result.status_code == 202
        job_id = result.json["job_id"]
        assert result.headers["location"] == f"{JOBS}/{job_id}"
        assert fixture.calls.specs[0].task_count == 3
        assert fixture.calls.specs[0].payload == b'{"run_s":1}'

    def test_the_same_key_names_the_same_job(self):
        fixture = EntryFixture()
        body = json.dumps({"service": "parts"})
        first = fixture.post(JOBS, body, Idempotency_Key="a").json["job_id"]
        assert fixture.post(JOBS, body, Idempotency_Key="a").json["job_id"] == first
        assert fixture.post(JOBS, body, Idempotency_Key="b").json["job_id"] != first

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"{",
            b"\xff",
            b'{"tasks": 1}',
            b'{"service": "parts", "tasks": 0}',
            b'{"service": "parts", "tasks": 100001}',
            b'{"service": "parts", "colour": 1}',
            b'{"service": "parts", "millicores": 5}',
            b'{"service": "parts", "millicores": -5, "memory_mib": 1}',
            b'{"service": "parts", "run_time_s": 0}',
            b'{"service": "parts", "payload": ' + b"[" * 9000 + b"]" * 9000 + b"}",
        ],
    )
    def test_bad_bodies_reach_no_scheduler(self, body):
        fixture = EntryFixture()
        assert_problem(fixture.post(JOBS, body), 400, "no")
        assert not fixture.calls.specs

    def test_a_job_that_can_never_run_is_told_why(self):
        calls = FakeCalls(SubmitOutcome.REJECTED, "memory_mib: no VM has as much")
        result = EntryFixture(calls).post(JOBS, b'{"service": "parts"}')
        assert_problem(result, 422, "no")
        assert "memory_mib" in result.json["detail"]

    def test_an_unreachable_owner_means_not_run(self):
        result = EntryFixture(FakeCalls(PeerUnreachableError("gone"))).post(
            JOBS, b'{"service": "parts"}'
        )
        assert_problem(result, 503, "no")
        assert int(result.headers["retry-after"]) >= 1

    def test_a_lost_answer_is_unknown_and_names_the_job(self):
        result = EntryFixture(FakeCalls(CallOutcomeUnknownError("lost"))).post(
            JOBS, b'{"service": "parts"}'
        )
        assert_problem(result, 504, "unknown")
        assert result.headers["location"].startswith(f"{JOBS}/d1.")

    # Guards against "not run" for a job that runs: an earlier call with its key may be accepted.
    @pytest.mark.parametrize("refusal", [PeerUnreachableError("gone"), SubmitOutcome.NOT_NOW])
    def test_a_refused_call_with_a_key_is_unknown_and_may_be_repeated(self, refusal):
        result = EntryFixture(FakeCalls(refusal)).post(
            JOBS, b'{"service": "parts"}', Idempotency_Key="a"
        )
        assert_problem(result, 503, "unknown")
        assert result.headers["location"].startswith(f"{JOBS}/d1.k")
        assert int(result.headers["retry-after"]) >= 1

    def test_another_organisations_job_is_not_shown_or_cancelled(self):
        fixture = EntryFixture(FakeCalls(organisation="other"))
        assert_problem(fixture.client.simulate_get(f"{JOBS}/d1.1"), 404, "no")
        assert_problem(fixture.client.simulate_delete(f"{JOBS}/d1.1"), 404, "no")
        assert_problem(fixture.client.simulate_get(f"{JOBS}/d9.1"), 404, "no")

    def test_reads_and_cancels_a_job(self):
        fixture = EntryFixture()
        read = fixture.client.simulate_get(f"{JOBS}/d1.1", params={"version": "4", "wait_s": "1"})
        assert read.json["version"] == 5
        assert read.json["state"] == "running"
        assert fixture.client.simulate_delete(f"{JOBS}/d1.1").status_code == 202

    # Guards against "cancelled" for a job that had ended otherwise.
    @pytest.mark.parametrize(
        ("state", "told"),
        [(JobState.RUNNING, "cancelled"), (JobState.SUCCEEDED, "succeeded")],
    )
    def test_tells_the_state_of_a_cancelled_job(self, state, told):
        fixture = EntryFixture(FakeCalls(state=state))
        result = fixture.client.simulate_delete(f"{JOBS}/d1.1")
        assert (result.status_code, result.json["state"]) == (202, told)


class TestHealth:
    def test_readiness_goes_before_the_entry_and_connections_are_closed(self):
        fixture = EntryFixture()
        assert fixture.client.simulate_get("/readyz").status_code == 200
        fixture.entry.begin_leaving()
        assert fixture.client.simulate_get("/readyz").status_code == 503
        result = fixture.post(REQUESTS, b"late")
        assert result.status_code == 200
        assert result.headers["connection"] == "close"

    def test_an_entry_without_declarations_is_not_ready(self):
        fixture = EntryFixture()
        fixture.entry.parts.router._declarations = Declarations()
        assert fixture.client.simulate_get("/readyz").json["because"] == ["no declarations yet"]


class TestOpenApi:
    def test_describes_exactly_the_routes_and_methods(self):
        app = EntryFixture().client.app
        served = {}
        pending = list(app._router._roots)
        while pending:
            node = pending.pop()
            pending.extend(node.children)
            if node.resource is not None:
                methods = {
                    name.removeprefix("on_") for name in dir(node.resource) if name[:3] == "on_"
                }
                served[node.uri_template] = methods
        described = {path: set(operations) for path, operations in read_openapi()["paths"].items()}
        assert served == described
