"""Tests of a member whose log is cut back to that of a new leader."""

import time

import anyio
import pytest

from almonddeal.control.constants import KIND_NO_OP
from almonddeal.control.storage import LogStore
from almonddeal.control.tests.fakes import FakeGroup, change
from almonddeal_common.codes import STORAGE_FULL, AlmonddealError
from almonddeal_common.wire.gen.ttypes import AppendLog, LogEntry

N_OLD_ENTRIES = 5


def append_of(leader, term):
    """Return an append of entries from the first index on."""
    entries = [LogEntry(term, n + 1, KIND_NO_OP, b"") for n in range(N_OLD_ENTRIES)]
    return AppendLog(term, leader, 0, 0, entries, 0)


async def fail_to_append(member, message):
    """Let an append fail for lack of space, after the old entries were removed."""
    append = member.store.append

    def refuse(entries):
        raise AlmonddealError(STORAGE_FULL, "the log cannot grow")

    member.store.append = refuse
    with pytest.raises(AlmonddealError, match="STORAGE_FULL"):
        await member.consensus.handle_append(None, message, None)
    member.store.append = append


async def cancel_before_append(member, message):
    """Let the leader give up on an append while the old entries are removed."""
    truncate_from = member.store.truncate_from

    def delayed(index):
        time.sleep(0.05)
        truncate_from(index)

    member.store.truncate_from = delayed
    with anyio.move_on_after(0.01):
        await member.consensus.handle_append(None, message, None)
    member.store.truncate_from = truncate_from


class TestDivergedLog:
    # Guards against entries that a leader takes for written, as it had longer ones at
    # their place that it removed: they were acknowledged with one copy too few, and the
    # log of a restarted process had a gap.
    @pytest.mark.parametrize("fail", [fail_to_append, cancel_before_append])
    def test_leader_writes_all_entries_after_a_failed_append(self, tmp_path, fail):
        async def main():
            async with anyio.create_task_group() as tasks:
                group = FakeGroup(tmp_path, tasks, seed=1)
                group.start("entry0")
                member = group.member_by_name["entry0"]
                term = member.consensus.term + 10
                old = append_of("entry1", term)
                assert (await member.consensus.handle_append(None, old, None)).ok
                await fail(member, append_of("entry2", term + 1))
                group.start("entry1")
                # Its log is as new as that of `member`, which is to be elected.
                group.member_by_name["entry1"].consensus.election_timeout_ms = 60_000
                with anyio.fail_after(20):
                    while not member.consensus.is_leader:
                        await anyio.sleep(0.02)
                for number in range(2 * N_OLD_ENTRIES):
                    await member.consensus.propose(change(f"a{number}", number), 2000)
                n_committed = member.consensus.commit_index
                await group.kill("entry0", tear_log=False)
                with LogStore(tmp_path / "entry0", group.end_process) as store:
                    stored = [entry.index for entry in store.entries]
                assert stored[:n_committed] == list(range(1, n_committed + 1))
                tasks.cancel_scope.cancel()

        anyio.run(main)
