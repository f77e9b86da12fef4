"""Encodes configurations for the messages between nodes, and decodes them."""

import typing

import msgspec
import result

from hawthornfold.directory.records import RoutingConfiguration
from hawthornfold.directory.updates import ConfigurationChange
from hawthornfold.directory.updates import PublishedConfiguration
from hawthornfold.directory.updates import RulesEdit
from hawthornfold.directory.updates import SentRule
from hawthornfold.directory.updates import SentWhen
from hawthornfold.directory.updates import restore_then
from hawthornfold.directory.updates import trim_then
from hawthornfold.rules import RulesDocument
from hawthornfold.rules import Then
from hawthornfold.rules import compile_document
from hawthornfold.rules import describe_rules
from hawthornfold.rules import parse_rules


class _RulesArray(typing.NamedTuple):
    """A `RulesDocument` as nodes send it, without a limit of its length."""

    rules: tuple[SentRule, ...]
    default: Then | None = None

    def to_document(self):
        """Return the `RulesDocument`."""
        return RulesDocument(
            tuple(rule.to_rule() for rule in self.rules), self.default
        )


_RULES_DECODER = msgspec.msgpack.Decoder(_RulesArray)


def encode_configuration(configuration, as_msgpack=False):
    """Convert a `RoutingConfiguration` to a `PublishedConfiguration`.

    Returns None for None.

    Parameters
    ----------
    as_msgpack : bool
        Whether the rules are encoded as msgpack, which takes a tenth of the
        time to decode but is not understood by older releases.
    """
    if configuration is None:
        return None
    if as_msgpack:
        rules = msgspec.msgpack.encode(
            _RulesArray(
                tuple(
                    SentRule(rule.name, rule.when, trim_then(rule.then))
                    for rule in configuration.document.rules
                ),
                trim_then(configuration.document.default),
            )
        )
    else:
        rules = msgspec.json.encode(describe_rules(configuration.document))
    return PublishedConfiguration(
        configuration.version,
        rules,
        tuple(configuration.services.values()),
        configuration.limits,
    )


def decode_configuration(published):
    """Convert a `PublishedConfiguration` to a `RoutingConfiguration`.

    Returns
    -------
    result.Result
        Ok with the configuration, or with None for None; Err with the reason,
        or with the list of `Failure` of its rules.
    """
    if published is None:
        return result.Ok(None)
    if published.rules.startswith(b'{'):
        parsed = parse_rules(published.rules)
    else:
        try:
            document = _RULES_DECODER.decode(published.rules).to_document()
        except (msgspec.DecodeError, RecursionError) as error:
            return result.Err(str(error))
        parsed = result.Ok(document)
    return parsed.map(
        lambda document: RoutingConfiguration(
            published.version,
            compile_document(document, published.version),
            {service.name: service for service in published.services},
            published.limits,
            document,
        )
    )


def encode_change(base, configuration):
    """Describe a configuration in relation to an earlier version.

    Parameters
    ----------
    base : RoutingConfiguration
        The earlier version. Rules that did not change have to be the same
        objects, as `ConfigurationDecoder` returns them.

    Returns
    -------
    ConfigurationChange
    """
    positions = {id(r): n for n, r in enumerate(base.document.rules)}
    edits = [RulesEdit(0, 0)]
    for rule in configuration.document.rules:
        position = positions.get(id(rule))
        last = edits[-1]
        if position is None:
            sent = SentRule(
                rule.name, SentWhen(*rule.when), trim_then(rule.then)
            )
            edits[-1] = last._replace(rules=(*last.rules, sent))
        elif position == last.end and not last.rules:
            edits[-1] = last._replace(end=position + 1)
        else:
            edits.append(RulesEdit(position, position + 1))
    return ConfigurationChange(
        base.version,
        configuration.version,
        tuple(edits),
        trim_then(configuration.document.default),
        tuple(set(base.services) - set(configuration.services)),
        tuple(
            service
            for name, service in configuration.services.items()
            if base.services.get(name) != service
        ),
        configuration.limits,
    )


def decode_change(base, change):
    """Apply a `ConfigurationChange` to the version that it is based on.

    Returns
    -------
    result.Result
        Ok with the `RoutingConfiguration`; Err with the reason if the node
        holds another version.
    """
    held_version = None if base is None else base.version
    if held_version != change.base_version:
        return result.Err(
            f'the change is based on version {change.base_version}, not '
            f'{held_version}'
        )
    rules = []
    for edit in change.edits:
        rules += base.document.rules[edit.start : edit.end]
        rules += [rule.to_rule() for rule in edit.rules]
    document = RulesDocument(tuple(rules), restore_then(change.default))
    services = {
        name: service
        for name, service in base.services.items()
        if name not in change.removed_services
    }
    services.update((service.name, service) for service in change.services)
    return result.Ok(
        RoutingConfiguration(
            change.version,
            compile_document(
                document, change.version, (base.document, base.rules)
            ),
            services,
            change.limits,
            document,
        )
    )
