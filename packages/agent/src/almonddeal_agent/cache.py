"""What the engine's cache events say, which come late and with gaps."""

from collections import deque

KEEP_EVICTED = 64


class CacheView:
    """Follows the events of an engine's prefix cache.

    Attributes
    ----------
    epoch : int
        Grows whenever events were missed; what was believed before is then unknown.
    """

    def __init__(self):
        self.epoch = 0
        self._next_number = None
        self._evicted = deque(maxlen=KEEP_EVICTED)

    @property
    def since(self):
        """Number of the first event that is not known yet; 0 before the first."""
        return self._next_number or 0

    @property
    def evicted_keys(self):
        """The keys evicted last, as a list."""
        return list(self._evicted)

    def take(self, events):
        """Take events in the order of their numbers."""
        for event in events:
            if self._next_number is not None and event.number < self._next_number:
                continue
            if self._next_number is not None and event.number > self._next_number:
                self.epoch += 1
                self._evicted.clear()
            self._next_number = event.number + 1
            if event.kind == "evicted":
                self._evicted.append(event.key)
            elif event.key in self._evicted:
                self._evicted.remove(event.key)
