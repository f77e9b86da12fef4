"""The rules of a configuration whose answers are gathered, with digests."""

import xxhash


class GatheredRules:
    """The decisions that gather, and the services that they gather from."""

    def __init__(self):
        self._services = frozenset()
        # Decisions that gather and their digests, by rule.
        self._digests = {}
        self._decisions = {}

    def covers(self, service):
        """Return whether answers of a service are gathered."""
        return service in self._services

    def set_rules(self, rules):
        """Replace the rules by those of a newer configuration."""
        self._services = frozenset(
            shard
            for rule in rules
            if rule.decision.gather is not None
            for shard in rule.decision.gather.shards
        )
        self._decisions = {
            rule.decision.rule: rule.decision
            for rule in rules
            if rule.decision.gather is not None
        }
        self._digests = {}

    def get_digest(self, decision):
        """Return a digest of the decision of a rule that gathers.

        Nodes with the same digest agree on the shards of a query.
        """
        known, digest = self._digests.get(decision.rule, (None, ''))
        if known is not decision:
            digest = xxhash.xxh3_64_hexdigest(describe_decision(decision))
            self._digests[decision.rule] = (decision, digest)
        return digest

    def find(self, rule, digest):
        """Return the decision of a rule with a digest, or None."""
        decision = self._decisions.get(rule)
        if decision is None or self.get_digest(decision) != digest:
            return None
        return decision


def describe_decision(decision):
    """Return all fields of a decision as bytes, to compare it between nodes.

    Nodes of an older release do not know of allowed regions. A decision
    without any is described as they do it.
    """
    text = repr(decision)
    suffix = ', allowed_regions=())'
    if text.endswith(suffix):
        text = text.removesuffix(suffix) + ')'
    return text.encode()


def create_gathered_rules():
    """Create an empty set of rules."""
    return GatheredRules()
