"""A fair queue: customers share capacity by weight, and nobody waits for ever.

References
----------
P. Goyal, H. Vin and H. Cheng, "Start-time Fair Queueing", 1997.
"""

from heapq import heapify, heappop, heappush

PRIORITY_NEUTRAL = 5


class Entry:
    """One request that waits."""

    __slots__ = ("customer", "finish", "is_gone", "is_resume", "number", "start")

    def __init__(self, customer, number, start, finish, is_resume):
        self.customer = customer
        self.number = number
        self.start = start
        self.finish = finish
        self.is_resume = is_resume
        self.is_gone = False

    def __lt__(self, other):
        mine = (not self.is_resume, self.start, self.number)
        return mine < (not other.is_resume, other.start, other.number)


class FairQueue:
    """Entries in the order of their start tags; resumed answers go first.

    A priority changes the share of a request like a weight does, by a factor of two a
    step, so that a low priority waits longer and never for ever.
    """

    def __init__(self):
        self._heap = []
        self._finish_by_customer = {}
        self._virtual = 0.0
        self._next_number = 0
        self._n_waiting = 0

    def __len__(self):
        return self._n_waiting

    def push(self, customer, weight, priority=PRIORITY_NEUTRAL, is_resume=False):
        """Add a request of a customer and return its `Entry`."""
        share = weight * 2.0 ** (priority - PRIORITY_NEUTRAL)
        start = max(self._virtual, self._finish_by_customer.get(customer, 0.0))
        finish = start + 1.0 / share
        self._finish_by_customer[customer] = finish
        entry = Entry(customer, self._next_number, start, finish, is_resume)
        self._next_number += 1
        heappush(self._heap, entry)
        self._n_waiting += 1
        return entry

    def remove(self, entry):
        """Take out an entry that no longer waits; harmless if it is out already."""
        if entry.is_gone:
            return
        entry.is_gone = True
        self._n_waiting -= 1
        if len(self._heap) > 64 and len(self._heap) > 2 * self._n_waiting:
            self._heap = [e for e in self._heap if not e.is_gone]
            heapify(self._heap)

    def peek(self):
        """Return the entry whose turn it is, or None."""
        while self._heap and self._heap[0].is_gone:
            heappop(self._heap)
        return self._heap[0] if self._heap else None

    def pop(self):
        """Take out the entry whose turn it is and return it, or None."""
        entry = self.peek()
        if entry is None:
            return None
        heappop(self._heap)
        entry.is_gone = True
        self._n_waiting -= 1
        if not entry.is_resume:
            self._virtual = max(self._virtual, entry.start)
        if self._n_waiting == 0:
            self._forget_customers()
        return entry

    def _forget_customers(self):
        # With nobody waiting, only customers ahead of the virtual time matter.
        ahead = self._finish_by_customer.items()
        self._finish_by_customer = {c: f for c, f in ahead if f > self._virtual}
