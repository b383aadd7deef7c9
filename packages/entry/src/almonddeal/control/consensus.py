"""Agreement on one log among the members of the control group.

Elections with pre-vote, durable terms and votes, commit by a majority, snapshots,
members that change one at a time. One task serves each peer. The leader writes many
proposals with one sync.

References
----------
D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014.
"""

import random

import anyio
from anyio import create_task_group, to_thread

from almonddeal.control.constants import (
    ELECTION_MAX_MS,
    ELECTION_MIN_MS,
    FIRST_ELECTION_MAX_MS,
    FIRST_ELECTION_MIN_MS,
    FOLLOWER,
    KIND_COMMAND,
    KIND_MEMBERS,
    LEADER,
    MAX_LOST_ELECTIONS,
)
from almonddeal.control.elections import Elections
from almonddeal.control.entries import EntryLog
from almonddeal.control.following import Following
from almonddeal.control.leading import Leading
from almonddeal.control.members import Members
from almonddeal.control.membership import MemberChanges
from almonddeal.control.snapshots import SnapshotAssembly
from almonddeal.control.waiters import Waiters
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    NO_QUORUM,
    NOT_LEADER,
    AlmonddealError,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.codec import decode
from almonddeal_common.wire.gen.ttypes import (
    Command,
    MemberSet,
    Snapshot,
)

SNAPSHOT_EVERY_ENTRIES = 4096

log = get_logger("control")


class Consensus(Elections, Leading, MemberChanges, Following):
    """One member of the control group.

    Parameters
    ----------
    name : str
        Instance name of this member.
    peer_by_name : dict of str to Peer
        The other members.
    store : LogStore
        Open store of this member.
    machine : object
        State machine with ``apply(index, command)``, ``dump()`` and ``restore(state)``.
    on_applied : callable, optional
        Called without arguments after entries were applied.
    connect : callable, optional
        ``connect(name, address)`` returns a running `Peer`. With it the members may
        change, and those kept in `store` count; without it they are `peer_by_name` and
        this member for ever.
    disconnect : callable, optional
        ``disconnect(peer)`` ends what `connect` began.
    """

    def __init__(
        self,
        name,
        peer_by_name,
        store,
        machine,
        on_applied=None,
        connect=None,
        disconnect=None,
    ):
        self.name = name
        self.term = store.meta.term
        self.role = FOLLOWER
        self.leader = None
        self.commit_index = store.snapshot.index
        self.applied_index = store.snapshot.index
        self._peer_by_name = peer_by_name
        self._store = store
        self._machine = machine
        self._on_applied = on_applied
        self._connect = connect
        self._disconnect = disconnect
        self._scope_by_name = {}
        self._joining_by_name = {}
        self._group = None
        self._assembly = SnapshotAssembly()
        self._write_since_ms = None
        self._voted_for = store.meta.voted_for
        self._log = EntryLog(store.snapshot, store.entries)
        self._durable_index = self._log.last_index
        self.members_index = 0
        self.members = Members(dict.fromkeys([name, *peer_by_name], ""), 0)
        if connect is not None:
            self._restore_members()
        self._match_by_name = {}
        self._next_by_name = {}
        self._confirmed_ms_by_name = {}
        self._waiters = Waiters()
        self._wake_by_name = {}
        self._write_wake = anyio.Event()
        self._changed = anyio.Event()
        self.disk = anyio.Lock()
        self._last_heard_ms = monotonic_ms()
        self._leader_heard_ms = float("-inf")
        self._n_lost_elections = 0
        # A process that starts has lost its leader with it, unless one makes itself
        # heard; the others refuse their votes as long as they hear one.
        self.election_timeout_ms = random.uniform(
            FIRST_ELECTION_MIN_MS, FIRST_ELECTION_MAX_MS
        )
        self._first_index_of_term = 0
        if store.snapshot.state:
            machine.restore(store.snapshot.state)

    # ---- facts -----------------------------------------------------------------

    @property
    def quorum(self):
        """Number of members that make a majority."""
        return self.members.quorum

    @property
    def is_leader(self):
        """Whether this member leads its current term."""
        return self.role == LEADER

    @property
    def is_leaderless(self):
        """Whether no leader was heard for longer than any election should take."""
        return self.role != LEADER and self._n_lost_elections > MAX_LOST_ELECTIONS

    def _random_election_ms(self):
        return random.uniform(ELECTION_MIN_MS, ELECTION_MAX_MS)

    # ---- running ---------------------------------------------------------------

    async def run(self):
        """Take part in the group until cancelled."""
        async with create_task_group() as group:
            group.start_soon(self._watch_election)
            group.start_soon(self._write_proposals)
            self._group = group
            self._update_peers()

    async def _on_disk(self, function, *args):
        return await to_thread.run_sync(function, *args)

    def _confirmed_ms(self):
        """Latest time at which a majority is known to have followed this leader."""
        voters = self.members.others(self.name)
        times = sorted(
            (self._confirmed_ms_by_name.get(name, 0.0) for name in voters), reverse=True
        )
        needed = self.quorum - int(self.name in self.members)
        if needed == 0:
            return monotonic_ms()
        return times[needed - 1] if len(times) >= needed else 0.0

    def _follow(self, leader):
        self.role = FOLLOWER
        self.leader = leader
        self._notify_changed()

    def _notify_changed(self):
        self._changed.set()
        self._changed = anyio.Event()

    # ---- applying --------------------------------------------------------------

    def _apply_committed(self):
        if self.applied_index >= self.commit_index:
            return
        while self.applied_index < self.commit_index:
            index = self.applied_index + 1
            entry = self._log.entry(index)
            assert entry.index == index, "entries are applied in order"
            result = None
            if entry.kind == KIND_COMMAND:
                result = self._machine.apply(index, decode(Command, entry.command))
            self.applied_index = index
            self._waiters.resolve(entry, result)
        self._after_apply()

    def _after_apply(self):
        if self._on_applied is not None:
            self._on_applied()
        self._notify_changed()

    async def compact(self):
        """Write a snapshot when enough entries came since the last one."""
        if self.applied_index - self._log.snapshot.index < SNAPSHOT_EVERY_ENTRIES:
            return
        async with self.disk:
            index = self.applied_index
            state = self._machine.dump()
            snapshot = Snapshot(
                self._log.snapshot.format,
                index,
                self._log.term_at(index),
                state,
                self._members_at(index),
            )
            after = self._log.since(index + 1)
            durable = [e for e in after if e.index <= self._durable_index]
            try:
                await self._on_disk(self._store.save_snapshot, snapshot, durable)
            except AlmonddealError as error:
                log.error("keeps its log as it is, %s", error)
                return
            self._log.compact(snapshot)
            log.info("kept a snapshot at entry %d", index)

    def _members_at(self, index):
        """Return the `MemberSet` that was in force at a committed index."""
        if self._connect is None:
            return None
        for earlier in range(index, self._log.first_index - 1, -1):
            entry = self._log.entry(earlier)
            if entry.kind == KIND_MEMBERS:
                return decode(MemberSet, entry.command)
        return self._log.snapshot.members

    # ---- reading ---------------------------------------------------------------

    async def read_index(self, timeout_ms):
        """Return an index that covers all that was committed before this call.

        Raises
        ------
        AlmonddealError
            `NOT_LEADER` or `NO_QUORUM`.
        """
        started_ms = monotonic_ms()
        if self.role != LEADER:
            raise AlmonddealError(NOT_LEADER, f"leader is {self.leader or 'unknown'}")
        term = self.term
        self._wake_peers()
        with anyio.move_on_after(timeout_ms / 1000):
            while self.role == LEADER and self.term == term:
                confirmed = self._confirmed_ms() >= started_ms
                if confirmed and self.commit_index >= self._first_index_of_term:
                    return self.commit_index
                await self._changed.wait()
        raise AlmonddealError(NO_QUORUM, "leadership was not confirmed in time")

    async def wait_applied(self, index, timeout_ms):
        """Wait until this member applied entry `index`; returns whether it did."""
        with anyio.move_on_after(timeout_ms / 1000):
            while self.applied_index < index:
                await self._changed.wait()
        return self.applied_index >= index
