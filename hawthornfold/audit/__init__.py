"""Keeps the audit trail of changes and the journal of requests."""

from hawthornfold.audit.journal import JournalEvent
from hawthornfold.audit.journal import RequestJournal
from hawthornfold.audit.journal import create_request_journal
from hawthornfold.audit.trail import AuditEntry
from hawthornfold.audit.trail import AuditTrail
from hawthornfold.audit.trail import create_audit_trail

__all__ = [
    'AuditEntry',
    'AuditTrail',
    'JournalEvent',
    'RequestJournal',
    'create_audit_trail',
    'create_request_journal',
]
