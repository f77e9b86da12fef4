"""Adapts the gateway to the users' platform: its names, formats and calls.

The modules only translate and make no decisions. No other package depends on
the platform's names.
"""
