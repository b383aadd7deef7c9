"""Speaking to the control group from any entry instance: commands and freshness."""

import anyio

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    CHANGE_OUTCOME_UNKNOWN,
    CODE_BY_NUMBER,
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

RETRY_S = 0.05
PROPOSE_TIMEOUT_MS = 2000
FRESH_TIMEOUT_MS = 800
FRESH_INTERVAL_S = 0.5
NOT_PROPOSED = frozenset((NOT_LEADER.number, NOT_REACHED.number))

log = get_logger("control")


class ControlClient:
    """Sends commands to the leader and keeps this instance's knowledge fresh.

    Parameters
    ----------
    name : str
        This instance.
    consensus : Consensus or None
        The local member, where this instance has a disk.
    member_by_name : dict of str to Peer
        The other members.
    replica : DocumentReplica
        Where the followed document goes.

    Attributes
    ----------
    term : int
        Highest term of the group that was confirmed here.
    """

    def __init__(self, name, consensus, member_by_name, replica):
        self._name = name
        self._consensus = consensus
        self._member_by_name = member_by_name
        self._replica = replica
        self._leader = None
        self._fresh_at_ms = None
        self.term = 0

    @property
    def fresh_age_ms(self):
        """Age in ms of the last confirmed knowledge of control; -1 if there is none."""
        if self._fresh_at_ms is None:
            return -1
        return monotonic_ms() - self._fresh_at_ms

    @property
    def leader(self):
        """Name of the leader as far as it is known, or None."""
        if self._consensus is not None:
            return self._consensus.leader
        return self._leader

    # ---- commands --------------------------------------------------------------

    async def submit(self, command, timeout_ms):
        """Have a command committed and return its `CommandResult`.

        Commands carry ids of their own, so that sending one again is harmless.

        Raises
        ------
        AlmonddealError
            `NO_QUORUM` if it was certainly never proposed, else
            `CHANGE_OUTCOME_UNKNOWN`.
        """
        deadline_ms = monotonic_ms() + timeout_ms
        maybe_proposed = False
        while True:
            left_ms = deadline_ms - monotonic_ms()
            if left_ms <= 0:
                code = CHANGE_OUTCOME_UNKNOWN if maybe_proposed else NO_QUORUM
                raise AlmonddealError(code, "the control group did not answer")
            try:
                return await self._submit_once(
                    command, min(left_ms, PROPOSE_TIMEOUT_MS)
                )
            except AlmonddealError as error:
                if error.code.number not in NOT_PROPOSED:
                    maybe_proposed = True
            await anyio.sleep(RETRY_S)

    async def _submit_once(self, command, timeout_ms):
        if self._consensus is not None and self._consensus.is_leader:
            return await self._consensus.propose(command, timeout_ms)
        peer = self._leader_peer()
        reply = await peer.call(Propose(command), timeout_ms)
        if reply.code != OK.number:
            self._leader = reply.leader or None
            raise AlmonddealError(CODE_BY_NUMBER[reply.code], f"from {peer.name}")
        return reply.result

    def _leader_peer(self):
        name = self.leader
        if name in self._member_by_name:
            return self._member_by_name[name]
        if self._consensus is None:
            for peer in self._member_by_name.values():
                if peer.is_up:
                    return peer
        raise AlmonddealError(NOT_REACHED, "no leader is known")

    async def handle_propose(self, link, message, emit):
        """Propose on behalf of another instance; the link handler of `Propose`."""
        consensus = self._consensus
        try:
            result = await consensus.propose(message.command, PROPOSE_TIMEOUT_MS)
        except AlmonddealError as error:
            return ProposeReply(error.code.number, None, consensus.leader or "")
        return ProposeReply(OK.number, result, consensus.leader)

    # ---- freshness -------------------------------------------------------------

    async def refresh_periodically(self):
        """Confirm at intervals that nothing newer was committed, until cancelled."""
        while True:
            try:
                await self.refresh()
            except AlmonddealError:
                await anyio.sleep(RETRY_S)
                continue
            await anyio.sleep(FRESH_INTERVAL_S)

    async def refresh_with_retries(self, timeout_ms):
        """Learn all that was committed before this call, also over an election.

        Raises
        ------
        AlmonddealError
            `NO_QUORUM` if it cannot be confirmed in time.
        """
        deadline_ms = monotonic_ms() + timeout_ms
        while monotonic_ms() < deadline_ms:
            try:
                await self.refresh()
                return
            except AlmonddealError:
                await anyio.sleep(RETRY_S)
        raise AlmonddealError(NO_QUORUM, "the control group did not answer")

    async def refresh(self):
        """Learn all that was committed before this call.

        Raises
        ------
        AlmonddealError
            If that cannot be confirmed now.
        """
        asked_ms = monotonic_ms()
        if self._consensus is None:
            await self._confirm_as_follower(asked_ms)
            return
        await self._confirm_as_member()
        self._fresh_at_ms = max(self._fresh_at_ms or asked_ms, asked_ms)

    async def _confirm_as_member(self):
        index = await self._read_index()
        if not await self._consensus.wait_applied(index, FRESH_TIMEOUT_MS):
            raise AlmonddealError(NO_QUORUM, "entries are missing here")

    async def _read_index(self):
        if self._consensus.is_leader:
            index = await self._consensus.read_index(FRESH_TIMEOUT_MS)
            self.term = max(self.term, self._consensus.term)
            return index
        peer = self._leader_peer()
        reply = await peer.call(ReadFresh(), FRESH_TIMEOUT_MS)
        if reply.code != OK.number:
            raise AlmonddealError(CODE_BY_NUMBER[reply.code], f"from {peer.name}")
        self.term = max(self.term, reply.term)
        return reply.commit_index

    async def handle_read_fresh(self, link, message, emit):
        """Confirm leadership for another instance; the handler of `ReadFresh`."""
        try:
            index = await self._consensus.read_index(FRESH_TIMEOUT_MS)
        except AlmonddealError as error:
            return ReadFreshReply(error.code.number, 0, self._consensus.leader or "", 0)
        return ReadFreshReply(OK.number, index, self._name, self._consensus.term)

    async def _confirm_as_follower(self, asked_ms):
        peer = next((p for p in self._member_by_name.values() if p.is_up), None)
        if peer is None:
            raise AlmonddealError(NOT_REACHED, "no member of the control group")
        request = FetchDocument(self._replica.document.version)
        reply = await peer.call(request, FRESH_TIMEOUT_MS)
        self._replica.take(reply)
        self.term = max(self.term, reply.term or 0)
        if reply.fresh_age_ms < 0:
            raise AlmonddealError(NO_QUORUM, f"{peer.name} is cut off from control")
        self._fresh_at_ms = asked_ms - reply.fresh_age_ms
