"""Members of a running group: who they are, who joins, who leaves.

Only a part of `Consensus`, which holds the state.
"""

import anyio

from almonddeal.control.constants import (
    ELECTION_MIN_MS,
    KIND_MEMBERS,
    LEADER,
)
from almonddeal.control.members import Joining, Members, next_members
from almonddeal_common.codes import (
    NOT_LEADER,
    NOT_REACHED,
    OK,
    AlmonddealError,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.codec import decode
from almonddeal_common.wire.gen.ttypes import (
    JoinGroupReply,
    MemberSet,
)

log = get_logger("control")


class MemberChanges:
    """Part of `Consensus`: who belongs to the group."""

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
