"""One attempt of a streamed request: send it, forward events, and detect its loss."""

import anyio

from almonddeal.relay.forwarding import forward_events, may_continue
from almonddeal.relay.kv_copies import free_copy, maintain_copy, select_backup
from almonddeal.relay.moves import claim_move, fell_silent, is_last_crash
from almonddeal.relay.requests import Attempt
from almonddeal.relay.run_reports import report_run_start
from almonddeal.relay.stall import (
    PROBE_INTERVAL_MS,
    PROBE_REPEAT_MS,
    RECHECK_MS,
    SUSPECT_SILENCE_MS,
    FirstEventTimer,
    first_event_timeout_ms,
    first_probe_delay_ms,
    probe_gap_ms,
    stall_gap_ms,
)
from almonddeal.relay.stream_state import AttemptProgress, KvCopy
from almonddeal.relay.suspects import list_suspects, shared_prefix_hashes
from almonddeal_common.bodies import BodyTooLargeError, read_limited
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

NOT_RUN_CODES = (NOT_REACHED, TARGET_REFUSED)
EVENT_LOOP_STALL_MS = 100.0  # a timer later than this shows a stall of this process
MAX_ERROR_BODY_BYTES = 1024 * 1024

log = get_logger("relay")


async def run_attempt(stream, context, engine, copy):
    """Run one attempt at an engine.

    Parameters
    ----------
    stream : Stream
    context : RelayContext
    engine : TrackedTarget
    copy : KvCopy or None
        Copy of the KV cache from which the engine resumes.

    Returns
    -------
    error : AlmonddealError or None
        None once the response is complete.
    """
    announcement = engine.announcement
    backup = select_backup(stream, context, announcement)
    attempt = Attempt(
        stream.admitted,
        announcement,
        backup.announcement.address if backup is not None else None,
        copy,
        stream.last_event_id,
        lambda: context.may_send(engine),
    )
    if backup is not None:
        stream.copy = KvCopy(backup, backup.announcement.address, stream.request_id)
    # Without an event, the copy may lack most of the prompt.
    has_whole_prompt = copy is not None and stream.last_event_id is not None
    report_run_start(stream, context, announcement, has_whole_prompt)
    context.moving_streams.discard(stream)
    started_ms = monotonic_ms()
    stream.n_attempts += 1
    context.named_limits.take(engine)
    progress = AttemptProgress()
    error = await _supervise(stream, context, engine, attempt, progress)
    if error is None or error.code not in NOT_RUN_CODES:
        stream.n_sends += 1
    _log_outcome(stream, context, attempt, progress, started_ms, error)
    await _record_survival(stream, context, engine, progress, error)
    if error is None:
        await free_copy(stream, context, announcement)
        return None
    if error.code != TARGET_REFUSED:
        stream.lost_ms_by_domain[announcement.failure_domain] = monotonic_ms()
    # An engine that refuses a copy may still take the request without one.
    if copy is None or error.code != TARGET_REFUSED:
        stream.failed_targets.add(announcement.target)
    # An engine also copies the KV cache of a prefill that it has not finished.
    if error.code in NOT_RUN_CODES:
        stream.copy = None
    _record_failure(stream, context, engine, error, copy is not None)
    return error


def _log_outcome(stream, context, attempt, progress, started_ms, error):
    now_ms = monotonic_ms()
    announcement = attempt.target
    backup = stream.copy.backup.announcement.target if stream.copy is not None else None
    decide(
        log,
        "finished an attempt",
        request=stream.request_id,
        fingerprint=stream.admitted.fingerprint,
        target=announcement.target,
        born_ms=announcement.born_ms,
        software_version=announcement.version,
        version=context.version,
        resumes_copy=attempt.copy is not None,
        prefixes=shared_prefix_hashes(stream.admitted.request),
        has_response=progress.has_response,
        limit_per_s=progress.request_limit_per_s,
        retry_after_ms=progress.retry_after_ms,
        backup=backup,
        last_event_id=stream.last_event_id,
        outcome="OK" if error is None else error.code.name,
        detail="" if error is None else error.detail,
        took_ms=round(now_ms - started_ms),
        pause_ms=round(now_ms - stream.last_sent_ms) if stream.is_started else -1,
        left_ms=round(stream.admitted.left_ms),
    )


async def _supervise(stream, context, engine, attempt, progress):
    """Run an attempt in a scope that is cancelled as the stream leaves its engine."""
    # Stands if the scope is cancelled.
    error = AlmonddealError(TARGET_STALLED, "no event came")
    engine.n_in_flight += 1
    timeout_ms = _first_event_timeout_ms(stream, context, engine)
    timer = FirstEventTimer(anyio.current_time() + timeout_ms / 1000)
    async with anyio.create_task_group() as group:
        leave = _make_leave(stream, context, engine, progress, group.cancel_scope)
        engine.leave_by_scope[group.cancel_scope] = leave
        group.start_soon(_probe_while_silent, stream, context, engine, leave)
        group.start_soon(
            _leave_if_stalled, stream, context, engine, progress, timer, leave
        )
        group.start_soon(maintain_copy, stream, context, engine.announcement)
        group.start_soon(_cancel_if_quarantined, stream, context, group.cancel_scope)
        try:
            await _send_and_forward(stream, context, engine, attempt, progress, timer)
            error = None
        except AlmonddealError as caught:
            error = caught
        finally:
            engine.n_in_flight -= 1
            del engine.leave_by_scope[group.cancel_scope]
        group.cancel_scope.cancel()
    if error is not None and error.code == TARGET_STALLED:
        return _quarantine_error(stream, context) or error
    return error


def _quarantine_error(stream, context):
    """Return the error if the prompt of the stream is in quarantine, else None."""
    try:
        context.quarantine.check(stream.admitted)
    except AlmonddealError as error:
        return error
    return None


async def _cancel_if_quarantined(stream, context, scope):
    """Cancel an attempt, before it crashes its engine, once its prompt is rejected."""
    while _quarantine_error(stream, context) is None:
        await context.quarantine.changed.wait()
    scope.cancel()


def _make_leave(stream, context, engine, progress, scope):
    """Return a function that cancels an attempt if its request can continue elsewhere.

    It returns whether the attempt is cancelled.
    """
    started_ms = monotonic_ms()
    has_waited = has_crashed = False

    def leave():
        nonlocal has_waited, has_crashed
        if scope.cancel_called:
            return True
        silent_since_ms = max(started_ms, progress.last_received_ms)
        # Judged once: a stream that leaves on one judgement is not ended by another.
        progress.has_fallen_silent = fell_silent(context, engine, progress)
        if claim_move(stream, context, engine, progress, silent_since_ms):
            scope.cancel()
            return True
        if not has_crashed and is_last_crash(stream, context, engine, progress):
            has_crashed = True
            _record_crash(stream, context, engine, progress)
        if not has_waited:
            has_waited = True
            decide(
                log,
                "kept a stream at a silent engine",
                request=stream.request_id,
                target=engine.announcement.target,
                last_event_id=stream.last_event_id,
                n_sends=stream.n_sends,
                silence_ms=round(monotonic_ms() - silent_since_ms),
            )
        return False

    return leave


async def _probe(context, engine, request_id):
    """Probe an engine; if it does not respond, have its streams leave it."""
    probed_ms = monotonic_ms()
    if engine.is_silent and probed_ms - engine.probed_ms < PROBE_REPEAT_MS:
        return
    engine.probed_ms = probed_ms
    if await context.responds(engine.announcement):
        engine.record_activity()
    elif engine.last_activity_ms < probed_ms:
        engine.record_silence()
        context.targets.eject(engine, "liveness probe failed", request_id)
        engine.leave()


async def _probe_while_silent(stream, context, engine, leave):
    """Probe an engine while no stream of this instance receives events from it."""
    n_unread_tokens = context.load_view.load(engine.announcement).n_unread_tokens
    delay_ms = first_probe_delay_ms(
        n_unread_tokens, context.load_view.typical_prefill_ms_per_token
    )
    is_suspected = await _wait_for_suspicion(engine, delay_ms)
    while True:
        silence_ms = monotonic_ms() - engine.last_activity_ms
        min_silence_ms = SUSPECT_SILENCE_MS if is_suspected else PROBE_INTERVAL_MS
        if silence_ms >= min_silence_ms:
            await _probe(context, engine, stream.request_id)
        if engine.is_silent:
            leave()
        interval_ms = RECHECK_MS if engine.is_silent else PROBE_INTERVAL_MS
        is_suspected = await _wait_for_suspicion(engine, interval_ms)


async def _leave_if_late(progress, timer, leave, check_interval_ms):
    """Have a stream leave an engine that does not send a first event in time."""
    while not progress.has_event:
        left_ms = (timer.deadline - anyio.current_time()) * 1000
        if left_ms <= 0:
            leave()
            left_ms = RECHECK_MS
        await _sleep_unless_stalled(min(left_ms, check_interval_ms), progress)


async def _leave_if_stalled(stream, context, engine, progress, timer, leave):
    """Have a stream leave an engine that sends no events, until cancelled.

    An engine that does not respond to a probe is silent for all its streams. One that
    does is sound, and its stream may only be slow, so it gets more time.
    """
    max_gap_ms = stream.admitted.route.max_gap_ms
    min_silence_ms = probe_gap_ms(max_gap_ms)
    await _leave_if_late(progress, timer, leave, min_silence_ms)
    while True:
        now_ms = monotonic_ms()
        silence_ms = progress.silence_ms(now_ms)
        if silence_ms < min_silence_ms:
            await _sleep_unless_stalled(min_silence_ms - silence_ms, progress)
            continue
        n_unread_tokens = context.load_view.load(engine.announcement).n_unread_tokens
        limit_ms = stall_gap_ms(max_gap_ms, n_unread_tokens)
        if silence_ms >= limit_ms:
            leave()
        if now_ms - engine.last_activity_ms >= min_silence_ms:
            await _probe(context, engine, stream.request_id)
        left_ms = limit_ms - silence_ms if silence_ms < limit_ms else RECHECK_MS
        await _sleep_unless_stalled(min(PROBE_REPEAT_MS, left_ms), progress)


async def _sleep_unless_stalled(duration_ms, progress):
    """Sleep; forget the silence so far if this process itself was stalled.

    Events that arrived during the stall have not been read yet.
    """
    due_ms = monotonic_ms() + duration_ms
    await anyio.sleep(duration_ms / 1000)
    now_ms = monotonic_ms()
    if now_ms - due_ms > EVENT_LOOP_STALL_MS:
        progress.restart(now_ms)


async def _wait_for_suspicion(engine, timeout_ms):
    """Wait up to a timeout; returns True as soon as the engine is suspected."""
    with anyio.move_on_after(timeout_ms / 1000):
        await engine.suspicion.wait()
        return True
    return False


def _first_event_timeout_ms(stream, context, engine):
    request = stream.admitted.request
    generation = request.generation
    n_prompt_tokens = generation.n_prompt_tokens if generation is not None else 0
    elapsed_ms = monotonic_ms() - request.arrived_ms
    return first_event_timeout_ms(
        context.load_view.load(engine.announcement).n_unread_tokens,
        n_prompt_tokens,
        context.load_view.typical_prefill_ms_per_token,
        stream.admitted.route.objective_ms - elapsed_ms,
    )


async def _send_and_forward(stream, context, engine, attempt, progress, timer):
    async with context.open_attempt(attempt) as response:
        context.hold_offs.record(attempt.target, response, stream.request_id)
        progress.retry_after_ms = response.retry_after_ms
        if response.is_of_other_request:
            raise AlmonddealError(LINK_LOST, "answer to another request")
        context.targets.record_response(attempt.target, response, stream.request_id)
        if response.is_success:
            progress.record_response(monotonic_ms())
        progress.request_limit_per_s = response.request_limit_per_s
        context.named_limits.record(engine.announcement, response, stream.request_id)
        if response.is_not_run:
            code = NOT_REACHED if response.is_misdirected else TARGET_REFUSED
            raise AlmonddealError(code, f"status {response.status}")
        if not response.is_success:
            await _read_error_response(stream, response)
            raise AlmonddealError(ATTEMPT_LOST, f"status {response.status}")
        if not response.is_authentic:
            raise AlmonddealError(LINK_LOST, "not the target's answer")
        if not may_continue(stream, response):
            raise AlmonddealError(LINK_LOST, "not the rest of the response")
        await forward_events(
            stream, context, engine, attempt.target, response, progress, timer
        )


async def _read_error_response(stream, response):
    """Read the body of an error response, to forward it if no engine succeeds."""
    try:
        body = await read_limited(response.chunks, MAX_ERROR_BODY_BYTES)
    except BodyTooLargeError as error:
        raise AlmonddealError(LINK_LOST, f"error response: {error}") from None
    stream.error_response = (response, body)


def _record_crash(stream, context, engine, progress):
    crash = context.quarantine.record_crash(
        stream.admitted, engine.announcement, progress.has_response
    )
    if progress.has_response and crash is not None:
        stream.crashes.append(crash)


async def _record_survival(stream, context, engine, progress, error):
    """Record whether the engine survived the request or crashed.

    A connection may also be lost between two sound processes, so the engine is probed.
    """
    suspects = list_suspects(stream.admitted)
    if error is None:
        context.quarantine.record_sound(suspects)
        return
    if progress.has_survived or not context.quarantine.unproven(suspects):
        return
    if error.code == LINK_LOST:
        if await context.responds(engine.announcement):
            return
        context.targets.eject(engine, "liveness probe failed", stream.request_id)
    elif error.code != TARGET_STALLED or not progress.has_fallen_silent:
        return
    _record_crash(stream, context, engine, progress)


def _record_failure(stream, context, engine, error, resumes_copy):
    request_id = stream.request_id
    if error.code == TARGET_REFUSED:
        if not resumes_copy:
            stream.refusing_targets.add(engine.announcement.target)
    elif error.code == NOT_REACHED:
        stream.refusing_targets.add(engine.announcement.target)
        # Otherwise the request may not have been sent for that reason.
        if context.may_send(engine):
            context.targets.eject(engine, "connection failed", request_id)
    elif error.code == TARGET_STALLED:
        silence_ms = monotonic_ms() - engine.last_activity_ms
        # If other streams have received events since, or a probe succeeded, the engine
        # itself is not stalled.
        if silence_ms > probe_gap_ms(stream.admitted.route.max_gap_ms):
            context.targets.eject(engine, "stalled", request_id)
            engine.leave()
    elif error.code == LINK_LOST:
        context.targets.record_connection_loss(engine, request_id)
