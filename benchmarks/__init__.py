"""Benchmarks with bounds from the stated target."""
