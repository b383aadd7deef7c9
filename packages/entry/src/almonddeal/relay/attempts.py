"""One attempt of an answer in events: send, pass events on, and see that it is lost."""

import anyio

from almonddeal.relay.copies import free_kv_copy, keep_copy, pick_backup
from almonddeal.relay.events import EventReader
from almonddeal.relay.requests import Attempt
from almonddeal.relay.run_reports import begin_run, note_first
from almonddeal.relay.stall import (
    PROBE_INTERVAL_MS,
    SUSPECT_SILENCE_MS,
    first_event_limit_ms,
    first_probe_ms,
    gap_limit_ms,
)
from almonddeal.relay.stream_state import Copy
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    ATTEMPT_LOST,
    LINK_LOST,
    NOT_REACHED,
    TARGET_REFUSED,
    TARGET_STALLED,
    AlmonddealError,
)
from almonddeal_common.logs import decide, get_logger

NOT_SENT = (NOT_REACHED, TARGET_REFUSED)

log = get_logger("relay")


async def run_attempt(stream, context, state, copy):
    """Run one attempt; returns None once the answer is complete, else the error.

    Parameters
    ----------
    stream : Stream
    context : RelayContext
    state : TrackedTarget
        The engine.
    copy : Copy or None
        The memory that the engine goes on from.
    """
    announcement = state.announcement
    backup = pick_backup(stream, context, announcement)
    attempt = Attempt(
        stream.admitted,
        announcement,
        backup.announcement.address if backup is not None else None,
        copy,
        stream.last_event_id,
    )
    if backup is not None:
        stream.copy = Copy(backup, backup.announcement.address, stream.request_id)
    begin_run(stream, context, announcement, copy is not None)
    started_ms = monotonic_ms()
    stream.n_tries += 1
    error = await _watch(stream, context, state, attempt)
    if error is None or error.code not in NOT_SENT:
        stream.n_sends += 1
    _log_end(stream, context, announcement, copy, started_ms, error)
    if error is None:
        await free_kv_copy(stream, context, announcement)
        return None
    stream.left_by.add(announcement.target)
    # An engine that has not begun has nothing to copy yet.
    if not stream.is_begun or error.code in NOT_SENT:
        stream.copy = None
    _learn(stream, context, state, error, copy is not None)
    return error


def _log_end(stream, context, announcement, copy, started_ms, error):
    now_ms = monotonic_ms()
    backup = stream.copy.state.announcement.target if stream.copy is not None else None
    decide(
        log,
        "ended an attempt",
        request=stream.request_id,
        target=announcement.target,
        born_ms=announcement.born_ms,
        version=context.version,
        resumes_copy=copy is not None,
        backup=backup,
        last_event_id=stream.last_event_id,
        outcome="OK" if error is None else error.code.name,
        detail="" if error is None else error.detail,
        took_ms=round(now_ms - started_ms),
        pause_ms=round(now_ms - stream.last_sent_ms) if stream.is_begun else -1,
        left_ms=round(stream.admitted.left_ms),
    )


async def _watch(stream, context, state, attempt):
    """Run an attempt under a scope that a stall or the loss of the target ends."""
    error = AlmonddealError(TARGET_STALLED, "no event came")
    state.n_in_flight += 1
    async with anyio.create_task_group() as group:
        state.scopes[group.cancel_scope] = stream.request_id
        group.start_soon(_probe_while_silent, context, state, stream.request_id)
        group.start_soon(keep_copy, stream, context, state.announcement)
        try:
            await _relay(stream, context, state, attempt, group.cancel_scope)
            error = None
        except AlmonddealError as caught:
            error = caught
        finally:
            state.n_in_flight -= 1
            del state.scopes[group.cancel_scope]
        group.cancel_scope.cancel()
    return error


async def _probe_while_silent(context, state, request_id):
    """Ask an engine that is silent for a sign of life, and end its attempts without."""
    n_unread_tokens = context.load_view.load(state.announcement).n_unread_tokens
    first_ms = first_probe_ms(n_unread_tokens, context.load_view.usual_ms_per_token)
    is_suspected = await _wait_suspected(state, first_ms)
    while True:
        silence_ms = monotonic_ms() - state.last_heard_ms
        least_ms = SUSPECT_SILENCE_MS if is_suspected else PROBE_INTERVAL_MS
        if silence_ms >= least_ms:
            if not await context.is_alive(state.announcement):
                context.targets.avoid(state, "gave no sign of life", request_id)
                state.end_attempts()
                return
            state.hear()
        is_suspected = await _wait_suspected(state, PROBE_INTERVAL_MS)


async def _wait_suspected(state, limit_ms):
    """Wait for a time; returns early, and True, if the target is suspected."""
    with anyio.move_on_after(limit_ms / 1000):
        await state.suspected.wait()
        return True
    return False


def _set_limit(scope, limit_ms):
    scope.deadline = anyio.current_time() + limit_ms / 1000


def _first_limit_ms(stream, context, state):
    request = stream.admitted.request
    generation = request.generation
    n_prompt_tokens = generation.n_prompt_tokens if generation is not None else 0
    waited_ms = monotonic_ms() - request.arrived_ms
    return first_event_limit_ms(
        context.load_view.load(state.announcement).n_unread_tokens,
        n_prompt_tokens,
        context.load_view.usual_ms_per_token,
        stream.admitted.route.objective_ms - waited_ms,
    )


async def _relay(stream, context, state, attempt, scope):
    _set_limit(scope, _first_limit_ms(stream, context, state))
    async with context.open(attempt) as answer:
        if answer.is_not_run:
            code = NOT_REACHED if answer.is_misdirected else TARGET_REFUSED
            raise AlmonddealError(code, f"status {answer.status}")
        if not answer.is_success:
            body = b"".join([chunk async for chunk in answer.chunks])
            stream.last_answer = (answer, body)
            raise AlmonddealError(ATTEMPT_LOST, f"status {answer.status}")
        if not answer.is_authentic:
            raise AlmonddealError(LINK_LOST, "not the target's answer")
        await _pass_events(stream, context, state, answer, scope)


async def _pass_events(stream, context, state, answer, scope):
    reader = EventReader()
    gap_ms = gap_limit_ms(stream.admitted.route.max_gap_ms)
    has_first = False
    async for chunk in answer.chunks:
        events = reader.feed(chunk)
        if not events:
            continue
        state.hear()
        if not has_first:
            has_first = True
            note_first(stream, context, state)
        await _send_events(stream, answer, events, scope)
        _set_limit(scope, gap_ms)
    if reader.has_partial_event:
        raise AlmonddealError(LINK_LOST, "the answer ended within an event")
    scope.deadline = float("inf")
    await _begin(stream, answer)
    await stream.reply.finish()
    stream.is_ended = True


async def _begin(stream, answer):
    if not stream.is_begun:
        await stream.reply.start(answer.status, answer.headers)
        stream.is_begun = True


async def _send_events(stream, answer, events, scope):
    fresh = [event for event in events if _is_next(stream, event)]
    if not fresh:
        return
    # A caller that reads slowly is no stall of the engine.
    scope.deadline = float("inf")
    await _begin(stream, answer)
    await stream.reply.send(b"".join(event.raw for event in fresh))
    stream.last_sent_ms = monotonic_ms()


def _is_next(stream, event):
    """Tell whether the caller lacks an event; raises if one is missing before it."""
    last = stream.last_event_id
    if event.event_id is None:
        return True
    if last is not None and event.event_id <= last:
        return False
    if last is not None and stream.step is not None:
        if event.event_id != last + stream.step:
            detail = f"event {event.event_id} follows {last}"
            raise AlmonddealError(LINK_LOST, detail)
    elif last is not None:
        stream.step = event.event_id - last
    stream.last_event_id = event.event_id
    return True


def _learn(stream, context, state, error, resumes_copy):
    request_id = stream.request_id
    if error.code == TARGET_REFUSED:
        if not resumes_copy:
            stream.refused.add(state.announcement.target)
    elif error.code == NOT_REACHED:
        stream.refused.add(state.announcement.target)
        context.targets.avoid(state, "could not be reached", request_id)
    elif error.code == TARGET_STALLED:
        silence_ms = monotonic_ms() - state.last_heard_ms
        if silence_ms > gap_limit_ms(stream.admitted.route.max_gap_ms) / 2:
            context.targets.avoid(state, "is silent", request_id)
            state.end_attempts()
    elif error.code == LINK_LOST:
        context.targets.lose_connection(state, request_id)
