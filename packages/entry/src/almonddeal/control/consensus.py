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

from almonddeal.control.entries import EntryLog
from almonddeal.control.members import Joining, Members, next_members
from almonddeal.control.snapshots import SnapshotAssembly, snapshot_pieces
from almonddeal.control.waiters import Waiters
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    CHANGE_OUTCOME_UNKNOWN,
    NO_QUORUM,
    NOT_LEADER,
    NOT_REACHED,
    OK,
    AlmonddealError,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.codec import decode, encode
from almonddeal_common.wire.gen.ttypes import (
    AppendLog,
    AppendLogReply,
    Command,
    JoinGroupReply,
    LogEntry,
    MemberSet,
    Snapshot,
    Vote,
    VoteReply,
)

HEARTBEAT_MS = 150
ELECTION_MIN_MS = 600
ELECTION_MAX_MS = 1200
FIRST_ELECTION_MIN_MS = 200
FIRST_ELECTION_MAX_MS = 500
TICK_MS = 80
OWN_STALL_MS = 200
CALL_TIMEOUT_MS = 500
PIECE_TIMEOUT_MS = 2000
SNAPSHOT_EVERY_ENTRIES = 4096
STORAGE_FULL_PAUSE_MS = 5000
MAX_LOST_ELECTIONS = 2
MAX_ENTRIES_A_CALL = 512
MAX_BYTES_A_CALL = 128 * 1024
DISK_STALL_MS = 1000  # a sync takes milliseconds, on a slow disk a tenth of a second
DISK_STALL_PAUSE_MS = 5000

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

KIND_COMMAND = 1
KIND_BARRIER = 2
KIND_MEMBERS = 3

log = get_logger("control")


class Consensus:
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
    def is_forgotten(self):
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

    async def _watch_election(self):
        last_ms = monotonic_ms()
        while True:
            await anyio.sleep(TICK_MS / 1000)
            now_ms = monotonic_ms()
            if now_ms - last_ms > TICK_MS + OWN_STALL_MS:
                self._last_heard_ms = now_ms
            last_ms = now_ms
            if self.role == LEADER:
                self._check_quorum(now_ms)
                self._check_disk(now_ms)
                self._change_members(now_ms)
            elif self.name not in self.members or self._write_since_ms is not None:
                self._last_heard_ms = now_ms
            elif now_ms - self._last_heard_ms > self.election_timeout_ms:
                self._last_heard_ms = now_ms
                self.election_timeout_ms = self._random_election_ms()
                try:
                    await self._campaign()
                except AlmonddealError as error:
                    log.error("cannot stand for election, %s", error)

    def _check_quorum(self, now_ms):
        if now_ms - self._confirmed_ms() > ELECTION_MAX_MS:
            log.warning("leader of term %d lost its quorum", self.term)
            self._follow(None)

    def _check_disk(self, now_ms):
        """Leave the lead to a member whose disk works."""
        since_ms = self._write_since_ms
        if since_ms is not None and now_ms - since_ms > DISK_STALL_MS:
            log.warning("stops leading, a write takes %.0f ms", now_ms - since_ms)
            self._last_heard_ms = now_ms + DISK_STALL_PAUSE_MS
            self._follow(None)

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

    async def _adopt_term(self, term):
        """Enter a higher term as a follower, durably."""
        if term <= self.term:
            return
        await self._on_disk(self._store.save_meta, term, "")
        self.term = term
        self._voted_for = ""
        self._follow(None)

    # ---- elections -------------------------------------------------------------

    async def _campaign(self):
        self._n_lost_elections += 1
        if not await self._collect_votes(self.term + 1, pre=True):
            return
        async with self.disk:
            await self._on_disk(self._store.save_meta, self.term + 1, self.name)
            self.term += 1
            self._voted_for = self.name
            self.role = CANDIDATE
            self.leader = None
        term = self.term
        won = await self._collect_votes(term, pre=False)
        if won and self.term == term and self.role == CANDIDATE:
            self._lead()

    async def _collect_votes(self, term, pre):
        last_index, last_term = self._log.last_index, self._log.last_term
        n_granted = 1
        enough = anyio.Event()
        if n_granted >= self.quorum:
            return True

        async def ask(name, peer):
            nonlocal n_granted
            request = Vote(term, self.name, last_index, last_term, pre, name)
            try:
                reply = await peer.call(request, CALL_TIMEOUT_MS)
                if reply.term > self.term and not reply.granted:
                    async with self.disk:
                        await self._adopt_term(reply.term)
            except AlmonddealError as error:
                log.info("no vote of %s, %s", name, error)
                return
            if reply.granted:
                n_granted += 1
                if n_granted >= self.quorum:
                    enough.set()

        async def ask_all():
            async with create_task_group() as askers:
                for name in self.members.others(self.name):
                    askers.start_soon(ask, name, self._peer_by_name[name])
            enough.set()

        async with create_task_group() as group:
            group.start_soon(ask_all)
            await enough.wait()
            group.cancel_scope.cancel()
        return n_granted >= self.quorum

    async def handle_vote(self, link, message, emit):
        """Answer a candidate."""
        self._check_recipient(message.recipient)
        up_to_date = (message.last_term, message.last_index) >= (
            self._log.last_term,
            self._log.last_index,
        )
        silence_ms = monotonic_ms() - self._leader_heard_ms
        hears_leader = self.role == LEADER or silence_ms < ELECTION_MIN_MS
        if message.pre:
            granted = up_to_date and not hears_leader and message.term > self.term
            return VoteReply(self.term, granted)
        async with self.disk:
            await self._adopt_term(message.term)
            free = self._voted_for in ("", message.candidate)
            granted = message.term == self.term and up_to_date and free
            if granted:
                await self._on_disk(self._store.save_meta, self.term, message.candidate)
                self._voted_for = message.candidate
                self._last_heard_ms = monotonic_ms()
        return VoteReply(self.term, granted)

    def _lead(self):
        log.info("leads term %d", self.term)
        self.role = LEADER
        self.leader = self.name
        now_ms = monotonic_ms()
        self._confirmed_ms_by_name = dict.fromkeys(self._peer_by_name, now_ms)
        self._match_by_name = dict.fromkeys(self._peer_by_name, 0)
        self._next_by_name = dict.fromkeys(self._peer_by_name, self._log.last_index + 1)
        self._first_index_of_term = self._log.last_index + 1
        self._joining_by_name = {}
        if self._connect is None:
            self._append_as_leader(KIND_BARRIER, b"")
        else:
            self._append_members(self.members)
        self._update_peers()
        self._notify_changed()

    # ---- leader ----------------------------------------------------------------

    def _append_as_leader(self, kind, command):
        entry = LogEntry(self.term, self._log.last_index + 1, kind, command)
        self._log.append(entry)
        self._write_wake.set()
        self._wake_peers()
        return entry.index

    def _append_members(self, members):
        index = self._append_as_leader(KIND_MEMBERS, encode(members.to_wire()))
        self._use_members(members, index)

    def _wake_peers(self):
        for event in self._wake_by_name.values():
            event.set()

    async def propose(self, command, timeout_ms):
        """Put a command into the log and return its result once it is committed.

        Raises
        ------
        AlmonddealError
            `NOT_LEADER` (nothing was proposed) or `CHANGE_OUTCOME_UNKNOWN`.
        """
        if self.role != LEADER:
            raise AlmonddealError(NOT_LEADER, f"leader is {self.leader or 'unknown'}")
        index = self._append_as_leader(KIND_COMMAND, encode(command))
        result = await self._waiters.wait(index, self.term, timeout_ms)
        if result is None:
            raise AlmonddealError(CHANGE_OUTCOME_UNKNOWN, "not committed in time")
        return result

    async def _write_proposals(self):
        while True:
            await self._write_wake.wait()
            self._write_wake = anyio.Event()
            async with self.disk:
                if self.role != LEADER:
                    continue
                first = self._durable_index + 1
                entries = self._log.since(first)
                if not entries:
                    continue
                self._write_since_ms = monotonic_ms()
                try:
                    await self._on_disk(self._store.append, entries)
                except AlmonddealError as error:
                    log.error("refuses to lead, %s", error)
                    self._drop_unwritten(first)
                    continue
                finally:
                    self._write_since_ms = None
                self._durable_index = entries[-1].index
            self._advance_commit()

    def _drop_unwritten(self, first):
        # A follower may hold these entries and commit them under the next leader, so
        # their outcome is unknown to the proposer.
        self._waiters.fail_from(first)
        self._truncate_log(first)
        self._last_heard_ms = monotonic_ms() + STORAGE_FULL_PAUSE_MS
        self._follow(None)

    async def _serve_peer(self, name, scope):
        with scope:
            await self._replicate_to(name, scope)

    async def _replicate_to(self, name, scope):
        # A task that was about to go on learns of its cancellation only when it next
        # waits; by then its peer is gone.
        while not scope.cancel_called:
            if self.role != LEADER:
                await self._changed.wait()
                continue
            peer = self._peer_by_name[name]
            if not peer.is_up:
                await anyio.sleep(TICK_MS / 1000)
                continue
            event = self._wake_by_name[name] = anyio.Event()
            try:
                await self._send_to_peer(name, peer)
            except AlmonddealError:
                await anyio.sleep(TICK_MS / 1000)
            if self.role == LEADER and not self._peer_lags(name):
                with anyio.move_on_after(HEARTBEAT_MS / 1000):
                    await event.wait()

    def _peer_lags(self, name):
        next_index = self._next_by_name.get(name)
        return next_index is not None and next_index <= self._log.last_index

    async def _send_to_peer(self, name, peer):
        term = self.term
        started_ms = monotonic_ms()
        next_index = self._next_by_name[name]
        if next_index < self._log.first_index:
            reply = await self._send_snapshot(name, peer)
        else:
            message = self._append_message(next_index, name)
            reply = await peer.call(message, CALL_TIMEOUT_MS)
        if reply.term > self.term:
            async with self.disk:
                await self._adopt_term(reply.term)
            return
        if self.role != LEADER or self.term != term or name not in self._next_by_name:
            return
        self._confirmed_ms_by_name[name] = started_ms
        self._note_reply(name, reply)

    async def _send_snapshot(self, name, peer):
        """Send all pieces; returns the reply to the last one, or to one refused."""
        messages = snapshot_pieces(self.term, self.name, self._log.snapshot, name)
        for message in messages:
            reply = await peer.call(message, PIECE_TIMEOUT_MS)
            if not reply.ok or reply.term > self.term:
                break
        return reply

    def _append_message(self, next_index, name):
        entries = self._entries_for_call(next_index)
        prev_index = next_index - 1
        return AppendLog(
            self.term,
            self.name,
            prev_index,
            self._log.term_at(prev_index),
            entries,
            self.commit_index,
            name,
        )

    def _entries_for_call(self, next_index):
        entries = self._log.since(next_index, MAX_ENTRIES_A_CALL)
        n_bytes = 0
        for position, entry in enumerate(entries):
            n_bytes += len(entry.command)
            if position and n_bytes > MAX_BYTES_A_CALL:
                return entries[:position]
        return entries

    def _note_reply(self, name, reply):
        if reply.ok:
            self._match_by_name[name] = max(
                self._match_by_name[name], reply.match_index
            )
            self._next_by_name[name] = reply.match_index + 1
            self._advance_commit()
        else:
            self._next_by_name[name] = max(1, reply.match_index + 1)
        self._notify_changed()

    def _advance_commit(self):
        if self.role != LEADER:
            return
        voters = self.members.others(self.name)
        matched = [self._match_by_name.get(name, 0) for name in voters]
        if self.name in self.members:
            matched.append(self._durable_index)
        # The leader applies only what its own disk holds, so that it can drop entries
        # that it failed to write.
        index = min(sorted(matched, reverse=True)[self.quorum - 1], self._durable_index)
        if index > self.commit_index and self._log.term_at(index) == self.term:
            self.commit_index = index
            self._apply_committed()
            self._wake_peers()
            if self.name not in self.members and index >= self.members_index:
                log.info(
                    "leaves the group, members are %s", sorted(self.members.others(""))
                )
                self._follow(None)

    # ---- members ---------------------------------------------------------------

    def _use_members(self, members, index):
        """Take the members of the entry at `index`, committed or not."""
        if self.members.address_by_name != members.address_by_name:
            log.info("members are %s by entry %d", sorted(members.others("")), index)
        self.members = members
        self.members_index = index
        self._update_peers()

    def _restore_members(self):
        """Take the newest members that the log holds, after entries were removed."""
        for index in range(self._log.last_index, self._log.first_index - 1, -1):
            entry = self._log.entry(index)
            if entry.kind == KIND_MEMBERS:
                members = Members.from_wire(decode(MemberSet, entry.command))
                self._use_members(members, index)
                return
        members = Members.from_wire(self._log.snapshot.members) or Members({}, 0)
        self._use_members(members, self._log.snapshot.index)

    def _truncate_log(self, first):
        self._log.truncate_from(first)
        if self._connect is not None and self.members_index >= first:
            self._restore_members()

    def _update_peers(self):
        """Keep a peer and its task for each voter and each joining process."""
        if self._group is None:
            return
        address_by_name = dict(self.members.address_by_name)
        if self.role == LEADER:
            for joining in self._joining_by_name.values():
                address_by_name.setdefault(joining.name, joining.address)
        address_by_name.pop(self.name, None)
        for name, address in address_by_name.items():
            if name not in self._peer_by_name:
                self._peer_by_name[name] = self._connect(name, address)
            if name not in self._scope_by_name:
                scope = self._scope_by_name[name] = anyio.CancelScope()
                self._wake_by_name[name] = anyio.Event()
                self._match_by_name[name] = 0
                self._next_by_name[name] = self._log.last_index + 1
                self._confirmed_ms_by_name[name] = 0.0
                self._group.start_soon(self._serve_peer, name, scope)
        for name in [n for n in self._scope_by_name if n not in address_by_name]:
            self._scope_by_name.pop(name).cancel()
            for by_name in (
                self._wake_by_name,
                self._match_by_name,
                self._next_by_name,
                self._confirmed_ms_by_name,
            ):
                by_name.pop(name, None)
            self._disconnect(self._peer_by_name.pop(name))

    def _change_members(self, now_ms):
        """Append the next change of the members, one at a time."""
        if self._connect is None or self.members_index > self.commit_index:
            return
        for name in [n for n in self._joining_by_name if n in self.members]:
            del self._joining_by_name[name]

        def is_caught_up(name):
            is_heard = now_ms - self._confirmed_ms_by_name[name] < ELECTION_MIN_MS
            return is_heard and self._match_by_name[name] >= self.commit_index

        def silence_ms(name):
            if name == self.name:
                return 0.0
            return now_ms - self._confirmed_ms_by_name[name]

        members = next_members(
            self.members, self._joining_by_name, is_caught_up, silence_ms
        )
        if members is not None:
            self._append_members(members)

    async def handle_join(self, link, message, emit):
        """Let a process take part that asks to become a voter."""
        if self.role != LEADER:
            address = self.members.address_by_name.get(self.leader, "")
            return JoinGroupReply(NOT_LEADER.number, address, False)
        is_voter = message.name in self.members
        if not is_voter and message.name not in self._joining_by_name:
            log.info("%s at %s asks to join", message.name, message.address)
            for name in [
                n
                for n, joining in self._joining_by_name.items()
                if joining.address == message.address
            ]:
                del self._joining_by_name[name]
            self._joining_by_name[message.name] = Joining(
                message.name, message.address, message.is_addition
            )
            self._update_peers()
        address = self.members.address_by_name.get(self.name, "")
        return JoinGroupReply(OK.number, address, is_voter)

    def _check_recipient(self, recipient):
        # The process at a member's address may be another one since it lost its disk.
        if recipient and recipient != self.name:
            raise AlmonddealError(NOT_REACHED, f"{self.name} is not {recipient}")

    # ---- follower --------------------------------------------------------------

    async def handle_append(self, link, message, emit):
        """Take entries from the leader; replies once they are synced."""
        self._check_recipient(message.recipient)
        async with self.disk:
            if message.term < self.term:
                return AppendLogReply(self.term, False, 0)
            await self._hear_leader(message.term, message.leader)
            self._forget_unwritten()
            if self._log.term_at(message.prev_index) != message.prev_term:
                return self._mismatch(message.prev_index)
            await self._take_entries(message.entries)
            match = message.prev_index + len(message.entries)
            self.commit_index = max(self.commit_index, min(message.commit_index, match))
        self._apply_committed()
        return AppendLogReply(self.term, True, match)

    async def _hear_leader(self, term, leader):
        await self._adopt_term(term)
        assert self.role != LEADER, f"two leaders in term {term}"
        self._last_heard_ms = self._leader_heard_ms = monotonic_ms()
        self._n_lost_elections = 0
        if self.leader != leader:
            log.info("follows %s in term %d", leader, term)
            self.election_timeout_ms = self._random_election_ms()
            self._follow(leader)

    def _forget_unwritten(self):
        """Drop entries that this member proposed as leader and never wrote."""
        first = self._durable_index + 1
        if first <= self._log.last_index:
            self._waiters.fail_from(first)
            self._truncate_log(first)

    def _mismatch(self, prev_index):
        if prev_index <= self.commit_index:
            hint = self.commit_index
        elif prev_index > self._log.last_index:
            hint = self._log.last_index
        else:
            hint = max(self.commit_index, prev_index - MAX_ENTRIES_A_CALL)
        return AppendLogReply(self.term, False, hint)

    async def _take_entries(self, entries):
        new = [e for e in entries if e.index >= self._log.first_index]
        while new and self._log.term_at(new[0].index) == new[0].term:
            new.pop(0)
        if not new:
            return
        first = new[0].index
        if first <= self._log.last_index:
            assert first > self.commit_index, "a committed entry would be changed"
            self._waiters.fail_from(first)
            self._truncate_log(first)
            await self._on_disk(self._store.truncate_from, first)
        await self._on_disk(self._store.append, new)
        for entry in new:
            self._log.append(entry)
            if entry.kind == KIND_MEMBERS:
                members = Members.from_wire(decode(MemberSet, entry.command))
                self._use_members(members, entry.index)
        self._durable_index = self._log.last_index

    async def handle_snapshot(self, link, message, emit):
        """Take the leader's snapshot in place of a log that is too far behind."""
        self._check_recipient(message.recipient)
        async with self.disk:
            if message.term < self.term:
                return AppendLogReply(self.term, False, 0)
            await self._hear_leader(message.term, message.leader)
            is_in_order, snapshot = self._assembly.add(message)
            if snapshot is None:
                return AppendLogReply(self.term, is_in_order, 0)
            if snapshot.index > self.commit_index:
                await self._on_disk(self._store.save_snapshot, snapshot, [])
                self._log = EntryLog(snapshot, [])
                self._durable_index = snapshot.index
                self.commit_index = self.applied_index = snapshot.index
                if snapshot.state:
                    self._machine.restore(snapshot.state)
                if self._connect is not None:
                    self._restore_members()
                self._after_apply()
        return AppendLogReply(self.term, True, max(snapshot.index, self.commit_index))

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
