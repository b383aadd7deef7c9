"""Tests of requests that arrive while their instance is about to exit."""

import pytest

from almonddeal.relay.gateway import serve_request
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


def serve(route, left_ms, timeout_ms=10_000.0, accepts_ms=1000.0):
    """Serve a request ``left_ms`` before its instance breaks off requests.

    The instance stops accepting connections after ``accepts_ms``.

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
        fleet.context.accepts_until_ms = monotonic_ms() + accepts_ms
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

    # Guards against a stream that arrives on a kept connection late in a drain, is
    # passed on, and is cut as the instance exits.
    @pytest.mark.parametrize(
        ("route", "left_ms"),
        [
            (make_route(STREAM), MEAN_RUN_MS - 500),
            (make_route(LOOKUP), 100.0),
            (make_route(ORDER), 100.0),
        ],
    )
    def test_late_request_that_cannot_end_is_refused(self, route, left_ms):
        writer, tried = serve(route, left_ms, accepts_ms=-100.0)
        assert writer.error.code == STOPPING
        assert writer.error.retry_after_ms > 0
        assert not tried

    @pytest.mark.parametrize(
        ("route", "left_ms"),
        [(make_route(STREAM), MEAN_RUN_MS + 500), (make_route(LOOKUP), 500.0)],
    )
    def test_late_request_that_can_end_is_served(self, route, left_ms):
        writer, tried = serve(route, left_ms, accepts_ms=-100.0)
        assert writer.is_complete
        assert tried == ["i-1"]
