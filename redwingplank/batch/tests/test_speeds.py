"""What is learned of how long tasks take."""

import msgspec
import pytest

from redwingplank.batch.speeds import Speeds
from redwingplank.batch.tests.cells import make_worker, step


def make_speeds() -> Speeds:
    return Speeds(remote_factor=2.0)


class TestWorkers:
    def test_a_slow_worker_is_told_from_a_fast_one_of_its_kind(self):
        speeds, slow, fast = make_speeds(), make_worker(1).entry, make_worker(2).entry
        for _ in range(12):
            speeds.record_run_time(step(estimate_s=1.0), "proof", slow, 2.2)
            speeds.record_run_time(step(estimate_s=1.0), "proof", fast, 1.0)
        assert speeds.factor(slow) > 1.7 * speeds.factor(fast)

    def test_another_life_of_a_worker_begins_as_an_unknown_one(self):
        speeds, worker = make_speeds(), make_worker(1)
        for _ in range(12):
            speeds.record_run_time(step(estimate_s=1.0), "proof", worker.entry, 4.0)
        known = speeds.factor(worker.entry)
        worker.crash(2)
        assert speeds.factor(worker.entry) != known

    def test_a_task_far_from_its_data_does_not_make_a_worker_slow(self):
        speeds, entry = make_speeds(), make_worker(1).entry
        near = step(estimate_s=1.0, data_rack=entry.rack)
        far = step(estimate_s=1.0, data_rack="elsewhere")
        for _ in range(12):
            speeds.record_run_time(far, "proof", entry, 2.0)
        assert speeds.factor(entry) == pytest.approx(1.0)
        ratio = speeds.expected_s(far, "proof", entry) / speeds.expected_s(near, "proof", entry)
        assert ratio == pytest.approx(2.0)


class TestNextOwner:
    def test_begins_with_what_was_learned(self):
        speeds, entry = make_speeds(), make_worker(1).entry
        speeds.record_run_time(step(estimate_s=1.0), "proof", entry, 3.0)
        other = make_speeds()
        other.restore(speeds.encode())
        assert other.factor(entry) == pytest.approx(speeds.factor(entry), abs=1e-3)
        assert other.workers_known == 1

    def test_takes_nothing_that_it_cannot_read(self):
        speeds = make_speeds()
        with pytest.raises(msgspec.MsgspecError):
            speeds.restore(b"nonsense")
        assert speeds.workers_known == 0
