"""Runs a program that signals itself at a chosen point.

    python -m hawthornfold.process_signals.tests.signal_points \
        MODULE POINT SIGNALS [ARGUMENT...]

`SIGNALS` are names separated by commas. `POINT` is one of

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


def _send_signals(numbers, kill=os.kill, pid=os.getpid):
    for number in numbers:
        kill(pid(), number)


def send_at(point, numbers):
    """Have the process send itself signals at a point."""
    send = functools.partial(_send_signals, numbers)
    if point == 'exit':
        atexit.register(send)
    elif point == 'teardown':
        # The interpreter deletes the attributes of this module at its end
        # even if the program has excluded its objects from collection.
        sys.teardown_hook = _TeardownHook(send)
    else:
        _send_at_event(point, send)


def _send_at_event(point, send):
    event, _, text = point.partition(':')
    unsent = [send]

    def check_event(name, arguments):
        if name != event or not unsent:
            return
        if any(text in str(argument) for argument in arguments):
            unsent.pop()()

    sys.addaudithook(check_event)


def main():
    """Run the program that the arguments name."""
    module, point, names, *arguments = sys.argv[1:]
    numbers = [signal.Signals[name] for name in names.split(',')]
    send_at(point, numbers)
    sys.argv[1:] = arguments
    runpy.run_module(module, run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    main()
