"""Randomized soak test with fault injection on node processes; see docs/soak.md."""
