"""Malformed items of the store.

Guards against failure 4 of docs/design/server-signals.md, R7: one malformed
item stops a node from reading the store, or from passing on what it reads.
"""

import copy
import unittest

from hawthornfold.directory import StorePosition
from hawthornfold.directory.configuration_codec import encode_configuration
from hawthornfold.directory.positions import UNKNOWN_ERA
from hawthornfold.directory.update_codec import create_update
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
