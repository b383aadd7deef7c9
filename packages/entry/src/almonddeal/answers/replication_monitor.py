"""Keeping held answers in as many places as their policy says.

An answer is at risk when a holder, or its owner, was started again or is away. The
owner sends it again; where the owner is gone, a holder takes the answer over. Nothing
is generated for it until its caller returns.
"""

import random

import anyio

from almonddeal.answers.ownership import EPOCH_OWNER_BITS
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.logs import get_logger

INTERVAL_S = 0.25
MAX_AT_ONCE = 50
ORPHAN_SHARE = 0.5

log = get_logger("answers")


class ReplicationMonitor:
    """Looks after the answers that this instance holds.

    Parameters
    ----------
    name : str
        This instance.
    store : AnswerStore
    view : FleetView
    is_reachable_from_peers : callable
        Tells whether other instances still reach an entry instance.
    service : AnswerService
    """

    def __init__(self, name, store, view, is_reachable_from_peers, service):
        self._is_seen_elsewhere = is_reachable_from_peers
        self._name = name
        self._store = store
        self._view = view
        self._service = service
        self.n_restored = 0

    async def run(self):
        """Look at intervals, until cancelled."""
        while True:
            await anyio.sleep(INTERVAL_S)
            at_risk = [held for held in self._store.answers() if self._is_mine(held)]
            for held in at_risk[:MAX_AT_ONCE]:
                await self._restore(held)

    def _is_mine(self, held):
        """Tell whether an answer is at risk and this instance should see to it."""
        owner = self._owner_of(held)
        if owner == self._name:
            return any(self._may_lack(name, held) for name in held.holders)
        if owner is not None and not self._is_gone(owner, held):
            return False
        # Several holders may notice an orphan; chance keeps them apart.
        return random.random() < ORPHAN_SHARE

    def _may_lack(self, name, held):
        restarted = self._view.was_restarted(name, held.last_write_ms)
        return restarted or self._view.is_away(name)

    def _is_gone(self, owner, held):
        """Tell whether an owner lost its memory, or is out of reach of all."""
        if self._view.was_restarted(owner, held.last_write_ms):
            return True
        return self._view.is_away(owner) and not self._is_seen_elsewhere(owner)

    def _owner_of(self, held):
        number = held.accepted_epoch & ((1 << EPOCH_OWNER_BITS) - 1)
        return self._view.name_of(number)

    async def _restore(self, held):
        try:
            if await self._service.restore(held.spec):
                self.n_restored += 1
        except AlmonddealError as error:
            log.debug("not restored: %s, %s", held.spec.request, error)
