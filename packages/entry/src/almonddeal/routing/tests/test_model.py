"""Tests of the routing table: what it refuses, and which route a request takes."""

import pytest

from almonddeal.routing.model import (
    LOOKUP,
    ORDER,
    STREAM,
    Customer,
    RequestLimits,
    Route,
    RoutingTable,
    Service,
)
from almonddeal_common.codes import DOCUMENT_INVALID, AlmonddealError

LIMITS = RequestLimits(16384, 4194304, 3000.0, 15000.0)


def route(name="r", host="h", prefix="/a/", **changes):
    values = {
        "name": name,
        "host": host,
        "prefix": prefix,
        "kind": LOOKUP,
        "timeout_ms": 1000.0,
        "objective_ms": 150.0,
        "priority": 1,
        "weight_by_service": {"s": 1.0},
        "max_attempts": 2,
        "is_public": False,
        "is_resumable": False,
        "max_gap_ms": 700.0,
    }
    return Route(**{**values, **changes})


def table(routes, customers=None):
    services = [Service("s", None), Service("t", None)]
    return RoutingTable(1, routes, services, customers, LIMITS)


class TestRoutingTable:
    def test_longest_prefix_of_the_host_wins(self):
        found = table(
            [route("short", prefix="/a/"), route("long", prefix="/a/b/")]
        ).find_route("h", "/a/b/c")
        assert found.name == "long"

    def test_prefix_ends_at_a_slash(self):
        assert table([route()]).find_route("h", "/ab") is None

    def test_other_host_has_other_routes(self):
        assert table([route()]).find_route("other", "/a/b") is None

    @pytest.mark.parametrize(
        "routes",
        [
            [route(weight_by_service={"unknown": 1.0})],
            [route("x"), route("y")],
            [route(weight_by_service={"s": 0.0, "t": 0.0})],
            [route(weight_by_service={"s": 2.0, "t": -1.0})],
            [route(timeout_ms=0.0)],
            [route(prefix="/a")],
            [route(prefix="a/")],
            [route(kind="other")],
        ],
    )
    def test_invalid_routes_are_refused(self, routes):
        with pytest.raises(AlmonddealError) as caught:
            table(routes)
        assert caught.value.code == DOCUMENT_INVALID

    def test_key_of_two_customers_is_refused(self):
        customers = [Customer("x", ["k"], None), Customer("y", ["k"], None)]
        with pytest.raises(AlmonddealError):
            table([route()], customers)

    def test_key_that_one_customer_has_twice_is_allowed(self):
        assert table([route()], [Customer("x", ["k", "k"], None)]).needs_keys


class TestRoute:
    def test_split_follows_the_weights(self):
        split = route(weight_by_service={"s": 90.0, "t": 10.0})
        picked = [split.pick_service(n / 1000) for n in range(1000)]
        assert 85 <= picked.count("t") <= 115

    def test_service_without_weight_gets_nothing(self):
        split = route(weight_by_service={"s": 0.0, "t": 5.0})
        assert {split.pick_service(n / 100) for n in range(101)} == {"t"}

    def test_only_lookups_and_resumable_streams_may_repeat(self):
        assert route(kind=LOOKUP).may_repeat
        assert not route(kind=ORDER).may_repeat
        assert not route(kind=STREAM).may_repeat
        assert route(kind=STREAM, is_resumable=True).may_repeat
