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
from hawthornfold.documents.tests import strategies as document_strategies
from hawthornfold.emulator import deployments

ROOT = pathlib.Path(__file__).parents[3]
EXAMPLES = sorted((ROOT / 'examples').glob('*/*.json'))
LIPOVEC = ROOT / 'examples' / 'lipovec' / 'rules.json'
MONTERREY = ROOT / 'examples' / 'monterrey' / 'rules.json'
DOCUMENTS = strategies.sampled_from([path.read_bytes() for path in EXAMPLES])


def run(*arguments):
    """Run a command in this process; return (status, stdout, stderr)."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            status = commands.main([str(argument) for argument in arguments])
        except SystemExit as stop:
            status = stop.code
    return status, out.getvalue(), err.getvalue()


class CheckTest(unittest.TestCase):
    def test_examples_are_valid(self):
        # Guards against examples that new operators cannot use because a check
        # rejects them.
        self.assertEqual(len(EXAMPLES), 4)
        for path in EXAMPLES:
            with self.subTest(path.parent.name + '/' + path.name):
                self.assertEqual(run('check', path), (0, 'valid\n', ''))

    @given(
        strategies.one_of(
            strategies.binary(),
            document_strategies.damaged_documents(DOCUMENTS),
        )
    )
    def test_any_bytes_print_valid_or_result_codes(self, data):
        # Guards against a traceback or exit status 0 for an invalid file.
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

    def test_unreadable_files_are_reported(self):
        # Guards against a traceback when the file name is wrong.
        for path in ('/', '/nowhere/at/all', '', 'a\nb\udcff'):
            status, out, err = run('check', path)
            self.assertEqual((status, err), (2, ''))
            self.assertRegex(out, r'\A208 FILE_UNREADABLE.*\n\Z')

    def test_entry_point_prints_one_line_per_fault(self):
        # Guards against library warnings in the output, and against
        # tracebacks that appear only when the command runs in a new process.
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
        # Guards against examples that are valid, but run a non-idempotent
        # request twice or allow a partial answer to an approval request.
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

        run_once = ('ordinary', False, False, 100, 'refuse')
        urgent = ('urgent', True, True)
        export = ('--caller-class', 'export-nightly')
        for kind in ('search', 'status', 'record'):
            self.assertEqual(decide(LIPOVEC, 'clerk-desk', kind), run_once)
            self.assertEqual(
                decide(MONTERREY, 'payout-ledger', kind), run_once
            )
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

    def test_examples_have_a_rule_for_each_deployed_group(self):
        # Guards against example rules that match no request because their
        # service names differ from the groups of the emulated deployment.
        for rules, create in [
            (LIPOVEC, deployments.create_lipovec),
            (MONTERREY, deployments.create_monterrey),
        ]:
            for group in create().groups:
                decision = self.explain(rules, group.name, 'search')[
                    'decision'
                ]
                self.assertNotIn(decision['rule'], ('default', None))

    def test_explanation_lists_earlier_rules(self):
        # Guards against an explanation that omits why the rules before the
        # matching one did not match.
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

    def test_wrong_arguments_are_rejected(self):
        # Guards against commands that run although their arguments are
        # incomplete, contradictory or invalid.
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


class FakeNode(http.server.BaseHTTPRequestHandler):
    """Answers requests as the operators' port of a node does."""

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
        """Suppress the request log of the HTTP server."""


class OperatorsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.server = http.server.ThreadingHTTPServer(
            ('127.0.0.1', 0), FakeNode
        )
        cls.node = f'127.0.0.1:{cls.server.server_port}'
        cls.thread = threading.Thread(target=cls.server.serve_forever)
        cls.thread.start()

    @classmethod
    def tearDownClass(cls):
        cls.server.shutdown()
        cls.thread.join()
        cls.server.server_close()

    def test_node_answers_are_printed(self):
        # Guards against commands that request a path that nodes do not serve.
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

    def test_unexpected_node_answers_print_one_error_line(self):
        # Guards against tracebacks when a node is down or its answer is not
        # as expected.
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

    def test_follow_prints_each_entry_once(self):
        # Guards against printing the same entries again at every poll.
        polls = []
        # A job that a script starts with "&" ignores SIGINT.
        former = signal.signal(signal.SIGINT, signal.default_int_handler)
        self.addCleanup(signal.signal, signal.SIGINT, former)

        def sleep(seconds):
            polls.append(seconds)
            self.assertLessEqual(len(polls), 3)
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
    def test_result_code_page_is_current(self):
        # Guards against result codes that are missing from docs/errors.md.
        page = (ROOT / 'docs' / 'errors.md').read_text()
        self.assertEqual(page, references.format_code_page() + '\n')
        self.assertEqual(run('errors', '--markdown')[1], page)

    def test_public_key_matches_the_secret_key(self):
        # Guards against a printed key pair that nodes reject because its keys
        # do not match.
        pair = json.loads(run('keys')[1])
        self.assertEqual(
            zmq.curve_public(pair['secret'].encode()).decode(), pair['public']
        )


class LogTimelineTest(unittest.TestCase):
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

    def test_timeline_has_the_request_and_the_change_before_it(self):
        # Guards against a timeline without the change of a server that
        # explains the result of the request.
        path = self.write(self.LINES.encode())
        status, out, _ = run('explain', '--log', path, 'r1')
        self.assertEqual(status, 0)
        lines = out.splitlines()
        self.assertEqual(len(lines), 2)
        self.assertIn('after=removed', lines[0])
        self.assertIn('verdict=not-run', lines[1])

    def test_unknown_requests_and_missing_files_are_reported(self):
        path = self.write(b'\xff\x00 time=" request=r1\n' * 3)
        status, _, error = run('explain', '--log', path, 'r9')
        self.assertEqual(status, 1)
        self.assertIn('312', error)
        status, _, error = run('explain', '--log', path.parent / 'no', 'r9')
        self.assertEqual(status, 2)
        self.assertIn('208', error)
