"""Conversion of documents to NamedTuples, with every fault reported.

A schema is a NamedTuple class whose annotations are what
`msgspec.convert` accepts, other such classes, and tuples or dictionaries of
them. msgspec converts each field on its own, because it stops at the first
fault of what it is given and an operator wants them all.
"""

import difflib
import functools
import operator
import re
import typing

import msgspec

from hawthornfold.codes import Failure
from hawthornfold.codes import ResultCode
from hawthornfold.documents.document import format_path
from hawthornfold.documents.document import shorten

# Nobody reads more, and describing one fault costs more than finding it.
MAX_FAILURES = 100

_UNITS = {
    'ms': 'milliseconds',
    'bytes': 'bytes',
    'percent': 'percent',
}
_TYPE_NAMES = {
    dict: 'an object',
    list: 'an array',
    str: 'a string',
    bool: 'a boolean',
    int: 'an integer',
    float: 'a number',
    type(None): 'null',
}
_MSGSPEC_NAMES = {
    'object': 'an object',
    'array': 'an array',
    'str': 'a string',
    'bool': 'a boolean',
    'int': 'an integer',
    'float': 'a number',
}
_LEAF_PATH = re.compile(r' - at `\$((?:\[\d+\])*)`$')
_MAX_NAME_CHARACTERS = 64
_INVALID = object()


class Fault(typing.NamedTuple):
    """A failure whose position has not been looked up.

    Parameters
    ----------
    code : ResultCode
        What is wrong.
    detail : str
        One sentence with the values at fault.
    path : tuple of str and int
        Keys and indexes from the root of the document.
    """

    code: ResultCode
    detail: str
    path: tuple


def locate_faults(document, faults):
    """Return the failures for `faults`, in the order of the document.

    At most `MAX_FAILURES` are returned.
    """
    faults = faults[:MAX_FAILURES]
    positions = document.positions([fault.path for fault in faults])
    failures = [
        Failure(
            fault.code,
            fault.detail,
            format_path(fault.path),
            *positions[fault.path],
        )
        for fault in faults
    ]
    return sorted(failures, key=lambda failure: failure[3:])


def suggest(name, known):
    """Return '; did you mean ...?' for the closest known name, or ''.

    Examples
    --------
    >>> suggest('pert', ['port', 'host'])
    '; did you mean "port"?'
    """
    # Comparing is quadratic in the length of the names.
    if len(name) <= _MAX_NAME_CHARACTERS:
        close = difflib.get_close_matches(name, sorted(known), 1)
        if close:
            return f'; did you mean "{close[0]}"?'
    return ''


def _show(value):
    kind = _TYPE_NAMES.get(type(value), type(value).__name__)
    if isinstance(value, str):
        return f'the string "{shorten(value)}"'
    if isinstance(value, (bool, type(None))):
        return msgspec.json.encode(value).decode()
    if isinstance(value, int) and value.bit_length() > 128:
        return 'an integer of more than 128 bits'
    if isinstance(value, (int, float)):
        return f'{kind}, {value}'
    return kind


def _is_schema(hint):
    return isinstance(hint, type) and hasattr(hint, '_field_defaults')


def _read_extra(hint, name):
    """Return an entry of the `extra` of an annotated type, or None.

    ``hidden`` says that values must not be shown; ``expected`` is the text
    to show in place of a regular expression.
    """
    for meta in getattr(hint, '__metadata__', ()):
        if isinstance(meta, msgspec.Meta) and meta.extra:
            return meta.extra.get(name)
    return None


def _name_types(expected):
    """Return msgspec's wording with the type names of JSON.

    Examples
    --------
    >>> _name_types('Expected `int | null`')
    'expected an integer or null'
    """
    text = re.sub(
        '`([a-z| ]+)`',
        lambda match: ' or '.join(
            _MSGSPEC_NAMES.get(name, name)
            for name in match.group(1).split(' | ')
        ),
        expected,
    )
    return text[:1].lower() + text[1:].replace('`', '')


class _Converter:
    def __init__(self):
        self.faults = []
        self.parts = {}

    @property
    def is_full(self):
        return len(self.faults) >= MAX_FAILURES

    def _report(self, code, detail, path):
        self.faults.append(Fault(code, detail, path))

    def convert(self, value, hint, path):
        """Return the converted value, or _INVALID after a report."""
        if self.is_full:
            return _INVALID
        if _is_schema(hint):
            return self._convert_object(value, hint, path)
        origin = typing.get_origin(hint)
        arguments = typing.get_args(hint)
        if origin is typing.Literal:
            return self._convert_choice(value, arguments, path)
        if type(None) in arguments:
            if value is None:
                return None
            rest = tuple(a for a in arguments if a is not type(None))
            return self.convert(
                value, functools.reduce(operator.or_, rest), path
            )
        if origin is typing.Annotated and typing.get_origin(arguments[0]) in (
            tuple,
            dict,
        ):
            return self._convert_many(value, hint, arguments, path)
        return self._convert_leaf(value, hint, path)

    def _convert_object(self, value, schema, path):
        if not isinstance(value, dict):
            self._report(
                ResultCode.FIELD_TYPE,
                f'expected an object, got {_show(value)}',
                path,
            )
            return _INVALID
        hints = typing.get_type_hints(schema, include_extras=True)
        for name in value:
            if name not in hints and not self.is_full:
                self._report(
                    ResultCode.FIELD_UNKNOWN,
                    f'there is no field "{shorten(name)}" here'
                    + suggest(name, hints.keys() - value.keys()),
                    (*path, name),
                )
        fields = {}
        for name, hint in hints.items():
            if name in value:
                fields[name] = self.convert(value[name], hint, (*path, name))
            elif name in schema._field_defaults:
                fields[name] = schema._field_defaults[name]
            else:
                fields[name] = _INVALID
                self._report(
                    ResultCode.FIELD_MISSING,
                    f'the field "{name}" is required',
                    (*path, name),
                )
        if any(field is _INVALID for field in fields.values()):
            return _INVALID
        part = self.parts[path] = schema(**fields)
        return part

    def _convert_choice(self, value, choices, path):
        if value in choices and isinstance(value, str):
            return value
        named = ', '.join(f'"{choice}"' for choice in choices)
        if isinstance(value, str):
            code = ResultCode.FIELD_RANGE
            hint = suggest(value, choices)
        else:
            code = ResultCode.FIELD_TYPE
            hint = ''
        self._report(
            code, f'expected one of {named}, got {_show(value)}{hint}', path
        )
        return _INVALID

    def _convert_many(self, value, hint, arguments, path):
        """Convert a tuple or a dictionary whose items are checked apart."""
        container = typing.get_origin(arguments[0])
        item_hint = typing.get_args(arguments[0])
        any_items = dict[str, typing.Any] if container is dict else list
        shallow = typing.Annotated[any_items, *hint.__metadata__]
        if self._convert_leaf(value, shallow, path) is _INVALID:
            return _INVALID
        if container is dict:
            items = {
                key: self.convert(item, item_hint[1], (*path, key))
                for key, item in value.items()
            }
            return _INVALID if _INVALID in items.values() else items
        items = tuple(
            self.convert(item, item_hint[0], (*path, index))
            for index, item in enumerate(value)
        )
        return _INVALID if any(i is _INVALID for i in items) else items

    def _convert_leaf(self, value, hint, path):
        try:
            return msgspec.convert(value, hint)
        except msgspec.ValidationError as error:
            message = str(error)
        match = _LEAF_PATH.search(message)
        if match:
            message = message[: match.start()]
            steps = [int(step) for step in re.findall(r'\d+', match.group(1))]
            for step in steps:
                value = value[step]
            path = (*path, *steps)
        code = ResultCode.FIELD_RANGE
        expected, _, _ = message.partition(', got ')
        if expected != message:
            code = ResultCode.FIELD_TYPE
        wording = _read_extra(hint, 'expected')
        if wording and code is ResultCode.FIELD_RANGE:
            detail = f'expected {wording}'
        else:
            detail = _name_types(expected)
        names = [step for step in path if isinstance(step, str)]
        unit = _UNITS.get(names[-1].rsplit('_', 1)[-1]) if names else None
        if unit:
            detail += f' ({unit})'
        if not _read_extra(hint, 'hidden'):
            detail += f', got {_show(value)}'
        self._report(code, detail, path)
        return _INVALID


class Conversion(typing.NamedTuple):
    """The outcome of converting a document.

    Parameters
    ----------
    value : object
        The converted document, or None if there are faults.
    parts : dict of tuple to object
        By path, every object of the document that is valid on its own, so
        that further checks can go on despite faults elsewhere.
    faults : list of Fault
        What is wrong, at most `MAX_FAILURES`.
    """

    value: object
    parts: dict
    faults: list


def convert_document(document, schema):
    """Convert a document to a NamedTuple, collecting every fault.

    Parameters
    ----------
    document : Document
        The parsed document.
    schema : type
        A NamedTuple class. Fields without a default are required. A tuple or
        dictionary whose items are schemas must be ``Annotated``.

    Returns
    -------
    Conversion
        The converted document, or what is wrong with it.

    Examples
    --------
    >>> from hawthornfold.documents import parse_document
    >>> class Timer(typing.NamedTuple):
    ...     period_ms: int
    >>> document = parse_document(b'{"period_ms": "80ms"}').ok_value
    >>> print(convert_document(document, Timer).faults[0].detail)
    expected an integer (milliseconds), got the string "80ms"
    """
    converter = _Converter()
    converted = converter.convert(document.value, schema, ())
    faults = converter.faults[:MAX_FAILURES]
    return Conversion(None if faults else converted, converter.parts, faults)
