"""Defers signals while a process starts, until it has its handlers.

A signal that arrives earlier would end the process by its default action, with
an exit status that reads as a crash.
"""

from __future__ import annotations

import signal

DEFERRED = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})


def defer_signals() -> None:
    """Let the kernel hold back signals; threads started later never get them."""
    signal.pthread_sigmask(signal.SIG_BLOCK, DEFERRED)


def deliver_signals() -> None:
    """Deliver the signals that were held back, and later ones at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, DEFERRED)


def is_stop_deferred() -> bool:
    """Return whether a signal that asks the process to stop is held back."""
    return not signal.sigpending().isdisjoint({signal.SIGTERM, signal.SIGINT})
