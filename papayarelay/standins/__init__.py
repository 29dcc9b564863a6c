"""Stand-ins of the served systems for tests, demo and benchmarks."""
