"""Places in an engine's batch, given out by priority."""

import heapq
from contextlib import asynccontextmanager

import anyio


class PrioritySlots:
    """Places in the batch; who waits with the highest priority gets the next one."""

    def __init__(self, n_slots):
        self._n_free = n_slots
        self._waiting = []
        self._n_entered = 0

    @asynccontextmanager
    async def taken(self, priority):
        """Hold one place in the context, waiting for it if need be."""
        if self._n_free:
            self._n_free -= 1
        else:
            await self._wait(priority)
        try:
            yield
        finally:
            self._give_back()

    async def _wait(self, priority):
        self._n_entered += 1
        event = anyio.Event()
        entry = (-priority, self._n_entered, event)
        heapq.heappush(self._waiting, entry)
        try:
            await event.wait()
        except BaseException:
            if event.is_set():
                self._give_back()
            else:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    def _give_back(self):
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self._n_free += 1
