"""Tests of snapshots that reach a member whose log has entries after them."""

import anyio
import pytest

from almonddeal.control.constants import KIND_NO_OP
from almonddeal.control.storage import LogStore
from almonddeal.control.tests.fakes import FakeGroup
from almonddeal_common.wire.gen.ttypes import (
    AppendLog,
    InstallSnapshot,
    LogEntry,
    Snapshot,
)

TERM = 40
N_ENTRIES = 9
SNAPSHOT_INDEX = 6


def append_of(n_entries, commit_index):
    """Return an append of entries from the first index on."""
    entries = [LogEntry(TERM, n + 1, KIND_NO_OP, b"") for n in range(n_entries)]
    return AppendLog(TERM, "entry1", 0, 0, entries, commit_index)


def snapshot_chunk(term, n_bytes=0):
    """Return the first chunk of a snapshot, or all of one without state."""
    snapshot = Snapshot(1, SNAPSHOT_INDEX, term, b"")
    return InstallSnapshot(TERM + 1, "entry2", snapshot, None, 0, n_bytes)


def run_member(folder, test):
    """Run a test with one member that has the entries of a former leader."""

    async def main():
        async with anyio.create_task_group() as tasks:
            group = FakeGroup(folder, tasks, seed=1)
            group.start("entry0")
            member = group.member_by_name["entry0"]
            append = append_of(N_ENTRIES, commit_index=0)
            assert (await member.consensus.handle_append(None, append, None)).ok
            await test(group, member)
            tasks.cancel_scope.cancel()

    anyio.run(main)


class TestSnapshotBesideLog:
    # Guards against a member that drops entries which it has acknowledged: a change
    # that was committed with its help was lost once the other member stopped.
    @pytest.mark.parametrize("n_bytes", [0, 1000])
    def test_entries_after_the_snapshot_stay(self, tmp_path, n_bytes):
        async def test(group, member):
            message = snapshot_chunk(TERM, n_bytes)
            reply = await member.consensus.handle_snapshot(None, message, None)
            assert (reply.ok, reply.match_index) == (True, SNAPSHOT_INDEX)
            assert member.consensus.applied_index == SNAPSHOT_INDEX
            await group.kill("entry0", tear_log=False)
            with LogStore(tmp_path / "entry0", group.end_process) as store:
                last_index = store.snapshot.index + len(store.entries)
            assert last_index == N_ENTRIES

        run_member(tmp_path, test)

    def test_entries_of_another_term_are_replaced(self, tmp_path):
        async def test(group, member):
            message = snapshot_chunk(TERM + 1)
            reply = await member.consensus.handle_snapshot(None, message, None)
            assert (reply.ok, reply.match_index) == (True, SNAPSHOT_INDEX)
            await group.kill("entry0", tear_log=False)
            with LogStore(tmp_path / "entry0", group.end_process) as store:
                assert (store.snapshot.index, store.entries) == (SNAPSHOT_INDEX, [])

        run_member(tmp_path, test)

    # Guards against a snapshot that is sent again from its start, as the reply to its
    # last chunk was lost.
    def test_snapshot_that_was_installed_is_not_sent_again(self, tmp_path):
        async def test(group, member):
            await member.consensus.handle_snapshot(None, snapshot_chunk(TERM + 1), None)
            message = snapshot_chunk(TERM + 1, n_bytes=1000)
            reply = await member.consensus.handle_snapshot(None, message, None)
            assert (reply.ok, reply.match_index) == (True, SNAPSHOT_INDEX)

        run_member(tmp_path, test)
