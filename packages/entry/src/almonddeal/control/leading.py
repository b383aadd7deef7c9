"""The leader's side of the log: proposals, replication, commitment.

Only a part of `Consensus`, which holds the state.
"""

import anyio

from almonddeal.control.constants import (
    CALL_TIMEOUT_MS,
    HEARTBEAT_MS,
    KIND_COMMAND,
    KIND_MEMBERS,
    LEADER,
    MAX_BYTES_A_CALL,
    MAX_ENTRIES_A_CALL,
    PIECE_TIMEOUT_MS,
    STORAGE_FULL_PAUSE_MS,
    TICK_MS,
)
from almonddeal.control.snapshots import snapshot_pieces
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    CHANGE_OUTCOME_UNKNOWN,
    NOT_LEADER,
    AlmonddealError,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.codec import encode
from almonddeal_common.wire.gen.ttypes import (
    AppendLog,
    LogEntry,
)

log = get_logger("control")


class Leading:
    """Part of `Consensus`: what a leader does."""

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
