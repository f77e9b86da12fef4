"""Reads and checks a settings file."""

from result import Err
from result import Ok
import zmq

from hawthornfold.codes import ResultCode
from hawthornfold.documents import Fault
from hawthornfold.documents import convert_document
from hawthornfold.documents import locate_faults
from hawthornfold.documents import parse_document
from hawthornfold.documents import read_file
from hawthornfold.settings.schema import Settings


def _create_range_fault(detail, *path):
    return Fault(ResultCode.FIELD_RANGE, detail, path)


def _check_peers(peers):
    if peers.encryption and not peers.keys:
        yield _create_range_fault(
            'encryption needs at least one key pair; '
            '"hawthornfold keys" prints one',
            'peers',
            'keys',
        )
    for index, pair in enumerate(peers.keys):
        try:
            public = zmq.curve_public(pair.secret.encode()).decode()
        except (ValueError, zmq.ZMQError):
            public = None
        if public != pair.public:
            yield _create_range_fault(
                'the secret key does not belong to the public key',
                'peers',
                'keys',
                index,
            )


def _check_membership(membership):
    if membership.probe_timeout_ms >= membership.probe_interval_ms:
        yield _create_range_fault(
            'must be less than probe_interval_ms '
            f'({membership.probe_interval_ms})',
            'membership',
            'probe_timeout_ms',
        )
    if membership.suspect_timeout_ms < membership.probe_interval_ms:
        yield _create_range_fault(
            'must be at least probe_interval_ms '
            f'({membership.probe_interval_ms}), so that a suspected node '
            'can answer one more probe',
            'membership',
            'suspect_timeout_ms',
        )


_CHECKS = {
    'peers': _check_peers,
    'membership': _check_membership,
}


def _check_ports(valid_objects):
    sections_by_port = {}
    for name in ('callers', 'operators', 'peers'):
        section = valid_objects.get((name,))
        if section is None:
            continue
        if section.port in sections_by_port:
            yield _create_range_fault(
                f'port {section.port} is already used by '
                f'{sections_by_port[section.port]}',
                name,
                'port',
            )
        sections_by_port.setdefault(section.port, name)


def _check_sections(valid_objects):
    """Yield the faults that the schema of a single field does not cover."""
    for name, check in _CHECKS.items():
        section = valid_objects.get((name,))
        if section is not None:
            yield from check(section)
    yield from _check_ports(valid_objects)


def parse_settings(data):
    """Parse and check the bytes of a settings file.

    Parameters
    ----------
    data : bytes
        JSON with comments, as in section 8.2 of docs/design.md.

    Returns
    -------
    result.Result
        Ok with `Settings`, or Err with a list of `Failure` in document
        order, each with its position.

    Examples
    --------
    >>> for failure in parse_settings(b'[]').err_value:
    ...     print(failure.detail)
    expected an object, got an array
    """
    parsed = parse_document(data)
    if parsed.is_err():
        return Err([parsed.err_value])
    document = parsed.ok_value
    conversion = convert_document(document, Settings)
    faults = conversion.faults + list(
        _check_sections(conversion.valid_objects)
    )
    if faults:
        return Err(locate_faults(document, faults))
    return Ok(conversion.value)


def load_settings(path):
    """Read, parse and check a settings file.

    Parameters
    ----------
    path : str or os.PathLike
        The file.

    Returns
    -------
    result.Result
        Ok with `Settings`, or Err with a list of `Failure`.
    """
    read = read_file(path)
    if read.is_err():
        return Err([read.err_value])
    return parse_settings(read.ok_value)
