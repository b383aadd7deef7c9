"""Replication of a run's KV cache to a backup engine while the run lasts.

The engine replicates its KV cache to the backup that the attempt named. If that backup
is lost and the run continues, the relay has the engine transfer its KV cache to another
backup. It repeats the transfer at intervals, as such a copy does not grow by itself.
"""

import random

import anyio

from almonddeal.relay.run_reports import report_copy
from almonddeal.relay.stream_state import KvCopy
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import decide, get_logger

CHECK_INTERVAL_S = 0.1  # a lost backup matters only once the run is lost as well
REFRESH_INTERVAL_S = 0.5  # an engine generates about a hundred tokens in this time

log = get_logger("relay")


def select_backup(stream, context, announcement):
    """Return an engine for the KV-cache copy of a run, or None.

    Parameters
    ----------
    stream : Stream
    context : RelayContext
    announcement : AnnouncedTarget
        The engine of the run.

    Returns
    -------
    backup : TrackedTarget or None
        None if the engines do not replicate, requests of the route may run only once,
        or no engine of the same software version in another failure domain has
        capacity.
    """
    traits = stream.admitted.service.engine
    if traits is None or not traits.replicates_kv_cache:
        return None
    if not stream.admitted.route.may_run_again:
        return None
    engines = stream.outside_lost_domains(
        context.candidates(
            stream.admitted.service.name, software_version=announcement.version
        ),
        monotonic_ms(),
    )

    def choose(engines):
        return context.selection_policy.backup(
            engines,
            announcement,
            context.load_view,
            stream.n_tokens,
            traits,
            random.random,
        )

    return context.hold_offs.choose(choose, engines)


async def maintain_copy(stream, context, announcement):
    """Replace the copy of a run if its backup is lost, and refresh a transferred copy.

    Runs until cancelled.

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
        if not stream.is_started or stream.admitted.service.engine is None:
            continue
        if copy is not None and copy.is_valid(context.targets, monotonic_ms()):
            if copy.issuer_address == announcement.address:
                # A transferred copy, which does not grow by itself.
                await anyio.sleep(REFRESH_INTERVAL_S)
                if copy.is_valid(context.targets, monotonic_ms()):
                    await _transfer_copy(stream, context, announcement, copy.backup)
            continue
        backup = select_backup(stream, context, announcement)
        if backup is not None:
            await _transfer_copy(stream, context, announcement, backup)


async def _transfer_copy(stream, context, announcement, backup):
    if not context.hold_offs.allows(announcement):
        return
    copy_id = await context.send_kv_copy(
        announcement, stream.request_id, backup.announcement.address
    )
    if copy_id is None:
        return
    is_new_backup = stream.copy is None or stream.copy.backup is not backup
    stream.copy = KvCopy(backup, announcement.address, copy_id)
    report_copy(stream, context)
    if is_new_backup:
        decide(
            log,
            "replaced the backup of a run",
            request=stream.request_id,
            target=announcement.target,
            backup=backup.announcement.target,
        )


async def free_copy(stream, context, announcement):
    """Free the copy of an ended run if it was transferred by `maintain_copy`."""
    copy = stream.copy
    if not context.hold_offs.allows(announcement):
        # The engine frees the copy itself after the copy's lifetime.
        return
    if copy is not None and copy.issuer_address == announcement.address:
        await context.free_kv_copy(announcement, copy.copy_id)
