"""Elections of the control group: pre-votes, votes, and the end of a lead.

Only a part of `Consensus`, which holds the state.
"""

import anyio
from anyio import create_task_group

from almonddeal.control.constants import (
    CALL_TIMEOUT_MS,
    CANDIDATE,
    DISK_STALL_MS,
    DISK_STALL_PAUSE_MS,
    ELECTION_MAX_MS,
    ELECTION_MIN_MS,
    EVENT_LOOP_STALL_MS,
    KIND_BARRIER,
    LEADER,
    TICK_MS,
)
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    AlmonddealError,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import (
    Vote,
    VoteReply,
)

log = get_logger("control")


class Elections:
    """Part of `Consensus`: who leads."""

    async def _watch_election(self):
        last_ms = monotonic_ms()
        while True:
            await anyio.sleep(TICK_MS / 1000)
            now_ms = monotonic_ms()
            if now_ms - last_ms > TICK_MS + EVENT_LOOP_STALL_MS:
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

    async def _adopt_term(self, term):
        """Enter a higher term as a follower, durably."""
        if term <= self.term:
            return
        await self._on_disk(self._store.save_meta, term, "")
        self.term = term
        self._voted_for = ""
        self._follow(None)

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
        silence_ms = monotonic_ms() - self._leader_heard_ms
        hears_leader = self.role == LEADER or silence_ms < ELECTION_MIN_MS
        if message.pre:
            granted = not hears_leader and message.term > self.term
            granted = granted and self._is_up_to_date(message)
            return VoteReply(self.term, granted)
        async with self.disk:
            await self._adopt_term(message.term)
            free = self._voted_for in ("", message.candidate)
            granted = message.term == self.term and free
            # An entry may have been written while this waited for the disk.
            granted = granted and self._is_up_to_date(message)
            if granted:
                await self._on_disk(self._store.save_meta, self.term, message.candidate)
                self._voted_for = message.candidate
                self._last_heard_ms = monotonic_ms()
        return VoteReply(self.term, granted)

    def _is_up_to_date(self, vote):
        """Tell whether a candidate's log holds all that this one does."""
        mine = (self._log.last_term, self._log.last_index)
        return (vote.last_term, vote.last_index) >= mine

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
