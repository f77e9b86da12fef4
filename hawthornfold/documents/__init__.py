"""Parses and checks JSON with comments, and locates its faults."""

from hawthornfold.documents.document import MAX_BYTES
from hawthornfold.documents.document import MAX_NESTING
from hawthornfold.documents.document import MAX_VALUES
from hawthornfold.documents.document import Document
from hawthornfold.documents.document import format_path
from hawthornfold.documents.document import parse_document
from hawthornfold.documents.document import read_file
from hawthornfold.documents.document import shorten
from hawthornfold.documents.schema import MAX_FAILURES
from hawthornfold.documents.schema import Fault
from hawthornfold.documents.schema import convert_document
from hawthornfold.documents.schema import locate_faults

__all__ = [
    'MAX_BYTES',
    'MAX_FAILURES',
    'MAX_NESTING',
    'MAX_VALUES',
    'Document',
    'Fault',
    'convert_document',
    'format_path',
    'locate_faults',
    'parse_document',
    'read_file',
    'shorten',
]
