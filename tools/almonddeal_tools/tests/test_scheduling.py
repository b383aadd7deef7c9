"""Tests of the distribution of tests over workers."""

import pytest

from almonddeal_tools.scheduling import scope_of


@pytest.mark.parametrize(
    ("nodeid", "scope"),
    [
        ("a/tests/test_http.py::TestTls::test_x", "http"),
        ("a/tests/test_http.py::TestLimits::test_y[1]", "http"),
        ("a/tests/test_limits.py::TestLongBodies::test_x", "connections"),
        ("a/tests/test_connections.py::TestShutdown::test_x", "connections"),
        (
            "p/test_serving.py::TestRoutes::test_x[a::b]",
            "p/test_serving.py::TestRoutes",
        ),
        ("a/test_link.py::TestLink::test_x[1]", "a/test_link.py::TestLink::test_x[1]"),
    ],
)
def test_tests_with_shared_addresses_have_one_scope(nodeid, scope):
    assert scope_of(nodeid) == scope
