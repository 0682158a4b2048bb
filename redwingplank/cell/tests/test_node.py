"""Whole nodes over HTTP, against the platform's stand-in."""

import asyncio
import re
from pathlib import Path

import aiohttp
import msgspec
import pytest

from redwingplank.batch.fencing import first_token, next_epoch
from redwingplank.cell import membership, owner_watch, record_writer
from redwingplank.cell.clocks import now_s
from redwingplank.cell.keys import JOBS_PREFIX, LEARNED_KEY
from redwingplank.cell.submission import SubmitOutcome
from redwingplank.cell.tests.site_fixture import run_site
from redwingplank.rpc.peers import is_refused
from redwingplank.standin.loopback import find_free_address

SECOND_TOKEN = first_token(next_epoch(next_epoch(0)))
"""First token of the second owner of a cell."""
STEP = {"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 50}
JOB = {"spec": "payload", "steps": [STEP, {**STEP, "after": [0]}]}
LASTING = {"spec": "last", "steps": [{**STEP, "long_running": True}]}
ID = "5c0e7a21d94b36f8"
LONGER_THAN_A_PROOF_S = 4.0
"""Longer than an owner may command workers after it last proved its ownership."""
DOCS = Path(__file__).parents[3] / "docs"


class TestPath:
    def test_a_job_runs_to_its_end(self):
        async def scenario(site):
            status, _, _ = await site.call("POST", f"/proof/{ID}", JOB)
            assert status == 200
            await site.until_state(ID, "completed")
            starts = [start for worker in site.workers for start in worker.starts]
            assert len(starts) == 4
            assert {p for worker in site.workers for p in worker.payloads} == {"payload"}
            assert (await site.call("GET", "/proof/"))[1] == {"pending": 0}

        run_site(scenario)

    def test_the_same_id_is_one_job_at_any_node(self):
        async def scenario(site):
            for node in (0, 1, 0):
                status, _, _ = await site.call("POST", f"/proof/{ID}", JOB, node=node)
                assert status == 200
            await site.until_state(ID, "completed", node=1)
            assert sum(len(worker.starts) for worker in site.workers) == 4

        run_site(scenario, nodes=2)

    def test_a_cancelled_job_stops(self):
        async def scenario(site):
            await site.call("POST", f"/proof/{ID}", LASTING)
            await site.until(lambda: sum(len(worker.runs) for worker in site.workers) == 2)
            status, _, _ = await site.call("DELETE", f"/proof/{ID}")
            assert status == 200
            await site.until(lambda: not any(worker.runs for worker in site.workers))
            assert await site.state_of(ID) == "cancelled"

        run_site(scenario)

    def test_a_new_configuration_is_followed(self):
        async def scenario(site):
            assert (await site.call("POST", f"/other/{ID}", JOB))[0] == 404
            site.configure(2, prefix="/other/")
            await site.until(lambda: any("version=2" in line for line in site.events()))
            assert (await site.call("POST", f"/other/{ID}", JOB))[0] == 200
            assert (await site.call("GET", "/proof/"))[0] == 404

        run_site(scenario)


class TestBadInput:
    def test_is_refused_with_a_reason_and_changes_nothing(self):
        async def scenario(site):
            cases = [
                (b"{", 400),
                ({"spec": "x", "steps": []}, 400),
                ({"spec": "x" * 4001, "steps": [STEP]}, 400),
                ({"spec": "x", "steps": [{**STEP, "after": [0]}]}, 400),
                ({"spec": "x", "steps": [{**STEP, "count": "many"}]}, 400),
                ({"spec": "x", "steps": [{**STEP, "count": 10_000}, STEP]}, 400),
                # Longer in the store than a value may be.
                (b'{"spec":"x","steps":[' + b"{}," * 5999 + b"{}]}", 400),
                (b" " * 20_001, 413),
            ]
            for body, expected in cases:
                status, answer, _ = await site.call("POST", f"/proof/{ID}", body)
                assert status == expected
                assert answer["problem"]
            assert (await site.call("PUT", f"/proof/{ID}", JOB))[0] == 405
            assert (await site.call("POST", "/proof/a/b", JOB))[0] == 404
            assert (await site.call("GET", f"/proof/{ID}"))[0] == 410
            assert (await site.call("DELETE", f"/proof/{ID}"))[0] == 410
            # A DELETE of a job that does not exist leaves its cancellation, and nothing else.
            stored = [key for key in site.store.items if key.startswith("redwing/intake")]
            assert stored == [f"redwing/intake/cancels/{ID}"]

        run_site(scenario)


class TestJobsThatCannotBeRead:
    """Failure: one stored job stops the owner that reads it, and the next one, and so on."""

    def test_do_not_keep_an_owner_from_the_others(self):
        async def scenario(site):
            unreadable = ([{"count": 1, "after": [7]}], [1], "steps")
            for number, steps in enumerate(unreadable):
                job_id = f"{number:016x}"
                job = {"job_id": job_id, "queue": "proof", "payload": "x", "steps": steps}
                site.store.put(f"redwing/intake/jobs/{job_id}", msgspec.json.encode(job))
            await site.call("POST", f"/proof/{ID}", JOB)
            await site.until_state(ID, "completed", node=1)
            await site.hand_over()
            assert await site.state_of(ID, node=1) == "completed"
            assert sum("event=job_unreadable" in line for line in site.events()) >= 6

        run_site(scenario, nodes=2)


class TestStoreTrouble:
    def test_a_refusal_names_a_time_to_come_back_and_is_true(self):
        async def scenario(site):
            site.store.is_down = True
            status, _, headers = await site.call("POST", f"/proof/{ID}", JOB)
            assert status == 503
            assert int(headers["Retry-After"]) >= 1
            site.store.is_down = False
            assert f"redwing/intake/jobs/{ID}" not in site.store.items

        run_site(scenario)

    def test_a_peer_that_knows_the_store_is_away_refuses_truly(self):
        async def scenario(site):
            site.store.is_down = True
            await site.until(lambda: all(each.health.is_unreachable for each in site.contexts))
            site.store.is_down = False
            for each in site.contexts:
                each.health.is_unreachable = True
            outcomes = [await node.callers.store_here(ID, b"{}", 0.5) for node in site.nodes]
            assert outcomes == [(SubmitOutcome.NOT_RUN, "store_away")] * 2

        run_site(scenario, nodes=2)

    def test_a_lost_answer_never_reads_as_not_run(self):
        async def scenario(site):
            site.store.lose_answers = 1
            status, _, _ = await site.call("POST", f"/proof/{ID}", JOB)
            assert status in (200, 504)
            while status != 200:
                status, _, _ = await site.call("POST", f"/proof/{ID}", JOB)
            await site.until_state(ID, "completed")
            assert sum(len(worker.starts) for worker in site.workers) == 4

        run_site(scenario)

    # Guards against 503 for a job that the store has taken: its caller would submit it anew under
    # another id, and it would run twice.
    @pytest.mark.parametrize("refusal_status", [429, 503])
    def test_a_refusal_after_a_lost_answer_never_reads_as_not_run(self, refusal_status):
        async def scenario(site):
            site.store.lose_answers, site.store.lost_prefix = 1, JOBS_PREFIX
            site.store.is_down_after_loss = True
            site.store.refusal_status = refusal_status
            site.hide_jobs_of_owner()
            for node in (0, 0, 0):
                status, _, _ = await site.call("POST", f"/proof/{ID}", JOB, node=node)
                assert status == 504
            site.store.is_down = False
            await site.until_state(ID, "completed")

        run_site(scenario)

    # Guards against a refusal by the node to which the caller comes next.
    def test_other_nodes_do_not_refuse_what_may_be_stored(self):
        async def scenario(site):
            await site.until(lambda: len(site.nodes[0]._membership.nodes_by_name) == 3)
            site.store.lose_answers, site.store.lost_prefix = 1, JOBS_PREFIX
            site.store.is_down_after_loss = True
            site.hide_jobs_of_owner()
            assert (await site.call("POST", f"/proof/{ID}", JOB))[0] == 504
            unresolved = [node.callers._unresolved for node in site.nodes]
            await site.until(lambda: all(each.is_known(ID, now_s()) for each in unresolved))
            for node in (1, 2, 0):
                assert (await site.call("POST", f"/proof/{ID}", JOB, node=node))[0] == 504
            other_id = ID[::-1]
            assert (await site.call("POST", f"/proof/{other_id}", JOB, node=1))[0] == 503
            site.store.is_down = False
            await site.until_state(ID, "completed")

        run_site(scenario, nodes=3)

    # Guards against the same answer where the lost call was one that a peer made for this node.
    def test_a_refusal_after_a_lost_answer_to_a_peer_never_reads_as_not_run(self):
        async def scenario(site):
            await site.until(lambda: len(site.nodes[0]._membership.nodes_by_name) == 2)
            site.contexts[0].health.is_unreachable = True
            site.store.lose_answers, site.store.lost_prefix = 1, JOBS_PREFIX
            site.store.is_down_after_loss = True
            outcome, _ = await site.nodes[0].callers._peer_submission.store(
                ID, b"{}", now_s() + 3.0, SubmitOutcome.NOT_RUN
            )
            assert f"{JOBS_PREFIX}{ID}" in site.store.items
            assert outcome is SubmitOutcome.UNKNOWN

        run_site(scenario, nodes=2)

    def test_forgotten_history_is_read_anew(self):
        async def scenario(site):
            site.store.forget_history()
            site.configure(2, prefix="/other/")
            site.store.forget_history()
            await site.until(lambda: any("version=2" in line for line in site.events()))

        run_site(scenario)


class TestReadiness:
    """Pattern: a failure domain is cut off from the store, but not from its callers."""

    def test_a_node_without_the_store_sends_its_callers_elsewhere(self):
        async def scenario(site):
            assert (await site.call("GET", "/-/readyz"))[0] == 200
            site.store.is_down = True
            await site.until(lambda: site.contexts[0].health.is_unreachable)
            status, _, headers = await site.call("GET", "/-/readyz")
            assert status == 503
            assert headers["Connection"] == "close"
            site.store.is_down = False
            await site.until(lambda: not site.contexts[0].health.is_unreachable)
            assert (await site.call("GET", "/-/readyz"))[0] == 200

        run_site(scenario)


class TestStop:
    def test_a_submission_in_progress_gets_its_answer(self):
        async def scenario(site):
            writes_before = site.store.writes_seen
            site.store.is_silent = True
            call = asyncio.create_task(site.call("POST", f"/proof/{ID}", JOB))
            await site.until(lambda: site.store.writes_seen > writes_before)
            await asyncio.gather(site.nodes[0].stop(), call)
            site.nodes.pop(0)
            site.store.is_silent = False
            assert call.result()[0] == 504

        run_site(scenario, nodes=3)


class TestOrdersWithoutAnswer:
    def test_a_start_that_was_carried_out_unanswered_runs_once_at_a_time(self):
        async def scenario(site):
            site.workers[0].lose_answers = 2
            await site.call("POST", f"/proof/{ID}", JOB)
            await site.until_state(ID, "completed")

        run_site(scenario, workers=1)


class TestTakeover:
    def test_a_stopped_owner_hands_over_and_running_tasks_go_on(self):
        async def scenario(site):
            await site.call("POST", f"/proof/{ID}", LASTING)
            await site.until(lambda: sum(len(worker.runs) for worker in site.workers) == 2)
            old = site.owner_node()
            other = 1 - site.nodes.index(old)
            await old.stop()
            site.nodes.remove(old)
            await site.until(lambda: site.owner_node() is not None)
            await site.until(lambda: all(worker.token == SECOND_TOKEN for worker in site.workers))
            assert await site.state_of(ID, node=other) == "running"
            assert sum(len(worker.starts) for worker in site.workers) == 2

        run_site(scenario, nodes=2)

    def test_the_next_owner_begins_with_the_speeds_that_were_learned(self, monkeypatch):
        monkeypatch.setattr(record_writer, "LEARNED_PERIOD_S", 0.0)

        async def scenario(site):
            await site.call("POST", f"/proof/{ID}", JOB)
            await site.until_state(ID, "completed", node=1)
            await site.hand_over()
            loaded = [line for line in site.events() if "event=owner_loaded" in line]
            assert "workers_known=2" in loaded[-1]

        run_site(scenario, nodes=2)

    def test_learned_speeds_that_cannot_be_read_are_left_out(self):
        async def scenario(site):
            site.store.put(LEARNED_KEY, b"nonsense")
            await site.hand_over()
            assert any("event=learned_unreadable" in line for line in site.events())

        run_site(scenario, nodes=2)


class TestSlowOwner:
    """The owner, the first node of a cell, has a slow processor."""

    def test_hands_over_to_a_faster_node_and_keeps_the_jobs(self, monkeypatch):
        monkeypatch.setattr(membership, "YIELD_AFTER_S", 0.0)

        async def scenario(site):
            await site.call("POST", f"/proof/{ID}", LASTING)
            await site.until(lambda: sum(len(worker.runs) for worker in site.workers) == 2)
            fast = await site.add_node(7, core_share=2.0)
            await site.until(lambda: fast.owns_jobs)
            await site.until(lambda: all(worker.token == SECOND_TOKEN for worker in site.workers))
            assert sum(len(worker.starts) for worker in site.workers) == 2

        run_site(scenario)

    def test_stays_with_nodes_that_are_hardly_faster(self, monkeypatch):
        monkeypatch.setattr(membership, "YIELD_AFTER_S", 0.0)

        async def scenario(site):
            first = site.owner_node()
            await site.add_node(7, core_share=1.2)
            await site.until(lambda: len(first._membership.nodes_by_name) == 2)
            await first._membership._yield_to_faster(now_s())
            assert first.owns_jobs

        run_site(scenario)


class TestOwnerGone:
    """The owner's process is killed long before its lease expires."""

    def test_another_node_takes_over_without_waiting_for_the_lease(self):
        async def scenario(site):
            await site.call("POST", f"/proof/{ID}", LASTING)
            await site.until(lambda: sum(len(worker.runs) for worker in site.workers) == 2)
            await site.crash(site.owner_node())
            await site.until(lambda: site.owner_node() is not None)
            await site.until(lambda: all(worker.token == SECOND_TOKEN for worker in site.workers))
            assert any("event=owner_gone" in line for line in site.events())
            assert sum(len(worker.starts) for worker in site.workers) == 2

        run_site(scenario, nodes=3, store_lease_s=60.0)

    def test_an_owner_that_another_node_reaches_is_not_gone(self, monkeypatch):
        async def refused(address):
            return True

        async def scenario(site):
            others = [node for node in site.nodes if node is not site.owner_node()]
            watch = others[0]._owner_watch
            await site.until(lambda: len(watch._membership.nodes_by_name) == 3)
            assert await watch._is_gone(watch._membership.owner) is False

        monkeypatch.setattr(owner_watch, "is_refused", refused)
        run_site(scenario, nodes=3)

    def test_an_address_that_answers_is_not_refused(self):
        async def scenario(site):
            assert not await is_refused(site.contexts[0].settings.peer_address)
            assert await is_refused(find_free_address())

        run_site(scenario)


class TestLogsAndMetrics:
    def test_every_event_is_documented_and_names_its_job(self):
        async def scenario(site):
            await site.call("POST", f"/proof/{ID}", JOB)
            await site.until_state(ID, "completed")
            lines = site.events()
            documented = set(re.findall(r"^\| `(\w+)`", (DOCS / "logs.md").read_text(), re.M))
            emitted = {re.search(r"event=(\w+)", line).group(1) for line in lines}
            assert emitted <= documented
            job_lines = [line for line in lines if f"job={ID}" in line]
            events = [re.search(r"event=(\w+)", line).group(1) for line in job_lines]
            assert events[0] in ("submit", "step_opened")
            assert {"submit", "job_taken", "start_planned", "run_ended", "job_ended"} <= set(events)

        run_site(scenario)

    def test_metrics_are_served_as_text(self):
        async def scenario(site):
            await site.call("POST", f"/proof/{ID}", JOB)
            address = site.contexts[0].settings.metrics_address
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"http://{address}/metrics") as response,
            ):
                text = await response.text()
            assert 'redwing_events_total{event="submit"} 1.0' in text
            assert "redwing_submit_seconds_bucket" in text
            assert 'redwing_store_call_seconds_bucket{call="transact"' in text
            served = set(re.findall(r"^# TYPE (redwing_\w+) ", text, re.M))
            documented = re.findall(r"^\| `(redwing_\w+)", (DOCS / "metrics.md").read_text(), re.M)
            assert {name for name in served if not name.endswith("_created")} == set(documented)

        run_site(scenario)


class TestIdleOwner:
    # Guards against an owner that writes no records, and so loses the permission to renew leases.
    def test_it_may_command_workers_for_as_long_as_it_owns(self):
        async def scenario(site):
            owner = site.owner_node()
            assert owner is not None and owner._owner is not None
            await asyncio.sleep(LONGER_THAN_A_PROOF_S)
            assert owner._owner._orders.may_send_commands()

        run_site(scenario)


class TestTokensUsedUp:
    # Guards against an owner that goes on with the tokens of the next epoch.
    def test_begin_a_new_epoch(self):
        async def scenario(site):
            owner = site.owner_node()
            owner._owner.owner.state.are_tokens_used_up = True
            await site.until(lambda: all(worker.token == SECOND_TOKEN for worker in site.workers))

        run_site(scenario)
