"""Tests of the run time statistics."""

import math
import random

import msgspec
import pytest

from redwingplank.batch.speeds import Speeds
from redwingplank.batch.tests.cells import make_worker, step
from redwingplank.core import UndecodableError


def make_speeds() -> Speeds:
    return Speeds(remote_factor=2.0)


class TestWorkers:
    def test_a_slow_worker_is_told_from_a_fast_one_of_its_kind(self):
        speeds, slow, fast = make_speeds(), make_worker(1).entry, make_worker(2).entry
        for _ in range(12):
            speeds.record_run_time(step(estimate_s=1.0), "proof", slow, 2.2)
            speeds.record_run_time(step(estimate_s=1.0), "proof", fast, 1.0)
        assert speeds.worker_factor(slow) > 1.7 * speeds.worker_factor(fast)

    def test_another_life_of_a_worker_begins_as_an_unknown_one(self):
        speeds, worker = make_speeds(), make_worker(1)
        for _ in range(12):
            speeds.record_run_time(step(estimate_s=1.0), "proof", worker.entry, 4.0)
        known = speeds.worker_factor(worker.entry)
        worker.crash(2)
        assert speeds.worker_factor(worker.entry) != known

    def test_a_task_far_from_its_data_does_not_make_a_worker_slow(self):
        speeds, entry = make_speeds(), make_worker(1).entry
        near = step(estimate_s=1.0, data_rack=entry.rack)
        far = step(estimate_s=1.0, data_rack="elsewhere")
        for _ in range(12):
            speeds.record_run_time(far, "proof", entry, 2.0)
        assert speeds.worker_factor(entry) == pytest.approx(1.0)
        ratio = speeds.expected_s(far, "proof", entry) / speeds.expected_s(near, "proof", entry)
        assert ratio == pytest.approx(2.0)


class TestNextOwner:
    def test_begins_with_what_was_learned(self):
        speeds, entry = make_speeds(), make_worker(1).entry
        speeds.record_run_time(step(estimate_s=1.0), "proof", entry, 3.0)
        other = make_speeds()
        other.restore(speeds.encode())
        assert other.worker_factor(entry) == pytest.approx(speeds.worker_factor(entry), abs=1e-3)
        assert other.workers_known == 1

    def test_takes_nothing_that_it_cannot_read(self):
        speeds = make_speeds()
        with pytest.raises(UndecodableError):
            speeds.restore(b"nonsense")
        assert speeds.workers_known == 0

    def test_a_stored_mean_of_zero_stays_usable(self):
        entry = make_worker(1, kind="k").entry
        stored = {"by_kind": {"k": (0.0, 9000)}, "by_subject": {"proof": (0.0, 9000)}}
        speeds = make_speeds()
        speeds.restore(msgspec.json.encode(stored))
        speeds.record_run_time(step(estimate_s=1.0), "proof", entry, 1.0)
        assert speeds.worker_factor(entry) > 0.0
        assert speeds.expected_s(step(estimate_s=1.0), "proof") > 0.0


class TestManySamples:
    """Pattern: thousands of tasks with scattered run times, on two kinds of workers."""

    SLOWNESS_BY_KIND = {"fast": 0.7, "slow": 1.7}

    def learn(self, count: int) -> Speeds:
        rng = random.Random(0)
        speeds = make_speeds()
        workers = [
            make_worker(number, kind="slow" if number % 3 == 0 else "fast") for number in range(60)
        ]
        for _ in range(count):
            entry = rng.choice(workers).entry
            measured_s = self.SLOWNESS_BY_KIND[entry.kind] * rng.lognormvariate(0.0, 0.6)
            queue = rng.choice(("proof", "proof", "extract"))
            speeds.record_run_time(step(estimate_s=1.0), queue, entry, measured_s)
        return speeds

    def test_expected_run_times_do_not_drift(self):
        true_mean_s = 1.03 * math.exp(0.6**2 / 2)
        for count in (1_000, 10_000, 30_000):
            expected_s = self.learn(count).expected_s(step(estimate_s=1.0), "proof")
            assert true_mean_s / 2 < expected_s < true_mean_s * 2

    def test_slow_kinds_stay_slower(self):
        speeds = self.learn(30_000)
        slow, fast = make_worker(100, kind="slow").entry, make_worker(101, kind="fast").entry
        assert speeds.worker_factor(slow) > 1.5 * speeds.worker_factor(fast)
