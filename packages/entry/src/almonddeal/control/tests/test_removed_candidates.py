"""Tests of a member that is removed while it stands for election."""

import random

import anyio

from almonddeal.control import consensus
from almonddeal.control.constants import KIND_MEMBERS
from almonddeal.control.members import Members
from almonddeal.control.tests.changing_group import SEEDS, ChangingGroup, Process
from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_common.wire.codec import encode
from almonddeal_common.wire.gen.ttypes import AppendLog, LogEntry, VoteReply

SEED = 1
SYNC_S = 0.01


async def run_without_thread(function, *args):
    await anyio.sleep(SYNC_S)
    return function(*args)


class VotingPeer:
    """Peer that grants each vote."""

    is_up = True

    def __init__(self, name):
        self.name = name

    async def call(self, message, timeout_ms):
        return VoteReply(message.term, True)


class TestRemovedCandidate:
    # Guards against a member that won a pre-vote, stores its own removal before it
    # stands, and counts its own vote in a group to which it does not belong: another
    # member can win the same term.
    def test_it_does_not_count_its_own_vote(self, tmp_path, monkeypatch):
        random.seed(SEED)
        monkeypatch.setattr(consensus.to_thread, "run_sync", run_without_thread)

        async def main():
            async with anyio.create_task_group() as tasks:
                group = ChangingGroup(tmp_path, tasks, SEEDS)
                member = Process(group, SEEDS[2], True).consensus
                names = sorted(member.members.address_by_name)
                member._peer_by_name.update({n: VotingPeer(n) for n in names[:2]})
                members = Members(dict(zip(names[:2], SEEDS, strict=False)), 3)
                removal = LogEntry(
                    member.term, 1, KIND_MEMBERS, encode(members.to_wire())
                )
                message = AppendLog(member.term, names[0], 0, 0, [removal], 0)
                tasks.start_soon(member.handle_append, None, message, None)
                await anyio.sleep(SYNC_S / 2)
                await member._stand_in_term(member.term + 1)
                assert member.name not in member.members
                assert not member.is_leader
                tasks.cancel_scope.cancel()

        run_in_virtual_time(main)
