"""Callers that name no stream and resume at an instance that is out of step.

While it was cut off or stood still, engines of another version joined the service, and
streams began at them.
"""

import anyio
import pytest

from almonddeal.announced import stream_origins
from almonddeal.announced.announcement import DEREGISTERED, DRAINING, READY
from almonddeal.announced.stream_origins import RETENTION_MS
from almonddeal.relay.tests.resumed_requests import (
    ONE_VERSION,
    add_origin,
    announce,
    is_not_run,
    is_rest_of,
    make_fleet,
    relay_rejected,
    relay_whole,
    resume_request,
)
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.virtual_time import run_in_virtual_time

LONG_UPTIME_S = 10.0
MAX_WAIT_MS = 500.0  # for the origin of a stream
IMMEDIATELY_MS = 50.0
CUT_S = 0.3
N_REQUESTS = 6


def unnamed(number=0):
    """Return a request that resumes a stream and does not name it."""
    return resume_request(request_id=f"second{number}", resumed=None)


def make_behind(versions=ONE_VERSION):
    """Return a fleet whose instance knows streams of v1 only."""
    fleet = make_fleet(versions)
    add_origin(fleet.context, "v1", "other")
    return fleet


async def assert_rejected(fleet):
    """Assert that a request that names no stream is rejected, not run, in time."""
    error, took_ms = await relay_rejected(fleet.context, unnamed())
    assert is_not_run(error)
    assert error.retry_after_ms
    assert fleet.attempts == []
    assert took_ms <= MAX_WAIT_MS + IMMEDIATELY_MS


class TestCutOff:
    # Guards against streams of a version that joined while the instance was cut off.
    def test_unnamed_streams_are_rejected_while_control_is_not_reached(self):
        async def main():
            fleet = make_behind()

            async def fail():
                return False

            fleet.context.catch_up = fail
            await anyio.sleep(LONG_UPTIME_S)
            for _ in range(N_REQUESTS):
                await assert_rejected(fleet)

        run_in_virtual_time(main)

    # Guards against a rejection by an instance that is in touch again in time.
    def test_unnamed_stream_goes_on_once_control_is_reached(self):
        async def main():
            fleet = make_behind()
            await anyio.sleep(LONG_UPTIME_S)
            joined_ms = monotonic_ms() + CUT_S * 1000

            async def catch_up():
                return monotonic_ms() >= joined_ms

            fleet.context.catch_up = catch_up
            assert is_rest_of("v1", await relay_whole(fleet.context, unnamed()))
            assert monotonic_ms() >= joined_ms

        run_in_virtual_time(main)


class TestBehind:
    # Guards against a stopped instance that reads a request before the updates that
    # arrived earlier.
    @pytest.mark.parametrize(
        "update",
        [
            pytest.param(lambda c: add_origin(c, "v2", "newer"), id="stream"),
            pytest.param(lambda c: announce(c, "i-1", version="v2"), id="engine"),
        ],
    )
    def test_updates_that_were_sent_before_a_request_count(self, update):
        async def main():
            fleet = make_behind()
            is_behind = True

            async def catch_up():
                nonlocal is_behind
                await anyio.sleep(0.01)
                if is_behind:
                    is_behind = False
                    update(fleet.context)
                return True

            fleet.context.catch_up = catch_up
            await anyio.sleep(LONG_UPTIME_S)
            for _ in range(N_REQUESTS):
                await assert_rejected(fleet)

        run_in_virtual_time(main)

    # Guards against streams of a new version whose origins have not arrived yet.
    @pytest.mark.parametrize("state", [READY, DRAINING])
    def test_engines_of_another_version_forbid_a_conclusion(self, state):
        async def main():
            fleet = make_behind()
            announce(fleet.context, "i-1", state, born_ms=2000, version="v2")
            await anyio.sleep(LONG_UPTIME_S)
            await assert_rejected(fleet)

        run_in_virtual_time(main)

    # Guards against streams of a version that left after it had begun them.
    def test_engines_that_left_forbid_a_conclusion_for_a_time(self):
        async def main():
            fleet = make_behind()
            announce(fleet.context, "i-1", born_ms=2000, version="v2")
            announce(fleet.context, "i-1", DEREGISTERED, born_ms=3000, version="v2")
            await anyio.sleep(RETENTION_MS / 1000 - 1)
            fleet.context.stream_origins.evict_stale()
            add_origin(fleet.context, "v1", "recent")
            await assert_rejected(fleet)
            await anyio.sleep(2)
            assert is_rest_of("v1", await relay_whole(fleet.context, unnamed()))

        run_in_virtual_time(main)

    # Guards against the version of an engine that has restarted with another one.
    def test_engine_that_changed_its_version_forbids_a_conclusion_for_a_time(self):
        async def main():
            fleet = make_behind()
            announce(fleet.context, "i-1", born_ms=2000, version="v2")
            announce(fleet.context, "i-1", born_ms=3000, version="v1")
            await anyio.sleep(LONG_UPTIME_S)
            await assert_rejected(fleet)

        run_in_virtual_time(main)

    # Guards against records of another version that were evicted for lack of room.
    def test_full_store_forbids_a_conclusion(self, monkeypatch):
        monkeypatch.setattr(stream_origins, "MAX_ORIGINS", N_REQUESTS)

        async def main():
            fleet = make_behind()
            add_origin(fleet.context, "v2", "evicted")
            for number in range(N_REQUESTS):
                add_origin(fleet.context, "v1", f"more{number}")
            await anyio.sleep(LONG_UPTIME_S)
            await assert_rejected(fleet)

        run_in_virtual_time(main)
