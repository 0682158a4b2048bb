"""Fuzzing of HTTP bodies: each is submitted, or rejected with a problem that says it never ran."""

import json

import falcon.asgi
from falcon import testing
from hypothesis import given, settings
from hypothesis import strategies as st

from redwingplank.api.jobs import JobsResource
from redwingplank.api.problems import PROBLEM_MEDIA_TYPE, add_problem_handlers
from redwingplank.runtime.jobs import JobRequest

BOUNDED = settings(max_examples=120, deadline=None, derandomize=True, database=None)
NAMES = st.sampled_from(
    ["service", "tasks", "millicores", "memory_mib", "accelerators", "run_time_s", "payload"]
)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)


class RecordingGateway:
    """Gateway that accepts every job and records its request."""

    def __init__(self) -> None:
        self.requests: list[JobRequest] = []

    async def submit(self, request: JobRequest) -> str:
        self.requests.append(request)
        return "job-1"


def post(body: bytes, headers: dict[str, str] | None = None) -> RecordingGateway:
    """Post a body and check the answer against the requests that reached the gateway."""
    gateway = RecordingGateway()
    app = falcon.asgi.App()
    add_problem_handlers(app)
    app.add_route("/v1/organisations/{organisation}/jobs", JobsResource(gateway))  # type: ignore[arg-type]
    client = testing.TestClient(app)
    answer = client.simulate_post("/v1/organisations/one/jobs", body=body, headers=headers)
    if answer.status_code == 202:
        assert len(gateway.requests) == 1
        assert 1 <= gateway.requests[0].task_count <= 100_000
        return gateway
    assert not gateway.requests
    assert 400 <= answer.status_code < 500
    assert answer.headers["content-type"] == PROBLEM_MEDIA_TYPE
    assert answer.json["ran"] == "no"
    return gateway


class TestJobBodies:
    def test_a_good_body_reaches_the_gateway(self) -> None:
        gateway = post(b'{"service": "extraction", "tasks": 3}')
        assert gateway.requests[0].task_count == 3

    @BOUNDED
    @given(st.binary(max_size=200))
    def test_any_bytes(self, body: bytes) -> None:
        post(body)

    @BOUNDED
    @given(st.dictionaries(NAMES, VALUES, max_size=7))
    def test_any_values_of_known_names(self, values: dict) -> None:
        post(json.dumps(values).encode())

    @BOUNDED
    @given(st.integers(-(10**20), 10**20), st.integers(-(10**20), 10**20), st.integers(-5, 10**20))
    def test_any_amounts(self, tasks: int, millicores: int, memory_mib: int) -> None:
        values = {"service": "s", "tasks": tasks, "millicores": millicores}
        post(json.dumps({**values, "memory_mib": memory_mib}).encode())

    @BOUNDED
    @given(st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=160))
    def test_any_key(self, key: str) -> None:
        post(b'{"service": "extraction"}', {"Idempotency-Key": key})
