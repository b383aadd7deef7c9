"""Signals to a process that starts, which are pending until it handles them.

Entry points import this module before any other, so it imports little.
"""

import sys
from signal import (
    SIG_BLOCK,
    SIG_UNBLOCK,
    SIGHUP,
    SIGINT,
    SIGTERM,
    pthread_sigmask,
    sigpending,
)

STOP_NUMBERS = frozenset((SIGTERM, SIGINT))
NUMBERS = STOP_NUMBERS | {SIGHUP}


def block_signals():
    """Keep signals pending: none is lost, and none ends the process."""
    pthread_sigmask(SIG_BLOCK, NUMBERS)


def unblock_signals():
    """Deliver the pending signals, and later ones at once."""
    pthread_sigmask(SIG_UNBLOCK, NUMBERS)


def exit_if_stop_is_pending():
    """Exit with status 0 if a request to stop is pending."""
    if sigpending() & STOP_NUMBERS:
        sys.exit(0)
