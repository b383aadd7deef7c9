"""Lookup of the engine that has the prompt of a resumed stream in its prefix cache.

After some failures, such as a restart of all entry instances, no KV-cache copy is
known; engines still have the prompts that they processed in their prefix caches.
Querying them costs a few milliseconds, repeating a prefill about a second.
"""

import anyio

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import decide, get_logger

QUERY_TIMEOUT_S = 0.25  # a fraction of the time of a prefill

log = get_logger("relay")


async def find_cached_prefix(stream, context, engines):
    """Return an engine that has the last segment of the prompt cached, or None.

    That segment is specific to the request or session, so the engine has processed
    this prompt. Among several such engines the one with the fewest runs is returned.

    Parameters
    ----------
    stream : Stream
    context : RelayContext
    engines : list of TrackedTarget
        Engines that may be used.
    """
    generation = stream.admitted.request.generation
    if generation is None or generation.last_prefix_hash is None:
        return None
    matching_engines = []
    started_ms = monotonic_ms()

    async def query(engine):
        cached = await context.list_cached_prefixes(engine.announcement)
        if generation.last_prefix_hash in cached:
            matching_engines.append(engine)

    with anyio.move_on_after(QUERY_TIMEOUT_S):
        async with anyio.create_task_group() as group:
            for engine in engines:
                group.start_soon(query, engine)
    found = min(
        matching_engines,
        key=lambda e: context.load_view.load(e.announcement).n_runs,
        default=None,
    )
    decide(
        log,
        "queried engines for the cached prefix of a stream",
        request=stream.request_id,
        n_asked=len(engines),
        target=found.announcement.target if found is not None else None,
        took_ms=round(monotonic_ms() - started_ms),
    )
    return found
