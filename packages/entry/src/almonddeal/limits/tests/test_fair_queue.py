"""Tests of the fair queue, also against a naive implementation."""

from hypothesis import given, settings
from hypothesis import strategies as st

from almonddeal.limits.fair_queue import FairQueue

STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("push"),
            st.sampled_from("abcd"),
            st.sampled_from((0.5, 1.0, 4.0)),
            st.integers(3, 7),
            st.booleans(),
        ),
        st.tuples(st.just("pop")),
        st.tuples(st.just("remove"), st.integers(0, 20)),
    ),
    max_size=80,
)


class NaiveQueue:
    """Reference implementation that sorts a list on each pop."""

    def __init__(self):
        self.waiting = []
        self.finish_by_customer = {}
        self.virtual = 0.0
        self.n_pushed = 0

    def push(self, customer, weight, priority, is_resume):
        start = max(self.virtual, self.finish_by_customer.get(customer, 0.0))
        share = weight * 2.0 ** (priority - 5)
        self.finish_by_customer[customer] = start + 1.0 / share
        self.waiting.append((not is_resume, start, self.n_pushed))
        self.n_pushed += 1

    def pop(self):
        if not self.waiting:
            return None
        self.waiting.sort()
        not_resume, start, number = self.waiting.pop(0)
        if not_resume:
            self.virtual = max(self.virtual, start)
        return number

    def remove(self, number):
        self.waiting = [w for w in self.waiting if w[2] != number]


class TestFairQueue:
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(STEPS)
    def test_order_equals_that_of_the_naive_queue(self, steps):
        queue, naive, pushed = FairQueue(), NaiveQueue(), []
        for kind, *fields in steps:
            if kind == "push":
                pushed.append(queue.push(*fields))
                naive.push(*fields)
            elif kind == "pop":
                entry = queue.pop()
                assert (entry.arrival if entry else None) == naive.pop()
            elif fields[0] < len(pushed):
                queue.remove(pushed[fields[0]])
                naive.remove(fields[0])
            assert len(queue) == len(naive.waiting)

    def test_flood_of_one_customer_does_not_delay_another(self):
        queue = FairQueue()
        for _ in range(1000):
            queue.push("large", 1.0)
        for _ in range(3):
            queue.pop()
        queue.push("small", 1.0)
        served = [queue.pop().customer for _ in range(3)]
        assert "small" in served

    def test_shares_are_proportional_to_weights(self):
        queue = FairQueue()
        for _ in range(400):
            queue.push("heavy", 3.0)
            queue.push("light", 1.0)
        served = [queue.pop().customer for _ in range(400)]
        assert 290 <= served.count("heavy") <= 310

    def test_lowest_priority_does_not_starve(self):
        queue = FairQueue()
        low = queue.push("low", 1.0, priority=0)
        queue.push("low", 1.0, priority=0)
        served = []
        for _ in range(200):
            queue.push("high", 1.0, priority=9)
            served.append(queue.pop().arrival)
        assert low.arrival in served

    def test_resumed_requests_go_first(self):
        queue = FairQueue()
        queue.push("a", 1.0)
        resumed = queue.push("b", 1.0, is_resume=True)
        assert queue.pop() is resumed
