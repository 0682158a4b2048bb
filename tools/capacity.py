"""Recompute the tables of docs/CAPACITY.md from benchmark output.

``python -m tools.capacity`` rewrites the tables, ``--check`` only compares them and exits with 1 if
they differ. The input is ``docs/measurements/capacity.json``, which holds one JSON object per line
in the format that ``python -m benchmarks NAME --json`` prints.
"""

import json
import re
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np
from tabulate import tabulate

__all__ = ["Line", "Measurements", "fit_line", "main", "render_page"]

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
MEASUREMENTS = ROOT / "docs" / "measurements" / "capacity.json"

# Load of the target cell.
WORKERS = 6_900
RUNNING_TASKS = 56_000
PEAK_STARTS_PER_S = 3_700
FAILURE_DOMAINS = 15
ENTRIES_PER_DOMAIN = 9
REPLACED_VMS_PER_DAY = 660
SECONDS_PER_DAY = 86_400
# Limits on the resources that a node spends on control; 244.1 MiB are 256 MB.
CORE_PERCENT_LIMIT = 2.3
MEMORY_MIB_LIMIT = 244.1
BYTES_PER_S_LIMIT = 15_000
# Rates that the store can serve for the whole cell.
STORE_WRITES_PER_S = 300
STORE_READS_PER_S = 2_000
# Intervals of the owner: between two ticks, and between two lease renewals of a worker.
TICK_S = 0.02
RENEW_EVERY_S = 1.5


@dataclass(frozen=True)
class Line:
    """A straight line fitted to measured points.

    Parameters
    ----------
    base, slope : float
        Value at size zero, and increase per unit of size.
    points : tuple of (float, float)
        The measured points as (size, value).
    """

    base: float
    slope: float
    points: tuple[tuple[float, float], ...]

    def at(self, size: float) -> float:
        """Return the value at a size.

        For a line with a negative slope, this is its largest measured value at every size.
        """
        if self.slope < 0:
            return max(value for _, value in self.points)
        return self.base + self.slope * size


class Measurements:
    """Benchmark results, accessible by benchmark name."""

    def __init__(self, results: Sequence[dict[str, Any]]) -> None:
        self._results_by_name = {result["name"]: result for result in results}

    def line(self, benchmark: str, metric: str, parameter: str) -> Line:
        """Fit a line to a metric over a benchmark parameter that has at least three values."""
        points = [
            (float(item["parameters"][parameter]), float(item["value"]))
            for item in self._results_by_name[benchmark]["metrics"]
            if item["name"] == metric
        ]
        return fit_line(points)


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through at least three points."""
    if len(points) < 3:
        raise ValueError(f"a line fit needs at least three sizes, got {len(points)}")
    slope, base = np.polyfit([x for x, _ in points], [y for _, y in points], 1)
    return Line(float(base), float(slope), tuple(points))


def read_measurements(path: Path) -> Measurements:
    """Read measurements from a file with one JSON object per line."""
    lines = path.read_text(encoding="utf-8").splitlines()
    return Measurements([json.loads(line) for line in lines if line.strip()])


@dataclass(frozen=True)
class Slopes:
    """The fitted lines that the tables of the page are computed from."""

    owner_core_by_worker: Line
    owner_core_by_start: Line
    owner_mib_by_task: Line
    entry_core_by_request: Line
    entry_mib_by_request: Line
    standby_core_by_worker: Line
    standby_mib_by_worker: Line
    platform_bytes_by_worker: Line
    request_bytes_by_start: Line
    report_bytes_by_start: Line
    exchange_us_by_start: Line
    store_bytes_by_value: Line
    store_calls_by_start: Line
    platform_bytes_by_start: Line


SOURCES: dict[str, tuple[str, str, str, str]] = {
    "owner_core_by_worker": (
        "capacity.IdlePrograms", "track_cost.owner_core_percent", "workers", "% of a core"
    ),
    "owner_core_by_start": (
        "capacity.LoadedPrograms", "track_cost.owner_core_percent", "starts_per_s", "% of a core"
    ),
    "owner_mib_by_task": ("capacity.OwnerMemory", "peakmem_running", "running_tasks", "MiB"),
    "entry_core_by_request": (
        "capacity.LoadedEntry", "track_cost.entry_core_percent", "requests_per_s", "% of a core"
    ),
    "entry_mib_by_request": (
        "capacity.LoadedEntry", "track_cost.entry_mib", "requests_per_s", "MiB"
    ),
    "standby_core_by_worker": (
        "capacity.IdlePrograms", "track_cost.standby_core_percent", "workers", "% of a core"
    ),
    "standby_mib_by_worker": (
        "capacity.IdlePrograms", "track_cost.standby_mib", "workers", "MiB"
    ),
    "platform_bytes_by_worker": (
        "capacity.IdlePrograms", "track_cost.platform_bytes_per_s", "workers", "B/s"
    ),
    "request_bytes_by_start": (
        "capacity.WorkerExchange", "track_cost.request_bytes", "starts", "B"
    ),
    "report_bytes_by_start": ("capacity.WorkerExchange", "track_cost.report_bytes", "starts", "B"),
    "exchange_us_by_start": ("capacity.WorkerExchange", "track_cost.us", "starts", "us"),
    "store_bytes_by_value": ("capacity.StoreWrite", "track_cost.bytes", "value_bytes", "B"),
    "store_calls_by_start": (
        "capacity.LoadedPrograms", "track_cost.store_calls_per_s", "starts_per_s", "1/s"
    ),
    "platform_bytes_by_start": (
        "capacity.LoadedPrograms", "track_cost.platform_bytes_per_s", "starts_per_s", "B/s"
    ),
}  # fmt: skip


def read_slopes(measurements: Measurements) -> Slopes:
    """Fit the lines for the page from the measurements that `SOURCES` names."""
    return Slopes(
        **{
            name: measurements.line(benchmark, metric, parameter)
            for name, (benchmark, metric, parameter, _) in SOURCES.items()
        }
    )


def slopes_table(slopes: Slopes) -> str:
    """Return the table of fitted lines with the benchmarks that they come from."""
    rows = []
    for name, (benchmark, metric, parameter, unit) in SOURCES.items():
        line: Line = getattr(slopes, name)
        sizes = ", ".join(f"{size:g}" for size, _ in line.points)
        figure = metric.removeprefix("track_cost.")
        rows.append(
            (figure, unit, parameter, sizes, f"{line.base:.4g}", f"{line.slope:.4g}", benchmark)
        )
    headers = ("figure", "unit", "over", "sizes", "at zero", "slope", "benchmark")
    return _table(rows, headers)


def owner_table(slopes: Slopes) -> str:
    """Return the owner's costs at the peak for several numbers of shards per failure domain."""
    rows = [_owner_row(slopes, shards) for shards in (1, 3, ENTRIES_PER_DOMAIN)]
    headers = (
        "shards per domain",
        "workers",
        "starts/s",
        "core [%]",
        "limit",
        "memory [MiB]",
        "limit",
        "bytes [KB/s]",
        "limit",
        "verdict",
    )
    return _table(rows, headers)


def _owner_row(slopes: Slopes, shards: int) -> tuple[str, ...]:
    shard_count = FAILURE_DOMAINS * shards
    workers, starts, tasks = (
        WORKERS / shard_count,
        PEAK_STARTS_PER_S / shard_count,
        RUNNING_TASKS / shard_count,
    )
    core = owner_core_percent(slopes, workers, starts)
    memory = slopes.owner_mib_by_task.at(tasks)
    bytes_per_s = owner_bytes_per_s(slopes, workers, starts)
    is_within_limits = (
        core <= CORE_PERCENT_LIMIT
        and memory <= MEMORY_MIB_LIMIT
        and bytes_per_s <= BYTES_PER_S_LIMIT
    )
    return (
        f"{shards}",
        f"{workers:.0f}",
        f"{starts:.1f}",
        f"{core:.1f}",
        f"{CORE_PERCENT_LIMIT}",
        f"{memory:.0f}",
        f"{MEMORY_MIB_LIMIT:.0f}",
        f"{bytes_per_s / 1000:.1f}",
        f"{BYTES_PER_S_LIMIT / 1000:.0f}",
        "carried" if is_within_limits else "not carried",
    )


def owner_core_percent(slopes: Slopes, workers: float, starts_per_s: float) -> float:
    """Return an owner's processor time in percent of a core.

    It is the idle cost at this number of workers plus a cost per start.
    """
    idle = slopes.owner_core_by_worker.at(workers)
    return idle + slopes.owner_core_by_start.slope * starts_per_s


def owner_bytes_per_s(slopes: Slopes, workers: float, starts_per_s: float) -> float:
    """Return the bytes per second that an owner exchanges with its workers and its journal.

    The figure leaves out TCP and IP headers. Starts share an exchange only when several starts of
    one tick go to the same worker. Each start is therefore counted with an exchange of its own as
    long as a tick has fewer starts than workers.
    """
    per_exchange = slopes.request_bytes_by_start.base + slopes.report_bytes_by_start.base
    per_start = slopes.request_bytes_by_start.slope + slopes.report_bytes_by_start.slope
    exchanges_per_s = workers / RENEW_EVERY_S + min(starts_per_s, workers / TICK_S)
    journal = slopes.platform_bytes_by_start.slope * starts_per_s
    return per_exchange * exchanges_per_s + per_start * starts_per_s + journal


def roles_table(slopes: Slopes) -> str:
    """Return processor time, memory and bytes per second of entries and of standby schedulers."""
    workers = WORKERS / FAILURE_DOMAINS
    domain_list = slopes.platform_bytes_by_worker.slope / 3 * workers
    cell_list = slopes.platform_bytes_by_worker.slope / 3 * WORKERS
    rows = [
        (
            "entry, idle",
            f"{slopes.entry_core_by_request.points[0][1]:.2f}",
            f"{slopes.entry_mib_by_request.base:.0f}",
            f"{cell_list / 1000:.0f}",
        ),
        (
            "entry, for each 100 requests/s",
            f"{slopes.entry_core_by_request.slope * 100:.1f}",
            f"{max(0.0, slopes.entry_mib_by_request.slope * 100):.1f}",
            "callers' own",
        ),
        (
            "scheduler that stands by",
            f"{max(0.0, slopes.standby_core_by_worker.at(workers)):.2f}",
            f"{slopes.standby_mib_by_worker.at(workers):.0f}",
            f"{domain_list / 1000:.0f}",
        ),
    ]
    return _table(rows, ("role", "core [%]", "memory [MiB]", "bytes [KB/s]"))


def store_table(slopes: Slopes) -> str:
    """Return the rate of store calls for several numbers of shards per failure domain.

    Calls made without any starts are renewals, polls and watches. Each additional call caused by
    starts is counted as a write.
    """
    rows = []
    for shards in (1, 3, ENTRIES_PER_DOMAIN):
        shard_count = FAILURE_DOMAINS * shards
        idle = slopes.store_calls_by_start.base * shard_count
        writes = slopes.store_calls_by_start.slope * PEAK_STARTS_PER_S
        is_within_limits = idle <= STORE_READS_PER_S and writes <= STORE_WRITES_PER_S
        rows.append(
            (
                f"{shards}",
                f"{shard_count}",
                f"{idle:.0f}",
                f"{STORE_READS_PER_S}",
                f"{writes:.0f}",
                f"{STORE_WRITES_PER_S}",
                f"{1 - idle / STORE_READS_PER_S:+.0%}, {1 - writes / STORE_WRITES_PER_S:+.0%}",
                "carried" if is_within_limits else "not carried",
            )
        )
    headers = (
        "shards per domain",
        "shards",
        "calls/s without starts",
        "limit",
        "writes/s of starts at the peak",
        "limit",
        "margins",
        "verdict",
    )
    return _table(rows, headers)


def busiest_table(slopes: Slopes) -> str:
    """Return an owner's costs at the peak while the tasks of a lost failure domain restart."""
    rows = []
    remaining_domains = FAILURE_DOMAINS - 1
    replacements_per_s = REPLACED_VMS_PER_DAY / SECONDS_PER_DAY
    tasks_on_lost_vm = RUNNING_TASKS / WORKERS
    lost_tasks = RUNNING_TASKS / FAILURE_DOMAINS
    for window_s in (60, 300):
        restarts_per_s = lost_tasks / window_s + replacements_per_s * tasks_on_lost_vm
        starts = (PEAK_STARTS_PER_S + restarts_per_s) / (remaining_domains * ENTRIES_PER_DOMAIN)
        workers = WORKERS / FAILURE_DOMAINS / ENTRIES_PER_DOMAIN
        core = owner_core_percent(slopes, workers, starts)
        bytes_per_s = owner_bytes_per_s(slopes, workers, starts)
        is_within_limits = core <= CORE_PERCENT_LIMIT and bytes_per_s <= BYTES_PER_S_LIMIT
        rows.append(
            (
                f"{window_s}",
                f"{restarts_per_s:.1f}",
                f"{starts:.1f}",
                f"{core:.1f}",
                f"{bytes_per_s / 1000:.1f}",
                "carried" if is_within_limits else "not carried",
            )
        )
    headers = (
        "lost tasks started again within [s]",
        "extra starts/s in the cell",
        "starts/s of a shard",
        "core [%]",
        "bytes [KB/s]",
        "verdict",
    )
    return _table(rows, headers)


TABLES: dict[str, Callable[[Slopes], str]] = {
    "slopes": slopes_table,
    "owner": owner_table,
    "roles": roles_table,
    "store": store_table,
    "busiest": busiest_table,
}


def render_page(page: str, slopes: Slopes) -> str:
    """Return the page with every table between its begin and end markers recomputed."""
    for name, make_table in TABLES.items():
        begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
        pattern = re.compile(f"{re.escape(begin)}.*?{re.escape(end)}", flags=re.DOTALL)
        table = f"{begin}\n\n{make_table(slopes)}\n\n{end}"
        page, count = pattern.subn(lambda _, table=table: table, page)
        if count != 1:
            raise ValueError(f"the page has {count} places for the table {name!r}, expected one")
    return page


def main(argv: Sequence[str] | None = None) -> int:
    """Rewrite the page, or only compare it if ``--check`` is given."""
    arguments = sys.argv[1:] if argv is None else list(argv)
    page = PAGE.read_text(encoding="utf-8")
    rendered = render_page(page, read_slopes(read_measurements(MEASUREMENTS)))
    if "--check" in arguments:
        print(
            "up to date" if rendered == page else f"{PAGE.name} differs; run this without --check"
        )
        return 0 if rendered == page else 1
    PAGE.write_text(rendered, encoding="utf-8")
    return 0


def _table(rows: Sequence[Sequence[str]], headers: Sequence[str]) -> str:
    return tabulate(rows, headers=headers, tablefmt="github", disable_numparse=True)


if __name__ == "__main__":
    sys.exit(main())
