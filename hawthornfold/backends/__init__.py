"""Exchanges with backend servers over HTTP."""
