"""Drain state of backend servers from several signals."""
