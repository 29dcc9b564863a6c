"""Simulated backends and platform services for tests, the demo and benchmarks."""
