"""Admission of whole queries at the entry node."""
