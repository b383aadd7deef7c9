"""Announcing the target to entry instances, which answer with the lease."""

import anyio

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.wire.gen.ttypes import Announce

INTERVAL_S = 0.5
TIMEOUT_MS = 1000


async def announce_for_ever(peer, make_state, admission):
    """Announce the target to one entry instance until cancelled.

    Parameters
    ----------
    peer : Peer
        The entry instance.
    make_state : callable
        Returns the target's `TargetState` of now.
    admission : Admission
        Hears the replies.
    """
    while True:
        await peer.connected.wait()
        asked_ms = monotonic_ms()
        message = Announce(make_state(), admission.document_version)
        try:
            reply = await peer.call(message, TIMEOUT_MS)
        except AlmonddealError:
            await anyio.sleep(INTERVAL_S / 4)
            continue
        admission.hear(reply, asked_ms)
        await anyio.sleep(INTERVAL_S)
