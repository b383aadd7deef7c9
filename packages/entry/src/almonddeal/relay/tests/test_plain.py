"""Tests of lookups and orders with targets that fail, hang or refuse."""

import logging

import pytest

from almonddeal.relay.gateway import serve_request
from almonddeal.relay.plain import relay_plain
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    ResponseHead,
    admit_plain,
    hangs,
    loses_connection,
    make_request,
    make_route,
    make_table,
    refuses,
    responds,
    responds_with_head,
    unreachable,
)
from almonddeal.routing.model import LOOKUP, ORDER
from almonddeal_common.codes import (
    DEADLINE,
    NO_TARGET,
    ORDER_OUTCOME_UNKNOWN,
    OVERLOADED,
    SERVICE_FAILED,
    AlmonddealError,
)
from almonddeal_common.virtual_time import run_in_virtual_time


def relay(fleet, route, timeout_ms=1000.0):
    """Relay one request; returns the writer of its response."""

    async def main():
        writer = FakeResponseWriter()
        await relay_plain(admit_plain(route, timeout_ms), fleet.context, writer)
        return writer

    return run_in_virtual_time(main)


def rejection(fleet, route, timeout_ms=1000.0):
    """Relay one request that must be rejected; returns the error."""
    with pytest.raises(AlmonddealError) as caught:
        relay(fleet, route, timeout_ms)
    return caught.value


class TestOrders:
    def test_response_is_forwarded(self):
        writer = relay(
            FakeFleet({"i-1": responds()}), make_route(ORDER, max_attempts=1)
        )
        assert (writer.status, writer.body) == (200, b"whole")

    @pytest.mark.parametrize("lost", [loses_connection, hangs])
    def test_order_is_never_retried_after_it_may_have_run(self, lost):
        fleet = FakeFleet({"i-1": lost, "i-2": lost, "i-3": lost})
        error = rejection(fleet, make_route(ORDER, max_attempts=3), timeout_ms=80.0)
        assert len(fleet.attempts) == 1
        assert error.code in (ORDER_OUTCOME_UNKNOWN, DEADLINE)
        assert error.retry_after_ms is None

    def test_error_response_to_an_order_is_forwarded_unchanged(self):
        fleet = FakeFleet({"i-1": responds(500, b"bad"), "i-2": responds(500, b"bad")})
        writer = relay(fleet, make_route(ORDER, max_attempts=2))
        assert (writer.status, writer.body, len(fleet.attempts)) == (500, b"bad", 1)

    def test_order_that_was_not_executed_is_retried(self):
        fleet = FakeFleet({"i-1": refuses(), "i-2": refuses(), "i-3": responds()})
        writer = relay(fleet, make_route(ORDER, max_attempts=3))
        assert writer.status == 200

    def test_failed_connections_do_not_count_as_attempts(self):
        fleet = FakeFleet({"i-1": unreachable, "i-2": unreachable, "i-3": responds()})
        writer = relay(fleet, make_route(ORDER, max_attempts=1))
        assert writer.status == 200

    def test_misdirected_request_does_not_count_as_an_attempt(self):
        other = responds_with_head(
            ResponseHead(421, is_not_run=True, is_misdirected=True)
        )
        fleet = FakeFleet({"i-1": other, "i-2": responds()})
        writer = relay(fleet, make_route(ORDER, max_attempts=1))
        assert writer.status == 200

    def test_order_refused_by_all_targets_has_a_retry_after(self):
        fleet = FakeFleet({"i-1": refuses(), "i-2": refuses()})
        error = rejection(fleet, make_route(ORDER, max_attempts=2))
        assert error.code == OVERLOADED
        assert error.retry_after_ms > 0

    def test_unsigned_success_has_an_unknown_outcome(self):
        fleet = FakeFleet(
            {"i-1": responds_with_head(ResponseHead(200, is_authentic=False))}
        )
        error = rejection(fleet, make_route(ORDER, max_attempts=1))
        assert error.code == ORDER_OUTCOME_UNKNOWN


class TestLookups:
    def test_lookup_is_retried_after_a_connection_loss(self):
        fleet = FakeFleet({"i-1": loses_connection, "i-2": responds()})
        for _ in range(5):
            assert relay(fleet, make_route(LOOKUP)).status == 200

    def test_lookup_is_retried_after_an_error_response(self):
        fleet = FakeFleet({"i-1": responds(500), "i-2": responds()})
        for _ in range(5):
            assert relay(fleet, make_route(LOOKUP)).status == 200

    def test_hanging_target_leaves_time_for_a_retry(self):
        fleet = FakeFleet({"i-1": hangs, "i-2": responds()})
        for _ in range(4):
            writer = relay(fleet, make_route(LOOKUP, objective_ms=20.0), 300.0)
            assert writer.status == 200

    def test_max_attempts_of_the_route_hold(self):
        fleet = FakeFleet({f"i-{n}": loses_connection for n in range(1, 6)})
        error = rejection(fleet, make_route(LOOKUP, max_attempts=2))
        assert len(fleet.attempts) == 2
        assert error.code == SERVICE_FAILED

    def test_lookup_that_may_have_run_is_not_reported_as_not_run(self):
        """Guards against 'not run' after a lost target, as the next one refuses."""
        for behaviour in (refuses(), unreachable):
            fleet = FakeFleet({"i-1": loses_connection, "i-2": behaviour})
            for _ in range(5):
                error = rejection(fleet, make_route(LOOKUP, max_attempts=3))
                assert fleet.tried.count("i-1")
                assert error.code == SERVICE_FAILED
                assert error.was_run != "no"

    def test_last_error_response_is_forwarded(self):
        fleet = FakeFleet({"i-1": responds(500, b"bad"), "i-2": responds(500, b"bad")})
        writer = relay(fleet, make_route(LOOKUP))
        assert (writer.status, writer.body) == (500, b"bad")

    def test_retry_budget_bounds_retries(self):
        fleet = FakeFleet({f"i-{n}": loses_connection for n in range(1, 4)})
        for _ in range(200):
            rejection(fleet, make_route(LOOKUP))
        n_retries = len(fleet.attempts) - 200
        assert n_retries <= 0.8 * 200 + 150 / 6

    def test_lookup_without_targets_is_rejected_with_a_retry_after(self):
        fleet = FakeFleet({})
        error = rejection(fleet, make_route(LOOKUP))
        assert error.code == NO_TARGET
        assert error.retry_after_ms > 0


class TestChoice:
    def test_failing_target_receives_less_traffic_but_not_none(self):
        fleet = FakeFleet({"i-1": responds(500), "i-2": responds(), "i-3": responds()})
        for _ in range(60):
            relay(fleet, make_route(LOOKUP))
        share = fleet.tried.count("i-1") / len(fleet.attempts)
        assert 0 < share < 0.2

    def test_unreachable_target_is_ejected(self):
        fleet = FakeFleet({"i-1": unreachable, "i-2": responds()})
        for _ in range(30):
            relay(fleet, make_route(LOOKUP))
        assert fleet.tried.count("i-1") <= 2

    def test_refusing_target_receives_less_traffic(self):
        fleet = FakeFleet({"i-1": refuses(), "i-2": responds(), "i-3": responds()})
        route = make_route(ORDER, max_attempts=1)
        n_refused = 0
        for _ in range(60):
            try:
                relay(fleet, route)
            except AlmonddealError:
                n_refused += 1
        assert n_refused <= 60 * 0.2


class TestFailureRecords:
    # Guards against failures long before the deadline that look like those at it.
    @pytest.mark.parametrize(
        ("behaviour", "is_due"), [(hangs, True), (loses_connection, False)]
    )
    def test_time_left_is_logged(self, behaviour, is_due, caplog):
        caplog.set_level(logging.INFO)
        table = make_table(make_route(ORDER, max_attempts=1))

        async def main():
            fleet = FakeFleet({"i-1": behaviour})
            await serve_request(
                make_request(), lambda: table, fleet.context, FakeResponseWriter()
            )

        run_in_virtual_time(main)
        (facts,) = [r.facts for r in caplog.records if r.msg == "request failed"]
        assert (facts["left_ms"] <= 0) == is_due
