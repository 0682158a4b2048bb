"""What clients say of calls that had an effect, on real sockets."""

import asyncio

import pytest

from redwingplank.platform import (
    OutcomeUnknownError,
    Put,
    UpstreamRequest,
)
from redwingplank.platform.http import (
    HttpKeyValueStore,
    HttpUpstreamClient,
    HttpWorkerClient,
    open_session,
)
from redwingplank.platform.tests.service_fixture import (
    REDIRECTS,
    redirect_to_nowhere,
    service,
)

TIMEOUT_S = 2.0


class TestRedirects:
    # Guards against "no byte was sent" of a request that ran, which is then sent to another.
    @pytest.mark.parametrize("status", REDIRECTS)
    def test_an_upstream_that_redirects_has_answered(self, status):
        async def scenario():
            request = UpstreamRequest("r1", "o", "s", b"{}", {})
            async with service(redirect_to_nowhere(status)) as (address, carried_out):
                async with open_session() as session:
                    client = HttpUpstreamClient(session)
                    async with client.send(address, request, TIMEOUT_S) as answer:
                        assert answer.status == status
                assert carried_out == [b"POST"]

        asyncio.run(scenario())

    # Guards against "no effect" of a transaction that was carried out.
    @pytest.mark.parametrize("status", REDIRECTS)
    def test_a_store_that_redirects_leaves_the_outcome_open(self, status):
        async def scenario():
            async with service(redirect_to_nowhere(status)) as (address, carried_out):
                async with open_session() as session:
                    store = HttpKeyValueStore(session, f"http://{address}", TIMEOUT_S)
                    with pytest.raises(OutcomeUnknownError):
                        await store.transact((), (Put("k", b"v"),))
                assert carried_out == [b"POST"]

        asyncio.run(scenario())

    # Guards against a worker whose tasks run and are started again elsewhere.
    @pytest.mark.parametrize("status", REDIRECTS)
    def test_a_worker_that_redirects_leaves_the_outcome_open(self, status):
        async def scenario():
            async with service(redirect_to_nowhere(status)) as (address, carried_out):
                async with open_session() as session:
                    with pytest.raises(OutcomeUnknownError):
                        await HttpWorkerClient(session).adopt(address, 1, 10.0)
                assert carried_out == [b"POST"]

        asyncio.run(scenario())

    # Guards against a watch that is taken for open, or for one that never reached the store.
    @pytest.mark.parametrize("status", REDIRECTS)
    def test_a_watch_that_is_redirected_fails(self, status):
        async def scenario():
            async with service(redirect_to_nowhere(status)) as (address, carried_out):
                async with open_session() as session:
                    store = HttpKeyValueStore(session, f"http://{address}", TIMEOUT_S)
                    with pytest.raises(OutcomeUnknownError):
                        async for _ in store.watch("k", 1):
                            pass
                assert carried_out == [b"POST"]

        asyncio.run(scenario())
