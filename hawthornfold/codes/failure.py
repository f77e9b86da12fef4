"""A failure: a result code with its details and position."""

import typing

from hawthornfold.codes.registry import ResultCode


class Failure(typing.NamedTuple):
    """One reported failure.

    Parameters
    ----------
    code : ResultCode
        What went wrong.
    detail : str
        One sentence with the values at fault.
    path : str
        Path of the field at fault, as in ``rules[2].then.urgency``.
    line, column : int
        Position in the document, from 1; 0 when not known.
    """

    code: ResultCode
    detail: str
    path: str = ''
    line: int = 0
    column: int = 0


def describe_failure(failure):
    """Return the one-line form printed by commands and logs.

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
