"""Tests of the files of the replicated log."""

import errno
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almonddeal.control import storage
from almonddeal.control.storage import LogStore
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.wire.gen.ttypes import LogEntry, Snapshot


class ProcessEnded(Exception):
    """Raised in place of the end of the process."""


def end_process(reason):
    raise ProcessEnded(reason)


def entries(first, n_entries, term=1):
    return [LogEntry(term, first + n, 1, b"x" * (n + 1)) for n in range(n_entries)]


def stored_indices(folder):
    with LogStore(folder, end_process) as store:
        return [entry.index for entry in store.entries]


class TestLogStore:
    def test_entries_and_meta_are_durable(self, tmp_path):
        with LogStore(tmp_path, end_process) as store:
            store.append(entries(1, 3))
            store.append(entries(4, 2))
            store.save_meta(7, "entry1")
        with LogStore(tmp_path, end_process) as store:
            assert [e.index for e in store.entries] == [1, 2, 3, 4, 5]
            assert (store.meta.term, store.meta.voted_for) == (7, "entry1")

    def test_truncated_entries_are_removed(self, tmp_path):
        with LogStore(tmp_path, end_process) as store:
            store.append(entries(1, 5))
            store.truncate_from(3)
            store.append(entries(3, 1, term=2))
        assert stored_indices(tmp_path) == [1, 2, 3]

    def test_snapshot_replaces_entries(self, tmp_path):
        with LogStore(tmp_path, end_process) as store:
            store.append(entries(1, 5))
            store.save_snapshot(Snapshot(1, 4, 1, b"state"), entries(5, 1))
        with LogStore(tmp_path, end_process) as store:
            assert store.snapshot.index == 4
            assert [e.index for e in store.entries] == [5]

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(n_cut_bytes=st.integers(0, 400), garbage=st.binary(max_size=30))
    def test_torn_write_at_the_end_is_removed(
        self, tmp_path_factory, n_cut_bytes, garbage
    ):
        folder = tmp_path_factory.mktemp("log")
        with LogStore(folder, end_process) as store:
            store.append(entries(1, 3))
            n_synced_bytes = store._n_synced_bytes
            store.append(entries(4, 3))
        path = folder / "log"
        data = path.read_bytes()
        end = max(n_synced_bytes, len(data) - n_cut_bytes)
        path.write_bytes(data[:end] + garbage)
        found = stored_indices(folder)
        assert found[:3] == [1, 2, 3]
        assert found == list(range(1, len(found) + 1))

    def test_damage_before_synced_records_is_reported(self, tmp_path):
        with LogStore(tmp_path, end_process) as store:
            store.append(entries(1, 3))
            store.append(entries(4, 3))
        path = Path(tmp_path) / "log"
        data = bytearray(path.read_bytes())
        data[40] ^= 0xFF
        path.write_bytes(data)
        with (
            pytest.raises(AlmonddealError, match="DATA_DAMAGED"),
            LogStore(tmp_path, end_process),
        ):
            pass

    def test_append_to_a_full_disk_fails_and_keeps_the_log(self, tmp_path):
        with LogStore(tmp_path, end_process) as store:
            store.append(entries(1, 3))
            real = store._file

            class FullFile:
                def __getattr__(self, name):
                    return getattr(real, name)

                def flush(self):
                    raise OSError(errno.ENOSPC, "no space")

            store._file = FullFile()
            with pytest.raises(AlmonddealError, match="STORAGE_FULL"):
                store.append(entries(4, 2))
            store.append(entries(4, 1))
        assert stored_indices(tmp_path) == [1, 2, 3, 4]

    def test_failed_sync_ends_the_process(self, tmp_path, monkeypatch):
        with LogStore(tmp_path, end_process) as store:

            def fail(descriptor):
                raise OSError(errno.EIO, "bad disk")

            monkeypatch.setattr("os.fsync", fail)
            with pytest.raises(ProcessEnded):
                store.append(entries(1, 1))

    def test_damaged_meta_is_reported(self, tmp_path):
        with LogStore(tmp_path, end_process) as store:
            store.save_meta(3, "entry0")
        path = Path(tmp_path) / "meta"
        path.write_bytes(path.read_bytes()[:-1] + b"?")
        with (
            pytest.raises(AlmonddealError, match="DATA_DAMAGED"),
            LogStore(tmp_path, end_process),
        ):
            pass

    def test_full_disk_keeps_term_and_vote(self, tmp_path, monkeypatch):
        with LogStore(tmp_path, end_process) as store:
            store.save_meta(3, "x")
            monkeypatch.setattr(storage, "write_checksummed_file", raise_disk_full)
            with pytest.raises(AlmonddealError, match="STORAGE_FULL"):
                store.save_meta(4, "y")
            assert (store.meta.term, store.meta.voted_for) == (3, "x")

    def test_failed_snapshot_on_a_full_disk_keeps_the_log(self, tmp_path, monkeypatch):
        with LogStore(tmp_path, end_process) as store:
            store.append(entries(1, 3))
            with monkeypatch.context() as patched:
                patched.setattr(storage, "write_checksummed_file", raise_disk_full)
                with pytest.raises(AlmonddealError, match="STORAGE_FULL"):
                    store.save_snapshot(Snapshot(1, 2, 1, b"x"), entries(3, 1))
            store.truncate_from(3)
            store.append(entries(3, 1))
        assert stored_indices(tmp_path) == [1, 2, 3]


class DiskFull:
    """Lets syncs succeed until the disk is full, `n_syncs` syncs later."""

    def __init__(self, n_syncs):
        self._n_left = n_syncs

    def fsync(self, descriptor):
        if not self._n_left:
            raise OSError(errno.ENOSPC, "no space left")
        self._n_left -= 1


class TestFullDisk:
    """Pattern: the disk fills up in the middle of an operation, and has room again."""

    @pytest.mark.parametrize("n_syncs", range(3))
    def test_snapshot_keeps_the_entries_at_each_step(
        self, tmp_path, monkeypatch, n_syncs
    ):
        # Syncs of the snapshot, its folder and the log.
        with LogStore(tmp_path, end_process) as store:
            store.append(entries(1, 5))
            with monkeypatch.context() as patched:
                patched.setattr("os.fsync", DiskFull(n_syncs).fsync)
                with pytest.raises(AlmonddealError, match="STORAGE_FULL"):
                    store.save_snapshot(Snapshot(1, 3, 1, b"x"), entries(4, 2))
            assert list(tmp_path.glob("*.tmp")) == []
            store.append(entries(6, 1))
        with LogStore(tmp_path, end_process) as store:
            assert store.entries[-1].index == 6
            known = store.snapshot.index + len(store.entries)
            assert known == 6

    def test_process_ends_if_the_new_log_may_not_be_durable(
        self, tmp_path, monkeypatch
    ):
        # Later entries went to the old file, which had no name any more.
        with LogStore(tmp_path, end_process) as store:
            store.append(entries(1, 5))
            with monkeypatch.context() as patched:
                patched.setattr("os.fsync", DiskFull(3).fsync)
                with pytest.raises(ProcessEnded):
                    store.save_snapshot(Snapshot(1, 3, 1, b"x"), entries(4, 2))
        assert stored_indices(tmp_path) == [4, 5]

    def test_snapshot_is_stored_once_there_is_room_again(self, tmp_path, monkeypatch):
        with LogStore(tmp_path, end_process) as store:
            store.append(entries(1, 5))
            snapshot = Snapshot(1, 3, 1, b"x")
            with monkeypatch.context() as patched:
                patched.setattr("os.fsync", DiskFull(2).fsync)
                with pytest.raises(AlmonddealError, match="STORAGE_FULL"):
                    store.save_snapshot(snapshot, entries(4, 2))
            store.save_snapshot(snapshot, entries(4, 2))
        assert stored_indices(tmp_path) == [4, 5]

    @pytest.mark.parametrize("n_syncs", range(2))
    def test_vote_is_kept_or_refused_as_a_whole(self, tmp_path, monkeypatch, n_syncs):
        with LogStore(tmp_path, end_process) as store:
            store.save_meta(3, "x")
            with monkeypatch.context() as patched:
                patched.setattr("os.fsync", DiskFull(n_syncs).fsync)
                with pytest.raises(AlmonddealError, match="STORAGE_FULL"):
                    store.save_meta(4, "y")
            assert (store.meta.term, store.meta.voted_for) == (3, "x")
        with LogStore(tmp_path, end_process) as store:
            # A vote that was refused may be on the disk, but never half of it.
            stored = (store.meta.term, store.meta.voted_for)
            assert stored in ((3, "x"), (4, "y"))


def raise_disk_full(path, payload):
    raise OSError(errno.ENOSPC, "no space left")
