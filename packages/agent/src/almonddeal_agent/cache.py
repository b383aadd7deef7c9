"""Evictions from the engine's prefix cache, followed through its events.

Events are polled, so they arrive late, may repeat, and some may be missed.
"""

from collections import deque

MAX_EVICTED_KEYS = 64  # keys listed in each announcement


class CacheView:
    """Keys evicted lately from an engine's prefix cache.

    Attributes
    ----------
    cache_epoch : int
        Incremented when events were missed; what was known of the cache before is then
        invalid.
    """

    def __init__(self):
        self.cache_epoch = 0
        self._next_number = None
        self._evicted = deque(maxlen=MAX_EVICTED_KEYS)

    @property
    def next_event_number(self):
        """Number of the next event to fetch; 0 before the first event."""
        return self._next_number or 0

    @property
    def evicted_keys(self):
        """Keys evicted last and not stored again, as a list."""
        return list(self._evicted)

    def apply(self, events):
        """Apply events, ordered by number; known ones are skipped."""
        for event in events:
            if self._next_number is not None and event.number < self._next_number:
                continue
            if self._next_number is not None and event.number > self._next_number:
                self.cache_epoch += 1
                self._evicted.clear()
            self._next_number = event.number + 1
            if event.kind == "evicted":
                self._evicted.append(event.key)
            elif event.key in self._evicted:
                self._evicted.remove(event.key)
