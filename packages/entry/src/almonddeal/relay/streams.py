"""Streamed responses that resume at another engine when the sending one is lost.

The caller sees one response head and each event once. The KV cache of a run is copied
to a second engine as it grows. After a loss the response resumes there; without a copy
it resumes at any engine, after the last event sent to the caller.
"""

import anyio

from almonddeal.relay.admission import max_wait_ms, on_time_wait_ms
from almonddeal.relay.admission_queue import (
    REFUSAL_BACKOFF_MS,
    make_demand,
    wait_for_engine,
    wait_for_room,
)
from almonddeal.relay.attempts import run_attempt
from almonddeal.relay.moves import (
    MAX_ATTEMPTS,
    MIN_LEFT_MS,
    has_attempts_left,
    has_met_last_crash,
    may_be_sent,
)
from almonddeal.relay.plain import no_target_error
from almonddeal.relay.prefix_cache import find_cached_prefix
from almonddeal.relay.resumption import require_compatible_targets
from almonddeal.relay.run_reports import report_run_end
from almonddeal.relay.stream_state import KvCopy, Stream
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    ATTEMPT_LOST,
    DEADLINE,
    NOT_REACHED,
    NOT_RESUMABLE,
    OVERLOADED,
    TARGET_REFUSED,
    TARGET_STALLED,
    AlmonddealError,
)
from almonddeal_common.logs import decide, get_logger

RETRY_AFTER_MS = 1000  # about the prefill time of one prompt
NO_TARGET_BACKOFF_S = 0.1  # before a stream looks for a target again
PAUSE_MARGIN_MS = 1.0  # after the end of a pause; timers are not exact
MAX_BUDGET_WAIT_MS = 1000.0  # a caller that resumes its stream itself takes as long
BUDGET_POLL_INTERVAL_S = 0.05

log = get_logger("relay")


async def relay_stream(admitted, context, writer):
    """Relay one request whose response is streamed.

    Parameters
    ----------
    admitted : AdmittedRequest
    context : RelayContext
    writer : object
        Writes the response to the caller.

    Raises
    ------
    AlmonddealError
        Only before the response head is sent; after that the response is truncated.
    """
    stream = Stream(admitted, writer)
    context.record_request(admitted.service.name)
    try:
        with anyio.move_on_after(max(0.0, admitted.left_ms) / 1000):
            await _serve(stream, context)
            return
        if stream.is_ended:
            # The deadline met the work behind the response, such as to free a copy.
            return
        if not stream.is_started:
            raise AlmonddealError(DEADLINE, "no event came in time")
        decide(log, "truncated a stream at its deadline", request=stream.request_id)
    finally:
        report_run_end(stream, context)


async def _serve(stream, context):
    if stream.last_event_id is not None:
        await require_compatible_targets(stream, context)
    _find_copy(stream, context)
    while not stream.is_ended:
        try:
            context.quarantine.check(stream.admitted)
            engine, copy = await _take_copy_and_select_target(stream, context)
            context.quarantine.check(stream.admitted)
        except AlmonddealError as error:
            if not stream.n_sends:
                raise
            await _fail(stream, context, error)
            return
        if engine is None:
            await anyio.sleep(NO_TARGET_BACKOFF_S)
            continue
        error = await run_attempt(stream, context, engine, copy)
        if error is None:
            return
        if not await _consume_retry(stream, context, error):
            await _fail(stream, context, error)
            return


def _find_copy(stream, context):
    """Find the KV-cache copy of the earlier run if the caller resumes a stream.

    Other callers may send equal requests, so only a caller that names its stream may
    get its copy.
    """
    request = stream.admitted.request
    if stream.last_event_id is None or request.generation is None:
        return
    if request.resumed_request_id is None:
        return
    run = context.load_view.find_run(request.stream_fingerprint)
    if run is None or not run.backup:
        return
    backup = context.targets.get(run.backup)
    if backup is None or backup.announcement.born_ms != run.backup_born_ms:
        return
    if not stream.is_compatible(backup.announcement):
        return
    stream.copy = KvCopy(backup, run.copy_address, run.copy_id)
    decide(
        log,
        "found the KV-cache copy of a resumed stream",
        request=stream.request_id,
        run=run.request,
        backup=run.backup,
    )


async def _take_copy_and_select_target(stream, context):
    """Return the next engine and the copy from which it resumes; either may be None.

    Takes the copy from the stream, so that it is tried once. For a plain service, the
    first value is a target instead of an engine.

    Raises
    ------
    AlmonddealError
        If no engine is available in time and the stream does not try until its
        deadline, or if no target has the software version that began it.
    """
    version = stream.software_version
    if version is not None and not stream.candidates(context.targets):
        service_name = stream.admitted.service.name
        if stream.is_started and context.targets.may_become_usable(
            service_name, version
        ):
            return None, None
        raise AlmonddealError(
            NOT_RESUMABLE, f"no target has software version {version}"
        )
    if stream.tries_until_deadline and not _can_go_on(stream, context):
        await _wait_for_candidates(stream, context)
        if not _can_go_on(stream, context):
            return None, None
    elif _is_refused_by_all(stream, context):
        await _wait_after_refusals(stream)
    copy = stream.copy if stream.can_use_copy(context) else None
    stream.copy = None
    if copy is not None:
        return copy.backup, copy
    if stream.admitted.service.engine is None:
        return _select_plain_target(stream, context), None
    if stream.last_event_id is not None:
        engine = await find_cached_prefix(
            stream, context, _allowed_candidates(stream, context)
        )
        # Targets may have left or restarted during the query.
        if engine in _allowed_candidates(stream, context):
            return engine, None
    if not stream.tries_until_deadline:
        return await wait_for_engine(stream, context), None
    engine = await wait_for_room(
        stream, context, lambda: _preferred_candidates(stream, context)
    )
    return engine, None


def _can_go_on(stream, context):
    """Tell whether a target may get a request of a stream now."""
    return stream.can_use_copy(context) or bool(_allowed_candidates(stream, context))


def _allowed_candidates(stream, context):
    """Return the targets that have not refused a stream and may get requests."""
    candidates = stream.unpaused_candidates(context)
    return [target for target in candidates if context.allows(target)]


def _preferred_candidates(stream, context):
    """Return the allowed targets at which no attempt of a stream failed, if any."""
    candidates = stream.unpaused_candidates(context)
    untried = [
        t for t in candidates if t.announcement.target not in stream.failed_targets
    ]
    targets = stream.outside_lost_domains(untried or candidates, monotonic_ms())
    return [target for target in targets if context.allows(target)]


def _is_refused_by_all(stream, context):
    """Tell whether all targets refused to continue a stream that has not started."""
    if stream.last_event_id is None or not stream.refusing_targets:
        return False
    return not stream.candidates(context.targets, stream.refusing_targets)


async def _wait_after_refusals(stream):
    """Pause before the targets that refused to continue a stream are asked again."""
    await anyio.sleep(REFUSAL_BACKOFF_MS / 1000)
    stream.forget_refusals()


async def _wait_for_candidates(stream, context):
    """Wait before the targets that a stream cannot use are asked again.

    Raises
    ------
    AlmonddealError
        If all of them hold off for longer than the stream has time left.
    """
    pause_ms = _pause_left_ms(stream, context)
    if pause_ms > stream.admitted.left_ms - MIN_LEFT_MS:
        raise AlmonddealError(ATTEMPT_LOST, "all engines hold off until the deadline")
    wait_ms = pause_ms + PAUSE_MARGIN_MS if pause_ms else REFUSAL_BACKOFF_MS
    # Another target may appear during the wait.
    await anyio.sleep(min(wait_ms, REFUSAL_BACKOFF_MS) / 1000)
    stream.forget_refusals()


def _select_plain_target(stream, context):
    targets = _preferred_candidates(stream, context)
    if not targets and not stream.tries_until_deadline:
        raise no_target_error(stream.admitted.service.name, context)
    return context.hold_offs.choose(
        lambda targets: min(targets, key=lambda t: t.n_in_flight, default=None), targets
    )


def _is_paused_too_long(stream, context):
    """Tell whether all targets hold off for longer than a stream would wait for one."""
    pause_ms = _pause_left_ms(stream, context)
    return pause_ms > 0 and pause_ms > _max_pause_ms(stream, context)


def _pause_left_ms(stream, context):
    """Return the time until a target of a stream does not hold off, in ms.

    An ejected one, such as the silent engine that the stream left, may be the last that
    does not.
    """
    service_name = stream.admitted.service.name
    if context.candidates(service_name, (), stream.software_version):
        return 0.0
    return context.hold_offs.left_ms(stream.candidates(context.targets))


def _max_pause_ms(stream, context):
    if stream.tries_until_deadline:
        return stream.admitted.left_ms - MIN_LEFT_MS
    if stream.admitted.service.engine is None:
        return 0.0
    demand = make_demand(stream)
    if demand.resumes:
        return max(REFUSAL_BACKOFF_MS, on_time_wait_ms(context.load_view, demand))
    return max_wait_ms(context.load_view, demand)


async def _consume_retry(stream, context, error):
    """Return whether another attempt is allowed after one failed.

    Takes a retry from the budget if the failed attempt reached an engine and another
    one may serve the stream in time. While the budget is used up, waits for a short
    time, as it is a sliding window. A stream that left a sound engine waits until its
    deadline.
    """
    if error.code == TARGET_STALLED and stream.has_retry:
        # Judged by `claim_move` before the stream left its engine.
        stream.has_left_silent_engine = True
        stream.has_retry = False
        return True
    is_not_run = error.code in (NOT_REACHED, TARGET_REFUSED)
    if not is_not_run:
        stream.has_left_silent_engine = error.code == TARGET_STALLED
        if not stream.admitted.route.may_run_again:
            return False
    if not stream.sequence.can_resume:
        return False
    is_behind_silence = is_not_run and stream.has_left_silent_engine
    if not await _await_attempt(stream, is_behind_silence):
        return False
    if error.code == NOT_REACHED:
        return True
    if has_met_last_crash(stream):
        decide(
            log,
            "no further engine for a request under which engines crashed",
            request=stream.request_id,
            n_crashes=len(stream.crashes),
        )
        return False
    if stream.has_retry:
        stream.has_retry = False
        return True
    return await _take_retry(stream, context, is_behind_silence)


async def _await_attempt(stream, is_behind_silence):
    """Return whether a stream may make one more attempt; waits until it may.

    One that left a silent engine and was refused elsewhere has no limit of attempts but
    makes them at intervals.
    """
    if not is_behind_silence or stream.n_attempts < MAX_ATTEMPTS:
        return has_attempts_left(stream, stream.n_sends)
    await anyio.sleep(REFUSAL_BACKOFF_MS / 1000)
    return may_be_sent(stream, stream.n_sends)


async def _take_retry(stream, context, is_behind_silence):
    """Return whether a retry was taken from the budget, for which a stream may wait."""
    max_wait_ms = stream.admitted.left_ms if is_behind_silence else MAX_BUDGET_WAIT_MS
    wait_deadline_ms = monotonic_ms() + max_wait_ms
    while not _is_paused_too_long(stream, context):
        if context.take_retry(stream.admitted.service.name):
            return True
        if monotonic_ms() >= wait_deadline_ms or stream.admitted.left_ms < MIN_LEFT_MS:
            decide(log, "retry budget exhausted", request=stream.request_id)
            return False
        await anyio.sleep(BUDGET_POLL_INTERVAL_S)
    decide(log, "no retry, all targets hold off", request=stream.request_id)
    return False


async def _fail(stream, context, error):
    decide(
        log,
        "gave up a stream",
        request=stream.request_id,
        last_event_id=stream.last_event_id,
        n_sends=stream.n_sends,
        error=error.code.name,
    )
    if stream.is_started:
        return
    if stream.error_response is not None:
        response, body = stream.error_response
        await stream.writer.send_response(response.status, response.headers, body)
        return
    if stream.n_sends == 0:
        raise AlmonddealError(
            OVERLOADED,
            "no engine took the request",
            retry_after_ms=context.retry_after_ms(
                stream.candidates(context.targets), lambda: RETRY_AFTER_MS
            ),
        )
    raise AlmonddealError(ATTEMPT_LOST, "the engine was lost")
