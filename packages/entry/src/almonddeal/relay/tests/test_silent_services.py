"""Tests of lookups and orders at plain services that fall silent, without a network.

The pattern is sound targets that fall silent for about a second and then continue.
"""

import anyio
import pytest

from almonddeal.relay.choose import SelectionPolicy
from almonddeal.relay.plain import relay_plain
from almonddeal.relay.tests.fakes import (
    FakeResponseWriter,
    ResponseHead,
    admit_plain,
    hangs,
    loses_connection,
    make_route,
    refuses,
    responds,
    unreachable,
)
from almonddeal.relay.tests.silent_targets import DARK_S, SilentFleet
from almonddeal.routing.model import LOOKUP, ORDER
from almonddeal_common.codes import DEADLINE, OVERLOADED, AlmonddealError
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


def make_fleet_without_help(behaviour, n_others, silence=SILENCE):
    """Return a fleet whose first target is silent, and whose others behave alike."""
    others = [f"i-{number}" for number in range(2, n_others + 2)]
    fleet = make_services({"i-1": silence, **{other: [] for other in others}})
    fleet.behaviour_by_target.update(dict.fromkeys(others, behaviour))
    fleet.context.selection_policy = SelectionPolicy(plain=prefer_first)
    return fleet


def prefer_first(targets, *args):
    """Return the target that was announced first, or None."""
    return targets[0] if targets else None


class TestLookupBehindASilence:
    """A lookup is late at a silent target, and no other one completes it."""

    # Guards against a lookup that fails long before its deadline, as it left a sound
    # target for one that does not take it.
    @pytest.mark.parametrize("n_others", [1, 3])
    @pytest.mark.parametrize("max_attempts", [2, 3])
    @pytest.mark.parametrize(
        "behaviour", [refuses(), unreachable, loses_connection, hangs]
    )
    def test_silent_target_responds_at_last(self, behaviour, max_attempts, n_others):
        fleet, results, (took_s,) = relay(
            lambda: make_fleet_without_help(behaviour, n_others),
            max_attempts=max_attempts,
        )
        assert results == [200]
        assert took_s < SILENCE[0][1] + 0.1
        assert fleet.tried.count("i-1") == 1

    # Guards against an error response, the answer of a target, that is held back.
    def test_error_response_ends_it(self):
        _, results, (took_s,) = relay(
            lambda: make_fleet_without_help(responds(500), 1), max_attempts=2
        )
        assert results == [500]
        assert took_s < SILENCE[0][1]

    # Guards against a response 502 or 504, which promises nothing, where all refused.
    def test_refused_by_all(self):
        async def refuses_late(attempt):
            await anyio.sleep(SILENCE[0][1])
            yield ResponseHead(503, is_not_run=True)

        def make_fleet():
            fleet = make_fleet_without_help(refuses(), 1)
            fleet.behaviour_by_target["i-1"] = refuses_late
            return fleet

        _, results, _ = relay(make_fleet, max_attempts=2)
        assert results == [OVERLOADED]

    # Guards against an attempt that stays open after another one was answered.
    def test_late_attempt_ends_with_the_response_from_elsewhere(self):
        fleet, results, (took_s,) = relay(
            lambda: make_fleet_without_help(responds(), 1), max_attempts=2
        )
        assert results == [200]
        assert took_s < SILENCE[0][1]
        assert fleet.n_open == 0
        assert [target.n_in_flight for target in known_targets(fleet)] == [0, 0]

    # Guards against attempts that stay open after their caller left.
    @pytest.mark.parametrize("left_after_s", [0.5, 1.2])
    def test_caller_leaves(self, left_after_s):
        async def main():
            fleet = make_fleet_without_help(hangs, 1)
            route = make_route(LOOKUP, timeout_ms=TIMEOUT_MS)
            admitted = admit_plain(route, TIMEOUT_MS)
            with anyio.move_on_after(left_after_s):
                await relay_plain(admitted, fleet.context, FakeResponseWriter())
            return fleet

        fleet = run_in_virtual_time(main)
        assert fleet.n_open == 0
        assert [target.n_in_flight for target in known_targets(fleet)] == [0, 0]


def known_targets(fleet):
    """Return the targets of a fleet as its instance knows them, as a list."""
    return list(fleet.target_table.target_by_id.values())


class TestOrders:
    @pytest.mark.parametrize("targets", [["i-1"], ["i-1", "i-2"]])
    def test_order_waits_for_its_target_and_runs_once(self, targets):
        fleet, results, _ = relay(
            lambda: make_services(dict.fromkeys(targets, SILENCE)), kind=ORDER
        )
        assert results == [200]
        assert len(fleet.attempts) == 1
