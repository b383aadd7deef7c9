"""Tests of heartbeats that a member replies to without access to its disk."""

import anyio
import pytest

from almonddeal.control.constants import KIND_NO_OP
from almonddeal.control.tests.fakes import FakeGroup
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.wire.gen.ttypes import AppendLog, AppendLogReply, LogEntry

TERM = 40


def heartbeat(term, leader):
    return AppendLog(term, leader, 0, 0, [], 0)


def run_follower(folder, test):
    """Run a test with a member that follows entry1 in a term."""

    async def main():
        async with anyio.create_task_group() as tasks:
            group = FakeGroup(folder, tasks, seed=1)
            group.start("entry0")
            consensus = group.member_by_name["entry0"].consensus
            entries = [LogEntry(TERM, 1, KIND_NO_OP, b"")]
            append = AppendLog(TERM, "entry1", 0, 0, entries, 0)
            assert (await consensus.handle_append(None, append, None)).ok
            await test(consensus)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def only_refuses_heartbeats(term):
    """Return a handler of appends of a member in a later term, whose disk is busy."""

    async def handle(link, message, emit):
        if message.prev_index:
            await anyio.sleep_forever()
        return AppendLogReply(term, False, 0)

    return handle


class TestHeartbeat:
    def test_leader_gets_a_reply_while_the_disk_is_busy(self, tmp_path):
        async def test(consensus):
            async with consensus.disk_lock:
                with anyio.fail_after(1):
                    message = heartbeat(TERM, "entry1")
                    reply = await consensus.handle_append(None, message, None)
            assert (reply.term, reply.ok) == (TERM, True)

        run_follower(tmp_path, test)

    # Guards against a former leader whose heartbeats keep members from an election.
    def test_former_leader_is_refused(self, tmp_path):
        async def test(consensus):
            message = heartbeat(TERM - 1, "entry2")
            reply = await consensus.handle_append(None, message, None)
            assert (reply.term, reply.ok) == (TERM, False)

        run_follower(tmp_path, test)

    # Guards against a read that a member confirms for a leader it has not accepted.
    def test_leader_of_a_later_term_is_accepted_first(self, tmp_path):
        async def test(consensus):
            message = heartbeat(TERM + 1, "entry2")
            reply = await consensus.handle_append(None, message, None)
            assert reply.term == consensus.term == TERM + 1
            assert consensus.leader == "entry2"

        run_follower(tmp_path, test)

    # Guards against a stale read at a leader that takes refusals for confirmations.
    def test_refused_heartbeat_confirms_no_read(self, tmp_path):
        async def main():
            async with anyio.create_task_group() as tasks:
                group = FakeGroup(tmp_path, tasks, seed=1)
                group.start_all()
                with anyio.fail_after(10):
                    while group.leader() is None:
                        await anyio.sleep(0.02)
                leader = group.leader().consensus
                await leader.read_index(2000)
                for member in group.member_by_name.values():
                    refuse = only_refuses_heartbeats(leader.term + 1)
                    member.handler_by_type[AppendLog] = refuse
                # Replies to calls that were sent before are no refusals.
                await anyio.sleep(0.05)
                with pytest.raises(AlmonddealError, match="NO_QUORUM"):
                    await leader.read_index(600)
                tasks.cancel_scope.cancel()

        anyio.run(main)
