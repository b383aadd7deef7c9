"""Membership changes of a running group: joins, removals and the peers they need.

The mixin uses the attributes of `Consensus`.
"""

from contextlib import suppress

import anyio

from almonddeal.control.constants import (
    ELECTION_TIMEOUT_MIN_MS,
    JOIN_MEMORY_MS,
    KIND_MEMBERS,
    LEADER,
    LEAVING_EXPIRY_MS,
    RPC_TIMEOUT_MS,
    STALL_ALLOWANCE_MS,
    TICK_MS,
)
from almonddeal.control.members import (
    RESPONSIVE_SILENCE_MS,
    JoinRequest,
    Members,
    next_members,
)
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    NOT_LEADER,
    NOT_REACHED,
    OK,
    AlmonddealError,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.codec import decode
from almonddeal_common.wire.gen.ttypes import (
    JoinGroup,
    JoinGroupReply,
    MemberSet,
)

log = get_logger("control")


class MembershipMixin:
    """Voters, join requests and peers of `Consensus`."""

    def _set_members(self, members, index):
        """Switch to the members of the log entry at `index`, committed or not."""
        if self.members.address_by_name != members.address_by_name:
            log.info(
                "members are %s as of log entry %d",
                sorted(members.voters_except("")),
                index,
            )
        self.members = members
        self.members_index = index
        self.has_been_member |= self.name in members
        if self._is_leader_removed:
            # It steps down once a majority has this change.
            self.election_timeout_ms = self._random_first_election_timeout_ms()
        self._update_peers()

    @property
    def _is_leader_removed(self):
        """Whether the leader that this member follows is not a voter any more."""
        return self.leader is not None and self.leader not in self.members

    def _load_members_from_log(self):
        """Switch to the newest members in the log, or to those of its snapshot."""
        for index in range(self._log.last_index, self._log.first_index - 1, -1):
            entry = self._log.entry(index)
            if entry.kind == KIND_MEMBERS:
                members = Members.from_wire(decode(MemberSet, entry.command))
                self._set_members(members, index)
                return
        members = Members.from_wire(self._log.snapshot.members) or Members({}, 0)
        self._set_members(members, self._log.snapshot.index)

    def _truncate_log(self, from_index):
        self._log.truncate_from(from_index)
        self._durable_index = min(self._durable_index, self._log.last_index)
        if self._connect is not None and self.members_index >= from_index:
            self._load_members_from_log()

    def _update_peers(self):
        """Start and stop the peers of other voters and joining processes.

        Each peer has a replication task, which sends only while this member leads.
        """
        if self._task_group is None:
            return
        address_by_name = dict(self.members.address_by_name)
        if self.role == LEADER:
            for join_request in self._join_request_by_name.values():
                address_by_name.setdefault(join_request.name, join_request.address)
        address_by_name.pop(self.name, None)
        for name, address in address_by_name.items():
            if name not in self._peer_by_name:
                self._peer_by_name[name] = self._connect(name, address)
            if name not in self._replication_scope_by_name:
                scope = self._replication_scope_by_name[name] = anyio.CancelScope()
                self._wake_event_by_name[name] = anyio.Event()
                self._match_index_by_name[name] = 0
                self._next_index_by_name[name] = self._log.last_index + 1
                self._acknowledged_ms_by_name[name] = 0.0
                self._replied_ms_by_name[name] = 0.0
                self._contacted_ms_by_name[name] = 0.0
                self._task_group.start_soon(self._replicate_in_scope, name, scope)
        for name in [
            n for n in self._replication_scope_by_name if n not in address_by_name
        ]:
            self._replication_scope_by_name.pop(name).cancel()
            for value_by_name in (
                self._wake_event_by_name,
                self._match_index_by_name,
                self._next_index_by_name,
                self._acknowledged_ms_by_name,
                self._call_started_ms_by_name,
                self._replied_ms_by_name,
                self._contacted_ms_by_name,
                self._transfer_by_name,
                self._n_message_bytes_by_name,
            ):
                value_by_name.pop(name, None)
            self._disconnect(self._peer_by_name.pop(name))

    def _propose_member_change(self, now_ms):
        """Append the next membership change, once the one before is committed."""
        if self._connect is None or self.members_index > self.commit_index:
            return
        # It may have stepped down at this tick, or have been elected just now.
        if self.role != LEADER or not self._recent_commit_indexes:
            return
        for name in [n for n in self._join_request_by_name if n in self.members]:
            del self._join_request_by_name[name]

        def is_caught_up(name):
            is_responsive = (
                now_ms - self._acknowledged_ms_by_name[name] < ELECTION_TIMEOUT_MIN_MS
            )
            # With steady changes, a process on a slow disk always lacks the last ones.
            wanted_index = self._recent_commit_indexes[0]
            return is_responsive and self._match_index_by_name[name] >= wanted_index

        def silence_ms(name):
            if name == self.name:
                return 0.0
            stall_ms = now_ms - self._replied_ms_by_name[name]
            silence_ms = now_ms - self._contacted_ms_by_name[name]
            return max(silence_ms, stall_ms - STALL_ALLOWANCE_MS)

        leaving_names = [
            name
            for name, asked_ms in self._leaving_ms_by_name.items()
            if now_ms - asked_ms < LEAVING_EXPIRY_MS
        ]
        members = next_members(
            self.members,
            self._join_request_by_name,
            is_caught_up,
            silence_ms,
            leaving_names,
        )
        if members is not None:
            self._append_members(members)

    def make_join_request(self, address, is_first_start):
        """Return the `JoinGroup` with which this process asks to be a voter.

        A process of the first start beyond the seeds enlarges the group; a later one
        replaces a lost voter, and a voter that was removed returns to its place.
        """
        is_addition = is_first_start and not self.has_been_member
        return JoinGroup(self.name, address, is_addition)

    async def leave(self):
        """Ask to be removed in favour of a successor, and wait for it.

        Returns once the removal is committed, or if there is no successor. Without
        this, a member that is stopped for good stays a voter until its silence shows
        that it is lost.
        """
        address = self.members.address_by_name.get(self.name, "")
        request = JoinGroup(self.name, address, False, True)
        while self.leader in (self.name, *self._peer_by_name):
            with suppress(AlmonddealError):
                if self.role == LEADER:
                    reply = await self.handle_join(None, request, None)
                else:
                    leader = self._peer_by_name[self.leader]
                    reply = await leader.call(request, RPC_TIMEOUT_MS)
                if reply.code == OK.number and not reply.is_voter:
                    return
            await anyio.sleep(TICK_MS / 1000)

    def _is_waiting_to_leave(self, name):
        """Tell whether a member that leaves is to wait until it is removed."""
        is_change_committed = self.members_index <= self.commit_index
        has_successor = self.members.has_surplus or self._has_responsive_joiner()
        return not is_change_committed or (name in self.members and has_successor)

    def _has_responsive_joiner(self):
        contacted_ms = (
            self._contacted_ms_by_name.get(name, 0.0)
            for name in self._join_request_by_name
        )
        now_ms = monotonic_ms()
        return any(now_ms - at_ms < RESPONSIVE_SILENCE_MS for at_ms in contacted_ms)

    async def handle_join(self, link, message, emit):
        """Handle the request of a process to become a voter, or not to be one."""
        if self.role != LEADER:
            return await self._forward_to_leader(message)
        if message.is_leaving:
            self._leaving_ms_by_name[message.name] = monotonic_ms()
            is_waiting = self._is_waiting_to_leave(message.name)
            return JoinGroupReply(OK.number, "", is_waiting)
        is_voter = message.name in self.members
        if not is_voter and message.name not in self._join_request_by_name:
            self._add_join_request(message)
            self._update_peers()
        address = self.members.address_by_name.get(self.name, "")
        return JoinGroupReply(OK.number, address, is_voter)

    def _remember_refused_join(self, message):
        self._forget_old_joins()
        self._refused_join_by_address[message.address] = message, monotonic_ms()

    def _forget_old_joins(self):
        oldest_ms = monotonic_ms() - JOIN_MEMORY_MS
        self._refused_join_by_address = {
            address: (message, refused_ms)
            for address, (message, refused_ms) in self._refused_join_by_address.items()
            if refused_ms > oldest_ms
        }

    def _accept_refused_joins(self):
        """Accept the join requests that came during the election, as the new leader."""
        self._forget_old_joins()
        for message, _ in self._refused_join_by_address.values():
            if message.name not in self.members:
                self._add_join_request(message)
        self._refused_join_by_address.clear()

    def _add_join_request(self, message):
        log.info("received a join request from %s at %s", message.name, message.address)
        for name in [
            n
            for n, join_request in self._join_request_by_name.items()
            if join_request.address == message.address
        ]:
            del self._join_request_by_name[name]
        self._join_request_by_name[message.name] = JoinRequest(
            message.name, message.address, message.is_addition
        )

    async def _forward_to_leader(self, message):
        """Pass a join request on, as its sender may not reach the leader itself."""
        leader = self._peer_by_name.get(self.leader)
        if leader is not None and not message.is_forwarded:
            message.is_forwarded = True
            with suppress(AlmonddealError):
                reply = await leader.call(message, RPC_TIMEOUT_MS)
                if reply.code == OK.number:
                    return reply
        if not message.is_leaving:
            self._remember_refused_join(message)
        address = self.members.address_by_name.get(self.leader, "")
        return JoinGroupReply(NOT_LEADER.number, address, False)

    def _check_recipient(self, recipient):
        # A process that lost its disk restarts at the same address under a new name.
        if recipient and recipient != self.name:
            raise AlmonddealError(NOT_REACHED, f"{self.name} is not {recipient}")
