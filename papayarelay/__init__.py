"""Serving layer between callers, model engines and plain services."""

__version__ = "0.1.0"
