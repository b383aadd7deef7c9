"""Tests of the records of which software version began a stream."""

import anyio

from almonddeal.announced.stream_origins import (
    RETENTION_MS,
    UNKNOWN_VERSION,
    StreamOrigins,
)
from almonddeal_common.clock import wall_ms
from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_common.wire.gen.ttypes import StreamOrigin


def make_origin(request="r1", version="v1", age_ms=0.0, service="s"):
    return StreamOrigin(request, service, version, wall_ms() - int(age_ms), "entry-1")


class TestRetention:
    # Guards against records that instances send each other for ever.
    def test_origin_expires_although_it_is_received_again(self):
        origins = StreamOrigins()
        origins.add(make_origin(age_ms=RETENTION_MS + 1000))
        origins.evict_stale()
        assert not len(origins)

    # Guards against records that expire before their callers can resume.
    def test_origin_is_kept_while_its_caller_may_resume(self):
        origins = StreamOrigins()

        async def main():
            origins.add(make_origin("r1", age_ms=RETENTION_MS / 2))
            origins.add(make_origin("r2"))
            await anyio.sleep(RETENTION_MS / 1000 / 4)
            origins.evict_stale()
            assert len(origins) == 2
            await anyio.sleep(RETENTION_MS / 1000 / 2)
            origins.evict_stale()
            assert [origin.request for origin in origins.values()] == ["r2"]

        run_in_virtual_time(main)

    # Guards against records that a clock ahead of this one keeps for longer.
    def test_origin_of_the_future_expires_like_a_new_one(self):
        origins = StreamOrigins()

        async def main():
            origins.add(make_origin(age_ms=-10 * RETENTION_MS))
            await anyio.sleep(RETENTION_MS / 1000 + 1)
            origins.evict_stale()
            assert not len(origins)

        run_in_virtual_time(main)


class TestCommonVersion:
    # Guards against a version that only some streams of the service began at.
    def test_common_version_needs_all_streams_of_the_service(self):
        origins = StreamOrigins()
        assert origins.common_version("s") is None
        origins.add(make_origin("r1"))
        origins.add(make_origin("r2"))
        origins.add(make_origin("r3", "v2", service="t"))
        assert origins.common_version("s") == "v1"
        origins.add(make_origin("r4", "v2"))
        assert origins.common_version("s") is None
        origins.discard("r4")
        assert origins.common_version("s") == "v1"


class TestRetraction:
    # Guards against a retraction that a delayed copy of the record undoes.
    def test_retraction_is_final_in_any_order(self):
        first, second = StreamOrigins(), StreamOrigins()
        first.add(make_origin())
        second.add(make_origin(version=UNKNOWN_VERSION))
        assert first.add(make_origin(version=UNKNOWN_VERSION))
        assert not second.add(make_origin())
        assert not first.add(make_origin(version=UNKNOWN_VERSION))
        for origins in (first, second):
            assert origins.get("r1").version == UNKNOWN_VERSION

    # Guards against a stream that goes on by the version that it had before.
    def test_retraction_changes_the_record_that_a_stream_holds(self):
        origins = StreamOrigins()
        origin = make_origin()
        origins.add(origin)
        revision = origins.revision
        assert origins.retract("r1")
        assert origin.version == UNKNOWN_VERSION
        assert origins.changed_since(revision) == [origin]
        assert not origins.retract("r1")
        assert not origins.retract("r2")

    # Guards against a service whose other streams can't be resumed by their callers.
    def test_retracted_origin_does_not_count_for_the_common_version(self):
        origins = StreamOrigins()
        origins.add(make_origin("r1"))
        origins.add(make_origin("r2", "v2"))
        assert origins.common_version("s") is None
        origins.retract("r2")
        assert origins.common_version("s") == "v1"
        origins.discard("r2")
        assert origins.common_version("s") == "v1"
        origins.discard("r1")
        assert origins.common_version("s") is None
