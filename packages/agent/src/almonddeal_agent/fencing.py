"""Orders to the target, obeyed only with a fencing number that is not old.

Some targets check fencing numbers themselves and some do not, so the agent checks for
all. An agent that has just started has forgotten the highest number; it obeys nobody
until an entry instance with fresh knowledge of control told it the present one.
"""

import anyio

from almonddeal_common.codes import (
    LEASE_EXPIRED,
    STALE_FENCE,
    AlmonddealError,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import Ok

log = get_logger("fencing")


class OrderGate:
    """Passes orders on to the target, in the order of their fencing numbers.

    Parameters
    ----------
    admission : Admission
        Knows the fence that fresh entry instances told.
    send : async callable
        Sends a `TargetOrder` to the target.
    """

    def __init__(self, admission, send):
        self._admission = admission
        self._send = send
        self._highest = 0
        self._lock = anyio.Lock()

    async def handle_order(self, link, order, emit):
        """Check an order and pass it on; the link handler of `TargetOrder`."""
        async with self._lock:
            self._check(order)
            log.info("%s %s %s", order.kind, order.model, order.version)
            await self._send(order)
        return Ok()

    def _check(self, order):
        if not self._admission.knows_fence:
            raise AlmonddealError(LEASE_EXPIRED, "the present fence is not known")
        highest = max(self._highest, self._admission.fence)
        if order.fence < highest:
            detail = f"{order.fence} is older than {highest}"
            raise AlmonddealError(STALE_FENCE, detail)
        self._highest = order.fence
