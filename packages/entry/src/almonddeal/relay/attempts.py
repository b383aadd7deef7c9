"""One attempt of a streamed request: send it, forward events, and detect its loss."""

import anyio

from almonddeal.relay.forwarding import forward_events, may_continue
from almonddeal.relay.kv_copies import free_copy, maintain_copy, select_backup
from almonddeal.relay.requests import Attempt
from almonddeal.relay.run_reports import report_run_start
from almonddeal.relay.stall import (
    PROBE_INTERVAL_MS,
    PROBE_REPEAT_MS,
    SUSPECT_SILENCE_MS,
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
CUT_OFF_MARGIN_MS = 300.0  # a few events; engines that are cut off fall silent together
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
    )
    if backup is not None:
        stream.copy = KvCopy(backup, backup.announcement.address, stream.request_id)
    # Without an event, the copy may lack most of the prompt.
    has_whole_prompt = copy is not None and stream.last_event_id is not None
    report_run_start(stream, context, announcement, has_whole_prompt)
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
        version=context.version,
        resumes_copy=attempt.copy is not None,
        prefixes=shared_prefix_hashes(stream.admitted.request),
        has_response=progress.has_response,
        limit_per_s=progress.request_limit_per_s,
        backup=backup,
        last_event_id=stream.last_event_id,
        outcome="OK" if error is None else error.code.name,
        detail="" if error is None else error.detail,
        took_ms=round(now_ms - started_ms),
        pause_ms=round(now_ms - stream.last_sent_ms) if stream.is_started else -1,
        left_ms=round(stream.admitted.left_ms),
    )


async def _supervise(stream, context, engine, attempt, progress):
    """Run an attempt in a scope that is cancelled on a stall or loss of the engine."""
    # Stands if the scope is cancelled, by its timeout or after a failure of the engine.
    error = AlmonddealError(TARGET_STALLED, "no event came")
    engine.n_in_flight += 1
    async with anyio.create_task_group() as group:
        engine.request_by_scope[group.cancel_scope] = stream.request_id
        group.start_soon(_probe_while_silent, context, engine, stream.request_id)
        group.start_soon(
            _cancel_if_stalled, stream, context, engine, progress, group.cancel_scope
        )
        group.start_soon(maintain_copy, stream, context, engine.announcement)
        group.start_soon(_cancel_if_quarantined, stream, context, group.cancel_scope)
        try:
            await _send_and_forward(
                stream, context, engine, attempt, progress, group.cancel_scope
            )
            error = None
        except AlmonddealError as caught:
            error = caught
        finally:
            engine.n_in_flight -= 1
            del engine.request_by_scope[group.cancel_scope]
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


async def _probe_while_silent(context, engine, request_id):
    """Probe an engine while no stream of this instance receives events from it.

    A failed probe cancels the attempts at the engine.
    """
    n_unread_tokens = context.load_view.load(engine.announcement).n_unread_tokens
    delay_ms = first_probe_delay_ms(
        n_unread_tokens, context.load_view.typical_prefill_ms_per_token
    )
    is_suspected = await _wait_for_suspicion(engine, delay_ms)
    while True:
        silence_ms = monotonic_ms() - engine.last_activity_ms
        min_silence_ms = SUSPECT_SILENCE_MS if is_suspected else PROBE_INTERVAL_MS
        if silence_ms >= min_silence_ms:
            if not await context.is_alive(engine.announcement):
                context.targets.eject(engine, "liveness probe failed", request_id)
                engine.cancel_attempts()
                return
            engine.record_activity()
        is_suspected = await _wait_for_suspicion(engine, PROBE_INTERVAL_MS)


async def _cancel_if_stalled(stream, context, engine, progress, scope):
    """Cancel an attempt whose engine stops sending events, until cancelled itself.

    An engine that does not respond to a probe is lost. One that does is sound, and its
    stream may only be slow, so it gets more time.
    """
    max_gap_ms = stream.admitted.route.max_gap_ms
    min_silence_ms = probe_gap_ms(max_gap_ms)
    while True:
        now_ms = monotonic_ms()
        silence_ms = progress.silence_ms(now_ms)
        if silence_ms < min_silence_ms:
            await _sleep_unless_stalled(min_silence_ms - silence_ms, progress)
            continue
        n_unread_tokens = context.load_view.load(engine.announcement).n_unread_tokens
        limit_ms = stall_gap_ms(max_gap_ms, n_unread_tokens)
        if silence_ms >= limit_ms:
            scope.cancel()
            return
        if now_ms - engine.last_activity_ms >= min_silence_ms:
            if not await context.is_alive(engine.announcement):
                context.targets.eject(
                    engine, "liveness probe failed", stream.request_id
                )
                engine.cancel_attempts()
                return
            engine.record_activity()
        await _sleep_unless_stalled(
            min(PROBE_REPEAT_MS, limit_ms - silence_ms), progress
        )


async def _sleep_unless_stalled(duration_ms, progress):
    """Sleep; forget the silence so far if this process itself was stalled meanwhile.

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


def _set_timeout(scope, timeout_ms):
    scope.deadline = anyio.current_time() + timeout_ms / 1000


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


async def _send_and_forward(stream, context, engine, attempt, progress, scope):
    _set_timeout(scope, _first_event_timeout_ms(stream, context, engine))
    async with context.open_attempt(attempt) as response:
        if response.is_of_other_request:
            raise AlmonddealError(LINK_LOST, "answer to another request")
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
        await forward_events(stream, context, engine, response, progress, scope)


async def _read_error_response(stream, response):
    """Read the body of an error response, to forward it if no engine succeeds."""
    try:
        body = await read_limited(response.chunks, MAX_ERROR_BODY_BYTES)
    except BodyTooLargeError as error:
        raise AlmonddealError(LINK_LOST, f"error response: {error}") from None
    stream.error_response = (response, body)


def _fell_silent(context, engine, progress):
    """Tell whether an engine, and not the network here, failed as it responded."""
    if not progress.has_response or engine.ejected_until_ms <= monotonic_ms():
        return False
    since_ms = progress.last_received_ms + CUT_OFF_MARGIN_MS
    return context.targets.has_activity(engine.announcement, since_ms)


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
        if await context.is_alive(engine.announcement):
            return
        context.targets.eject(engine, "liveness probe failed", stream.request_id)
    elif error.code != TARGET_STALLED or not _fell_silent(context, engine, progress):
        return
    crash = context.quarantine.record_crash(
        stream.admitted, engine.announcement, progress.has_response
    )
    if progress.has_response and crash is not None:
        stream.crashes.append(crash)


def _record_failure(stream, context, engine, error, resumes_copy):
    request_id = stream.request_id
    if error.code == TARGET_REFUSED:
        if not resumes_copy:
            stream.refusing_targets.add(engine.announcement.target)
    elif error.code == NOT_REACHED:
        stream.refusing_targets.add(engine.announcement.target)
        context.targets.eject(engine, "connection failed", request_id)
    elif error.code == TARGET_STALLED:
        silence_ms = monotonic_ms() - engine.last_activity_ms
        # If other streams received events meanwhile, or a probe succeeded, the engine
        # itself is not stalled.
        if silence_ms > probe_gap_ms(stream.admitted.route.max_gap_ms):
            context.targets.eject(engine, "stalled", request_id)
            engine.cancel_attempts()
    elif error.code == LINK_LOST:
        context.targets.record_connection_loss(engine, request_id)
