"""Tests of streams whose engines refuse, or restart with another version, meanwhile.

Engines and versions are those of `test_software_versions`.
"""

from types import SimpleNamespace

import anyio
import pytest

from almonddeal.announced.announcement import DEREGISTERED, DRAINING
from almonddeal.relay.incarnations import check_doubtful_targets
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    hangs,
    make_event,
    make_run,
    refuses,
    streams,
)
from almonddeal.relay.tests.stream_runs import LAST, relay
from almonddeal.relay.tests.test_software_versions import (
    announce,
    is_whole_and_of,
    make_fleet,
    relay_timed,
    then_lost,
)
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.virtual_time import run_in_virtual_time


def make_fleet_without_copy(change_i_4):
    """Return a fleet with a stream that is lost, after its backup, and queries caches.

    Parameters
    ----------
    change_i_4 : callable
        ``change_i_4(fleet)`` is called while the caches are queried.
    """

    def lose_backup():
        fleet.target_table.get("i-3").announcement.state = DEREGISTERED
        fleet.target_table.get("i-1").announcement.state = DRAINING

    async def list_cached_prefixes(announcement):
        fleet.n_queries += 1
        await anyio.sleep(0.05)
        if announcement.target == "i-4" and announcement.born_ms == 1000:
            change_i_4(fleet)
        return fleet.cached_by_target.get(announcement.target, set())

    fleet = make_fleet(then_lost(7, lose_backup), i_4=streams(1, LAST))
    fleet.n_queries = 0
    fleet.context.list_cached_prefixes = list_cached_prefixes
    fleet.context.load_view.merge(make_run("more-i-4", "i-4", n_tokens=12_000))
    return fleet


class TestRestarts:
    # Guards against an answer that continues at an engine that was chosen, by cache or
    # load, before it restarted with another version.
    @pytest.mark.parametrize("cached", [set(), {"part1"}])
    def test_engine_that_restarts_during_the_query_is_left_out(self, cached):
        def restart(fleet):
            announce(fleet, "i-4", born_ms=2000, version="v2")

        fleet = make_fleet_without_copy(restart)
        fleet.cached_by_target = {"i-4": cached}
        writer = relay(fleet)
        assert fleet.n_queries
        assert writer.versions == {"v1"}
        assert not writer.is_complete
        assert fleet.tried == ["i-1"]

    # Guards against a request to an engine that drains since the caches were queried.
    @pytest.mark.parametrize("cached", [set(), {"part1"}])
    def test_engine_that_drains_during_the_query_is_left_out(self, cached):
        def drain(fleet):
            announce(fleet, "i-4", DRAINING)

        fleet = make_fleet_without_copy(drain)
        fleet.cached_by_target = {"i-4": cached}
        writer = relay(fleet)
        assert fleet.n_queries
        assert fleet.tried == ["i-1"]
        assert not writer.is_complete

    # Guards against a stream that resumes at an engine that is known to have restarted
    # with another version before it sends an event.
    def test_restart_that_is_announced_before_the_first_event(self):
        async def restarted(attempt):
            yield 200
            await anyio.sleep(0.05)
            announce(fleet, "i-3", born_ms=2000, version="v2")
            await anyio.sleep(0.05)
            for number in range((attempt.last_event_id or 0) + 1, LAST + 1):
                yield make_event(number, "v2")

        fleet = make_fleet(then_lost(7), i_3=restarted)
        assert relay(fleet).versions == {"v1"}


class TestUnverifiedEngines:
    """Pattern: the only engine left to a stream restarted, and is asked or announced.

    It is not used until then.
    """

    UNVERIFIED_MS = 300.0

    def relay_with(self, field, then=lambda fleet: None):
        """Relay a stream whose engine leaves; returns the fleet, writer and time."""

        def leave():
            announce(fleet, "i-1", DEREGISTERED)
            unverified = fleet.target_table.get("i-3")
            setattr(unverified, field, monotonic_ms() + self.UNVERIFIED_MS)
            then(fleet)

        fleet = make_fleet(then_lost(7, leave))
        return fleet, *relay_timed(fleet)

    # Guards against a stream that is cut although a sound engine of its version serves
    # a moment later.
    @pytest.mark.parametrize("field", ["unproven_until_ms", "outdated_until_ms"])
    def test_stream_waits_for_it(self, field):
        fleet, writer, took_ms = self.relay_with(field)
        assert is_whole_and_of("v1", writer)
        assert fleet.tried == ["i-1", "i-3"]
        assert self.UNVERIFIED_MS < took_ms < 2 * self.UNVERIFIED_MS

    # Guards against a wait for an engine that leaves, or has another version now.
    @pytest.mark.parametrize(
        "change", [{"state": DEREGISTERED}, {"state": DRAINING}, {"version": "v2"}]
    )
    def test_stream_ends_once_it_left(self, change):
        def then(fleet):
            announce(fleet, "i-3", **change)

        fleet, writer, took_ms = self.relay_with("outdated_until_ms", then)
        assert not writer.is_complete
        assert writer.versions == {"v1"}
        assert fleet.tried == ["i-1"]
        assert took_ms < self.UNVERIFIED_MS


def refuses_first(n_refusals, then):
    """Return a behaviour: no free slot for the first requests, then another one."""
    n_requests = 0

    async def steps(attempt):
        nonlocal n_requests
        n_requests += 1
        behaviour = refuses() if n_requests <= n_refusals else then
        async for step in behaviour(attempt):
            yield step

    return steps


class TestRefusals:
    # Guards against a stream that idles to its deadline as the few engines of its
    # version had no slot at one moment.
    @pytest.mark.parametrize("n_refusals", [1, 3])
    def test_engine_that_refused_is_asked_again(self, n_refusals):
        fleet = make_fleet(
            then_lost(7, lambda: announce(fleet, "i-1", DEREGISTERED)),
            i_3=refuses_first(n_refusals, streams(1, LAST)),
        )
        writer, took_ms = relay_timed(fleet)
        assert is_whole_and_of("v1", writer)
        assert fleet.tried == ["i-1"] + ["i-3"] * (n_refusals + 1)
        assert took_ms < 3000

    # Guards against a flood of requests to an engine that stays full.
    def test_engine_that_stays_full_is_asked_a_few_times(self):
        fleet = make_fleet(
            then_lost(7, lambda: announce(fleet, "i-1", DEREGISTERED)), i_3=refuses()
        )
        writer, took_ms = relay_timed(fleet)
        assert not writer.is_complete
        assert fleet.tried.count("i-3") <= 12
        assert took_ms > 1000


class TestFaultyChecks:
    # Guards against a fault in a question to one target that ends the instance.
    def test_fault_is_logged_and_the_next_target_is_asked(self, caplog):
        table = FakeFleet({"i-1": hangs, "i-2": hangs}).target_table
        first, second = table.target_by_id.values()
        rounds = [[first, second]]

        async def next_doubtful():
            if not rounds:
                await anyio.sleep_forever()
            return rounds.pop()

        async def responds(announcement):
            if announcement.target == "i-1":
                raise RuntimeError("a fault")
            return True

        async def main():
            first.unproven_until_ms = second.unproven_until_ms = monotonic_ms() + 5000
            targets = SimpleNamespace(next_doubtful=next_doubtful)
            context = SimpleNamespace(targets=targets, responds=responds)
            with anyio.move_on_after(1.0):
                await check_doubtful_targets(context)

        run_in_virtual_time(main)
        assert second.unproven_until_ms == 0.0
        messages = [record.getMessage() for record in caplog.records]
        assert messages.count("could not ask target i-1") == 1
