"""Forwarding of the events of an engine's response to the caller of a stream."""

from contextlib import suppress

import anyio

from almonddeal.relay.events import EventReader
from almonddeal.relay.incarnations import read_start_ms
from almonddeal.relay.resumption import record_origin
from almonddeal.relay.run_reports import record_first_event
from almonddeal.relay.suspects import list_suspects
from almonddeal_common.bodies import in_pieces
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import LINK_LOST, AlmonddealError

MAX_START_WAIT_MS = 1500.0  # for an engine that responds to probes all the while
START_RETRY_INTERVAL_S = 0.1


def may_continue(stream, response):
    """Tell whether a response can be the rest of the one that the caller receives."""
    if not stream.is_started:
        return True
    kind = (response.status, response.media_type)
    return kind == (stream.status, stream.media_type)


async def forward_events(
    stream, context, engine, announcement, response, progress, timer
):
    """Send the events of a response on to the caller, until it is complete.

    Parameters
    ----------
    stream : Stream
    context : RelayContext
    engine : TrackedTarget
    announcement : AnnouncedTarget
        Of the engine, as the request was sent.
    response : TargetResponse
    progress : AttemptProgress
    timer : FirstEventTimer
        Its deadline is lifted once the engine makes progress.

    Raises
    ------
    AlmonddealError
        `LINK_LOST` if the response ends or continues otherwise than a stream may.
    """
    reader = EventReader()
    stream.sequence.begin_attempt()
    async for piece in in_pieces(response.chunks):
        events = reader.feed(piece)
        if not events:
            continue
        # Comments do not show that the engine still generates.
        is_progress = not all(event.is_comment for event in events)
        deadline, timer.deadline = timer.deadline, float("inf")
        if is_progress:
            engine.record_activity()
            if not progress.has_event:
                await _check_incarnation(stream, context, engine, announcement)
                record_first_event(stream, context, engine)
            if stream.software_version is None:
                record_origin(stream, context, engine, announcement)
        with progress.sending():
            await _send_events(stream, response, events)
        if is_progress:
            had_survived = progress.has_survived
            progress.record_events(len(events), monotonic_ms())
            if progress.has_survived and not had_survived:
                context.quarantine.record_sound(list_suspects(stream.admitted))
                stream.crashes.clear()
        else:
            timer.deadline = deadline
    if reader.has_partial_event:
        raise AlmonddealError(LINK_LOST, "the answer ended within an event")
    timer.deadline = float("inf")
    with progress.sending():
        await _send_accepted(stream, response, stream.sequence.finish())
        await _start_response(stream, response)
        await stream.writer.finish()
    stream.is_ended = True


async def _check_incarnation(stream, context, engine, announcement):
    """Check that an engine did not restart before its first event.

    The event may be of another software version than the one that was announced. An
    engine that responds now and has not restarted has sent the event, too.

    Raises
    ------
    AlmonddealError
        `LINK_LOST` if it did, or does not tell.
    """
    if _needs_start_time(stream, context, engine):
        start_ms = await _read_start_ms(stream, context, engine, announcement)
        if start_ms not in (None, announcement.born_ms):
            raise AlmonddealError(LINK_LOST, "the engine restarted after it announced")
    if engine.announcement.born_ms != announcement.born_ms:
        raise AlmonddealError(LINK_LOST, "the engine restarted before its first event")


def _needs_start_time(stream, context, engine):
    """Tell whether the announcement of an engine does not suffice.

    Targets of plain services are not asked, as the query would wait for a slot.
    """
    if stream.admitted.service.engine is None or not stream.admitted.route.is_resumable:
        return False
    if stream.software_version is not None:
        return True
    return engine.is_unheard or not context.is_current()


async def _read_start_ms(stream, context, engine, announcement):
    """Return the start time that an engine reports, or None if it is not needed.

    An engine that holds off is not asked until the end, and one that is silent is asked
    until the attempt ends. Control may be heard before.

    Raises
    ------
    AlmonddealError
        `LINK_LOST` if the engine responds, but does not report its start time.
    """
    hold_offs = context.hold_offs
    wait_ends_ms = monotonic_ms() + MAX_START_WAIT_MS
    has_responded = False
    while _needs_start_time(stream, context, engine):
        if hold_offs.allows(announcement):
            with suppress(AlmonddealError):
                return await read_start_ms(
                    context, engine, announcement, stream.request_id
                )
        elif (
            stream.software_version is not None
            and hold_offs.pause_left_ms(announcement) > MAX_START_WAIT_MS
        ):
            raise AlmonddealError(LINK_LOST, "the engine holds off too long")
        if has_responded:
            raise AlmonddealError(
                LINK_LOST, "the engine does not report its start time"
            )
        if monotonic_ms() >= wait_ends_ms:
            # It is asked once more before it counts as lost.
            has_responded = await context.responds(announcement)
        await anyio.sleep(START_RETRY_INTERVAL_S)
    return None


async def _start_response(stream, response):
    if not stream.is_started:
        await stream.writer.start(response.status, response.headers)
        stream.is_started = True
        stream.status = response.status
        stream.media_type = response.media_type


async def _send_events(stream, response, events):
    """Send the events that the caller is yet to receive.

    Raises
    ------
    AlmonddealError
        `LINK_LOST` at an event whose id is not sound, after those before it were sent.
    """
    accepted = []
    error = None
    try:
        for event in events:
            accepted += stream.sequence.accept(event)
    except AlmonddealError as caught:
        error = caught
    await _send_accepted(stream, response, accepted)
    if error is not None:
        raise error


async def _send_accepted(stream, response, events):
    if not events:
        return
    await _start_response(stream, response)
    await stream.writer.send(b"".join(event.raw for event in events))
    if not all(event.is_comment for event in events):
        stream.last_sent_ms = monotonic_ms()
