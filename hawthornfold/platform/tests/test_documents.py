import base64
import json
import random
import unittest

from hypothesis import given
from hypothesis import strategies
import msgspec

from hawthornfold.platform import documents
from hawthornfold.platform.tests import support
from hawthornfold.rules import RequestFacts

ENTRY = {
    'Backend': 'huvo11a',
    'Address': '10.128.0.9:8080',
    'Zone': 'hall-a',
    'Version': 'v1',
    'MaxConcurrency': 2,
    'State': 'ready',
    'WarmupLeftMs': 0,
    'Seq': 4,
    'born': 1_700_000_000_000,
}
FANOUT_ROUTE = {
    'Name': 'r-1',
    'Host': 'pupu.example',
    'Prefix': '/a/b/',
    'RouteType': 'idempotent',
    'TimeoutMs': 600,
    'TargetLatencyMs': 118,
    'Priority': 1,
    'FanoutServices': ['x', 'y'],
    'MaxAttempts': 2,
    'TopK': 20,
    'MinSuccessShare': 0.89,
}
SPLIT_ROUTE = {
    'Name': 'r-2',
    'Host': 'pupu.example',
    'Prefix': '/a/',
    'RouteType': 'non_idempotent',
    'TimeoutMs': 2000,
    'TargetLatencyMs': 544,
    'Priority': 2,
    'Split': [
        {'Backend': 'x', 'Weight': 3},
        {'Backend': 'y', 'Weight': 1},
    ],
    'MaxAttempts': 2,
}
CONFIGURATION = {
    'Version': 7,
    'Routes': [SPLIT_ROUTE, FANOUT_ROUTE],
    'Services': [
        {'Name': 'x', 'HealthPath': '/health', 'MaxConns': 26},
    ],
    'Limits': {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 262144,
        'HeaderTimeoutMs': 3000,
        'IdleTimeoutMs': 15000,
    },
}


def encode(value):
    return json.dumps(value).encode()


def create_item(key, value, **fields):
    text = base64.b64encode(value).decode()
    raw = {'Key': key, 'Revision': 3, 'Value': text, 'LeaseId': 0, **fields}
    return msgspec.convert(raw, documents.Item)


class EntryTest(unittest.TestCase):
    def decode(self, **fields):
        return documents.decode_server_entry(
            'i-1', encode({**ENTRY, **fields})
        )

    def test_entry_fields_are_decoded(self):
        record = self.decode(State='draining', WarmupLeftMs=1500)
        self.assertEqual(
            record,
            (
                'i-1',
                'huvo11a',
                '10.128.0.9:8080',
                'hall-a',
                2,
                True,
                1500.0,
                1_700_000_000_000,
            ),
        )

    def test_malformed_entries_are_refused(self):
        # Guards against requests to something that is not a server, after
        # another program wrote under the servers' prefix.
        for fields in (
            {'State': 'resting'},
            {'Address': 'nowhere'},
            {'Address': '10.0.0.1:0'},
            {'Backend': 4},
            {'MaxConcurrency': 'two'},
            {'born': 'yesterday'},
        ):
            with self.subTest(fields), self.assertRaises(ValueError):
                self.decode(**fields)
        for name in set(ENTRY) - {'born'}:
            entry = {k: v for k, v in ENTRY.items() if k != name}
            with self.subTest(name), self.assertRaises(ValueError):
                documents.decode_server_entry('i-1', encode(entry))

    @given(strategies.binary(max_size=200))
    def test_unreadable_entry_does_not_affect_others(self, data):
        # Guards against one unreadable entry that makes the node ignore the
        # readable ones.
        good = create_item('servers/good', encode(ENTRY))
        bad = create_item('servers/bad', data)
        changes = documents.decode_items([bad, good], 9)
        self.assertEqual(changes.servers[-1].record.server_id, 'good')
        self.assertEqual(changes.servers[0][:2], ('bad', None))
        self.assertEqual([f.key for f in changes.failures], ['servers/bad'])

    def test_deleted_server_has_no_record_and_other_keys_are_ignored(self):
        deleted = msgspec.convert(
            {'Key': 'servers/i-1', 'Revision': 4, 'Deleted': True},
            documents.Item,
        )
        unrelated = create_item('other/thing', b'anything')
        changes = documents.decode_items([deleted, unrelated], 9)
        self.assertEqual(changes.servers, (('i-1', None, 4),))
        self.assertEqual(changes.failures, ())


TEXT = (None, 1, True, [], {}, 'x' * 201, 'a\nb', 'a\0', 'a\x7f')
WHOLE_NUMBER = (None, '1', True, [], {}, 1.5, 2.0, -1, 1e300)
# Values by field that a server may write, and ones that no server writes. A
# field without a value is missing.
FIELD_VALUES = {
    'Backend': (('b', 'x' * 200), (*TEXT, '')),
    'Address': (
        ('0.0.0.0:1', '255.255.255.255:65535'),
        (*TEXT, '', '1.2.3.4', '1.2.3.4:0', '1.2.3.4:65536', 'a:80', '::1:80'),
    ),
    'Zone': (('z', 'x' * 200), (*TEXT, '')),
    'Version': (('', 'v' * 200), TEXT),
    'MaxConcurrency': ((1, 1 << 20), (*WHOLE_NUMBER, (1 << 20) + 1)),
    'State': (('ready', 'draining'), (*TEXT, '', 'Ready', 'resting')),
    'WarmupLeftMs': (
        (0, 0.5, 1_000_000_000_000),
        (None, '1', True, [], -1, -0.5, 1e13),
    ),
    'Seq': ((0, 2**63 - 1), (*WHOLE_NUMBER, 2**63)),
    'born': ((0, 10**13), (*WHOLE_NUMBER, 10**13 + 1)),
}
MISSING = object()


class EntryFieldsTest(unittest.TestCase):
    """Entries that another writer may have left; see docs/platform.md."""

    def list_texts(self, name, values):
        """Return the JSON texts of a field with each of the values."""
        return [
            '' if value is MISSING else f'"{name}": {json.dumps(value)}'
            for value in values
        ]

    def decode(self, *texts):
        value = '{' + ', '.join(filter(None, texts)) + '}'
        return documents.decode_server_entry('i-1', value.encode())

    @given(strategies.data())
    def test_entry_with_any_odd_field_is_refused(self, data):
        # Guards against an entry of another writer that is taken for that of
        # a server, because a field has a default or is not checked.
        odd_names = data.draw(
            strategies.sets(
                strategies.sampled_from(sorted(FIELD_VALUES)), min_size=1
            )
        )
        texts = []
        for name, (sound, odd) in FIELD_VALUES.items():
            sound_texts = self.list_texts(name, sound)
            if name not in odd_names:
                texts.append(data.draw(strategies.sampled_from(sound_texts)))
                continue
            odd_texts = self.list_texts(name, odd)
            if name != 'born':
                odd_texts += self.list_texts(name, [MISSING])
            odd_texts += [', '.join(2 * sound_texts[:1])]
            texts.append(data.draw(strategies.sampled_from(odd_texts)))
        with self.assertRaises(ValueError):
            self.decode(*data.draw(strategies.permutations(texts)))

    def test_every_odd_value_of_one_field_is_refused(self):
        # As above, each value alone, so that none hides behind another.
        for name, (_, odd) in FIELD_VALUES.items():
            rest = [
                self.list_texts(other, [ENTRY[other]])[0]
                for other in ENTRY
                if other != name
            ]
            for text in self.list_texts(name, odd):
                with self.subTest(text[:60]), self.assertRaises(ValueError):
                    self.decode(text, *rest)
            escaped = f'"\\u{ord(name[0]):04x}{name[1:]}": 1'
            own = self.list_texts(name, [ENTRY[name]])[0]
            for texts in ([own, own, *rest], [escaped, own, *rest]):
                with self.subTest(texts[:2]), self.assertRaises(ValueError):
                    self.decode(*texts)

    @given(strategies.data())
    def test_entry_with_sound_fields_is_accepted(self, data):
        # Guards against servers that are lost because a check is too strict.
        texts = [
            data.draw(strategies.sampled_from(self.list_texts(name, sound)))
            for name, (sound, _) in FIELD_VALUES.items()
        ]
        texts.append('"NewField": {"Backend": "other"}')
        self.decode(*data.draw(strategies.permutations(texts)))


class ConfigurationTest(unittest.TestCase):
    def decode(self, **fields):
        return documents.decode_configuration(
            encode({**CONFIGURATION, **fields})
        )

    def match(self, path, host='pupu.example'):
        rules = self.decode().rules
        return rules.match(
            RequestFacts('', '', '', 'GET', path, {'host': host})
        )

    def test_longest_prefix_of_the_host_decides(self):
        self.assertEqual(self.match('/a/b/2f').rule, 'r-1')
        self.assertEqual(self.match('/a/c').rule, 'r-2')
        self.assertIsNone(self.match('/b/'))
        self.assertIsNone(self.match('/a/b/2f', 'other.example'))

    def test_fanout_route_gathers(self):
        decision = self.match('/a/b/')
        self.assertEqual(decision.gather, (('x', 'y'), 20))
        self.assertEqual(decision.coverage_percent, 89)
        self.assertEqual(decision.objective_ms, 118.0)
        self.assertEqual(decision.deadline_ms, 600.0)
        self.assertTrue(decision.idempotent)
        self.assertEqual(decision.urgency, 0)

    def test_split_route_forwards(self):
        decision = self.match('/a/')
        self.assertEqual(decision.forward, (('x', 3.0), ('y', 1.0)))
        self.assertFalse(decision.idempotent)
        self.assertFalse(decision.hedge)
        self.assertEqual(decision.urgency, 1)
        self.assertEqual(decision.max_servers, 2)

    def test_allowed_regions_are_decoded(self):
        # Guards against a request that leaves its region, and against an empty
        # list that refuses all requests.
        route = {**SPLIT_ROUTE, 'AllowedRegions': ['n', 'e']}
        found = self.decode(Routes=[route]).rules.rules[0].decision
        self.assertEqual(found.allowed_regions, ('n', 'e'))
        for value in (None, []):
            route['AllowedRegions'] = value
            found = self.decode(Routes=[route]).rules.rules[0].decision
            self.assertEqual(found.allowed_regions, ())
        self.assertEqual(self.match('/a/').allowed_regions, ())

    def test_unreadable_configuration_is_a_failure(self):
        # Guards against a node that loses its rules after an operator writes
        # an unreadable configuration.
        bad = create_item('op/config', encode({**CONFIGURATION, 'Routes': 1}))
        changes = documents.decode_items([bad], 9)
        self.assertIsNone(changes.configuration)
        self.assertEqual([f.key for f in changes.failures], ['op/config'])
        route = {k: v for k, v in SPLIT_ROUTE.items() if k != 'Split'}
        with self.assertRaises(ValueError):
            self.decode(Routes=[route])


class ConfigurationDecoderTest(unittest.TestCase):
    """Successive versions of a configuration."""

    def setUp(self):
        self.decoder = documents.ConfigurationDecoder()

    def decode(self, version, *routes):
        return self.decoder.decode(
            json.dumps(
                {
                    'Version': version,
                    'Routes': routes,
                    'Services': [{'Name': 's', 'MaxConns': 5}],
                    'Limits': support.LIMITS,
                }
            ).encode()
        )

    def create_route(self, name, **fields):
        return {
            'Name': name,
            'Host': 'a.example',
            'Prefix': f'/{name}/',
            'RouteType': 'idempotent',
            'TimeoutMs': 600,
            'Backend': 's',
            **fields,
        }

    def test_unchanged_routes_are_compiled_once(self):
        # Guards against a change of one route that holds the loop for the
        # time of all of them.
        routes = [self.create_route(f'r{number}') for number in range(5)]
        first = self.decode(1, *routes)
        routes[2] = self.create_route('r2', TimeoutMs=700)
        second = self.decode(2, *routes)
        for parts in (
            (first.document.rules, second.document.rules),
            (first.rules.rules, second.rules.rules),
        ):
            shared = [a is b for a, b in zip(*parts, strict=True)]
            self.assertEqual(shared, [True, True, False, True, True])
        self.assertEqual(second.rules.rules[2].decision.deadline_ms, 700)

    def test_versions_equal_those_of_a_new_decoder(self):
        # Guards against parts of an older version in a newer one.
        rng = random.Random(5)
        for version in range(1, 40):
            routes = [
                self.create_route(
                    f'r{number}',
                    Priority=rng.randrange(4),
                    TimeoutMs=rng.choice((600, 700)),
                    Prefix='/' + 'x' * rng.randrange(1, 4) + f'/{number}/',
                )
                for number in rng.sample(range(9), rng.randrange(9))
            ]
            found = self.decode(version, *routes)
            self.decoder, kept = documents.ConfigurationDecoder(), self.decoder
            expected = self.decode(version, *routes)
            self.decoder = kept
            self.assertEqual(found.document, expected.document)
            self.assertEqual(found.rules.rules, expected.rules.rules)

    def test_version_that_cannot_be_decoded_changes_nothing(self):
        first = self.decode(1, self.create_route('a'))
        with self.assertRaises(ValueError):
            self.decode(2, self.create_route('b', Backend=None))
        third = self.decode(3, self.create_route('a'))
        self.assertIs(third.document.rules[0], first.document.rules[0])

    def test_only_the_newest_of_several_versions_is_decoded(self):
        # Guards against time spent on versions that a newer one replaces
        # before they come into force.
        decoded = []

        class Decoder(documents.ConfigurationDecoder):
            def decode(self, value):
                decoded.append(value)
                if value == b'bad':
                    raise ValueError('not JSON')
                return value

        items = [
            documents.Item('op/config', number, value)
            for number, value in enumerate((b'one', b'two', b'bad'))
        ]
        changes = documents.decode_items(items, 9, decoder=Decoder())
        self.assertEqual(changes.configuration, b'two')
        self.assertEqual(decoded, [b'bad', b'two'])
        self.assertEqual(len(changes.failures), 1)
