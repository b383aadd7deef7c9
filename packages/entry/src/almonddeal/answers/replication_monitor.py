"""Restoring the replicas of answers after the loss of a holder or an owner.

An answer is at risk when one of its holders or its owner has restarted or cannot be
reached. The owner sends the answer to its holders again. If the owner is lost, a holder
takes the answer over; generation continues only once the caller reconnects.
"""

import random

import anyio

from almonddeal.answers.ownership import EPOCH_OWNER_BITS
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.logs import get_logger

CHECK_INTERVAL_S = 0.25
MAX_RESTORES_PER_CHECK = 50
LOST_OWNER_TAKEOVER_PROBABILITY = 0.5

log = get_logger("answers")


class ReplicationMonitor:
    """Restores the replication of the answers that this instance holds.

    Parameters
    ----------
    name : str
        This instance.
    store : AnswerStore
    view : FleetView
    is_reachable_from_peers : callable
        Maps the name of an entry instance to whether another one reports a link to it.
    service : AnswerService
    """

    def __init__(self, name, store, view, is_reachable_from_peers, service):
        self._is_reachable_from_peers = is_reachable_from_peers
        self._name = name
        self._store = store
        self._view = view
        self._service = service
        self.n_restored = 0

    async def run(self):
        """Check the held answers periodically, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            at_risk = [
                replica
                for replica in self._store.replicas_of_answers()
                if self._should_restore(replica)
            ]
            for replica in at_risk[:MAX_RESTORES_PER_CHECK]:
                await self._restore(replica)

    def _should_restore(self, replica):
        """Return whether an answer is at risk and this instance should restore it."""
        owner = self._owner_of(replica)
        if owner == self._name:
            return any(
                self._may_lack_replica(name, replica) for name in replica.holders
            )
        if owner is not None and not self._is_owner_lost(owner, replica):
            return False
        # Every holder may notice that the owner is lost. Each one acts with this
        # probability in a check, so that they rarely take the answer over at once.
        return random.random() < LOST_OWNER_TAKEOVER_PROBABILITY

    def _may_lack_replica(self, name, replica):
        restarted = self._view.has_restarted_since(name, replica.last_write_ms)
        return restarted or self._view.is_unreachable(name)

    def _is_owner_lost(self, owner, replica):
        """Return whether an owner has restarted or no instance has a link to it."""
        if self._view.has_restarted_since(owner, replica.last_write_ms):
            return True
        return self._view.is_unreachable(owner) and not self._is_reachable_from_peers(
            owner
        )

    def _owner_of(self, replica):
        number = replica.accepted_epoch & ((1 << EPOCH_OWNER_BITS) - 1)
        return self._view.entry_with_number(number)

    async def _restore(self, replica):
        try:
            if await self._service.restore_replication(replica.spec):
                self.n_restored += 1
        except AlmonddealError as error:
            log.debug(
                "cannot restore the replicas of answer %s: %s",
                replica.spec.request,
                error,
            )
