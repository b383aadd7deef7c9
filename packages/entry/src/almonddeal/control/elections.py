"""Elections of the control group: pre-votes, votes and stepping down.

The mixin uses the attributes of `Consensus`.
"""

import anyio
from anyio import create_task_group

from almonddeal.control.constants import (
    CANDIDATE,
    ELECTION_TIMEOUT_MAX_MS,
    ELECTION_TIMEOUT_MIN_MS,
    EVENT_LOOP_STALL_MS,
    KIND_NO_OP,
    LEADER,
    PRE_VOTE_PROMISE_MS,
    RPC_TIMEOUT_MS,
    TICK_MS,
    VOTE_TIMEOUT_MS,
)
from almonddeal.control.members import RESPONSIVE_SILENCE_MS
from almonddeal.control.vote_count import VoteCount
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    STORAGE_FULL,
    AlmonddealError,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import (
    Vote,
    VoteReply,
)

log = get_logger("control")

EXPIRED_MS = float("-inf")  # start of an election timer that has expired


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
                self._recent_commit_indexes.append(self.commit_index)
                self._propose_member_change(now_ms)
            elif self.name not in self.members:
                self._election_timer_start_ms = now_ms
            elif self._write_started_ms is not None:
                if not self._is_timer_expired:
                    self._election_timer_start_ms = now_ms
            elif now_ms - self._election_timer_start_ms > self.election_timeout_ms:
                self._election_timer_start_ms = now_ms
                self.election_timeout_ms = self._random_election_timeout_ms()
                if not self._is_in_pre_vote:
                    self._task_group.start_soon(self._run_election)

    async def _run_election(self):
        try:
            await self._start_election()
        except* AlmonddealError as group:
            reasons = ", ".join(map(str, group.exceptions))
            log.error("cannot stand for election: %s", reasons)
            # Its pre-vote has restarted the timers of the others.
            self._election_timer_start_ms = monotonic_ms() + ELECTION_TIMEOUT_MAX_MS

    def _step_down_without_quorum(self, now_ms):
        if now_ms - self._quorum_acknowledged_ms() > ELECTION_TIMEOUT_MAX_MS:
            log.warning(
                "stepped down as leader of term %d, no quorum replied in time",
                self.term,
            )
            self._become_follower(None)

    def _step_down_if_disk_stalls(self, now_ms):
        """Step down if a disk operation stalls, so that another member can lead."""
        if self._is_disk_stalled and self._can_be_replaced(now_ms):
            log.warning(
                "stepped down as leader, a disk operation has taken %.0f ms",
                now_ms - self._write_started_ms,
            )
            self._become_follower(None)

    def _can_be_replaced(self, now_ms):
        """Tell whether the other members that reply can elect a leader by themselves.

        If not, nothing can be committed before the stall ends, and a new election would
        take place only then.
        """
        voters = self.members.voters_except(self.name)
        n_responsive = sum(
            now_ms - self._contacted_ms_by_name[name] < RESPONSIVE_SILENCE_MS
            for name in voters
        )
        return n_responsive >= self.quorum

    async def _adopt_term(self, term):
        """Become a follower in a higher term, after storing the term durably.

        Does nothing if the term is not higher. The caller holds `disk_lock`.
        """
        if term > self.term:
            await self._store_vote(term, "")

    async def _store_vote(self, term, candidate):
        """Store a vote in the present or a higher term; "" is no vote yet.

        The caller holds `disk_lock`.
        """
        if (term, candidate) == (self.term, self._voted_for):
            return
        await self._run_disk_io(self._store.save_meta, term, candidate)
        is_new_term = term > self.term
        self.term = term
        self._voted_for = candidate
        if is_new_term:
            self._become_follower(None)

    async def _start_election(self):
        self._n_elections_without_leader += 1
        if self._store.n_missing_bytes:
            # Without room, the first write as leader would end its term.
            async with self.disk_lock:
                await self._run_disk_io(self._store.check_room)
        self._is_in_pre_vote = True
        try:
            term = await self._run_pre_votes()
        finally:
            self._is_in_pre_vote = False
        if term is None or not await self._stand_in_term(term):
            self._withdraw_pre_vote()

    async def _run_pre_votes(self):
        """Return the term for which a majority would elect this member, or None."""
        while True:
            term = self.term + 1
            if await self._wins_pre_vote(term):
                return term
            has_adopted_term = self.term >= term and not self._voted_for
            if not has_adopted_term or self.leader or self.name not in self.members:
                return None
            # The refusal may be due to the older term alone.

    async def _wins_pre_vote(self, term):
        self._pre_vote_started_ms = monotonic_ms()
        self._promise_pre_vote(self.name)
        count = VoteCount(self.quorum)
        async with create_task_group() as requests:
            count.add_vote()
            self._request_votes(requests, count, term, is_pre_vote=True)
            await count.decided.wait()
            requests.cancel_scope.cancel()
        return count.is_won and self._pre_vote_candidate == self.name

    async def _stand_in_term(self, term):
        """Request the votes of a term until it is won, or another one begins.

        The other members store their votes beside ours. A vote counts however long its
        disk takes; the next election starts beside these requests.

        Returns
        -------
        is_candidate : bool
            False if this member does not stand.
        """
        async with create_task_group() as requests:
            async with self.disk_lock:
                if not self._may_stand_in_term(term):
                    return False
                count = VoteCount(self.quorum)
                self._request_votes(requests, count, term, is_pre_vote=False)
                await self._store_vote(term, self.name)
                self.role = CANDIDATE
                self._candidacy_scope = requests.cancel_scope
                count.add_vote()
                requests.start_soon(self._offer_state_periodically)
            await count.decided.wait()
            requests.cancel_scope.cancel()
        is_candidate = self.term == term and self.role == CANDIDATE
        if count.is_won and is_candidate and not self._is_outvoted:
            self._become_leader()
        return True

    def _may_stand_in_term(self, term):
        """Tell whether nothing has happened since the pre-vote that decides otherwise.

        This member may have voted, won its former candidacy, received messages of a
        leader, or stored its removal, so that its own vote does not count.
        """
        is_led = self._last_leader_contact_ms > self._pre_vote_started_ms
        is_next_term = self.term + 1 == term
        is_elected = self.role == LEADER
        return (
            is_next_term and not is_elected and not is_led and self.name in self.members
        )

    @property
    def _is_outvoted(self):
        """Whether a vote for a higher term waits for this member's disk.

        A leader of the lower term would end with that vote, and its first entry could
        keep the candidate of the higher term from being elected.
        """
        return any(m.term > self.term for m in self._waiting_vote_requests)

    def _withdraw_pre_vote(self):
        if self._pre_vote_candidate == self.name:
            self._pre_vote_candidate = None

    def _end_candidacy(self):
        if self._candidacy_scope is not None:
            self._candidacy_scope.cancel()
            self._candidacy_scope = None

    def _request_votes(self, requests, count, term, is_pre_vote):
        """Start the requests for the votes of the other members in a task group."""
        last_index, last_term = self._log.last_index, self._log.last_term
        timeout_ms = RPC_TIMEOUT_MS if is_pre_vote else VOTE_TIMEOUT_MS

        async def request_vote(name, peer):
            request = Vote(term, self.name, last_index, last_term, is_pre_vote, name)
            has_failed = False
            while True:
                started_ms = monotonic_ms()
                try:
                    reply = await peer.call(request, timeout_ms)
                    break
                except AlmonddealError as error:
                    if not has_failed:
                        log.info("vote request to %s failed: %s", name, error)
                    has_failed = True
                    if is_pre_vote or error.code == STORAGE_FULL:
                        return
                if monotonic_ms() - started_ms < timeout_ms:
                    await anyio.sleep(TICK_MS / 1000)
            if reply.granted:
                count.add_vote()
            elif reply.term > self.term:
                await self._adopt_term_of_voter(name, reply.term)
                count.decided.set()

        async def request_all_votes():
            async with create_task_group() as calls:
                for name in self.members.voters_except(self.name):
                    calls.start_soon(request_vote, name, self._peer_by_name[name])
            count.decided.set()

        requests.start_soon(request_all_votes)

    async def _adopt_term_of_voter(self, name, term):
        try:
            async with self.disk_lock:
                await self._adopt_term(term)
        except AlmonddealError as error:
            log.error("could not store the term of %s: %s", name, error)

    def _promise_pre_vote(self, candidate):
        self._pre_vote_candidate = candidate
        self._pre_vote_promise_ms = monotonic_ms()

    def _is_promised_to_another(self, message):
        """Tell whether a pre-vote may still lead to the election of another member.

        Of two members that stand at the same time, the one with the newer log wins, or
        else that with the lower name.
        """
        age_ms = monotonic_ms() - self._pre_vote_promise_ms
        if age_ms > PRE_VOTE_PROMISE_MS:
            return False
        if self._pre_vote_candidate == self.name:
            is_newer = (message.last_term, message.last_index) > self._last_entry
            return not is_newer and message.candidate > self.name
        return self._pre_vote_candidate not in (None, message.candidate)

    def _grant_pre_vote(self, message):
        silence_ms = monotonic_ms() - self._last_leader_contact_ms
        is_led = silence_ms < ELECTION_TIMEOUT_MIN_MS and not self._is_leader_removed
        if self.role == LEADER or is_led:
            return False
        if not self._is_up_to_date(message):
            self._stand_next_tick()
            return False
        if message.term <= self.term:
            return False
        if any(m.candidate == message.candidate for m in self._waiting_vote_requests):
            # It is elected sooner in the term for which it has requested the vote.
            return False
        if self._is_promised_to_another(message):
            return False
        self._promise_pre_vote(message.candidate)
        self._election_timer_start_ms = monotonic_ms()
        return True

    def _stand_next_tick(self):
        """Have the election timer expire, as this member can win and another cannot."""
        promise_age_ms = monotonic_ms() - self._pre_vote_promise_ms
        if promise_age_ms > PRE_VOTE_PROMISE_MS or self._pre_vote_candidate is None:
            self._election_timer_start_ms = EXPIRED_MS

    @property
    def _is_timer_expired(self):
        """Whether this member stands at the first tick at which its disk serves."""
        return self._election_timer_start_ms == EXPIRED_MS

    async def handle_vote(self, link, message, emit):
        """Handle a vote or pre-vote request of a candidate."""
        self._check_recipient(message.recipient)
        if message.pre:
            return VoteReply(self.term, self._grant_pre_vote(message))
        self._waiting_vote_requests.append(message)
        try:
            return await self._vote(message)
        finally:
            self._waiting_vote_requests.remove(message)

    async def _vote(self, message):
        async with self.disk_lock:
            # Compared only now: an append that held the lock before may have made this
            # log newer than that of the candidate.
            granted = self._can_vote_for(message)
            if granted:
                await self._store_vote(message.term, message.candidate)
                self._election_timer_start_ms = monotonic_ms()
            else:
                await self._adopt_term(message.term)
        return VoteReply(self.term, granted)

    def _can_vote_for(self, message):
        if not self._is_up_to_date(message):
            return False
        if message.term == self.term:
            return self._voted_for in ("", message.candidate)
        return message.term > self.term

    def _is_up_to_date(self, vote):
        """Return whether a candidate's log is at least as up to date as this one."""
        return (vote.last_term, vote.last_index) >= self._last_entry

    @property
    def _last_entry(self):
        """Term and index of the last entry, by which logs are compared."""
        return self._log.last_term, self._log.last_index

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
        self._contacted_ms_by_name = dict(self._replied_ms_by_name)
        self._match_index_by_name = dict.fromkeys(self._peer_by_name, 0)
        self._next_index_by_name = dict.fromkeys(
            self._peer_by_name, self._log.last_index + 1
        )
        self._transfer_by_name = {}
        self._names_without_parts = set()
        self._first_index_of_term = self._log.last_index + 1
        self._join_request_by_name = {}
        self._accept_refused_joins()
        self._recent_commit_indexes.clear()
        # The first entry of the term; once committed, it commits all earlier ones.
        if self._connect is None:
            self._append_as_leader(KIND_NO_OP, b"")
        else:
            self._append_members(self.members)
        self._update_peers()
        self._notify_progress()
