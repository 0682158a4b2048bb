"""Tests of the soak: its checks, its faults, and a short run against real processes."""

import asyncio
import random
import subprocess
import sys
import time
from pathlib import Path

import aiohttp
import msgspec
import psutil
import pytest

from redwingplank.cell.keys import CANCELS_PREFIX, JOBS_PREFIX
from redwingplank.standin.site_store import SiteStoreModel, make_site_store_app
from tools.soak.__main__ import EXIT_COULD_NOT_RUN, main
from tools.soak.callers import Callers
from tools.soak.checks import count_observations, find_untrue_refusals, find_violations
from tools.soak.history import Attempt, History, RunEnd, RunStart
from tools.soak.plan import Fault, FaultKind, make_plan
from tools.soak.platform import FaultyStore, RecordingStore, SoakServer
from tools.soak.run import Soak, SoakOptions
from tools.soak.workers import RecordingWorker

ROOT = Path(__file__).resolve().parents[2]
JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
NODES = frozenset({0, 1})


def attempt(status: int | None, sent_s: float = 1.0, method: str = "POST") -> Attempt:
    return Attempt(JOB, method, "n0", sent_s, sent_s + 0.1, status)


def start(at_s: float, worker: str = "w0", number: int = 1) -> RunStart:
    return RunStart(TASK, number, worker, at_s)


def rules(history: History) -> list[str]:
    return [violation.rule for violation in find_violations(history)]


def history_of(*statuses: int | None) -> History:
    """Return the history of a job that was submitted, stored and run."""
    history = History()
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
            worker.handle_poll({"last_seen": worker.end_count})
        assert history.acknowledged == {("w0", f"{JOB}.0.0.0", 1)}
        ends = [(end.how, end.at_s) for end in history.ends_by_run.values()]
        assert ends == [("done", 0.1), ("done", 1.1)]


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


class TestPlan:
    def test_a_seed_gives_the_same_plan_each_time(self):
        assert make_plan(7, 20.0, 5) == make_plan(7, 20.0, 5) != make_plan(8, 20.0, 5)

    def test_each_kind_of_fault_is_drawn(self):
        drawn = {fault.kind for seed in range(40) for fault in make_plan(seed, 20.0, 5)}
        assert drawn == set(FaultKind)


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

    def handle_poll(self, body):
        answer = super().handle_poll(body)
        if self._history.acknowledged and not self.has_repeated:
            self.has_repeated = True
            _, task, number = min(self._history.acknowledged)
            repeated = RunStart(task, number + 1, self._name, self._now_s)
            self._history.add_start(repeated)
        return answer


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
        if name != "w0":
            return super()._make_worker(name)
        return RepeatingWorker(name, self._history, run_s=0.15)

    def _make_callers(self):
        return DeceivedCallers(
            self._rng, self._nodes, self._organisations, self._history, self._now_s
        )


class TestShortRun:
    # Guards against refused jobs that run, second runs and lost jobs, with real processes.
    def test_no_rule_is_broken(self, tmp_path):
        options = SoakOptions(seed=4, length_s=12.0, nodes=3, tree=ROOT, folder=tmp_path)
        result = asyncio.run(Soak(options).run())
        assert result.violations == ()
        assert result.untrue == ()
        assert result.answers["200"] > 0

    # Guards against checks that real processes can't fail.
    def test_planted_faults_are_found(self, tmp_path):
        options = SoakOptions(seed=1, length_s=5.0, nodes=2, tree=ROOT, folder=tmp_path)
        result = asyncio.run(PlantedSoak(options, plan=[]).run())
        assert {each.rule for each in result.violations} == {"REFUSED", "TWICE", "LOST"}
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
