"""Follower side of replication: appends entries and installs snapshots.

The mixin uses the attributes of `Consensus`.
"""

from almonddeal.control.constants import (
    KIND_MEMBERS,
    LEADER,
    MAX_ENTRIES_PER_APPEND,
)
from almonddeal.control.entries import EntryLog
from almonddeal.control.members import Members
from almonddeal.control.transfers import add_part, add_snapshot_chunk
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.codec import decode
from almonddeal_common.wire.gen.ttypes import (
    AppendLogReply,
    MemberSet,
)

log = get_logger("control")


class FollowerMixin:
    """Handlers of `Consensus` for messages of the leader.

    A follower of Raft has no relation to `publication.follower`.
    """

    async def handle_append(self, link, message, emit):
        """Append entries of the leader; reply once they are synced."""
        self._check_recipient(message.recipient)
        if self._is_heartbeat(message):
            # A large write may hold the lock for longer than an election timeout.
            if message.term == self.term and message.leader == self.leader:
                self._record_leader_contact()
                return AppendLogReply(self.term, True, 0)
            if self.disk_lock.locked():
                # Tells a new leader that this member runs, though its disk may stall.
                return AppendLogReply(self.term, False, 0)
        async with self.disk_lock:
            if message.term < self.term:
                return AppendLogReply(self.term, False, 0)
            await self._accept_leader(message.term, message.leader)
            self._discard_unwritten_entries()
            if self._log.term_at(message.prev_index) != message.prev_term:
                return self._mismatch_reply(message.prev_index)
            entries = message.entries
            n_received_bytes = None
            if message.part is not None:
                entries, n_received_bytes = self._add_part(message)
            await self._store_entries(entries)
            match = message.prev_index + len(entries)
            self.commit_index = max(self.commit_index, min(message.commit_index, match))
        self._apply_committed()
        return AppendLogReply(self.term, True, match, n_received_bytes)

    def _add_part(self, message):
        """Add a part of a large entry.

        Returns
        -------
        entries : list of LogEntry
            The entry, once all of it has arrived or if the log has it; else empty.
        n_received_bytes : int
        """
        part = message.part
        if self._log.term_at(part.index) == part.term:
            return [part], message.part_n_bytes
        entry = add_part(self._assembler, message)
        entries = [] if entry is None else [entry]
        return entries, self._assembler.n_received_bytes

    def _is_heartbeat(self, message):
        is_empty = not message.entries and message.part is None
        return is_empty and message.prev_index == 0

    def _record_leader_contact(self):
        self._election_timer_start_ms = self._last_leader_contact_ms = monotonic_ms()
        self._n_elections_without_leader = 0

    async def _accept_leader(self, term, leader):
        await self._adopt_term(term)
        assert self.role != LEADER, f"two leaders in term {term}"
        self._record_leader_contact()
        if self.leader != leader:
            log.info("accepted %s as leader of term %d", leader, term)
            self.election_timeout_ms = self._random_election_timeout_ms()
            self._become_follower(leader)

    def _discard_unwritten_entries(self):
        """Remove entries that this member appended as leader and did not write."""
        from_index = self._durable_index + 1
        if from_index <= self._log.last_index:
            self._pending_proposals.fail_from(from_index)
            self._truncate_log(from_index)

    def _mismatch_reply(self, prev_index):
        """Return a refusal with the last index to try next, as `match_index`."""
        if prev_index <= self.commit_index:
            retry_index = self.commit_index
        elif prev_index > self._log.last_index:
            retry_index = self._log.last_index
        else:
            retry_index = max(self.commit_index, prev_index - MAX_ENTRIES_PER_APPEND)
        return AppendLogReply(self.term, False, retry_index)

    async def _store_entries(self, entries):
        entries_to_store = [e for e in entries if e.index >= self._log.first_index]
        while (
            entries_to_store
            and self._log.term_at(entries_to_store[0].index) == entries_to_store[0].term
        ):
            entries_to_store.pop(0)
        if not entries_to_store:
            return
        from_index = entries_to_store[0].index
        if from_index <= self._log.last_index:
            assert from_index > self.commit_index, "a committed entry would be changed"
            self._pending_proposals.fail_from(from_index)
            # A call that is cancelled before the disk is reached changes neither.
            await self._run_disk_io(self._store.truncate_from, from_index)
            self._truncate_log(from_index)
        await self._run_disk_io(self._store.append, entries_to_store)
        for entry in entries_to_store:
            self._log.append(entry)
            if entry.kind == KIND_MEMBERS:
                members = Members.from_wire(decode(MemberSet, entry.command))
                self._set_members(members, entry.index)
        self._durable_index = self._log.last_index
        self._assembler.clear()

    def _has_entries_of(self, snapshot):
        """Tell whether this log has all that a snapshot of the leader covers."""
        is_committed = snapshot.index <= self.commit_index
        return is_committed or self._log.term_at(snapshot.index) == snapshot.term

    async def handle_snapshot(self, link, message, emit):
        """Handle one chunk of a snapshot; install the snapshot with the last one.

        The leader sends it if its log no longer has the next entry. A candidate sends
        it, without a leader, to processes that ask to join.
        """
        self._check_recipient(message.recipient)
        async with self.disk_lock:
            if message.term < self.term:
                return AppendLogReply(self.term, False, 0)
            if message.leader:
                await self._accept_leader(message.term, message.leader)
            elif not await self._accept_offer(message.term):
                return AppendLogReply(self.term, False, 0)
            self._discard_unwritten_entries()
            if self._has_entries_of(message.snapshot):
                # The entries after it may count for a majority, so the log stays.
                self.commit_index = max(self.commit_index, message.snapshot.index)
                self._apply_committed()
                return AppendLogReply(self.term, True, self.commit_index)
            is_in_order, snapshot = add_snapshot_chunk(self._assembler, message, link)
            if snapshot is None:
                n_received_bytes = self._assembler.n_received_bytes
                return AppendLogReply(self.term, is_in_order, 0, n_received_bytes)
            await self._run_disk_io(self._store.save_snapshot, snapshot, [])
            self._log = EntryLog(snapshot, [])
            self._durable_index = snapshot.index
            self.commit_index = self.applied_index = snapshot.index
            self._n_applied_bytes = 0
            if snapshot.state:
                self._state_machine.restore(snapshot.state)
            if self._connect is not None:
                self._load_members_from_log()
            self._notify_applied()
            self._assembler.clear()
        return AppendLogReply(self.term, True, snapshot.index)
