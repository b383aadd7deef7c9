"""Origins of streams: which software version may continue one that a caller resumes.

Texts of two software versions do not fit together and engines do not check it, so a
stream whose origin is not known is rejected. The instance that began the stream may be
gone; it has published the origin, which arrives with the other reports.
"""

import anyio

from almonddeal.announced.stream_origins import UNKNOWN_VERSION
from almonddeal_common.clock import monotonic_ms, wall_ms
from almonddeal_common.codes import NOT_RESUMABLE, AlmonddealError
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.wire.gen.ttypes import StreamOrigin

STARTUP_MS = 5000  # four announcement intervals
MAX_STARTUP_WAIT_MS = 1500.0  # one announcement interval and a margin
MAX_WAIT_SHARE = 0.25  # of a request's timeout; the rest is for serving it
MAX_ORIGIN_WAIT_MS = 500.0  # reports of other instances take tens of milliseconds
UNKNOWN_ORIGIN_RETRY_MS = 500.0
POLL_INTERVAL_S = 0.02

log = get_logger("relay")


def record_origin(stream, context, engine, announcement):
    """Record the software version of the target that sends the first event of a stream.

    Has to precede the event: the caller may resume as soon as it has the event.

    Parameters
    ----------
    stream : Stream
    context : RelayContext
    engine : TrackedTarget
    announcement : AnnouncedTarget
        Of the engine, as the request was sent.
    """
    stream.origin = StreamOrigin(
        stream.request_id,
        stream.admitted.service.name,
        announcement.version,
        wall_ms(),
        context.instance,
    )
    context.stream_origins.add(stream.origin)
    engine.record_begun(stream.request_id, stream.origin.began_ms)


async def find_origin(request, context):
    """Return the `StreamOrigin` that a caller names as it resumes a stream, or None.

    Waits for it for a short time from the arrival of the request.

    Parameters
    ----------
    request : CallerRequest
    context : RelayContext
    """
    if request.resumed_request_id is None:
        return None
    return await _wait_for(
        lambda: context.stream_origins.get(request.resumed_request_id), request, context
    )


async def _find_origin(stream, context):
    """Return the `StreamOrigin` of a resumed stream, or None if its version is unknown.

    A caller that does not name the stream can resume it while all streams and targets
    of the service have the same version. An instance may have been cut off or stopped
    while another version joined, so it first catches up.
    """
    request = stream.admitted.request
    service_name = stream.admitted.service.name
    if request.resumed_request_id is None:
        if not await _catch_up(request, context):
            return None
        version = await _wait_for(
            lambda: _common_version(service_name, context), request, context
        )
        if version is None:
            return None
        return StreamOrigin("", service_name, version, wall_ms(), context.instance)
    origin = await find_origin(request, context)
    return None if origin is None or origin.version == UNKNOWN_VERSION else origin


async def _catch_up(request, context):
    """Return whether the instance has what control had when the request arrived."""
    with anyio.move_on_after(_left_wait_s(request, context)):
        while not await context.catch_up():
            await anyio.sleep(POLL_INTERVAL_S)
        return True
    decide(
        log,
        "could not catch up with control to resume a stream",
        request=request.request_id,
    )
    return False


def _common_version(service_name, context):
    version = context.stream_origins.common_version(service_name)
    announced = context.targets.announced_versions(service_name)
    return version if announced <= {version} else None


async def _wait_for(find, request, context):
    """Return what `find` finds among the origins, or None once it takes too long."""
    with anyio.move_on_after(_left_wait_s(request, context)):
        while find() is None:
            await context.stream_origins.wait()
    return find()


async def require_compatible_targets(stream, context):
    """Restrict a resumed stream to the software version that began it.

    Parameters
    ----------
    stream : Stream
    context : RelayContext

    Raises
    ------
    AlmonddealError
        `NOT_RESUMABLE` if that version is not known, or no target has it.
    """
    request = stream.admitted.request
    origin = await _find_origin(stream, context)
    if origin is None:
        raise AlmonddealError(
            NOT_RESUMABLE,
            f"the origin of stream {request.resumed_request_id} is not known",
            retry_after_ms=UNKNOWN_ORIGIN_RETRY_MS,
        )
    stream.origin = origin
    version = origin.version
    decide(
        log,
        "found the origin of a resumed stream",
        request=stream.request_id,
        resumed=request.resumed_request_id,
        software_version=version,
        last_event_id=stream.last_event_id,
    )
    while not stream.candidates(context.targets):
        waited_ms = monotonic_ms() - request.arrived_ms
        max_wait_ms = _max_wait_ms(request, context)
        if context.uptime_ms > STARTUP_MS or waited_ms > max_wait_ms:
            raise AlmonddealError(
                NOT_RESUMABLE, f"no target has software version {version}"
            )
        await anyio.sleep(POLL_INTERVAL_S)


def _left_wait_s(request, context):
    """Return how much longer a request may wait for an origin, in s."""
    wait_ms = request.arrived_ms + _max_wait_ms(request, context) - monotonic_ms()
    return max(0.0, wait_ms) / 1000


def _max_wait_ms(request, context):
    is_starting = context.uptime_ms <= STARTUP_MS
    wait_ms = MAX_STARTUP_WAIT_MS if is_starting else MAX_ORIGIN_WAIT_MS
    if request.timeout_ms is None:
        return wait_ms
    return min(wait_ms, MAX_WAIT_SHARE * request.timeout_ms)
