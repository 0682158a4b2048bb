"""What the log of a node tells of submissions, for each way in which one can go wrong."""

import asyncio
import re
from pathlib import Path
from typing import Any

import msgspec
import pytest

from redwingplank.cell import callers as callers_module
from redwingplank.cell import context as context_module
from redwingplank.cell import node as node_module
from redwingplank.cell import peer_submission
from redwingplank.cell.eventlog import MAX_LINES_PER_EVENT, MAX_REFUSALS_PER_EVENT, REFUSALS
from redwingplank.cell.hedged_store import HedgedStore
from redwingplank.cell.keys import JOBS_PREFIX
from redwingplank.cell.service import CellService
from redwingplank.cell.tests.site_fixture import Site, run_site
from redwingplank.platform.site.store import SiteStore
from redwingplank.platform.site.tests.service_fixture import ScriptedService
from redwingplank.rpc import cell_calls
from redwingplank.rpc.errors import CallOutcomeUnknownError, PeerUnreachableError
from redwingplank.standin.loopback import find_free_address

STEP = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 50}
PAYLOAD = "payload-that-is-nobodys-business"
JOB = {"spec": PAYLOAD, "steps": [STEP]}
ID = "5c0e7a21d94b36f8"
JOB_FOUND = msgspec.json.encode({"items": [{"key": f"{JOBS_PREFIX}{ID}", "revision": 7}]})
"""Body of a conflict with the stored job."""
LOGS_PAGE = Path(__file__).parents[3] / "docs" / "logs.md"


class StoreOfSubmissions:
    """Sends the transactions of submissions to another store than all other calls."""

    def __init__(self, site: Site, address: str) -> None:
        context = site.contexts[0]
        self._usual = context.store
        self._other = HedgedStore(SiteStore(context.client, address, lambda *_: None))
        context.store = self  # type: ignore[assignment]

    def __getattr__(self, name: str) -> Any:
        return getattr(self._usual, name)

    async def transact(self, *arguments: Any) -> Any:
        has_observer = len(arguments) == 5
        return await (self._other if has_observer else self._usual).transact(*arguments)


def lines_of(site: Site, event: str, job_id: str = ID) -> list[str]:
    return [line for line in site.events() if f"event={event} " in line and job_id in line]


async def line_of(site: Site, event: str, job_id: str = ID) -> str:
    """Return the only line of an event and job, and check it against the page on logs."""
    await site.until(lambda: lines_of(site, event, job_id))
    (line,) = lines_of(site, event, job_id)
    assert PAYLOAD not in line
    row = re.search(rf"^\| `{event}` \|.*$", LOGS_PAGE.read_text(), re.M)
    assert row is not None
    fields = set(re.findall(r' (\w+)=(?:"[^"]*"|\S+)', line)) - {"node", "event", "job"}
    assert {field for field in fields if f"`{field}`" not in row[0]} == set()
    return line


def field_of(line: str, name: str) -> str:
    match = re.search(rf' {name}=(?:"([^"]*)"|(\S+))', line)
    assert match is not None, line
    return match[1] or match[2]


def copies_of(line: str) -> list[str]:
    return field_of(line, "copies").split("; ")


async def submit_against(
    site: Site, *statuses: int | None, body: bytes = b"{}"
) -> tuple[int, str, ScriptedService]:
    """Submit a job to a store with given answers; return status, line and store."""
    service = ScriptedService(*statuses, body=body)
    await service.start()
    StoreOfSubmissions(site, service.address)
    status, _, _ = await site.call("POST", f"/proof/{ID}", JOB)
    service.close()
    return status, await line_of(site, "submit"), service


class TestCopies:
    # Guards against a refused copy that is shown without the lost one before it, which decides.
    def test_a_refused_copy_after_a_lost_one(self, monkeypatch):
        monkeypatch.setattr(callers_module, "SUBMIT_TIMEOUT_S", 2.0)

        async def scenario(site):
            status, line, service = await submit_against(site, None, *[503] * 6)
            lost, *refused = copies_of(line)
            assert status == 504
            assert field_of(line, "outcome") == "unknown"
            assert re.fullmatch(r"at \d\.\d+ took \d\.\d+ port \d+ new wrote \d+ no_answer", lost)
            assert refused
            assert all(copy.endswith("refused 503") for copy in refused)
            assert [int(re.search(r"port (\d+)", copy)[1]) for copy in (lost, *refused)] == (
                service.ports
            )
            assert field_of(line, "cause") == "deadline"

        run_site(scenario)

    # Guards against an answer that overtook another copy being shown as the only one.
    def test_a_dropped_copy(self):
        async def scenario(site):
            status, line, _ = await submit_against(site, None, *[412] * 5, body=JOB_FOUND)
            copies = copies_of(line)
            deciding = int(field_of(line, "decided_by").removeprefix("copy_"))
            assert status == 200
            assert copies[0].endswith("dropped")
            assert copies[deciding - 1].endswith("answered 412")
            assert sum("answered" in copy for copy in copies) == 1

        run_site(scenario)

    # Guards against a refusal that does not say which status the store gave.
    @pytest.mark.parametrize("refusal", [403, 429, 503])
    def test_a_refused_copy_alone(self, refusal):
        async def scenario(site):
            status, line, _ = await submit_against(site, *[refusal] * 6)
            copies = copies_of(line)
            assert status == 503
            assert all(copy.endswith(f"refused {refusal}") for copy in copies)
            assert field_of(line, "cause") == "refused"
            assert field_of(line, "decided_by") in [f"copy_{n + 1}" for n in range(len(copies))]

        run_site(scenario)

    # Guards against a broken connection that is shown as a call that was never sent.
    def test_a_connection_that_broke_after_the_bytes_had_left(self):
        async def scenario(site):
            status, line, service = await submit_against(site, *[0] * 6)
            copy = copies_of(line)[0]
            assert status == 504
            assert f"port {service.ports[0]} new wrote {len(service.received[0])} broken" in copy
            assert copy.endswith("ServerDisconnectedError")
            assert field_of(line, "cause") == "broken"

        run_site(scenario)

    # Guards against a call that was never sent being shown as one whose connection broke.
    def test_a_connect_that_was_refused(self):
        async def scenario(site):
            StoreOfSubmissions(site, find_free_address())
            status, _, _ = await site.call("POST", f"/proof/{ID}", JOB)
            line = await line_of(site, "submit")
            copy = copies_of(line)[0]
            assert status == 503
            assert copy.endswith("wrote none not_sent ClientConnectorError")
            assert "port" not in copy
            assert field_of(line, "cause") == "not_sent"

        run_site(scenario)

    # Guards against an answer 500 of the store being shown as no answer.
    def test_an_answer_that_tells_nothing(self):
        async def scenario(site):
            status, line, _ = await submit_against(site, *[500] * 6)
            assert status == 504
            assert copies_of(line)[0].endswith("unusable 500")
            assert field_of(line, "cause") == "unusable"

        run_site(scenario)


class TestInterruptedRequest:
    """A request that the frameworks answer, because its handler fails or is cancelled."""

    # Guards against a cancelled submission that leaves no trace although its call was under way.
    def test_a_cancelled_handler(self, monkeypatch):
        monkeypatch.setattr(node_module, "FINISH_S", 0)
        monkeypatch.setattr(callers_module, "SUBMIT_TIMEOUT_S", 20.0)

        async def scenario(site):
            service = ScriptedService(*[None] * 6)
            await service.start()
            StoreOfSubmissions(site, service.address)
            call = asyncio.create_task(site.call("POST", f"/proof/{ID}", JOB))
            await site.until(lambda: service.received)
            await asyncio.gather(site.nodes.pop(0).stop(), call, return_exceptions=True)
            line = await line_of(site, "submit")
            assert field_of(line, "outcome") == "cancelled"
            assert any(re.search(r"wrote \d+ cancelled", copy) for copy in copies_of(line))
            failed = await line_of(site, "request_failed")
            assert field_of(failed, "cause") == "cancelled"
            service.close()

        run_site(scenario)

    # Guards against an answer 500 whose fault no line names, or names with parts of the request.
    def test_a_handler_that_fails(self, monkeypatch):
        async def scenario(site):
            def fail(*_):
                raise KeyError(PAYLOAD)

            monkeypatch.setattr(site.nodes[0].callers._unresolved, "settle", fail)
            status, _, _ = await site.call("POST", f"/proof/{ID}", JOB)
            assert status >= 500
            line = await line_of(site, "submit")
            assert (field_of(line, "outcome"), field_of(line, "reason")) == ("failed", "KeyError")
            assert "answered 200" in field_of(line, "copies")
            failed = await line_of(site, "request_failed")
            assert (field_of(failed, "cause"), field_of(failed, "error")) == ("error", "KeyError")
            assert field_of(failed, "place").startswith("test_submission_log.py:")

        run_site(scenario)


class TestRejectedRequest:
    # Guards against a refusal before the submission begins that cannot be found by its job.
    def test_names_its_job_and_status(self):
        async def scenario(site):
            site.nodes[0].callers.find_config = lambda: None
            assert (await site.call("POST", f"/proof/{ID}", JOB))[0] == 503
            assert field_of(await line_of(site, "submit_rejected"), "status") == "503"

        run_site(scenario)


class TestPeers:
    """Peers that a node asks which does not reach the store itself."""

    @staticmethod
    async def submit(site: Site) -> tuple[int, str]:
        await site.until(lambda: len(site.nodes[0]._membership.nodes_by_name) == len(site.nodes))
        health = site.contexts[0].health
        health.is_unreachable = True
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(health, "record_success", lambda: None)
            status, _, _ = await site.call("POST", f"/proof/{ID}", JOB)
        return status, await line_of(site, "submit")

    @staticmethod
    def fail_calls(site: Site, monkeypatch: pytest.MonkeyPatch, error: Exception) -> None:
        async def fail(*_):
            raise error

        monkeypatch.setattr(site.contexts[0].calls, "submit", fail)

    # Guards against a peer's call of the store that only the peer's own line could tell of.
    def test_a_peer_whose_call_was_lost_shows_its_copies(self, monkeypatch):
        monkeypatch.setattr(cell_calls, "SUBMIT_SLACK_S", 2.0)

        async def scenario(site):
            site.store.lose_answers, site.store.lost_prefix = 1, JOBS_PREFIX
            site.store.is_down_after_loss = True
            status, line = await self.submit(site)
            assert status == 504
            assert re.search(r"127\.0\.0\.1:\d+ at \d.* took \d.* unknown", line)
            assert (field_of(line, "cause"), field_of(line, "decided_by")) == ("peer", "peer_1")
            peer_line = await line_of(site, "submit_for_peer")
            lost, *refused = copies_of(peer_line)
            assert lost.endswith("no_answer")
            assert all(copy.endswith("refused 503") for copy in refused)

        run_site(scenario, nodes=2)

    # Guards against a peer without an answer being shown as one that refused, or was not reached.
    def test_a_peer_that_did_not_answer(self, monkeypatch):
        async def scenario(site):
            self.fail_calls(site, monkeypatch, CallOutcomeUnknownError("no answer"))
            status, line = await self.submit(site)
            assert status == 504
            assert "no_answer CallOutcomeUnknownError" in field_of(line, "peers")
            assert field_of(line, "decided_by") == "peer_1"

        run_site(scenario, nodes=2)

    # Guards against a peer that was not reached being shown as one that may have stored the job.
    def test_a_peer_that_was_not_reached_and_is_not_asked_again(self, monkeypatch):
        monkeypatch.setattr(peer_submission, "DOMAIN_OPEN_S", 60.0)

        async def scenario(site):
            self.fail_calls(site, monkeypatch, PeerUnreachableError("refused"))
            status, line = await self.submit(site)
            assert status == 503
            assert "unreachable PeerUnreachableError" in field_of(line, "peers")
            assert field_of(line, "cause") == "store_away"
            other_id = ID[::-1]
            site.contexts[0].health.is_unreachable = True
            monkeypatch.setattr(site.contexts[0].health, "record_success", lambda: None)
            await site.call("POST", f"/proof/{other_id}", JOB)
            assert "breaker_open" in field_of(await line_of(site, "submit", other_id), "peers")

        run_site(scenario, nodes=2)

    # Guards against a call for a peer that ends without a line because it fails or is cancelled.
    @pytest.mark.parametrize("outcome", ["cancelled", "failed"])
    def test_an_interrupted_call_for_a_peer(self, outcome):
        async def scenario(site):
            async def store_job(*_):
                if outcome == "failed":
                    raise KeyError(PAYLOAD)
                await asyncio.Event().wait()

            service = CellService(site.contexts[0], lambda: None, store_job, lambda _: None)
            call = asyncio.create_task(service.submit(ID, b"{}", 1.0, None))
            await asyncio.sleep(0)
            call.cancel()
            await asyncio.wait([call])
            assert field_of(await line_of(site, "submit_for_peer"), "outcome") == outcome

        run_site(scenario)

    # Guards against 504 that an earlier attempt caused being shown as the store's doing.
    def test_an_earlier_attempt_that_decides(self):
        async def scenario(site):
            site.nodes[0].callers.note_unresolved(ID)
            status, line = await self.submit(site)
            assert status == 504
            assert field_of(line, "cause") == "earlier_attempt"

        run_site(scenario)


class TestAcceptedSubmission:
    # Guards against a log that grows with every job.
    def test_writes_the_line_without_its_course(self):
        async def scenario(site):
            assert (await site.call("POST", f"/proof/{ID}", JOB))[0] == 200
            line = await line_of(site, "submit")
            assert re.search(r"outcome=accepted reason=stored age_s=[\d.e-]+$", line)

        run_site(scenario)

    # Guards against a metric whose labels grow, or that misses a kind of end.
    def test_is_counted_by_outcome_and_cause(self):
        async def scenario(site):
            await site.call("POST", f"/proof/{ID}", JOB)
            text = site.contexts[0].metrics.render().decode()
            assert 'redwing_submissions_total{cause="answered",outcome="accepted"} 1.0' in text

        run_site(scenario)


class TestBurst:
    """Pattern: 500 submissions in one second, of which the store refuses some."""

    @staticmethod
    async def submit(site: Site, first: int, count: int) -> None:
        ids = [f"{number:016x}" for number in range(first, first + count)]
        for start in range(0, count, 50):
            await asyncio.gather(
                *(site.call("POST", f"/proof/{job}", JOB) for job in ids[start : start + 50])
            )

    @staticmethod
    def lines(site: Site, text: str) -> list[str]:
        for _ in range(100):
            site.contexts[0].events.flush()
            site.events()
        return [line for line in site.events() if "event=submit " in line and text in line]

    def unaccepted_lines(self, site: Site) -> list[str]:
        """Return the lines of refused submissions and, on a busy machine, of unanswered ones."""
        return [line for line in self.lines(site, "outcome=") if "outcome=accepted" not in line]

    # Guards against a log that an outage of the store fills.
    def test_of_refusals_is_bounded(self, monkeypatch):
        async def scenario(site):
            site.store.is_down = True
            monkeypatch.setattr(context_module, "now_s", lambda: 1000.5)
            await self.submit(site, 0, 500)
            lines = self.unaccepted_lines(site)
            assert len(lines) == MAX_REFUSALS_PER_EVENT
            assert sum(len(line) + 1 for line in lines) <= REFUSALS.size_bytes

        run_site(scenario)

    # Guards against refusals that cannot be found because accepted submissions came before them.
    def test_of_accepted_submissions_does_not_crowd_out_refusals(self, monkeypatch):
        async def scenario(site):
            monkeypatch.setattr(context_module, "now_s", lambda: 1000.5)
            await self.submit(site, 0, 400)
            site.store.is_down = True
            await self.submit(site, 400, 100)
            assert len(self.lines(site, "outcome=accepted")) == MAX_LINES_PER_EVENT
            refused = self.unaccepted_lines(site)
            assert len({field_of(line, "job") for line in refused}) == 100
            assert all("copies=" in line or "cause=store_away" in line for line in refused)

        run_site(scenario)
