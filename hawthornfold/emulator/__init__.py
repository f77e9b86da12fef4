"""Emulated platform and backend servers, load and experiments."""
