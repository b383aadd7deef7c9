"""Tests of probes and queries of engines that hold off, in virtual time."""

import anyio
import pytest

from almonddeal.relay.stall import first_event_timeout_ms
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    admit_stream,
    make_event,
    make_run,
    streams,
)
from almonddeal.relay.tests.resumed_requests import (
    ONE_VERSION,
    add_origin,
    is_rest_of,
    relay_whole,
    resume_request,
)
from almonddeal.relay.tests.resumed_requests import make_fleet as make_whole_fleet
from almonddeal.relay.tests.stream_runs import (
    LAST,
    TWO_DOMAINS,
    is_complete_response,
    relay,
)
from almonddeal.relay.tests.test_paused_engines import pause
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.virtual_time import run_in_virtual_time

PAUSE_MS = 5000.0
MAX_LOST_MS = 1500.0  # from the loss of an engine to the next event of a stream


def make_fleet(behaviour):
    """Return a fleet in which a stream begins at i-1."""
    fleet = FakeFleet({"i-1": behaviour, "i-2": streams(1, LAST)}, TWO_DOMAINS)
    fleet.context.load_view.merge(make_run("other-i-2", "i-2"))
    return fleet


def pauses_then(act, silence_s, pause_ms=PAUSE_MS):
    """Return a behaviour: a stream whose engine asks for a pause, and is silent.

    Parameters
    ----------
    act : callable
        ``act()`` is called as the silence begins.
    silence_s : float
    pause_ms : float
    """

    async def steps(attempt):
        yield 200
        for number in range(1, LAST + 1):
            await anyio.sleep(0.002)
            yield make_event(number)
            if number == 7:
                act()
                await anyio.sleep(silence_s)

    return steps


class TestProbes:
    # Guards against probes, without a bound on their number, in a pause.
    def test_engine_that_holds_off_is_not_probed(self):
        fleet = make_fleet(pauses_then(lambda: pause(fleet, "i-1", PAUSE_MS), 0.5))
        assert is_complete_response(relay(fleet))
        assert fleet.tried == ["i-1"]
        assert fleet.n_probes == 0

    # Guards against an engine that is not probed any more after its pause.
    def test_engine_is_probed_again_after_the_end(self):
        fleet = make_fleet(pauses_then(lambda: pause(fleet, "i-1", 200.0), 0.5))
        assert is_complete_response(relay(fleet))
        assert fleet.tried == ["i-1"]
        assert fleet.n_probes > 0

    # Guards against a stream that is not moved from an engine that is lost in a pause;
    # one that is frozen accepts connections.
    @pytest.mark.parametrize("is_frozen", [False, True])
    def test_loss_of_an_engine_that_holds_off_is_found(self, is_frozen):
        def lose():
            pause(fleet, "i-1", PAUSE_MS)
            if not is_frozen:
                fleet.alive.discard("i-1")

        fleet = make_fleet(pauses_then(lose, 3600.0))
        started_ms = monotonic_ms()

        async def main():
            writer = await relay_whole(fleet.context, admit_stream())
            return writer, monotonic_ms() - started_ms

        writer, took_ms = run_in_virtual_time(main)
        assert is_complete_response(writer)
        assert fleet.tried == ["i-1", "i-2"]
        assert fleet.n_probes == 0
        assert took_ms < MAX_LOST_MS

    # Guards against a wait for the first event until the deadline at a frozen engine.
    def test_engine_that_freezes_before_its_first_event_is_left(self):
        async def freezes(attempt):
            pause(fleet, "i-1", 3 * PAUSE_MS)
            await anyio.sleep(3600.0)
            yield 200

        fleet = make_fleet(freezes)
        limit_ms = first_event_timeout_ms(
            1000, 1000, fleet.context.load_view.typical_prefill_ms_per_token, 4500.0
        )

        async def main():
            started_ms = monotonic_ms()
            writer = await relay_whole(fleet.context, admit_stream())
            return writer, monotonic_ms() - started_ms

        writer, took_ms = run_in_virtual_time(main)
        assert is_complete_response(writer)
        assert took_ms < limit_ms + 200.0
        assert fleet.n_probes == 0


class TestStartTimes:
    def fleet(self, pause_ms):
        """Return a fleet whose i-1 asks for a pause as it begins to respond."""

        async def begins(attempt):
            yield 200
            pause(fleet, "i-1", pause_ms)
            for number in range((attempt.last_event_id or 0) + 1, LAST + 1):
                await anyio.sleep(0.002)
                yield make_event(number)

        fleet = make_whole_fleet(ONE_VERSION, i_1=begins)
        add_origin(fleet.context)
        return fleet

    # Guards against queries in a pause, and a resumed stream that leaves its engine
    # though the pause ends soon.
    def test_engine_is_asked_after_a_short_pause(self):
        fleet = self.fleet(800.0)
        queried_ms = []
        read_start_ms = fleet.context.read_start_ms

        async def read(announcement):
            queried_ms.append(monotonic_ms())
            return await read_start_ms(announcement)

        async def main():
            fleet.context.read_start_ms = read
            started_ms = monotonic_ms()
            writer = await relay_whole(fleet.context, resume_request())
            assert is_rest_of("v1", writer)
            assert [ms - started_ms >= 800.0 for ms in queried_ms] == [True]

        run_in_virtual_time(main)
        assert fleet.tried == ["i-1"]

    # Guards against a resumed stream that waits in vain to ask its engine.
    def test_resumed_stream_leaves_an_engine_with_a_long_pause(self):
        fleet = self.fleet(PAUSE_MS)

        async def main():
            started_ms = monotonic_ms()
            writer = await relay_whole(fleet.context, resume_request())
            assert is_rest_of("v1", writer)
            assert monotonic_ms() - started_ms < 500.0

        run_in_virtual_time(main)
        assert fleet.tried[0] == "i-1"
        assert "i-1" not in fleet.start_queries

    # Guards against a new stream that is lost though control is heard soon.
    def test_new_stream_begins_once_control_is_heard(self):
        fleet = self.fleet(PAUSE_MS)

        async def main():
            heard_ms = monotonic_ms() + 400.0
            fleet.context.is_current = lambda: monotonic_ms() >= heard_ms
            writer = await relay_whole(fleet.context, admit_stream())
            assert is_complete_response(writer)
            assert monotonic_ms() >= heard_ms

        run_in_virtual_time(main)
        assert fleet.tried == ["i-1"]
        assert fleet.start_queries == []

    # Guards against a new stream whose version is not sure, at an instance without
    # control.
    def test_new_stream_leaves_the_engine_if_control_is_not_heard(self):
        fleet = self.fleet(PAUSE_MS)

        async def main():
            fleet.context.is_current = lambda: False
            writer = await relay_whole(fleet.context, admit_stream())
            assert is_complete_response(writer)

        run_in_virtual_time(main)
        assert fleet.tried[0] == "i-1"
        assert len(fleet.tried) == 2
        assert "i-1" not in fleet.start_queries
