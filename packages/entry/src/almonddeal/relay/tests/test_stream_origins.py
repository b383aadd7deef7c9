"""Tests of the records of which software version began a stream."""

import anyio

from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeResponseWriter,
    admit_stream,
    loses_connection,
    make_event,
    streams,
)
from almonddeal.relay.tests.resumed_requests import (
    announce,
    is_rest_of,
    make_fleet,
    relay_whole,
    resume_request,
    share_origins,
)
from almonddeal.relay.tests.stream_runs import LAST
from almonddeal_common.virtual_time import run_in_virtual_time


class TestRecording:
    def begin(self, fleet, context, request_id="req1"):
        """Begin a stream and break its connection; returns its writer."""

        async def main():
            writer = FakeResponseWriter()
            with anyio.move_on_after(0.15):
                admitted = admit_stream(request_id=request_id)
                await relay_stream(admitted, context, writer)
            assert 0 < len(writer.event_ids) < LAST
            return writer

        for target in fleet.behaviour_by_target:
            fleet.behaviour_by_target[target] = streams(1, LAST, gap_s=0.02)
        return main()

    # Guards against streams that can't be resumed, as their version was not recorded.
    def test_stream_is_taken_up_at_another_instance(self):
        async def main():
            fleet = make_fleet()
            begun = await self.begin(fleet, fleet.context)
            other = fleet.add_instance("entry-2", "fd2")
            share_origins(fleet.context, other)
            (version,) = begun.versions
            last = begun.event_ids[-1]
            rest = await relay_whole(other, resume_request(last))
            assert is_rest_of(version, rest, last)

        run_in_virtual_time(main)

    # Guards against a stream that changes its version when it is resumed again.
    def test_stream_is_taken_up_twice(self):
        async def main():
            fleet = make_fleet()
            begun = await self.begin(fleet, fleet.context)
            assert begun.versions == {"v2"}
            second = fleet.add_instance("entry-2", "fd2")
            share_origins(fleet.context, second)
            part = FakeResponseWriter()
            with anyio.move_on_after(0.1):
                last = begun.event_ids[-1]
                await relay_stream(resume_request(last), second, part)
            assert part.versions == {"v2"}
            third = fleet.add_instance("entry-3", "fd3")
            share_origins(second, third)
            last = part.event_ids[-1]
            rest = await relay_whole(third, resume_request(last, "req3"))
            assert is_rest_of("v2", rest, last)

        run_in_virtual_time(main)

    # Guards against an event that arrives before its version is known elsewhere.
    def test_origin_is_added_before_the_first_event_is_sent(self):
        class Writer(FakeResponseWriter):
            async def send(self, data):
                assert fleet.context.stream_origins.get("req1").version == "v2"
                await super().send(data)

        fleet = make_fleet()

        async def main():
            writer = Writer()
            await relay_stream(admit_stream(), fleet.context, writer)
            assert writer.versions == {"v2"}

        run_in_virtual_time(main)

    # Guards against the version of an engine that was lost before the first event.
    def test_origin_is_the_version_that_sent_the_first_event(self):
        async def main():
            fleet = make_fleet(i_1=loses_connection)
            writer = await relay_whole(fleet.context, admit_stream())
            assert writer.versions == {"v1"}
            (origin,) = fleet.context.stream_origins.values()
            assert origin.version == "v1"
            assert (origin.request, origin.service_name) == ("req1", "s")

        run_in_virtual_time(main)

    # Guards against the version of an engine that restarts before its first event: the
    # event may come from either version, so the stream begins elsewhere.
    def test_origin_is_not_the_version_of_an_engine_that_restarted(self):
        async def restarts(attempt):
            yield 200
            announce(fleet.context, "i-1", born_ms=2000, version="v3")
            yield make_event(1, "v2")
            await anyio.sleep(3600)

        fleet = make_fleet(i_1=restarts)

        async def main():
            writer = await relay_whole(fleet.context, admit_stream())
            assert writer.is_complete
            assert writer.versions == {"v1"}
            assert fleet.context.stream_origins.get("req1").version == "v1"

        run_in_virtual_time(main)
