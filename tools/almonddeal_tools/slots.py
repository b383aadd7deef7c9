"""Batch slots of an engine, assigned by priority."""

import heapq
from contextlib import asynccontextmanager

import anyio


class PrioritySlots:
    """Slots of a batch; a free slot goes to the waiter with the highest priority.

    Waiters of equal priority are served in order of arrival.

    Parameters
    ----------
    n_slots : int
    """

    def __init__(self, n_slots):
        self._n_free = n_slots
        self._waiters = []
        self._n_enqueued = 0

    @asynccontextmanager
    async def acquire(self, priority):
        """Hold one slot inside the context, waiting until one is free."""
        if self._n_free:
            self._n_free -= 1
        else:
            await self._wait(priority)
        try:
            yield
        finally:
            self._release()

    async def _wait(self, priority):
        self._n_enqueued += 1
        event = anyio.Event()
        entry = (-priority, self._n_enqueued, event)
        heapq.heappush(self._waiters, entry)
        try:
            await event.wait()
        except BaseException:
            if event.is_set():
                self._release()
            else:
                self._waiters.remove(entry)
                heapq.heapify(self._waiters)
            raise

    def _release(self):
        if self._waiters:
            heapq.heappop(self._waiters)[2].set()
        else:
            self._n_free += 1
