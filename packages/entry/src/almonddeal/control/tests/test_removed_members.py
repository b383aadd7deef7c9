"""Tests of a leader that removes a member while it calls it."""

import time
from threading import Event

import anyio

from almonddeal.control.constants import LEADER_HEARTBEAT_INTERVAL_MS
from almonddeal.control.tests.changing_group import SEEDS, run_group


def remove_member(leader, name):
    """Have the leader remove a member, as it does for one that was replaced."""
    members = leader.consensus.members.without_voter(name)
    leader.consensus._append_members(members)


class TestRemovedMember:
    # Guards against a leader whose tasks end with a `KeyError`, as a heartbeat was due
    # to a member at the moment of its removal.
    def test_heartbeat_is_due_at_the_removal(self, tmp_path):
        disk_recovered = Event()

        async def test(group):
            await group.publish(1)
            leader = group.leader()
            stalled = next(
                group.process_by_address[a] for a in SEEDS if a != leader.address
            )
            append = stalled.store.append

            def stalled_append(entries):
                disk_recovered.wait()
                append(entries)

            stalled.store.append = stalled_append
            try:
                await group.publish(2)
                await anyio.sleep(2 * LEADER_HEARTBEAT_INTERVAL_MS / 1000)

                async def remove_soon():
                    await anyio.sleep(0.001)
                    remove_member(leader, stalled.name)

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(remove_soon)
                    await anyio.lowlevel.checkpoint()
                    # Both timers are due at the end of this.
                    time.sleep(1.5 * LEADER_HEARTBEAT_INTERVAL_MS / 1000)
                await group.publish(3)
            finally:
                disk_recovered.set()

        run_group(tmp_path, test)
