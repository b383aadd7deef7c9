"""Answers in events that go on at another engine when theirs is lost.

The caller sees one head and each event once. A run's memory is copied to a second
engine as it grows; after a loss the answer goes on there, or, without a copy, anywhere
from the last event that the caller has.
"""

import anyio

from almonddeal.relay.admission_queue import wait_for_engine
from almonddeal.relay.attempts import run_attempt
from almonddeal.relay.cached import find_cached
from almonddeal.relay.run_reports import end_run
from almonddeal.relay.stream_state import Copy, Stream
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    ATTEMPT_LOST,
    DEADLINE,
    NO_TARGET,
    NOT_REACHED,
    OVERLOADED,
    TARGET_REFUSED,
    AlmonddealError,
)
from almonddeal_common.logs import decide, get_logger

RETRY_AFTER_MS = 1000  # about the time in which an engine reads one prompt
MAX_TRIES = 12  # sends and connections of one answer, whatever the route allows
NO_ROOM_PAUSE_S = 0.1  # before an answer that was begun asks for room again
LEAST_LEFT_MS = 50.0

log = get_logger("relay")


async def relay_stream(admitted, context, reply):
    """Serve one answer in events.

    Parameters
    ----------
    admitted : AdmittedRequest
    context : RelayContext
    reply : object
        The caller's side.

    Raises
    ------
    AlmonddealError
        Only before the head of an answer was sent; later the answer is cut off.
    """
    stream = Stream(admitted, reply)
    context.budget(admitted.service.name).earn()
    try:
        with anyio.move_on_after(max(0.0, admitted.left_ms) / 1000):
            await _serve(stream, context)
            return
        if not stream.is_begun:
            raise AlmonddealError(DEADLINE, "no event came in time")
        decide(log, "cuts an answer at its deadline", request=stream.request_id)
    finally:
        end_run(stream, context)


async def _serve(stream, context):
    _adopt_copy(stream, context)
    while not stream.is_ended:
        try:
            state, copy = await _next_target(stream, context)
        except AlmonddealError as error:
            if not stream.n_sends:
                raise
            await _give_up(stream, error)
            return
        if state is None:
            await anyio.sleep(NO_ROOM_PAUSE_S)
            continue
        error = await run_attempt(stream, context, state, copy)
        if error is None:
            return
        if not _may_go_on(stream, context, error):
            await _give_up(stream, error)
            return


def _adopt_copy(stream, context):
    """Find the copy of an answer whose run another instance lost."""
    generation = stream.admitted.request.generation
    if stream.last_event_id is None or generation is None:
        return
    run = context.load_view.find_run(generation.fingerprint)
    if run is None or not run.backup:
        return
    state = context.targets.get(run.backup)
    if state is None or state.announcement.born_ms != run.backup_born_ms:
        return
    stream.copy = Copy(state, run.copy_address, run.copy_id)
    decide(
        log,
        "knows the copy of a resumed answer",
        request=stream.request_id,
        run=run.request,
        backup=run.backup,
    )


async def _next_target(stream, context):
    """Return the next target and the copy that it goes on from, if any.

    Raises
    ------
    AlmonddealError
        If the answer has not begun, and no engine takes it.
    """
    copy, stream.copy = stream.copy, None
    if copy is not None and copy.is_sound(context.targets, monotonic_ms()):
        return copy.state, copy
    service = stream.admitted.service
    possible = context.targets.candidates(service.name, stream.refused)
    states = [
        s for s in possible if s.announcement.target not in stream.left_by
    ] or possible
    if service.engine is None:
        return _least_used(stream, states), None
    if stream.last_event_id is not None:
        state = await find_cached(stream, context, possible)
        if state is not None:
            return state, None
    if not stream.is_begun:
        return await wait_for_engine(stream, context), None
    return context.choose_engine(states, stream.admitted, stream.n_tokens), None


def _least_used(stream, states):
    if not states and not stream.is_begun:
        raise AlmonddealError(
            NO_TARGET, "no target is known", retry_after_ms=RETRY_AFTER_MS
        )
    return min(states, key=lambda s: s.n_in_flight, default=None)


def _may_go_on(stream, context, error):
    """Tell whether an answer may be tried again after an attempt failed."""
    is_free = error.code in (NOT_REACHED, TARGET_REFUSED)
    route = stream.admitted.route
    if not is_free and not route.may_repeat:
        return False
    if stream.n_tries >= MAX_TRIES or stream.n_sends >= route.max_attempts:
        return False
    if stream.admitted.left_ms < LEAST_LEFT_MS:
        return False
    if error.code == NOT_REACHED:
        return True
    return context.budget(stream.admitted.service.name).spend()


async def _give_up(stream, error):
    decide(
        log,
        "gives an answer up",
        request=stream.request_id,
        last_event_id=stream.last_event_id,
        n_sends=stream.n_sends,
        error=error.code.name,
    )
    if stream.is_begun:
        return
    if stream.last_answer is not None:
        answer, body = stream.last_answer
        await stream.reply.send_response(answer.status, answer.headers, body)
        return
    if stream.n_sends == 0:
        raise AlmonddealError(
            OVERLOADED, "no engine took the request", retry_after_ms=RETRY_AFTER_MS
        )
    raise AlmonddealError(ATTEMPT_LOST, "the engine was lost")
