"""What the client tells of a call beside its answer, over real sockets."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import closing

import pytest

from redwingplank.platform.site.call_trace import CallFailure, CallTrace, follow_calls
from redwingplank.platform.site.http import NoAnswerError, NotSentError, SiteClient
from redwingplank.platform.site.tests.service_fixture import ScriptedService

BODY = b"x" * 300
TIMEOUT_S = 0.3


async def follow(client: SiteClient, address: str) -> CallTrace:
    trace = CallTrace()
    with follow_calls(trace):
        await client.call("POST", address, "/", TIMEOUT_S, BODY, on_headers=lambda: None)
    return trace


def run_service(scenario: Callable, *statuses: int | None) -> None:
    async def run() -> None:
        service, client = ScriptedService(*statuses), SiteClient()
        await service.start()
        try:
            await scenario(service, client)
        finally:
            await client.close()
            service.close()

    asyncio.run(run())


class TestConnection:
    # Guards against a line that names a connection which the packets of the call did not use.
    def test_port_is_the_one_that_the_service_sees(self):
        async def scenario(service, client):
            first = await follow(client, service.address)
            second = await follow(client, service.address)
            assert [first.local_port, second.local_port] == service.ports
            assert [first.is_kept, second.is_kept] == [False, True]
            assert [first.status, second.status] == [200, 503]
            assert first.body_bytes == len(BODY)

        run_service(scenario, 200, 503)

    # Guards against connections of followed calls that other calls do not use.
    def test_is_shared_with_calls_that_nobody_follows(self):
        async def scenario(service, client):
            await client.call("POST", service.address, "/", TIMEOUT_S, BODY)
            assert (await follow(client, service.address)).is_kept
            assert len(set(service.ports)) == 1

        run_service(scenario, 200, 200)


async def follow_failing(
    client: SiteClient, address: str, error: type[Exception], trace: CallTrace
) -> None:
    with follow_calls(trace), pytest.raises(error):
        await client.call("POST", address, "/", TIMEOUT_S, BODY, on_headers=lambda: None)


class TestFailure:
    # Guards against a connection that was refused being shown like one that broke.
    def test_a_connect_that_was_refused_wrote_nothing(self):
        async def run() -> CallTrace:
            with closing(socket.socket()) as probe:
                probe.bind(("127.0.0.1", 0))
                address = f"127.0.0.1:{probe.getsockname()[1]}"
                client, trace = SiteClient(), CallTrace()
                await follow_failing(client, address, NotSentError, trace)
                await client.close()
                return trace

        trace = asyncio.run(run())
        assert trace.failure is CallFailure.NOT_CONNECTED
        assert (trace.local_port, trace.is_writing, trace.body_bytes) == (0, False, 0)
        assert trace.error == "ClientConnectorError"

    # Guards against a call that reached the service being shown like one that did not.
    @pytest.mark.parametrize("is_kept", [False, True])
    def test_a_connection_that_broke_after_the_bytes_had_left_shows_them(self, is_kept):
        async def scenario(service, client):
            if is_kept:
                await follow(client, service.address)
            trace = CallTrace()
            await follow_failing(client, service.address, NoAnswerError, trace)
            assert service.received[-1] == BODY
            assert trace.failure is CallFailure.BROKEN
            assert (trace.is_kept, trace.is_writing) == (is_kept, True)
            assert trace.body_bytes == len(BODY)
            assert trace.local_port == service.ports[-1]

        run_service(scenario, *[200] * is_kept, 0)

    # Guards against a service that stays silent being shown like a connection that broke.
    def test_a_time_out_is_no_broken_connection(self):
        async def scenario(service, client):
            trace = CallTrace()
            await follow_failing(client, service.address, NoAnswerError, trace)
            assert trace.failure is CallFailure.TIMED_OUT
            assert (trace.status, trace.is_writing) == (0, True)

        run_service(scenario, None)
