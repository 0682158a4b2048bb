"""Runs benchmarks: ``python -m benchmarks [NAME] [--json] [--list]``."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Annotated

from cyclopts import App, Parameter

from benchmarks.bounds import BOUNDS, Bound
from benchmarks.discovery import BenchmarkClass, find_benchmark_classes, select_benchmarks
from benchmarks.results import format_table, run_benchmark, to_json_value

EXIT_OK = 0
EXIT_PAST_BOUND = 1
EXIT_USAGE = 2


def main(
    argv: Sequence[str] | None = None,
    benchmarks: list[BenchmarkClass] | None = None,
    bounds: Iterable[Bound] = BOUNDS,
) -> int:
    """Run the command line and return its exit code.

    Parameters
    ----------
    argv : sequence of str, optional
        Command-line arguments, by default those of the process.
    benchmarks : list of BenchmarkClass, optional
        The available benchmarks, by default all of this package.
    bounds : iterable of Bound
        The bounds that the results are checked against.
    """
    app = App(name="python -m benchmarks", version_flags=[], result_action="return_value")

    @app.default
    def run(
        name: str = "",
        /,
        *,
        as_json: Annotated[bool, Parameter(name="--json", negative="")] = False,
        only_list: Annotated[bool, Parameter(name="--list", negative="")] = False,
    ) -> int:
        """Run benchmarks; the exit code is 1 if a result exceeds its bound or a benchmark fails.

        Parameters
        ----------
        name : str
            A module, a class or MODULE.CLASS; by default all benchmarks are run.
        as_json : bool
            Print one JSON object per benchmark, each on one line.
        only_list : bool
            Print the names of the benchmarks without running them.
        """
        available = find_benchmark_classes() if benchmarks is None else benchmarks
        selected = select_benchmarks(available, name)
        if not selected:
            print(f"no benchmark is named {name!r}; --list prints the names", file=sys.stderr)
            return EXIT_USAGE
        if only_list:
            print("\n".join(benchmark.name for benchmark in selected))
            return EXIT_OK
        return _run_all(selected, tuple(bounds), as_json)

    return app(sys.argv[1:] if argv is None else list(argv))


def _run_all(selected: list[BenchmarkClass], bounds: tuple[Bound, ...], as_json: bool) -> int:
    results = []
    for benchmark in selected:
        result = run_benchmark(benchmark, bounds)
        results.append(result)
        if as_json:
            print(json.dumps(to_json_value(result)), flush=True)
        else:
            print(f"ran {result.name}", file=sys.stderr, flush=True)
    if not as_json:
        print(format_table(results))
    return EXIT_OK if all(result.is_ok for result in results) else EXIT_PAST_BOUND


if __name__ == "__main__":
    sys.exit(main())
