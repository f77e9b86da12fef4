"""The HTTP path of forwarded and gathered requests."""
