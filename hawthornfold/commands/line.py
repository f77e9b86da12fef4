"""The command line: arguments, help texts and exit statuses."""

import dataclasses
import sys
import typing

import cappa

import hawthornfold
from hawthornfold.commands import checking
from hawthornfold.commands import output
from hawthornfold.commands import serving


@cappa.command(name='serve')
@dataclasses.dataclass(frozen=True)
class Serve:
    """Run a node until SIGTERM or SIGINT.

    Example: hawthornfold serve --settings settings-entry-1.json
    """

    settings: typing.Annotated[
        str, cappa.Arg(long=True, value_name='FILE', help='Settings file.')
    ]

    def __call__(self):
        """Run the command; return the exit status."""
        return serving.serve(self.settings)


@cappa.command(name='check')
@dataclasses.dataclass(frozen=True)
class Check:
    """Check a settings or rules file; print one line per fault.

    Example: hawthornfold check examples/lipovec/rules.json
    """

    file: typing.Annotated[str, cappa.Arg(value_name='FILE', help='File.')]
    kind: typing.Annotated[
        typing.Literal['settings', 'rules'] | None,
        cappa.Arg(
            long=True,
            help='What the file is; recognised by its fields otherwise.',
        ),
    ] = None

    def __call__(self):
        """Run the command; return the exit status."""
        return checking.check_file(self.file, self.kind)


@cappa.command(name='hawthornfold')
@dataclasses.dataclass(frozen=True)
class CommandLine:
    """A query tier over many shards, driven by when-then rules."""

    command: cappa.Subcommands[Serve | Check]


def main(arguments=None):
    """Run the command line; return the exit status.

    Parameters
    ----------
    arguments : list of str, optional
        Without the name of the program; those of the process by default.
    """
    # File names and values need not fit the terminal's encoding.
    for stream in (sys.stdout, sys.stderr):
        stream.reconfigure(errors='backslashreplace')
    try:
        return cappa.invoke(
            CommandLine, argv=arguments, version=hawthornfold.__version__
        )
    except KeyboardInterrupt:
        return output.EXIT_INTERRUPTED
