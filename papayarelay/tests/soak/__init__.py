"""A randomized soak of real node processes; see docs/soak.md."""
