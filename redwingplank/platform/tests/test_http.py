import asyncio
import contextlib
import socket

import falcon.asgi
import msgspec
import pytest

from redwingplank.core import FakeClock, make_resources
from redwingplank.platform import (
    Compare,
    Delete,
    ListedVm,
    OutcomeUnknownError,
    PlatformError,
    Put,
    StaleEpochError,
    StartTask,
    UnavailableError,
    VmListing,
    VmRole,
    WorkerRequest,
)
from redwingplank.platform.http import (
    HttpKeyValueStore,
    HttpVmList,
    HttpWorkerClient,
    open_session,
    serve_http,
)
from redwingplank.platform.http.server import _listen
from redwingplank.standin.faults import Faults
from redwingplank.standin.history import History
from redwingplank.standin.http_admin import add_vm_list_routes
from redwingplank.standin.http_store import add_store_routes
from redwingplank.standin.http_workers import make_workers_app
from redwingplank.standin.store import MemoryStore, MemoryStoreClient
from redwingplank.standin.vms import LaggingVmList, MemoryVmList
from redwingplank.standin.workers import StandinWorker

STORE_ADDRESS = "127.0.0.1:17110"
WORKER_ADDRESS = "127.0.0.1:17111"


@contextlib.asynccontextmanager
async def http_store(faults, timeout_s=2.0):
    clock = FakeClock(100.0)
    client = MemoryStoreClient(MemoryStore(clock), faults)
    app = falcon.asgi.App()
    add_store_routes(app, client)
    server = await serve_http(app, [STORE_ADDRESS], graceful_s=1)
    async with open_session() as session:
        yield HttpKeyValueStore(session, f"http://{STORE_ADDRESS}", timeout_s), clock, client.store
    await server.stop()


class TestHttpKeyValueStore:
    def test_compares_and_swaps(self):
        async def scenario():
            async with http_store(Faults()) as (store, _, _):
                created = await store.transact(
                    (Compare("a/1", 0),), (Put("a/1", b"\x00\xff"), Put("a/2", b""))
                )
                assert created.succeeded
                assert not (await store.transact((Compare("a/1", 0),), (Delete("a/1"),))).succeeded
                found = await store.range("a/")
                assert [(entry.key, entry.value) for entry in found.entries] == [
                    ("a/1", b"\x00\xff"),
                    ("a/2", b""),
                ]
                revision = found.entries[0].mod_revision
                assert revision == created.revision
                deleted = await store.transact(
                    (Compare("a/1", revision),), (Delete("a/", is_prefix=True),)
                )
                assert deleted.succeeded
                assert (await store.range("a/1", is_prefix=False)).entries == ()

        asyncio.run(scenario())

    def test_lapsed_lease_takes_its_keys_along(self):
        async def scenario():
            async with http_store(Faults()) as (store, clock, _):
                lease_id = await store.grant_lease(2.5)
                await store.transact((), (Put("owner", b"x", lease_id),))
                clock.advance(2.0)
                assert await store.keep_alive(lease_id) > 0
                clock.advance(2.9)
                assert (await store.range("owner")).entries
                clock.advance(0.2)
                assert not (await store.range("owner")).entries
                assert await store.keep_alive(lease_id) <= 0
                with pytest.raises(PlatformError, match="grant a new one"):
                    await store.transact((), (Put("owner", b"x", lease_id),))

        asyncio.run(scenario())

    def test_watch_yields_changes_after_a_revision(self):
        async def scenario():
            async with http_store(Faults()) as (store, _, _):
                first = await store.transact((), (Put("w/1", b"1"),))
                await store.transact((), (Put("w/2", b"2"),))
                watch = store.watch("w/", first.revision)
                seen: list[tuple[str, bool]] = []
                async for batch in watch:
                    seen.extend((event.key, event.entry is None) for event in batch.events)
                    if len(seen) == 1:
                        await store.transact((), (Delete("w/2"),))
                    if len(seen) == 2:
                        break
                await watch.aclose()
                assert seen == [("w/2", False), ("w/2", True)]

        asyncio.run(scenario())

    def test_answer_lost_after_the_effect_is_unknown_and_done(self):
        async def scenario():
            faults = Faults(answers_to_lose=1)
            async with http_store(faults) as (store, _, state):
                with pytest.raises(OutcomeUnknownError):
                    await store.transact((), (Put("k", b"v"),))
                assert state.read("k", False).entries[0].value == b"v"

        asyncio.run(scenario())

    def test_nothing_listening_is_unavailable(self):
        async def scenario():
            async with open_session() as session:
                store = HttpKeyValueStore(session, f"http://{STORE_ADDRESS}")
                with pytest.raises(UnavailableError):
                    await store.range("k")

        asyncio.run(scenario())

    def test_no_answer_in_time_is_unknown(self):
        async def scenario():
            faults = Faults(delay_s=5.0)
            async with http_store(faults, timeout_s=0.05) as (store, _, _):
                with pytest.raises(OutcomeUnknownError):
                    await store.range("k")

        asyncio.run(scenario())


class TestHttpWorkerClient:
    def test_starts_a_task_and_refuses_a_lower_epoch(self):
        async def scenario():
            clock = FakeClock()
            capacity = make_resources(4000, 1024, {"gpu": 1})
            worker = StandinWorker("w1", capacity, clock, History())
            app = make_workers_app({WORKER_ADDRESS: worker})
            server = await serve_http(app, [WORKER_ADDRESS], graceful_s=1)
            async with open_session() as session:
                client = HttpWorkerClient(session)
                inventory = await client.adopt(WORKER_ADDRESS, 7, 10.0)
                assert inventory.capacity == capacity
                start = StartTask("j/0", 1, make_resources(1000, 10, {"gpu": 1}), b"{}")
                await client.exchange(WORKER_ADDRESS, WorkerRequest(7, 10.0, (start,)))
                clock.advance(1.0)
                report = await client.exchange(WORKER_ADDRESS, WorkerRequest(7, 10.0))
                assert [(end.task_id, str(end.reason)) for end in report.ended] == [
                    ("j/0", "completed")
                ]
                with pytest.raises(StaleEpochError):
                    await client.exchange(WORKER_ADDRESS, WorkerRequest(6, 10.0))
                worker.switches.is_paused = True
                with pytest.raises(OutcomeUnknownError):
                    await client.exchange(WORKER_ADDRESS, WorkerRequest(7, 10.0))
            await server.stop()

        asyncio.run(scenario())


class TestHttpVmList:
    def test_reads_the_list_of_one_failure_domain_with_its_lag(self):
        async def scenario():
            clock = FakeClock()
            state = LaggingVmList(clock, lag_s=5.0)
            state.put(
                ListedVm("w1", VmRole.WORKER, "d1", "r1", "127.0.0.1:1"),
                ListedVm("w2", VmRole.WORKER, "d2", "r1", "127.0.0.1:2"),
            )
            app = falcon.asgi.App()
            add_vm_list_routes(app, MemoryVmList(state))
            server = await serve_http(app, [STORE_ADDRESS], graceful_s=1)
            async with open_session() as session:
                vm_list = HttpVmList(session, f"http://{STORE_ADDRESS}")
                assert (await vm_list.read("d1")).vms == ()
                clock.advance(5.0)
                assert [vm.name for vm in (await vm_list.read("d1")).vms] == ["w1"]
            await server.stop()

        asyncio.run(scenario())

    # Guards against a list that never arrives because its transfer takes longer than a time-out.
    def test_a_list_that_makes_progress_is_received_whole(self):
        async def scenario():
            timeout_s, part_interval_s = 1.0, 0.2
            listing = VmListing(
                tuple(ListedVm(f"w{i}", VmRole.WORKER, "d1", "r1", "a:1") for i in range(50)), 7
            )
            body = msgspec.json.encode(listing)

            async def serve(reader, writer):
                try:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body))
                    for begin in range(0, len(body), len(body) // 8):
                        await asyncio.sleep(part_interval_s)
                        writer.write(body[begin : begin + len(body) // 8])
                finally:
                    writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            async with open_session() as session:
                vm_list = HttpVmList(session, f"http://{host}:{port}", timeout_s)
                assert await vm_list.read() == listing
            server.close()

        asyncio.run(scenario())


class TestHttpServer:
    def test_its_sockets_send_at_once(self):
        listening = _listen("127.0.7.2:17995")
        try:
            assert listening.proto == socket.IPPROTO_TCP
            assert listening.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        finally:
            listening.close()
