"""Which nodes are alive, by probing."""
