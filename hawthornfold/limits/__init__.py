"""Slots, connection shares, queues and token buckets."""
