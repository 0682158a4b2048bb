"""Run one ``peakmem_`` method in a separate process and print its peak memory in MiB."""

import importlib
import sys

from benchmarks.discovery import BenchmarkClass
from benchmarks.measure import read_peak_memory_mib


def main() -> None:
    """Run the method given by four arguments: module, class, method, index of a parameter set."""
    module_name, type_name, method_name, index = sys.argv[1:]
    benchmark_type = getattr(importlib.import_module(module_name), type_name)
    benchmark = BenchmarkClass(type_name, benchmark_type)
    values = list(benchmark.parameter_sets())[int(index)]
    instance = benchmark_type()
    if hasattr(instance, "setup"):
        instance.setup(*values)
    getattr(instance, method_name)(*values)
    print(read_peak_memory_mib())


if __name__ == "__main__":
    main()
