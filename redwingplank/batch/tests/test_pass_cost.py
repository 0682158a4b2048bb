"""Tests that passes cost little, and that they decide the same as the plain computation."""

import heapq
import random
import zlib
from collections import Counter
from dataclasses import replace
from typing import Any

import pytest

from redwingplank.batch import emulator, overload, owner
from redwingplank.batch.emulated_worker import Fault
from redwingplank.batch.emulator import EmulatedCell
from redwingplank.batch.entities import Step
from redwingplank.batch.model import (
    AdvicePolicy,
    Amounts,
    JobSpec,
    PollReport,
    QueuePolicy,
    StepKey,
    StepSpec,
)
from redwingplank.batch.owner import JobOwner
from redwingplank.batch.placement import EligibleWorkers, Placement
from redwingplank.batch.score_cache import ScoreCache
from redwingplank.batch.speeds import Speeds
from redwingplank.batch.starter import Starter, _OpenStep, _sort_key
from redwingplank.batch.tests.cells import make_config, make_job, make_worker, step
from redwingplank.batch.tickets import MAX_OPEN_CALLS, Tickets

ADVISED = QueuePolicy("a", "h", "/a/", "render", 0, 4, 1.5, 0.3, AdvicePolicy(0.03, 0.001, 0.6))
PLAIN = QueuePolicy("p", "h", "/p/", "render", 2, 4, 2.2, 1.2)


def rank_all_steps(starter: Starter, now_s: float) -> list[_OpenStep]:
    """Rank all open steps with startable tasks, also those for which there is no room."""
    ranked = []
    for each in starter._state.open_steps.values():
        queue = starter._state.queue_of(each.job)
        if queue is None or not each.has_startable_task(now_s):
            continue
        eligible = starter._placement.find_eligible_workers(queue.service, now_s)
        rank = starter._rank(each, now_s)
        may_fit = eligible.most_free.holds(each.spec.reserved)
        ranked.append(_OpenStep(rank, each.key, each, queue, eligible, may_fit))
    return sorted(ranked, key=_sort_key)


def select_among_all(
    placement: Placement, eligible: EligibleWorkers, each: Step, limit: int, now_s: float
) -> tuple[str, ...]:
    """Return the workers to name in a call for advice, from the sort keys of all workers."""
    best = heapq.nsmallest(
        limit,
        (
            (
                not placement.fits(worker, each, now_s),
                worker.id not in each.tickets_by_worker,
                placement.score(worker, each),
                worker.id,
            )
            for worker in eligible.workers
            if placement.meets_requirements(worker, each)
            and worker.id not in each.refused_workers
            and not placement.is_at_step_limit(worker, each)
        ),
    )
    return tuple(key[-1] for key in best)


def patch_plain(patch: pytest.MonkeyPatch) -> None:
    """Plan in each tick, examine every step and worker, and compute each score anew."""
    tick = JobOwner.tick

    def tick_with_pass(self: JobOwner, now_s: float, now_unix_s: float) -> Any:
        self.state.needs_pass = True
        return tick(self, now_s, now_unix_s)

    def may_request(
        self: Tickets, each: Step, eligible: EligibleWorkers, now_s: float, *, may_fit: bool
    ) -> bool:
        if each.is_advice_open or self._open_calls >= MAX_OPEN_CALLS:
            return False
        useful = [w for w in eligible.workers if w.id not in each.refused_workers]
        is_of_use = may_fit and any(self._placement.fits(w, each, now_s) for w in useful)
        return is_of_use or not each.tickets_by_worker

    patch.setattr(JobOwner, "tick", tick_with_pass)
    patch.setattr(Tickets, "may_request", may_request)
    patch.setattr(Starter, "_rank_open_steps", rank_all_steps)
    patch.setattr(Placement, "select_for_advice", select_among_all)
    patch.setattr(EligibleWorkers, "select_with_free_cpu", lambda self, _: self.workers)
    patch.setattr(ScoreCache, "scorer", lambda self, each: lambda worker: self._score(worker, each))


def random_step(rng: random.Random, number: int) -> StepSpec:
    # The emulator ends the tasks of a gang one by one, so no step may depend on a gang.
    is_gang = number == 1 and rng.random() < 0.3
    return StepSpec(
        rng.randint(1, 4 if is_gang else 10),
        Amounts(rng.choice((1000, 2500, 4000, 7000)), rng.choice((500, 6000)), rng.randint(0, 1)),
        rng.uniform(0.1, 1.2),
        (number - 1,) if number else (),
        saves=rng.random() < 0.3,
        is_gang=is_gang,
        same_rack=rng.random() < 0.5,
        required_label=rng.choice(("", "", "", "x")),
        data_rack=rng.choice(("", "r1")),
        max_per_worker=rng.choice((0, 0, 0, 1)),
        may_copy=rng.random() < 0.3,
        image=rng.choice(("", "i", "j")),
        uses_spare_cpu=rng.random() < 0.1,
    )


def random_job(rng: random.Random, job_id: str, now_s: float) -> JobSpec:
    if rng.random() < 0.05:
        serving = step(2, is_lasting=True, image="s", target_ms=20.0)
        return make_job(job_id, serving, queue="p", at_s=now_s)
    steps = [random_step(rng, number) for number in range(rng.randint(1, 2))]
    return make_job(job_id, *steps, queue=rng.choice(("a", "a", "p")), at_s=now_s)


def disturb(rng: random.Random, cell: EmulatedCell) -> None:
    """Let something fail that makes tasks or workers wait for a time."""
    worker = rng.choice(list(cell.workers.values()))
    kind = rng.randrange(8)
    if kind < 2:
        cell.crash(worker.entry.worker_id)
    elif kind < 5:
        worker.faults.add(rng.choice((Fault.CUT, Fault.HANG, Fault.FAIL_ALL)))
    elif kind < 7:
        for each in cell.workers.values():
            each.faults.clear()
    else:
        cell.replace_owner()


def run_random_cell(seed: int, patch: pytest.MonkeyPatch) -> list[Any]:
    """Return all decisions that were made in a random cell, in order."""
    rng = random.Random(seed)
    decisions: list[Any] = []

    def is_allowed(key: StepKey, worker_id: str) -> bool:
        decisions.append((key, worker_id))
        return zlib.crc32(f"{key}{worker_id}".encode()) % 3 != 0

    def record(event: str, **fields: Any) -> None:
        decisions.append((event, fields))

    capacities = (Amounts(8000, 16000, 0), Amounts(16000, 32000, 2))
    workers = [
        make_worker(number, rng.choice(capacities), rng.choice("abc"), rng.choice("xyz"))
        for number in range(rng.randint(6, 40))
    ]
    patch.setattr(emulator, "_ignore", record)
    cell = EmulatedCell(make_config(ADVISED, PLAIN), workers, seed, is_allowed=is_allowed)
    cell.lost_command_fraction = rng.choice((0.0, 0.05))
    rate_per_s = rng.choice((0.3, 0.5, 0.9)) * len(workers)
    for _ in range(100):
        if rng.random() < rate_per_s * 0.05:
            cell.submit(random_job(rng, f"j{len(cell.specs_by_id)}", cell.now_s))
        if rng.random() < 0.05:
            disturb(rng, cell)
        cell.run_for(0.05)
        decisions.append(("time", cell.now_s))
    assert not cell.violations
    return decisions


class TestSameDecisions:
    """Passes that are left out, and caches, must not change any decision.

    Workers crash, are cut off, fail tasks and lose commands; owners change; tickets expire.
    """

    @pytest.mark.parametrize("seed", range(32))
    def test_decisions_equal_those_of_the_plain_computation(
        self, seed: int, monkeypatch: pytest.MonkeyPatch
    ):
        monkeypatch.setattr(owner, "MAX_PASS_INTERVAL_S", float("inf"))
        with monkeypatch.context() as patch:
            decisions = run_random_cell(seed, patch)
        with monkeypatch.context() as patch:
            patch_plain(patch)
            plain = run_random_cell(seed, patch)
        assert sum(each[0] == "start_planned" for each in plain) > 20
        for made, expected in zip(decisions, plain, strict=False):
            assert made == expected
        assert len(decisions) == len(plain)


class TestManyWaitingTasks:
    """A thousand waiting tasks at full workers must not cost a scoring for each of them.

    The counts are bounded, not the times: each scoring takes some microseconds.
    """

    WORKERS = 100
    STEPS = 50

    def make_cell(self) -> EmulatedCell:
        workers = [make_worker(number) for number in range(self.WORKERS)]
        cell = EmulatedCell(make_config(ADVISED, PLAIN), workers)
        cell.run_for(1.0)
        full = step(4 * self.WORKERS, cpu=2000, estimate_s=60.0)
        cell.submit(make_job("full", full, queue="p", at_s=cell.now_s))
        cell.run_for(1.0)
        for number in range(self.STEPS):
            waits = step(20, cpu=2000 + number)
            cell.submit(make_job(f"waits-{number}", waits, queue="a", at_s=cell.now_s))
        cell.run_for(1.0)
        return cell

    def count_calls(self, cell: EmulatedCell, patch: pytest.MonkeyPatch) -> Counter[str]:
        """Return how often one tick checks, scores and examines workers and steps."""
        calls: Counter[str] = Counter()

        def count(owner_type: type, name: str) -> None:
            method = getattr(owner_type, name)

            def counted(*arguments: Any, **named: Any) -> Any:
                calls[name] += 1
                return method(*arguments, **named)

            patch.setattr(owner_type, name, counted)

        count(Placement, "score")
        count(Placement, "fits")
        count(Step, "find_startable_tasks")
        count(Step, "has_startable_task")
        count(Starter, "plan_starts")
        cell.owner.tick(cell.now_s, cell.now_s)
        return calls

    def test_a_pass_examines_no_step_where_nothing_fits(self, monkeypatch: pytest.MonkeyPatch):
        cell = self.make_cell()
        cell.owner.state.needs_pass = True
        assert len(cell.owner.state.open_steps) >= self.STEPS
        assert self.count_calls(cell, monkeypatch) == {"plan_starts": 1}

    def test_freed_capacity_costs_one_scoring_of_each_worker(self, monkeypatch: pytest.MonkeyPatch):
        cell = self.make_cell()
        for worker in list(cell.owner.state.workers_by_id.values())[:3]:
            for run in list(worker.runs_by_key.values()):
                cell.owner.state.remove_run(run, cell.now_s)
        calls = self.count_calls(cell, monkeypatch)
        assert calls["score"] <= self.WORKERS + 3 * 4 * 2
        assert calls["fits"] <= 20 * self.STEPS

    def test_a_tick_without_a_change_plans_nothing(self, monkeypatch: pytest.MonkeyPatch):
        cell = self.make_cell()
        cell.owner.state.needs_pass = True
        cell.owner.tick(cell.now_s, cell.now_s)
        assert self.count_calls(cell, monkeypatch) == {}


class TestJobOfManySteps:
    STEPS = 500

    def count_looks(self, patch: pytest.MonkeyPatch, step_count: int) -> int:
        """Return how often the first pass over a job looks at one of its steps as a whole job."""
        looks = 0

        def count_expected(self: Speeds, *arguments: Any, wrapped=Speeds.expected_s) -> float:
            nonlocal looks
            looks += 1
            return wrapped(self, *arguments)

        def count_core_s(spec: StepSpec, wrapped=overload._task_core_s) -> float:
            nonlocal looks
            looks += 1
            return wrapped(spec)

        cell = EmulatedCell(make_config(), [make_worker(number) for number in range(2)])
        cell.run_for(1.0)
        cell.owner.submit(make_job("fill", step(32, 1000, 60.0)), cell.now_s, cell.now_s)
        cell.run_for(1.0)
        many = make_job("many", *[step(1, 1000, 0.9)] * step_count, queue="extract")
        cell.owner.submit(many, cell.now_s, cell.now_s)
        with patch.context() as patched:
            patched.setattr(Speeds, "expected_s", count_expected)
            patched.setattr(overload, "_task_core_s", count_core_s)
            cell.owner.state.needs_pass = True
            cell.owner._overload._updated_s = float("-inf")
            cell.owner._overload._overloaded.add("render")
            cell.owner.tick(cell.now_s, cell.now_s)
        return looks

    # Guards against an owner whose pass over one job costs the square of its steps, and lasts for
    # longer than its lease; so does that of each next owner.
    def test_costs_a_pass_in_proportion_to_its_steps(self, monkeypatch: pytest.MonkeyPatch):
        few = self.count_looks(monkeypatch, self.STEPS)
        many = self.count_looks(monkeypatch, 4 * self.STEPS)
        assert few > self.STEPS
        assert many < 5 * few


class TestRequestsOfPasses:
    """Tasks must not wait for the next change when a worker or a task can be used again."""

    def make_idle_cell(self) -> EmulatedCell:
        cell = EmulatedCell(make_config(), [make_worker(0)])
        cell.run_for(1.0)
        cell.owner.tick(cell.now_s, cell.now_s)
        cell.owner.state.needs_pass = False
        return cell

    def test_a_restart_that_was_seen_in_the_list_first(self):
        cell = self.make_idle_cell()
        state, worker = cell.owner.state, cell.owner.state.workers_by_id["w0"]
        cell.owner.list_workers([replace(worker.entry, born_ms=2)], cell.now_s)
        cell.owner.tick(cell.now_s, cell.now_s)
        assert not state.needs_pass
        sent_s = cell.now_s + 0.1
        cell.owner.apply_report(worker, PollReport(1, 2, (), ()), sent_s, sent_s)
        assert state.needs_pass

    def test_every_lease_of_an_unconfirmed_host_has_expired(self):
        cell = self.make_idle_cell()
        cell.owner.state.unconfirmed_hosts["gone"] = cell.now_s
        cell.owner._watchdog.check(cell.now_s)
        assert cell.owner.state.needs_pass

    def test_a_suspect_that_waits_for_a_worker_without_other_starts(self):
        cell = self.make_idle_cell()
        cell.owner.submit(make_job("j", step(1)), cell.now_s, cell.now_s)
        (waiting,) = cell.owner.state.open_steps.values()
        waiting.tasks[0].suspicions = 2
        cell.owner.state.workers_by_id["w0"].last_start_s = cell.now_s
        assert not cell.owner.tick(cell.now_s, cell.now_s).starts
        assert cell.owner.state.needs_pass
