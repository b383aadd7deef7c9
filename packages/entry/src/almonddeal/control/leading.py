"""Leader side of replication: proposals, appends to peers and commit.

The mixin uses the attributes of `Consensus`.
"""

import anyio
from anyio import create_task_group

from almonddeal.control.constants import (
    KIND_COMMAND,
    KIND_MEMBERS,
    LEADER,
    LEADER_HEARTBEAT_INTERVAL_MS,
    MAX_BYTES_PER_APPEND,
    MAX_ENTRIES_PER_APPEND,
    MIN_MESSAGE_BYTES,
    RPC_TIMEOUT_MS,
    TICK_MS,
)
from almonddeal.control.entries import n_command_bytes
from almonddeal.control.members import RESPONSIVE_SILENCE_MS
from almonddeal.control.transfers import (
    EntryTransfer,
    SnapshotTransfer,
    call_timeout_ms,
)
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    CHANGE_OUTCOME_UNKNOWN,
    NO_QUORUM,
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


class LeaderMixin:
    """Proposals, replication and commit of `Consensus`."""

    def _append_as_leader(self, kind, command):
        entry = LogEntry(self.term, self._log.last_index + 1, kind, command)
        self._log.append(entry)
        self._appended_event.set()
        self._wake_peers()
        return entry.index

    def _append_members(self, members):
        index = self._append_as_leader(KIND_MEMBERS, encode(members.to_wire()))
        self._set_members(members, index)

    def _wake_peers(self):
        for event in self._wake_event_by_name.values():
            event.set()

    async def propose(self, command, timeout_ms):
        """Append a command to the log and return its result once it is applied.

        Raises
        ------
        AlmonddealError
            `NOT_LEADER` or `NO_QUORUM` (nothing was proposed), or
            `CHANGE_OUTCOME_UNKNOWN` if the entry was removed or not applied within
            `timeout_ms`.
        """
        if self.role != LEADER:
            raise AlmonddealError(NOT_LEADER, f"leader is {self.leader or 'unknown'}")
        if self._is_disk_stalled:
            # A leader that no one can replace stays, however long its disk takes.
            raise AlmonddealError(NO_QUORUM, "the disk of the leader stalls")
        index = self._append_as_leader(KIND_COMMAND, encode(command))
        result = await self._pending_proposals.wait(index, self.term, timeout_ms)
        if result is None:
            raise AlmonddealError(CHANGE_OUTCOME_UNKNOWN, "not committed in time")
        return result

    async def _write_proposals(self):
        while True:
            await self._appended_event.wait()
            self._appended_event = anyio.Event()
            async with self.disk_lock:
                if self.role != LEADER:
                    continue
                from_index = self._durable_index + 1
                entries = self._log.entries_from(from_index)
                if not entries:
                    continue
                n_bytes = n_command_bytes(entries)
                try:
                    await self._run_disk_io(
                        self._store.append, entries, n_bytes=n_bytes
                    )
                except AlmonddealError as error:
                    log.error("stepped down as leader, log write failed: %s", error)
                    self._step_down_after_failed_write(from_index)
                    continue
                self._durable_index = entries[-1].index
            self._advance_commit()

    def _step_down_after_failed_write(self, from_index):
        # A follower may have these entries and commit them under the next leader, so
        # the proposers get an unknown outcome.
        self._pending_proposals.fail_from(from_index)
        self._truncate_log(from_index)
        self._election_timer_start_ms = monotonic_ms()
        self._become_follower(None)

    async def _replicate_in_scope(self, name, scope):
        with scope:
            async with create_task_group() as tasks:
                tasks.start_soon(self._send_heartbeats_periodically, name, scope)
                await self._replicate_periodically(name, scope)

    async def _replicate_periodically(self, name, scope):
        # Cancellation reaches a runnable task only at its next await. By then the peer
        # is already removed, so the scope is checked here.
        while not scope.cancel_called:
            if self.role != LEADER:
                await self._progress_event.wait()
                continue
            peer = self._peer_by_name[name]
            if not peer.is_up:
                await anyio.sleep(TICK_MS / 1000)
                continue
            event = self._wake_event_by_name[name] = anyio.Event()
            try:
                await self._send_to_peer(name, peer)
            except AlmonddealError:
                await anyio.sleep(TICK_MS / 1000)
            if self.role == LEADER and not self._is_lagging(name):
                with anyio.move_on_after(LEADER_HEARTBEAT_INTERVAL_MS / 1000):
                    await event.wait()

    def _is_lagging(self, name):
        next_index = self._next_index_by_name.get(name)
        return next_index is not None and next_index <= self._log.last_index

    async def _send_to_peer(self, name, peer):
        term = self.term
        started_ms = monotonic_ms()
        message, n_sent_bytes, n_written_bytes = self._next_message(name)
        timeout_ms = call_timeout_ms(n_sent_bytes, n_written_bytes)
        self._call_started_ms_by_name[name] = started_ms
        has_reply = False
        try:
            reply = await peer.call(message, timeout_ms)
            has_reply = True
        finally:
            self._call_started_ms_by_name.pop(name, None)
            duration_ms = monotonic_ms() - started_ms
            self._adapt_message_size(name, n_sent_bytes, duration_ms, has_reply)
        if reply.term > self.term:
            async with self.disk_lock:
                await self._adopt_term(reply.term)
            return
        if self._record_acknowledgement(name, term, started_ms):
            self._replied_ms_by_name[name] = monotonic_ms()
            self._process_reply(name, reply)

    def _adapt_message_size(self, name, n_sent_bytes, duration_ms, has_reply):
        """Send less at a time to a peer on a slow link, and more once it is fast.

        A message that takes longer than its call is sent again and again, and each
        time arrives too late. A small message tells nothing about larger ones.
        """
        n_bytes = self._max_message_bytes(name)
        if not has_reply:
            # The timeout is longer; by this clock, a call may end slightly before it.
            is_late = duration_ms >= RPC_TIMEOUT_MS
            if is_late and n_sent_bytes > MIN_MESSAGE_BYTES:
                n_bytes = max(MIN_MESSAGE_BYTES, min(n_bytes, n_sent_bytes) // 2)
        elif duration_ms < LEADER_HEARTBEAT_INTERVAL_MS:
            n_bytes = max(n_bytes, min(MAX_BYTES_PER_APPEND, 2 * n_sent_bytes))
        if name in self._next_index_by_name:
            self._n_message_bytes_by_name[name] = n_bytes

    def _max_message_bytes(self, name):
        return self._n_message_bytes_by_name.get(name, MAX_BYTES_PER_APPEND)

    def _record_acknowledgement(self, name, term, started_ms):
        """Record a reply; return False if this member no longer leads that peer."""
        if (
            self.role != LEADER
            or self.term != term
            or name not in self._next_index_by_name
        ):
            return False
        self._acknowledged_ms_by_name[name] = max(
            self._acknowledged_ms_by_name[name], started_ms
        )
        self._contacted_ms_by_name[name] = monotonic_ms()
        return True

    async def _send_heartbeats_periodically(self, name, scope):
        """Send heartbeats beside calls that take long, such as a large write."""
        while not scope.cancel_called:
            if self.role != LEADER:
                await self._progress_event.wait()
                continue
            started_ms = self._call_started_ms_by_name.get(name, float("inf"))
            if monotonic_ms() - started_ms > LEADER_HEARTBEAT_INTERVAL_MS:
                await self._send_heartbeat(name)
            await anyio.sleep(LEADER_HEARTBEAT_INTERVAL_MS / 1000)

    async def _send_heartbeat(self, name):
        term = self.term
        started_ms = monotonic_ms()
        # Without a position in the log, the peer replies without access to its disk.
        message = AppendLog(term, self.name, 0, 0, [], 0, name)
        try:
            reply = await self._peer_by_name[name].call(message, RPC_TIMEOUT_MS)
        except AlmonddealError:
            # The call beside it ends as well, or takes longer.
            return
        if reply.ok:
            self._record_acknowledgement(name, term, started_ms)
            self._notify_progress()
        elif name in self._contacted_ms_by_name:
            # Its disk may have no room or time for the new term.
            self._contacted_ms_by_name[name] = monotonic_ms()

    def _next_message(self, name):
        """Return the next message to a peer, and the bytes that it sends and stores."""
        next_index = self._next_index_by_name[name]
        transfer = self._update_transfer(name, next_index)
        if transfer is None:
            entries = self._entries_for_append(name, next_index)
            n_bytes = n_command_bytes(entries)
            message = self._make_append_message(next_index, entries, name)
            return message, n_bytes, n_bytes
        if next_index < self._log.first_kept_index:
            message = transfer.message(self.term, self.name, name)
        else:
            message = self._make_append_message(next_index, [], name)
            transfer.add_part(message)
        n_written_bytes = len(transfer.data) if transfer.is_last_chunk else 0
        return message, len(transfer.chunk), n_written_bytes

    def _update_transfer(self, name, next_index):
        """Return the present transfer to a peer, or None; start one if it is due."""
        transfer = self._transfer_by_name.get(name)
        if next_index < self._log.first_kept_index:
            if not isinstance(transfer, SnapshotTransfer):
                # The stored one may be far behind, and the entries after it large.
                transfer = SnapshotTransfer(self._make_snapshot())
        elif self._is_sent_in_parts(name, next_index):
            if not isinstance(transfer, EntryTransfer) or transfer.index != next_index:
                transfer = EntryTransfer(self._log.entry(next_index))
        else:
            transfer = None
        if transfer is not None:
            transfer.n_chunk_bytes = self._max_message_bytes(name)
        self._transfer_by_name[name] = transfer
        return transfer

    def _first_index_to_keep(self, snapshot):
        """Return the index of the first entry to keep beside a new snapshot.

        A member that receives the snapshot before, or the entries after it, needs the
        later entries next. They reach it before the new snapshot if they are smaller.
        """
        first_index = snapshot.index + 1
        if self.role != LEADER:
            return first_index
        for name in self._next_index_by_name:
            index = self._next_entry_index(name)
            if index is None or not self._log.first_kept_index <= index < first_index:
                continue
            entries = self._log.entries_from(index, snapshot.index + 1 - index)
            if n_command_bytes(entries) <= len(snapshot.state):
                first_index = index
        return first_index

    def _next_entry_index(self, name):
        """Return the index of the next entry to a peer; None if the peer is silent."""
        transfer = self._transfer_by_name.get(name)
        if isinstance(transfer, SnapshotTransfer):
            return transfer.index + 1
        silence_ms = monotonic_ms() - self._contacted_ms_by_name[name]
        if silence_ms > RESPONSIVE_SILENCE_MS:
            return None
        return self._next_index_by_name[name]

    def _is_sent_in_parts(self, name, index):
        if index > self._log.last_index or name in self._names_without_parts:
            return False
        return len(self._log.entry(index).command) > self._max_message_bytes(name)

    def _make_append_message(self, next_index, entries, name):
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

    def _entries_for_append(self, name, next_index):
        max_bytes = self._max_message_bytes(name)
        entries = self._log.entries_from(next_index, MAX_ENTRIES_PER_APPEND)
        n_bytes = 0
        for position, entry in enumerate(entries):
            n_bytes += len(entry.command)
            if position and n_bytes > max_bytes:
                return entries[:position]
        return entries

    def _process_reply(self, name, reply):
        transfer = self._transfer_by_name.get(name)
        if transfer is not None and self._is_transfer_open(name, transfer, reply):
            self._notify_progress()
            return
        self._transfer_by_name.pop(name, None)
        if reply.ok:
            self._match_index_by_name[name] = max(
                self._match_index_by_name[name], reply.match_index
            )
            self._next_index_by_name[name] = reply.match_index + 1
            self._advance_commit()
            if self.role == LEADER and name in self._join_request_by_name:
                self._propose_member_change(monotonic_ms())
        else:
            # A follower that refuses gives in `match_index` the last index to try.
            self._next_index_by_name[name] = max(1, reply.match_index + 1)
        self._notify_progress()

    def _is_transfer_open(self, name, transfer, reply):
        """Record the progress of a transfer; return whether the peer needs more of it.

        A member of an earlier release takes snapshots in chunks and entries as a whole,
        and does not tell what it has received.
        """
        if reply.ok and reply.match_index >= transfer.index:
            return False
        if reply.n_received_bytes is not None:
            transfer.offset = reply.n_received_bytes
            return True
        if isinstance(transfer, EntryTransfer):
            if reply.ok:
                self._names_without_parts.add(name)
            return False
        transfer.offset = transfer.offset + len(transfer.chunk) if reply.ok else 0
        return True

    def _advance_commit(self):
        if self.role != LEADER:
            return
        voters = self.members.voters_except(self.name)
        matched = [self._match_index_by_name.get(name, 0) for name in voters]
        if self.name in self.members:
            matched.append(self._durable_index)
        # The leader commits only entries on its own disk, so that it can remove entries
        # whose write failed.
        index = min(sorted(matched, reverse=True)[self.quorum - 1], self._durable_index)
        if index > self.commit_index and self._log.term_at(index) == self.term:
            self.commit_index = index
            self._apply_committed()
            self._wake_peers()
            if self.name not in self.members and index >= self.members_index:
                log.info(
                    "this member was removed from the group, members are now %s",
                    sorted(self.members.voters_except("")),
                )
                self._become_follower(None)
            elif self._join_request_by_name:
                self._propose_member_change(monotonic_ms())
