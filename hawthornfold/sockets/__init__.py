"""Sockets and HTTP bodies: what is common to all clients and servers."""

from hawthornfold.sockets.bodies import read_body
from hawthornfold.sockets.readiness import is_readable

__all__ = ['is_readable', 'read_body']
