"""Write the report of the three measures: ``python -m benchmarks.report [FOLDER]``.

The report gives waiting time, packing and control cost of each policy on the same seeded workloads
as tables and plots, with the commit and the seeds that were used.
"""

import subprocess
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean

import matplotlib
from tabulate import tabulate

from benchmarks.measures import Measures
from benchmarks.policies import POLICY_DURATION_S, POLICY_LOAD, POLICY_SEEDS, run_policy
from redwingplank.config import DeadlineClass, PlacementPolicyName

matplotlib.use("Agg")
from matplotlib import pyplot

__all__ = ["ReportRow", "main", "write_report"]

FOLDER = Path(__file__).resolve().parent.parent / "docs" / "measurements"
WORKLOADS = ("bureau", "cooperative")


@dataclass(frozen=True)
class ReportRow:
    """Measures of one workload under one policy, with one item per seed."""

    workload: str
    policy: PlacementPolicyName
    measures: tuple[Measures, ...]

    def mean(self, read: Callable[[Measures], float]) -> float:
        """Return the mean over the seeds of the value that `read` returns."""
        return fmean(read(each) for each in self.measures)


RunPolicy = Callable[[str, PlacementPolicyName, int], Measures]
Columns = dict[str, Callable[[Measures], float]]


def main(argv: Sequence[str] | None = None) -> int:
    """Run all policies and write the report into the given or the default folder."""
    arguments = sys.argv[1:] if argv is None else list(argv)
    folder = Path(arguments[0]) if arguments else FOLDER
    write_report(folder, run_policy, read_commit())
    print(f"wrote {folder / 'policies.md'}")
    return 0


def write_report(
    folder: Path, run: RunPolicy, commit: str, seeds: Sequence[int] = POLICY_SEEDS
) -> list[ReportRow]:
    """Run every workload under every policy and write tables and plots into `folder`."""
    rows = [
        ReportRow(workload, policy, tuple(run(workload, policy, seed) for seed in seeds))
        for workload in WORKLOADS
        for policy in PlacementPolicyName
    ]
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "policies.md").write_text(_format_page(rows, commit, seeds), encoding="utf-8")
    for name, columns in _COLUMNS_BY_MEASURE.items():
        _plot(folder / f"policies-{name}.png", name, rows, columns)
    return rows


def read_commit() -> str:
    """Return the commit of the working tree, marked as dirty if files are modified."""
    command = ["git", "describe", "--always", "--dirty", "--abbrev=12"]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    return completed.stdout.strip() or "unknown"


def _waiting_columns() -> Columns:
    columns: Columns = {}
    for deadline_class in DeadlineClass:
        name = deadline_class.name.lower()
        columns[f"{name} p50 [s]"] = _waiting_reader(deadline_class, "p50_s")
        columns[f"{name} p99 [s]"] = _waiting_reader(deadline_class, "p99_s")
        columns[f"{name} late [%]"] = _late_reader(deadline_class)
    return columns


def _waiting_reader(deadline_class: DeadlineClass, name: str) -> Callable[[Measures], float]:
    def read(measures: Measures) -> float:
        waiting = measures.waiting_by_class.get(deadline_class)
        return getattr(waiting, name) if waiting else 0.0

    return read


def _late_reader(deadline_class: DeadlineClass) -> Callable[[Measures], float]:
    def read(measures: Measures) -> float:
        waiting = measures.waiting_by_class.get(deadline_class)
        return 100 * waiting.late / waiting.tasks if waiting else 0.0

    return read


_COLUMNS_BY_MEASURE: dict[str, Columns] = {
    "waiting": _waiting_columns(),
    "packing": {
        "reserved processors [%]": lambda each: 100 * each.packing.reserved_millicores,
        "reserved memory [%]": lambda each: 100 * each.packing.reserved_memory,
        "occupied VMs [%]": lambda each: 100 * each.packing.occupied_vms,
        "used processors of occupied VMs [%]": lambda each: 100 * each.packing.used_millicores,
        "used memory of occupied VMs [%]": lambda each: 100 * each.packing.used_memory,
        "fragmentation [%]": lambda each: 100 * each.packing.fragmentation,
    },
    "control": {
        "starts": lambda each: each.control.starts,
        "CPU per start [µs]": lambda each: each.control.cpu_us_per_start,
        "CPU [% of a core]": lambda each: 100 * each.control.cpu_fraction,
        "tick p99 [ms]": lambda each: each.control.tick_p99_ms,
        "bytes [KB/s]": lambda each: each.control.bytes_per_s / 1000,
        "store writes [1/s]": lambda each: each.control.store_writes_per_s,
    },
}

_TITLES = {
    "waiting": "Waiting time by deadline class",
    "packing": "Packing",
    "control": "Control cost",
}


def _format_page(rows: list[ReportRow], commit: str, seeds: Sequence[int]) -> str:
    parts = [
        "# Policies side by side",
        f"Commit {commit}, seeds {', '.join(map(str, seeds))}, {POLICY_LOAD:.0%} load, "
        f"{POLICY_DURATION_S:g} s of arrivals on 24 workers; each figure is the mean over the "
        "seeds. Written by `make report`; the figures of processor time depend on the machine.",
    ]
    for name, columns in _COLUMNS_BY_MEASURE.items():
        parts += [f"## {_TITLES[name]}", _format_table(rows, columns)]
        parts.append(f"![{_TITLES[name]}](policies-{name}.png)")
    return "\n\n".join(parts) + "\n"


def _format_table(rows: list[ReportRow], columns: Columns) -> str:
    body = [
        [row.workload, row.policy.value, *(f"{row.mean(read):.3g}" for read in columns.values())]
        for row in rows
    ]
    headers = ["workload", "policy", *columns]
    return tabulate(body, headers=headers, tablefmt="github", disable_numparse=True)


def _plot(path: Path, name: str, rows: list[ReportRow], columns: Columns) -> None:
    figure, axes = pyplot.subplots(
        len(WORKLOADS), len(columns), figsize=(2.6 * len(columns), 5.0), squeeze=False
    )
    for line, workload in enumerate(WORKLOADS):
        workload_rows = [row for row in rows if row.workload == workload]
        for axis, (title, read) in zip(axes[line], columns.items(), strict=True):
            axis.bar(
                [row.policy.value for row in workload_rows],
                [row.mean(read) for row in workload_rows],
            )
            axis.set_title(f"{workload}\n{title}", fontsize=8)
            axis.tick_params(axis="x", labelrotation=45, labelsize=7)
            axis.tick_params(axis="y", labelsize=7)
    figure.suptitle(_TITLES[name])
    figure.tight_layout()
    figure.savefig(path, dpi=80, metadata={"Software": None})
    pyplot.close(figure)


if __name__ == "__main__":
    sys.exit(main())
