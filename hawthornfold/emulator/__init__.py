"""Emulated platform and backend servers, load generation and benchmarks."""
