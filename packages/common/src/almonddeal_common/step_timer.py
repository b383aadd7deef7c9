"""Time limits that a stall of this process does not use up."""

import asyncio
from contextlib import contextmanager

import anyio

N_LAST_TURNS = 10  # more than it takes to pass on what the event loop reads


class StepTimer:
    """Cancels a scope after a time, once it is started.

    The time is counted in steps that end in different turns of the event loop. A stall
    of this process, in which a connection may be made or bytes may come but are not
    seen, takes up only one. The last one is followed by some turns of the event loop,
    as it may have been a stall.

    Parameters
    ----------
    scope : anyio.CancelScope
    timeout_s : float
    n_steps : int
        More than the turns of the event loop that the work in the scope takes.
    """

    __slots__ = ("_handle", "_n_last_turns_left", "_n_steps_left", "_scope", "_step_s")

    def __init__(self, scope, timeout_s, n_steps):
        self._scope = scope
        self._handle = None
        self._step_s = timeout_s / n_steps
        self._n_steps_left = n_steps
        self._n_last_turns_left = N_LAST_TURNS

    def start(self):
        """Start, or go on after `stop`."""
        self._handle = asyncio.get_running_loop().call_later(
            self._step_s, self._end_step
        )

    def _end_step(self):
        self._n_steps_left -= 1
        if self._n_steps_left:
            self.start()
        else:
            self._end_turn()

    def _end_turn(self):
        if self._n_last_turns_left:
            self._n_last_turns_left -= 1
            self._handle = asyncio.get_running_loop().call_soon(self._end_turn)
        else:
            self._scope.cancel()

    def stop(self):
        """Stop, so that the scope is not cancelled."""
        self._handle.cancel()


@contextmanager
def move_on_after_steps(timeout_s, n_steps):
    """Context manager that is left after a time, as by a `StepTimer`."""
    with anyio.CancelScope() as scope:
        timer = StepTimer(scope, timeout_s, n_steps)
        timer.start()
        try:
            yield scope
        finally:
            timer.stop()


@contextmanager
def fail_after_steps(timeout_s, n_steps):
    """Context manager that raises `TimeoutError` as by a `StepTimer`."""
    with move_on_after_steps(timeout_s, n_steps) as scope:
        yield
    if scope.cancelled_caught:
        raise TimeoutError(f"not done within {timeout_s} s")
