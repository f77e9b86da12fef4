"""Checks settings and rules documents before they are published."""

from result import Err

from hawthornfold.codes import Failure
from hawthornfold.codes import ResultCode
from hawthornfold.commands import output
from hawthornfold.documents import parse_document
from hawthornfold.documents import read_file
from hawthornfold.rules import compile_rules
from hawthornfold.rules.schema import RulesDocument
from hawthornfold.settings import Settings
from hawthornfold.settings import parse_settings

_KINDS = {
    'settings': (Settings, parse_settings),
    'rules': (RulesDocument, compile_rules),
}


def recognise_kind(value):
    """Return the kind of a document, judged by its top-level fields.

    Parameters
    ----------
    value : object
        The decoded document.

    Returns
    -------
    str or None
        'settings' or 'rules', whichever shares more top-level fields with the
        document; None if neither shares any.

    Examples
    --------
    >>> recognise_kind({'rules': []}), recognise_kind({'colour': 'red'})
    ('rules', None)
    """
    if not isinstance(value, dict):
        return None
    field_counts = {
        kind: len(value.keys() & set(schema._fields))
        for kind, (schema, parse) in _KINDS.items()
    }
    best_kind = max(field_counts, key=field_counts.get)
    return best_kind if field_counts[best_kind] else None


def check_bytes(data, kind=None):
    """Parse and check a settings or rules document.

    Parameters
    ----------
    data : bytes
        The document as JSON with comments.
    kind : str, optional
        'settings' or 'rules'; by default the kind is recognised by the
        top-level fields.

    Returns
    -------
    result.Result
        Ok with the parsed document, or Err with a list of `Failure`.

    Examples
    --------
    >>> check_bytes(b'{"rules": {}}').err_value[0].detail
    'expected an array, got an object'
    """
    if kind is None:
        parsed = parse_document(data)
        if parsed.is_err():
            return Err([parsed.err_value])
        kind = recognise_kind(parsed.ok_value.value)
    if kind is None:
        detail = (
            'the top-level fields match neither settings nor rules; '
            'specify the kind with --kind'
        )
        return Err([Failure(ResultCode.FIELD_UNKNOWN, detail, '', 1, 1)])
    return _KINDS[kind][1](data)


def check_file(path, kind=None):
    """Check a file and print `valid` or its faults; return the exit status."""
    read = read_file(path)
    checked = (
        check_bytes(read.ok_value, kind)
        if read.is_ok()
        else Err([read.err_value])
    )
    if checked.is_err():
        for failure in checked.err_value:
            print(output.format_failure(failure))
        return output.EXIT_INVALID
    print('valid')
    return output.EXIT_DONE
