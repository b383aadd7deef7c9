"""Tests of membership changes: joins, lost disks, replacements and removals."""

import anyio
import pytest

from almonddeal.control.consensus import Consensus
from almonddeal.control.constants import ELECTION_TIMEOUT_MIN_MS, KIND_MEMBERS
from almonddeal.control.identity import (
    initial_voter_name,
    load_identity,
    store_initial_members,
)
from almonddeal.control.members import (
    JoinRequest,
)
from almonddeal.control.peers import PeerSet
from almonddeal.control.storage import LogStore
from almonddeal.control.tests.changing_group import SEEDS, AddressPeer, run_group
from almonddeal.control.tests.fakes import FakeGroup, FakePeer
from almonddeal.publication.state import Publication
from almonddeal_common.codes import LINK_LOST, AlmonddealError
from almonddeal_common.wire.codec import encode
from almonddeal_common.wire.gen.ttypes import AppendLog, Hello, LogEntry, Vote


class TestIdentity:
    def test_initial_voter_has_the_name_of_its_address(self, tmp_path):
        name, initial_addresses = load_identity(tmp_path, "b:1", SEEDS, True)
        assert (name, initial_addresses) == (initial_voter_name("b:1"), SEEDS)

    def test_name_is_kept_with_the_data_folder_and_new_after_its_loss(self, tmp_path):
        first, _ = load_identity(tmp_path / "x", "b:1", SEEDS, True)
        again, initial_addresses = load_identity(tmp_path / "x", "b:1", ["z:1"], False)
        wiped, _ = load_identity(tmp_path / "y", "b:1", SEEDS, False)
        assert again == first
        assert initial_addresses == SEEDS
        assert wiped != first

    def test_process_beyond_the_seeds_is_no_initial_voter(self, tmp_path):
        name, initial_addresses = load_identity(tmp_path, "d:1", SEEDS, True)
        assert initial_addresses == []
        assert name != initial_voter_name("d:1")


class TestGroup:
    def test_initial_voters_form_one_group(self, tmp_path):
        async def test(group):
            await group.wait_voters(SEEDS)
            assert (await group.publish(7)).version_in_force == 7
            for address in SEEDS:
                await group.wait_version(address, 7)

        run_group(tmp_path, test)

    def test_initial_voters_without_stored_members_form_one_group(self, tmp_path):
        async def test(group):
            for address in SEEDS:
                await group.kill(address)
                (tmp_path / address / "snapshot").unlink()
                (tmp_path / address / "log").unlink()
                (tmp_path / address / "meta").unlink(missing_ok=True)
            for address in SEEDS:
                group.start(address, is_bootstrap=False)
            await group.wait_voters(SEEDS)
            assert (await group.publish(7)).version_in_force == 7

        run_group(tmp_path, test)

    def test_process_that_lost_its_disk_joins_under_a_new_name(self, tmp_path):
        async def test(group):
            await group.publish(7)
            old = group.process_by_address["b:1"].name
            await group.kill("b:1", wipe=True)
            new = group.start("b:1").name
            members = await group.wait_voters(SEEDS)
            assert old not in members
            assert new in members
            await group.wait_version("b:1", 7)

        run_group(tmp_path, test)

    def test_wiped_process_refuses_messages_to_its_old_name(self, tmp_path):
        async def test(group):
            await group.publish(7)
            old = group.process_by_address["b:1"].name
            await group.kill("b:1", wipe=True)
            group.cut_addresses = {"b:1"}
            process = group.start("b:1").consensus
            with pytest.raises(AlmonddealError):
                await process.handle_vote(None, Vote(9, "x", 9, 9, False, old), None)
            message = AppendLog(9, "x", 0, 0, [], 0, old)
            with pytest.raises(AlmonddealError):
                await process.handle_append(None, message, None)

        run_group(tmp_path, test)

    def test_wiped_process_alone_is_never_elected(self, tmp_path):
        async def test(group):
            await group.publish(7)
            for address in ("a:1", "c:1"):
                await group.kill(address)
            await group.kill("b:1", wipe=True)
            group.start("b:1")
            await anyio.sleep(2.5)
            assert group.leader() is None

        run_group(tmp_path, test)

    def test_follower_of_a_leader_uses_the_regular_election_timeout(self, tmp_path):
        async def test(group):
            await group.publish(7)
            for address in SEEDS:
                await group.kill(address)
            for address in SEEDS:
                group.start(address)
            with anyio.fail_after(20):
                for process in group.process_by_address.values():
                    while process.consensus.leader is None:
                        await anyio.sleep(0.005)
                    # On a busy machine another election may come first. A follower
                    # has the regular timeout in either case.
                    timeout_ms = process.consensus.election_timeout_ms
                    is_leader = process.consensus.is_leader
                    assert is_leader or timeout_ms >= ELECTION_TIMEOUT_MIN_MS

        run_group(tmp_path, test)

    def test_acknowledged_version_survives_a_lost_disk_and_a_restart(self, tmp_path):
        async def test(group):
            await group.publish(7)
            leader = group.leader().address
            for address in SEEDS:
                await group.kill(address, wipe=address == leader)
            for address in SEEDS:
                group.start(address)
            await group.wait_voters(SEEDS)
            for address in SEEDS:
                await group.wait_version(address, 7)

        run_group(tmp_path, test)

    def test_process_at_a_new_address_replaces_a_lost_member(self, tmp_path):
        async def test(group):
            await group.publish(7)
            leader = group.leader().address
            await group.kill(leader, wipe=True)
            group.start("d:1")
            await group.wait_voters([*[a for a in SEEDS if a != leader], "d:1"])
            await group.publish(9)
            await group.wait_version("d:1", 9)

        run_group(tmp_path, test)

    def test_group_survives_a_second_loss_after_a_replacement(self, tmp_path):
        async def test(group):
            await group.publish(7)
            await group.kill("a:1", wipe=True)
            group.start("d:1")
            await group.wait_voters(["b:1", "c:1", "d:1"])
            await group.kill("b:1")
            assert (await group.publish(9)).version_in_force == 9

        run_group(tmp_path, test)

    def test_control_instances_beyond_the_seeds_become_voters(self, tmp_path):
        async def test(group):
            for address in ("d:1", "e:1"):
                group.start(address, is_bootstrap=True)
            members = await group.wait_voters([*SEEDS, "d:1", "e:1"])
            assert members.quorum == 3
            await group.kill("a:1")
            await group.kill("b:1")
            assert (await group.publish(9)).version_in_force == 9

        run_group(tmp_path, test)

    def test_removed_member_that_returns_joins_again(self, tmp_path):
        async def test(group):
            await group.publish(7)
            group.cut_addresses = {"a:1"}
            group.start("d:1")
            await group.wait_voters(["b:1", "c:1", "d:1"])
            group.cut_addresses = set()
            await group.wait_voters([*SEEDS, "d:1"])
            await group.publish(9)
            await group.wait_version("a:1", 9)

        run_group(tmp_path, test)


class TestEndOfProcess:
    """Calls of other members that a process is serving when it ends."""

    def test_member_change_stored_after_the_end_connects_no_peer(self, tmp_path):
        # At a stop, a handler whose disk write is in progress finishes after the
        # tasks of the member have ended.
        connected_names = []
        own_name = initial_voter_name("a:1")
        leader_name = initial_voter_name("b:1")

        def connect(name, address):
            connected_names.append(name)

        async def main(store):
            consensus = Consensus(
                own_name, {}, store, Publication(), None, connect, lambda peer: None
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(consensus.run)
                await anyio.sleep(0.02)
                tasks.cancel_scope.cancel()
            connected_names.clear()
            joined = consensus.members.with_voter(JoinRequest("w", "d:1", False))
            entry = LogEntry(1, 1, KIND_MEMBERS, encode(joined.to_wire()))
            message = AppendLog(1, leader_name, 0, 0, [entry], 0, own_name)
            reply = await consensus.handle_append(None, message, None)
            assert reply.ok
            assert "w" in consensus.members

        with LogStore(tmp_path, pytest.fail) as store:
            store_initial_members(store, SEEDS)
            anyio.run(main, store)
        assert connected_names == []

    def test_call_in_progress_ends_with_its_process(self, tmp_path):
        async def test(group):
            await group.publish(7)
            process = group.process_by_address["b:1"]
            message = Vote(99, "x", 99, 99, False, process.name)
            await _kill_during_call(
                process.consensus,
                AddressPeer(group, "a:1", process.name, "b:1"),
                message,
                lambda: group.kill("b:1"),
            )

        run_group(tmp_path, test)

    def test_call_in_progress_ends_with_its_member(self, tmp_path):
        async def main():
            async with anyio.create_task_group() as tasks:
                group = FakeGroup(tmp_path, tasks, 0)
                group.start_all()
                member = group.member_by_name["entry1"]
                await _kill_during_call(
                    member.consensus,
                    FakePeer(group, "entry0", "entry1"),
                    Vote(99, "x", 99, 99, False, "entry1"),
                    lambda: group.kill("entry1"),
                )
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_call_after_the_end_of_a_process_is_not_served(self, tmp_path):
        async def test(group):
            process = group.process_by_address["b:1"]
            peer = AddressPeer(group, "a:1", process.name, "b:1")
            async with anyio.create_task_group() as calls:
                calls.start_soon(
                    _expect_lost_link, peer, Vote(99, "x", 99, 99, False, process.name)
                )
                # The call is on its way, not yet at the process.
                await anyio.lowlevel.checkpoint()
                await group.kill("b:1")
            assert process.consensus.term < 99

        run_group(tmp_path, test)


async def _expect_lost_link(peer, message):
    with pytest.raises(AlmonddealError) as error_info:
        await peer.call(message, 2000)
    assert error_info.value.code == LINK_LOST


async def _kill_during_call(consensus, peer, message, kill):
    """Kill a process while a handler of it waits for the disk."""
    async with anyio.create_task_group() as calls, consensus.disk_lock:
        calls.start_soon(_expect_lost_link, peer, message)
        await anyio.sleep(0.02)
        calls.start_soon(kill)
        await anyio.sleep(0.02)


class TestPeerSet:
    def test_peer_is_disconnected_before_its_task_starts(self):
        async def main():
            async with anyio.create_task_group() as group:
                hello = Hello(1, 1, "control", "x", 1, "fd1")
                peers = PeerSet(hello, group, lambda link: None)
                peers.disconnect(peers.connect("y", "127.0.0.1:1"))
                await anyio.sleep(0.05)
                group.cancel_scope.cancel()

        anyio.run(main)
