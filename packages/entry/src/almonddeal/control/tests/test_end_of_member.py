"""Tests of a member whose tasks are cancelled while a handler stores a change."""

import anyio
import pytest

from almonddeal.control.consensus import Consensus
from almonddeal.control.constants import KIND_MEMBERS
from almonddeal.control.identity import initial_voter_name, store_initial_members
from almonddeal.control.members import JoinRequest
from almonddeal.control.storage import LogStore
from almonddeal.control.tests.changing_group import SEEDS
from almonddeal.publication.state import Publication
from almonddeal_common.wire.codec import encode
from almonddeal_common.wire.gen.ttypes import AppendLog, LogEntry


class UnreachablePeer:
    """Peer of a member that cannot be reached."""

    is_up = False

    def __init__(self, name, address):
        self.name = name


class GatedMember(Consensus):
    """Member whose disk operations wait in the event loop until `disk_gate` is set."""

    def __init__(self, name, store):
        super().__init__(
            name, {}, store, Publication(), None, UnreachablePeer, lambda peer: None
        )
        self.disk_gate = anyio.Event()

    async def _run_disk_io(self, function, *args):
        with anyio.CancelScope(shield=True):
            await self.disk_gate.wait()
        return function(*args)


class TestEndOfMember:
    # Guards against a member that never ends: a cancelled task group does not cancel a
    # task that is started after its other tasks have ended.
    @pytest.mark.parametrize("n_checkpoints", range(12))
    def test_member_ends_beside_a_handler_that_stores_a_member_change(
        self, tmp_path, n_checkpoints
    ):
        async def main(store):
            member = GatedMember(initial_voter_name("a:1"), store)
            joined = member.members.with_voter(JoinRequest("w", "d:1", False))
            entry = LogEntry(1, 1, KIND_MEMBERS, encode(joined.to_wire()))
            leader = initial_voter_name("b:1")
            message = AppendLog(1, leader, 0, 0, [entry], 0, member.name)
            scope = anyio.CancelScope()
            is_ended = anyio.Event()

            async def run():
                with scope:
                    await member.run()
                is_ended.set()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run)
                tasks.start_soon(member.handle_append, None, message, None)
                await anyio.sleep(0.02)
                scope.cancel()
                for _ in range(n_checkpoints):
                    await anyio.lowlevel.checkpoint()
                member.disk_gate.set()
                with anyio.move_on_after(2):
                    await is_ended.wait()
                has_ended = is_ended.is_set()
                for replication_scope in member._replication_scope_by_name.values():
                    replication_scope.cancel()
            assert "w" in member.members
            assert has_ended

        with LogStore(tmp_path, pytest.fail) as store:
            store_initial_members(store, SEEDS)
            anyio.run(main, store)
