"""Operators' when-then rules: compile, match and explain."""
