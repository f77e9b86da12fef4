"""Subcommands of ``python -m hawthornfold.emulator``.

The subcommand of a module that is missing from the package is left out, so
that each module can be developed on its own.
"""

import dataclasses
import functools
import importlib
import importlib.util
import operator
import sys
import typing

import cappa

from hawthornfold.emulator import backends
from hawthornfold.emulator import platform

# Names of the cappa command classes, by module.
_MODULES = {
    'proxy': 'ProxyCommand',
    'load': 'LoadCommand',
    'naive': 'NaiveCommand',
    'bench': 'BenchCommand',
    'cost': 'CostCommand',
    'demo': 'DemoCommand',
}


@cappa.command(name='platform')
@dataclasses.dataclass
class PlatformCommand:
    """Run the emulated platform."""

    port: typing.Annotated[int, cappa.Arg(long=True)]
    state: typing.Annotated[str | None, cappa.Arg(long=True)] = None

    def __call__(self):
        """Serve until terminated."""
        platform.run_platform(self.port, self.state)


@cappa.command(name='backends')
@dataclasses.dataclass
class BackendsCommand:
    """Run emulated backend servers."""

    spec: typing.Annotated[str, cappa.Arg(long=True)]
    control_port: typing.Annotated[int, cappa.Arg(long=True)]

    def __call__(self):
        """Serve until terminated."""
        backends.run_backends(self.spec, self.control_port)


def load_commands(argv):
    """Return the command classes that `argv` can select.

    Only the named subcommand's module is imported, so that servers start
    without the libraries of the experiments.
    """
    names = argv[:1] if argv[:1] and argv[0] in _MODULES else _MODULES
    commands = [PlatformCommand, BackendsCommand]
    if argv[:1] in (['platform'], ['backends']):
        return tuple(commands)
    for name in names:
        path = f'hawthornfold.emulator.{name}'
        if importlib.util.find_spec(path) is not None:
            module = importlib.import_module(path)
            commands.append(getattr(module, _MODULES[name]))
    return tuple(commands)


def main(argv=None):
    """Run one subcommand."""
    argv = sys.argv[1:] if argv is None else argv
    union = functools.reduce(operator.or_, load_commands(argv))

    @cappa.command(name='python -m hawthornfold.emulator')
    @dataclasses.dataclass
    class Emulator:
        """Emulate hawthornfold's environment; run load and experiments."""

        command: cappa.Subcommands[union]

    return cappa.invoke(Emulator, argv=argv)
