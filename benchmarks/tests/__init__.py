"""Tests of the benchmark runner and of what the benchmarks share."""
