"""What clients say of calls that had an effect, on real sockets."""

import asyncio

import pytest

from redwingplank.platform import (
    OutcomeUnknownError,
    PlatformError,
    Put,
    UnavailableError,
    UpstreamRequest,
    WorkerRequest,
)
from redwingplank.platform.http import (
    HttpKeyValueStore,
    HttpUpstreamClient,
    HttpVmList,
    HttpWorkerClient,
    open_session,
)
from redwingplank.platform.tests.service_fixture import (
    REDIRECTS,
    make_answer,
    redirect_to_nowhere,
    service,
)

TIMEOUT_S = 2.0
UNREADABLE_BODIES = (b"<html>", b"[1]", b'"text"', b"\xff", b"[" * 100_000)


def store_at(session, address):
    return HttpKeyValueStore(session, f"http://{address}", TIMEOUT_S)


async def watch_once(session, address):
    async for _ in store_at(session, address).watch("k", 1):
        pass


CALLS_BY_NAME = {
    "adopt": lambda *at: HttpWorkerClient(at[0]).adopt(at[1], 1, 10.0),
    "exchange": lambda *at: HttpWorkerClient(at[0]).exchange(at[1], WorkerRequest(1, 10.0)),
    "grant_lease": lambda *at: store_at(*at).grant_lease(1.0),
    "keep_alive": lambda *at: store_at(*at).keep_alive(1),
    "list": lambda *at: HttpVmList(at[0], f"http://{at[1]}", TIMEOUT_S).read(),
    "range": lambda *at: store_at(*at).range("k"),
    "transact": lambda *at: store_at(*at).transact((), ()),
    "watch": watch_once,
}


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


class TestRepeatedCalls:
    # Guards against "never reached" of a call that the library sent on a connection that broke.
    def test_a_read_whose_repetition_cannot_connect_may_have_arrived(self):
        async def scenario():
            listing = make_answer(200, b'{"vms": [], "version": 1}')
            async with service(listing, None) as (address, carried_out):
                async with open_session() as session:
                    vm_list = HttpVmList(session, f"http://{address}", TIMEOUT_S)
                    await vm_list.read()
                    with pytest.raises(OutcomeUnknownError):
                        await vm_list.read()
                assert carried_out == [b"GET", b"GET"]

        asyncio.run(scenario())

    # Guards against a write that the library sends again by itself.
    def test_a_write_is_sent_once(self):
        async def scenario():
            async with service(make_answer(200), None) as (address, carried_out):
                async with open_session() as session:
                    store = HttpKeyValueStore(session, f"http://{address}", TIMEOUT_S)
                    await store.revoke_lease(1)
                    with pytest.raises(OutcomeUnknownError):
                        await store.revoke_lease(2)
                assert carried_out == [b"POST", b"POST"]

        asyncio.run(scenario())

    # Guards against a refused connect that is no longer known to be without effect.
    def test_a_write_that_cannot_connect_had_no_effect(self):
        async def scenario():
            async with service() as (address, _):
                pass
            async with open_session() as session:
                store = HttpKeyValueStore(session, f"http://{address}", TIMEOUT_S)
                with pytest.raises(UnavailableError):
                    await store.revoke_lease(1)

        asyncio.run(scenario())


class TestRefusals:
    # Guards against "no effect" by the word of a proxy, or of a gateway whose own caller went away.
    @pytest.mark.parametrize("status", [408, 429, 499])
    def test_a_status_that_others_give_leaves_the_outcome_open(self, status):
        async def scenario():
            async with service(make_answer(status)) as (address, _), open_session() as session:
                store = HttpKeyValueStore(session, f"http://{address}", TIMEOUT_S)
                with pytest.raises(OutcomeUnknownError):
                    await store.transact((), (Put("k", b"v"),))

        asyncio.run(scenario())

    # Guards against a rejected call that is repeated for ever.
    @pytest.mark.parametrize("status", [400, 401, 403, 404, 409, 412])
    def test_a_rejection_had_no_effect(self, status):
        async def scenario():
            async with service(make_answer(status)) as (address, _), open_session() as session:
                store = HttpKeyValueStore(session, f"http://{address}", TIMEOUT_S)
                with pytest.raises(PlatformError) as raised:
                    await store.transact((), (Put("k", b"v"),))
                assert raised.type is PlatformError

        asyncio.run(scenario())


class TestUnreadableAnswers:
    # Guards against an error that no caller expects, which ends the loop that made the call.
    @pytest.mark.parametrize("body", UNREADABLE_BODIES)
    @pytest.mark.parametrize("name", sorted(CALLS_BY_NAME))
    def test_an_answer_that_cannot_be_read_leaves_the_outcome_open(self, name, body):
        async def scenario():
            async with service(make_answer(200, body)) as (address, _), open_session() as session:
                with pytest.raises(OutcomeUnknownError):
                    await CALLS_BY_NAME[name](session, address)

        asyncio.run(scenario())


class TestWatch:
    # Guards against a watch that the store ended and that is taken for one without changes.
    @pytest.mark.parametrize(
        "line",
        [
            b'{"error": {"grpc_code": 14, "message": "no leader"}}',
            b'{"result": {"canceled": true, "compact_revision": "9"}}',
        ],
    )
    def test_a_watch_that_the_store_ended_fails(self, line):
        async def scenario():
            async with service(make_answer(200, line)) as (address, _), open_session() as session:
                with pytest.raises(OutcomeUnknownError):
                    await watch_once(session, address)

        asyncio.run(scenario())
