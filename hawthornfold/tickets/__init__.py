"""Runs non-idempotent requests at most once."""

from hawthornfold.tickets.issuer import Ticket
from hawthornfold.tickets.issuer import TicketIssuer
from hawthornfold.tickets.issuer import create_ticket_issuer
from hawthornfold.tickets.ledger import Admission
from hawthornfold.tickets.ledger import AdmissionKind
from hawthornfold.tickets.ledger import TicketLedger
from hawthornfold.tickets.ledger import create_ticket_ledger

__all__ = [
    'Admission',
    'AdmissionKind',
    'Ticket',
    'TicketIssuer',
    'TicketLedger',
    'create_ticket_issuer',
    'create_ticket_ledger',
]
