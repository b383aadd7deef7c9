"""Tests of a leader whose disk stalls for good, whatever it writes."""

from threading import Event

import anyio
import pytest

from almonddeal.control.tests.changing_group import run_group
from almonddeal_common.wire.gen.ttypes import Vote

ACKNOWLEDGE_S = 8.0  # for a change, once the disk stalls


async def compact(process):
    """Have the process write a snapshot."""
    await process.consensus.compact()


async def vote(process):
    """Have the process store the term of a candidate that no one elects."""
    consensus = process.consensus
    message = Vote(consensus.term + 1, "none", 0, 0, False, process.name)
    await consensus.handle_vote(None, message, None)


class TestStalledDisk:
    # Guards against a leader that writes no more, but whose heartbeats keep the other
    # members from an election: all changes stayed unanswered as long as it ran.
    @pytest.mark.parametrize(
        ("method_name", "write"), [("save_snapshot", compact), ("save_meta", vote)]
    )
    def test_another_member_leads(self, tmp_path, monkeypatch, method_name, write):
        monkeypatch.setattr("almonddeal.control.consensus.SNAPSHOT_INTERVAL_ENTRIES", 1)
        disk_recovered = Event()

        async def test(group):
            await group.publish(1)
            stalled = group.leader()
            operation = getattr(stalled.store, method_name)

            def stalled_operation(*args):
                disk_recovered.wait()
                operation(*args)

            setattr(stalled.store, method_name, stalled_operation)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(write, stalled)
                try:
                    with anyio.fail_after(ACKNOWLEDGE_S):
                        assert (await group.publish(2)).version_in_force == 2
                    assert group.leader() is not stalled
                finally:
                    disk_recovered.set()
            await group.wait_version(stalled.address, 2)

        run_group(tmp_path, test)
