"""Tests of the signals that are pending, sent to the thread of the tests."""

import signal
from signal import SIGHUP, SIGINT, SIGTERM
from threading import get_ident

import pytest

from almonddeal_common.pending_signals import (
    block_signals,
    exit_if_stop_is_pending,
    unblock_signals,
)


@pytest.fixture
def pending():
    """Block signals; yields a function that makes one pending."""
    block_signals()
    yield lambda number: signal.pthread_kill(get_ident(), number)
    while numbers := signal.sigpending():
        signal.sigwait(numbers)
    unblock_signals()


class TestExitIfStopIsPending:
    # Guards against a start that ignores a request to stop.
    @pytest.mark.parametrize("number", [SIGTERM, SIGINT])
    def test_pending_stop_ends_the_process_with_status_0(self, pending, number):
        pending(SIGHUP)
        pending(number)
        with pytest.raises(SystemExit) as raised:
            exit_if_stop_is_pending()
        assert raised.value.code == 0

    def test_pending_hangup_has_no_effect(self, pending):
        pending(SIGHUP)
        exit_if_stop_is_pending()
