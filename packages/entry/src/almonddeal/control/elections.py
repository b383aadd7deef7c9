"""Elections of the control group: pre-votes, votes and stepping down.

The mixin uses the attributes of `Consensus`.
"""

import anyio
from anyio import create_task_group

from almonddeal.control.constants import (
    CANDIDATE,
    DISK_STALL_BACKOFF_MS,
    DISK_STALL_MS,
    ELECTION_TIMEOUT_MAX_MS,
    ELECTION_TIMEOUT_MIN_MS,
    EVENT_LOOP_STALL_MS,
    KIND_NO_OP,
    LEADER,
    MIN_DISK_BYTES_PER_MS,
    RPC_TIMEOUT_MS,
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


class ElectionMixin:
    """Election timer, votes and change of role of `Consensus`."""

    async def _tick_periodically(self):
        last_tick_ms = monotonic_ms()
        while True:
            await anyio.sleep(TICK_MS / 1000)
            now_ms = monotonic_ms()
            if now_ms - last_tick_ms > TICK_MS + EVENT_LOOP_STALL_MS:
                self._election_timer_start_ms = now_ms
            last_tick_ms = now_ms
            if self.role == LEADER:
                self._last_led_ms = now_ms
                self._step_down_without_quorum(now_ms)
                self._step_down_if_disk_stalls(now_ms)
                self._propose_member_change(now_ms)
            elif self.name not in self.members or self._write_started_ms is not None:
                self._election_timer_start_ms = now_ms
            elif now_ms - self._election_timer_start_ms > self.election_timeout_ms:
                self._election_timer_start_ms = now_ms
                self.election_timeout_ms = self._random_election_timeout_ms()
                try:
                    await self._start_election()
                except AlmonddealError as error:
                    log.error("cannot stand for election: %s", error)

    def _step_down_without_quorum(self, now_ms):
        if now_ms - self._quorum_acknowledged_ms() > ELECTION_TIMEOUT_MAX_MS:
            log.warning(
                "stepped down as leader of term %d, no quorum replied in time",
                self.term,
            )
            self._become_follower(None)

    def _step_down_if_disk_stalls(self, now_ms):
        """Step down if a disk operation stalls, so that another member can lead."""
        started_ms = self._write_started_ms
        limit_ms = DISK_STALL_MS + self._n_bytes_in_write / MIN_DISK_BYTES_PER_MS
        if started_ms is not None and now_ms - started_ms > limit_ms:
            log.warning(
                "stepped down as leader, a disk operation has taken %.0f ms",
                now_ms - started_ms,
            )
            self._election_timer_start_ms = now_ms + DISK_STALL_BACKOFF_MS
            self._become_follower(None)

    async def _adopt_term(self, term):
        """Become a follower in a higher term, after storing the term durably.

        Does nothing if the term is not higher. The caller holds `disk_lock`.
        """
        if term <= self.term:
            return
        await self._run_disk_io(self._store.save_meta, term, "")
        self.term = term
        self._voted_for = ""
        self._become_follower(None)

    async def _start_election(self):
        self._n_elections_without_leader += 1
        if self._store.n_missing_bytes:
            # Without room, the first write as leader would end its term.
            async with self.disk_lock:
                await self._run_disk_io(self._store.check_room)
        term = self.term + 1
        if not await self._collect_votes(term, is_pre_vote=True):
            return
        async with self.disk_lock:
            if self.term + 1 != term:
                # This member has voted since, or a leader was elected.
                return
            await self._run_disk_io(self._store.save_meta, term, self.name)
            self.term = term
            self._voted_for = self.name
            self.role = CANDIDATE
            self.leader = None
        is_elected = await self._collect_votes(term, is_pre_vote=False)
        if is_elected and self.term == term and self.role == CANDIDATE:
            self._become_leader()

    async def _collect_votes(self, term, is_pre_vote):
        last_index, last_term = self._log.last_index, self._log.last_term
        n_granted = 1
        is_decided = anyio.Event()
        if n_granted >= self.quorum:
            return True

        async def request_vote(name, peer):
            nonlocal n_granted
            request = Vote(term, self.name, last_index, last_term, is_pre_vote, name)
            try:
                reply = await peer.call(request, RPC_TIMEOUT_MS)
                if reply.term > self.term and not reply.granted:
                    async with self.disk_lock:
                        await self._adopt_term(reply.term)
            except AlmonddealError as error:
                log.info("vote request to %s failed: %s", name, error)
                return
            if reply.granted:
                n_granted += 1
                if n_granted >= self.quorum:
                    is_decided.set()

        async def request_all_votes():
            async with create_task_group() as vote_requests:
                for name in self.members.voters_except(self.name):
                    vote_requests.start_soon(
                        request_vote, name, self._peer_by_name[name]
                    )
            is_decided.set()

        async with create_task_group() as group:
            group.start_soon(request_all_votes)
            await is_decided.wait()
            group.cancel_scope.cancel()
        return n_granted >= self.quorum

    async def handle_vote(self, link, message, emit):
        """Handle a vote or pre-vote request of a candidate."""
        self._check_recipient(message.recipient)
        silence_ms = monotonic_ms() - self._last_leader_contact_ms
        has_leader = self.role == LEADER or silence_ms < ELECTION_TIMEOUT_MIN_MS
        if message.pre:
            granted = not has_leader and message.term > self.term
            granted = granted and self._is_up_to_date(message)
            return VoteReply(self.term, granted)
        async with self.disk_lock:
            await self._adopt_term(message.term)
            can_vote = self._voted_for in ("", message.candidate)
            granted = message.term == self.term and can_vote
            # Compared only now: an append that held the lock before may have made this
            # log newer than that of the candidate.
            granted = granted and self._is_up_to_date(message)
            if granted:
                await self._run_disk_io(
                    self._store.save_meta, self.term, message.candidate
                )
                self._voted_for = message.candidate
                self._election_timer_start_ms = monotonic_ms()
        return VoteReply(self.term, granted)

    def _is_up_to_date(self, vote):
        """Return whether a candidate's log is at least as up to date as this one."""
        own = (self._log.last_term, self._log.last_index)
        return (vote.last_term, vote.last_index) >= own

    def _become_leader(self):
        log.info("became leader of term %d", self.term)
        self.role = LEADER
        self.leader = self.name
        now_ms = monotonic_ms()
        self._acknowledged_ms_by_name = dict.fromkeys(self._peer_by_name, now_ms)
        # No one is removed before a majority has replied in this term, so that those
        # silent by then were so through the election.
        silent_since_ms = max(self._last_leader_contact_ms, self._last_led_ms)
        self._replied_ms_by_name = dict.fromkeys(self._peer_by_name, silent_since_ms)
        self._match_index_by_name = dict.fromkeys(self._peer_by_name, 0)
        self._next_index_by_name = dict.fromkeys(
            self._peer_by_name, self._log.last_index + 1
        )
        self._transfer_by_name = {}
        self._names_without_parts = set()
        self._first_index_of_term = self._log.last_index + 1
        self._join_request_by_name = {}
        # The first entry of the term; once committed, it commits all earlier ones.
        if self._connect is None:
            self._append_as_leader(KIND_NO_OP, b"")
        else:
            self._append_members(self.members)
        self._update_peers()
        self._notify_progress()
