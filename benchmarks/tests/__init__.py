"""Tests of the benchmark runner and of code that several benchmarks use."""
