"""Tests of lookups and orders at plain services that fall silent, without a network.

The pattern is sound targets that fall silent for about a second and then continue.
"""

import anyio
import pytest

from almonddeal.relay.plain import relay_plain
from almonddeal.relay.tests.fakes import (
    FakeResponseWriter,
    admit_plain,
    make_route,
)
from almonddeal.relay.tests.silent_targets import DARK_S, SilentFleet
from almonddeal.routing.model import LOOKUP, ORDER
from almonddeal_common.codes import DEADLINE, AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time

TIMEOUT_MS = 2500.0
SILENCE = [(0.0, 1.4)]


def relay(make_fleet, n_requests=1, kind=LOOKUP, max_attempts=3):
    """Relay requests at the same time; returns the fleet, statuses and durations."""

    async def main():
        fleet = make_fleet()
        route = make_route(kind, max_attempts=max_attempts, timeout_ms=TIMEOUT_MS)
        started_s = anyio.current_time()
        ends = []

        async def send():
            writer = FakeResponseWriter()
            try:
                await relay_plain(admit_plain(route, TIMEOUT_MS), fleet.context, writer)
                result = writer.status
            except AlmonddealError as error:
                result = error.code
            ends.append((result, anyio.current_time() - started_s))

        async with anyio.create_task_group() as group:
            for _ in range(n_requests):
                group.start_soon(send)
        return fleet, [result for result, _ in ends], [took_s for _, took_s in ends]

    return run_in_virtual_time(main)


def make_services(pauses_by_target):
    """Return targets that respond at once, but for their pauses."""
    return SilentFleet(pauses_by_target, n_events=1)


def without_retries(fleet):
    """Exhaust the retry budget."""
    fleet.context.take_retry = lambda service_name: False
    return fleet


class TestLookupWithoutAnotherTarget:
    """Guards against lookups that fail though their target is only silent."""

    def test_only_target(self):
        fleet, results, _ = relay(lambda: make_services({"i-1": SILENCE}))
        assert results == [200]
        assert fleet.tried == ["i-1"]

    def test_all_targets_silent(self):
        fleet, results, _ = relay(
            lambda: make_services({"i-1": SILENCE, "i-2": SILENCE}), n_requests=10
        )
        assert results == [200] * 10

    def test_retry_budget_exhausted(self):
        fleet, results, _ = relay(
            lambda: without_retries(make_services({"i-1": SILENCE, "i-2": SILENCE})),
            n_requests=5,
        )
        assert results == [200] * 5
        assert len(fleet.attempts) == 5

    def test_other_target_ejected(self):
        def make_fleet():
            fleet = make_services({"i-1": SILENCE, "i-2": [(0.0, DARK_S)]})
            fleet.target_table.get("i-2").ejected_until_ms = float("inf")
            return fleet

        fleet, results, _ = relay(make_fleet)
        assert results == [200]
        assert fleet.tried == ["i-1"]

    def test_target_that_stays_silent_ends_at_the_deadline(self):
        _, results, (took_s,) = relay(lambda: make_services({"i-1": [(0.0, DARK_S)]}))
        assert results == [DEADLINE]
        assert took_s == pytest.approx(TIMEOUT_MS / 1000, abs=0.05)


class TestLookupWithAnotherTarget:
    def test_lookup_is_sent_elsewhere_in_time(self):
        for _ in range(5):
            _, results, (took_s,) = relay(
                lambda: make_services({"i-1": [(0.0, DARK_S)], "i-2": []})
            )
            assert results == [200]
            assert took_s < 0.45 * TIMEOUT_MS / 1000

    def test_lookup_is_sent_elsewhere_once_there_is_a_target(self):
        def make_fleet():
            fleet = make_services({"i-1": [(0.0, DARK_S)], "i-2": []})
            now_ms = anyio.current_time() * 1000
            fleet.target_table.get("i-2").ejected_until_ms = now_ms + 1500.0
            return fleet

        fleet, results, (took_s,) = relay(make_fleet)
        assert results == [200]
        assert fleet.tried == ["i-1", "i-2"]
        assert took_s == pytest.approx(1.55, abs=0.1)

    def test_each_lookup_that_is_sent_on_takes_one_retry(self):
        n_taken = 0

        def make_fleet():
            fleet = make_services({"i-1": [(0.0, DARK_S)], "i-2": []})

            def take_retry(service_name):
                nonlocal n_taken
                n_taken += 1
                return True

            fleet.context.take_retry = take_retry
            return fleet

        fleet, results, _ = relay(make_fleet, n_requests=6)
        assert results == [200] * 6
        assert n_taken == len(fleet.attempts) - 6


class TestOrders:
    @pytest.mark.parametrize("targets", [["i-1"], ["i-1", "i-2"]])
    def test_order_waits_for_its_target_and_runs_once(self, targets):
        fleet, results, _ = relay(
            lambda: make_services(dict.fromkeys(targets, SILENCE)), kind=ORDER
        )
        assert results == [200]
        assert len(fleet.attempts) == 1
