"""Malformed items of the store.

Guards against failure 4 of docs/design/server-signals.md, R7: one malformed
item stops a node from reading the store, or from passing on what it reads.
"""

import copy
import math
import unittest

from hawthornfold.directory import ServerChange
from hawthornfold.directory import StoreNews
from hawthornfold.directory import StorePosition
from hawthornfold.directory import create_server_directory
from hawthornfold.directory.configuration_codec import encode_configuration
from hawthornfold.directory.positions import UNKNOWN_ERA
from hawthornfold.directory.update_codec import UpdateDecoder
from hawthornfold.directory.update_codec import create_update
from hawthornfold.metrics import create_metrics
from hawthornfold.peers import codec
from hawthornfold.platform import documents
from hawthornfold.platform.tests import test_documents

ABSURD_VALUES = (
    2**53 + 1,
    2**63,
    2**64,
    10**30,
    -(10**30),
    1e300,
    1e308,
    -1e308,
    0,
    -1,
    None,
    True,
    '',
    '9' * 5_000,
    'a\0\r\nb: c',
    '\ud800',
    [],
    {},
)


def list_paths(document):
    """Yield the path of each value in a JSON document."""
    items = ()
    if isinstance(document, dict):
        items = document.items()
    elif isinstance(document, list):
        items = enumerate(document)
    for key, value in items:
        yield (key,)
        for path in list_paths(value):
            yield (key, *path)


def replace(document, path, value):
    """Return a copy of a document with another value at a path."""
    changed = copy.deepcopy(document)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return changed


class MalformedItemTest(unittest.TestCase):
    def setUp(self):
        sender = codec.Sender('n', 1, '127.0.0.1:1')
        self.encoder = codec.FrameEncoder('c', sender)
        self.held = documents.decode_configuration(
            test_documents.encode(test_documents.CONFIGURATION)
        )

    def check(self, key, value):
        """Decode an item, and encode the result for other nodes."""
        good = test_documents.create_item(
            'servers/good', test_documents.encode(test_documents.ENTRY)
        )
        bad = test_documents.create_item(key, value)
        changes = documents.decode_items([bad, good], 9)
        self.assertEqual(changes.servers[-1].record.server_id, 'good')
        position = StorePosition(UNKNOWN_ERA, 1)
        self.encoder.encode(
            create_update(position, changes, self.held, None, None)
        )
        if changes.configuration is not None:
            self.encoder.encode(
                encode_configuration(changes.configuration, True)
            )
        return changes

    def test_absurd_values_do_not_stop_reading_or_sending(self):
        for key, document in (
            ('servers/bad', test_documents.ENTRY),
            (documents.CONFIGURATION_KEY, test_documents.CONFIGURATION),
        ):
            for path in list_paths(document):
                for value in ABSURD_VALUES:
                    with self.subTest(path=path, value=str(value)[:20]):
                        self.check(
                            key,
                            test_documents.encode(
                                replace(document, path, value)
                            ),
                        )

    def test_deep_and_broken_documents_do_not_stop_reading(self):
        for value in (
            b'[' * 100_000,
            b'{"a":' * 100_000,
            b'{"Backend":' + b'[' * 100_000,
            b'\xff\xfe',
            b'',
            b'null',
        ):
            for key in ('servers/bad', documents.CONFIGURATION_KEY):
                with self.subTest(key=key, value=value[:20]):
                    self.assertEqual(len(self.check(key, value).failures), 1)

    def test_server_id_that_would_add_a_header_is_refused(self):
        # The id is sent to servers in a header.
        entry = test_documents.encode(test_documents.ENTRY)
        for server_id in ('a\r\nX: 1', 'a\nb', 'a\0', '\x7f', ''):
            with self.subTest(server_id):
                changes = self.check(f'servers/{server_id}', entry)
                self.assertIsNone(changes.servers[0].record)
                self.assertEqual(len(changes.failures), 1)


# Values of a field that no server writes, by field: each of another type, too
# large, out of range or deeply nested.
ODD_VALUES = {
    'Backend': ('1', '""', '"a\\nb"', '"%s"' % ('x' * 900_000)),
    'Address': (
        '"127.0.0.1:65536"',
        '"127.0.0.1:0"',
        '"127.0.0.1:-1"',
        '"127.0.0.1"',
        '"localhost:80"',
        '80',
    ),
    'Zone': ('null', '""', '"a\\u0000"', '"%s"' % ('x' * 900_000)),
    'Version': ('1', '[]'),
    'MaxConcurrency': ('-1', '1e400', '9007199254740992', '"2"'),
    'State': ('"odd"', '1'),
    'WarmupLeftMs': ('1e300', '1e400', '"0"'),
    'Seq': ('"1"', '1e400', '[]'),
    'born': ('-1', '9223372036854775807', '1e400', '"1"'),
}
LARGE_NUMBER = '1' + '0' * 5_000


def create_entry(field, text):
    """Return an entry in which a field has a JSON text as its value."""
    entry = dict(test_documents.ENTRY)
    entry.pop(field, None)
    rest = test_documents.encode(entry)[1:]
    return b'{"%s":%s,' % (field.encode(), text.encode()) + rest


class OddEntryTest(unittest.TestCase):
    """Another writer leaves an entry among those of the servers."""

    def list_odd_entries(self):
        for field, values in ODD_VALUES.items():
            deep = ('[' * 900 + ']' * 900, '[' * 100_000, '{"a":' * 100_000)
            for text in (*values, *deep, LARGE_NUMBER):
                yield field, text, create_entry(field, text)
        for text in ('[' * 100_000, '{"a":' * 100_000):
            yield 'Extra', text, create_entry('Extra', text)

    def decode(self, *entries):
        items = [
            test_documents.create_item(f'servers/{server_id}', value)
            for server_id, value in entries
        ]
        return documents.decode_items(items, 9)

    def test_odd_entry_names_no_server_and_the_others_hold(self):
        # Guards against nodes that end, or stop following the list.
        good = test_documents.encode(test_documents.ENTRY)
        for field, text, value in self.list_odd_entries():
            with self.subTest(field=field, text=text[:30]):
                changes = self.decode(('odd', value), ('good', good))
                self.assertIsNone(changes.servers[0].record)
                self.assertIsNotNone(changes.servers[1].record)
                self.assertEqual(len(changes.failures), 1)
                self.assertLess(len(changes.failures[0].detail), 1_000)

    def test_large_names_do_not_keep_others_from_receiving_changes(self):
        # Guards against messages above the maximum size, which no follower
        # gets: a change that names two such servers, and each snapshot.
        value = create_entry('Backend', ODD_VALUES['Backend'][-1])
        good = test_documents.encode(test_documents.ENTRY)
        changes = self.decode(('odd-1', value), ('odd-2', value), ('g', good))
        sender = codec.Sender('n', 1, '127.0.0.1:1')
        position = StorePosition(UNKNOWN_ERA, 1)
        codec.FrameEncoder('c', sender).encode(
            create_update(position, changes, None, None, None)
        )

    def test_odd_start_time_does_not_replace_the_entries_of_the_server(self):
        # Guards against a server that is lost for good because another writer
        # has given it a start in the far future.
        directory = create_server_directory()
        good = test_documents.encode(test_documents.ENTRY)
        odd = create_entry('born', '9223372036854775807')
        for value in (good, odd, good):
            directory.apply(self.decode(('s', value)).servers, 0.0)
        record = directory.get('s')
        self.assertEqual(record.born_ms, test_documents.ENTRY['born'])

    def test_odd_record_of_another_node_is_left_out(self):
        # Guards against records that a node of an older release accepts.
        record = documents.decode_server_entry(
            's', test_documents.encode(test_documents.ENTRY)
        )
        for fields in (
            {'address': '127.0.0.1:65536'},
            {'service': 'x' * 900_000},
            {'data_centre': 'a\nb'},
            {'slots': -1},
            {'warmup_ms': math.nan},
            {'warmup_ms': math.inf},
            {'born_ms': 2**63 - 1},
        ):
            with self.subTest(str(fields)[:40]):
                news = StoreNews(
                    1,
                    2,
                    (
                        ServerChange('odd', record._replace(**fields), 2),
                        ServerChange('s', record, 2),
                    ),
                )
                decoder = UpdateDecoder(create_metrics())
                changes = decoder.decode_update(news, None).ok_value
                self.assertEqual(
                    changes.servers,
                    (
                        ServerChange('odd', None, 2),
                        ServerChange('s', record, 2),
                    ),
                )
                self.assertEqual(len(changes.failures), 1)
