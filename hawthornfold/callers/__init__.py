"""HTTP servers for callers and for operators."""
