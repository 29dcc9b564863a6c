"""Operator interface and its command-line client."""
