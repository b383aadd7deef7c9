"""The follower's side of the log: entries and snapshots of the leader.

Only a part of `Consensus`, which holds the state.
"""

from almonddeal.control.constants import (
    KIND_MEMBERS,
    LEADER,
    MAX_ENTRIES_A_CALL,
)
from almonddeal.control.entries import EntryLog
from almonddeal.control.members import Members
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.codec import decode
from almonddeal_common.wire.gen.ttypes import (
    AppendLogReply,
    MemberSet,
)

log = get_logger("control")


class Following:
    """Part of `Consensus`: what a follower does."""

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
