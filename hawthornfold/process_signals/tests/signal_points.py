"""Runs a program that signals itself at a chosen point.

    python -m hawthornfold.process_signals.tests.signal_points \
        MODULE POINT ACTIONS [ARGUMENT...]

`ACTIONS` are separated by commas: names of signals, or ``append:PATH``, which
appends a comment to a file. `POINT` is one of

* ``EVENT:TEXT``: the first audit event of this name with the text in one of
  its arguments, such as ``import:eventlet`` or ``socket.bind:``,
* ``exit``: the functions that the interpreter calls before it ends,
* ``teardown``: the end of the interpreter, after it has restored the default
  actions of signals.

A test of a signal at a point then needs no timing.
"""

import atexit
import functools
import os
import runpy
import signal
import sys


class _TeardownHook:
    """Calls a function when it is deleted."""

    def __init__(self, function):
        self._function = function

    def __del__(self):
        self._function()


def append_comment(path):
    """Append a comment of a settings file in TOML."""
    with open(path, 'a') as file:
        file.write('# changed\n')


def create_action(text):
    """Return a function that does what an element of `ACTIONS` says."""
    kind, _, path = text.partition(':')
    if kind == 'append':
        return functools.partial(append_comment, path)
    return functools.partial(os.kill, os.getpid(), signal.Signals[text])


def act_at(point, actions):
    """Have the process call functions at a point."""

    def act():
        for action in actions:
            action()

    if point == 'exit':
        atexit.register(act)
    elif point == 'teardown':
        # The interpreter deletes the attributes of this module at its end
        # even if the program has excluded its objects from collection.
        sys.teardown_hook = _TeardownHook(act)
    else:
        _act_at_event(point, act)


def _act_at_event(point, act):
    event, _, text = point.partition(':')
    pending = [act]

    def check_event(name, arguments):
        if name != event or not pending:
            return
        if any(text in str(argument) for argument in arguments):
            pending.pop()()

    sys.addaudithook(check_event)


def main():
    """Run the program that the arguments name."""
    module, point, actions, *arguments = sys.argv[1:]
    act_at(point, [create_action(text) for text in actions.split(',')])
    sys.argv[1:] = arguments
    runpy.run_module(module, run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    main()
