"""Fencing of target orders, which load or unload a version or change the role.

Not all targets check fencing numbers, so the agent does it for all of them. After a
restart it does not know the highest number, and it rejects all target orders until an
entry instance with recent confirmation by the control group has reported it.
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


class TargetOrderForwarder:
    """Forwards target orders and rejects those with an old fencing number.

    Parameters
    ----------
    admission : Admission
        Holds the highest fencing number that entry instances reported.
    send : async callable
        Sends a `TargetOrder` to the target.
    """

    def __init__(self, admission, send):
        self._admission = admission
        self._send = send
        self._highest_fencing_number = 0
        self._lock = anyio.Lock()

    async def handle_target_order(self, link, order, emit):
        """Check and forward a target order; the link handler of `TargetOrder`."""
        async with self._lock:
            self._check_and_record_fence(order)
            log.info(
                "forwarding target order: %s %s %s",
                order.kind,
                order.model,
                order.version,
            )
            await self._send(order)
        return Ok()

    def _check_and_record_fence(self, order):
        if not self._admission.has_recent_fencing_number:
            raise AlmonddealError(LEASE_EXPIRED, "the present fence is not known")
        highest_fencing_number = max(
            self._highest_fencing_number, self._admission.fencing_number
        )
        if order.fence < highest_fencing_number:
            detail = f"{order.fence} is older than {highest_fencing_number}"
            raise AlmonddealError(STALE_FENCE, detail)
        self._highest_fencing_number = order.fence
