"""Answers to submissions whose handler does not reach its end, on real connections."""

import asyncio
from contextlib import asynccontextmanager

import msgspec
import pytest

from redwingplank.cell import app
from redwingplank.cell import node as node_module
from redwingplank.cell.clocks import now_s
from redwingplank.cell.keys import CANCELS_PREFIX, JOBS_PREFIX
from redwingplank.cell.tests.site_fixture import HOST, run_site

ID = "5c0e7a21d94b36f8"
KEY = f"{JOBS_PREFIX}{ID}"
JOB = {"spec": "payload", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 50}]}
BODY = msgspec.json.encode(JOB)


def request_head(*headers, method="POST"):
    lines = [f"{method} /proof/{ID} HTTP/1.1", f"Host: {HOST}", *headers]
    return "\r\n".join([*lines, "", ""]).encode()


def whole_request():
    return request_head(f"Content-Length: {len(BODY)}") + BODY


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


@asynccontextmanager
async def connection(site, node=0):
    host, _, port = site.contexts[node].settings.callers_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader, writer
    finally:
        writer.close()


async def read_to_end(reader):
    """Return all bytes until the server closes the connection."""
    try:
        return await asyncio.wait_for(reader.read(), 10.0)
    except ConnectionError:
        return b""


def lose_answer_then_refuse(site):
    site.store.lose_answers, site.store.lost_prefix = 1, JOBS_PREFIX
    site.store.is_down_after_loss = True


async def until_all_know(site, job_id=ID):
    await site.until(
        lambda: all(node.callers._unresolved.is_known(job_id, now_s()) for node in site.nodes)
    )


class TestFailedHandler:
    # Guards against 500 for a job that may be stored, and against a later refusal of it.
    def test_a_submission_that_fails_after_its_call_began_is_unresolved(self, monkeypatch):
        async def fail(*_):
            raise RuntimeError("unexpected")

        async def scenario(site):
            await site.until(lambda: len(site.nodes[0]._membership.nodes_by_name) == 2)
            monkeypatch.setattr(site.nodes[0].callers._peer_submission, "store", fail)
            lose_answer_then_refuse(site)
            assert (await site.call("POST", f"/proof/{ID}", JOB))[0] == 504
            assert KEY in site.store.items
            await until_all_know(site)
            assert (await site.call("POST", f"/proof/{ID}", JOB, node=1))[0] == 504
            site.store.is_down = False

        run_site(scenario, nodes=2)

    # Guards against 500 for a job that is stored because the answer could not be made.
    def test_an_answer_that_fails_is_no_refusal(self, monkeypatch):
        async def fail(*_):
            raise RuntimeError("unexpected")

        monkeypatch.setattr(app._CloseWhenNotReady, "process_response", fail)

        async def scenario(site):
            assert (await site.call("POST", f"/proof/{ID}", JOB))[0] == 504
            assert KEY in site.store.items

        run_site(scenario)

    # Guards against an answer without Retry-After where nothing was sent.
    def test_a_failure_before_the_call_is_a_refusal(self, monkeypatch):
        def fail(*_):
            raise RuntimeError("unexpected")

        async def scenario(site):
            monkeypatch.setattr(app, "decode_job", fail)
            status, _, headers = await site.call("POST", f"/proof/{ID}", JOB)
            assert status == 503
            assert int(headers["Retry-After"]) >= 1
            assert KEY not in site.store.items

        run_site(scenario)


class TestCancelledHandler:
    # Guards against the server's own 500 at the end of its graceful shutdown.
    def test_a_submission_is_unresolved_and_other_nodes_are_told(self, monkeypatch):
        monkeypatch.setattr(node_module, "FINISH_S", 0)

        async def scenario(site):
            await site.until(lambda: len(site.nodes[0]._membership.nodes_by_name) == 2)
            lose_answer_then_refuse(site)
            call = asyncio.create_task(site.call("POST", f"/proof/{ID}", JOB))
            await site.until(lambda: KEY in site.store.items)
            await asyncio.gather(site.nodes[0].stop(), call)
            site.nodes.pop(0)
            assert call.result()[0] == 504
            assert site.nodes[0].callers._unresolved.is_known(ID, now_s())
            site.store.is_down = False

        run_site(scenario, nodes=2)

    # Guards against the same answer for a request whose body had not arrived.
    def test_a_request_without_its_body_is_refused(self, monkeypatch):
        monkeypatch.setattr(node_module, "FINISH_S", 0)

        async def scenario(site):
            async with connection(site) as (reader, writer):
                writer.write(request_head(f"Content-Length: {len(BODY)}") + BODY[:-1])
                await writer.drain()
                server = site.nodes[0]._http._server
                await site.until(lambda: server.server_state.tasks)
                await site.nodes[0].stop()
                site.nodes.pop(0)
                answer = await read_to_end(reader)
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert b"retry-after: " in answer.lower()
            assert KEY not in site.store.items

        run_site(scenario, nodes=2)


class TestBrokenConnection:
    # Guards against 400 for a job that is being stored: the server's answer to bytes that are no
    # request reads as that to the request before them.
    def test_bytes_after_a_submission_are_not_answered_in_its_place(self):
        async def scenario(site):
            lose_answer_then_refuse(site)
            async with connection(site) as (reader, writer):
                writer.write(whole_request())
                await site.until(lambda: KEY in site.store.items)
                writer.write(b"nonsense\r\n\r\n")
                answer = await read_to_end(reader)
            # The submission has an answer of its own, which says that it may have been stored.
            assert answer.startswith(b"HTTP/1.1 504 ")
            assert answer.count(b"HTTP/1.1 ") == 1
            await until_all_know(site)
            site.store.is_down = False

        run_site(scenario)

    # Guards against storing a job of which the caller is told that its request is invalid.
    def test_a_body_that_breaks_off_is_not_stored(self):
        async def scenario(site):
            requests = [
                request_head("Transfer-Encoding: chunked") + chunk(BODY),
                request_head(f"Content-Length: {len(BODY) + 1}") + BODY,
            ]
            server = site.nodes[0]._http._server
            for request in requests:
                async with connection(site) as (_, writer):
                    writer.write(request)
                    await site.until(lambda: server.server_state.tasks)
                    writer.close()
                    await site.until(lambda: not server.server_state.tasks)
                assert KEY not in site.store.items

        run_site(scenario)

    @pytest.mark.parametrize("is_at_once", [True, False])
    def test_a_body_with_an_invalid_chunk_is_not_stored(self, is_at_once):
        async def scenario(site):
            async with connection(site) as (reader, writer):
                writer.write(request_head("Transfer-Encoding: chunked") + chunk(BODY))
                server = site.nodes[0]._http._server
                if not is_at_once:
                    await site.until(lambda: server.server_state.tasks)
                writer.write(b"nonsense\r\n")
                await read_to_end(reader)
                await site.until(lambda: not server.server_state.tasks)
            assert KEY not in site.store.items

        run_site(scenario)

    # Guards against a refusal after a caller has closed its connection.
    def test_a_caller_that_goes_leaves_an_unresolved_submission(self):
        async def scenario(site):
            lose_answer_then_refuse(site)
            site.hide_jobs_of_owner()
            async with connection(site) as (_, writer):
                writer.write(whole_request())
                await site.until(lambda: KEY in site.store.items)
            assert (await site.call("POST", f"/proof/{ID}", JOB))[0] == 504
            site.store.is_down = False

        run_site(scenario)

    def test_pipelined_requests_are_answered_in_order(self):
        async def scenario(site):
            last = request_head("Connection: close", method="GET")
            async with connection(site) as (reader, writer):
                writer.write(whole_request() + whole_request() + last)
                answer = await read_to_end(reader)
            assert answer.count(b"HTTP/1.1 200 ") == 3
            assert KEY in site.store.items

        run_site(scenario)


class TestUnresolvedJob:
    # Guards against 410 for a job that the store carries out seconds later.
    def test_is_not_said_not_to_exist(self):
        async def scenario(site):
            site.nodes[0].callers.note_unresolved(ID)
            status, _, headers = await site.call("GET", f"/proof/{ID}")
            assert status == 503
            assert int(headers["Retry-After"]) >= 1
            assert (await site.call("GET", f"/proof/{ID[::-1]}"))[0] == 410
            assert (await site.call("POST", f"/proof/{ID}", JOB))[0] == 200
            assert (await site.call("GET", f"/proof/{ID}"))[0] == 200

        run_site(scenario)

    # Guards against a cancellation that waits until an unresolved submission is forgotten, and
    # against 410 for a job that the store carries out seconds later.
    def test_is_cancelled_before_it_is_stored(self):
        async def scenario(site):
            site.nodes[0].callers.note_unresolved(ID)
            site.store.is_down = True
            status, _, headers = await site.call("DELETE", f"/proof/{ID}")
            site.store.is_down = False
            assert status == 503
            assert int(headers["Retry-After"]) >= 1
            assert (await site.call("DELETE", f"/proof/{ID}"))[0] == 410
            assert f"{CANCELS_PREFIX}{ID}" in site.store.items
            assert (await site.call("POST", f"/proof/{ID}", JOB))[0] == 503
            assert KEY not in site.store.items
            await site.until(lambda: any("reason=cancelled_before" in x for x in site.events()))

        run_site(scenario)
