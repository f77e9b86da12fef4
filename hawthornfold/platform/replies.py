"""Decodes the replies of the platform's store."""

import json
import re

_SURROGATE = re.compile('[\ud800-\udfff]')


def decode_reply(data, decoder):
    """Decode a reply, in which a key may contain invalid UTF-8.

    A key that one operator has mistyped must not make all others unreadable.

    Parameters
    ----------
    data : bytes
        JSON.
    decoder : msgspec.json.Decoder
        Decodes valid replies.

    Raises
    ------
    ValueError, RecursionError
        If it cannot be decoded.

    Examples
    --------
    >>> import msgspec
    >>> decode_reply(b'["a", "' + bytes([255]) + b'"]', msgspec.json.Decoder())
    ['a', '�']
    """
    try:
        return decoder.decode(data)
    except ValueError:
        return decoder.decode(_replace_invalid_text(data))


def _replace_invalid_text(data):
    """Return JSON in which U+FFFD replaces what is not valid UTF-8.

    That is both bytes and escaped surrogates without a partner, which msgspec
    refuses.
    """
    document = json.loads(data.decode('utf-8', 'replace'))
    text = json.dumps(document, ensure_ascii=False)
    return _SURROGATE.sub('\N{REPLACEMENT CHARACTER}', text).encode()
