"""Parses the platform's replies, and encodes VM lists for the store."""

import ipaddress
import typing

import msgspec
import result

from hawthornfold.codes import Failure
from hawthornfold.codes import ResultCode

# The maximum size of a value that the platform stores.
MAX_VALUE_BYTES = 1 << 20
MAX_KEY_CHARACTERS = 256

_Revision = typing.Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]


class KeyValue(typing.NamedTuple):
    """The state of a key on the platform; `value` None is a deletion."""

    revision: int
    value: bytes | None


class KeysReply(typing.NamedTuple):
    """Keys that are newer than the requested revision.

    Parameters
    ----------
    revision : int
        The platform's revision at the time of the read.
    keys : dict of str to KeyValue
        The valid keys.
    failures : tuple of Failure
        One failure for each key that is left out as invalid.
    """

    revision: int
    keys: dict[str, KeyValue]
    failures: tuple[Failure, ...] = ()


class VM(typing.NamedTuple):
    """A VM of the platform's list.

    The address of an entry VM is the ``ip:port`` of its peer link. The VM of
    a backend server has the server's name, so that the list shows which
    servers are leaving.
    """

    name: str
    address: str
    data_centre: str
    state: typing.Literal['live', 'leaving']
    role: typing.Literal['entry', 'backend'] = 'entry'


class VMsReply(typing.NamedTuple):
    """The platform's list of VMs, sorted by name."""

    revision: int
    vms: tuple[VM, ...]
    failures: tuple[Failure, ...] = ()


class _WireKeys(typing.TypedDict):
    revision: _Revision
    keys: dict[str, msgspec.Raw]


class _WireKey(typing.TypedDict):
    revision: _Revision
    value: str | None


class _WireVMs(typing.TypedDict):
    revision: _Revision
    vms: list[msgspec.Raw]


class _WireVM(typing.TypedDict):
    name: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
    address: typing.Annotated[str, msgspec.Meta(max_length=64)]
    data_centre: typing.Annotated[str, msgspec.Meta(max_length=256)]
    state: typing.Literal['live', 'leaving']
    role: typing.NotRequired[typing.Literal['entry', 'backend']]


_KEYS_DECODER = msgspec.json.Decoder(_WireKeys)
_KEY_DECODER = msgspec.json.Decoder(_WireKey)
_VMS_DECODER = msgspec.json.Decoder(_WireVMs)
_VM_DECODER = msgspec.json.Decoder(_WireVM)
_VALUE_DECODER = msgspec.json.Decoder(tuple[VM, ...])


def _create_failure(detail, path=''):
    return Failure(ResultCode.PLATFORM_BAD_VALUE, detail, path)


def parse_keys_reply(data):
    """Parse the body of ``GET /v1/keys``.

    An invalid key is left out and reported as a failure, so that the other
    keys of the reply can be applied.

    Parameters
    ----------
    data : bytes
        The body.

    Returns
    -------
    Result
        Ok of KeysReply, or Err of Failure 702.

    Examples
    --------
    >>> parse_keys_reply(
    ...     b'{"revision": 3, "keys": {"a": {"revision": 2, "value": "x"}}}'
    ... ).ok().keys
    {'a': KeyValue(revision=2, value=b'x')}
    >>> parse_keys_reply(b'[]').err().code.name
    'PLATFORM_BAD_VALUE'
    """
    try:
        wire = _KEYS_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(_create_failure(f'not a list of keys: {error}'))
    keys = {}
    failures = []
    for name, raw in wire['keys'].items():
        parsed = _parse_key(name, raw)
        if parsed.is_ok():
            keys[name] = parsed.ok()
        else:
            failures.append(parsed.err())
    return result.Ok(KeysReply(wire['revision'], keys, tuple(failures)))


def _parse_key(name, raw):
    path = f'keys.{name[:MAX_KEY_CHARACTERS]}'
    if not 0 < len(name) <= MAX_KEY_CHARACTERS:
        return result.Err(
            _create_failure('the length of the name is invalid', path)
        )
    try:
        wire = _KEY_DECODER.decode(raw)
        text = wire['value']
        value = None if text is None else text.encode()
    except (msgspec.DecodeError, UnicodeError) as error:
        return result.Err(_create_failure(f'not a key: {error}', path))
    if value is not None and len(value) > MAX_VALUE_BYTES:
        detail = f'{len(value)} bytes exceed {MAX_VALUE_BYTES}'
        return result.Err(_create_failure(detail, path))
    return result.Ok(KeyValue(wire['revision'], value))


def parse_vms_reply(data):
    """Parse the body of ``GET /v1/vms``.

    Parameters
    ----------
    data : bytes
        The body.

    Returns
    -------
    Result
        Ok of VMsReply, or Err of Failure 702.

    Examples
    --------
    >>> parse_vms_reply(b'{"revision": 1, "vms": []}').ok()
    VMsReply(revision=1, vms=(), failures=())
    """
    try:
        wire = _VMS_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(_create_failure(f'not a list of VMs: {error}'))
    vms = {}
    failures = []
    for index, raw in enumerate(wire['vms']):
        path = f'vms[{index}]'
        try:
            fields = _VM_DECODER.decode(raw)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            failures.append(_create_failure(f'not a VM: {error}', path))
            continue
        vm = VM(**fields)
        if vm.name in vms:
            failures.append(
                _create_failure(f'{vm.name} is listed twice', path)
            )
        elif not _is_address(vm.address):
            failures.append(
                _create_failure(f'{vm.address} is not ip:port', path)
            )
        else:
            vms[vm.name] = vm
    ordered = tuple(vms[name] for name in sorted(vms))
    return result.Ok(VMsReply(wire['revision'], ordered, tuple(failures)))


def _is_address(text):
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) < 65536


def encode_vms(vms):
    """Encode a VM list as the value of the key ``vms``.

    The bytes do not depend on the order of `vms`, so that all nodes encode
    the same VMs to the same value.

    Parameters
    ----------
    vms : iterable of VM
        The VMs.

    Returns
    -------
    bytes
        A JSON list of lists, which is half the size of a list of objects.

    Examples
    --------
    >>> encode_vms([VM('a', '127.0.0.1:7000', 'dc', 'live')])
    b'[["a","127.0.0.1:7000","dc","live","entry"]]'
    """
    return msgspec.json.encode(sorted(vms))


def parse_vms(name, value):
    """Parse the value of the key ``vms``. This is the validator of that key.

    Parameters
    ----------
    name : str
        The key.
    value : bytes
        The value, as `encode_vms` returns it.

    Returns
    -------
    Result
        Ok of tuple of VM, or Err of list of Failure. An empty list is
        refused: it cannot be right, because the node that reads it runs on a
        VM, and applying it would remove all nodes from the membership.

    Examples
    --------
    >>> value = b'[["a","127.0.0.1:7000","dc","live","entry"]]'
    >>> parse_vms('vms', value).ok()[0].name
    'a'
    >>> parse_vms('vms', b'{}').is_err()
    True
    """
    try:
        vms = _VALUE_DECODER.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(
            [_create_failure(f'not a list of VMs: {error}', name)]
        )
    if not vms:
        return result.Err([_create_failure('the list is empty', name)])
    return result.Ok(vms)
