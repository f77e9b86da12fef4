"""Defines the commands, their arguments and their help texts."""

import dataclasses
import os
import sys
import typing

import cappa

import hawthornfold
from hawthornfold.commands import checking
from hawthornfold.commands import explaining
from hawthornfold.commands import operators
from hawthornfold.commands import output
from hawthornfold.commands import references
from hawthornfold.commands import serving
from hawthornfold.process_signals import ReceivedSignals
from hawthornfold.rules import RequestFacts

_MAX_AUDIT_ENTRIES = 4_096


def parse_address(text):
    """Return the text unchanged if it has the form ``host:port``.

    Raises
    ------
    ValueError
        If the text is not an address with a port from 1 to 65,535.

    Examples
    --------
    >>> parse_address('10.0.0.5:8081')
    '10.0.0.5:8081'
    """
    host, _, port = text.rpartition(':')
    is_port = port.isascii() and port.isdigit() and len(port) <= 5
    if not host or not is_port or not 1 <= int(port) <= 65_535:
        raise ValueError('expected HOST:PORT, as in 10.0.0.5:8081')
    if any(character in '/@?# \t\r\n' for character in host):
        raise ValueError('expected HOST:PORT without a scheme or path')
    return text


def parse_headers(texts):
    """Return the values of ``name=value`` texts by lowercase name.

    Raises
    ------
    ValueError
        If a text has no name or no equals sign.

    Examples
    --------
    >>> parse_headers(['X-App=web'])
    {'x-app': 'web'}
    """
    headers = {}
    for text in texts:
        name, equals, value = text.partition('=')
        if not name or not equals:
            raise ValueError('expected NAME=VALUE, as in x-app=web')
        headers[name.lower()] = value
    return headers


def parse_limit(text):
    """Return the maximum number of audit entries to request.

    Raises
    ------
    ValueError
        If the text is not a whole number from 1 to 4,096.
    """
    if not (text.isascii() and text.isdigit() and len(text) <= 4):
        raise ValueError('expected a whole number of up to four digits')
    if not 1 <= int(text) <= _MAX_AUDIT_ENTRIES:
        raise ValueError(f'expected a number from 1 to {_MAX_AUDIT_ENTRIES}')
    return int(text)


_Json = typing.Annotated[
    bool, cappa.Arg(long='--json', help='Print JSON instead of text.')
]
_Node = typing.Annotated[
    str,
    cappa.Arg(
        long='--node',
        value_name='HOST:PORT',
        parse=parse_address,
        help="The node's operators' port.",
    ),
]


def create_signals():
    """Create the signals of a command that the process does not receive."""
    return ReceivedSignals(can_reload=False)


_Signals = typing.Annotated[ReceivedSignals, cappa.Dep(create_signals)]


@cappa.command(name='serve')
@dataclasses.dataclass(frozen=True)
class Serve:
    """Run a node until SIGTERM, SIGINT or SIGHUP.

    The node stops gracefully: it fails its readiness check, finishes the
    requests in progress, and then exits.

    Example: hawthornfold serve --settings settings-entry-1.json
    """

    settings: typing.Annotated[
        str, cappa.Arg(long=True, value_name='FILE', help='Settings file.')
    ]

    def __call__(self, signals: _Signals):
        """Run the command; return the exit status."""
        return serving.serve(self.settings, signals)


@cappa.command(name='check')
@dataclasses.dataclass(frozen=True)
class Check:
    """Check a settings or rules file before it is used.

    Prints `valid`, or one line per fault with its result code, its line and
    column, and the path of its field. A single run reports all faults.

    Example: hawthornfold check examples/lipovec/rules.json
    """

    file: typing.Annotated[
        str,
        cappa.Arg(value_name='FILE', help='JSON with comments, up to 1 MB.'),
    ]
    kind: typing.Annotated[
        typing.Literal['settings', 'rules'] | None,
        cappa.Arg(
            long=True,
            help='Kind of the file; by default recognised by its fields.',
        ),
    ] = None

    def __call__(self):
        """Run the command; return the exit status."""
        return checking.check_file(self.file, self.kind)


@cappa.command(name='explain')
@dataclasses.dataclass(frozen=True)
class Explain:
    """Show which rule handles a request, and why.

    From a rules file: prints the rules up to the first one that matches, each
    earlier one with the first field that differs, and then the decision.

    Example: hawthornfold explain --rules rules.json --service voter-portal
    --kind search --header x-app=web

    From a running node: prints what the node did for a request. REQUEST_ID is
    the request_id of the answer.

    Example: hawthornfold explain --node 10.0.0.5:8081 REQUEST_ID

    From log files of any nodes: prints the lines about a request, and the
    latest changes that its nodes logged before it ended.

    Example: hawthornfold explain --log node-1.log --log node-2.log REQUEST_ID
    """

    request_id: typing.Annotated[
        str | None,
        cappa.Arg(
            value_name='REQUEST_ID',
            required=False,
            help='Identifier of a handled request; needs --node or --log.',
        ),
    ] = None
    node: typing.Annotated[
        str | None,
        cappa.Arg(
            long=True,
            value_name='HOST:PORT',
            parse=parse_address,
            help="The node's operators' port.",
        ),
    ] = None
    log: typing.Annotated[
        list[str],
        cappa.Arg(
            long=True, value_name='FILE', help='Log file; may be repeated.'
        ),
    ] = dataclasses.field(default_factory=list)
    rules: typing.Annotated[
        str | None,
        cappa.Arg(long=True, value_name='FILE', help='Rules file.'),
    ] = None
    service: typing.Annotated[
        str | None, cappa.Arg(long=True, help='Service of the request.')
    ] = None
    kind: typing.Annotated[
        str | None,
        cappa.Arg(long=True, help='Kind: search, status or record.'),
    ] = None
    caller_class: typing.Annotated[
        str, cappa.Arg(long=True, help='Value of X-Caller-Class.')
    ] = ''
    method: typing.Annotated[
        str, cappa.Arg(long=True, help='HTTP method.')
    ] = 'POST'
    path: typing.Annotated[str, cappa.Arg(long=True, help='HTTP path.')] = (
        '/v1/query'
    )
    data_centre: typing.Annotated[
        str, cappa.Arg(long=True, help='Data centre of the entry node.')
    ] = ''
    header: typing.Annotated[
        dict,
        cappa.Arg(
            long=True,
            value_name='NAME=VALUE',
            parse=parse_headers,
            action=cappa.ArgAction.append,
            help='A request header; may be repeated.',
        ),
    ] = dataclasses.field(default_factory=dict)
    json: _Json = False

    def __call__(self):
        """Run the command; return the exit status."""
        if self.log and self.request_id and not (self.node or self.rules):
            return explaining.explain_logs(self.log, self.request_id)
        if self.node and self.request_id and not self.rules:
            return operators.print_request(
                self.node, self.request_id, self.json
            )
        if self.node or self.request_id or not self.rules:
            output.print_error(
                'give either --rules with --service and --kind, or a '
                'REQUEST_ID with --node or --log'
            )
            return output.EXIT_INVALID
        if self.service is None or self.kind is None:
            output.print_error('--rules requires --service and --kind')
            return output.EXIT_INVALID
        facts = RequestFacts(
            self.service,
            self.kind,
            self.caller_class,
            self.method,
            self.path,
            self.header,
            self.data_centre,
        )
        return explaining.explain_facts(self.rules, facts, self.json)


@cappa.command(name='losses')
@dataclasses.dataclass(frozen=True)
class Losses:
    """Attribute late, partial and failed requests to causes.

    Reads the logs of gateway nodes. Give those of all nodes of the same time:
    a request is logged by the node that took it from its caller.

    Example: hawthornfold losses --log node-1.log --log node-2.log
    """

    log: typing.Annotated[
        list[str],
        cappa.Arg(
            long=True, value_name='FILE', help='Log file; may be repeated.'
        ),
    ]
    plots: typing.Annotated[
        str | None,
        cappa.Arg(
            long=True,
            value_name='DIRECTORY',
            help='Also write PNG files there; needs hawthornfold[plots].',
        ),
    ] = None

    def __call__(self):
        """Run the command; return the exit status."""
        return explaining.print_losses(self.log, self.plots)


@cappa.command(name='status')
@dataclasses.dataclass(frozen=True)
class Status:
    """Print the status of a running node.

    Example: hawthornfold status --node 10.0.0.5:8081
    """

    node: _Node
    json: _Json = False

    def __call__(self):
        """Run the command; return the exit status."""
        return operators.print_status(self.node, self.json)


@cappa.command(name='audit')
@dataclasses.dataclass(frozen=True)
class Audit:
    """Print the changes that a running node has recorded.

    With --follow, prints new entries as well until interrupted.

    Example: hawthornfold audit --node 10.0.0.5:8081 --limit 20 --follow
    """

    node: _Node
    limit: typing.Annotated[
        int,
        cappa.Arg(
            long=True, parse=parse_limit, help='Maximum number of entries.'
        ),
    ] = 100
    follow: typing.Annotated[
        bool, cappa.Arg(long=True, help='Print new entries until interrupted.')
    ] = False
    json: _Json = False

    def __call__(self):
        """Run the command; return the exit status."""
        return operators.print_audit(
            self.node, self.limit, self.json, self.follow
        )


@cappa.command(name='errors')
@dataclasses.dataclass(frozen=True)
class Errors:
    """Print the table of result codes.

    Example: hawthornfold errors
    """

    markdown: typing.Annotated[
        bool,
        cappa.Arg(long=True, help='Print the table as in docs/errors.md.'),
    ] = False

    def __call__(self):
        """Run the command; return the exit status."""
        return references.print_codes(self.markdown)


@cappa.command(name='keys')
@dataclasses.dataclass(frozen=True)
class Keys:
    """Print a new CURVE key pair for `peers.keys` in the settings.

    Keep the secret out of version control.

    Example: hawthornfold keys
    """

    def __call__(self):
        """Run the command; return the exit status."""
        return references.print_keys()


@cappa.command(name='hawthornfold')
@dataclasses.dataclass(frozen=True)
class CommandLine:
    """A query tier over many shards, driven by when-then rules.

    Start with: hawthornfold check examples/lipovec/rules.json

    Exit status: 0 success; 1 a node does not answer as expected, no rule
    matches, or a request is unknown; 2 a file is not valid, or the arguments
    are wrong; 130 interrupted.
    """

    command: cappa.Subcommands[
        Serve | Check | Explain | Losses | Status | Audit | Errors | Keys
    ]


def main(arguments=None, signals=None):
    """Run the command line; return the exit status.

    Parameters
    ----------
    arguments : list of str, optional
        The arguments without the program name; by default those of the
        process.
    signals : ReceivedSignals, optional
        The signals that the process receives, for a command that runs a node.
    """
    # File names and values may contain characters that the terminal's
    # encoding cannot represent.
    for stream in (sys.stdout, sys.stderr):
        if hasattr(stream, 'reconfigure'):
            stream.reconfigure(errors='backslashreplace')
    try:
        status = cappa.invoke(
            CommandLine,
            argv=arguments,
            version=hawthornfold.__version__,
            deps={create_signals: cappa.Dep(lambda: signals)}
            if signals
            else None,
        )
        sys.stdout.flush()
    except KeyboardInterrupt:
        return output.EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader of the pipe, such as head, has closed it. Python flushes
        # stdout at exit and would report the same error again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return output.EXIT_DONE
    return status
