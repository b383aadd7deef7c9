"""Control group in virtual time whose disks take their time for each sync.

Run as a module, it prints how long the replacement of a member takes::

    python -m almonddeal.control.tests.slow_group [N_SEEDS]
"""

import os
import random
import sys
import tempfile
from contextlib import suppress
from pathlib import Path

import anyio
import pytest

from almonddeal.control import consensus
from almonddeal.control.tests.changing_group import SEEDS, ChangingGroup, Process
from almonddeal.control.tests.faulty_disk import SYNC, SYNC_FOLDER, Disk, Disks
from almonddeal.publication.state import compress_content
from almonddeal.roles.control import LEAVE_TIMEOUT_S
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_common.wire.gen.ttypes import Command, PublishConfiguration

CATCH_UP_S = 4.0  # from the start of a process until it no longer counts as lost
START_S = 0.8  # from exec until a process opens its data folder
RESTART_S = 1.0
FREEZE_S = 1.0
STALL_S = 3.5
N_CONTENT_BYTES = 3000
PUBLISH_INTERVAL_S = 0.3
MAX_WAIT_S = 30.0
FIRST_SNAPSHOT_ENTRIES = 5  # so that a successor needs a snapshot

LEADER, FOLLOWER = "leader", "follower"
SAME_ADDRESS, NEW_ADDRESS, PLANNED = "same address", "new address", "planned"
CALM, KILLED, FROZEN, STALLED = "calm", "killed", "frozen", "stalled"


class Replacement:
    """Times of a replacement, in s of virtual time.

    Attributes
    ----------
    started_s : float
        Start of the process of the new member.
    stall_end_s : float
        End of the stall of another member's disk; 0 without one.
    completed_s : float
        Time at which the voters all run.
    """

    __slots__ = ("completed_s", "stall_end_s", "started_s")

    def __init__(self, started_s, stall_end_s, completed_s):
        self.started_s = started_s
        self.stall_end_s = stall_end_s
        self.completed_s = completed_s


class SlowDisk(Disk):
    """Disk that counts its syncs."""

    def __init__(self, folder):
        super().__init__(folder)
        self.n_syncs = 0

    def check(self, kind, n_bytes=0):
        self.n_syncs += kind in (SYNC, SYNC_FOLDER)
        return super().check(kind, n_bytes)


class SlowDisks(Disks):
    """Disks that count their syncs."""

    def disk(self, folder):
        """Return the disk of a data folder."""
        folder = Path(folder).resolve()
        if folder not in self.disk_by_folder:
            self.disk_by_folder[folder] = SlowDisk(folder)
        return self.disk_by_folder[folder]


class SlowGroup(ChangingGroup):
    """Control group of processes that take their time to start and to sync.

    Attributes
    ----------
    sync_s : float
        Time that each disk takes for a sync.
    stalled_until_s_by_address : dict of str to float
        Time until which a disk finishes no operation.
    """

    def __init__(self, folder, tasks, disks, seed, sync_s):
        super().__init__(folder, tasks, SEEDS)
        self.random = random.Random(seed)
        self.sync_s = sync_s
        self.stalled_until_s_by_address = {}
        self._disks = disks
        self._version = 0

    async def run_disk_io(self, function, *args):
        """Run a disk operation without a thread, which virtual time does not have."""
        await anyio.lowlevel.checkpoint()
        store = function.__self__
        with anyio.CancelScope(shield=True):
            address = store._folder.name
            return await self._run_with_delay(address, lambda: function(*args))

    async def _run_with_delay(self, address, function):
        disk = self._disks.disk(self.folder / address)
        n_syncs = disk.n_syncs
        try:
            return function()
        finally:
            delay_s = (disk.n_syncs - n_syncs) * self.sync_s
            stalled_until_s = self.stalled_until_s_by_address.get(address, 0.0)
            stall_s = max(0.0, stalled_until_s - anyio.current_time())
            await anyio.sleep(delay_s + stall_s)

    async def start_slowly(self, address, is_bootstrap=False, start_s=START_S):
        """Start a process; return once its data folder is open."""
        await anyio.sleep(start_s)
        process = await self._run_with_delay(
            address, lambda: Process(self, address, is_bootstrap)
        )
        self.process_by_address[address] = process
        self._tasks.start_soon(process.run)
        self._tasks.start_soon(self._compact_periodically, process)

    async def _compact_periodically(self, process):
        async def compact(link, message, emit):
            await process.consensus.compact()

        while self.process_by_address.get(process.address) is process:
            await anyio.sleep(self.random.uniform(0.5, 1.5))
            with suppress(AlmonddealError):
                await process.handler_calls.run(compact, None)

    async def publish_periodically(self):
        while True:
            await anyio.sleep(self.random.expovariate(1 / PUBLISH_INTERVAL_S))
            leader = self.leader()
            if leader is not None:
                self._version += 1
                content = compress_content(self.random.randbytes(N_CONTENT_BYTES))
                publish = PublishConfiguration(self._version, content, "test", 0)
                with suppress(AlmonddealError):
                    await leader.consensus.propose(Command(publish=publish), 1000)

    def has_running_voters(self):
        """Tell whether the running processes, and no others, are the voters.

        That is, most of them have these members as the last ones on their disks.
        """
        members = [process.consensus for process in self.process_by_address.values()]
        names = {member.name for member in members}
        n_aware = sum(
            set(member.members.address_by_name) == names
            and member._durable_index >= member.members_index
            for member in members
        )
        return n_aware > len(names) // 2

    async def disturb(self, kind, address):
        """Disturb a member in a way that does not lose its disk."""
        if kind == KILLED:
            await self.kill(address)
            await anyio.sleep(RESTART_S - START_S)
            await self.start_slowly(address)
        elif kind == FROZEN:
            self.cut_addresses = {address}
            await anyio.sleep(FREEZE_S)
            self.cut_addresses = set()
        elif kind == STALLED:
            until_s = anyio.current_time() + STALL_S
            self.stalled_until_s_by_address[address] = until_s

    async def replace(self, lost, how):
        """Replace a member; return the time at which its successor was started."""
        address = lost if how == SAME_ADDRESS else "d:1"
        gap_s = self.random.uniform(0.3, 2.0)
        if how == PLANNED:
            started_s = anyio.current_time()
            await self.start_slowly(address)
            await anyio.sleep(max(0.0, gap_s - START_S))
            with anyio.move_on_after(LEAVE_TIMEOUT_S):
                await self.process_by_address[lost].stop()
            await self.kill(lost, wipe=True)
            return started_s
        await self.kill(lost, wipe=True)
        await anyio.sleep(gap_s)
        started_s = anyio.current_time()
        await self.start_slowly(address)
        return started_s


async def _measure(folder, disks, monkeypatch, seed, sync_s, role, how, beside, rate):
    async with anyio.create_task_group() as tasks:
        group = SlowGroup(folder, tasks, disks, seed, 0.001)
        monkeypatch.setattr(consensus.to_thread, "run_sync", group.run_disk_io)
        async with anyio.create_task_group() as starts:
            for address in SEEDS:
                start_s = group.random.uniform(0.0, 0.3)
                starts.start_soon(group.start_slowly, address, True, start_s)
        tasks.start_soon(group.publish_periodically)
        with monkeypatch.context() as first_snapshots:
            first_snapshots.setattr(
                consensus, "SNAPSHOT_INTERVAL_ENTRIES", FIRST_SNAPSHOT_ENTRIES
            )
            await anyio.sleep(3.0)
        group.sync_s = sync_s
        group.link_bytes_per_s = rate
        await anyio.sleep(group.random.uniform(1.0, 3.0))
        leader = group.leader()
        while leader is None:
            await anyio.sleep(0.01)
            leader = group.leader()
        followers = [a for a in SEEDS if a != leader.address]
        lost = leader.address if role == LEADER else group.random.choice(followers)
        other = group.random.choice([a for a in SEEDS if a != lost])
        tasks.start_soon(group.disturb, beside, other)
        started_s = await group.replace(lost, how)
        with anyio.move_on_after(MAX_WAIT_S):
            while not group.has_running_voters():
                await anyio.sleep(0.01)
        completed_s = anyio.current_time()
        stall_end_s = max(group.stalled_until_s_by_address.values(), default=0.0)
        tasks.cancel_scope.cancel()
    return Replacement(started_s, stall_end_s, completed_s)


def measure_replacement_s(*args, **kwargs):
    """Return the time from the start of a new member to voters that all run.

    Parameters are those of `run_replacement`.
    """
    replacement = run_replacement(*args, **kwargs)
    return replacement.completed_s - replacement.started_s


def run_replacement(folder, seed, sync_s, role, how, beside=CALM, rate=float("inf")):
    """Replace a member of a group in virtual time; return the `Replacement`.

    Parameters
    ----------
    folder : path-like
        Empty folder.
    seed : int
    sync_s : float
        Time of a sync on each disk.
    role : {LEADER, FOLLOWER}
        Role of the member that is lost with its disk.
    how : {SAME_ADDRESS, NEW_ADDRESS, PLANNED}
        Where its successor starts; if planned, before the member is stopped.
    beside : {CALM, KILLED, FROZEN, STALLED}
        Fault of another member at the same time.
    rate : float
        Rate of the links in bytes/s.
    """
    random.seed(seed)
    disks = SlowDisks()
    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr("time.sleep", lambda seconds: None)
        monkeypatch.setattr(
            "almonddeal.control.identity.secrets.token_hex",
            lambda n_bytes: random.randbytes(n_bytes).hex(),
        )
        disks.install(monkeypatch)
        try:
            return run_in_virtual_time(
                _measure,
                Path(folder),
                disks,
                monkeypatch,
                seed,
                sync_s,
                role,
                how,
                beside,
                rate,
            )
        finally:
            disks.close()


def _print_row(n_seeds, *conditions):
    durations_s = []
    for seed in range(n_seeds):
        with tempfile.TemporaryDirectory() as folder:
            durations_s.append(measure_replacement_s(folder, seed, *conditions))
    durations_s.sort()
    n_late = sum(duration_s > CATCH_UP_S for duration_s in durations_s)
    median_s = durations_s[len(durations_s) // 2]
    sync_s, role, how, beside, rate = conditions
    print(
        f"| {sync_s * 1000:.0f} | {role} | {how} | {beside} | {rate:.0f} "
        f"| {median_s:.2f} | {durations_s[-1]:.2f} | {n_late} of {n_seeds} |",
        flush=True,
    )


def main():
    """Print the times of replacement under each condition, as a table."""
    n_seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    besides = os.environ.get("ALMONDDEAL_BESIDE", CALM).split(",")
    rates = [float(r) for r in os.environ.get("ALMONDDEAL_RATES", "inf").split(",")]
    print(
        "| ms a sync | lost | successor | beside | bytes/s | median s | max s | late |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for beside in besides:
        for rate in rates:
            for how in (SAME_ADDRESS, NEW_ADDRESS, PLANNED):
                for role in (FOLLOWER, LEADER):
                    for sync_s in (0.001, 0.005, 0.03, 0.15):
                        _print_row(n_seeds, sync_s, role, how, beside, rate)


if __name__ == "__main__":
    main()
