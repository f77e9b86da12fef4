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
        for name in ('Backend', 'Address', 'Zone', 'State'):
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
