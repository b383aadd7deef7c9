"""Keeping the memory of a run at a second engine for as long as the run lasts.

The engine sends its memory to the backup that the attempt named. When that backup is
lost while the answer goes on, another engine is asked to take the memory, and again at
intervals, since such a copy does not grow by itself.
"""

import random

import anyio

from almonddeal.relay.run_reports import note_copy
from almonddeal.relay.stream_state import Copy
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import decide, get_logger

CHECK_INTERVAL_S = 0.1  # a lost backup matters once its run is lost, too
REFRESH_INTERVAL_S = 0.5  # an engine generates about a hundred tokens meanwhile

log = get_logger("relay")


def pick_backup(stream, context, announcement):
    """Return the state of an engine for the copy of a run, or None.

    Parameters
    ----------
    stream : Stream
    context : RelayContext
    announcement : AnnouncedTarget
        The engine of the run.
    """
    traits = stream.admitted.service.engine
    if traits is None or not traits.replicates_kv_cache:
        return None
    if not stream.admitted.route.may_repeat:
        return None
    states = context.targets.candidates(stream.admitted.service.name)
    return context.choices.backup(
        states, announcement, context.load_view, stream.n_tokens, traits, random.random
    )


async def keep_copy(stream, context, announcement):
    """Replace the copy of a running answer whenever its keeper is lost.

    Parameters
    ----------
    stream : Stream
    context : RelayContext
    announcement : AnnouncedTarget
        The engine of the run.
    """
    while True:
        await anyio.sleep(CHECK_INTERVAL_S)
        copy = stream.copy
        if not stream.is_begun or stream.admitted.service.engine is None:
            continue
        if copy is not None and copy.is_sound(context.targets, monotonic_ms()):
            if copy.address == announcement.address:
                await anyio.sleep(REFRESH_INTERVAL_S)
                await _send_copy(stream, context, announcement, copy.state)
            continue
        state = pick_backup(stream, context, announcement)
        if state is not None:
            await _send_copy(stream, context, announcement, state)


async def _send_copy(stream, context, announcement, state):
    copy_id = await context.send_kv_copy(
        announcement, stream.request_id, state.announcement.address
    )
    if copy_id is None:
        return
    is_new = stream.copy is None or stream.copy.state is not state
    stream.copy = Copy(state, announcement.address, copy_id)
    note_copy(stream, context)
    if is_new:
        decide(
            log,
            "gives a run another backup",
            request=stream.request_id,
            target=announcement.target,
            backup=state.announcement.target,
        )


async def free_kv_copy(stream, context, announcement):
    """Free a copy that `keep_copy` made, after its run has ended."""
    copy = stream.copy
    if copy is not None and copy.address == announcement.address:
        await context.free_kv_copy(announcement, copy.copy_id)
