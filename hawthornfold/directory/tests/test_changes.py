"""Configurations that are sent in relation to an earlier version."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from hawthornfold.directory import CallerLimits
from hawthornfold.directory import RoutingConfiguration
from hawthornfold.directory import ServiceRecord
from hawthornfold.directory import configuration_codec
from hawthornfold.rules import ForwardTarget
from hawthornfold.rules import Gather
from hawthornfold.rules import Rule
from hawthornfold.rules import RulesDocument
from hawthornfold.rules import Then
from hawthornfold.rules import When
from hawthornfold.rules import compile_document

LIMITS = CallerLimits(8_192, 65_536, 5_000.0, 30_000.0)
# Rules that versions have in common, as the same objects.
RULES = tuple(
    Rule(
        f'r{number}',
        When(path=f'/{number}/*', headers={'host': 'a.example'}),
        Then(forward=(ForwardTarget('s'),), deadline_ms=100 + number),
    )
    for number in range(12)
) + (
    Rule(
        'g',
        When(service=['a', 'b*'], path='/g/*'),
        Then(gather=Gather(('x', 'y'), 5), idempotent=True, objective_ms=9.5),
    ),
    Rule(
        'limited',
        When(path='/l/*'),
        Then(forward=(ForwardTarget('s'),), allowed_regions=('n', 'e')),
    ),
)
VERSIONS = st.lists(
    st.sampled_from(range(len(RULES))), unique=True, max_size=len(RULES)
)


def create_configuration(version, rules, services=('s',), limits=LIMITS):
    document = RulesDocument(tuple(rules))
    return RoutingConfiguration(
        version,
        compile_document(document, version),
        {name: ServiceRecord(name, '/health', 26) for name in services},
        limits,
        document,
    )


def send(message):
    """Return a message as another node receives it."""
    data = msgspec.msgpack.encode(message)
    return msgspec.msgpack.decode(data, type=type(message))


def get_contents(configuration):
    return (
        configuration.version,
        configuration.document,
        configuration.rules.rules,
        configuration.services,
        configuration.limits,
    )


class ChangeTest(unittest.TestCase):
    @given(VERSIONS, VERSIONS, st.sets(st.sampled_from('abc')))
    def test_change_gives_the_configuration(self, first, second, services):
        # Guards against rules that are lost, repeated or in another order.
        base = create_configuration(3, [RULES[n] for n in first], 'ab')
        limits = LIMITS._replace(max_body_bytes=len(second))
        target = create_configuration(
            5, [RULES[n] for n in second], sorted(services), limits
        )
        change = send(configuration_codec.encode_change(base, target))
        found = configuration_codec.decode_change(base, change).unwrap()
        self.assertEqual(get_contents(found), get_contents(target))

    def test_size_depends_on_what_changed(self):
        # Guards against readers whose link is occupied by whole versions.
        rules = [
            Rule(f'r{number}', RULES[0].when, RULES[0].then)
            for number in range(1_500)
        ]
        base = create_configuration(1, rules)
        rules[700] = rules[700]._replace(then=Then(deadline_ms=77))
        change = configuration_codec.encode_change(
            base, create_configuration(2, rules)
        )
        self.assertLess(len(msgspec.msgpack.encode(change)), 400)

    def test_unchanged_rules_are_not_compiled_again(self):
        base = create_configuration(1, RULES)
        change = configuration_codec.encode_change(
            base, create_configuration(2, RULES[:5])
        )
        found = configuration_codec.decode_change(base, send(change)).unwrap()
        for before, after in zip(
            base.rules.rules, found.rules.rules, strict=False
        ):
            self.assertIs(after, before)

    def test_change_of_another_version_is_refused(self):
        # Guards against rules of two versions in one configuration.
        base = create_configuration(1, RULES)
        change = configuration_codec.encode_change(
            base, create_configuration(2, RULES)
        )
        for held in (None, create_configuration(7, RULES)):
            self.assertTrue(
                configuration_codec.decode_change(held, change).is_err()
            )

    def test_complete_configuration_survives_as_msgpack(self):
        configuration = create_configuration(4, RULES)
        published = send(
            configuration_codec.encode_configuration(configuration, True)
        )
        found = configuration_codec.decode_configuration(published).unwrap()
        self.assertEqual(get_contents(found), get_contents(configuration))

    def test_older_releases_understand_rules_without_allowed_regions(self):
        # Guards against a fleet in which old nodes refuse every configuration
        # of new readers during a rolling upgrade.
        old_fields = len(Then._fields) - 1
        for rules, expected in ((RULES[:-1], 0), (RULES, 1)):
            configuration = create_configuration(4, rules)
            published = configuration_codec.encode_configuration(
                configuration, True
            )
            sent = msgspec.msgpack.decode(published.rules)[0]
            change = configuration_codec.encode_change(
                create_configuration(3, ()), configuration
            )
            changed = msgspec.msgpack.decode(msgspec.msgpack.encode(change))
            for found in (sent, changed[2][0][2]):
                self.assertEqual(len(found), len(rules))
                longer = [x for x in found if len(x[2]) > old_fields]
                self.assertEqual(len(longer), expected)

    def test_damaged_rules_are_refused(self):
        # Guards against a crash by a faulty node.
        published = configuration_codec.encode_configuration(
            create_configuration(4, RULES), True
        )
        for rules in (b'', b'\xc0', published.rules[:-3], b'\x92\x91\x01\xc0'):
            with self.subTest(rules[:8]):
                damaged = published._replace(rules=rules)
                decoded = configuration_codec.decode_configuration(damaged)
                self.assertTrue(decoded.is_err())
