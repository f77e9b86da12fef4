"""A query tier over many shards, driven by operators' when-then rules."""

__version__ = '0.1.0'
