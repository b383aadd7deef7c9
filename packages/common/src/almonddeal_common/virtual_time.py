"""Coroutines in virtual time, for tests and simulations.

An event loop in virtual time never waits: when no task is ready, its clock jumps to the
next timer. Hours pass in seconds, and results do not depend on the load of the machine,
except that tasks cancelled together finish in no fixed order. Works only for code that
waits for timers and other tasks; sockets and worker threads are not supported.
"""

import asyncio
import selectors

import anyio

from almonddeal_common.clock import overridden_clock

START_S = 1000.0  # not 0, which some code reads as "never"

_active_clocks = []


class VirtualTime:
    """A virtual clock, in effect for `monotonic_ms` while its context is entered.

    The clock moves only while `run` executes coroutines.

    Attributes
    ----------
    now_s : float
        Current virtual time in seconds.
    """

    __slots__ = ("_clock_override", "now_s")

    def __init__(self):
        self.now_s = START_S
        self._clock_override = None

    def __enter__(self):
        self._clock_override = overridden_clock(lambda: self.now_s)
        self._clock_override.__enter__()
        _active_clocks.append(self)
        return self

    def __exit__(self, *exc_info):
        _active_clocks.remove(self)
        self._clock_override.__exit__(*exc_info)

    def run(self, main, *args):
        """Run an async function to completion on this clock; returns its result."""
        options = {"loop_factory": lambda: _VirtualTimeLoop(self)}
        return anyio.run(main, *args, backend_options=options)


def run_in_virtual_time(main, *args):
    """Run an async function to completion in virtual time.

    Continues on the `VirtualTime` entered last, or else on a new one.

    Parameters
    ----------
    main : async callable
    *args
        Arguments of `main`.

    Returns
    -------
    result : object
        Return value of `main`.

    Raises
    ------
    RuntimeError
        If all tasks are blocked and no timer is pending.
    """
    if _active_clocks:
        return _active_clocks[-1].run(main, *args)
    with VirtualTime() as virtual:
        return virtual.run(main, *args)


class _VirtualTimeSelector(selectors.SelectSelector):
    """A selector that advances the virtual clock instead of waiting."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        events = super().select(0)
        if events or timeout == 0:
            return events
        if timeout is None:
            raise RuntimeError(
                "deadlock: all tasks are blocked and no timer is pending"
            )
        self._clock.now_s += timeout
        return events


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that takes its time from a `VirtualTime`."""

    def __init__(self, clock):
        self._clock = clock
        super().__init__(_VirtualTimeSelector(clock))

    def time(self):
        return self._clock.now_s
