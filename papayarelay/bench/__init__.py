"""Trace replay, simulations and benchmarks."""
