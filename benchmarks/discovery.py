"""Find the benchmark classes of this package and expand their parameters."""

import importlib
import itertools
import pkgutil
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType
from typing import Any

__all__ = ["BenchmarkClass", "find_benchmark_classes", "find_in_module", "select_benchmarks"]

METHOD_PREFIXES = ("time_", "track_", "peakmem_")


@dataclass(frozen=True)
class BenchmarkClass:
    """One class of benchmarks.

    Parameters
    ----------
    name : str
        ``"MODULE.CLASS"``, where the module is named without its package.
    benchmark_type : type
        The class that defines the benchmark methods.
    """

    name: str
    benchmark_type: type

    @property
    def method_names(self) -> tuple[str, ...]:
        """Names of the benchmark methods in the order of their definition, base classes first."""
        names: dict[str, None] = {}
        for base in reversed(self.benchmark_type.__mro__):
            names.update(dict.fromkeys(name for name in vars(base) if _is_method_name(name)))
        return tuple(names)

    @property
    def parameter_names(self) -> tuple[str, ...]:
        """Names of the parameters; ``param1``, ``param2``... where the class defines none."""
        given = tuple(getattr(self.benchmark_type, "param_names", ()))
        missing = range(len(given), len(self._parameter_values()))
        return given + tuple(f"param{index + 1}" for index in missing)

    def parameter_sets(self) -> Iterator[tuple[Any, ...]]:
        """Iterate over all combinations of parameter values; one empty tuple without parameters."""
        return itertools.product(*self._parameter_values())

    def _parameter_values(self) -> list[list[Any]]:
        values = list(getattr(self.benchmark_type, "params", ()))
        if not values:
            return []
        if isinstance(values[0], (list, tuple)):
            return [list(each) for each in values]
        return [values]


def find_benchmark_classes() -> list[BenchmarkClass]:
    """Return the benchmark classes of all modules of this package, sorted by name."""
    folder = str(Path(__file__).parent)
    found = []
    for module_info in pkgutil.iter_modules([folder]):
        if module_info.ispkg or module_info.name.startswith("_"):
            continue
        module = importlib.import_module(f"benchmarks.{module_info.name}")
        found.extend(find_in_module(module))
    return sorted(found, key=lambda benchmark: benchmark.name)


def find_in_module(module: ModuleType) -> list[BenchmarkClass]:
    """Return the benchmark classes that a module defines, without those that it imports."""
    short_name = module.__name__.rpartition(".")[2]
    return [
        BenchmarkClass(f"{short_name}.{name}", value)
        for name, value in vars(module).items()
        if isinstance(value, type)
        and value.__module__ == module.__name__
        and not name.startswith("_")
        and any(_is_method_name(attribute) for attribute in dir(value))
    ]


def select_benchmarks(benchmarks: list[BenchmarkClass], name: str) -> list[BenchmarkClass]:
    """Return the benchmarks that `name` selects: a module, a class or ``MODULE.CLASS``.

    An empty name selects all benchmarks.
    """
    if not name:
        return list(benchmarks)
    return [
        benchmark
        for benchmark in benchmarks
        if name == benchmark.name or name in benchmark.name.split(".")
    ]


def _is_method_name(name: str) -> bool:
    return name.startswith(METHOD_PREFIXES)
