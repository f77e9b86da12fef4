"""Configuration revisions and their spread over nodes."""
