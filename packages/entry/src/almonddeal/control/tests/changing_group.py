"""In-process control group whose members join, leave and lose their disks."""

import random
import shutil

import anyio

from almonddeal.control import consensus
from almonddeal.control.consensus import Consensus
from almonddeal.control.identity import load_identity, store_initial_members
from almonddeal.control.storage import LogStore
from almonddeal.control.tests.fakes import HandlerCalls, ProcessEnded
from almonddeal.publication.state import Publication, compress_content
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import LINK_LOST, NOT_LEADER, NOT_REACHED, AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_common.wire.codec import decode, encode
from almonddeal_common.wire.gen.ttypes import (
    AppendLog,
    Command,
    InstallSnapshot,
    JoinGroup,
    PublishConfiguration,
    Vote,
)

SEEDS = ["a:1", "b:1", "c:1"]


class AddressPeer:
    """Peer that reaches the process that runs at an address at the time of a call."""

    def __init__(self, group, source, name, address):
        self.name = name
        self._group = group
        self._source = source
        self._address = address

    @property
    def is_up(self):
        return self._group.is_reachable(self._source, self._address)

    async def call(self, message, timeout_ms):
        if not self.is_up:
            raise AlmonddealError(NOT_REACHED, self._address)
        process = self._group.process_by_address[self._address]
        data = encode(message)
        copied = decode(type(message), data)
        with anyio.move_on_after(timeout_ms / 1000):
            await self._group.transmit(self._source, self._address, len(data))
            handler = process.handler_by_type[type(message)]
            reply = await process.handler_calls.run(handler, copied)
            if not self.is_up:
                raise AlmonddealError(LINK_LOST, self._address)
            return reply
        raise AlmonddealError(LINK_LOST, "no reply")


class Process:
    """One process with its data folder; an initial voter or a joining one."""

    def __init__(self, group, address, is_bootstrap):
        folder = group.folder / address
        self.address = address
        self.name, initial_addresses = load_identity(
            folder, address, group.seeds, is_bootstrap
        )
        self.state_machine = Publication()
        self.store = LogStore(folder, group.end_process)
        self.store.__enter__()
        store_initial_members(self.store, initial_addresses)
        self.consensus = Consensus(
            self.name,
            {},
            self.store,
            self.state_machine,
            connect=lambda name, at: AddressPeer(group, address, name, at),
            disconnect=lambda peer: None,
        )
        self.handler_by_type = {
            Vote: self.consensus.handle_vote,
            AppendLog: self.consensus.handle_append,
            InstallSnapshot: self.consensus.handle_snapshot,
            JoinGroup: self.consensus.handle_join,
        }
        self.handler_calls = HandlerCalls()
        self.scope = anyio.CancelScope()
        self._group = group
        self._is_stopping = False
        self._is_first_start = is_bootstrap

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.consensus.run)
                tasks.start_soon(self._join)

    async def stop(self):
        """Leave the group as a process does on SIGTERM."""
        self._is_stopping = True
        await self.consensus.leave()

    async def _join(self):
        while not self._is_stopping:
            request = self.consensus.make_join_request(
                self.address, self._is_first_start
            )
            if self.name not in self.consensus.members or self.consensus.is_leaderless:
                for address in list(self._group.process_by_address):
                    if address not in (self.address, *self._group.refused_joins):
                        await self._request_join(address, request)
            await anyio.sleep(0.05)

    async def _request_join(self, address, request):
        peer = AddressPeer(self._group, self.address, "", address)
        try:
            await peer.call(request, 300)
        except AlmonddealError:
            # `_join` repeats the request.
            return


class ChangingGroup:
    """Control group of processes, which can be cut off, killed and wiped.

    Parameters
    ----------
    folder : pathlib.Path
    tasks : anyio.abc.TaskGroup
    seeds : list of str
        Link addresses of the initial voters.

    Attributes
    ----------
    link_bytes_per_s : float
        Rate of each link in each direction.
    refused_joins : set of str
        Addresses that a process does not reach with its join requests.
    """

    def __init__(self, folder, tasks, seeds):
        self.folder = folder
        self.seeds = seeds
        self.process_by_address = {}
        self.cut_addresses = set()
        self.refused_joins = set()
        self.link_bytes_per_s = float("inf")
        self._busy_until_ms_by_link = {}
        self._tasks = tasks

    @staticmethod
    def end_process(reason):
        raise ProcessEnded(reason)

    def is_reachable(self, source, address):
        is_cut = source in self.cut_addresses or address in self.cut_addresses
        return address in self.process_by_address and not is_cut

    async def transmit(self, source, address, n_bytes):
        """Wait until a link has transmitted a message, behind those before it.

        A message occupies the link until its end, also if its caller stops waiting.
        """
        now_ms = monotonic_ms()
        busy_until_ms = self._busy_until_ms_by_link.get((source, address), now_ms)
        arrival_ms = max(now_ms, busy_until_ms) + n_bytes / self.link_bytes_per_s * 1000
        self._busy_until_ms_by_link[source, address] = arrival_ms
        await anyio.sleep((arrival_ms - now_ms) / 1000 + 0.001)

    def start(self, address, is_bootstrap=False):
        process = Process(self, address, is_bootstrap)
        self.process_by_address[address] = process
        self._tasks.start_soon(process.run)
        return process

    async def kill(self, address, wipe=False):
        process = self.process_by_address.pop(address)
        process.scope.cancel()
        process.handler_calls.end()
        async with process.consensus.disk_lock:
            process.store.__exit__(None, None, None)
        if wipe:
            shutil.rmtree(self.folder / address)

    def leader(self):
        leaders = [p for p in self.process_by_address.values() if p.consensus.is_leader]
        return max(leaders, key=lambda p: p.consensus.term, default=None)

    async def publish(self, version):
        """Commit a version, retrying with the current leader."""
        content = compress_content(b"version %d" % version)
        command = Command(publish=PublishConfiguration(version, content, "test", 0))
        return await self.submit(command)

    async def submit(self, command):
        """Commit a command, retrying with the current leader."""
        with anyio.fail_after(20):
            while True:
                leader = self.leader()
                try:
                    if leader is None:
                        raise AlmonddealError(NOT_LEADER, "nobody leads")
                    result = await leader.consensus.propose(command, 1000)
                    return result.publish
                except AlmonddealError:
                    await anyio.sleep(0.03)

    async def wait_voters(self, addresses):
        """Wait until exactly the processes at these addresses are the voters."""
        with anyio.fail_after(20):
            while True:
                leader = self.leader()
                wanted = {
                    self.process_by_address[a].name
                    for a in addresses
                    if a in self.process_by_address
                }
                if leader is not None:
                    members = leader.consensus.members
                    is_committed = (
                        leader.consensus.commit_index >= leader.consensus.members_index
                    )
                    if set(members.address_by_name) == wanted and is_committed:
                        return members
                await anyio.sleep(0.03)

    async def wait_version(self, address, version):
        """Wait until a process has applied a version."""
        with anyio.fail_after(20):
            while self.process_by_address[address].state_machine.version < version:
                await anyio.sleep(0.03)


async def run_without_thread(function, *args):
    """Run a disk operation without a thread, which virtual time does not have."""
    await anyio.sleep(0.01)
    return function(*args)


async def _run_group(folder, test):
    async with anyio.create_task_group() as tasks:
        group = ChangingGroup(folder, tasks, SEEDS)
        for address in SEEDS:
            group.start(address, is_bootstrap=True)
        await test(group)
        tasks.cancel_scope.cancel()


def run_group(folder, test):
    """Run a test with a group of three initial voters."""
    anyio.run(_run_group, folder, test)


def run_group_in_virtual_time(
    folder, monkeypatch, test, run_disk_io=run_without_thread, seed=1
):
    """Run a test with a group of three initial voters that have a first version.

    Parameters
    ----------
    folder : pathlib.Path
    monkeypatch : pytest.MonkeyPatch
    test : callable
        Async function of the `ChangingGroup`.
    run_disk_io : callable
        Async function that runs each disk operation.
    seed : int
    """
    random.seed(seed)
    monkeypatch.setattr(consensus.to_thread, "run_sync", run_disk_io)

    async def test_published(group):
        await group.publish(1)
        await test(group)

    run_in_virtual_time(_run_group, folder, test_published)
