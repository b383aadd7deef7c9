"""Tests of members that change: joins, lost disks, replaced and removed processes."""

import anyio
import pytest

from almonddeal.control.constants import ELECTION_MIN_MS
from almonddeal.control.identity import first_name, load_identity
from almonddeal.control.members import (
    REMOVE_AFTER_SILENCE_MS,
    Joining,
    Members,
    next_members,
)
from almonddeal.control.peers import PeerSet
from almonddeal.control.tests.changing_group import SEEDS, run_group
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.wire.gen.ttypes import AppendLog, Hello, Vote


def three():
    return Members({"x": "a:1", "y": "b:1", "z": "c:1"}, 3)


class TestNextMembers:
    def test_nothing_is_due_when_all_answer(self):
        assert next_members(three(), {}, lambda n: True, lambda n: 0.0) is None

    def test_silent_voter_of_a_group_of_the_wanted_size_stays(self):
        silence = {"x": 0.0, "y": 1e9, "z": 0.0}
        assert next_members(three(), {}, lambda n: True, silence.get) is None

    def test_process_on_a_members_address_replaces_it_in_two_steps(self):
        joining = {"w": Joining("w", "b:1", False)}
        first = next_members(three(), joining, lambda n: True, lambda n: 0.0)
        assert sorted(first.address_by_name) == ["x", "z"]
        second = next_members(first, joining, lambda n: True, lambda n: 0.0)
        assert sorted(second.address_by_name) == ["w", "x", "z"]
        assert second.n_wanted == 3

    def test_joining_process_waits_until_it_holds_the_log(self):
        joining = {"w": Joining("w", "d:1", False)}
        assert next_members(three(), joining, lambda n: False, lambda n: 0.0) is None

    def test_silent_voter_beyond_the_wanted_size_goes(self):
        members = three().with_voter(Joining("w", "d:1", False))
        silence = {"x": 0.0, "y": REMOVE_AFTER_SILENCE_MS, "z": 5.0, "w": 0.0}
        left = next_members(members, {}, lambda n: True, silence.get)
        assert sorted(left.address_by_name) == ["w", "x", "z"]

    def test_addition_raises_the_wanted_size(self):
        members = three().with_voter(Joining("w", "d:1", True))
        assert members.n_wanted == 4
        assert next_members(members, {}, lambda n: True, lambda n: 1e9) is None

    def test_successive_members_always_share_a_majority(self):
        members = three()
        joining = {"w": Joining("w", "b:1", False), "v": Joining("v", "d:1", False)}
        silence = {"x": 1e9, "y": 0.0, "z": 0.0, "w": 0.0, "v": 0.0}
        for _ in range(5):
            following = next_members(members, joining, lambda n: True, silence.get)
            if following is None:
                break
            changed = set(members.address_by_name) ^ set(following.address_by_name)
            assert len(changed) == 1
            members = following
            joining = {n: j for n, j in joining.items() if n not in members}
        assert sorted(members.address_by_name) == ["v", "w", "z"]


class TestIdentity:
    def test_founders_know_each_others_names(self, tmp_path):
        name, bootstrap_addresses = load_identity(tmp_path, "b:1", SEEDS, True)
        assert (name, bootstrap_addresses) == (first_name("b:1"), SEEDS)

    def test_name_lasts_as_long_as_the_disk(self, tmp_path):
        first, _ = load_identity(tmp_path / "x", "b:1", SEEDS, True)
        again, bootstrap_addresses = load_identity(
            tmp_path / "x", "b:1", ["z:1"], False
        )
        wiped, _ = load_identity(tmp_path / "y", "b:1", SEEDS, False)
        assert again == first
        assert bootstrap_addresses == SEEDS
        assert wiped != first

    def test_process_beyond_the_seeds_founds_nothing(self, tmp_path):
        name, bootstrap_addresses = load_identity(tmp_path, "d:1", SEEDS, True)
        assert bootstrap_addresses == []
        assert name != first_name("d:1")


class TestGroup:
    def test_founders_form_one_group(self, tmp_path):
        async def test(group):
            await group.wait_voters(SEEDS)
            assert (await group.publish(7)).version_in_force == 7
            for address in SEEDS:
                await group.wait_version(address, 7)

        run_group(tmp_path, test)

    def test_founders_that_ended_before_they_wrote_the_members(self, tmp_path):
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

    def test_wiped_process_does_not_answer_as_its_old_self(self, tmp_path):
        async def test(group):
            await group.publish(7)
            old = group.process_by_address["b:1"].name
            await group.kill("b:1", wipe=True)
            group.cut = {"b:1"}
            process = group.start("b:1").consensus
            with pytest.raises(AlmonddealError):
                await process.handle_vote(None, Vote(9, "x", 9, 9, False, old), None)
            message = AppendLog(9, "x", 0, 0, [], 0, old)
            with pytest.raises(AlmonddealError):
                await process.handle_append(None, message, None)

        run_group(tmp_path, test)

    def test_wiped_process_alone_never_leads(self, tmp_path):
        async def test(group):
            await group.publish(7)
            for address in ("a:1", "c:1"):
                await group.kill(address)
            await group.kill("b:1", wipe=True)
            group.start("b:1")
            await anyio.sleep(2.5)
            assert group.leader() is None

        run_group(tmp_path, test)

    def test_member_that_hears_a_leader_gives_it_the_usual_time(self, tmp_path):
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
                    # Another election may come first on a busy machine; the timeout of
                    # who follows is the usual one in any case.
                    timeout_ms = process.consensus.election_timeout_ms
                    is_leader = process.consensus.is_leader
                    assert is_leader or timeout_ms >= ELECTION_MIN_MS

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

    def test_replacement_at_another_address_takes_a_lost_members_place(self, tmp_path):
        async def test(group):
            await group.publish(7)
            leader = group.leader().address
            await group.kill(leader, wipe=True)
            group.start("d:1")
            await group.wait_voters([*[a for a in SEEDS if a != leader], "d:1"])
            await group.publish(9)
            await group.wait_version("d:1", 9)

        run_group(tmp_path, test)

    def test_second_loss_after_a_replacement_keeps_the_group(self, tmp_path):
        async def test(group):
            await group.publish(7)
            await group.kill("a:1", wipe=True)
            group.start("d:1")
            await group.wait_voters(["b:1", "c:1", "d:1"])
            await group.kill("b:1")
            assert (await group.publish(9)).version_in_force == 9

        run_group(tmp_path, test)

    def test_more_control_instances_than_seeds_all_vote(self, tmp_path):
        async def test(group):
            for address in ("d:1", "e:1"):
                group.start(address, is_bootstrap=True)
            members = await group.wait_voters([*SEEDS, "d:1", "e:1"])
            assert members.quorum == 3
            await group.kill("a:1")
            await group.kill("b:1")
            assert (await group.publish(9)).version_in_force == 9

        run_group(tmp_path, test)

    def test_removed_member_that_comes_back_joins_again(self, tmp_path):
        async def test(group):
            await group.publish(7)
            group.cut = {"a:1"}
            group.start("d:1")
            await group.wait_voters(["b:1", "c:1", "d:1"])
            group.cut = set()
            await group.wait_voters([*SEEDS, "d:1"])
            await group.publish(9)
            await group.wait_version("a:1", 9)

        run_group(tmp_path, test)


class TestPeerSet:
    def test_peer_that_ends_before_its_task_begins(self):
        async def main():
            async with anyio.create_task_group() as group:
                hello = Hello(1, 1, "control", "x", 1, "fd1")
                peers = PeerSet(hello, group, lambda link: None)
                peers.disconnect(peers.connect("y", "127.0.0.1:1"))
                await anyio.sleep(0.05)
                group.cancel_scope.cancel()

        anyio.run(main)
