"""Replication of a run's KV cache to a backup engine while the run lasts.

The engine replicates its KV cache to the backup that the attempt named. If that backup
is lost while the run goes on, the relay has the engine transfer its cache to another
one, and repeats the transfer at intervals, since such a copy does not grow by itself.
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


def select_backup(stream, parts, record):
    """Return an engine for the KV-cache copy of a run, or None.

    Parameters
    ----------
    stream : Stream
    parts : RelayParts
    record : AnnouncedTarget
        The engine of the run.

    Returns
    -------
    backup : TrackedTarget or None
        None if the engines do not replicate, the route must not be retried, or no
        engine in another failure domain has capacity.
    """
    traits = stream.admitted.service.engine
    if traits is None or not traits.keeps_copies:
        return None
    if not stream.admitted.route.is_retryable:
        return None
    engines = parts.targets.candidates(stream.admitted.service.name)
    return parts.selection_policy.backup(
        engines, record, parts.loads, stream.n_tokens, traits, random.random
    )


async def maintain_copy(stream, parts, record):
    """Replace the KV-cache copy of a run whenever its backup is lost, until cancelled.

    Parameters
    ----------
    stream : Stream
    parts : RelayParts
    record : AnnouncedTarget
        The engine of the run.
    """
    while True:
        await anyio.sleep(CHECK_INTERVAL_S)
        copy = stream.copy
        if not stream.is_started or stream.admitted.service.engine is None:
            continue
        if copy is not None and copy.is_valid(parts.targets, monotonic_ms()):
            if copy.address == record.address:
                await anyio.sleep(REFRESH_INTERVAL_S)
                await _transfer_copy(stream, parts, record, copy.backup)
            continue
        backup = select_backup(stream, parts, record)
        if backup is not None:
            await _transfer_copy(stream, parts, record, backup)


async def _transfer_copy(stream, parts, record, backup):
    copy_id = await parts.send_copy(record, stream.request_id, backup.record.address)
    if copy_id is None:
        return
    is_new = stream.copy is None or stream.copy.backup is not backup
    stream.copy = KvCopy(backup, record.address, copy_id)
    report_copy(stream, parts)
    if is_new:
        decide(
            log,
            "replaced the backup of a run",
            request=stream.request_id,
            target=record.target,
            backup=backup.record.target,
        )


async def release_copy(stream, parts, record):
    """Free a copy that `maintain_copy` made, after its run ended."""
    copy = stream.copy
    if copy is not None and copy.address == record.address:
        await parts.free_copy(record, copy.copy_id)
