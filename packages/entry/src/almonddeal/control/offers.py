"""Committed state that a candidate sends to processes that join.

What is committed stays so under each later leader. The disk of a voter may stall until
the end of the election, and the next disk be lost soon after it, so that a process has
the state before there is a leader.

The mixin uses the attributes of `Consensus`.
"""

import anyio
from anyio import create_task_group

from almonddeal.control.constants import FOLLOWER, MIN_MESSAGE_BYTES, TICK_MS
from almonddeal.control.transfers import SnapshotTransfer, call_timeout_ms
from almonddeal_common.codes import AlmonddealError


class OfferMixin:
    """Offers of the committed state by `Consensus`, and their receipt."""

    async def _offer_state_periodically(self):
        """Send processes that ask to join what is committed, until cancelled."""
        names = set()
        async with create_task_group() as transfers:
            while True:
                self._forget_old_joins()
                for message, _ in self._refused_join_by_address.values():
                    if message.name not in names and message.name not in self.members:
                        names.add(message.name)
                        transfers.start_soon(
                            self._offer_state, message.name, message.address
                        )
                await anyio.sleep(TICK_MS / 1000)

    async def _offer_state(self, name, address):
        peer = self._connect(name, address)
        try:
            transfer = SnapshotTransfer(self._make_snapshot())
            while await self._is_offer_open(name, peer, transfer):
                pass
        finally:
            self._disconnect(peer)

    async def _is_offer_open(self, name, peer, transfer):
        """Send the next chunk of an offer; return whether the process needs more."""
        if not peer.is_up:
            await anyio.sleep(TICK_MS / 1000)
            return True
        n_written_bytes = len(transfer.data) if transfer.is_last_chunk else 0
        timeout_ms = call_timeout_ms(len(transfer.chunk), n_written_bytes)
        try:
            reply = await peer.call(transfer.message(self.term, "", name), timeout_ms)
        except AlmonddealError:
            n_chunk_bytes = max(MIN_MESSAGE_BYTES, transfer.n_chunk_bytes // 2)
            transfer.n_chunk_bytes = n_chunk_bytes
            await anyio.sleep(TICK_MS / 1000)
            return True
        if reply.n_received_bytes is None:
            return False
        transfer.offset = reply.n_received_bytes
        return True

    async def _accept_offer(self, term):
        """Return whether this process takes the state that a candidate sends.

        A voter has its log from leaders alone. The caller holds `disk_lock`.
        """
        await self._adopt_term(term)
        is_voter = self.name in self.members
        return self.role == FOLLOWER and self.leader is None and not is_voter
