"""Tests of rules of elections and membership beside busy disks."""

import anyio

from almonddeal.control.constants import ELECTION_TIMEOUT_MIN_MS
from almonddeal.control.tests.changing_group import (
    SEEDS,
    run_group_in_virtual_time,
)
from almonddeal.publication.state import compress_content
from almonddeal_common.codes import STORAGE_FULL, AlmonddealError
from almonddeal_common.wire.gen.ttypes import Command, JoinGroup, PublishConfiguration

LEADER_AFTER_REFUSAL_S = 0.5  # an operation, two ticks and the votes


def make_disks():
    until_s_by_address = {}

    async def run_disk_io(function, *args):
        until_s = until_s_by_address.get(function.__self__._folder.name, 0.0)
        with anyio.CancelScope(shield=True):
            await anyio.sleep(max(0.0, until_s - anyio.current_time()))
            await anyio.sleep(0.01)
        return function(*args)

    return until_s_by_address, run_disk_io


class TestBusyDisk:
    # Guards against a voter with the newest log that is asked to stand at its next tick,
    # and forgets it, as its disk is busy at that tick, though it does not stall.
    def test_voter_with_a_newer_log_stands_after_its_write(self, tmp_path, monkeypatch):
        until_s_by_address, run_disk_io = make_disks()

        async def test(group):
            await anyio.sleep(1.0)
            leader = group.leader().address
            newest, other = (address for address in SEEDS if address != leader)
            group.cut_addresses = {other}
            await group.publish(2)
            await group.wait_version(newest, 2)
            await group.kill(leader)
            group.cut_addresses = set()
            members = [group.process_by_address[a].consensus for a in (newest, other)]
            for member in members:
                member.election_timeout_ms = 900.0
                member._election_timer_start_ms += 1e5
            await anyio.sleep(ELECTION_TIMEOUT_MIN_MS / 1000)
            monkeypatch.setattr(
                "almonddeal.control.consensus.SNAPSHOT_INTERVAL_ENTRIES", 1
            )
            members[1]._election_timer_start_ms = float("-inf")
            while not members[1]._is_in_pre_vote:
                await anyio.sleep(0.0005)
            async with anyio.create_task_group() as tasks:
                until_s_by_address[newest] = anyio.current_time() + 0.15
                tasks.start_soon(members[0].compact)
                started_s = anyio.current_time()
                while group.leader() is None and anyio.current_time() < started_s + 5:
                    await anyio.sleep(0.01)
                took_s = anyio.current_time() - started_s
                assert took_s < LEADER_AFTER_REFUSAL_S, took_s

        run_group_in_virtual_time(tmp_path, monkeypatch, test, run_disk_io)


class TestRemovedLeader:
    # Guards against a leader that has committed its own removal and then proposes the
    # next change instead of stepping down.
    def test_it_steps_down_once_its_removal_is_committed(self, tmp_path, monkeypatch):
        async def test(group):
            await anyio.sleep(1.0)
            process = group.leader()
            leader = process.consensus
            joining = group.start("d:1")
            group.refused_joins = set(SEEDS)  # asked by this test only
            request = JoinGroup(joining.name, "d:1", False)
            # Its removal is in its log, and not committed before the joiner catches up.
            address = leader.members.address_by_name[leader.name]
            group.cut_addresses = {a for a in SEEDS if a != address}
            leader._append_members(leader.members.without_voter(leader.name))
            removal_index = leader.members_index
            await leader.handle_join(None, request, None)
            while leader._match_index_by_name.get(joining.name, 0) < removal_index:
                await anyio.sleep(0.01)
            group.cut_addresses = set()
            while leader.commit_index < removal_index:
                await anyio.sleep(0.0005)
            assert (leader.is_leader, leader.members_index) == (False, removal_index)

        run_group_in_virtual_time(tmp_path, monkeypatch, test)


class TestRefusedStorage:
    # Guards against requests for a vote that a voter with a full disk cannot store, each
    # of which writes to the disk, twelve times a second.
    def test_requests_to_a_full_voter_are_rare(self, tmp_path, monkeypatch):
        async def test(group):
            await anyio.sleep(1.0)
            leader = group.leader().address
            candidate, other = (
                group.process_by_address[address]
                for address in SEEDS
                if address != leader
            )
            await group.kill(leader)
            n_writes = 0

            def save_meta(*args):
                nonlocal n_writes
                n_writes += 1
                raise AlmonddealError(STORAGE_FULL, "no room")

            other.store.save_meta = save_meta
            await anyio.sleep(10.0)
            assert n_writes <= 30

        run_group_in_virtual_time(tmp_path, monkeypatch, test)


class TestHangingLeader:
    # Guards against a leader that stays beside a hanging disk and accepts changes, which
    # add up in its memory and on the disks of its followers.
    def test_changes_do_not_add_up(self, tmp_path, monkeypatch):
        until_s_by_address, run_disk_io = make_disks()

        async def test(group):
            await anyio.sleep(1.0)
            leader = group.leader()
            lost = next(a for a in SEEDS if a != leader.address)
            await group.kill(lost)
            until_s_by_address[leader.address] = anyio.current_time() + 60.0
            last_index = leader.consensus._log.last_index
            for _ in range(50):
                content = compress_content(b"x")
                command = Command(publish=PublishConfiguration(7, content, "t", 0))
                try:
                    await leader.consensus.propose(command, 1000)
                except AlmonddealError:
                    await anyio.sleep(0.03)
            n_added = leader.consensus._log.last_index - last_index
            assert n_added < 10

        run_group_in_virtual_time(tmp_path, monkeypatch, test, run_disk_io)
