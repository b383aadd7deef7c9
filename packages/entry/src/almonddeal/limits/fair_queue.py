"""Start-time fair queueing: customers share capacity by weight, without starvation.

References
----------
P. Goyal, H. Vin and H. Cheng, "Start-time Fair Queueing", 1997.
"""

from heapq import heapify, heappop, heappush

NEUTRAL_PRIORITY = 5


class FairQueueEntry:
    """One queued request, with its start and finish tags in virtual time.

    Entries sort by resumed first, then start tag, then order of arrival.
    """

    __slots__ = (
        "arrival",
        "customer",
        "finish_tag",
        "is_removed",
        "is_resume",
        "start_tag",
    )

    def __init__(self, customer, arrival, start_tag, finish_tag, is_resume):
        self.customer = customer
        self.arrival = arrival
        self.start_tag = start_tag
        self.finish_tag = finish_tag
        self.is_resume = is_resume
        self.is_removed = False

    def __lt__(self, other):
        key = (not self.is_resume, self.start_tag, self.arrival)
        return key < (not other.is_resume, other.start_tag, other.arrival)


class FairQueue:
    """Queue ordered by start tag, with resumed requests first.

    A priority, of which higher is more urgent, acts like a weight with a factor of two
    per step: a request of low priority waits longer but cannot starve.
    """

    def __init__(self):
        self._heap = []
        self._finish_tag_by_customer = {}
        self._virtual_time = 0.0
        self._next_arrival = 0
        self._n_waiting = 0

    def __len__(self):
        return self._n_waiting

    def push(self, customer, weight, priority=NEUTRAL_PRIORITY, is_resume=False):
        """Add a request of a customer; returns its `FairQueueEntry`."""
        share = weight * 2.0 ** (priority - NEUTRAL_PRIORITY)
        start_tag = max(
            self._virtual_time, self._finish_tag_by_customer.get(customer, 0.0)
        )
        finish_tag = start_tag + 1.0 / share
        self._finish_tag_by_customer[customer] = finish_tag
        entry = FairQueueEntry(
            customer, self._next_arrival, start_tag, finish_tag, is_resume
        )
        self._next_arrival += 1
        heappush(self._heap, entry)
        self._n_waiting += 1
        return entry

    def remove(self, entry):
        """Remove an entry; does nothing if it was removed or popped before."""
        if entry.is_removed:
            return
        entry.is_removed = True
        self._n_waiting -= 1
        if len(self._heap) > 64 and len(self._heap) > 2 * self._n_waiting:
            self._heap = [e for e in self._heap if not e.is_removed]
            heapify(self._heap)

    def peek(self):
        """Return the first entry without removing it, or None."""
        while self._heap and self._heap[0].is_removed:
            heappop(self._heap)
        return self._heap[0] if self._heap else None

    def pop(self):
        """Remove and return the first entry, or None."""
        entry = self.peek()
        if entry is None:
            return None
        heappop(self._heap)
        entry.is_removed = True
        self._n_waiting -= 1
        if not entry.is_resume:
            self._virtual_time = max(self._virtual_time, entry.start_tag)
        if self._n_waiting == 0:
            self._evict_customers()
        return entry

    def _evict_customers(self):
        # In an empty queue, only finish tags ahead of the virtual time have an effect.
        tags = self._finish_tag_by_customer.items()
        self._finish_tag_by_customer = {c: f for c, f in tags if f > self._virtual_time}
