"""Tests of streams of engines that send bytes which are no events, without a pause."""

import anyio
import pytest
from anyio.lowlevel import checkpoint

from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    admit_stream,
    make_event,
    streams,
)
from almonddeal.relay.tests.stream_runs import (
    LAST,
    TWO_DOMAINS,
    is_complete_response,
    relay,
)

READ_BYTES = 64 * 1024
N_READS = 16
N_TURNS_PER_READ = 32  # of the event loop, for the requests of others
SHAPES = [
    pytest.param(b"x\n\n", id="lines without a field"),
    pytest.param(b"\n\n", id="empty lines"),
    pytest.param(b": ping\n\n", id="comments"),
    pytest.param(b"data\r\n\r\n", id="fields without a value"),
]


def sends_garbage(shape, n_events=0):
    """Return a behaviour: some events, then long reads of garbage that are all there.

    It ends with the connection after `N_READS`.
    """

    async def steps(attempt):
        yield 200
        for number in range(1, n_events + 1):
            yield make_event(number)
        for _ in range(N_READS):
            yield shape * (READ_BYTES // len(shape))

    return steps


class TestGarbageWithoutPause:
    """Pattern: an engine floods its instance with short lines that are no events."""

    # Guards against an instance that answers nobody while it reads the lines.
    @pytest.mark.parametrize("shape", SHAPES)
    def test_other_tasks_run_meanwhile(self, shape):
        async def main():
            fleet = FakeFleet({"i-1": sends_garbage(shape)})
            n_turns = 0

            async def count():
                nonlocal n_turns
                while True:
                    await checkpoint()
                    n_turns += 1

            async with anyio.create_task_group() as group:
                group.start_soon(count)
                await relay_stream(admit_stream(), fleet.context, FakeResponseWriter())
                group.cancel_scope.cancel()
            return n_turns

        assert anyio.run(main) >= N_READS * N_TURNS_PER_READ

    # Guards against memory that grows with events that are held until a sound id.
    def test_stream_goes_on_elsewhere_after_lines_without_a_field(self):
        engines = {"i-1": sends_garbage(b"x\n\n", 7), "i-2": streams(1, LAST)}
        writer = relay(FakeFleet(engines, TWO_DOMAINS))
        assert is_complete_response(writer)
        assert b"x\n\n" not in writer.body
