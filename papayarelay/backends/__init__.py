"""Clients for model engines and plain HTTP services."""
