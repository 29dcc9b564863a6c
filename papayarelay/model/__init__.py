"""Specifications of the core protocol and a model checker (docs/model.md)."""
