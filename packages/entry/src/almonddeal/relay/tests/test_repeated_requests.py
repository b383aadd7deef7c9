"""Tests of requests that callers send again, at any instance, and that crash targets.

Pattern: whatever target runs the request crashes and is back after some seconds, while
other requests run beside it.
"""

import pytest

from almonddeal.relay.requests import AdmittedRequest
from almonddeal.relay.tests.fakes import make_request, make_route
from almonddeal.routing.model import Customer, Service


def admit(request_id, path=b"/a/b", key=None, body=b"", customer=None):
    """Return an admitted request of a caller with a key."""
    request = make_request()
    request.request_id = request_id
    request.path_and_query = path
    request.key = key
    request.body = body
    return AdmittedRequest(request, make_route(), Service("s", None), customer)


class TestFingerprint:
    def test_repeats_of_a_request_have_the_same(self):
        assert admit("r1").fingerprint == admit("r2").fingerprint

    @pytest.mark.parametrize(
        "change", [{"path": b"/a/b?c"}, {"key": "k2"}, {"body": b"x"}]
    )
    def test_other_requests_have_another(self, change):
        assert admit("r", **change).fingerprint != admit("r").fingerprint

    def test_keys_of_a_customer_are_the_same_caller(self):
        customer = Customer("c", ["a", "b"], None)
        first, second = (admit("r", key=key, customer=customer) for key in "ab")
        assert first.fingerprint == second.fingerprint
