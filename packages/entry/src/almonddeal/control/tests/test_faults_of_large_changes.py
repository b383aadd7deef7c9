"""Randomised tests of large changes beside cuts, slow links, kills and compaction."""

import random
from contextlib import suppress

import anyio
import pytest

from almonddeal.control.tests.changing_group import SEEDS, ChangingGroup
from almonddeal.publication.state import compress_content
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.wire.codec import encode
from almonddeal_common.wire.gen.ttypes import Command, PublishConfiguration

N_SEEDS = 3
N_FAULTS = 10
CHUNK_BYTES = 2000
MAX_CHANGE_BYTES = 12_000
COMPACTION_BYTES = 20_000
LINK_RATES_BYTES_PER_S = (float("inf"), 200_000, 40_000)
RECOVERY_S = 20.0  # for a change, once all faults have ended


@pytest.fixture(autouse=True)
def small_limits(monkeypatch):
    control = "almonddeal.control"
    monkeypatch.setattr(f"{control}.transfers.CHUNK_BYTES", CHUNK_BYTES)
    monkeypatch.setattr(f"{control}.leading.MAX_BYTES_PER_APPEND", CHUNK_BYTES)
    monkeypatch.setattr(
        f"{control}.consensus.SNAPSHOT_INTERVAL_BYTES", COMPACTION_BYTES
    )


async def compact(link, process, emit):
    await process.consensus.compact()


class FaultyGroup:
    """Group under random faults, and the changes that it applied.

    Attributes
    ----------
    acknowledged_by_index : dict of int to bytes
        Encoded commands that clients were told were applied.
    applied_by_index : dict of int to bytes
    """

    def __init__(self, folder, tasks, seed):
        self.group = ChangingGroup(folder, tasks, SEEDS)
        self.random = random.Random(seed)
        self.acknowledged_by_index = {}
        self.applied_by_index = {}
        self._last_version = 0
        self._leader_by_term = {}

    def start(self, address):
        """Start a process whose applied commands are compared with all others."""
        process = self.group.start(address, is_bootstrap=True)
        apply = process.state_machine.apply

        def checked(index, command):
            data = encode(command)
            known = self.applied_by_index.setdefault(index, data)
            assert known == data, f"two commands at entry {index}"
            return apply(index, command)

        process.state_machine.apply = checked

    def check_leaders(self):
        """Assert that a term has one leader."""
        for process in self.group.process_by_address.values():
            consensus = process.consensus
            if consensus.is_leader:
                known = self._leader_by_term.setdefault(consensus.term, process.name)
                assert known == process.name, f"two leaders in term {consensus.term}"

    def next_change(self):
        """Return a change of a random size, with a version that no other has."""
        self._last_version += 1
        content = self.random.randbytes(self.random.randrange(MAX_CHANGE_BYTES))
        publish = PublishConfiguration(
            self._last_version, compress_content(content), "test", 0
        )
        return Command(publish=publish)

    async def submit_changes(self):
        """Propose changes one after another; those without a result are left."""
        while True:
            await anyio.sleep(0.01)
            leader = self.group.leader()
            if leader is None:
                continue
            command = self.next_change()
            try:
                result = await leader.consensus.propose(command, 700)
            except AlmonddealError:
                continue
            self.acknowledged_by_index[result.index] = encode(command)

    async def compact_periodically(self):
        while True:
            await anyio.sleep(self.random.uniform(0.05, 0.2))
            for process in list(self.group.process_by_address.values()):
                # Ends with the process.
                with suppress(AlmonddealError):
                    await process.handler_calls.run(compact, process)

    async def inject_fault(self):
        """Inject one random fault, or end those that last."""
        group = self.group
        address = self.random.choice(SEEDS)
        kind = self.random.choice(("kill", "kill all", "cut", "slow", "end faults"))
        if kind == "kill":
            await group.kill(address)
            await anyio.sleep(self.random.uniform(0.0, 0.8))
            self.start(address)
        elif kind == "kill all":
            for each in SEEDS:
                await group.kill(each)
            for each in SEEDS:
                self.start(each)
        elif kind == "cut":
            group.cut_addresses = {address}
        elif kind == "slow":
            group.link_bytes_per_s = self.random.choice(LINK_RATES_BYTES_PER_S)
        else:
            group.cut_addresses = set()
        await anyio.sleep(self.random.uniform(0.1, 0.9))
        self.check_leaders()

    def end_faults(self):
        self.group.cut_addresses = set()
        self.group.link_bytes_per_s = float("inf")


def run_faulty_group(folder, seed, test):
    async def main():
        async with anyio.create_task_group() as tasks:
            faulty = FaultyGroup(folder, tasks, seed)
            for address in SEEDS:
                faulty.start(address)
            await test(faulty)
            tasks.cancel_scope.cancel()

    anyio.run(main)


class TestFaults:
    # Guards against members that apply different commands at an index, acknowledged
    # changes that are lost, and groups that acknowledge nothing after the last fault.
    @pytest.mark.parametrize("seed", range(N_SEEDS))
    def test_members_agree_and_no_acknowledged_change_is_lost(self, tmp_path, seed):
        async def test(faulty):
            async with anyio.create_task_group() as tasks:
                for _ in range(2):
                    tasks.start_soon(faulty.submit_changes)
                tasks.start_soon(faulty.compact_periodically)
                for _ in range(N_FAULTS):
                    await faulty.inject_fault()
                faulty.end_faults()
                await anyio.sleep(0.5)
                tasks.cancel_scope.cancel()
            last = faulty.next_change()
            with anyio.fail_after(RECOVERY_S):
                await faulty.group.submit(last)
                for address in SEEDS:
                    await faulty.group.wait_version(address, last.publish.version)
            assert faulty.acknowledged_by_index
            for index, command in faulty.acknowledged_by_index.items():
                assert faulty.applied_by_index[index] == command
            processes = faulty.group.process_by_address.values()
            assert len({process.state_machine.dump() for process in processes}) == 1

        run_faulty_group(tmp_path, seed, test)
