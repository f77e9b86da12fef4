"""Parses arbitrary bytes as JSON with comments.

pyjson5 does the parsing. This module adds limits of size and nesting and
positions in lines and columns, and refuses duplicate keys, hexadecimal
numbers, ``Infinity`` and ``NaN``.
"""

import re

import pyjson5
from result import Err
from result import Ok

from hawthornfold.codes import Failure
from hawthornfold.codes import ResultCode
from hawthornfold.documents import scanner

# The platform's configuration service stores values of at most 1 MB.
MAX_BYTES = 1_000_000
MAX_NESTING = 64
# Bounds the time to report a failure, about a microsecond per value. The
# largest document that the schema of rules allows has about 80,000 values.
MAX_VALUES = 100_000

_CODE_POINT = re.compile(r'U\+([0-9a-f]+)', re.IGNORECASE)
_ERROR_OFFSET = re.compile(r' near (\d+)')
_CODE_POINT = re.compile(r'U\+([0-9a-f]+)', re.IGNORECASE)
_NUMBER = re.compile(r'[+-]?(?:\d+\.?\d*|\.\d+)(?:[eE][+-]?\d+)?')
_MAX_SHOWN_CHARACTERS = 40
_MAX_SHOWN_PATH_CHARACTERS = 400


def format_path(path):
    """Return a path of keys and indexes as text.

    Examples
    --------
    >>> format_path(('rules', 2, 'then', 'urgency'))
    'rules[2].then.urgency'
    >>> format_path(('headers', 'x-a b'))
    'headers["x-a b"]'
    """
    text = ''
    for step in path:
        if isinstance(step, int):
            text += f'[{step}]'
        elif re.fullmatch(r'[\w-]+', step):
            text += f'.{step}' if text else step
        else:
            text += f'["{shorten(step)}"]'
    return text


def shorten(text, limit=_MAX_SHOWN_CHARACTERS):
    """Return `text` as one printable line of at most `limit` characters.

    Characters that cannot be printed are escaped afterwards, which may make
    the line longer than the limit.

    Examples
    --------
    >>> shorten('a' * 50)
    'aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa...'
    """
    if len(text) > limit:
        text = text[: limit - 3] + '...'
    return ''.join(
        character
        if character.isprintable()
        else character.encode('unicode_escape', 'replace').decode('ascii')
        for character in text
    )


class Document:
    """A parsed document that can locate its fields in the text."""

    def __init__(self, text, value):
        self._text = text
        self._value = value

    @property
    def value(self):
        """The parsed value: dict, list, str, int, float, bool or None."""
        return self._value

    def position(self, path):
        r"""Return (line, column) of the field at `path`, counted from 1.

        The position of an object member is that of its key. For a path that
        does not exist, it is that of the innermost container that does.

        Examples
        --------
        >>> parse_document(b'{"a": [7,\n 8]}').ok_value.position(('a', 1))
        (2, 2)
        """
        return self.positions([path])[path]

    def positions(self, paths):
        """Return a dictionary from each path to (line, column).

        The text is scanned once for all paths.
        """
        paths = [tuple(path) for path in paths]
        prefixes = {
            path[:length] for path in paths for length in range(len(path) + 1)
        }
        offsets = scanner.find_offsets(self._text, prefixes)
        positions = {}
        for path in paths:
            nearest = path
            while nearest not in offsets:
                nearest = nearest[:-1]
            positions[path] = _line_and_column(self._text, offsets[nearest])
        return positions


def _line_and_column(text, offset):
    line_start = text.rfind('\n', 0, offset) + 1
    return text.count('\n', 0, offset) + 1, offset - line_start + 1


def _create_error(code, detail, text='', offset=0, path=()):
    line, column = _line_and_column(text, offset)
    return Err(Failure(code, detail, format_path(path), line, column))


def _locate_syntax_error(text, error):
    """Return the offset of the character that pyjson5 refuses."""
    match = _ERROR_OFFSET.search(error.args[0])
    offset = max(0, int(match.group(1)) - 1) if match else 0
    if isinstance(error, pyjson5.Json5ExtraData):
        # pyjson5 reports the number of characters it has read. It reads one
        # character past a number to find its end, but not past other values.
        _, value, character = error.args
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            offset += 1
        while offset < len(text) and text[offset] != character:
            offset = max(
                offset + 1, scanner.skip_whitespace_and_comments(text, offset)
            )
    return min(offset, len(text))


def _create_syntax_error(text, error):
    """Return Err with the position and reason of pyjson5's error."""
    offset = _locate_syntax_error(text, error)
    if isinstance(error, pyjson5.Json5NestingTooDeep):
        return _create_error(
            ResultCode.DOCUMENT_TOO_LARGE,
            f'values are nested more than {MAX_NESTING} deep',
            text,
            offset,
        )
    message = error.args[0]
    if 'NumericLiteral' in message:
        number = _NUMBER.match(text, offset)
        if number and number.end() > offset + 1:
            return _create_error(
                ResultCode.DOCUMENT_NUMBER,
                f'{shorten(number.group())} is too large a number',
                text,
                offset,
            )
    message = _ERROR_OFFSET.sub('', message).replace("b'", "'")
    message = message.replace(' starting', ' that starts here')
    message = _CODE_POINT.sub(_format_code_point, message)
    return _create_error(ResultCode.DOCUMENT_SYNTAX, message, text, offset)


def _format_code_point(match):
    character = chr(int(match.group(1), 16))
    return f"'{character}'" if character.isprintable() else match.group()


def _count_members(value):
    """Return the number of object members in `value`, at any depth."""
    total = 0
    containers = [value]
    while containers:
        container = containers.pop()
        if isinstance(container, dict):
            total += len(container)
            container = container.values()
        elif not isinstance(container, list):
            continue
        containers.extend(
            item for item in container if isinstance(item, (dict, list))
        )
    return total


def _check_content(text, value):
    """Return Err for content that pyjson5 accepts and this module does not.

    These are too many values, duplicate keys and unsupported numbers. The
    result is None if there are none. Outside strings and comments a colon
    only occurs in an object member, so comparing the number of colons with
    that of members detects a duplicate key without a scan in Python.
    """
    stripped = scanner.remove_strings_and_comments(text)
    values = sum(stripped.count(mark) for mark in '[{,')
    if values > MAX_VALUES:
        return _create_error(
            ResultCode.DOCUMENT_TOO_LARGE,
            f'about {values} values are more than {MAX_VALUES}',
        )
    if stripped.count(':') != _count_members(value):
        found = scanner.find_duplicate_key(text)
        if found is not None:
            path, offset = found
            return _create_error(
                ResultCode.DOCUMENT_DUPLICATE_KEY,
                f'the key "{shorten(path[-1])}" occurs twice in one object',
                text,
                offset,
                path,
            )
    if scanner.has_unsupported_number(stripped):
        found = scanner.find_unsupported_number(text)
        if found is not None:
            path, offset, word = found
            return _create_error(
                ResultCode.DOCUMENT_NUMBER,
                f'{shorten(word)} is not a finite decimal number',
                text,
                offset,
                path,
            )
    return None


def parse_document(data):
    """Parse JSON with comments.

    Parameters
    ----------
    data : bytes
        UTF-8 text of at most `MAX_BYTES`, with or without a byte order mark.

    Returns
    -------
    result.Result
        Ok with a `Document`, or Err with one `Failure` that has a position.

    Examples
    --------
    >>> parse_document(b'{"port": 80} // HTTP').ok_value.value
    {'port': 80}
    >>> parse_document(b'{"port": 80, "port": 81}').err_value.column
    14
    """
    if len(data) > MAX_BYTES:
        return _create_error(
            ResultCode.DOCUMENT_TOO_LARGE,
            f'the document has more than {MAX_BYTES} bytes',
        )
    try:
        text = data.decode('utf-8-sig')
    except UnicodeDecodeError as error:
        valid_text = error.object[: error.start].decode('utf-8')
        return _create_error(
            ResultCode.DOCUMENT_ENCODING,
            f'byte 0x{error.object[error.start]:02x} is not valid UTF-8',
            valid_text,
            len(valid_text),
        )
    try:
        value = pyjson5.decode(text, MAX_NESTING)
    except pyjson5.Json5DecoderException as error:
        return _create_syntax_error(text, error)
    refusal = _check_content(text, value)
    if refusal is not None:
        return refusal
    return Ok(Document(text, value))


def read_file(path):
    """Read the bytes of a document file.

    At most `MAX_BYTES` + 1 bytes are read, so that `parse_document` refuses a
    file that is too large.

    Parameters
    ----------
    path : str or os.PathLike
        The file.

    Returns
    -------
    result.Result
        Ok with bytes, or Err with a `Failure`.
    """
    try:
        with open(path, 'rb') as file:
            return Ok(file.read(MAX_BYTES + 1))
    except (OSError, ValueError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        shown = shorten(str(path), _MAX_SHOWN_PATH_CHARACTERS)
        return Err(
            Failure(ResultCode.FILE_UNREADABLE, f'{shown}: {reason}', shown)
        )
