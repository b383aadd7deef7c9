"""Announcements of the target to entry instances, which reply with the lease."""

import anyio

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.wire.gen.ttypes import Announce

ANNOUNCE_INTERVAL_S = 0.5
ANNOUNCE_TIMEOUT_MS = 1000


async def announce_periodically(peer, make_state, admission):
    """Announce the target to one entry instance at intervals until cancelled.

    Parameters
    ----------
    peer : Peer
        Link to the entry instance.
    make_state : callable
        Returns the current `TargetState` of the target.
    admission : Admission
        Its lease is renewed from the replies.
    """
    while True:
        await peer.connected.wait()
        sent_ms = monotonic_ms()
        message = Announce(make_state(), admission.document_version)
        try:
            reply = await peer.call(message, ANNOUNCE_TIMEOUT_MS)
        except AlmonddealError:
            await anyio.sleep(ANNOUNCE_INTERVAL_S / 4)
            continue
        admission.apply_announce_reply(reply, sent_ms)
        await anyio.sleep(ANNOUNCE_INTERVAL_S)
