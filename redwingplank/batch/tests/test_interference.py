"""Tests of the search for subjects that slow each other down, and of what it changes."""

import random

import msgspec
import pytest

from redwingplank.batch.emulator import EmulatedCell
from redwingplank.batch.interference import FOUND_CERTAINTY, FOUND_FACTOR, _is_found
from redwingplank.batch.model import JobState
from redwingplank.batch.slowdown import SlowdownRegression, make_sample
from redwingplank.batch.tests.cells import make_cell, make_config, make_job, make_worker, step
from redwingplank.batch.tests.histories import History

A_B = {("a", "b"): 1.8, ("b", "a"): 1.8}


def run_history(seed: int, count: int = 1200, **values) -> History:
    history = History(seed, **values)
    history.run(count)
    return history


class TestPairs:
    """Failure: subjects that slow each other down are not told apart from those that do not."""

    @pytest.mark.parametrize(
        ("values", "half_within"),
        [
            ({}, 160),
            ({"outliers": 0.03}, 160),
            ({"load_effect": 1.0}, 160),
            ({"subject_count": 2}, 200),
        ],
        ids=["plain", "outliers", "load", "nothing else runs"],
    )
    def test_a_pair_is_found_in_both_directions_and_nothing_else(self, values, half_within):
        found = [run_history(seed, factors=A_B, **values).found_after for seed in range(8)]
        assert all(pairs.keys() <= A_B.keys() for pairs in found)
        assert sum(len(pairs) for pairs in found) >= 12
        after = sorted(count for pairs in found for count in pairs.values())
        assert after[len(after) // 2] <= half_within

    def test_one_of_three_at_fault_is_named(self):
        at_fault = {("a", "b"): 1.8, ("c", "b"): 1.8}
        found = [
            run_history(seed, factors=at_fault, subject_count=3).found_after for seed in range(8)
        ]
        assert all(pairs.keys() <= at_fault.keys() for pairs in found)
        assert sum(len(pairs) for pairs in found) >= 12

    def test_a_subject_that_changes_is_cleared(self):
        history = run_history(3, factors={("a", "b"): 2.0}, subject_count=3)
        assert list(history.interference.pairs) == [("a", "b")]
        history.factors.clear()
        before = history.samples_by_subject["a"]
        while history.interference.pair_count:
            history.run(10)
            assert history.samples_by_subject["a"] - before < 160
        assert history.events[-1][0] == "interference_cleared"
        assert history.events[-1][1]["reason"] == "contradicted"


class TestNoPairs:
    """Failure: subjects are kept apart that do not slow each other down."""

    def run_shape(self, seed: int, shape: dict) -> History:
        return run_history(seed, 160, **{"subject_count": 3, **shape})

    def test_none_is_found_in_random_histories(self):
        shapes = [
            {"subject_count": 5},
            {"outliers": 0.03},
            {"noise": 0.5},
            {"step_noise": 0.9},
            {"width": (1, 1)},
            {"load_effect": 1.0},
            {"subject_count": 2},
            {"worker_count": 6},
        ]
        false = [
            (seed, history.found_after)
            for seed in range(1000)
            if (history := self.run_shape(seed, shapes[seed % len(shapes)])).found_after
        ]
        assert false == []

    @pytest.mark.parametrize("slowed", [1, 3])
    def test_workers_that_turn_slow_under_one_neighbour_are_no_pair(self, slowed):
        for seed in range(8):
            history = run_history(seed, 400)
            for worker in history.workers[:slowed]:
                history.slowness[worker.id] *= 3.0
                history.fixed[worker.id] = ["b"]
            history.run(600)
            assert history.found_after == {}

    def test_a_subject_that_is_slow_on_one_worker_is_no_pair_there(self):
        regression, rng = SlowdownRegression(), random.Random(0)
        for _ in range(400):
            worker = rng.randrange(4)
            is_beside = rng.random() < (0.7 if worker == 0 else 0.1)
            shares = {"b": 0.3} if is_beside else {}
            value = rng.gauss(0.7 if worker == 0 and is_beside else 0.0, 0.1)
            regression.add(make_sample(value, shares, 0.1), shares, f"w{worker}", "k")
        estimate = regression.estimate()["b"]
        assert estimate.certainty > FOUND_CERTAINTY and estimate.factor > FOUND_FACTOR
        assert not _is_found(estimate)


class TestNextOwner:
    """Failure: a new owner places pairs together again, or cannot read what is stored."""

    def test_begins_with_the_judged_pairs(self):
        history = run_history(3, factors={("a", "b"): 2.0}, subject_count=3)
        other = History(0)
        other.speeds.restore(history.speeds.encode())
        assert other.interference.pairs == pytest.approx(history.interference.pairs, abs=0.01)

    def test_reads_what_an_earlier_version_wrote(self):
        stored = msgspec.to_builtins(msgspec.json.decode(History(0).speeds.encode()))
        del stored["pairs"]
        history = History(0)
        history.speeds.restore(msgspec.json.encode(stored))
        assert history.interference.pair_count == 0

    def test_an_unconfirmed_pair_ends(self):
        history = run_history(3, factors={("a", "b"): 2.0}, subject_count=3)
        for worker in history.workers:
            history.fixed[worker.id] = []
        history.run(200)
        assert history.interference.pair_count == 1
        history.now_s += 400.0
        history.run(100)
        assert history.interference.pair_count == 0
        assert history.events[-1][1]["reason"] == "not_confirmed"

    def test_what_is_stored_is_bounded(self):
        history = History(0)
        names = [f"{number:0200}" for number in range(100)]
        rows = [(name, name, 1.0, 0.5, 0.0) for name in names]
        history.speeds.restore(msgspec.json.encode({"pairs": rows}))
        assert len(history.speeds.encode()) < 32_000


def slow_together(worker, run):
    """Slow down the tasks of each of two queues on workers that run the other one."""
    queue = run.task.job_id[0]
    others = {other.task.job_id[0] for other in worker.runs.values()} - {queue}
    return 2.0 if others & {"p", "e"} and queue in "pe" else 1.0


class TestTracking:
    """Failure: runs that are gone still count as neighbours, or the tracking grows."""

    def test_only_what_runs_is_tracked(self):
        cell = make_cell(4, seed=3)
        cell.lost_command_fraction = 0.1
        for number in range(40):
            cell.submit(make_job(f"j{number}", step(4, is_gang=number % 5 == 0), at_s=cell.now_s))
            cell.run_for(0.3)
            if number % 9 == 4:
                cell.crash(f"w{number % 4}")
            if number == 20:
                cell.replace_owner()
        neighbours = cell.owner.state.interference.neighbours
        runs = {run for job in cell.owner.state.jobs_by_id.values() for run in job.runs()}
        assert neighbours._tracked_by_run.keys() == runs and runs
        cell.run_for(60.0)
        assert neighbours._tracked_by_run == neighbours._loads_by_worker == {}

    def test_a_run_is_exposed_to_what_ran_meanwhile_only(self):
        cell = make_cell(1)
        for name, estimate_s in (("e", 1.0), ("p", 3.0)):
            queue = "extract" if name == "e" else "proof"
            cell.submit(make_job(name, step(1, cpu=2000, estimate_s=estimate_s), queue=queue))
        cell.run_for(2.5)
        (run,) = cell.owner.state.jobs_by_id["p"].runs()
        exposure = cell.owner.state.interference.neighbours.exposure(run, run.started_s + 4.0)
        assert exposure.share_by_subject == {"extract": pytest.approx(0.25 / 4, rel=0.4)}


class TestPlacement:
    """Failure: pairs are placed together although there is room, or wait where there is none."""

    def play(self, workers: int, rounds: int) -> EmulatedCell:
        hosts = [make_worker(number) for number in range(workers)]
        cell = EmulatedCell(make_config(), hosts, 1, slowdown=slow_together)
        cell.run_for(1.0)
        self.beside = self.starts = 0
        cell.start_listeners.append(self.count)
        for number in range(rounds):
            for queue in ("proof", "extract"):
                name = f"{queue[0]}{number}"
                cell.submit(make_job(name, step(3, cpu=2500), queue=queue, at_s=cell.now_s))
            cell.run_for(0.5)
        return cell

    def count(self, worker, task):
        self.starts += 1
        queues = {run.task.job_id[0] for run in worker.runs.values()}
        self.beside += len(queues) > 1

    def test_pairs_are_kept_apart_where_there_is_room(self):
        cell = self.play(8, 100)
        assert set(cell.owner.state.interference.pairs) >= {("proof", "extract")}
        self.beside = self.starts = 0
        for number in range(100, 130):
            for queue in ("proof", "extract"):
                name = f"{queue[0]}{number}"
                cell.submit(make_job(name, step(3, cpu=2500), queue=queue, at_s=cell.now_s))
            cell.run_for(0.5)
        assert self.beside < 0.15 * self.starts

    def test_nothing_waits_where_there_is_no_room(self):
        stored = {"pairs": [("proof", "extract", 5.0, 0.3, 0.0), ("extract", "proof", 5, 0.3, 0)]}
        cell = make_cell(2)
        cell.owner.state.speeds.restore(msgspec.json.encode(stored))
        cell.submit(make_job("e", step(2, cpu=2500, estimate_s=9.0), queue="extract"))
        cell.run_for(0.5)
        cell.submit(make_job("p", step(4, cpu=2500, estimate_s=1.0), at_s=cell.now_s))
        cell.run_for(0.5)
        assert sum(len(worker.runs) for worker in cell.workers.values()) == 6
        cell.run_for(2.0)
        assert cell.state("p") is JobState.COMPLETED
        assert cell.violations == []
