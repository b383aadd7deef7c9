"""Tests of engines whose cache size the configuration does not name."""

from almonddeal.relay.gateway import serve_request
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    fill_engine,
    make_request,
    make_route,
    make_table,
    streams,
)
from almonddeal.routing.model import STREAM, EngineTraits
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import OVERLOADED
from almonddeal_common.virtual_time import run_in_virtual_time

UNKNOWN_SIZE = EngineTraits(64, 0, False, 6, 4000.0)
N_SLOTS = 64


def serve(n_runs):
    """Serve a stream that names no tokens, beside runs of other streams."""
    fleet = FakeFleet({"i-1": streams(1, 5)})
    writer = FakeResponseWriter()
    request = make_request(10_000.0)
    table = make_table(make_route(STREAM), UNKNOWN_SIZE)

    async def main():
        request.arrived_ms = monotonic_ms()
        fill_engine(fleet.context.load_view, "i-1", n_runs)
        await serve_request(request, lambda: table, fleet.context, writer)

    run_in_virtual_time(main)
    return writer


class TestUnknownCacheSize:
    # Guards against a division by the size 0, which ended each stream with a 500.
    def test_stream_without_token_counts_is_served(self):
        writer = serve(0)
        assert writer.is_complete
        assert writer.event_ids == [1, 2, 3, 4, 5]

    def test_stream_is_refused_while_all_slots_are_taken(self):
        writer = serve(N_SLOTS)
        assert writer.error.code == OVERLOADED
        assert writer.error.retry_after_ms > 0
