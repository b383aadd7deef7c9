"""Tests of the records on the disk of a control instance."""

import anyio
import pytest

from almonddeal.announced.stream_origins import StreamOrigins
from almonddeal.publication.record_file import RecordFile
from almonddeal_common.wire.gen.ttypes import StreamOrigin

WRITE_DELAY_S = 0.02


def make_file(folder):
    return RecordFile(folder, "origins", WRITE_DELAY_S)


def store(folder, *requests):
    """Store the origins of streams, added one after the other."""

    async def main():
        origins = StreamOrigins()
        async with anyio.create_task_group() as group:
            group.start_soon(make_file(folder).store_changes, origins)
            for request in requests:
                await anyio.sleep(0.01)
                origins.add(StreamOrigin(request, "s", "v1", 0, "entry-1"))
            await anyio.sleep(0.2)
            group.cancel_scope.cancel()

    anyio.run(main)


class TestOriginsFile:
    # Guards against streams of unknown origin after all processes stopped at once.
    def test_stored_origins_are_loaded(self, tmp_path):
        store(tmp_path, "r1", "r2")
        assert [origin.request for origin in make_file(tmp_path).load()] == ["r1", "r2"]

    # Guards against a control instance that does not start with an empty disk.
    def test_new_folder_has_no_origins(self, tmp_path):
        assert make_file(tmp_path).load() == []

    # Guards against a control instance that does not start after a torn write.
    @pytest.mark.parametrize("size", [0, 3, 10, -1])
    def test_damaged_file_has_no_origins(self, tmp_path, caplog, size):
        store(tmp_path, "r1")
        path = tmp_path / "origins"
        path.write_bytes(path.read_bytes()[:size])
        assert make_file(tmp_path).load() == []
        assert "ignored the stored origins" in caplog.text
