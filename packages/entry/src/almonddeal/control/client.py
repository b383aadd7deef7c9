"""Client of the control group: submits commands and refreshes the local state."""

import anyio

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    CHANGE_OUTCOME_UNKNOWN,
    CODE_BY_NUMBER,
    DEADLINE,
    NO_QUORUM,
    NOT_LEADER,
    NOT_REACHED,
    OK,
    AlmonddealError,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import (
    FetchDocument,
    Propose,
    ProposeReply,
    ReadFresh,
    ReadFreshReply,
)

RETRY_INTERVAL_S = 0.05
LEADER_CHECK_INTERVAL_S = 0.02
PROPOSE_TIMEOUT_MS = 2000
REFRESH_STEP_TIMEOUT_MS = 800
REFRESH_INTERVAL_S = 0.5
NOT_PROPOSED_CODES = frozenset(
    (NOT_LEADER.number, NOT_REACHED.number, NO_QUORUM.number)
)

log = get_logger("control")


class ControlClient:
    """Submits commands to the leader and keeps the local state fresh.

    Parameters
    ----------
    name : str
        This instance.
    consensus : Consensus or None
        The local member; None if this instance is not a member of the group.
    peer_by_name : dict of str to Peer
        The other members.
    replica : DocumentReplica or None
        Receives the document if `consensus` is None; else not used.

    Attributes
    ----------
    term : int
        Highest term seen in a refresh.
    """

    def __init__(self, name, consensus, peer_by_name, replica):
        self._name = name
        self._consensus = consensus
        self._peer_by_name = peer_by_name
        self._replica = replica
        self._leader = None
        self._fresh_at_ms = None
        self.term = 0

    @property
    def fresh_age_ms(self):
        """Age in ms of the newest confirmed read that the local state covers.

        Measured from the start of the read; -1 if there was none.
        """
        if self._fresh_at_ms is None:
            return -1
        return monotonic_ms() - self._fresh_at_ms

    @property
    def leader(self):
        """Name of the leader, or None if it is not known."""
        if self._consensus is not None:
            return self._consensus.leader
        return self._leader

    async def submit(self, command, timeout_ms):
        """Submit a command with retries until it is applied; return its result.

        A retry may propose a command a second time. That has no effect on commands with
        an id; others, such as `RecordAttempt`, then add a second audit record.

        Returns
        -------
        result : CommandResult

        Raises
        ------
        AlmonddealError
            On timeout: `NO_QUORUM` if the command was never proposed, else
            `CHANGE_OUTCOME_UNKNOWN`.
        """
        deadline_ms = monotonic_ms() + timeout_ms
        may_be_proposed = False
        while True:
            remaining_ms = deadline_ms - monotonic_ms()
            if remaining_ms <= 0:
                code = CHANGE_OUTCOME_UNKNOWN if may_be_proposed else NO_QUORUM
                raise AlmonddealError(code, "the control group did not answer")
            try:
                return await self._submit_once(
                    command, min(remaining_ms, PROPOSE_TIMEOUT_MS)
                )
            except AlmonddealError as error:
                if error.code.number not in NOT_PROPOSED_CODES:
                    may_be_proposed = True
            await anyio.sleep(RETRY_INTERVAL_S)

    async def _submit_once(self, command, timeout_ms):
        if self._consensus is not None and self._consensus.is_leader:
            return await self._consensus.propose(command, timeout_ms)
        peer = self._leader_peer()
        reply = await self._call_leader(peer, Propose(command), timeout_ms)
        if reply.code != OK.number:
            self._leader = reply.leader or None
            raise AlmonddealError(CODE_BY_NUMBER[reply.code], f"from {peer.name}")
        return reply.result

    def _leader_peer(self):
        name = self.leader
        if name in self._peer_by_name:
            return self._peer_by_name[name]
        if self._consensus is None:
            for peer in self._peer_by_name.values():
                if peer.is_up:
                    return peer
        raise AlmonddealError(NOT_REACHED, "no leader is known")

    async def _call_leader(self, peer, message, timeout_ms):
        """Call the leader, and stop waiting once another member is known to lead.

        Raises
        ------
        AlmonddealError
            `DEADLINE` if there is no reply by then, or an error of `Peer.call`.
        """
        if self._consensus is None:
            return await peer.call(message, timeout_ms)
        reply = None
        error = AlmonddealError(DEADLINE, f"no reply while {peer.name} led")

        async def call():
            nonlocal reply, error
            try:
                reply = await peer.call(message, timeout_ms)
            except AlmonddealError as call_error:
                error = call_error
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            while self._consensus.leader in (None, peer.name):
                await anyio.sleep(LEADER_CHECK_INTERVAL_S)
            tasks.cancel_scope.cancel()
        if reply is None:
            raise error
        return reply

    async def handle_propose(self, link, message, emit):
        """Propose the command of another instance; handles `Propose`."""
        consensus = self._consensus
        try:
            result = await consensus.propose(message.command, PROPOSE_TIMEOUT_MS)
        except AlmonddealError as error:
            return ProposeReply(error.code.number, None, consensus.leader or "")
        return ProposeReply(OK.number, result, consensus.leader)

    async def refresh_periodically(self):
        """Refresh every `REFRESH_INTERVAL_S` seconds, until cancelled."""
        while True:
            try:
                await self.refresh()
            except AlmonddealError:
                await anyio.sleep(RETRY_INTERVAL_S)
                continue
            await anyio.sleep(REFRESH_INTERVAL_S)

    async def refresh_with_retries(self, timeout_ms):
        """Refresh, with retries during an election.

        Raises
        ------
        AlmonddealError
            `NO_QUORUM` if no refresh succeeds within `timeout_ms`.
        """
        deadline_ms = monotonic_ms() + timeout_ms
        while monotonic_ms() < deadline_ms:
            try:
                await self.refresh()
                return
            except AlmonddealError:
                await anyio.sleep(RETRY_INTERVAL_S)
        raise AlmonddealError(NO_QUORUM, "the control group did not answer")

    async def refresh(self):
        """Bring the local state up to all that was committed before this call.

        On an instance outside the group, the state is as recent as that of the member
        it fetches from; `fresh_age_ms` gives its age.

        Raises
        ------
        AlmonddealError
            If no leader can confirm it, or entries do not arrive in time.
        """
        started_ms = monotonic_ms()
        if self._consensus is None:
            await self._refresh_from_member(started_ms)
            return
        await self._refresh_as_member()
        self._fresh_at_ms = max(self._fresh_at_ms or started_ms, started_ms)

    async def _refresh_as_member(self):
        index = await self._read_index()
        if not await self._consensus.wait_applied(index, REFRESH_STEP_TIMEOUT_MS):
            raise AlmonddealError(NO_QUORUM, "entries are missing here")

    async def _read_index(self):
        if self._consensus.is_leader:
            index = await self._consensus.read_index(REFRESH_STEP_TIMEOUT_MS)
            self.term = max(self.term, self._consensus.term)
            return index
        peer = self._leader_peer()
        reply = await self._call_leader(peer, ReadFresh(), REFRESH_STEP_TIMEOUT_MS)
        if reply.code != OK.number:
            raise AlmonddealError(CODE_BY_NUMBER[reply.code], f"from {peer.name}")
        self.term = max(self.term, reply.term)
        return reply.commit_index

    async def handle_read_fresh(self, link, message, emit):
        """Return a confirmed commit index to another instance; handles `ReadFresh`."""
        try:
            index = await self._consensus.read_index(REFRESH_STEP_TIMEOUT_MS)
        except AlmonddealError as error:
            return ReadFreshReply(error.code.number, 0, self._consensus.leader or "", 0)
        return ReadFreshReply(OK.number, index, self._name, self._consensus.term)

    async def _refresh_from_member(self, started_ms):
        peer = next((p for p in self._peer_by_name.values() if p.is_up), None)
        if peer is None:
            raise AlmonddealError(NOT_REACHED, "no member of the control group")
        request = FetchDocument(self._replica.document.version)
        reply = await peer.call(request, REFRESH_STEP_TIMEOUT_MS)
        self._replica.apply_fetch_reply(reply)
        self.term = max(self.term, reply.term or 0)
        if reply.fresh_age_ms < 0:
            raise AlmonddealError(NO_QUORUM, f"{peer.name} is cut off from control")
        self._fresh_at_ms = started_ms - reply.fresh_age_ms
