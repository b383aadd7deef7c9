"""Tests of lookups and orders over targets that fail in every way."""

import pytest

from almonddeal.relay.plain import relay_plain
from almonddeal.relay.tests.fakes import (
    FakeReply,
    Fleet,
    Respond,
    admit_plain,
    answers,
    breaks,
    hangs,
    make_route,
    refuses,
    responds,
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
    """Relay one request; returns the reply."""

    async def main():
        reply = FakeReply()
        await relay_plain(admit_plain(route, timeout_ms), fleet.context, reply)
        return reply

    return run_in_virtual_time(main)


def refusal(fleet, route, timeout_ms=1000.0):
    """Relay one request that must be refused; returns the error."""
    with pytest.raises(AlmonddealError) as caught:
        relay(fleet, route, timeout_ms)
    return caught.value


class TestOrders:
    def test_answer_is_passed_on(self):
        reply = relay(Fleet({"i-1": answers()}), make_route(ORDER, max_attempts=1))
        assert (reply.status, reply.body) == (200, b"whole")

    @pytest.mark.parametrize("lost", [breaks, hangs])
    def test_order_is_never_sent_again_after_it_may_have_run(self, lost):
        fleet = Fleet({"i-1": lost, "i-2": lost, "i-3": lost})
        error = refusal(fleet, make_route(ORDER, max_attempts=3), timeout_ms=80.0)
        assert len(fleet.attempts) == 1
        assert error.code in (ORDER_OUTCOME_UNKNOWN, DEADLINE)
        assert error.retry_after_ms is None

    def test_failure_of_the_target_is_passed_on_unchanged(self):
        fleet = Fleet({"i-1": answers(500, b"bad"), "i-2": answers(500, b"bad")})
        reply = relay(fleet, make_route(ORDER, max_attempts=2))
        assert (reply.status, reply.body, len(fleet.attempts)) == (500, b"bad", 1)

    def test_order_that_was_not_run_goes_to_another_target(self):
        fleet = Fleet({"i-1": refuses(), "i-2": refuses(), "i-3": answers()})
        reply = relay(fleet, make_route(ORDER, max_attempts=3))
        assert reply.status == 200

    def test_connections_that_fail_count_as_no_send(self):
        fleet = Fleet({"i-1": unreachable, "i-2": unreachable, "i-3": answers()})
        reply = relay(fleet, make_route(ORDER, max_attempts=1))
        assert reply.status == 200

    def test_address_of_another_target_counts_as_no_send(self):
        other = responds(Respond(421, is_not_run=True, is_misdirected=True))
        fleet = Fleet({"i-1": other, "i-2": answers()})
        reply = relay(fleet, make_route(ORDER, max_attempts=1))
        assert reply.status == 200

    def test_order_refused_everywhere_may_come_back(self):
        fleet = Fleet({"i-1": refuses(), "i-2": refuses()})
        error = refusal(fleet, make_route(ORDER, max_attempts=2))
        assert error.code == OVERLOADED
        assert error.retry_after_ms > 0

    def test_unsigned_success_is_no_answer(self):
        fleet = Fleet({"i-1": responds(Respond(200, is_authentic=False))})
        error = refusal(fleet, make_route(ORDER, max_attempts=1))
        assert error.code == ORDER_OUTCOME_UNKNOWN


class TestLookups:
    def test_lost_lookup_is_sent_to_another_target(self):
        fleet = Fleet({"i-1": breaks, "i-2": answers()})
        for _ in range(5):
            assert relay(fleet, make_route(LOOKUP)).status == 200

    def test_failed_lookup_is_sent_to_another_target(self):
        fleet = Fleet({"i-1": answers(500), "i-2": answers()})
        for _ in range(5):
            assert relay(fleet, make_route(LOOKUP)).status == 200

    def test_silent_target_leaves_time_for_another(self):
        fleet = Fleet({"i-1": hangs, "i-2": answers()})
        for _ in range(4):
            reply = relay(fleet, make_route(LOOKUP, objective_ms=20.0), 300.0)
            assert reply.status == 200

    def test_most_attempts_of_the_route_are_kept(self):
        fleet = Fleet({f"i-{n}": breaks for n in range(1, 6)})
        error = refusal(fleet, make_route(LOOKUP, max_attempts=2))
        assert len(fleet.attempts) == 2
        assert error.code == SERVICE_FAILED

    def test_last_failure_of_a_target_is_passed_on(self):
        fleet = Fleet({"i-1": answers(500, b"bad"), "i-2": answers(500, b"bad")})
        reply = relay(fleet, make_route(LOOKUP))
        assert (reply.status, reply.body) == (500, b"bad")

    def test_budget_bounds_what_is_sent_again(self):
        fleet = Fleet({f"i-{n}": breaks for n in range(1, 4)})
        for _ in range(200):
            refusal(fleet, make_route(LOOKUP))
        n_again = len(fleet.attempts) - 200
        assert n_again <= 0.8 * 200 + 150 / 6

    def test_no_target_is_said_at_once(self):
        fleet = Fleet({})
        error = refusal(fleet, make_route(LOOKUP))
        assert error.code == NO_TARGET
        assert error.retry_after_ms > 0


class TestChoice:
    def test_failing_target_gets_less_and_is_tried_again(self):
        fleet = Fleet({"i-1": answers(500), "i-2": answers(), "i-3": answers()})
        for _ in range(60):
            relay(fleet, make_route(LOOKUP))
        share = fleet.tried.count("i-1") / len(fleet.attempts)
        assert 0 < share < 0.2

    def test_unreachable_target_is_set_aside(self):
        fleet = Fleet({"i-1": unreachable, "i-2": answers()})
        for _ in range(30):
            relay(fleet, make_route(LOOKUP))
        assert fleet.tried.count("i-1") <= 2

    def test_refusing_target_gets_less(self):
        fleet = Fleet({"i-1": refuses(), "i-2": answers(), "i-3": answers()})
        route = make_route(ORDER, max_attempts=1)
        n_refused = 0
        for _ in range(60):
            try:
                relay(fleet, route)
            except AlmonddealError:
                n_refused += 1
        assert n_refused <= 60 * 0.2
