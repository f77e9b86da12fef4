"""Keeps requests that end the servers that run them away from servers."""

from hawthornfold.quarantine.fingerprints import RequestFingerprints
from hawthornfold.quarantine.fingerprints import create_request_fingerprints

__all__ = [
    'RequestFingerprints',
    'create_request_fingerprints',
]
