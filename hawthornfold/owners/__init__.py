"""The owner side: queues and dispatch to backend servers."""
