"""Compresses documents to zstandard frames against an older document."""

import collections

import result
import zstandard

from hawthornfold.codes import Failure
from hawthornfold.codes import ResultCode
from hawthornfold.sources import MAX_VALUE_BYTES

_LEVEL = 3
# Frames in the cache. Several nodes pull a change against the same base; the
# cache keeps the work per change constant.
_CACHE_ENTRIES = 64


def encode_document(value, base):
    """Compress a document.

    Parameters
    ----------
    value : bytes
        The document.
    base : bytes or None
        A document that the receiver holds; None for a full document.

    Returns
    -------
    bytes
        A zstandard frame.

    Examples
    --------
    >>> frame = encode_document(b'abcabcabd', b'abcabcabc')
    >>> decode_document(frame, b'abcabcabc').ok()
    b'abcabcabd'
    """
    dictionary = None
    if base:
        dictionary = zstandard.ZstdCompressionDict(
            base, dict_type=zstandard.DICT_TYPE_RAWCONTENT
        )
    compressor = zstandard.ZstdCompressor(
        level=_LEVEL, dict_data=dictionary, write_content_size=True
    )
    return compressor.compress(value)


def decode_document(payload, base):
    """Decompress what `encode_document` returned.

    Parameters
    ----------
    payload : bytes
        The frame.
    base : bytes or None
        The document that the frame was compressed against.

    Returns
    -------
    Result
        Ok of bytes, or Err of Failure 601.

    Examples
    --------
    >>> decode_document(b'abc', None).is_err()
    True
    """
    try:
        # The declared size is checked first, because the library allocates
        # that many bytes before it decompresses.
        size = zstandard.get_frame_parameters(payload).content_size
        if not 0 <= size <= MAX_VALUE_BYTES:
            return _refuse(f'a document of {size} bytes')
        dictionary = None
        if base:
            dictionary = zstandard.ZstdCompressionDict(
                base, dict_type=zstandard.DICT_TYPE_RAWCONTENT
            )
        decompressor = zstandard.ZstdDecompressor(dict_data=dictionary)
        return result.Ok(decompressor.decompress(payload))
    except zstandard.ZstdError as error:
        return _refuse(str(error))


def _refuse(detail):
    return result.Err(Failure(ResultCode.PEER_BAD_MESSAGE, detail))


class DeltaEncoder:
    """Encodes documents and caches the most recent frames."""

    def __init__(self):
        self._frames = collections.OrderedDict()

    def encode(self, record, base_digest, base):
        """Return the frame of `record` against `base`."""
        cache_key = (record.digest, base_digest if base else 0)
        frame = self._frames.get(cache_key)
        if frame is None:
            frame = encode_document(record.value, base)
            self._frames[cache_key] = frame
            if len(self._frames) > _CACHE_ENTRIES:
                self._frames.popitem(last=False)
        return frame
