"""Tests of the soak: its checks, its faults, and a short run against real processes."""

import asyncio
import random
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path

import aiohttp
import msgspec
import psutil
import pytest

from redwingplank.cell.keys import CANCELS_PREFIX, JOBS_PREFIX
from redwingplank.standin.site_store import SiteStoreModel, make_site_store_app
from redwingplank.standin.site_workers import make_site_worker_app
from tools.soak.__main__ import EXIT_COULD_NOT_RUN, main
from tools.soak.callers import Callers, Organisations
from tools.soak.checks import count_observations, find_untrue_refusals, find_violations
from tools.soak.disruptions import CONTACT_S, Disruption
from tools.soak.history import Attempt, History, RunEnd, RunStart, SentJob
from tools.soak.nodes import NodeAddress
from tools.soak.payload import Payload
from tools.soak.plan import WORKER_KINDS, Fault, FaultKind, make_plan
from tools.soak.platform import FaultyStore, RecordingStore, SoakServer
from tools.soak.pool import WorkerPool
from tools.soak.run import Soak, SoakOptions
from tools.soak.unasked import CANCEL_S, STOP_GRACE_S
from tools.soak.workers import LONGEST_LEASE_S, FaultyWorker, RecordingWorker

ROOT = Path(__file__).resolve().parents[2]
JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
SPEC = str(Payload(JOB, 0.15))
SENT = SentJob(SPEC, frozenset({TASK}))
NODES = frozenset({0, 1})


def attempt(status: int | None, sent_s: float = 1.0, method: str = "POST") -> Attempt:
    return Attempt(JOB, method, "n0", sent_s, sent_s + 0.1, status)


def start(at_s: float, worker: str = "w0", number: int = 1, **fields) -> RunStart:
    given = {"arrived_s": at_s, "spec": SPEC, "token": 1, **fields}
    return RunStart(TASK, number, worker, at_s, **given)


def rules(history: History) -> list[str]:
    return [violation.rule for violation in find_violations(history)]


def history_of(*statuses: int | None) -> History:
    """Return the history of a job that was submitted, stored and run."""
    history = History()
    history.sent_by_job[JOB] = SENT
    history.owner_by_epoch[1] = "n0"
    history.node_names = frozenset({"n0", "n1"})
    for number, status in enumerate(statuses):
        history.add_attempt(attempt(status, 1.0 + number))
    history.add_stored_key(f"{JOBS_PREFIX}{JOB}", 1.05)
    history.add_start(start(2.0))
    history.add_end(RunEnd(TASK, 1, "w0", 2.2, "done"))
    history.final_state_by_job[JOB] = "completed"
    return history


class TestRefused:
    # Guards against a soak that does not notice that a refused job ran.
    @pytest.mark.parametrize("statuses", [(503,), (429, 503, 404), (401,), (400,), (503,) * 5])
    def test_a_job_that_ran_after_refusals_only_is_a_violation(self, statuses):
        history = history_of(*statuses)
        (violation,) = find_violations(history)
        assert (violation.rule, violation.job_id) == ("REFUSED", JOB)
        assert "n0: " + str(statuses[0]) in str(violation)

    # Guards against false reports of jobs whose callers were told that the outcome is unknown.
    @pytest.mark.parametrize("status", [None, 500, 502, 504, 200])
    def test_one_attempt_with_another_answer_is_none(self, status):
        assert rules(history_of(503, status, 503)) == []

    def test_a_refused_job_that_never_ran_is_none(self):
        history = History()
        history.add_attempt(attempt(503))
        assert rules(history) == []


class TestTwice:
    # Guards against a soak that does not notice a second run beside the first.
    def test_two_runs_at_once_are_a_violation(self):
        history = history_of(200)
        history.add_start(start(2.1, "w1", 2))
        history.add_end(RunEnd(TASK, 2, "w1", 2.3, "done"))
        assert rules(history) == ["TWICE"]

    # Guards against a soak that does not notice a run after an acknowledged end.
    def test_a_start_after_an_acknowledged_end_is_a_violation(self):
        history = history_of(200)
        history.add_start(start(9.0, "w1", 2))
        assert rules(history) == []
        history.acknowledged.add(("w0", TASK, 1))
        assert rules(history) == ["TWICE"]

    def test_only_an_end_that_was_acknowledged_within_the_lease_counts(self):
        history = History()
        worker = RecordingWorker("w0", history, 0.1)
        for task, lapses in ((f"{JOB}.0.0.0", False), (f"{JOB}.0.0.1", True)):
            now_s = 1.0 if lapses else 0.0
            body = {"task": task, "attempt": 1, "deadline_ms": now_s * 1000 + 500, "spec": ""}
            worker.start(body, now_s)
            worker.advance(now_s + 0.2)
            worker.advance(now_s + (0.9 if lapses else 0.3))
            worker.handle_poll({"last_seen": worker.end_count}, now_s + 0.9)
        assert history.acknowledged == {("w0/1", f"{JOB}.0.0.0", 1)}
        ends = [(end.how, end.at_s) for end in history.ends_by_run.values()]
        assert ends == [("done", 0.1), ("done", 1.1)]


class TestUnsent:
    # Guards against a soak that does not notice a start of what no caller sent.
    @pytest.mark.parametrize(
        "sent", [{}, {JOB: SentJob(SPEC, frozenset({f"{JOB}.0.0.1", f"{JOB}.0.1.0"}))}]
    )
    def test_a_job_or_task_that_no_caller_sent_is_a_violation(self, sent):
        history = history_of(200)
        history.sent_by_job = sent
        (violation,) = find_violations(history)
        assert violation.rule == "UNASKED"
        assert "what no caller sent" in str(violation)

    # Guards against a soak that does not notice a task that is started as another one.
    @pytest.mark.parametrize(
        "wrong", [{"spec": "other"}, {"spec": ""}, {"checkpoint": f"{JOB}.0.0.1@0.300"}]
    )
    def test_another_spec_or_checkpoint_is_a_violation(self, wrong):
        history = history_of(200)
        history.checkpoints_by_task[f"{JOB}.0.0.1"].add(f"{JOB}.0.0.1@0.300")
        history.add_start(start(2.5, number=2, **wrong))
        assert rules(history) == ["UNASKED"]

    def test_a_checkpoint_that_a_worker_listed_for_the_task_is_none(self):
        history = history_of(200)
        history.checkpoints_by_task[TASK] = {"older", "newer"}
        history.add_start(start(2.5, number=2, checkpoint="older"))
        assert rules(history) == []


CANCELLED_S = 3.0


def cancelled_history(status: int | None = 200) -> History:
    """Return the history of a job whose cancellation was answered at `CANCELLED_S`."""
    history = history_of(200)
    history.add_attempt(attempt(status, CANCELLED_S - 0.1, "DELETE"))
    history.final_state_by_job[JOB] = "cancelled"
    history.ended_s = 60.0
    return history


def add_run(history: History, at_s: float, for_s: float = 0.1, **fields) -> None:
    history.add_start(start(at_s, number=2, **fields))
    history.add_end(RunEnd(TASK, 2, "w0", at_s + for_s, "done"))


def disturb(history: History, name: str, from_s: float, until_s: float) -> None:
    history.disruptions.all.append(Disruption(name, "refuse", from_s, until_s))


class TestStartAfterCancellation:
    START_S = CANCELLED_S + CANCEL_S + 0.05

    # Guards against a soak that does not notice that a cancelled job is started again.
    @pytest.mark.parametrize("status", [200, 202, 410])
    def test_a_start_later_than_the_bound_is_a_violation(self, status):
        history = cancelled_history(status)
        add_run(history, self.START_S)
        (violation,) = find_violations(history)
        assert violation.rule == "UNASKED"
        assert "started 3.050 s after its cancellation" in str(violation)
        assert "sent by n0" in str(violation)

    # Guards against a bound that begins anew with each repeated cancellation.
    def test_the_first_acknowledgement_counts(self):
        history = cancelled_history()
        history.add_attempt(attempt(200, CANCELLED_S + 2.0, "DELETE"))
        add_run(history, self.START_S)
        assert rules(history) == ["UNASKED"]

    # Guards against a disturbed peer that excuses a node in touch.
    def test_disruptions_of_others_and_earlier_ones_excuse_nothing(self):
        history = cancelled_history()
        disturb(history, "n1", 0.0, 60.0)
        disturb(history, "w0", 0.0, 60.0)
        disturb(history, "n0", 0.0, self.START_S - CONTACT_S - 0.01)
        add_run(history, self.START_S)
        assert rules(history) == ["UNASKED"]

    # Guards against an unknown sender that excuses a start.
    def test_a_sender_that_the_store_has_not_shown_is_in_touch(self):
        history = cancelled_history()
        disturb(history, "n0", 0.0, 60.0)
        add_run(history, self.START_S, token=7)
        assert rules(history) == ["UNASKED"]

    def test_a_start_within_the_bound_is_none(self):
        history = cancelled_history()
        add_run(history, CANCELLED_S + CANCEL_S - 0.05)
        assert rules(history) == []

    @pytest.mark.parametrize("status", [None, 401, 404, 429, 500, 503, 504])
    def test_a_cancellation_that_was_not_acknowledged_binds_nobody(self, status):
        history = cancelled_history(status)
        add_run(history, self.START_S, 20.0)
        assert rules(history) == []

    def test_a_starter_that_is_not_in_touch_is_none(self):
        history = cancelled_history()
        disturb(history, "n0", 1.0, self.START_S - CONTACT_S + 0.01)
        add_run(history, self.START_S)
        assert rules(history) == []

    def test_a_start_that_was_carried_out_late_is_none(self):
        history = cancelled_history()
        add_run(history, self.START_S, arrived_s=CANCELLED_S)
        assert rules(history) == []


class TestRunAfterCancellation:
    BOUND_S = CANCEL_S + STOP_GRACE_S

    # Guards against a soak that does not notice a run that nobody stops.
    @pytest.mark.parametrize("for_s", [BOUND_S + 0.1, None])
    def test_a_run_beyond_the_bound_is_a_violation(self, for_s):
        history = cancelled_history()
        history.add_start(start(2.9, number=2))
        if for_s is not None:
            history.add_end(RunEnd(TASK, 2, "w0", CANCELLED_S + for_s, "done"))
        (violation,) = find_violations(history)
        assert violation.rule == "UNASKED"
        assert "after its cancellation" in str(violation)

    # Guards against late commands whose runs nobody stops, whoever sent them.
    def test_a_run_that_was_begun_late_is_counted_from_the_contact_on(self):
        history = cancelled_history()
        disturb(history, "n0", 0.0, 5.0)
        add_run(history, 9.0, CONTACT_S + self.BOUND_S + 0.1, arrived_s=2.0)
        assert rules(history) == ["UNASKED"]

    # Guards against an early disruption that excuses a run for good.
    def test_a_calm_after_a_disruption_is_enough(self):
        history = cancelled_history()
        disturb(history, "n1", CANCELLED_S, 5.0)
        add_run(history, 2.9, 2.1 + CONTACT_S + self.BOUND_S + 0.1)
        assert rules(history) == ["UNASKED"]

    def test_a_run_within_the_bound_is_none(self):
        history = cancelled_history()
        add_run(history, 2.9, 0.1 + self.BOUND_S - 0.1)
        assert rules(history) == []

    def test_a_late_run_within_the_bound_is_none(self):
        history = cancelled_history()
        add_run(history, 9.0, CONTACT_S + self.BOUND_S - 0.1, arrived_s=2.0)
        assert rules(history) == []

    @pytest.mark.parametrize("name", ["n0", "n1", "w0"])
    def test_a_run_without_a_calm_is_none(self, name):
        history = cancelled_history()
        disturb(history, name, 5.0, 5.5)
        add_run(history, 2.9, 2.6 + CONTACT_S + self.BOUND_S - 0.1)
        assert rules(history) == []


class TestLost:
    # Guards against a soak that does not notice an accepted job that is not stored.
    def test_an_accepted_job_that_is_not_in_the_store_is_a_violation(self):
        history = History()
        history.add_attempt(attempt(200))
        assert rules(history) == ["LOST"]

    # Guards against a soak that does not notice a job that was stored only after its answer.
    def test_an_answer_before_the_write_is_a_violation(self):
        history = History()
        history.add_attempt(attempt(200))
        history.add_stored_key(f"{JOBS_PREFIX}{JOB}", 1.2)
        history.final_state_by_job[JOB] = "completed"
        assert rules(history) == ["LOST"]

    # Guards against a soak that takes the cancellation of a job for the job: it would miss that the
    # job is not stored, and count true refusals as untrue.
    @pytest.mark.parametrize("status", [200, 503])
    def test_a_cancellation_is_no_stored_job(self, status):
        history = History()
        history.add_attempt(attempt(status))
        history.add_stored_key(f"{CANCELS_PREFIX}{JOB}", 1.05)
        assert history.stored_s_by_job == {}
        assert rules(history) == (["LOST"] if status == 200 else [])
        assert find_untrue_refusals(history) == []

    # Guards against a soak that does not notice an accepted job that never ends.
    @pytest.mark.parametrize("state", ["running", "queued", "410", "None", ""])
    def test_an_accepted_job_that_does_not_end_is_a_violation(self, state):
        history = history_of(200)
        history.final_state_by_job[JOB] = state
        assert rules(history) == ["LOST"]


class TestObservations:
    def test_they_are_counted_and_break_nothing(self):
        history = history_of(504, 503)
        history.add_attempt(attempt(410, 1.5, "GET"))
        history.add_attempt(attempt(500, 9.0, "GET"))
        assert rules(history) == []
        counts = count_observations(history)
        assert counts == {
            "ran, 503 after unknown": 1,
            "ran, none accepted": 1,
            "ran after 410": 1,
            "answers 500": 1,
        }

    # Guards against a fault that stays unseen because the caller tried again.
    def test_a_refused_attempt_that_stored_the_job_is_seen_whatever_follows(self):
        untrue = find_untrue_refusals(history_of(503, 200))
        assert [(each.rule, each.job_id) for each in untrue] == [("UNTRUE", JOB)]

    @pytest.mark.parametrize("status", [None, 500, 504, 200])
    def test_an_attempt_with_another_answer_may_have_stored_the_job(self, status):
        assert find_untrue_refusals(history_of(status, 503)) == []


class ScriptedCallers(Callers):
    """Callers whose requests are answered from a list, and who accept all submissions."""

    def __init__(self, history: History, statuses: list[int | None]) -> None:
        nodes = [FakeNode("n0"), FakeNode("n1")]
        super().__init__(random.Random(1), nodes, Organisations(1), history, time.monotonic)
        self._statuses = statuses

    async def _send(self, method, node, job, key):
        return (200 if method == "POST" else self._statuses.pop(0)), b"{}"


def spec_of(job) -> str:
    return msgspec.json.decode(job.body)["spec"]


class FakeNode:
    """A node that serves."""

    is_serving = True

    def __init__(self, name: str) -> None:
        self.address = NodeAddress(name, "127.0.3.9", "a", "127.0.3.9:1")


class TestCallers:
    # Guards against cancellations that are given up, or repeated once they are acknowledged.
    def test_a_cancellation_is_repeated_until_it_is_acknowledged(self):
        async def scenario() -> list[Attempt]:
            history = History()
            callers = ScriptedCallers(history, [None, 503, 410, 200])
            try:
                job = callers._draw_job()
                await callers._cancel_until_acknowledged(job, callers._nodes[0])
                return history.attempts_by_job[job.job_id]
            finally:
                await callers.close()

        attempts = asyncio.run(scenario())
        assert [each.status for each in attempts] == [None, 503, 410]
        assert [each.node for each in attempts] == ["n1", "n0", "n1"]

    # Guards against jobs that end before the lease of a worker that is cut off.
    @pytest.mark.parametrize(("share", "shortest_s", "longest_s"), [(0.0, 0, 2.5), (1.0, 8, 14)])
    def test_jobs_run_for_longer_while_that_is_asked_for(self, share, shortest_s, longest_s):
        async def draw() -> list[float]:
            callers = ScriptedCallers(History(), [])
            callers.longer_share = share
            try:
                return [Payload.parse(spec_of(callers._draw_job())).run_s for _ in range(100)]
            finally:
                await callers.close()

        lasting = float("inf")
        run_times_s = [each for each in asyncio.run(draw()) if each != lasting]
        assert shortest_s <= min(run_times_s) <= max(run_times_s) <= longest_s

    # Guards against tasks that the check does not know as sent.
    def test_all_kinds_of_jobs_are_drawn_and_recorded(self):
        async def draw() -> tuple[list[dict], History]:
            history = History()
            callers = ScriptedCallers(history, [])
            try:
                jobs = [callers._draw_job() for _ in range(300)]
                return [msgspec.json.decode(job.body) for job in jobs], history
            finally:
                await callers.close()

        bodies, history = asyncio.run(draw())
        steps = [step for body in bodies for step in body["steps"]]
        assert any(step.get("long_running") for step in steps)
        assert any(step.get("checkpointing") for step in steps)
        assert any(step.get("after") == [0] for step in steps)
        assert sum(step["count"] for step in steps) == sum(
            len(job.tasks) for job in history.sent_by_job.values()
        )
        assert {body["spec"] for body in bodies} == {
            job.spec for job in history.sent_by_job.values()
        }


class TestPlan:
    def test_a_seed_gives_the_same_plan_each_time(self):
        assert make_plan(7, 20.0, 5) == make_plan(7, 20.0, 5) != make_plan(8, 20.0, 5)

    def test_each_kind_of_fault_is_drawn(self):
        drawn = {fault.kind for seed in range(40) for fault in make_plan(seed, 20.0, 5)}
        assert drawn == set(FaultKind)

    # Guards against plans in which no worker loses what the store has refused to take.
    def test_workers_often_crash_while_the_store_refuses_nodes(self):
        plans = [make_plan(seed, 20.0, 5) for seed in range(40)]
        assert sum(any(is_crash_in_refusal(each, plan) for each in plan) for plan in plans) >= 20

    # Guards against plans that can't produce the incident of a restarted worker's lease.
    def test_workers_often_restart_and_are_cut_off_before_their_owner_is_replaced(self):
        plans = [make_plan(seed, 20.0, 5) for seed in range(40)]
        assert sum(any(is_cut_after_restart(each, plan) for each in plan) for plan in plans) >= 8

    def test_faults_of_workers_name_workers(self):
        faults = [fault for seed in range(40) for fault in make_plan(seed, 20.0, 5, workers=3)]
        assert all(bool(each.workers) is (each.kind in WORKER_KINDS) for each in faults)
        assert set().union(*(each.workers for each in faults)) == {0, 1, 2}


def is_crash_in_refusal(crash: Fault, plan: list[Fault]) -> bool:
    refusals = [each for each in plan if each.kind is FaultKind.REFUSE]
    return crash.kind is FaultKind.CRASH and any(
        each.at_s < crash.at_s < each.at_s + each.for_s for each in refusals
    )


def is_cut_after_restart(cut: Fault, plan: list[Fault]) -> bool:
    """Return whether workers are cut off soon after a restart, with all else that it takes.

    Late calls begin before the restart, tasks run for long, and the owner is ended in between.
    """

    def happens(kind: FaultKind, from_s: float, until_s: float) -> bool:
        return any(
            each.kind is kind
            and from_s <= each.at_s <= until_s
            and (cut.workers <= each.workers or kind not in WORKER_KINDS)
            for each in plan
        )

    return (
        cut.kind is FaultKind.CUT
        and cut.for_s >= 6.0
        and happens(FaultKind.CRASH, cut.at_s - 4.5, cut.at_s)
        and happens(FaultKind.LATE_COMMANDS, cut.at_s - 6.0, cut.at_s - 1.0)
        and happens(FaultKind.LONG, cut.at_s - 6.0, cut.at_s - 1.0)
        and happens(FaultKind.KILL, cut.at_s - 1.5, cut.at_s + 0.5)
    )


def command(attempt: int = 1, spec: str = SPEC, **fields) -> dict[str, object]:
    """Return a start command."""
    body = {"task": TASK, "attempt": attempt, "spec": spec, "deadline_ms": 9000}
    return {**body, "fencing_token": 3, **fields}


class TestRecordingWorker:
    def test_a_start_is_recorded_with_all_that_the_command_says(self):
        history = History()
        worker = RecordingWorker("w0", history, 0.1)
        worker.start(command(checkpoint="x@0.050"), 1.0)
        assert history.starts_by_job[JOB] == [
            RunStart(TASK, 1, "w0/1", 1.0, 1.0, SPEC, "x@0.050", token=3)
        ]

    # Guards against runs that seem to go on after a crash, and ends that outlive one.
    def test_a_crash_ends_runs_and_loses_ends_and_tokens(self):
        history = History()
        worker = RecordingWorker("w0", history, 0.1)
        worker.start(command(), 1.0)
        worker.advance(1.2)
        worker.start(command(2), 1.2)
        worker.crash(2)
        assert history.ends_by_run["w0/1", TASK, 2].how == "crashed"
        assert (worker.ends, worker.runs, worker.token) == ([], {}, 0)
        worker.start(command(), 1.3)
        assert history.starts_by_job[JOB][-1].worker == "w0/2"

    def test_a_worker_that_is_down_begins_nothing(self):
        history = History()
        worker = RecordingWorker("w0", history, 0.1)
        worker.is_down = True
        assert worker.start(command(), 1.0)[0] == 503
        assert not history.starts_by_job

    def test_a_share_of_the_runs_fails(self):
        history = History()
        worker = RecordingWorker("w0", history, 0.1)
        worker.failing_share = 1.0
        worker.start(command(), 1.0)
        worker.advance(2.0)
        assert history.ends_by_run["w0/1", TASK, 1].how == "failed"

    def test_a_run_resumes_from_its_checkpoint(self):
        history = History()
        worker = RecordingWorker("w0", history, 0.1)
        spec = str(Payload(JOB, 2.0, 0.5))
        worker.start(command(spec=spec), 1.0)
        worker.advance(2.2)
        ((_, _, saved, _, _),) = worker.report(2.2)["running"]
        assert saved == f"{TASK}@1.000"
        worker.stop({"task": TASK, "attempt": 1, "fencing_token": 3})
        assert history.checkpoints_by_task[TASK] == {saved, f"{TASK}@1.200"}
        worker.start(command(2, spec, checkpoint=saved), 3.0)
        assert worker.runs[TASK] == (2, 4.0)

    def test_a_task_that_lasts_runs_until_it_is_stopped(self):
        worker = RecordingWorker("w0", History(), 0.1)
        worker.start(command(spec=str(Payload(JOB, float("inf")))), 1.0)
        worker.advance(8.9)
        assert TASK in worker.runs


class PoolRun:
    """Two workers that can be called."""

    def __init__(self) -> None:
        self.history = History()
        self.model = SiteStoreModel()
        self.pool = WorkerPool(
            "127.0.3.8", self.model, self.history, self.make_worker, lambda: 5.0, random.Random(1)
        )
        self.workers: list[RecordingWorker] = []

    def make_worker(self, name: str) -> RecordingWorker:
        self.workers.append(RecordingWorker(name, self.history, 60.0))
        return self.workers[-1]

    async def command(self, worker: int) -> int | None:
        """Send a start command with a lease of 4 s; return the status, None without an answer."""
        body = command(deadline_ms=round(self.workers[worker].clock_ms(5.0)) + 4000)
        url = f"http://127.0.3.8:{17100 + worker}/-/run-start"
        timeout = aiohttp.ClientTimeout(total=0.3)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                response = await session.post(url, data=msgspec.json.encode(body))
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return None

    def born(self) -> dict[str, int]:
        """Return the incarnations that the entries in the store show, by id."""
        return {
            key.removeprefix("servers/"): msgspec.json.decode(item.value)["born"]
            for key, item in self.model.items.items()
        }


def run_pool(scenario) -> None:
    async def start_run_stop() -> None:
        run = PoolRun()
        await run.pool.start(2)
        try:
            await scenario(run)
        finally:
            await run.pool.stop()

    asyncio.run(start_run_stop())


def worker_fault(kind: FaultKind, for_s: float, amount: float = 0.0) -> Fault:
    return Fault(kind, 0.0, for_s, workers=frozenset({0}), amount=amount)


class TestWorkerFaults:
    def test_a_crashed_worker_does_not_answer_and_comes_back_as_another_incarnation(self):
        async def scenario(run: PoolRun) -> None:
            assert await run.command(0) == 200
            crash = asyncio.create_task(run.pool.apply(worker_fault(FaultKind.CRASH, 0.5)))
            await asyncio.sleep(0.1)
            assert await run.command(0) is None
            assert await run.command(1) == 200
            await crash
            assert run.born() == {"w0": 2, "w1": 1}
            assert await run.command(0) == 200
            assert [str(each.how) for each in run.history.ends_by_run.values()] == ["crashed"]

        run_pool(scenario)

    def test_a_worker_that_vanishes_is_replaced_by_another(self):
        async def scenario(run: PoolRun) -> None:
            await run.pool.apply(worker_fault(FaultKind.VANISH, 0.1))
            assert run.born() == {"w1": 1, "w2": 1}
            assert await run.command(0) is None
            assert await run.command(2) == 200

        run_pool(scenario)

    def test_a_late_command_is_carried_out_without_an_answer(self):
        async def scenario() -> None:
            history = History()
            worker = RecordingWorker("w0", history, 0.1)
            worker.advance(1.0)
            clock = iter([1.0, *[3.5] * 10])
            app = make_site_worker_app(worker, lambda: next(clock))
            gate = FaultyWorker(app, worker, random.Random(1))
            gate.late_share, gate.late_s = 1.0, (0.2, 0.2)
            assert next(clock) == 1.0
            assert await call_late(gate) == []
            (begun,) = history.starts_by_job[JOB]
            assert (begun.arrived_s, begun.at_s) == (1.0, 3.5)

        asyncio.run(scenario())

    # Guards against a soak whose workers are cut off at one time at most, or for good.
    def test_a_worker_that_is_cut_off_runs_on_and_answers_again(self):
        async def scenario(run: PoolRun) -> None:
            assert await run.command(0) == 200
            cut = worker_fault(FaultKind.CUT, 0.8)
            cuts = asyncio.gather(run.pool.apply(cut), run.pool.apply(replace(cut, for_s=0.2)))
            await asyncio.sleep(0.4)
            assert await run.command(0) is None
            assert await run.command(1) == 200
            assert run.workers[0].runs
            await cuts
            assert await run.command(0) == 200
            assert run.born() == {"w0": 1, "w1": 1}
            assert {str(each.name) for each in run.history.disruptions.all} == {"w0"}

        run_pool(scenario)

    # Guards against entries of workers that are cut off from the store and are listed on and on.
    @pytest.mark.parametrize(("amount", "listed"), [(0, {"w0", "w1"}), (1, {"w1"})])
    def test_a_cut_from_the_store_removes_the_entry(self, monkeypatch, amount, listed):
        monkeypatch.setattr("tools.soak.pool.ENTRY_KEPT_S", 0.1)

        async def scenario(run: PoolRun) -> None:
            cut = asyncio.create_task(run.pool.apply(worker_fault(FaultKind.CUT, 0.4, amount)))
            await asyncio.sleep(0.25)
            assert set(run.born()) == listed
            await cut
            assert set(run.born()) == {"w0", "w1"}

        run_pool(scenario)

    # Guards against the entry of a process that has crashed while it was cut off.
    def test_the_end_of_a_cut_lists_no_worker_that_is_down(self, monkeypatch):
        monkeypatch.setattr("tools.soak.pool.ENTRY_KEPT_S", 0.1)

        async def scenario(run: PoolRun) -> None:
            crash = asyncio.create_task(run.pool.apply(worker_fault(FaultKind.CRASH, 0.8)))
            await run.pool.apply(worker_fault(FaultKind.CUT, 0.3, amount=1))
            assert set(run.born()) == {"w1"}
            assert await run.command(0) is None
            await crash
            assert run.born() == {"w0": 2, "w1": 1}

        run_pool(scenario)

    # Guards against a soak in which no owner learns of a restart while the worker is cut off.
    @pytest.mark.parametrize(("amount", "listed"), [(0, 2), (1, None)])
    def test_a_restart_behind_a_cut_is_listed_if_the_store_is_reached(
        self, monkeypatch, amount, listed
    ):
        monkeypatch.setattr("tools.soak.pool.ENTRY_KEPT_S", 0.1)

        async def scenario(run: PoolRun) -> None:
            cut = asyncio.create_task(run.pool.apply(worker_fault(FaultKind.CUT, 0.8, amount)))
            await asyncio.sleep(0.05)
            await run.pool.apply(worker_fault(FaultKind.CRASH, 0.3))
            assert run.born().get("w0") == listed
            assert await run.command(0) is None
            await cut
            assert run.born() == {"w0": 2, "w1": 1}

        run_pool(scenario)


class RestartedWorker:
    """A worker that is called late, and restarts before the calls are carried out."""

    def __init__(self) -> None:
        self.history = History()
        self.model = RecordingWorker("w0", self.history, 60.0)
        self.model.set_clock(1000.0, 1.0)
        app = make_site_worker_app(self.model, lambda: 1.0)
        self.gate = FaultyWorker(app, self.model, random.Random(1))
        self.gate.late_share, self.gate.late_s = 1.0, (0.2, 0.2)

    async def call(self, path: str, body: dict[str, object], **later: object) -> None:
        """Send a call; before it is carried out, restart the worker and set `later`."""
        call = asyncio.create_task(call_late(self.gate, path, body))
        await asyncio.sleep(0.05)
        assert self.gate.late_calls == 1
        self.model.crash(2)
        self.model.set_clock(10.0, 1.0)
        for name, value in later.items():
            setattr(self.model, name, value)
        assert await call == []


class TestCallsOfAFormerProcess:
    # Guards against a soak in which no call reaches the process that has restarted.
    def test_a_late_start_begins_a_run_with_the_longest_lease(self):
        async def scenario() -> None:
            worker = RestartedWorker()
            await worker.call("/-/run-start", command(deadline_ms=1_005_000))
            (begun,) = worker.history.starts_by_job[JOB]
            assert begun.worker == "w0/2"
            assert worker.model.lease_until_s == pytest.approx(1.0 + LONGEST_LEASE_S)

        asyncio.run(scenario())

    # Guards against a soak whose polls never reach the process that has restarted.
    def test_a_late_poll_renews_the_lease_and_acknowledges_ends(self):
        async def scenario() -> None:
            worker = RestartedWorker()
            body = {"fencing_token": 3, "last_seen": 7, "deadline_ms": 1_005_000}
            ends = [[1, TASK, 2, "stopped", ""], [8, TASK, 3, "stopped", ""]]
            await worker.call("/-/hold", body, ends=ends)
            assert worker.model.lease_until_s == pytest.approx(1.0 + LONGEST_LEASE_S)
            assert [end[0] for end in worker.model.ends] == [8]
            assert worker.model.token == 3

        asyncio.run(scenario())

    # Guards against a soak whose stops never reach the process that has restarted.
    def test_a_late_stop_refuses_later_starts(self):
        async def scenario() -> None:
            worker = RestartedWorker()
            await worker.call("/-/run-stop", command(5))
            assert worker.model.blocked == {TASK: 5}

        asyncio.run(scenario())

    # Guards against calls that a process without memory carries out while nothing runs there.
    @pytest.mark.parametrize("path", ["/-/run-start", "/-/run-stop", "/-/hold"])
    def test_a_process_that_is_down_carries_out_nothing(self, path):
        async def scenario() -> None:
            worker = RestartedWorker()
            body = command(deadline_ms=1_005_000, last_seen=0)
            await worker.call(path, body, is_down=True)
            assert not worker.history.starts_by_job
            assert (worker.model.token, worker.model.lease_until_ms) == (0, 0)

        asyncio.run(scenario())

    # Guards against findings that no owner can prevent.
    @pytest.mark.parametrize("former", ["stopped", "ended", "fenced"])
    def test_a_start_that_the_former_process_would_refuse_is_not_carried_out(self, former):
        async def scenario() -> None:
            worker = RestartedWorker()
            model, body = worker.model, command(deadline_ms=1_005_000)
            if former == "stopped":
                model.stop(body)
            elif former == "ended":
                model.start({**body, "attempt": 2}, 1.0)
                model.end_all("done")
            else:
                model.handle_poll({"fencing_token": 4, "last_seen": 0}, 1.0)
            begun = len(model.starts)
            await worker.call("/-/run-start", body)
            assert len(model.starts) == begun

        asyncio.run(scenario())

    # Guards against a worker that forgets what its last process but one was told to refuse.
    def test_what_was_to_be_refused_is_kept_over_several_restarts(self):
        model = RecordingWorker("w0", History(), 0.1)
        model.stop(command(5))
        model.crash(2)
        model.stop(command(4, fencing_token=1))
        model.crash(3)
        assert model.was_refused_before(command(5))
        assert model.was_refused_before(command(6, fencing_token=2))
        assert not model.was_refused_before(command(6))


async def call_late(
    gate: FaultyWorker, path: str = "/-/run-start", body: dict[str, object] | None = None
) -> list[object]:
    """Send a call through a gate, a start command if none is given; return what is answered."""
    sent: list[object] = []
    raw = msgspec.json.encode(command() if body is None else body)
    messages = [
        {"type": "http.disconnect"},
        {"type": "http.request", "body": raw, "more_body": False},
    ]

    async def receive():
        return messages.pop()

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.1"},
        "http_version": "1.1",
        "method": "POST",
        "path": path,
        "query_string": b"",
        "headers": [],
        "server": ("127.0.0.1", 1),
        "scheme": "http",
    }
    await gate(scope, receive, send)
    return sent


class StoreRun:
    """A store behind faults with two addresses, and calls of it."""

    def __init__(self) -> None:
        self.history = History()
        self.model: SiteStoreModel = RecordingStore(self.history, lambda: 5.0)
        app = make_site_store_app(self.model, lambda: 5.0)
        self.gate = FaultyStore(app, 9000, random.Random(1))
        self.server = SoakServer(self.gate, [("127.0.3.7", 9000), ("127.0.3.7", 9001)])

    async def put(self, node: int = 0, timeout_s: float = 20.0, key: str = JOB) -> int | None:
        """Write a key through a node's address; return the status, None without an answer."""
        body = {"puts": [{"key": f"{JOBS_PREFIX}{key}", "value": "MQ=="}]}
        url = f"http://127.0.3.7:{9000 + node}/-/kv-txn"
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                response = await session.post(url, data=msgspec.json.encode(body))
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return None

    def is_stored(self) -> bool:
        return JOB in self.history.stored_s_by_job

    async def until_stored(self) -> None:
        async with asyncio.timeout(20.0):
            while not self.is_stored():  # noqa: ASYNC110
                await asyncio.sleep(0.01)


def run_store(scenario) -> None:
    async def start_run_stop() -> None:
        run = StoreRun()
        await run.server.start()
        try:
            await scenario(run)
        finally:
            await run.server.stop()

    asyncio.run(start_run_stop())


class TestStoreFaults:
    def test_an_undisturbed_call_is_answered(self):
        async def scenario(run: StoreRun) -> None:
            assert await run.put() == 200
            assert run.is_stored()

        run_store(scenario)

    def test_a_refusal_concerns_its_nodes_and_has_no_effect(self):
        async def scenario(run: StoreRun) -> None:
            run.gate.active.add(Fault(FaultKind.REFUSE, 0.0, 1.0, frozenset({1}), 429))
            assert await run.put(1) == 429
            assert not run.is_stored()
            assert await run.put(0) == 200

        run_store(scenario)

    def test_a_lost_answer_follows_the_effect(self):
        async def scenario(run: StoreRun) -> None:
            run.gate.active.add(Fault(FaultKind.LOST, 0.0, 1.0, NODES, 1.0))
            call = asyncio.create_task(run.put())
            await run.until_stored()
            assert not call.done()
            call.cancel()

        run_store(scenario)

    def test_a_late_effect_comes_after_the_caller_has_gone(self):
        async def scenario(run: StoreRun) -> None:
            run.gate.active.add(Fault(FaultKind.LATE, 0.0, 1.0, NODES, 1.0, 0.5))
            assert await run.put(timeout_s=0.1) is None
            await run.until_stored()
            assert run.gate.late_calls == 0

        run_store(scenario)

    def test_writes_beyond_a_limit_are_refused(self):
        async def scenario(run: StoreRun) -> None:
            run.gate.active.add(Fault(FaultKind.LIMIT, 0.0, 1.0, NODES, 0.0))
            assert await run.put() == 429

        run_store(scenario)

    def test_unread_data_takes_effect_when_the_store_reads_again(self):
        async def scenario(run: StoreRun) -> None:
            run.server.stop_reading({9000})
            call = asyncio.create_task(run.put(0))
            assert await run.put(1, key="0" * 16) == 200
            assert not run.is_stored()
            run.server.read_again({9000})
            assert await call == 200
            assert run.is_stored()

        run_store(scenario)

    def test_a_reset_ends_open_calls(self):
        async def scenario(run: StoreRun) -> None:
            run.gate.active.add(Fault(FaultKind.LOST, 0.0, 1.0, NODES, 1.0))
            call = asyncio.create_task(run.put())
            await run.until_stored()
            run.server.reset({9000})
            assert await call is None

        run_store(scenario)


class ForgetfulStore:
    """An ASGI application that acknowledges some writes of jobs without carrying them out."""

    def __init__(self, app) -> None:
        self._app = app
        self._count = 0

    async def __call__(self, scope, receive, send) -> None:
        message = await receive()
        self._count += JOBS_PREFIX.encode() in message["body"] and scope["path"] == "/-/kv-txn"
        if self._count != 5:
            await self._app(scope, replay(message), send)
            return
        self._count += 1
        raw = b'{"revision":1}'
        headers = [(b"content-type", b"application/json"), (b"content-length", b"14")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": raw})


def replay(message):
    async def receive():
        return message

    return receive


class RepeatingWorker(RecordingWorker):
    """A worker that begins a task again once its end has been acknowledged."""

    has_repeated = False

    def handle_poll(self, body, now_s):
        answer = super().handle_poll(body, now_s)
        if self._history.acknowledged and not self.has_repeated:
            self.has_repeated = True
            _, task, number = min(self._history.acknowledged)
            job = self._history.sent_by_job[task.partition(".")[0]]
            repeated = RunStart(
                task, number + 1, self.incarnation, self._now_s, self._now_s, job.spec
            )
            self._history.add_start(repeated)
        return answer


class DeafWorker(RecordingWorker):
    """A worker that says that it stops tasks that last, and lets them run on."""

    def stop(self, body):
        _, ends_s = self.runs.get(body["task"], (0, 0.0))
        return (200, "") if ends_s == float("inf") else super().stop(body)


class DeceivedCallers(Callers):
    """Callers that read all answers 200 to the submissions of one job as 503."""

    denied = ""

    async def _send(self, method, node, job, key):
        status, raw = await super()._send(method, node, job, key)
        if method == "POST" and status == 200:
            self.denied = self.denied or job.job_id
            return (503 if job.job_id == self.denied else 200), raw
        return status, raw


class PlantedSoak(Soak):
    """A run in which each rule is broken."""

    def _make_store_app(self):
        return ForgetfulStore(super()._make_store_app())

    def _make_worker(self, name):
        kind = RepeatingWorker if name == "w0" else DeafWorker
        return kind(name, self._history, run_s=0.15)

    def _make_callers(self):
        return DeceivedCallers(
            self._rng, self._nodes, self._organisations, self._history, self._now_s
        )


class TestShortRun:
    # Guards against refused jobs that run, second runs, lost jobs and runs that nobody asked for,
    # with real processes.
    # The plans of these seeds have all kinds of faults of workers near refusals to the owner, and
    # workers that are cut off soon after a restart. That of 1683 has lost answers and refusals of
    # the store, pauses and changes of the configuration.
    @pytest.mark.parametrize("seed", [1259, 1683, 2337])
    def test_no_rule_is_broken(self, tmp_path, seed):
        options = SoakOptions(seed=seed, length_s=12.0, nodes=3, tree=ROOT, folder=tmp_path)
        result = asyncio.run(Soak(options).run())
        assert result.violations == ()
        assert result.untrue == ()
        assert result.answers["200"] > 0
        assert result.cancelled > 0

    # Guards against checks that real processes can't fail.
    def test_planted_faults_are_found(self, tmp_path, monkeypatch):
        # Among some 80 jobs, the usual share may draw none whose tasks last.
        monkeypatch.setattr("tools.soak.callers.LASTING_SHARE", 0.3)
        options = SoakOptions(seed=1, length_s=5.0, nodes=2, tree=ROOT, folder=tmp_path)
        result = asyncio.run(PlantedSoak(options, plan=[]).run())
        rules = {each.rule for each in result.violations}
        assert rules == {"REFUSED", "TWICE", "LOST", "UNASKED"}
        assert {each.rule for each in result.untrue} == {"UNTRUE"}


class TestCommandLine:
    # Guards against node processes that outlive a soak which is told to stop.
    def test_sigterm_ends_all_processes(self, tmp_path):
        command = [sys.executable, "-m", "tools.soak", "--nodes", "1", "--for", "60"]
        soak = subprocess.Popen([*command, "--keep", str(tmp_path)], cwd=ROOT)
        nodes = wait_for_children(soak.pid)
        soak.terminate()
        assert soak.wait(60.0) == EXIT_COULD_NOT_RUN
        assert nodes
        assert not any(node.is_running() for node in nodes)

    def test_too_many_nodes_are_refused(self, capsys):
        assert main(nodes=33) == EXIT_COULD_NOT_RUN
        assert "--nodes" in capsys.readouterr().err


def wait_for_children(pid: int) -> list[psutil.Process]:
    deadline_s = time.monotonic() + 60.0
    while time.monotonic() < deadline_s:
        children = psutil.Process(pid).children()
        if children:
            return children
        time.sleep(0.05)
    return []
