"""Describes failures to use the address of a server."""

import os


def describe_error(error):
    """Return type and message of an error, for logs."""
    return f'{type(error).__name__}: {error}'


def describe_error_code(code):
    """Return the type and message of a system error, by its number."""
    return describe_error(OSError(code, os.strerror(code)))
