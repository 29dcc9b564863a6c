"""Gateway between callers and model engines or plain services."""

__version__ = "0.1.0"
