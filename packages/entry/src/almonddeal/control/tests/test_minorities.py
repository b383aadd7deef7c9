"""Randomised tests of groups of which a minority stalls, is cut off or restarts."""

import os
import random
from contextlib import suppress

import anyio
import pytest

from almonddeal.control import consensus
from almonddeal.control.consensus import Consensus
from almonddeal.control.proposals import PendingProposals
from almonddeal.control.tests import changing_group
from almonddeal.control.tests.changing_group import AddressPeer, ChangingGroup
from almonddeal.publication.state import compress_content
from almonddeal_common.codes import LINK_LOST, AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_common.wire.gen.ttypes import Command, PublishConfiguration

FIRST_SEED = int(os.environ.get("ALMONDDEAL_FIRST_SEED", "0"))
N_SEEDS = int(os.environ.get("ALMONDDEAL_N_SEEDS", "1"))
N_VOTERS = (3, 4, 5)
N_EPOCHS = 4
SYNCS_S = (0.002, 0.01, 0.15)
MAX_GAP_S = 8.0  # without an acknowledged change
KINDS = ("stall", "hang", "cut", "in", "out", "kill", "flap")
EPOCH_S = 12.0


class DirectedPeer(AddressPeer):
    """Peer whose replies are lost where only the way back is cut."""

    async def call(self, message, timeout_ms):
        group = self._group
        reply = None
        with anyio.move_on_after(timeout_ms / 1000):
            reply = await super().call(message, timeout_ms)
            while (self._address, self._source) in group.cut_pairs:
                await anyio.sleep(0.02)
        if reply is None:
            raise AlmonddealError(LINK_LOST, "no reply")
        return reply


class FlakyGroup(ChangingGroup):
    """Group with links that are cut one way and disks that stall."""

    def __init__(self, folder, tasks, addresses, seed):
        super().__init__(folder, tasks, addresses)
        self.random = random.Random(seed)
        self.cut_pairs = set()
        self.stalled_until_s = {}
        self.sync_s = {}
        self.version = 0
        self.acked = 0
        self.acked_at_s = anyio.current_time()
        self.log = []
        self.max_gap_s = 0.0

    def is_reachable(self, source, address):
        is_cut = (source, address) in self.cut_pairs
        return super().is_reachable(source, address) and not is_cut

    async def run_disk_io(self, function, *args):
        await anyio.lowlevel.checkpoint()
        address = function.__self__._folder.name
        with anyio.CancelScope(shield=True):
            now_s = anyio.current_time()
            await anyio.sleep(max(0.0, self.stalled_until_s.get(address, 0.0) - now_s))
            try:
                return function(*args)
            finally:
                sync_s = self.sync_s.get(address, 0.002)
                await anyio.sleep(self.random.uniform(0.5, 1.5) * sync_s)
                now_s = anyio.current_time()
                await anyio.sleep(
                    max(0.0, self.stalled_until_s.get(address, 0.0) - now_s)
                )

    async def publish_periodically(self):
        while True:
            await anyio.sleep(self.random.uniform(0.02, 0.2))
            leader = self.leader()
            if leader is None:
                continue
            self.version += 1
            version = self.version
            content = compress_content(self.random.randbytes(300))
            command = Command(publish=PublishConfiguration(version, content, "t", 0))

            async def propose(link, message, emit, leader=leader, command=command):
                result = await leader.consensus.propose(command, 1000)
                self.acked = max(self.acked, result.publish.version_in_force)

            with suppress(AlmonddealError):
                await leader.handler_calls.run(propose, None)
                now_s = anyio.current_time()
                self.max_gap_s = max(self.max_gap_s, now_s - self.acked_at_s)
                self.acked_at_s = now_s

    async def disturb(self, address, until_s):
        kind = self.random.choice(KINDS)
        others = [a for a in self.seeds if a != address]
        while anyio.current_time() < until_s:
            await anyio.sleep(self.random.uniform(0.0, 3.0))
            for_s = self.random.uniform(0.3, 5.0)
            self.log.append((round(anyio.current_time() - 1000, 2), kind, address))
            if kind == "stall":
                self.stalled_until_s[address] = anyio.current_time() + for_s
                await anyio.sleep(for_s)
            elif kind == "hang":
                self.stalled_until_s[address] = until_s
                await anyio.sleep(max(0.0, until_s - anyio.current_time()))
            elif kind in ("cut", "in", "out", "flap"):
                pairs = set()
                if kind in ("cut", "in", "flap"):
                    pairs |= {(other, address) for other in others}
                if kind in ("cut", "out", "flap"):
                    pairs |= {(address, other) for other in others}
                self.cut_pairs |= pairs
                await anyio.sleep(min(for_s, 0.9) if kind == "flap" else for_s)
                self.cut_pairs -= pairs
            elif address in self.process_by_address:
                await self.kill(address)
                await anyio.sleep(min(for_s, 1.5))
                self.start(address)


async def _run(folder, monkeypatch, seed, n_voters):
    addresses = [f"{letter}:1" for letter in "abcde"[:n_voters]]
    leader_by_term, vote_by_voter, entry_by_index = {}, {}, {}
    become_leader, store_vote = Consensus._become_leader, Consensus._store_vote
    append_members, resolve = Consensus._append_members, PendingProposals.resolve
    elections = []

    def checked_become_leader(self):
        assert leader_by_term.setdefault(self.term, self.name) == self.name
        assert self._store.meta.term == self.term
        assert self._store.meta.voted_for == self.name
        elections.append((round(anyio.current_time() - 1000, 2), self.term, self.name))
        become_leader(self)

    async def checked_store_vote(self, term, candidate):
        await store_vote(self, term, candidate)
        if candidate:
            key = self.name, term
            assert vote_by_voter.setdefault(key, candidate) == candidate, key

    def checked_append_members(self, members):
        assert self.members_index <= self.commit_index or members is self.members
        if members is not self.members:
            assert self.role == consensus.LEADER
            assert self.commit_index >= self._first_index_of_term
        append_members(self, members)

    def checked_resolve(self, entry, result):
        known = entry_by_index.setdefault(entry.index, (entry.term, entry.command))
        assert known == (entry.term, entry.command), entry.index
        resolve(self, entry, result)

    monkeypatch.setattr(Consensus, "_become_leader", checked_become_leader)
    monkeypatch.setattr(Consensus, "_store_vote", checked_store_vote)
    monkeypatch.setattr(Consensus, "_append_members", checked_append_members)
    monkeypatch.setattr(PendingProposals, "resolve", checked_resolve)
    async with anyio.create_task_group() as tasks:
        group = FlakyGroup(folder, tasks, addresses, seed)
        monkeypatch.setattr(consensus.to_thread, "run_sync", group.run_disk_io)
        for address in addresses:
            group.start(address, is_bootstrap=True)
        await anyio.sleep(3.0)
        for _ in range(3):
            tasks.start_soon(group.publish_periodically)
        await anyio.sleep(1.0)
        for _ in range(N_EPOCHS):
            group.sync_s = {a: group.random.choice(SYNCS_S) for a in addresses}
            n_bad = group.random.randint(1, (n_voters - 1) // 2)
            bad = group.random.sample(addresses, n_bad)
            group.log.append((round(anyio.current_time() - 1000, 2), "bad", bad))
            until_s = anyio.current_time() + EPOCH_S
            async with anyio.create_task_group() as faults:
                for address in bad:
                    faults.start_soon(group.disturb, address, until_s)
            group.cut_pairs = set()
            group.stalled_until_s = {}
            await anyio.sleep(2.0)
        await anyio.sleep(3.0)
        leader = group.leader()
        gap_s = max(group.max_gap_s, anyio.current_time() - group.acked_at_s)
        print("gap", round(gap_s, 2), "elections", len(elections), "acked", group.acked)
        print(*group.log, sep="\n  ")
        print(*elections, sep="\n  ")
        assert leader is not None
        await leader.consensus.read_index(1000)
        assert leader.state_machine.version >= group.acked
        assert gap_s < MAX_GAP_S
        tasks.cancel_scope.cancel()


class TestMinority:
    # Guards against two leaders in a term, a second vote, different entries at an
    # index, overlapping membership changes and a majority that serves no changes, while
    # fewer than half of the members stall, hang, restart or are cut off, also one way.
    @pytest.mark.parametrize("n_voters", N_VOTERS)
    @pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + N_SEEDS))
    def test_majority_serves(self, tmp_path, monkeypatch, seed, n_voters):
        random.seed(seed)
        monkeypatch.setattr(changing_group, "AddressPeer", DirectedPeer)
        monkeypatch.setattr(
            "almonddeal.control.identity.secrets.token_hex",
            lambda n_bytes: random.randbytes(n_bytes).hex(),
        )
        run_in_virtual_time(_run, tmp_path, monkeypatch, seed, n_voters)
