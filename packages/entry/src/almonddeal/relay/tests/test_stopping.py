"""Tests of requests that arrive while their instance is about to exit."""

import pytest

from almonddeal.relay.gateway import LATE_STREAM_RETRY_MS, serve_request
from almonddeal.relay.tests.fakes import (
    TRAITS,
    FakeFleet,
    FakeResponseWriter,
    admit_stream,
    make_request,
    make_route,
    make_table,
    responds,
    streams,
)
from almonddeal.routing.model import LOOKUP, ORDER, STREAM
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import STOPPING
from almonddeal_common.virtual_time import run_in_virtual_time

MEAN_RUN_MS = 4000.0


def serve(route, left_ms, timeout_ms=10_000.0, late_ms=-1000.0):
    """Serve a request ``left_ms`` before its instance breaks off requests.

    The stop has been late for ``late_ms``.

    Returns
    -------
    writer : FakeResponseWriter
    tried : list of str
        Targets that received the request.
    """
    is_stream = route.kind == STREAM
    fleet = FakeFleet({"i-1": streams(1, 5) if is_stream else responds()})
    request = admit_stream().request if is_stream else make_request(timeout_ms)
    request.timeout_ms = timeout_ms
    writer = FakeResponseWriter()
    table = make_table(route, TRAITS if is_stream else None)

    async def main():
        request.arrived_ms = monotonic_ms()
        fleet.context.load_view.mean_run_ms = MEAN_RUN_MS
        fleet.context.late_from_ms = monotonic_ms() - late_ms
        fleet.context.ends_ms = monotonic_ms() + left_ms
        await serve_request(request, lambda: table, fleet.context, writer)

    run_in_virtual_time(main)
    return writer, fleet.tried


ONCE = make_route(STREAM, is_resumable=False)


class TestTimeLeft:
    # Guards against passing on requests that cannot end before the instance does and
    # may not be repeated.
    @pytest.mark.parametrize(
        ("route", "left_ms"),
        [(ONCE, MEAN_RUN_MS - 500), (ONCE, 0.0), (make_route(ORDER), 100.0)],
    )
    def test_request_that_runs_once_is_refused(self, route, left_ms):
        writer, tried = serve(route, left_ms)
        assert writer.error.code == STOPPING
        assert writer.error.retry_after_ms > 0
        assert not tried

    @pytest.mark.parametrize(
        ("route", "left_ms", "timeout_ms"),
        [
            (ONCE, MEAN_RUN_MS + 500, 10_000.0),
            (ONCE, 2500.0, 2000.0),
            (make_route(ORDER), 500.0, 10_000.0),
            (make_route(LOOKUP), 100.0, 10_000.0),
            (make_route(STREAM), 500.0, 10_000.0),
        ],
    )
    def test_request_that_can_end_or_be_repeated_is_served(
        self, route, left_ms, timeout_ms
    ):
        writer, tried = serve(route, left_ms, timeout_ms)
        assert writer.error is None
        assert writer.is_complete
        assert tried == ["i-1"]


class TestLateRequests:
    """Pattern: a request arrives late in a stop, on a connection that is still open."""

    # Guards against a stream that is passed on and cut as the instance exits, although
    # streams mostly take less time than is left.
    @pytest.mark.parametrize("route", [make_route(STREAM), ONCE])
    @pytest.mark.parametrize("left_ms", [MEAN_RUN_MS - 500, MEAN_RUN_MS + 500])
    def test_stream_that_may_be_cut_is_refused(self, route, left_ms):
        writer, tried = serve(route, left_ms, late_ms=100.0)
        assert writer.error.code == STOPPING
        # Guards against callers that return before any other instance has.
        assert writer.error.retry_after_ms == LATE_STREAM_RETRY_MS
        assert not tried

    @pytest.mark.parametrize("route", [make_route(STREAM), ONCE])
    def test_stream_that_ends_by_its_time_limit_is_served(self, route):
        writer, tried = serve(route, 2500.0, timeout_ms=2000.0, late_ms=100.0)
        assert writer.is_complete
        assert tried == ["i-1"]

    @pytest.mark.parametrize("kind", [LOOKUP, ORDER])
    def test_other_request_is_served_if_it_can_end(self, kind):
        writer, tried = serve(make_route(kind), 500.0, late_ms=100.0)
        assert writer.is_complete
        assert tried == ["i-1"]
        writer, tried = serve(make_route(kind), 100.0, late_ms=100.0)
        assert writer.error.code == STOPPING
        assert not tried
