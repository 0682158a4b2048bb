"""Measure single benchmark methods: durations, tracked values and peak memory."""

import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from statistics import median
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.discovery import BenchmarkClass

__all__ = [
    "LatencyHistogram",
    "Metric",
    "calibration_loop_s",
    "measure_benchmark",
    "read_peak_memory_mib",
]

REPEATS = 7
MIN_SAMPLE_S = 0.02  # shortest duration of the loop that one sample times
MAX_LOOPS = 1_000_000
CALIBRATION_STEPS = 20_000
CALIBRATION_REPEATS = 9
HIGHEST_LATENCY_NS = 600 * 10**9
HISTOGRAM_DIGITS = 3  # significant decimal digits of a recorded duration
NS_PER_S = 1e9
KIB_PER_MIB = 1024
_UNITS_BY_SUFFIX = {
    "per_s": "1/s",
    "percent": "%",
    "mib": "MiB",
    "bytes": "B",
    "ms": "ms",
    "us": "us",
    "s": "s",
}


@dataclass(frozen=True)
class Metric:
    """One measured value.

    Parameters
    ----------
    name : str
        Name of the method; if it returns several values, followed by ``"."`` and the value's key.
    parameters : dict
        Values of the benchmark parameters by name.
    value : float
        The measured value.
    unit : str
        Unit of the value.
    """

    name: str
    parameters: dict[str, Any]
    value: float
    unit: str


class LatencyHistogram:
    """Histogram of durations that gives their percentiles."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, HIGHEST_LATENCY_NS, HISTOGRAM_DIGITS)

    def record_s(self, duration_s: float) -> None:
        """Record one duration in seconds."""
        self._histogram.record_value(max(1, round(duration_s * NS_PER_S)))

    def percentile_s(self, percentile: float) -> float:
        """Return the duration in seconds at a percentile between 0 and 100."""
        return self._histogram.get_value_at_percentile(percentile) / NS_PER_S

    def count(self) -> int:
        """Return the number of recorded durations."""
        return self._histogram.get_total_count()


def calibration_loop_s() -> float:
    """Return the median duration of a fixed loop of plain Python, in seconds."""
    return median(_time_s(_run_calibration_loop, 1) for _ in range(CALIBRATION_REPEATS))


def measure_benchmark(benchmark: BenchmarkClass) -> list[Metric]:
    """Run every method of a class with every parameter set.

    A `setup` that raises `NotImplementedError` skips its parameter set, as in asv.
    """
    metrics = []
    for values in benchmark.parameter_sets():
        parameters = dict(zip(benchmark.parameter_names, values, strict=True))
        for method_name in benchmark.method_names:
            metrics += _measure_method(benchmark, method_name, values, parameters)
    return metrics


def read_peak_memory_mib() -> float:
    """Return the peak resident memory of this process, in MiB."""
    with open("/proc/self/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / KIB_PER_MIB
    raise OSError("/proc/self/status has no VmHWM line; peak memory needs Linux")


def _measure_method(
    benchmark: BenchmarkClass, method_name: str, values: tuple, parameters: dict[str, Any]
) -> list[Metric]:
    if method_name.startswith("peakmem_"):
        peak_mib = _measure_peak_memory(benchmark, method_name, values)
        return [Metric(method_name, parameters, peak_mib, "MiB")]
    instance = benchmark.benchmark_type()
    try:
        _call_if_defined(instance, "setup", values)
    except NotImplementedError:
        return []
    try:
        method = getattr(instance, method_name)
        if method_name.startswith("time_"):
            return _measure_time(instance, method, parameters, values)
        value = method(*values)
        return _tracked_metrics(method, value, parameters)
    finally:
        _call_if_defined(instance, "teardown", values)


def _tracked_metrics(method: Callable, value: Any, parameters: dict[str, Any]) -> list[Metric]:
    unit = getattr(method, "unit", "1")
    if not isinstance(value, dict):
        return [Metric(method.__name__, parameters, float(value), unit)]
    return [
        Metric(f"{method.__name__}.{key}", parameters, float(figure), _unit_of(key, unit))
        for key, figure in value.items()
    ]


def _unit_of(key: str, default: str) -> str:
    """Return the unit given by a key such as ``tick_p99_ms`` or ``us_per_start``."""
    for suffix, unit in _UNITS_BY_SUFFIX.items():
        if key.endswith(f"_{suffix}") or key == suffix:
            return unit
    first = key.split("_")[0]
    return _UNITS_BY_SUFFIX.get(first, default) if "_per_" in key else default


def _measure_time(
    instance: Any, method: Callable, parameters: dict[str, Any], values: tuple
) -> list[Metric]:
    loops = getattr(instance, "number", 0) or _choose_loops(lambda: method(*values))
    repeats = int(getattr(instance, "repeat", 0) or REPEATS)
    histogram = LatencyHistogram()
    samples_s = []
    for repeat in range(repeats):
        if repeat:
            _call_if_defined(instance, "setup", values)
        samples_s.append(_time_s(lambda: method(*values), loops) / loops)
        histogram.record_s(samples_s[-1])
    median_s = median(samples_s)
    name = method.__name__
    return [
        Metric(f"{name}.median", parameters, median_s, "s"),
        Metric(f"{name}.p99", parameters, histogram.percentile_s(99), "s"),
        Metric(f"{name}.calibrated", parameters, median_s / calibration_loop_s(), "loops"),
    ]


def _choose_loops(function: Callable[[], Any]) -> int:
    loops = 1
    while loops < MAX_LOOPS:
        duration_s = _time_s(function, loops)
        if duration_s >= MIN_SAMPLE_S:
            return loops
        loops *= 2 if duration_s > MIN_SAMPLE_S / 10 else 10
    return MAX_LOOPS


def _measure_peak_memory(benchmark: BenchmarkClass, method_name: str, values: tuple) -> float:
    module = benchmark.benchmark_type.__module__
    type_name = benchmark.benchmark_type.__qualname__
    index = list(benchmark.parameter_sets()).index(values)
    command = [sys.executable, "-m", "benchmarks._peak_memory"]
    command += [module, type_name, method_name, str(index)]
    completed = subprocess.run(command, capture_output=True, text=True, check=True)
    return float(completed.stdout.strip().splitlines()[-1])


def _call_if_defined(instance: Any, name: str, values: tuple) -> None:
    function = getattr(instance, name, None)
    if function is not None:
        function(*values)


def _time_s(function: Callable[[], Any], loops: int) -> float:
    started_s = time.perf_counter()
    for _ in range(loops):
        function()
    return time.perf_counter() - started_s


def _run_calibration_loop() -> int:
    total = 0
    for step in range(CALIBRATION_STEPS):
        total += step * step % 7
    return total
