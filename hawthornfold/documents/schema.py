"""Converts documents to NamedTuples and reports every fault.

A schema is a NamedTuple class whose annotations are other such classes,
annotated tuples and dictionaries of them, literal strings, or any type that
`msgspec.convert` accepts. msgspec stops at the first fault, so it is given
one field at a time: operators get all faults at once.
"""

import enum
import functools
import re
import typing

import msgspec

from hawthornfold.codes import Failure
from hawthornfold.codes import ResultCode
from hawthornfold.documents import wording
from hawthornfold.documents.document import format_path
from hawthornfold.documents.document import shorten

# Bounds the failures reported for a document. Operators do not read more, and
# describing a fault takes longer than finding it.
MAX_FAILURES = 100

_LEAF_PATH = re.compile(r' - at `\$((?:\[\d+\])*)`$')
_INVALID = object()


class Fault(typing.NamedTuple):
    """A failure that has a path, but no line and column yet.

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
    """Return faults as failures with positions, in document order.

    Only the first `MAX_FAILURES` faults are converted.
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


class _Kind(enum.Enum):
    OBJECT = 'object'
    ARRAY = 'array'
    MAPPING = 'mapping'
    CHOICE = 'choice'
    LEAF = 'leaf'


class _Shape(typing.NamedTuple):
    """How to convert and check the values of an annotation.

    Parameters
    ----------
    kind : _Kind
        Selects the method that converts a value.
    hint : object
        The type that msgspec checks: the whole annotation, or the container
        without the types of its items.
    accepts_null : bool
        Whether None is accepted as well.
    content : object
        The schema of an object, the shape of the items of an array or
        mapping, or the strings of a choice.
    keys : _Shape
        The shape of the keys of a mapping.
    check : callable
        Returns what is wrong with a string, or None if it is valid.
    """

    kind: _Kind
    hint: object
    accepts_null: bool = False
    content: object = None
    keys: object = None
    check: object = None


def _create_shape(hint):
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if isinstance(hint, type) and hasattr(hint, '_field_defaults'):
        return _Shape(_Kind.OBJECT, hint, False, hint)
    if origin is typing.Literal:
        return _Shape(_Kind.CHOICE, hint, False, arguments)
    if type(None) in arguments and len(arguments) == 2:
        return _create_shape(arguments[0])._replace(accepts_null=True)
    if origin is typing.Annotated:
        items = typing.get_args(arguments[0])
        container = typing.get_origin(arguments[0])
        limits = hint.__metadata__
        if container is tuple:
            hint = typing.Annotated[list, *limits]
            return _Shape(_Kind.ARRAY, hint, False, _create_shape(items[0]))
        if container is dict:
            hint = typing.Annotated[dict[str, typing.Any], *limits]
            keys, content = map(_create_shape, items)
            return _Shape(_Kind.MAPPING, hint, False, content, keys)
    check = wording.read_extra(hint, 'check')
    return _Shape(_Kind.LEAF, hint, check=check)


# Cached, because resolving the annotations takes longer than converting an
# object.
@functools.cache
def _create_field_shapes(schema):
    hints = typing.get_type_hints(schema, include_extras=True)
    return {name: _create_shape(hint) for name, hint in hints.items()}


class _Converter:
    """Converts one document; collects its faults and valid objects."""

    def __init__(self):
        self.faults = []
        self.valid_objects = {}
        self._methods = {
            _Kind.OBJECT: self._convert_object,
            _Kind.ARRAY: self._convert_array,
            _Kind.MAPPING: self._convert_mapping,
            _Kind.CHOICE: self._convert_choice,
            _Kind.LEAF: self._convert_leaf,
        }

    def convert(self, value, shape, path):
        """Return the converted value, or _INVALID if it has a fault."""
        if value is None and shape.accepts_null:
            return None
        if len(self.faults) >= MAX_FAILURES:
            return _INVALID
        return self._methods[shape.kind](value, shape, path)

    def _add_fault(self, code, detail, path):
        self.faults.append(Fault(code, detail, path))

    def _convert_object(self, value, shape, path):
        if not isinstance(value, dict):
            self._add_fault(
                ResultCode.FIELD_TYPE,
                f'expected an object, got {wording.describe_value(value)}',
                path,
            )
            return _INVALID
        schema = shape.content
        fields = _create_field_shapes(schema)
        if not value.keys() <= fields.keys():
            self._add_unknown_fields(value, fields, path)
        converted = []
        for name, field in fields.items():
            if name in value:
                item = self.convert(value[name], field, (*path, name))
            elif name in schema._field_defaults:
                item = schema._field_defaults[name]
            else:
                item = _INVALID
                self._add_fault(
                    ResultCode.FIELD_MISSING,
                    f'the field "{name}" is required',
                    (*path, name),
                )
            converted.append(item)
        if _INVALID in converted:
            return _INVALID
        valid_object = self.valid_objects[path] = schema(*converted)
        return valid_object

    def _add_unknown_fields(self, value, fields, path):
        absent = [name for name in fields if name not in value]
        for name in value:
            if name not in fields:
                self._add_fault(
                    ResultCode.FIELD_UNKNOWN,
                    f'there is no field "{shorten(name)}" here'
                    + wording.suggest_name(name, absent),
                    (*path, name),
                )
                if len(self.faults) >= MAX_FAILURES:
                    break

    def _convert_choice(self, value, shape, path):
        choices = shape.content
        if isinstance(value, str) and value in choices:
            return value
        code = ResultCode.FIELD_TYPE
        hint = ''
        if isinstance(value, str):
            code = ResultCode.FIELD_RANGE
            hint = wording.suggest_name(value, choices)
        named = ', '.join(f'"{choice}"' for choice in choices)
        shown = wording.describe_value(value)
        self._add_fault(
            code, f'expected one of {named}, got {shown}{hint}', path
        )
        return _INVALID

    def _convert_mapping(self, value, shape, path):
        if self._convert_leaf(value, shape, path) is _INVALID:
            return _INVALID
        items = {}
        for key, item in value.items():
            key_path = (*path, key)
            items[key] = self.convert(item, shape.content, key_path)
            if self.convert(key, shape.keys, key_path) is _INVALID:
                items[key] = _INVALID
        return _INVALID if _INVALID in items.values() else items

    def _convert_array(self, value, shape, path):
        if self._convert_leaf(value, shape, path) is _INVALID:
            return _INVALID
        items = tuple(
            self.convert(item, shape.content, (*path, index))
            for index, item in enumerate(value)
        )
        return _INVALID if _INVALID in items else items

    def _convert_leaf(self, value, shape, path):
        try:
            converted = msgspec.convert(value, shape.hint)
        except msgspec.ValidationError as error:
            self._add_leaf_fault(value, shape, path, str(error))
            return _INVALID
        if shape.check and not self._check_strings(converted, shape, path):
            return _INVALID
        return converted

    def _check_strings(self, value, shape, path):
        """Return whether a string, or every string of a list, is valid."""
        strings = {path: value}
        if not isinstance(value, str):
            strings = {(*path, i): item for i, item in enumerate(value)}
        is_valid = True
        for string_path, string in strings.items():
            detail = shape.check(string)
            if detail is not None:
                is_valid = False
                self._add_fault(ResultCode.FIELD_RANGE, detail, string_path)
        return is_valid

    def _add_leaf_fault(self, value, shape, path, message):
        match = _LEAF_PATH.search(message)
        if match:
            message = message[: match.start()]
            steps = [int(step) for step in re.findall(r'\d+', match.group(1))]
            for step in steps:
                value = value[step]
            path = (*path, *steps)
        # msgspec only adds the actual type if the type is wrong.
        expected, got, _ = message.partition(', got ')
        code = ResultCode.FIELD_TYPE if got else ResultCode.FIELD_RANGE
        expected_text = wording.read_extra(shape.hint, 'expected')
        if expected_text and not got:
            detail = f'expected {expected_text}'
        else:
            detail = wording.use_json_type_names(
                expected
            ) + wording.describe_unit(path)
        if not wording.read_extra(shape.hint, 'hidden'):
            detail += f', got {wording.describe_value(value)}'
        self._add_fault(code, detail, path)


class Conversion(typing.NamedTuple):
    """The result of converting a document.

    Parameters
    ----------
    value : object
        The converted document, or None if there are faults.
    valid_objects : dict of tuple to object
        Every valid object of the document by its path, so that further
        checks can run on it despite faults elsewhere.
    faults : list of Fault
        The faults found, at most `MAX_FAILURES`.
    """

    value: object
    valid_objects: dict
    faults: list


def convert_document(document, schema):
    """Convert a document to a NamedTuple and collect its faults.

    Parameters
    ----------
    document : Document
        The parsed document.
    schema : type
        A NamedTuple class. Fields without a default are required. Tuples and
        dictionaries must be ``Annotated`` for their items to be converted
        one by one. The `extra` of a `msgspec.Meta` may have three entries:
        ``expected`` describes the valid values in a fault, ``check`` is a
        function that returns what is wrong with a string or None, and
        ``hidden`` keeps the value out of a fault.

    Returns
    -------
    Conversion
        The converted document, or its faults.

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
    converted = converter.convert(document.value, _create_shape(schema), ())
    faults = converter.faults[:MAX_FAILURES]
    return Conversion(
        None if faults else converted, converter.valid_objects, faults
    )
