import json
import pathlib
import tempfile
import unittest

from hypothesis import given
from hypothesis import strategies
import msgspec
import zmq

from hawthornfold import settings
from hawthornfold.codes import ResultCode
from hawthornfold.documents.tests import strategies as document_strategies

MINIMAL = {
    'cluster': 'lipovec',
    'node': {
        'name': 'entry-1',
        'data_centre': 'zilina-1',
        'host': '127.0.0.1',
    },
    'callers': {'port': 8080},
    'operators': {'port': 8081},
    'peers': {'port': 7000},
    'platform': {'addresses': ['127.0.0.1:9000']},
}
SETTINGS_PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'settings.md'


def to_dictionary(value):
    """Return nested NamedTuples as nested dictionaries."""
    if hasattr(value, '_asdict'):
        return {k: to_dictionary(v) for k, v in value._asdict().items()}
    if isinstance(value, tuple):
        return [to_dictionary(item) for item in value]
    return value


def parse_content(content):
    return settings.parse_settings(json.dumps(content).encode())


def change_section(section, **fields):
    return {**MINIMAL, section: {**MINIMAL.get(section, {}), **fields}}


def create_key_pair():
    public, secret = zmq.curve_keypair()
    return {'public': public.decode(), 'secret': secret.decode()}


class SettingsTest(unittest.TestCase):
    def assert_failure(self, content, code, path):
        failures = parse_content(content).err() or []
        self.assertEqual([(f.code, f.path) for f in failures], [(code, path)])

    def test_all_fields_survive_a_round_trip(self):
        # Guards against a field that gets the value of another one.
        given_settings = parse_content(MINIMAL).ok()
        content = to_dictionary(given_settings)
        content['peers'] = {
            'port': 1,
            'encryption': True,
            'keys': [create_key_pair()],
        }
        content['membership']['probe_timeout_ms'] = 10
        content['shutdown']['linger_ms'] = 0
        content['routing']['owner_policy'] = 'direct'
        parsed = parse_content(content).ok()
        self.assertEqual(to_dictionary(parsed), content)

    def test_defaults_match_the_settings_page(self):
        # Guards against docs/settings.md and the schema drifting apart.
        rows = {}
        for line in SETTINGS_PAGE.read_text().splitlines():
            cells = [cell.strip() for cell in line.strip('|').split('|')]
            if len(cells) == 4 and cells[0].startswith('`'):
                rows[cells[0].strip('`')] = cells[1].replace(',', '')
        expected = {'cluster': 'required'}
        for section, part in parse_content(MINIMAL).ok()._asdict().items():
            if section == 'cluster':
                continue
            for name in part._fields:
                default = part._field_defaults.get(name, 'required')
                text = 'none' if default == () else str(default)
                expected[f'{section}.{name}'] = (
                    text.lower() if isinstance(default, bool) else text
                )
        self.assertEqual(rows, expected)

    def test_all_faults_are_reported_with_positions(self):
        # Guards against reports of only the first fault. Operators would
        # correct one fault per attempt.
        data = b"""{
 "cluster": "Lipovec",
 "node": {"name": "entry-1", "data_centre": "z", "host": "localhost"},
 "callers": {"port": 80, "max_headrs": 9, "read_timeout_ms": "5s"},
 "operators": {"port": 80},
 "peers": {"port": 70000, "encryption": 1},
 "platform": {"addresses": ["10.0.0.1:1", "10.0.0.1"], "timeout_ms": 0.5},
 "membership": {"probe_interval_ms": 100, "probe_timeout_ms": 100},
 "routing": {"owner_policy": "rendezvos"}
}"""
        failures = settings.parse_settings(data).err()
        self.assertEqual(
            [(int(f.code), f.path, f.line, f.column) for f in failures],
            [
                (203, 'cluster', 2, 2),
                (203, 'node.host', 3, 50),
                (201, 'callers.max_headrs', 4, 26),
                (202, 'callers.read_timeout_ms', 4, 43),
                (203, 'peers.port', 6, 12),
                (202, 'peers.encryption', 6, 27),
                (203, 'platform.addresses[1]', 7, 43),
                (202, 'platform.timeout_ms', 7, 56),
                (203, 'membership.probe_timeout_ms', 8, 43),
                (203, 'routing.owner_policy', 9, 14),
            ],
        )
        details = [failure.detail for failure in failures]
        self.assertIn('did you mean "max_headers"?', details[2])
        self.assertIn('(milliseconds), got the string "5s"', details[3])
        self.assertIn('did you mean "rendezvous"?', details[9])

    def test_each_required_field_is_named_when_it_is_missing(self):
        # Guards against a node that starts without a required setting, such
        # as its name.
        for section in MINIMAL:
            rest = {k: v for k, v in MINIMAL.items() if k != section}
            with self.subTest(section):
                self.assert_failure(rest, ResultCode.FIELD_MISSING, section)

    def test_faults_across_fields_are_reported(self):
        # Guards against values of the right type with which a node cannot run.
        code = ResultCode.FIELD_RANGE
        pair = create_key_pair()
        mismatched_pair = {**pair, 'secret': create_key_pair()['secret']}
        for content, path in [
            (change_section('operators', port=8080), 'operators.port'),
            (change_section('peers', encryption=True), 'peers.keys'),
            (
                change_section('peers', keys=[pair, mismatched_pair]),
                'peers.keys[1]',
            ),
            (
                change_section('peers', keys=[{**pair, 'secret': 'é' * 40}]),
                'peers.keys[0]',
            ),
            (change_section('platform', addresses=[]), 'platform.addresses'),
            (
                change_section('platform', addresses=['h:1']),
                'platform.addresses[0]',
            ),
            (
                change_section('membership', suspect_timeout_ms=999),
                'membership.suspect_timeout_ms',
            ),
        ]:
            with self.subTest(path):
                self.assert_failure(content, code, path)

    def test_secrets_are_not_shown(self):
        # Guards against secret keys in logs and on terminals.
        pair = create_key_pair()
        parsed = parse_content(change_section('peers', keys=[pair])).ok()
        self.assertNotIn(pair['secret'], repr(parsed))
        for secret in (pair['secret'][1:], pair['secret'][::-1], [1234567]):
            keys = [{**pair, 'secret': secret}]
            failures = parse_content(change_section('peers', keys=keys)).err()
            self.assertNotIn(str(secret), str(failures))

    @given(
        strategies.one_of(
            strategies.binary(),
            document_strategies.damaged_documents(
                strategies.just(json.dumps(MINIMAL).encode())
            ),
            document_strategies.commented_documents(
                strategies.fixed_dictionaries(
                    {},
                    optional={
                        name: strategies.one_of(
                            document_strategies.VALUES,
                            strategies.just(MINIMAL[name]),
                        )
                        for name in MINIMAL
                    },
                )
            ).map(lambda drawn: drawn[0].encode()),
        )
    )
    def test_any_bytes_give_settings_or_located_failures(self, data):
        # Guards against a traceback in place of a numbered failure.
        parsed = settings.parse_settings(data)
        if parsed.is_err():
            self.assertTrue(parsed.err_value)
            for failure in parsed.err_value:
                self.assertIn(int(failure.code) // 100, (1, 2))
                self.assertGreater(failure.line, 0)
                self.assertTrue(failure.detail.isprintable())
        else:
            msgspec.json.encode(parsed.ok_value)

    def test_unreadable_files_are_reported(self):
        # Guards against a traceback for a directory or a missing file.
        with tempfile.TemporaryDirectory() as directory:
            for path in (directory, f'{directory}/missing', 'a\0b'):
                failures = settings.load_settings(path).err()
                self.assertEqual(
                    [failure.code for failure in failures],
                    [ResultCode.FILE_UNREADABLE],
                )
