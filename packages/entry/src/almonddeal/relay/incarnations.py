"""Questions to targets about restarts of which their announcements do not tell in time.

A target may restart under its id, with another software version, while control does
not hear it. Streams that begin there are taken for those of the announced version until
the heartbeats of the announced process are overdue. Then the target is asked when it
started.

A target may also respond that it is about to leave before its restart is announced.
Once it is, the target is asked again, as its earlier incarnation may have said so.
"""

from contextlib import suppress

import anyio

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.logs import decide, get_logger

QUERY_INTERVAL_S = 0.25  # doubles with each query
N_QUERIES = 5

log = get_logger("targets")


async def check_doubtful_targets(context):
    """Ask targets for what their announcements do not tell, until cancelled.

    Parameters
    ----------
    context : RelayContext
    """
    async with anyio.create_task_group() as group:
        while True:
            for target in await context.targets.next_doubtful():
                group.start_soon(_run_check, _check_leaving, context, target)
                group.start_soon(_run_check, _check_start, context, target)


async def _run_check(check, context, target):
    try:
        await check(context, target)
    except Exception:
        # The process has others to serve.
        log.exception("could not ask target %s", target.announcement.target)


async def _check_leaving(context, target):
    """Use a target again once it responds; a response that it leaves is recorded."""
    announcement = target.announcement
    while target.unproven_until_ms > monotonic_ms():
        if target.announcement.born_ms != announcement.born_ms:
            return
        if await context.responds(announcement):
            target.unproven_until_ms = 0.0
            return
        await anyio.sleep(QUERY_INTERVAL_S)


async def _check_start(context, target):
    """Ask an unheard target whether it restarted before streams that began there."""
    announcement = target.announcement
    interval_s = QUERY_INTERVAL_S
    for _ in range(N_QUERIES):
        if not target.is_unheard or not target.unconfirmed_streams():
            return
        if target.announcement.born_ms != announcement.born_ms:
            return
        if context.hold_offs.allows(announcement):
            with suppress(AlmonddealError):
                await read_start_ms(context, target, announcement)
                return
        await anyio.sleep(interval_s)
        interval_s *= 2


async def read_start_ms(context, target, announcement, request_id=None):
    """Return the start time that a target reports; record whether it restarted.

    Parameters
    ----------
    context : RelayContext
    target : TrackedTarget
    announcement : AnnouncedTarget
        Of the target, as its streams began.
    request_id : str or None
        Request for which the target is asked, for the log.

    Returns
    -------
    start_ms : int or None
        Unix time; None if the target reports none.

    Raises
    ------
    AlmonddealError
        `NOT_REACHED` without a report.
    """
    asked_ms = monotonic_ms()
    start_ms = await context.read_start_ms(announcement)
    if target.announcement.born_ms != announcement.born_ms:
        return start_ms
    if start_ms in (None, announcement.born_ms):
        if target.is_unheard:
            target.confirmed_ms = max(target.confirmed_ms, asked_ms)
        return start_ms
    context.targets.record_restart(target, start_ms, request_id)
    _retract_origins(context, target, start_ms)
    return start_ms


def _retract_origins(context, target, start_ms):
    """Make the version of the streams unknown that a restarted target began."""
    request_ids = target.unconfirmed_streams(start_ms)
    n_retracted = sum(map(context.stream_origins.retract, request_ids))
    if n_retracted:
        decide(
            log,
            "retracted the origins of streams",
            target=target.announcement.target,
            born_ms=target.announcement.born_ms,
            reported_ms=start_ms,
            n_streams=n_retracted,
        )
