"""Measures the cost of eventlet's green threads and timers.

docs/decisions/eventlet.md quotes the figures. Times are processor times of
this process, because a busy machine distorts them less than elapsed times.
"""

import sys
import time

import eventlet
from eventlet import hubs
import eventlet.event

ROUNDS = 5
SWITCHES = 100_000
TIMERS = 50_000
EVENTS = 50_000
SPAWNS = 50_000


def switch_threads():
    """Switch between two green threads through the hub."""

    def run():
        for _ in range(SWITCHES // 2):
            eventlet.sleep(0)

    threads = [eventlet.spawn(run) for _ in range(2)]
    for thread in threads:
        thread.wait()
    return SWITCHES


def fire_timers():
    """Schedule timers that fire immediately."""
    fired = eventlet.event.Event()
    left = [TIMERS]

    def on_timer():
        left[0] -= 1
        if not left[0]:
            fired.send(None)

    hub = hubs.get_hub()
    for _ in range(TIMERS):
        hub.schedule_call_global(0, on_timer)
    fired.wait()
    return TIMERS


def cancel_timers():
    """Schedule timers and cancel them, as most queries do."""
    hub = hubs.get_hub()
    for _ in range(TIMERS):
        hub.schedule_call_global(60, int).cancel()
    eventlet.sleep(0)
    return TIMERS


def send_events():
    """Wake a green thread by an event."""
    for _ in range(EVENTS):
        event = eventlet.event.Event()
        eventlet.spawn_n(event.send, None)
        event.wait()
    return EVENTS


def spawn_threads():
    """Run green threads without a result."""
    for _ in range(SPAWNS // 100):
        for _ in range(100):
            eventlet.spawn_n(int)
        eventlet.sleep(0)
    return SPAWNS


def measure(work):
    """Return the minimum and maximum time per operation in microseconds.

    Parameters
    ----------
    work : callable
        Repeats the operation and returns the number of repetitions.
    """
    costs_us = []
    for _ in range(ROUNDS):
        started = time.process_time()
        amount = work()
        costs_us.append((time.process_time() - started) / amount * 1e6)
    return min(costs_us), max(costs_us)


def main():
    """Print the cost of each operation and return the exit status."""
    print(f'eventlet {eventlet.__version__}, hub {hubs.get_hub().__module__}')
    for name, work in (
        ('switch by sleep(0)', switch_threads),
        ('timer that fires', fire_timers),
        ('timer that is cancelled', cancel_timers),
        ('spawn and event', send_events),
        ('spawn without result', spawn_threads),
    ):
        minimum_us, maximum_us = measure(work)
        print(f'{name:24} {minimum_us:6.2f} to {maximum_us:6.2f} us')
    return 0


if __name__ == '__main__':
    sys.exit(main())
