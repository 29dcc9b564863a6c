"""Traces, experiments and measurements."""
