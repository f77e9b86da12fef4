"""JSON with comments: bounded parsing with positions."""
