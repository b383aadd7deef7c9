"""Finding the engine that still keeps the prompt of an answer that goes on.

After a loss that took all knowledge of the copies with it, such as a restart of the
whole system, engines still keep what they read. Asking them costs a few milliseconds,
reading a prompt again about a second.
"""

import anyio

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import decide, get_logger

ASK_TIMEOUT_S = 0.25  # a fraction of the time that reading the prompt again takes

log = get_logger("relay")


async def find_cached(stream, context, states):
    """Return the engine that keeps the request's own part of the prompt, or None.

    Parameters
    ----------
    stream : Stream
    context : RelayContext
    states : list of TrackedTarget
        Engines that may be used.
    """
    generation = stream.admitted.request.generation
    if generation is None or generation.last_prefix_hash is None:
        return None
    keepers = []
    started_ms = monotonic_ms()

    async def ask(state):
        cached = await context.list_cached_prefixes(state.announcement)
        if generation.last_prefix_hash in cached:
            keepers.append(state)

    with anyio.move_on_after(ASK_TIMEOUT_S):
        async with anyio.create_task_group() as group:
            for state in states:
                group.start_soon(ask, state)
    found = min(
        keepers,
        key=lambda s: context.load_view.load(s.announcement).n_runs,
        default=None,
    )
    decide(
        log,
        "looks for the engine that keeps a prompt",
        request=stream.request_id,
        n_asked=len(states),
        target=found.announcement.target if found is not None else None,
        took_ms=round(monotonic_ms() - started_ms),
    )
    return found
