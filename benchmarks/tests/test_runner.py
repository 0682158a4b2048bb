"""Tests of the benchmark runner."""

import json

import pytest

from benchmarks.__main__ import main
from benchmarks.bounds import BOUNDS, Bound
from benchmarks.discovery import BenchmarkClass, find_benchmark_classes
from benchmarks.measure import LatencyHistogram


class Sample:
    """A benchmark class with one timed and one tracked method."""

    params = [[2, 3], ["a"]]
    param_names = ["size", "kind"]
    number = 1
    repeat = 2

    def setup(self, size: int, kind: str) -> None:
        self.values = [kind] * size

    def time_sum(self, size: int, kind: str) -> None:
        len(self.values)

    def track_size(self, size: int, kind: str) -> int:
        return len(self.values)

    track_size.unit = "items"


class Parts:
    """A benchmark with several values whose names end in different units."""

    def track_cost(self) -> dict[str, float]:
        return {"us_per_start": 1.0, "tick_p99_ms": 2.0, "starts_per_s": 3.0, "share": 4.0}


class Broken:
    """A benchmark class whose method raises an exception."""

    def track_nothing(self) -> int:
        raise RuntimeError("broken on purpose")


class PeakMemory:
    """A benchmark class of peak memory, which the runner measures in a separate process."""

    def peakmem_block(self) -> bytes:
        return b"x" * 64 * 1024 * 1024


SAMPLE = BenchmarkClass("test.Sample", Sample)


def run(capsys: pytest.CaptureFixture, *argv: str, bounds=(), benchmarks=(SAMPLE,)):
    code = main(argv, benchmarks=list(benchmarks), bounds=bounds)
    return code, capsys.readouterr()


class TestExitCode:
    def test_is_0_within_the_bound(self, capsys):
        bound = Bound("test.Sample", "track_size", 3, "at most 3")
        assert run(capsys, "Sample", bounds=[bound])[0] == 0

    def test_is_1_past_a_maximum(self, capsys):
        bound = Bound("test.Sample", "track_size", 2, "at most 2")
        code, output = run(capsys, "Sample", bounds=[bound])
        assert code == 1
        assert "PAST" in output.out

    def test_is_1_past_a_minimum(self, capsys):
        bound = Bound("test.Sample", "track_size", 3, "at least 3", is_minimum=True)
        assert run(capsys, "Sample", bounds=[bound])[0] == 1

    def test_a_bound_of_one_parameter_set_leaves_the_others_free(self, capsys):
        bound = Bound("test.Sample", "track_size", 2, "small ones", parameters={"size": 2})
        assert run(capsys, "Sample", bounds=[bound])[0] == 0

    def test_is_1_when_a_benchmark_breaks_off(self, capsys):
        broken = BenchmarkClass("test.Broken", Broken)
        code, output = run(capsys, benchmarks=[broken, SAMPLE])
        assert code == 1
        assert "broken on purpose" in output.out

    def test_is_2_for_an_unknown_name(self, capsys):
        code, output = run(capsys, "Nothing")
        assert code == 2
        assert "--list" in output.err


class TestJson:
    def test_has_one_object_for_each_benchmark(self, capsys):
        bound = Bound("test.Sample", "track_size", 2, "at most 2")
        code, output = run(capsys, "test.Sample", "--json", bounds=[bound])
        value = json.loads(output.out)
        assert code == 1
        assert set(value) == {"name", "parameters", "metrics", "bounds", "problem", "ok"}
        assert value["parameters"] == {"size": [2, 3], "kind": ["a"]}
        assert not value["ok"]
        tracked = [metric for metric in value["metrics"] if metric["name"] == "track_size"]
        assert [(metric["value"], metric["unit"]) for metric in tracked] == [
            (2.0, "items"),
            (3.0, "items"),
        ]
        assert [metric["ok"] for metric in tracked] == [True, False]
        assert [bound["margin"] for bound in value["bounds"]] == [0.0, -0.5]

    def test_times_come_as_median_percentile_and_ratio(self, capsys):
        value = json.loads(run(capsys, "--json")[1].out)
        names = {metric["name"] for metric in value["metrics"]}
        assert {"time_sum.median", "time_sum.p99", "time_sum.calibrated"} <= names

    def test_parts_of_a_figure_have_the_unit_of_their_name(self, capsys):
        parts = BenchmarkClass("test.Parts", Parts)
        value = json.loads(run(capsys, "--json", benchmarks=[parts])[1].out)
        units = {metric["name"]: metric["unit"] for metric in value["metrics"]}
        assert units == {
            "track_cost.us_per_start": "us",
            "track_cost.tick_p99_ms": "ms",
            "track_cost.starts_per_s": "1/s",
            "track_cost.share": "1",
        }


class TestList:
    def test_prints_names_and_runs_nothing(self, capsys):
        broken = BenchmarkClass("test.Broken", Broken)
        code, output = run(capsys, "--list", benchmarks=[broken, SAMPLE])
        assert code == 0
        assert output.out.split() == ["test.Broken", "test.Sample"]


class TestPeakMemory:
    def test_is_measured_in_a_process_of_its_own(self, capsys):
        benchmark = BenchmarkClass("test.PeakMemory", PeakMemory)
        code, output = run(capsys, "--json", benchmarks=[benchmark])
        metric = json.loads(output.out)["metrics"][0]
        assert code == 0
        assert metric["unit"] == "MiB"
        assert metric["value"] > 64


class TestBoundsTable:
    def test_each_bound_has_a_source_and_names_a_benchmark(self):
        benchmarks = {benchmark.name: benchmark for benchmark in find_benchmark_classes()}
        for bound in BOUNDS:
            assert bound.source
            methods = benchmarks[bound.benchmark].method_names
            assert bound.metric.partition(".")[0] in methods


class TestLatencyHistogram:
    def test_returns_percentiles(self):
        histogram = LatencyHistogram()
        for milliseconds in range(1, 101):
            histogram.record_s(milliseconds / 1000)
        assert histogram.count() == 100
        assert histogram.percentile_s(50) == pytest.approx(0.050, rel=0.01)
        assert histogram.percentile_s(99) == pytest.approx(0.099, rel=0.01)
