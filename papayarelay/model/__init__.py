"""Specification of the core protocol and a checker for it (docs/model.md)."""
