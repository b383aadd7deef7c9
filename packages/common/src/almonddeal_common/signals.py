"""Signals that request a process to stop or to reload its settings."""

import asyncio
import signal
from contextlib import contextmanager
from signal import SIG_IGN, SIGHUP, SIGINT, SIGTERM, Signals

from almonddeal_common.logs import get_logger
from almonddeal_common.pending_signals import unblock_signals

log = get_logger("signals")


@contextmanager
def handle_signals(request_stop, reload_settings=None, has_started=lambda: True):
    """Context manager that handles the signals to this process in its event loop.

    The handlers stay while the process drains: the default action of a signal would end
    it with its requests in flight. After the context, the signals are ignored until the
    process exits.

    Parameters
    ----------
    request_stop : callable
        Called at the first SIGTERM or SIGINT; later ones have no effect.
    reload_settings : callable, optional
        Called at each SIGHUP. Without it a SIGHUP is a request to stop, unless the
        process was started with SIGHUP ignored, as by ``nohup``.
    has_started : callable, optional
        Returns whether the process has started. Before that, a SIGHUP that would be a
        request to stop has no effect.
    """
    is_stopping = False

    def handle(number, is_during_the_start):
        nonlocal is_stopping
        if number == SIGHUP and reload_settings is not None:
            log.info("settings reload requested")
            reload_settings()
        elif number == SIGHUP and is_during_the_start:
            log.info("SIGHUP has no effect during the start")
        elif is_stopping:
            log.info("%s has no effect, already stopping", Signals(number).name)
        else:
            is_stopping = True
            request_stop()

    numbers = [SIGTERM, SIGINT]
    if reload_settings is not None or signal.getsignal(SIGHUP) != SIG_IGN:
        numbers.append(SIGHUP)
    loop = asyncio.get_running_loop()

    def receive(number, _):
        loop.call_soon_threadsafe(handle, number, not has_started())

    # Not the handlers of the loop: their removal restores the default action.
    for number in numbers:
        signal.signal(number, receive)
    # An entry point may block them until they are handled.
    unblock_signals()
    try:
        yield
    finally:
        for number in numbers:
            signal.signal(number, SIG_IGN)
