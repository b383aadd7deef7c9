"""Tests of requests to become a voter, for the first time or again."""

import anyio

from almonddeal.control.tests.changing_group import (
    SEEDS,
    run_group_in_virtual_time,
)
from almonddeal.control.tests.slow_group import CATCH_UP_S
from almonddeal_common.codes import NOT_LEADER
from almonddeal_common.wire.gen.ttypes import JoinGroup


async def wait_voter(group, address, is_voter):
    """Wait until the process at an address is, or is not, a voter for the leader."""
    with anyio.fail_after(20):
        while True:
            leader = group.leader()
            if leader is not None:
                members = leader.consensus.members
                if (address in members.address_by_name.values()) == is_voter:
                    return
            await anyio.sleep(0.01)


class TestReturningMember:
    # Guards against a member of the first start that is removed while it is out of
    # reach, and enlarges the group when it returns: the group then keeps a voter that
    # is lost later, beside its successor.
    def test_wanted_size_of_the_group_stays(self, tmp_path, monkeypatch):
        async def test(group):
            leader = group.leader().address
            cut, other = (a for a in SEEDS if a != leader)
            group.cut_addresses = {cut}
            group.start("d:1")
            await wait_voter(group, "d:1", True)
            await wait_voter(group, cut, False)
            group.cut_addresses = set()
            members = await group.wait_voters([leader, cut, other, "d:1"])
            assert members.n_wanted == len(SEEDS)
            await group.kill(other, wipe=True)
            await group.wait_voters([leader, cut, "d:1"])

        run_group_in_virtual_time(tmp_path, monkeypatch, test)


class TestJoiningMember:
    # Guards against a process that does not become a voter as long as changes arrive
    # in less time than its disk takes for one.
    def test_it_becomes_a_voter_beside_steady_changes(self, tmp_path, monkeypatch):
        async def run_with_delay(function, *args):
            is_joining = function.__self__._folder.name == "d:1"
            await anyio.sleep(0.4 if is_joining else 0.005)
            return function(*args)

        async def test(group):
            async def publish_periodically():
                for version in range(2, 1000):
                    await group.publish(version)
                    await anyio.sleep(0.1)

            async with anyio.create_task_group() as operators:
                operators.start_soon(publish_periodically)
                group.start("d:1")
                with anyio.fail_after(CATCH_UP_S):
                    await wait_voter(group, "d:1", True)
                operators.cancel_scope.cancel()

        run_group_in_virtual_time(tmp_path, monkeypatch, test, run_with_delay)


class TestJoinRequest:
    # Guards against a process that does not become a voter as it reaches only members
    # that do not lead.
    def test_follower_passes_it_on_to_the_leader(self, tmp_path, monkeypatch):
        async def test(group):
            leader = group.leader()
            follower = next(a for a in SEEDS if a != leader.address)
            group.refused_joins = set(SEEDS) - {follower}
            group.start("d:1")
            with anyio.fail_after(1.0):
                await wait_voter(group, "d:1", True)

        run_group_in_virtual_time(tmp_path, monkeypatch, test)

    def test_members_that_know_no_leader_do_not_pass_it_on_for_ever(
        self, tmp_path, monkeypatch
    ):
        async def test(group):
            first, second = (
                group.process_by_address[a].consensus
                for a in SEEDS
                if a != group.leader().address
            )
            await group.kill(group.leader().address)
            first.leader, second.leader = second.name, first.name
            request = JoinGroup("w", "d:1", False)
            reply = await first.handle_join(None, request, None)
            assert reply.code == NOT_LEADER.number

        run_group_in_virtual_time(tmp_path, monkeypatch, test)


class TestLeavingMember:
    # Guards against a stop that waits for the successor of another member, which asked
    # to join and does not run any more.
    def test_it_does_not_wait_for_a_process_that_is_gone(self, tmp_path, monkeypatch):
        async def test(group):
            leader = group.leader()
            request = JoinGroup("w", "d:1", False)
            await leader.consensus.handle_join(None, request, None)
            stopping = next(
                process
                for process in group.process_by_address.values()
                if process is not leader
            )
            with anyio.fail_after(0.5):
                await stopping.stop()
            assert stopping.name in leader.consensus.members

        run_group_in_virtual_time(tmp_path, monkeypatch, test)
