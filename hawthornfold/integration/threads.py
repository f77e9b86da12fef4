"""Threads that run while a context is active."""

import contextlib
import threading


@contextlib.contextmanager
def run_threads(functions):
    """Run functions in threads of their own while the context is active.

    Parameters
    ----------
    functions : iterable of callable
        Each takes the event that tells it to return.
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
