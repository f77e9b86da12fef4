"""Wiring and life cycle of one node."""
