"""Tests of the handling of signals, sent to the process of the tests."""

import os
import signal
from contextlib import contextmanager
from signal import SIGHUP, SIGINT, SIGTERM
from threading import get_ident

import anyio
import pytest

from almonddeal_common.pending_signals import block_signals
from almonddeal_common.signals import handle_signals

NUMBERS = (SIGHUP, SIGINT, SIGTERM)
STOP, RELOAD = "stop", "reload"


@pytest.fixture(autouse=True)
def restored_handlers():
    """Start with default actions, as a run under ``nohup`` ignores SIGHUP."""
    previous = {number: signal.getsignal(number) for number in NUMBERS}
    signal.signal(SIGHUP, signal.SIG_DFL)
    yield
    for number, handler in previous.items():
        signal.signal(number, handler)


@contextmanager
def record_calls(has_reload=True, **options):
    """Handle signals; yields the calls that they cause, in their order."""
    calls = []
    reload_settings = (lambda: calls.append(RELOAD)) if has_reload else None
    with handle_signals(lambda: calls.append(STOP), reload_settings, **options):
        yield calls


async def send_signal(number):
    os.kill(os.getpid(), number)
    await anyio.sleep(0.02)


class TestHandleSignals:
    @pytest.mark.parametrize("number", [SIGTERM, SIGINT])
    def test_stop_is_requested_once(self, number):
        async def main():
            with record_calls() as calls:
                await send_signal(number)
                await send_signal(number)
                return calls

        assert anyio.run(main) == [STOP]

    # Guards against a process that a signal ends while it drains.
    @pytest.mark.parametrize("first", [SIGTERM, SIGINT])
    @pytest.mark.parametrize("second", NUMBERS)
    def test_signal_after_a_stop_request_is_handled(self, first, second):
        async def main():
            with record_calls() as calls:
                await send_signal(first)
                await send_signal(second)
                await send_signal(SIGHUP)
                return calls

        expected = [STOP, RELOAD, RELOAD] if second == SIGHUP else [STOP, RELOAD]
        assert anyio.run(main) == expected

    # Guards against a reload that is lost, or ends the process, during a start.
    def test_blocked_reload_is_requested_by_the_start(self):
        async def main():
            signal.pthread_sigmask(signal.SIG_BLOCK, {SIGHUP})
            # Other threads of the process of the tests do not block it.
            signal.pthread_kill(get_ident(), SIGHUP)
            with record_calls() as calls:
                await anyio.sleep(0.02)
                return calls

        assert anyio.run(main) == [RELOAD]

    # Guards against a request to stop that is lost, or ends the process, in a start.
    @pytest.mark.parametrize("number", [SIGTERM, SIGINT])
    def test_blocked_stop_is_requested_by_the_start(self, number):
        async def main():
            block_signals()
            signal.pthread_kill(get_ident(), number)
            with record_calls(has_started=lambda: False) as calls:
                await anyio.sleep(0.02)
                return calls

        assert anyio.run(main) == [STOP]

    # Guards against a SIGHUP that ends a starting process.
    def test_hangup_has_no_effect_before_the_start(self):
        async def main():
            has_started = False
            block_signals()
            signal.pthread_kill(get_ident(), SIGHUP)
            with record_calls(False, has_started=lambda: has_started) as calls:
                await send_signal(SIGHUP)
                assert calls == []
                has_started = True
                await send_signal(SIGHUP)
                return calls

        assert anyio.run(main) == [STOP]

    def test_hangup_requests_a_stop_where_nothing_is_reloaded(self):
        async def main():
            with record_calls(has_reload=False) as calls:
                await send_signal(SIGHUP)
                await send_signal(SIGHUP)
                return calls

        assert anyio.run(main) == [STOP]

    def test_ignored_hangup_stays_ignored_where_nothing_is_reloaded(self):
        async def main():
            signal.signal(SIGHUP, signal.SIG_IGN)
            with record_calls(has_reload=False) as calls:
                await send_signal(SIGHUP)
                return calls

        assert anyio.run(main) == []

    # Guards against a signal that ends the process after its last request.
    @pytest.mark.parametrize("number", NUMBERS)
    def test_signals_are_ignored_afterwards(self, number):
        async def main():
            with record_calls():
                pass

        anyio.run(main)
        assert signal.getsignal(number) == signal.SIG_IGN
        os.kill(os.getpid(), number)
