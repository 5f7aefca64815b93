"""Adapter to the users' platform: its names, formats and calls, without decisions."""
