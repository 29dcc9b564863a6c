"""Translates between papayarelay and the users' platform."""
