"""Tests of rate limits, stream limits and retry budgets."""

import pytest

from almonddeal.document.model import Customer
from almonddeal.limits.buckets import CustomerLimits
from almonddeal.limits.budget import RetryBudget
from almonddeal_common.codes import AlmonddealError


def make_customer(**limits):
    return Customer("kite", {"key_sha256": ["0" * 64], "limits": limits})


class TestCustomerLimits:
    def test_request_over_the_rate_is_rejected_with_a_retry_after(self, monkeypatch):
        now_ms = [0.0]
        monkeypatch.setattr("almonddeal.limits.buckets.monotonic_ms", lambda: now_ms[0])
        limits = CustomerLimits(lambda: 1, lambda customer: 0)
        customer = make_customer(requests_per_s=10, burst=2)
        limits.check_rate(customer)
        limits.check_rate(customer)
        with pytest.raises(AlmonddealError, match="RATE_LIMITED") as caught:
            limits.check_rate(customer)
        assert caught.value.was_run == "no"
        now_ms[0] += caught.value.retry_after_ms + 0.1
        limits.check_rate(customer)

    def test_rate_is_divided_among_instances(self, monkeypatch):
        now_ms = [0.0]
        monkeypatch.setattr("almonddeal.limits.buckets.monotonic_ms", lambda: now_ms[0])
        limits = CustomerLimits(lambda: 4, lambda customer: 0)
        customer = make_customer(requests_per_s=40, burst=4)
        n_admitted = 0
        for _ in range(1000):
            now_ms[0] += 10.0
            try:
                limits.check_rate(customer)
                n_admitted += 1
            except AlmonddealError:
                continue
        assert 99 <= n_admitted <= 102

    def test_streams_on_other_instances_count(self):
        limits = CustomerLimits(lambda: 2, lambda customer: 3)
        customer = make_customer(max_streams=4)
        limits.acquire_stream(customer)
        with pytest.raises(AlmonddealError, match="TOO_MANY_STREAMS"):
            limits.acquire_stream(customer)
        limits.release_stream(customer)
        assert limits.usage() == {}

    def test_resumed_stream_is_never_rejected(self):
        limits = CustomerLimits(lambda: 1, lambda customer: 9)
        customer = make_customer(max_streams=1)
        with limits.count_stream(customer):
            assert limits.usage() == {"kite": 1}
        assert limits.usage() == {}


class TestRetryBudget:
    def test_retries_stay_in_proportion(self):
        budget = RetryBudget(ratio=0.1, max_balance=10)
        n_retries = 0
        for _ in range(1000):
            budget.earn()
            n_retries += budget.spend()
        assert n_retries <= 1000 * 0.1 + 10

    def test_balance_is_bounded(self):
        budget = RetryBudget(ratio=1.0, max_balance=5)
        for _ in range(100):
            budget.earn()
        assert sum(budget.spend() for _ in range(100)) == 5
