import collections
import pathlib
import re
import unittest

from hawthornfold.metrics import registry

ROOT = pathlib.Path(__file__).resolve().parents[3]
# Packages whose counters are not metrics of a node.
_OTHER_PACKAGES = {'tests', 'emulator', 'integration'}
_CALL = re.compile(r"\.(count|set_gauge|observe_ms)\(\s*'([a-z_]+)'")
_FORMATS = {'count': '{}_total', 'set_gauge': '{}', 'observe_ms': '{}_ms'}
_DOCUMENTED = re.compile(rf'`({registry.PREFIX}[a-z_]+)`')
_FILE = re.compile(r'\b(?:docs|examples|hawthornfold|tools)/[\w./-]*\w')


def collect_metrics():
    """Return the calls that set each exposed metric."""
    found = collections.defaultdict(set)
    for path in (ROOT / 'hawthornfold').rglob('*.py'):
        if _OTHER_PACKAGES.isdisjoint(path.parts):
            for call, name in _CALL.findall(path.read_text()):
                full = registry.PREFIX + _FORMATS[call].format(name)
                found[full].add((call, name))
    return found


def list_pages():
    """Return the documentation pages for users and developers."""
    return [ROOT / 'README.md', *sorted((ROOT / 'docs').rglob('*.md'))]


class MetricNamesTest(unittest.TestCase):
    def test_documented_metrics_are_those_of_the_code(self):
        # Guards against alarms on metrics that no node exposes, and against
        # metrics without an explanation.
        text = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
        self.assertEqual(
            set(collect_metrics()), set(_DOCUMENTED.findall(text))
        )

    def test_no_two_metrics_share_a_name(self):
        # Guards against a registry that cannot be rendered: one collision
        # of names makes /v1/operator/metrics answer 500.
        shared = {
            name: calls
            for name, calls in collect_metrics().items()
            if len(calls) > 1
        }
        self.assertEqual({}, shared)


class PagesTest(unittest.TestCase):
    def test_files_named_in_pages_exist(self):
        # Guards against pages that refer to moved or deleted files.
        missing = [
            (page.name, name)
            for page in list_pages()
            for name in sorted(set(_FILE.findall(page.read_text())))
            if not (ROOT / name).exists()
        ]
        self.assertEqual([], missing)

    def test_index_lists_every_decision(self):
        # Guards against decision pages that the index does not link.
        directory = ROOT / 'docs' / 'decisions'
        text = (directory / 'README.md').read_text()
        pages = {p.name for p in directory.glob('*.md')} - {'README.md'}
        self.assertEqual(pages, set(re.findall(r'\(([\w-]+\.md)\)', text)))
