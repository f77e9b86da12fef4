"""Runs threads while a context is active."""

import contextlib
import threading


@contextlib.contextmanager
def run_threads(functions):
    """Run each function in its own thread while the context is active.

    Parameters
    ----------
    functions : iterable of callable
        Each takes a `threading.Event` and returns once it is set.
    """
    stop_event = threading.Event()
    threads = [
        threading.Thread(target=function, args=(stop_event,), daemon=True)
        for function in functions
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stop_event.set()
        for thread in threads:
            thread.join()
