"""Tests of the log store when each of its file operations fails in turn."""

import errno
import os

import pytest

from almonddeal.control.storage import LogStore
from almonddeal.control.tests.faulty_disk import SYNC, SYNC_FOLDER, Disks
from almonddeal_common.codes import STORAGE_FULL, AlmonddealError
from almonddeal_common.wire.gen.ttypes import LogEntry, Snapshot

N_OPERATIONS = 50  # of the files, for all steps; the last ones fail in no run
MAX_TRIES = 8  # of a step, once fewer operations fail


class ProcessEnded(Exception):
    """Raised in place of the end of the process."""


def end_process(reason):
    raise ProcessEnded(reason)


@pytest.fixture
def disks(monkeypatch):
    disks = Disks()
    disks.install(monkeypatch)
    yield disks
    disks.close()


def entries(first, last, term=1):
    return [LogEntry(term, n, 1, b"x" * 50 * n) for n in range(first, last + 1)]


class Contents:
    """What a store has to hold: entries, the index of the snapshot, term and vote."""

    def __init__(self, entry_by_index=None, snapshot_index=0, meta=(0, "")):
        self.entry_by_index = entry_by_index or {}
        self.snapshot_index = snapshot_index
        self.meta = meta

    @classmethod
    def of(cls, store):
        """Return what a store has loaded."""
        return cls(
            {entry.index: entry for entry in store.entries},
            store.snapshot.index,
            (store.meta.term, store.meta.voted_for),
        )

    @property
    def last_index(self):
        return max(self.entry_by_index, default=self.snapshot_index)

    def appended(self, new):
        by_index = {**self.entry_by_index, **{entry.index: entry for entry in new}}
        return Contents(by_index, self.snapshot_index, self.meta)

    def truncated(self, index):
        by_index = {i: e for i, e in self.entry_by_index.items() if i < index}
        return Contents(by_index, self.snapshot_index, self.meta)

    def compacted(self, index):
        by_index = {i: e for i, e in self.entry_by_index.items() if i > index}
        return Contents(by_index, index, self.meta)

    def as_tuple(self):
        return self.entry_by_index, self.snapshot_index, self.meta


def append(first, last, term=1):
    """Return a step that makes entries the last ones of the log, as a follower does."""

    def step(store, contents):
        if first in contents.entry_by_index:
            store.truncate_from(first)
        store.append(entries(first, last, term))
        return contents.truncated(first).appended(entries(first, last, term))

    return step


def save_meta(term, voted_for):
    def step(store, contents):
        store.save_meta(term, voted_for)
        return Contents(
            contents.entry_by_index, contents.snapshot_index, (term, voted_for)
        )

    return step


def compact(index):
    def step(store, contents):
        if index <= contents.snapshot_index:
            return contents
        later = contents.compacted(index)
        snapshot = Snapshot(1, index, contents.entry_by_index[index].term, b"state")
        store.save_snapshot(snapshot, list(later.entry_by_index.values()))
        return later

    return step


STEPS = [
    append(1, 3),
    append(4, 6),
    save_meta(2, "a"),
    append(5, 9, term=2),
    compact(4),
    append(10, 10, term=2),
    append(8, 8, term=3),
    save_meta(3, "b"),
    append(9, 12, term=3),
]


def check_between(found, before, after):
    """Check what is found after a crash in a step against what held around it."""
    assert found.meta in (before.meta, after.meta)
    assert found.snapshot_index in (before.snapshot_index, after.snapshot_index)
    for index, entry in found.entry_by_index.items():
        known = (before.entry_by_index.get(index), after.entry_by_index.get(index))
        assert entry in known
    for index, entry in after.entry_by_index.items():
        if before.entry_by_index.get(index) == entry:
            assert found.entry_by_index.get(index) == entry, f"entry {index} is lost"


class Run:
    """One process after the other on one data folder, each until it crashes.

    Parameters
    ----------
    disk : Disk
    crash : {"none", "kill", "power"}
        What follows the first failed step.
    """

    def __init__(self, disk, crash):
        self._disk = disk
        self._crash = crash
        self.n_failed = 0
        self.contents = Contents()
        self.store = None

    def open(self):
        self.store = LogStore(self._disk.folder, end_process)
        for _ in range(MAX_TRIES):
            try:
                self.store.__enter__()
            except AlmonddealError as error:
                assert error.code == STORAGE_FULL
                self.n_failed += 1
            else:
                return Contents.of(self.store)
        raise AssertionError("the store does not open again")

    def restart(self, is_power_lost):
        self.store.__exit__(None, None, None)
        if is_power_lost:
            self._disk.lose_power()
        return self.open()

    def take(self, step):
        for _ in range(MAX_TRIES):
            try:
                self.contents = step(self.store, self.contents)
            except AlmonddealError as error:
                assert error.code == STORAGE_FULL
                self.n_failed += 1
                if self.n_failed == 1 and self._crash != "none":
                    found = self.restart(self._crash == "power")
                    self.check_crashed(found, step)
            except ProcessEnded:
                # Only a folder that cannot be synced ends the process.
                assert self._disk.last_kind == SYNC_FOLDER
                self.check_crashed(self.restart(self._crash == "power"), step)
            else:
                return
        raise AssertionError("the step never succeeds")

    def check_crashed(self, found, step):
        after = step(_NullStore(), self.contents)
        check_between(found, self.contents, after)
        # A snapshot that was stored stays, whether or not its step succeeded.
        self.contents = found


class _NullStore:
    def __getattr__(self, name):
        return lambda *args: None


class TestEachOperationFails:
    # Guards against a log store that cannot write any more, or loses what it has
    # acknowledged, after one or a few of its file operations failed on a full disk.
    @pytest.mark.parametrize("crash", ["none", "kill", "power"])
    @pytest.mark.parametrize("n_failures", [1, 2, 5])
    @pytest.mark.parametrize("is_write_short", [False, True])
    def test_all_steps_succeed_once_there_is_room(
        self, tmp_path, disks, crash, n_failures, is_write_short
    ):
        for first in range(N_OPERATIONS):
            disk = disks.disk(tmp_path / str(first))
            disk.fail_between(first, n_failures, is_write_short)
            run = Run(disk, crash)
            run.open()
            for step in STEPS:
                run.take(step)
            wanted = run.contents.as_tuple()
            assert run.restart(is_power_lost=False).as_tuple() == wanted
            assert run.restart(is_power_lost=True).as_tuple() == wanted
            run.store.__exit__(None, None, None)
            disk.close()

    def test_operations_are_all_reached(self, tmp_path, disks):
        disk = disks.disk(tmp_path)
        run = Run(disk, "none")
        run.open()
        for step in STEPS:
            run.take(step)
        assert 0.8 * N_OPERATIONS < disk.n_operations <= N_OPERATIONS
        run.store.__exit__(None, None, None)


class TestUnsyncedRecords:
    # Guards against entries that are acknowledged again after a restart, but that the
    # earlier process had not synced.
    def test_records_are_synced_when_loaded(self, tmp_path, disks):
        disk = disks.disk(tmp_path)
        with LogStore(tmp_path, end_process) as store:
            store.append(entries(1, 2))
            n_synced = (tmp_path / "log").stat().st_size
            store.append(entries(3, 3))
        data = (tmp_path / "log").read_bytes()
        (tmp_path / "log").write_bytes(data[:n_synced])
        with (tmp_path / "log").open("r+b") as file:
            disk.record_sync(file.fileno())
            file.seek(n_synced)
            file.write(data[n_synced:])
        with LogStore(tmp_path, end_process) as store:
            assert [entry.index for entry in store.entries] == [1, 2, 3]
        disk.lose_power()
        with LogStore(tmp_path, end_process) as store:
            assert [entry.index for entry in store.entries] == [1, 2, 3]

    def test_records_whose_sync_failed_are_not_loaded(self, tmp_path, monkeypatch):
        # The second sync succeeds without them: the kernel reports an error once.
        with LogStore(tmp_path, end_process) as store:
            store.append(entries(1, 2))
            with monkeypatch.context() as patched:

                def fail(descriptor):
                    raise OSError(errno.EIO, "bad disk")

                patched.setattr(os, "fsync", fail)
                with pytest.raises(ProcessEnded):
                    store.append(entries(3, 3))
        with LogStore(tmp_path, end_process) as store:
            assert [entry.index for entry in store.entries] == [1, 2]

    # Guards against a damaged disk that ends the process with a traceback, in place of
    # the status that tells an operator to replace it.
    def test_damaged_disk_ends_the_start(self, tmp_path, monkeypatch):
        with LogStore(tmp_path, end_process) as store:
            store.append(entries(1, 2))

        def fail(descriptor):
            raise OSError(errno.EIO, "bad disk")

        monkeypatch.setattr(os, "fsync", fail)
        with pytest.raises(ProcessEnded, match="could not write the log"):
            LogStore(tmp_path, end_process).__enter__()

    def test_records_are_written_again_after_a_failed_sync(self, tmp_path, disks):
        disk = disks.disk(tmp_path)
        with LogStore(tmp_path, end_process) as store:
            store.append(entries(1, 2))
            inode = (tmp_path / "log").stat().st_ino
            disk.refused_kinds = {SYNC}
            disk.is_full = True
            with pytest.raises(AlmonddealError, match="STORAGE_FULL"):
                store.append(entries(3, 3))
            disk.is_full = False
            store.append(entries(3, 4))
            assert (tmp_path / "log").stat().st_ino != inode
        disk.lose_power()
        with LogStore(tmp_path, end_process) as store:
            assert [entry.index for entry in store.entries] == [1, 2, 3, 4]


class TestSnapshotOfAnotherLog:
    # Guards against entries of a former leader after the snapshot that replaced them.
    def test_entries_after_it_are_dropped(self, tmp_path, disks):
        disk = disks.disk(tmp_path)
        with LogStore(tmp_path, end_process) as store:
            store.append(entries(1, 9))
            # Also the second try, with the room of the reserve.
            disk.fail_between(4, 10)
            with pytest.raises(AlmonddealError, match="STORAGE_FULL"):
                store.save_snapshot(Snapshot(1, 6, 4, b"state"), [])
            disk.fail_between(0, 0)
        with LogStore(tmp_path, end_process) as store:
            assert (store.snapshot.index, store.entries) == (6, [])
            store.append(entries(7, 7, term=4))
        with LogStore(tmp_path, end_process) as store:
            assert [entry.term for entry in store.entries] == [4]


class TestLeftoverFiles:
    # Guards against files of a write that a kill cut off, which take up a full disk.
    def test_they_are_removed_at_the_start(self, tmp_path):
        with LogStore(tmp_path, end_process):
            pass
        (tmp_path / "snapshot.tmp").write_bytes(b"x" * 1000)
        with LogStore(tmp_path, end_process):
            assert list(tmp_path.glob("*.tmp")) == []
