"""Tests of records that are on their way to the disk when a control instance stops."""

import anyio

from almonddeal.announced.stream_origins import StreamOrigins
from almonddeal.publication.record_file import RecordFile
from almonddeal.roles.control import ORIGINS_WRITE_DELAY_S
from almonddeal_common.wire.gen.ttypes import StreamOrigin


class TestStop:
    # Guards against an origin that is lost if all processes are stopped in order, as its
    # write was due within the delay.
    def test_last_records_are_stored(self, tmp_path):
        async def main():
            origins = StreamOrigins()
            file = RecordFile(tmp_path, "origins", ORIGINS_WRITE_DELAY_S)
            async with anyio.create_task_group() as group:
                group.start_soon(file.store_changes, origins)
                await anyio.sleep(0.05)
                origins.add(StreamOrigin("r1", "s", "v1", 0, "entry-1"))
                await anyio.sleep(ORIGINS_WRITE_DELAY_S / 2)
                group.cancel_scope.cancel()

        anyio.run(main)
        stored = RecordFile(tmp_path, "origins", 0.0).load()
        assert [origin.request for origin in stored] == ["r1"]
