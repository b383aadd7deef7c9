"""In-process control group with faults of links, processes and disks."""

import random
import shutil
import time
from pathlib import Path

import anyio

from almonddeal.control.consensus import Consensus
from almonddeal.control.state import ControlState
from almonddeal.control.storage import LogStore
from almonddeal_common.codes import LINK_LOST, NOT_REACHED, AlmonddealError
from almonddeal_common.wire.codec import decode, encode
from almonddeal_common.wire.gen.ttypes import (
    AppendLog,
    ChangeDocument,
    Command,
    InstallSnapshot,
    Vote,
)


class ProcessEnded(Exception):
    """Raised in place of the end of a process."""


class HandlerCalls:
    """Handlers that run in one process on behalf of callers; they end with it."""

    def __init__(self):
        self._scopes = set()
        self._is_ended = False

    async def run(self, handler, message):
        """Return a handler's reply; raise `LINK_LOST` if the process ends first."""
        if self._is_ended:
            raise AlmonddealError(LINK_LOST, "the process has ended")
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                return await handler(None, message, None)
            finally:
                self._scopes.discard(scope)
        raise AlmonddealError(LINK_LOST, "the process ended during the call")

    def end(self):
        """Cancel the handlers that run and refuse new calls."""
        self._is_ended = True
        for scope in list(self._scopes):
            scope.cancel()


class FakePeer:
    """Link from one member to another, with random delays."""

    def __init__(self, group, source, recipient):
        self._group = group
        self._source = source
        self._recipient = recipient

    @property
    def is_up(self):
        return self._group.is_reachable(self._source, self._recipient)

    async def call(self, message, timeout_ms):
        reply = None
        with anyio.move_on_after(timeout_ms / 1000):
            await self._deliver(self._source, self._recipient)
            member = self._group.member_by_name.get(self._recipient)
            if member is None:
                raise AlmonddealError(NOT_REACHED, self._recipient)
            handler = member.handler_by_type[type(message)]
            copied = decode(type(message), encode(message))
            reply = await member.handler_calls.run(handler, copied)
            if self._group.member_by_name.get(self._recipient) is not member:
                raise AlmonddealError(LINK_LOST, "restarted")
            await self._deliver(self._recipient, self._source)
        if reply is None:
            raise AlmonddealError(LINK_LOST, "no reply")
        return reply

    async def _deliver(self, source, recipient):
        await anyio.sleep(self._group.random.uniform(0, 0.003))
        while self._group.is_delayed(source, recipient):
            await anyio.sleep(0.01)
        if not self._group.is_reachable(source, recipient):
            raise AlmonddealError(LINK_LOST, "cut")


class Member:
    """One running member: its log store, state machine and tasks."""

    def __init__(self, group, name):
        self.name = name
        self.state_machine = ControlState()
        self.store = LogStore(group.folder / name, group.end_process)
        self.store.__enter__()
        for method_name in ("append", "truncate_from", "save_meta"):
            setattr(
                self.store,
                method_name,
                group.with_disk_delay(getattr(self.store, method_name)),
            )
        peers = {
            other: FakePeer(group, name, other)
            for other in group.names
            if other != name
        }
        self.consensus = Consensus(name, peers, self.store, self.state_machine)
        self.handler_by_type = {
            Vote: self.consensus.handle_vote,
            AppendLog: self.consensus.handle_append,
            InstallSnapshot: self.consensus.handle_snapshot,
        }
        self.handler_calls = HandlerCalls()
        self.scope = anyio.CancelScope()

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.consensus.run)
                tasks.start_soon(self._compact)

    async def _compact(self):
        while True:
            await anyio.sleep(0.2)
            await self.consensus.compact()


class FakeGroup:
    """Control group with members that can be killed, partitioned and delayed.

    Parameters
    ----------
    folder : path-like
    tasks : anyio.abc.TaskGroup
    seed : int
    n_members : int
    max_disk_delay_s : float
        Upper bound of the delay added to each disk write.
    """

    def __init__(self, folder, tasks, seed, n_members=3, max_disk_delay_s=0.0):
        self.folder = Path(folder)
        self.names = [f"entry{n}" for n in range(n_members)]
        self.member_by_name = {}
        self.random = random.Random(seed)
        self.partitioned_pairs = set()
        self.delayed_pairs = set()
        self.leader_by_term = {}
        self.applied_by_index = {}
        self._tasks = tasks
        self._max_disk_delay_s = max_disk_delay_s

    def with_disk_delay(self, operation):
        """Return a disk operation that first blocks its thread for a random time."""

        def delayed(*args):
            time.sleep(self.random.uniform(0.0, self._max_disk_delay_s))
            return operation(*args)

        return delayed

    @staticmethod
    def end_process(reason):
        raise ProcessEnded(reason)

    def is_reachable(self, source, recipient):
        return (
            recipient in self.member_by_name
            and (source, recipient) not in self.partitioned_pairs
        )

    def is_delayed(self, source, recipient):
        return (source, recipient) in self.delayed_pairs

    def start(self, name):
        member = Member(self, name)
        self.member_by_name[name] = member
        self._check_applied(member)
        self._tasks.start_soon(member.run)

    def start_all(self):
        for name in self.names:
            self.start(name)

    def _check_applied(self, member):
        """Assert that all members apply the same command at each index."""
        apply = member.state_machine.apply

        def checked(index, command):
            data = encode(command)
            known = self.applied_by_index.setdefault(index, data)
            assert known == data, f"two commands at entry {index}"
            return apply(index, command)

        member.state_machine.apply = checked

    async def kill(self, name, tear_log=True):
        """Stop a member; the log may end in the bytes of a torn write."""
        member = self.member_by_name.pop(name, None)
        if member is None:
            return
        member.scope.cancel()
        member.handler_calls.end()
        # A disk operation in a worker thread outlives the cancellation of its task.
        async with member.consensus.disk_lock:
            member.store.__exit__(None, None, None)
        if tear_log:
            self._tear(member)

    def _tear(self, member):
        path = self.folder / member.name / "log"
        with open(path, "ab") as file:
            n_bytes = self.random.choice((0, 0, 3, 40))
            file.write(self.random.randbytes(n_bytes))

    def leader(self):
        """Return the leader of the highest term; assert one leader per term."""
        leaders = [m for m in self.member_by_name.values() if m.consensus.is_leader]
        for member in leaders:
            term = member.consensus.term
            known = self.leader_by_term.setdefault(term, member.name)
            assert known == member.name, f"two leaders in term {term}"
        return max(leaders, key=lambda m: m.consensus.term, default=None)

    def remove_files(self):
        shutil.rmtree(self.folder, ignore_errors=True)


def change(change_id, base_version, note=""):
    """Return a command that adds a field to the document."""
    patch = f'[{{"op": "add", "path": "/{change_id}", "value": 1}}]'
    return Command(
        change=ChangeDocument(change_id, base_version, "olu", "here", patch, 1, note)
    )
