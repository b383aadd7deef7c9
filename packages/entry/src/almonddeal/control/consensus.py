"""Raft consensus on the log of the control group.

Implements elections with pre-vote, durable terms and votes, majority commit, snapshots
and single-server membership changes. One task replicates to each peer. The leader
writes the proposals that arrive during a sync in one batch after it.

References
----------
D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014.
"""

import random
from collections import deque

import anyio
from anyio import create_task_group, to_thread

from almonddeal.control.constants import (
    DISK_STALL_MS,
    ELECTION_TIMEOUT_MAX_MS,
    ELECTION_TIMEOUT_MIN_MS,
    FIRST_ELECTION_TIMEOUT_MAX_MS,
    FIRST_ELECTION_TIMEOUT_MIN_MS,
    FOLLOWER,
    KIND_COMMAND,
    KIND_MEMBERS,
    LEADER,
    MAX_ELECTIONS_WITHOUT_LEADER,
    MIN_DISK_BYTES_PER_MS,
    SNAPSHOT_INTERVAL_BYTES,
    SNAPSHOT_INTERVAL_ENTRIES,
    TICK_MS,
)
from almonddeal.control.elections import ElectionMixin
from almonddeal.control.entries import EntryLog, n_command_bytes
from almonddeal.control.following import FollowerMixin
from almonddeal.control.leading import LeaderMixin
from almonddeal.control.members import Members
from almonddeal.control.membership import MembershipMixin
from almonddeal.control.offers import OfferMixin
from almonddeal.control.proposals import PendingProposals
from almonddeal.control.transfers import ChunkAssembler
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

log = get_logger("control")


class Consensus(ElectionMixin, LeaderMixin, MembershipMixin, FollowerMixin, OfferMixin):
    """One member of the control group.

    Parameters
    ----------
    name : str
        Name of this member in the group.
    peer_by_name : dict of str to Peer
        The other members.
    store : LogStore
        Open log store of this member.
    state_machine : object
        State machine with ``apply(index, command)``, ``dump()`` and ``restore(state)``.
    on_applied : callable, optional
        Called without arguments after entries were applied or a snapshot was
        installed.
    connect : callable, optional
        ``connect(name, address)`` returns a running `Peer`. If given, membership can
        change and is loaded from `store`; if not, the members are always this one and
        those of `peer_by_name`.
    disconnect : callable, optional
        ``disconnect(peer)`` stops a peer that `connect` returned.
    """

    def __init__(
        self,
        name,
        peer_by_name,
        store,
        state_machine,
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
        self._state_machine = state_machine
        self._on_applied = on_applied
        self._connect = connect
        self._disconnect = disconnect
        self._replication_scope_by_name = {}
        self._join_request_by_name = {}
        self._refused_join_by_address = {}  # with the time of the request
        self._leaving_ms_by_name = {}
        self._recent_commit_indexes = deque(
            maxlen=int(ELECTION_TIMEOUT_MIN_MS / TICK_MS)
        )
        self._task_group = None
        self._assembler = ChunkAssembler()
        self._write_started_ms = None
        self._n_bytes_in_write = 0
        self._voted_for = store.meta.voted_for
        self._log = EntryLog(store.snapshot, store.entries)
        self._durable_index = self._log.last_index
        self._n_applied_bytes = 0  # of the entries after the snapshot
        self.has_been_member = False  # or is one; also before a restart, if in the log
        self.members_index = 0
        self.members = Members(dict.fromkeys([name, *peer_by_name], ""), 0)
        if connect is not None:
            self._load_members_from_log()
        self._match_index_by_name = {}
        self._next_index_by_name = {}
        self._acknowledged_ms_by_name = {}
        self._contacted_ms_by_name = {}  # last reply, to heartbeats as well
        self._replied_ms_by_name = {}  # heartbeats beside calls left out
        self._call_started_ms_by_name = {}
        self._transfer_by_name = {}
        self._names_without_parts = set()
        self._n_message_bytes_by_name = {}
        self._pending_proposals = PendingProposals()
        self._wake_event_by_name = {}
        self._appended_event = anyio.Event()
        self._progress_event = anyio.Event()
        self.disk_lock = anyio.Lock()
        # May lie in the future, as a backoff.
        self._election_timer_start_ms = monotonic_ms()
        self._last_leader_contact_ms = float("-inf")
        self._pre_vote_candidate = None
        self._pre_vote_promise_ms = float("-inf")
        self._last_led_ms = monotonic_ms()  # or the start
        self._n_elections_without_leader = 0
        self._is_in_pre_vote = False
        self._pre_vote_started_ms = float("inf")
        self._candidacy_scope = None
        self._waiting_vote_requests = []  # for the disk
        # The first timeout is short: a process that starts may have been the leader
        # itself. While another leader is alive, its followers refuse the pre-vote.
        self.election_timeout_ms = self._random_first_election_timeout_ms()
        self._first_index_of_term = 0
        if store.snapshot.state:
            state_machine.restore(store.snapshot.state)

    @property
    def quorum(self):
        """Number of members in a majority."""
        return self.members.quorum

    @property
    def is_leader(self):
        """Whether this member is the leader of its current term."""
        return self.role == LEADER

    @property
    def is_leaderless(self):
        """Whether this member has not heard from another leader for several elections.

        That is, it started more than `MAX_ELECTIONS_WITHOUT_LEADER` elections since
        then, those that it won included, and is not the leader.
        """
        return (
            self.role != LEADER
            and self._n_elections_without_leader > MAX_ELECTIONS_WITHOUT_LEADER
        )

    def _random_first_election_timeout_ms(self):
        return random.uniform(
            FIRST_ELECTION_TIMEOUT_MIN_MS, FIRST_ELECTION_TIMEOUT_MAX_MS
        )

    def _random_election_timeout_ms(self):
        return random.uniform(ELECTION_TIMEOUT_MIN_MS, ELECTION_TIMEOUT_MAX_MS)

    async def run(self):
        """Run elections and replication until cancelled."""
        async with create_task_group() as task_group:
            task_group.start_soon(self._tick_periodically)
            task_group.start_soon(self._write_proposals)
            self._task_group = task_group
            self._update_peers()
            try:
                await anyio.sleep_forever()
            finally:
                # A handler in the middle of a disk write may still store a membership
                # change. The group would not cancel a task that starts while it waits
                # for the end of its cancelled tasks.
                self._task_group = None

    async def _run_disk_io(self, function, *args, n_bytes=0):
        """Run a disk operation, the only one of this member, in a worker thread.

        The caller holds `disk_lock`.
        """
        self._write_started_ms = monotonic_ms()
        self._n_bytes_in_write = n_bytes
        try:
            return await to_thread.run_sync(function, *args)
        finally:
            duration_ms = monotonic_ms() - self._write_started_ms
            self._write_started_ms = None
            if duration_ms > self._disk_limit_ms:
                self._handle_end_of_stall(function, duration_ms)

    @property
    def _is_disk_stalled(self):
        if self._write_started_ms is None:
            return False
        return monotonic_ms() - self._write_started_ms > self._disk_limit_ms

    @property
    def _disk_limit_ms(self):
        """Time after which the present disk operation counts as stalled."""
        return DISK_STALL_MS + self._n_bytes_in_write / MIN_DISK_BYTES_PER_MS

    def _handle_end_of_stall(self, function, duration_ms):
        log.warning("disk operation %s took %.0f ms", function.__name__, duration_ms)
        if self.role != LEADER:
            # As after a start: this member may have the newest log of those that run.
            self._election_timer_start_ms = monotonic_ms()
            self.election_timeout_ms = self._random_first_election_timeout_ms()

    def _quorum_acknowledged_ms(self):
        """Latest time at which a majority is known to have accepted this leader."""
        voters = self.members.voters_except(self.name)
        times_ms = sorted(
            (self._acknowledged_ms_by_name.get(name, 0.0) for name in voters),
            reverse=True,
        )
        n_needed = self.quorum - int(self.name in self.members)
        if n_needed == 0:
            return monotonic_ms()
        return times_ms[n_needed - 1] if len(times_ms) >= n_needed else 0.0

    def _become_follower(self, leader):
        self._end_candidacy()
        self.role = FOLLOWER
        self.leader = leader
        self._notify_progress()

    def _notify_progress(self):
        self._progress_event.set()
        self._progress_event = anyio.Event()

    def _apply_committed(self):
        if self.applied_index >= self.commit_index:
            return
        while self.applied_index < self.commit_index:
            index = self.applied_index + 1
            entry = self._log.entry(index)
            assert entry.index == index, "an entry is out of order"
            result = None
            if entry.kind == KIND_COMMAND:
                result = self._state_machine.apply(
                    index, decode(Command, entry.command)
                )
            self.applied_index = index
            self._n_applied_bytes += len(entry.command)
            self._pending_proposals.resolve(entry, result)
        self._notify_applied()

    def _notify_applied(self):
        if self._on_applied is not None:
            self._on_applied()
        self._notify_progress()

    def _is_compaction_due(self):
        snapshot = self._log.snapshot
        n_entries = self.applied_index - snapshot.index
        # A log as large as the snapshot pays for writing and sending it.
        limit_bytes = max(SNAPSHOT_INTERVAL_BYTES, len(snapshot.state))
        # On a full disk, it is worth the cost once it makes room for a refused write.
        limit_bytes = min(limit_bytes, self._store.n_missing_bytes or limit_bytes)
        return (
            n_entries >= SNAPSHOT_INTERVAL_ENTRIES
            or self._n_applied_bytes >= limit_bytes
        )

    async def compact(self):
        """Replace the applied entries by a snapshot, once there are enough of them."""
        if not self._is_compaction_due():
            return
        async with self.disk_lock:
            index = self.applied_index
            n_bytes = self._n_applied_bytes
            snapshot = self._make_snapshot()
            later = self._log.entries_from(index + 1)
            durable = [e for e in later if e.index <= self._durable_index]
            try:
                await self._run_disk_io(
                    self._store.save_snapshot,
                    snapshot,
                    durable,
                    n_bytes=len(snapshot.state) + n_command_bytes(durable),
                )
            except AlmonddealError as error:
                log.error("could not write a snapshot, log is not compacted: %s", error)
                return
            self._log.compact(snapshot, self._first_index_to_keep(snapshot))
            self._n_applied_bytes -= n_bytes
            log.info("compacted the log into a snapshot at entry %d", index)

    def _make_snapshot(self):
        """Return a `Snapshot` of all that is applied; it is not stored."""
        return Snapshot(
            self._log.snapshot.format,
            self.applied_index,
            self._log.term_at(self.applied_index),
            self._state_machine.dump(),
            self._members_at(self.applied_index),
        )

    def _members_at(self, index):
        """Return the `MemberSet` in effect at a committed index."""
        if self._connect is None:
            return None
        for entry_index in range(index, self._log.first_index - 1, -1):
            entry = self._log.entry(entry_index)
            if entry.kind == KIND_MEMBERS:
                return decode(MemberSet, entry.command)
        return self._log.snapshot.members

    async def read_index(self, timeout_ms):
        """Return the index up to which a linearizable read must wait (Raft ReadIndex).

        It covers every entry committed before this call.

        Raises
        ------
        AlmonddealError
            `NOT_LEADER`, or `NO_QUORUM` if no majority confirmed the leader in time.
        """
        started_ms = monotonic_ms()
        if self.role != LEADER:
            raise AlmonddealError(NOT_LEADER, f"leader is {self.leader or 'unknown'}")
        term = self.term
        self._wake_peers()
        with anyio.move_on_after(timeout_ms / 1000):
            while self.role == LEADER and self.term == term:
                is_confirmed = self._quorum_acknowledged_ms() >= started_ms
                if is_confirmed and self.commit_index >= self._first_index_of_term:
                    return self.commit_index
                await self._progress_event.wait()
        raise AlmonddealError(NO_QUORUM, "leadership was not confirmed in time")

    async def wait_applied(self, index, timeout_ms):
        """Wait until entry `index` is applied here; return False on timeout."""
        with anyio.move_on_after(timeout_ms / 1000):
            while self.applied_index < index:
                await self._progress_event.wait()
        return self.applied_index >= index
