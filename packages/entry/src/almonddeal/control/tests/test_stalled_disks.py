"""Tests of a leader whose disk stalls for good, whatever it writes."""

from threading import Event

import anyio
import pytest

from almonddeal.control.tests.changing_group import (
    SEEDS,
    run_group,
    run_group_in_virtual_time,
    run_without_thread,
)
from almonddeal_common.wire.gen.ttypes import Vote

ACKNOWLEDGE_S = 8.0  # for a change, once the disk stalls
STALL_S = 2.0
PUBLISH_AFTER_STALL_S = 0.2  # the shortest timeout after a start
LEADER_AFTER_STALL_S = 0.6  # the longest timeout after a start, a tick and the votes


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


def make_stalling_disks():
    """Return the ends of stalls by address, and a function that runs disk operations.

    An operation that begins during a stall ends after it.
    """
    stalled_until_s_by_address = {}

    async def run_disk_io(function, *args):
        address = function.__self__._folder.name
        until_s = stalled_until_s_by_address.get(address, 0.0)
        with anyio.CancelScope(shield=True):
            await anyio.sleep(max(0.0, until_s - anyio.current_time()))
        return await run_without_thread(function, *args)

    return stalled_until_s_by_address, run_disk_io


class TestEndOfStall:
    # Guards against a member that waits for a whole election timeout after the stall of
    # its disk, though none of the others can be elected: it has the newest log.
    @pytest.mark.parametrize("seed", range(5))
    def test_member_with_the_newest_log_stands_at_once(
        self, tmp_path, monkeypatch, seed
    ):
        stalled_until_s_by_address, run_disk_io = make_stalling_disks()

        async def test(group):
            await anyio.sleep(1.0)
            leader = group.leader().address
            newest, other = (address for address in SEEDS if address != leader)
            group.cut_addresses = {other}
            await group.publish(2)
            await group.wait_version(newest, 2)
            until_s = anyio.current_time() + STALL_S
            stalled_until_s_by_address[newest] = until_s
            async with anyio.create_task_group() as writes:
                writes.start_soon(vote, group.process_by_address[newest])
                await anyio.sleep(0.01)
                await group.kill(leader)
                group.cut_addresses = set()
                await anyio.sleep(until_s - anyio.current_time())
                with anyio.fail_after(LEADER_AFTER_STALL_S):
                    while group.leader() is None:
                        await anyio.sleep(0.01)
                assert group.leader().address == newest

        run_group_in_virtual_time(tmp_path, monkeypatch, test, run_disk_io, seed)

    # Guards against a candidate that wins its term at the end of a stall, though the
    # other voter stands in the next one: it leads for the time of a vote, and its first
    # entry keeps the other one from being elected for one more timeout.
    @pytest.mark.parametrize("seed", range(5))
    def test_candidate_of_an_older_term_does_not_lead(
        self, tmp_path, monkeypatch, seed
    ):
        stalled_until_s_by_address, run_disk_io = make_stalling_disks()

        async def test(group):
            await anyio.sleep(1.0)
            leader = group.leader().address
            candidates = [address for address in SEEDS if address != leader]
            await group.kill(leader)
            async with anyio.create_task_group() as tasks:
                stalled = group.process_by_address[candidates[0]].consensus
                stalled._last_leader_contact_ms = float("-inf")
                other = group.process_by_address[candidates[1]].consensus
                other._last_leader_contact_ms = float("-inf")
                until_s = anyio.current_time() + 2 * STALL_S
                stalled_until_s_by_address[candidates[0]] = until_s
                tasks.start_soon(stalled._start_election)
                while other.term <= stalled.term + 1:
                    await anyio.sleep(0.01)
                # While the candidate stores its vote, which takes longer.
                await anyio.sleep(until_s + 0.005 - anyio.current_time())
                tasks.start_soon(other._start_election)
                with anyio.fail_after(PUBLISH_AFTER_STALL_S):
                    await group.publish(2)
                assert group.leader().address == candidates[1]

        run_group_in_virtual_time(tmp_path, monkeypatch, test, run_disk_io, seed)
