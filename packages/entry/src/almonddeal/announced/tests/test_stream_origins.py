"""Tests of the records of which software version began a stream."""

import anyio

from almonddeal.announced.stream_origins import RETENTION_MS, StreamOrigins
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
