"""Structured log lines for changes of state."""
