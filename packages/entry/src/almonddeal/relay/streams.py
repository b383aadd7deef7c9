"""Answers in events that go on at another engine when theirs is lost.

The caller sees one head and each event once. A run's memory is copied to a second
engine as it grows; after a loss the answer goes on there, or, without a copy, anywhere
from the last event that the caller has.
"""

import random

import anyio

from almonddeal.relay.choose import choose_backup, choose_engine
from almonddeal.relay.events import EventReader
from almonddeal.relay.requests import Attempt
from almonddeal.relay.stall import (
    PROBE_INTERVAL_MS,
    first_event_limit_ms,
    first_probe_ms,
    gap_limit_ms,
)
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    ATTEMPT_LOST,
    DEADLINE,
    LINK_LOST,
    NO_TARGET,
    NOT_REACHED,
    OVERLOADED,
    TARGET_REFUSED,
    TARGET_STALLED,
    AlmonddealError,
)
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.wire.gen.ttypes import Run

RETRY_AFTER_MS = 1000  # about the time in which an engine reads one prompt
MAX_TRIES = 12  # sends and connections of one answer, whatever the route allows
NO_ROOM_PAUSE_S = 0.1  # before an answer that was begun asks for room again
LEAST_LEFT_MS = 50.0

log = get_logger("relay")


class _Copy:
    """Memory of a run that an engine keeps for another one."""

    __slots__ = ("request_id", "state")

    def __init__(self, state, request_id):
        self.state = state
        self.request_id = request_id


class _Stream:
    """State of one answer over all its attempts."""

    __slots__ = (
        "admitted",
        "copy",
        "is_begun",
        "is_ended",
        "last_answer",
        "last_event_id",
        "last_sent_ms",
        "left_by",
        "n_sends",
        "n_tries",
        "refused",
        "reply",
        "run",
        "step",
    )

    def __init__(self, admitted, reply):
        self.admitted = admitted
        self.reply = reply
        self.last_event_id = admitted.request.last_event_id
        self.is_begun = False
        self.is_ended = False
        self.copy = None
        self.run = None
        self.refused = set()
        self.left_by = set()
        self.last_answer = None
        self.last_sent_ms = 0.0
        self.step = None
        self.n_sends = 0
        self.n_tries = 0

    @property
    def request_id(self):
        return self.admitted.request.request_id

    @property
    def n_tokens(self):
        generation = self.admitted.request.generation
        if generation is None:
            return 0
        return generation.n_prompt_tokens + generation.n_output_tokens


async def relay_stream(admitted, parts, reply):
    """Serve one answer in events.

    Parameters
    ----------
    admitted : Admitted
    parts : RelayParts
    reply : object
        The caller's side.

    Raises
    ------
    AlmonddealError
        Only before the head of an answer was sent; later the answer is cut off.
    """
    stream = _Stream(admitted, reply)
    parts.budget(admitted.service.name).earn()
    try:
        with anyio.move_on_after(max(0.0, admitted.left_ms) / 1000):
            await _serve(stream, parts)
            return
        if not stream.is_begun:
            raise AlmonddealError(DEADLINE, "no event came in time")
        decide(log, "cuts an answer at its deadline", request=stream.request_id)
    finally:
        _end_run(stream, parts)


async def _serve(stream, parts):
    _adopt_copy(stream, parts)
    while not stream.is_ended:
        state, copy = _next_target(stream, parts)
        if state is None:
            if not stream.is_begun:
                _refuse(stream, parts)
            await anyio.sleep(NO_ROOM_PAUSE_S)
            continue
        error = await _attempt(stream, parts, state, copy)
        if error is None:
            return
        if not _may_go_on(stream, parts, error):
            await _give_up(stream, error)
            return


def _adopt_copy(stream, parts):
    """Find the copy of an answer whose run another instance lost."""
    generation = stream.admitted.request.generation
    if stream.last_event_id is None or generation is None:
        return
    run = parts.loads.find_run(generation.fingerprint)
    if run is None or not run.backup:
        return
    state = parts.targets.get(run.backup)
    if state is None or state.record.born_ms != run.backup_born_ms:
        return
    stream.copy = _Copy(state, run.request)
    decide(
        log,
        "knows the copy of a resumed answer",
        request=stream.request_id,
        run=run.request,
        backup=run.backup,
    )


def _next_target(stream, parts):
    """Return the next target and the copy that it goes on from, if any."""
    copy, stream.copy = stream.copy, None
    if copy is not None and parts.targets.is_usable(copy.state):
        return copy.state, copy
    traits = stream.admitted.service.engine
    service_name = stream.admitted.service.name
    states = parts.targets.candidates(service_name, stream.refused | stream.left_by)
    if not states:
        states = parts.targets.candidates(service_name, stream.refused)
    if traits is None:
        return (min(states, key=lambda s: s.n_in_flight) if states else None), None
    state = choose_engine(
        states, parts.loads, stream.n_tokens, traits, parts.domain, random.random
    )
    return state, None


def _refuse(stream, parts):
    known = parts.targets.candidates(stream.admitted.service.name)
    decide(
        log,
        "refuses an answer",
        request=stream.request_id,
        n_targets=len(known),
        n_refused=len(stream.refused),
    )
    if not known:
        raise AlmonddealError(
            NO_TARGET, "no engine of the service is known", after_ms=RETRY_AFTER_MS
        )
    raise AlmonddealError(OVERLOADED, "no engine has room", after_ms=RETRY_AFTER_MS)


def _may_go_on(stream, parts, error):
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
    return parts.budget(stream.admitted.service.name).spend()


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
        await stream.reply.send_whole(answer.status, answer.headers, body)
        return
    if stream.n_sends == 0:
        raise AlmonddealError(
            OVERLOADED, "no engine took the request", after_ms=RETRY_AFTER_MS
        )
    raise AlmonddealError(ATTEMPT_LOST, "the engine was lost")


# ---- one attempt ---------------------------------------------------------------


async def _attempt(stream, parts, state, copy):
    """Run one attempt; returns None once the answer is complete, else the error."""
    record = state.record
    backup = _choose_backup(stream, parts, record)
    _begin_run(stream, parts, record, backup, copy is not None)
    attempt = Attempt(
        stream.admitted,
        record,
        backup.record.address if backup is not None else None,
        copy.request_id if copy is not None else None,
        stream.last_event_id,
    )
    started_ms = monotonic_ms()
    stream.n_tries += 1
    error = await _watch(stream, parts, state, attempt)
    if error is None or error.code not in _FREE:
        stream.n_sends += 1
    decide(
        log,
        "ended an attempt",
        request=stream.request_id,
        target=record.target,
        born_ms=record.born_ms,
        version=parts.version,
        resumes_copy=copy is not None,
        backup=backup.record.target if backup is not None else None,
        last_event_id=stream.last_event_id,
        outcome="OK" if error is None else error.code.name,
        detail="" if error is None else error.detail,
        took_ms=round(monotonic_ms() - started_ms),
        pause_ms=round(monotonic_ms() - stream.last_sent_ms) if stream.is_begun else -1,
        left_ms=round(stream.admitted.left_ms),
    )
    if error is not None:
        stream.left_by.add(record.target)
        _learn(stream, state, error, copy is not None)
        # An engine that has not begun has nothing to copy yet.
        if backup is not None and stream.is_begun and error.code not in _FREE:
            stream.copy = _Copy(backup, stream.request_id)
    return error


_FREE = (NOT_REACHED, TARGET_REFUSED)


def _choose_backup(stream, parts, record):
    traits = stream.admitted.service.engine
    if (
        traits is None
        or not traits.keeps_copies
        or not stream.admitted.route.may_repeat
    ):
        return None
    states = parts.targets.candidates(stream.admitted.service.name)
    return choose_backup(
        states, record, parts.loads, stream.n_tokens, traits, random.random
    )


async def _watch(stream, parts, state, attempt):
    """Run an attempt under a scope that a stall or the loss of the target ends."""
    error = AlmonddealError(TARGET_STALLED, "no event came")
    state.n_in_flight += 1
    async with anyio.create_task_group() as group:
        state.scopes.add(group.cancel_scope)
        group.start_soon(_probe_until_begun, parts, state, stream.request_id)
        try:
            await _relay(stream, parts, state, attempt, group.cancel_scope)
            error = None
        except AlmonddealError as caught:
            error = caught
        finally:
            state.n_in_flight -= 1
            state.scopes.discard(group.cancel_scope)
        group.cancel_scope.cancel()
    return error


async def _probe_until_begun(parts, state, request_id):
    """Ask an engine that is silent for a sign of life, and end its attempts without."""
    n_unread_tokens = parts.loads.load(state.record).n_unread_tokens
    await anyio.sleep(first_probe_ms(n_unread_tokens) / 1000)
    while True:
        silence_ms = monotonic_ms() - state.last_heard_ms
        if silence_ms >= PROBE_INTERVAL_MS:
            if not await parts.is_alive(state.record):
                state.avoid("gave no sign of life", request_id)
                state.end_attempts()
                return
            state.hear()
        await anyio.sleep(PROBE_INTERVAL_MS / 1000)


def _set_limit(scope, limit_ms):
    scope.deadline = anyio.current_time() + limit_ms / 1000


async def _relay(stream, parts, state, attempt, scope):
    load = parts.loads.load(state.record)
    generation = stream.admitted.request.generation
    n_prompt_tokens = generation.n_prompt_tokens if generation is not None else 0
    request = stream.admitted.request
    waited_ms = monotonic_ms() - request.arrived_ms
    objective_ms = stream.admitted.route.objective_ms - waited_ms
    _set_limit(
        scope,
        first_event_limit_ms(load.n_unread_tokens, n_prompt_tokens, objective_ms),
    )
    async with parts.open(attempt) as answer:
        if answer.is_not_run:
            code = NOT_REACHED if answer.is_other_target else TARGET_REFUSED
            raise AlmonddealError(code, f"status {answer.status}")
        if not answer.is_success:
            body = b"".join([chunk async for chunk in answer.chunks])
            stream.last_answer = (answer, body)
            raise AlmonddealError(ATTEMPT_LOST, f"status {answer.status}")
        if not answer.is_genuine:
            raise AlmonddealError(LINK_LOST, "not the target's answer")
        await _pass_events(stream, parts, state, answer, scope)


async def _pass_events(stream, parts, state, answer, scope):
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
            _note_read(stream, parts)
        _set_limit(scope, gap_ms)
        await _send_events(stream, answer, events, scope)
        _set_limit(scope, gap_ms)
    if reader.has_partial_event:
        raise AlmonddealError(LINK_LOST, "the answer ended within an event")
    scope.deadline = float("inf")
    if not stream.is_begun:
        await stream.reply.start(answer.status, answer.headers)
        stream.is_begun = True
    await stream.reply.finish()
    stream.is_ended = True


async def _send_events(stream, answer, events, scope):
    fresh = [event for event in events if _is_next(stream, event)]
    if not fresh:
        return
    # A caller that reads slowly is no stall of the engine.
    scope.deadline = float("inf")
    if not stream.is_begun:
        await stream.reply.start(answer.status, answer.headers)
        stream.is_begun = True
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


def _learn(stream, state, error, resumes_copy):
    request_id = stream.request_id
    if error.code == TARGET_REFUSED:
        if not resumes_copy:
            stream.refused.add(state.record.target)
        return
    if error.code == NOT_REACHED:
        stream.refused.add(state.record.target)
        state.avoid("could not be reached", request_id)
    elif error.code == TARGET_STALLED:
        silence_ms = monotonic_ms() - state.last_heard_ms
        if silence_ms > gap_limit_ms(stream.admitted.route.max_gap_ms) / 2:
            state.avoid("is silent", request_id)
            state.end_attempts()
    elif error.code == LINK_LOST:
        state.lose_connection(request_id)


# ---- runs as other instances see them -------------------------------------------


def _begin_run(stream, parts, record, backup, resumes_copy):
    generation = stream.admitted.request.generation
    if generation is None:
        return
    stream.run = Run(
        stream.request_id,
        parts.instance,
        record.target,
        record.born_ms,
        stream.n_tokens,
        0 if resumes_copy else generation.n_prompt_tokens,
        False,
        backup.record.target if backup is not None else "",
        generation.fingerprint,
        backup.record.born_ms if backup is not None else 0,
        "",
    )
    parts.report(stream.run)


def _note_read(stream, parts):
    run = stream.run
    if run is not None and run.n_unread_tokens:
        stream.run = _copy_run(run, is_ended=False)
        parts.report(stream.run)


def _end_run(stream, parts):
    if stream.run is not None:
        parts.report(_copy_run(stream.run, is_ended=True))


def _copy_run(run, is_ended):
    return Run(
        run.request,
        run.instance,
        run.target,
        run.born_ms,
        run.n_tokens,
        0,
        is_ended,
        run.backup,
        run.fingerprint,
        run.backup_born_ms,
        run.attempt,
    )
