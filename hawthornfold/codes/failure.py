"""Failures: result codes with details and a position."""

import typing

from hawthornfold.codes.registry import ResultCode


class Failure(typing.NamedTuple):
    """A result code with details and the place of the fault.

    Parameters
    ----------
    code : ResultCode
        What went wrong.
    detail : str
        One sentence with the values at fault.
    path : str
        Path of the field at fault, as in ``rules[2].then.urgency``.
    line, column : int
        Position in the document, counted from 1; 0 if unknown.
    """

    code: ResultCode
    detail: str
    path: str = ''
    line: int = 0
    column: int = 0


def describe_failure(failure):
    """Return a failure as one line for commands and logs.

    Examples
    --------
    >>> describe_failure(Failure(ResultCode.FIELD_TYPE, 'not a number', 'a'))
    '202 FIELD_TYPE at a: not a number'
    """
    place = ''
    if failure.line:
        place = f' at line {failure.line} column {failure.column}'
    elif failure.path:
        place = f' at {failure.path}'
    code = failure.code
    return f'{int(code)} {code.name}{place}: {failure.detail}'
