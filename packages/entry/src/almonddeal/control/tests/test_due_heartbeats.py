"""Tests of heartbeats beside calls that take long."""

import asyncio
import time

import anyio
import pytest

from almonddeal.control.consensus import Consensus
from almonddeal.control.constants import LEADER_HEARTBEAT_INTERVAL_MS
from almonddeal.control.identity import initial_voter_name, store_initial_members
from almonddeal.control.storage import LogStore
from almonddeal.control.tests.changing_group import SEEDS
from almonddeal.publication.state import Publication
from almonddeal_common.wire.gen.ttypes import AppendLogReply, Vote, VoteReply


class _SilentPeer:
    """Peer that grants votes and answers heartbeats, and nothing else."""

    is_up = True

    def __init__(self, on_heartbeat):
        self._on_heartbeat = on_heartbeat

    async def call(self, message, timeout_ms):
        if isinstance(message, Vote):
            return VoteReply(message.term, True)
        if message.prev_index or message.entries:
            await anyio.sleep_forever()
        self._on_heartbeat()
        return AppendLogReply(message.term, True, 0)


class TestHeartbeats:
    # Guards against a process that ends as a peer is removed just when its next
    # heartbeat is due.
    def test_peer_may_be_removed_before_a_heartbeat(self, tmp_path):
        own_name, removed, _ = map(initial_voter_name, SEEDS)
        is_removed = anyio.Event()

        def remove():
            members = consensus.members.without_voter(removed)
            consensus._set_members(members, consensus.members_index)
            is_removed.set()

        def remove_with_next_heartbeat():
            # The event loop stalls until the timer of the heartbeat, and of the removal
            # after it, are both due.
            if not is_removed.is_set():
                loop = asyncio.get_running_loop()
                interval_s = LEADER_HEARTBEAT_INTERVAL_MS / 1000
                loop.call_later(interval_s - 0.03, time.sleep, 0.06)
                loop.call_later(interval_s + 0.01, remove)

        def connect(name, address):
            on_heartbeat = {removed: remove_with_next_heartbeat}
            return _SilentPeer(on_heartbeat.get(name, lambda: None))

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(consensus.run)
                with anyio.fail_after(20):
                    await is_removed.wait()
                await anyio.sleep(0.3)
                tasks.cancel_scope.cancel()

        with LogStore(tmp_path, pytest.fail) as store:
            store_initial_members(store, SEEDS)
            consensus = Consensus(
                own_name, {}, store, Publication(), None, connect, lambda peer: None
            )
            anyio.run(main)
