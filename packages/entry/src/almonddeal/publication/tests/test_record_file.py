"""Tests of the records on the disk of a control instance."""

from threading import Event

import anyio
import pytest

from almonddeal.announced.stream_origins import StreamOrigins
from almonddeal.publication import record_file
from almonddeal.publication.record_file import LAST_WRITE_TIMEOUT_S, RecordFile
from almonddeal.roles.control import ORIGINS_WRITE_DELAY_S
from almonddeal_common.clock import monotonic_ms
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


def store_until_stop(folder):
    """Add an origin and stop before its write is due; return the time of the stop.

    Returns
    -------
    duration_ms : float
    """

    async def main():
        origins = StreamOrigins()
        file = RecordFile(folder, "origins", ORIGINS_WRITE_DELAY_S)
        async with anyio.create_task_group() as group:
            group.start_soon(file.store_changes, origins)
            await anyio.sleep(0.05)
            origins.add(StreamOrigin("r1", "s", "v1", 0, "entry-1"))
            await anyio.sleep(ORIGINS_WRITE_DELAY_S / 2)
            stopped_ms = monotonic_ms()
            group.cancel_scope.cancel()
        return monotonic_ms() - stopped_ms

    return anyio.run(main)


class TestStop:
    # Guards against an origin that is lost if all processes are stopped in order, as
    # its write was due within the delay.
    def test_last_records_are_stored(self, tmp_path):
        store_until_stop(tmp_path)
        stored = RecordFile(tmp_path, "origins", 0.0).load()
        assert [origin.request for origin in stored] == ["r1"]

    # Guards against a stop that waits for a disk that hangs.
    def test_stop_does_not_wait_for_a_hanging_disk(self, tmp_path, monkeypatch, caplog):
        is_released = Event()

        def hang(path, payload):
            is_released.wait(10)

        monkeypatch.setattr(record_file, "write_checksummed_file", hang)
        duration_ms = store_until_stop(tmp_path)
        is_released.set()
        assert duration_ms < 1000 * LAST_WRITE_TIMEOUT_S + 500
        assert "could not store origins in time" in caplog.text
