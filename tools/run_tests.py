"""Runs every unit test and docstring example of the project.

Tests listed in KNOWN-RED.txt (one line ``test: ID`` each, with the dotted test
id) are not run but printed, so that a known fault stays visible without
failing the run.
"""

import doctest
import gc
import importlib
import pathlib
import pkgutil
import sys
import unittest
import warnings

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
warnings.filterwarnings('ignore', category=DeprecationWarning)


def read_known_red():
    """Return the ids of the tests listed in KNOWN-RED.txt."""
    path = ROOT / 'KNOWN-RED.txt'
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    return frozenset(
        line.split(':', 1)[1].strip()
        for line in lines
        if line.startswith('test:')
    )


def iterate_tests(suite):
    """Yield the test cases of a nested suite."""
    for entry in suite:
        if isinstance(entry, unittest.TestSuite):
            yield from iterate_tests(entry)
        else:
            yield entry


def load_suite(patterns):
    """Return the unit tests and docstring examples as a list.

    With `patterns`, only tests whose id contains one of them are returned.
    """
    package = importlib.import_module('hawthornfold')
    loader = unittest.TestLoader()
    suite = unittest.TestSuite()
    for module_info in pkgutil.walk_packages(
        package.__path__, prefix='hawthornfold.'
    ):
        name = module_info.name
        if name.endswith('__main__'):
            continue
        module = importlib.import_module(name)
        if name.rsplit('.', 1)[-1].startswith('test_'):
            suite.addTests(loader.loadTestsFromModule(module))
        else:
            suite.addTests(doctest.DocTestSuite(module))
    tests = list(iterate_tests(suite))
    if patterns:
        tests = [t for t in tests if any(p in t.id() for p in patterns)]
    return tests


def main():
    """Run the tests and return the exit status."""
    known_red = read_known_red()
    tests = load_suite(sys.argv[1:])
    skipped = [test for test in tests if test.id() in known_red]
    suite = unittest.TestSuite(t for t in tests if t.id() not in known_red)
    # The suite drops each test once it has run. Kept tests keep the nodes that
    # they have simulated, and each full garbage collection then stops the
    # process for up to 0.9 s: longer than objectives that tests play.
    del tests
    gc.collect()
    gc.freeze()
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    for test in skipped:
        print(f'known red, not run: {test.id()}')
    for test, reason in outcome.skipped:
        print(f'skipped: {test.id()}: {reason}')
    failed = len(outcome.failures) + len(outcome.errors)
    passed = outcome.testsRun - failed
    print(f'{passed} passed, {failed} failed')
    return 0 if outcome.wasSuccessful() and outcome.testsRun else 1


if __name__ == '__main__':
    sys.exit(main())
