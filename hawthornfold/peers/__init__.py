"""Links and messages between nodes."""
