"""Run benchmarks and format their results as JSON objects or as a table."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from tabulate import tabulate

from benchmarks.bounds import Bound, CheckedMetric, check_metrics
from benchmarks.discovery import BenchmarkClass
from benchmarks.measure import measure_benchmark

__all__ = ["BenchmarkResult", "format_table", "run_benchmark", "to_json_value"]


@dataclass(frozen=True)
class BenchmarkResult:
    """All metrics of one benchmark class.

    Parameters
    ----------
    name : str
        ``"MODULE.CLASS"``.
    parameters : dict
        Lists of all values of each parameter by its name.
    metrics : tuple of CheckedMetric
        The metrics with their bounds.
    problem : str
        The error that ended the benchmark; empty if it ran to its end.
    """

    name: str
    parameters: dict[str, list[Any]]
    metrics: tuple[CheckedMetric, ...]
    problem: str = ""

    @property
    def is_ok(self) -> bool:
        """Whether the benchmark ran to its end and all metrics are within their bounds."""
        return not self.problem and all(metric.is_ok for metric in self.metrics)


def run_benchmark(benchmark: BenchmarkClass, bounds: Iterable[Bound]) -> BenchmarkResult:
    """Measure one class and check its bounds; an exception becomes the result's `problem`."""
    parameters: dict[str, list[Any]] = {name: [] for name in benchmark.parameter_names}
    for values in benchmark.parameter_sets():
        for name, value in zip(benchmark.parameter_names, values, strict=True):
            if value not in parameters[name]:
                parameters[name].append(value)
    try:
        checked = check_metrics(benchmark.name, measure_benchmark(benchmark), bounds)
    except Exception as error:
        return BenchmarkResult(benchmark.name, parameters, (), f"{type(error).__name__}: {error}")
    return BenchmarkResult(benchmark.name, parameters, tuple(checked))


def to_json_value(result: BenchmarkResult) -> dict[str, Any]:
    """Return a result as a dict that can be encoded as a JSON object."""
    return {
        "name": result.name,
        "parameters": result.parameters,
        "metrics": [
            {
                "name": checked.metric.name,
                "parameters": checked.metric.parameters,
                "value": checked.metric.value,
                "unit": checked.metric.unit,
                "ok": checked.is_ok,
            }
            for checked in result.metrics
        ],
        "bounds": [
            {
                "metric": checked.metric.name,
                "parameters": checked.metric.parameters,
                "limit": bound.limit,
                "kind": "minimum" if bound.is_minimum else "maximum",
                "margin": bound.margin(checked.metric.value),
                "source": bound.source,
            }
            for checked in result.metrics
            for bound in checked.bounds
        ],
        "problem": result.problem,
        "ok": result.is_ok,
    }


def format_table(results: Iterable[BenchmarkResult]) -> str:
    """Return a table of values with bounds and margins, which are empty for unbounded metrics."""
    rows = []
    for result in results:
        if result.problem:
            rows.append((result.name, "", result.problem, "", "", "", "FAILED"))
        for checked in result.metrics:
            rows.extend(_table_rows(result.name, checked))
    headers = ("benchmark", "parameters", "figure", "unit", "bound", "margin", "")
    return tabulate(rows, headers=headers, disable_numparse=True)


def _table_rows(name: str, checked: CheckedMetric) -> list[tuple[str, ...]]:
    metric = checked.metric
    parameters = " ".join(f"{key}={value}" for key, value in metric.parameters.items())
    start = (f"{name}.{metric.name}", parameters, f"{metric.value:.4g}", metric.unit)
    if not checked.bounds:
        return [(*start, "", "", "")]
    rows = []
    for bound in checked.bounds:
        sign = ">=" if bound.is_minimum else "<="
        margin = f"{bound.margin(metric.value):+.0%}"
        verdict = "ok" if bound.is_kept(metric.value) else "PAST"
        rows.append((*start, f"{sign} {bound.limit:g}", margin, verdict))
    return rows
