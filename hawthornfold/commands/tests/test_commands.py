import contextlib
import http.server
import io
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies
import zmq

from hawthornfold import commands
from hawthornfold.commands import checking
from hawthornfold.commands import references
from hawthornfold.documents.tests import strategies as written
from hawthornfold.emulator import deployments

ROOT = pathlib.Path(__file__).parents[3]
EXAMPLES = sorted((ROOT / 'examples').glob('*/*.json'))
LIPOVEC = ROOT / 'examples' / 'lipovec' / 'rules.json'
MONTERREY = ROOT / 'examples' / 'monterrey' / 'rules.json'
DOCUMENTS = strategies.sampled_from([path.read_bytes() for path in EXAMPLES])


def run(*arguments):
    """Run the command line in this process: (status, stdout, stderr)."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            status = commands.main([str(argument) for argument in arguments])
        except SystemExit as stop:
            status = stop.code
    return status, out.getvalue(), err.getvalue()


class CheckTest(unittest.TestCase):
    def test_examples_are_valid(self):
        # Guards against examples that a new operator cannot start from.
        self.assertEqual(len(EXAMPLES), 4)
        for path in EXAMPLES:
            with self.subTest(path.parent.name + '/' + path.name):
                self.assertEqual(run('check', path), (0, 'valid\n', ''))

    @given(
        strategies.one_of(
            strategies.binary(), written.damaged_documents(DOCUMENTS)
        )
    )
    def test_any_bytes_give_numbered_lines(self, data):
        # Guards against a traceback, or a status that says all is well.
        with tempfile.NamedTemporaryFile() as file:
            file.write(data)
            file.flush()
            for kind in (None, 'rules', 'settings'):
                printed = io.StringIO()
                with contextlib.redirect_stdout(printed):
                    status = checking.check_file(file.name, kind)
                if status == 0:
                    self.assertEqual(printed.getvalue(), 'valid\n')
                    continue
                self.assertEqual(status, 2)
                for line in printed.getvalue().splitlines():
                    self.assertRegex(
                        line, r'^\d{3} [A-Z_]+ at line \d+ column \d+: '
                    )

    def test_files_that_cannot_be_read(self):
        # Guards against a traceback for a slip in the file name.
        for path in ('/', '/nowhere/at/all', '', 'a\nb\udcff'):
            status, out, err = run('check', path)
            self.assertEqual((status, err), (2, ''))
            self.assertRegex(out, r'\A208 FILE_UNREADABLE.*\n\Z')

    def test_the_installed_entry_point(self):
        # Guards against warnings of libraries on operators' terminals, and
        # against tracebacks that only appear in a process of its own.
        with tempfile.NamedTemporaryFile(suffix='.json') as file:
            file.write(b'{"cluster": 7}\xff')
            file.flush()
            for arguments in (['check'], ['serve', '--settings']):
                done = subprocess.run(
                    [sys.executable, '-m', 'hawthornfold']
                    + [*arguments, file.name],
                    capture_output=True,
                    text=True,
                    cwd=ROOT,
                )
                lines = (done.stdout + done.stderr).splitlines()
                self.assertEqual((done.returncode, len(lines)), (2, 1))
                self.assertIn('104 DOCUMENT_ENCODING', lines[0])


class ExplainTest(unittest.TestCase):
    def explain(self, rules, service, kind, *arguments):
        status, out, _ = run(
            *('explain', '--json', '--rules', rules),
            *('--service', service, '--kind', kind, *arguments),
        )
        answer = json.loads(out)
        self.assertEqual(status, 1 if answer['decision'] is None else 0)
        return answer

    def test_examples_decide_as_the_deployments_require(self):
        # Guards against examples that pass the check and run a
        # non-idempotent request twice or give a partial approval.
        def decide(rules, service, kind, *arguments):
            decision = self.explain(rules, service, kind, *arguments)[
                'decision'
            ]
            return decision and (
                decision['urgency'],
                decision['idempotent'],
                decision['hedge'],
                decision['coverage_percent'],
                decision['below_coverage'],
            )

        once = ('ordinary', False, False, 100, 'refuse')
        urgent = ('urgent', True, True)
        export = ('--caller-class', 'export-nightly')
        for kind in ('search', 'status', 'record'):
            self.assertEqual(decide(LIPOVEC, 'clerk-desk', kind), once)
            self.assertEqual(decide(MONTERREY, 'payout-ledger', kind), once)
            self.assertEqual(
                decide(MONTERREY, 'approval-desk', kind),
                (*urgent, 100, 'refuse'),
            )
        self.assertEqual(
            decide(LIPOVEC, 'voter-portal', 'search'),
            (*urgent, 90, 'partial'),
        )
        self.assertEqual(
            decide(LIPOVEC, 'voter-portal', 'status'),
            (*urgent, 100, 'partial'),
        )
        self.assertEqual(
            decide(MONTERREY, 'brief-library', 'search', *export)[0],
            'background',
        )
        self.assertIsNone(decide(MONTERREY, 'unheard-of', 'search'))

    def test_examples_name_the_groups_of_the_deployments(self):
        # Guards against an example whose rules match no request, because a
        # service group has another name than in the emulated deployment.
        for rules, create in [
            (LIPOVEC, deployments.create_lipovec),
            (MONTERREY, deployments.create_monterrey),
        ]:
            for group in create().groups:
                decision = self.explain(rules, group.name, 'search')[
                    'decision'
                ]
                self.assertNotIn(decision['rule'], ('default', None))

    def test_earlier_rules_are_explained(self):
        # Guards against an explanation that leaves out why a rule before the
        # deciding one did not match.
        answer = self.explain(
            LIPOVEC, 'voter-portal', 'search', '--header', 'X-App=web'
        )
        self.assertEqual(
            [(t['rule'], t['difference']) for t in answer['considered']],
            [
                ('clerk-queries', 'service'),
                ('ballot-status', 'kind'),
                ('proposal-search', None),
            ],
        )
        status, out, err = run(
            *('explain', '--rules', LIPOVEC),
            *('--service', 'voter-portal', '--kind', 'search'),
        )
        self.assertEqual((status, err), (0, ''))
        self.assertRegex(out, 'clerk-queries +differs in service\n')

    def test_wrong_arguments(self):
        # Guards against an explanation of something that was not asked.
        for arguments in (
            ['explain'],
            ['explain', '--rules', LIPOVEC],
            ['explain', '--rules', LIPOVEC, '--node', 'h:1', 'id'],
            ['explain', '--node', 'h:1'],
            ['explain', '--node', 'h', 'id'],
            ['explain', '--rules', LIPOVEC, '--header', 'x'],
            ['explain', '--rules', '/', '--service', 's', '--kind', 'k'],
            ['audit', '--node', 'h:1', '--limit', '0'],
            ['status', '--node', 'http://h:1'],
            ['unheard-of'],
        ):
            with self.subTest(arguments):
                status, out, err = run(*arguments)
                self.assertEqual((status, out), (2, ''))
                self.assertNotIn('Traceback', err)


class StandInNode(http.server.BaseHTTPRequestHandler):
    """Answers like the operators' port of a node."""

    answers = {
        '/v1/operator/status': (200, b'{"name": "entry-1", "members": []}'),
        '/v1/operator/explain/a%2Fb': (200, b'{"request_id": "a/b"}'),
        '/v1/operator/explain/x': (
            404,
            b'{"code": 312, "code_name": "REQUEST_ID_UNKNOWN",'
            b' "detail": "no such request"}',
        ),
        '/v1/operator/audit?limit=2': (
            200,
            b'{"entries": [{"time_ms": 9, "after": 7}, {"kind": "start"}]}',
        ),
        '/v1/operator/audit?limit=3': (200, b'<html>'),
        '/v1/operator/audit?limit=4': (302, b''),
    }

    def do_GET(self):  # noqa: N802
        status, body = self.answers[self.path]
        self.send_response(status)
        self.send_header('Content-Length', str(len(body)))
        self.send_header('Location', '/v1/operator/status')
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Keep the output of the tests clean."""


class OperatorsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.server = http.server.ThreadingHTTPServer(
            ('127.0.0.1', 0), StandInNode
        )
        cls.node = f'127.0.0.1:{cls.server.server_port}'
        cls.thread = threading.Thread(target=cls.server.serve_forever)
        cls.thread.start()

    @classmethod
    def tearDownClass(cls):
        cls.server.shutdown()
        cls.thread.join()
        cls.server.server_close()

    def test_answers_of_a_node(self):
        # Guards against commands that ask for another path than nodes serve.
        for arguments, text in [
            (['status'], 'name     entry-1\nmembers  -\n'),
            (['explain', 'a/b'], 'request_id  a/b\n'),
            (
                ['audit', '--limit', '2'],
                'time                      after  kind\n'
                '1970-01-01T00:00:00.009Z  7      -\n'
                '-                         -      start\n',
            ),
        ]:
            status, out, err = run(*arguments, '--node', self.node)
            self.assertEqual((status, out, err), (0, text, ''))
        status, out, _ = run('status', '--json', '--node', self.node)
        self.assertEqual(json.loads(out), {'name': 'entry-1', 'members': []})

    def test_nodes_that_do_not_answer_as_expected(self):
        # Guards against tracebacks while an operator handles an incident.
        with contextlib.closing(http.server.socket.socket()) as closed:
            closed.bind(('127.0.0.1', 0))
            port = closed.getsockname()[1]
            for arguments, text in [
                (['status', '--node', f'127.0.0.1:{port}'], 'refused'),
                (['explain', 'x', '--node', self.node], '312 REQUEST_ID_UN'),
                (['audit', '--limit', '3', '--node', self.node], 'not a JSON'),
                (['audit', '--limit', '4', '--node', self.node], 'status 302'),
            ]:
                status, out, err = run(*arguments)
                self.assertEqual((status, out), (1, ''))
                self.assertIn(text, err)
                self.assertEqual(err.count('\n'), 1)

    def test_following_prints_each_entry_once(self):
        # Guards against entries repeated with every poll.
        polls = []

        def sleep(seconds):
            polls.append(seconds)
            if len(polls) == 3:
                signal.raise_signal(signal.SIGINT)

        with mock.patch('time.sleep', sleep):
            status, out, err = run(
                'audit', '--follow', '--limit', '2', '--node', self.node
            )
        self.assertEqual((status, err), (130, ''))
        self.assertEqual(
            out, 'time=1970-01-01T00:00:00.009Z, after=7\nkind=start\n'
        )


class ReferencesTest(unittest.TestCase):
    def test_the_page_of_codes_is_current(self):
        # Guards against codes that operators cannot look up.
        page = (ROOT / 'docs' / 'errors.md').read_text()
        self.assertEqual(page, references.format_code_page() + '\n')
        self.assertEqual(run('errors', '--markdown')[1], page)

    def test_keys_belong_together(self):
        # Guards against a key pair that no node accepts.
        pair = json.loads(run('keys')[1])
        self.assertEqual(
            zmq.curve_public(pair['secret'].encode()).decode(), pair['public']
        )


class LogStoryTest(unittest.TestCase):
    LINES = (
        'time=2026-12-03T10:00:01 level=NOTICE node=n1 logger=audit '
        'kind=server subject=s1 before= after=removed cause="portal"\n'
        'time=2026-12-03T10:00:02 level=INFO node=n1 logger=request '
        'event=request_ended request=r1 verdict=not-run status=503\n'
        'time=2026-12-03T10:00:02 level=INFO node=n1 logger=request '
        'event=request_ended request=r2 verdict=complete status=200\n'
    )

    def write(self, data):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(directory, 'log')
        path.write_bytes(data)
        return path

    def test_story_has_the_request_and_the_change_before_it(self):
        # Guards against a cause that only the change of a server shows.
        path = self.write(self.LINES.encode())
        status, out, _ = run('explain', '--log', path, 'r1')
        self.assertEqual(status, 0)
        lines = out.splitlines()
        self.assertEqual(len(lines), 2)
        self.assertIn('after=removed', lines[0])
        self.assertIn('verdict=not-run', lines[1])

    def test_unknown_request_and_any_bytes(self):
        path = self.write(b'\xff\x00 time=" request=r1\n' * 3)
        status, _, error = run('explain', '--log', path, 'r9')
        self.assertEqual(status, 1)
        self.assertIn('312', error)
        status, _, error = run('explain', '--log', path.parent / 'no', 'r9')
        self.assertEqual(status, 2)
        self.assertIn('208', error)
