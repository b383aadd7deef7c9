"""Whether a stream moves from a silent engine to another, or waits for it to continue.

A sound engine may fall silent for about a second. An attempt is therefore ended for
silence only if its request can continue at once, as nobody else would complete the
response. This module performs no I/O.
"""

from almonddeal.relay.admission_queue import can_start_now
from almonddeal.relay.culprits import count_successive
from almonddeal.relay.quarantine import MAX_CRASHES
from almonddeal.relay.stall import PROBE_INTERVAL_MS
from almonddeal.relay.stream_state import LOST_DOMAIN_MS
from almonddeal_common.clock import monotonic_ms

MAX_ATTEMPTS = 12  # failed connections included, whatever the route allows
CUT_OFF_MARGIN_MS = 300.0  # a few events; engines that are cut off fall silent together
MIN_LEFT_MS = 50.0  # below this no further attempt is made


def claim_move(stream, context, engine, progress, silent_since_ms):
    """Tell whether the attempt of a stream at a silent engine is to be ended now.

    If so, takes the retry for the next attempt from the budget.

    Parameters
    ----------
    stream : Stream
    context : RelayContext
    engine : TrackedTarget
        The silent engine.
    progress : AttemptProgress
    silent_since_ms : float
        When the engine last sent something to the stream, or received its request.

    Returns
    -------
    is_claimed : bool
    """
    if not (stream.admitted.route.may_run_again and stream.sequence.can_resume):
        return False
    if not has_attempts_left(stream, stream.n_sends + 1):
        return False
    if has_met_last_crash(stream) or is_last_crash(stream, context, engine, progress):
        return False
    if not has_alternative(stream, context, engine, silent_since_ms):
        return False
    if not stream.has_retry:
        stream.has_retry = context.take_retry(stream.admitted.service.name)
    if stream.has_retry:
        context.moving_streams.add(stream)
    return stream.has_retry


def has_attempts_left(stream, n_sends):
    """Tell whether a stream may make one more attempt.

    Parameters
    ----------
    stream : Stream
    n_sends : int
        Attempts that an engine may have executed.
    """
    return stream.n_attempts < MAX_ATTEMPTS and may_be_sent(stream, n_sends)


def may_be_sent(stream, n_sends):
    """Tell whether the route and the time left allow one more execution of a stream.

    Parameters
    ----------
    stream : Stream
    n_sends : int
        Attempts that an engine may have executed.
    """
    if n_sends >= stream.admitted.route.max_attempts:
        return False
    return stream.admitted.left_ms >= MIN_LEFT_MS


def has_met_last_crash(stream):
    """Tell whether no other engine gets the request of a stream, as engines crashed."""
    return count_successive(stream.crashes) >= MAX_CRASHES


def fell_silent(context, engine, progress):
    """Tell whether an engine, and not the network here, failed as it responded."""
    if not progress.has_response or engine.ejected_until_ms <= monotonic_ms():
        return False
    since_ms = progress.last_received_ms + CUT_OFF_MARGIN_MS
    return context.targets.has_activity(engine.announcement, since_ms)


def is_last_crash(stream, context, engine, progress):
    """Tell whether the silence counts as the last crash that a stream may meet.

    No other engine gets its request then.
    """
    if progress.has_survived or not progress.has_fallen_silent:
        return False
    crash = context.quarantine.make_crash(stream.admitted, engine.announcement, True)
    if crash is None:
        return False
    return count_successive([*stream.crashes, crash]) >= MAX_CRASHES


def has_alternative(stream, context, engine, silent_since_ms):
    """Tell whether a stream can continue now if it leaves a silent engine.

    Parameters
    ----------
    stream : Stream
    context : RelayContext
    engine : TrackedTarget
        The silent engine.
    silent_since_ms : float
        Start of its silence.
    """
    if _has_usable_copy(stream, context, engine):
        return True
    engines = _list_alternatives(stream, context, engine, silent_since_ms)
    if stream.admitted.service.engine is None:
        return bool(engines)
    if not _have_room(stream, context, engines):
        return False
    if not stream.is_started:
        return can_start_now(stream, context, engines)
    chosen = context.choose_engine(engines, stream.admitted, stream.n_tokens)
    return chosen is not None


def _has_usable_copy(stream, context, engine):
    """Tell whether a stream can resume from its copy, with a slot free at the backup.

    The KV cache in use is not compared: the runs count with their longest output, and
    the backup has a part of what the stream needs.
    """
    copy = stream.copy
    if not stream.can_use_copy(context) or copy.backup is engine:
        return False
    n_moving = sum(
        other.copy is not None and other.copy.backup is copy.backup
        for other in context.moving_streams
    )
    announcement = copy.backup.announcement
    n_runs = context.load_view.load(announcement).n_runs
    return n_runs + n_moving < announcement.n_slots


def _list_alternatives(stream, context, engine, silent_since_ms):
    """Return the targets at which a stream may continue, in the order of its selection.

    If there are no others, the engine itself is one if it takes new requests, unless it
    was silent for all: then only the connection is lost.
    """
    now_ms = monotonic_ms()
    candidates = stream.unpaused_candidates(context)
    others = [
        other
        for other in candidates
        if other is not engine and other.ejected_until_ms <= now_ms
    ]
    untried = [
        other
        for other in others
        if other.announcement.target not in stream.failed_targets
    ]
    engines = untried or others
    if now_ms - silent_since_ms <= LOST_DOMAIN_MS:
        domain = engine.announcement.failure_domain
        engines = stream.outside_lost_domains(engines, now_ms)
        engines = [e for e in engines if e.announcement.failure_domain != domain] or (
            engines
        )
    if (
        not others
        and context.targets.is_usable(engine)
        and _is_responsive(engine, silent_since_ms, now_ms)
    ):
        engines = [engine]
    return [other for other in engines if context.allows(other)]


def _is_responsive(engine, silent_since_ms, now_ms):
    """Tell whether an engine responded to others while it was silent to a stream."""
    return (
        engine.silent_ms < silent_since_ms
        and now_ms - engine.last_activity_ms <= PROBE_INTERVAL_MS
    )


def _have_room(stream, context, engines):
    """Tell whether engines have room for a stream and for those that are moving."""
    service = stream.admitted.service
    moving = [
        other
        for other in context.moving_streams
        if other.admitted.service.name == service.name
    ]
    loads = [context.load_view.load(engine.announcement) for engine in engines]
    n_free_slots = sum(
        max(0, engine.announcement.n_slots - load.n_runs)
        for engine, load in zip(engines, loads, strict=True)
    )
    n_free_tokens = sum(
        max(0, service.engine.n_cache_tokens - load.n_reserved_tokens) for load in loads
    )
    n_tokens = stream.n_tokens + sum(other.n_tokens for other in moving)
    return n_free_slots > len(moving) and n_free_tokens >= n_tokens
