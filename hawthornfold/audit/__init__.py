"""The audit trail of changes and the journal of requests."""
