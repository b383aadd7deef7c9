"""Reports of this instance's runs; all instances derive load and copies from them."""

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.wire.gen.ttypes import Run

log = get_logger("relay")


def report_run_start(stream, context, announcement, has_whole_prompt):
    """Report that a run was sent to an engine.

    Parameters
    ----------
    stream : Stream
        Its ``copy`` is the one that the engine is to make.
    context : RelayContext
    announcement : AnnouncedTarget
        The engine of the run.
    has_whole_prompt : bool
        Whether the engine resumes from a copy of the whole prompt, so that no prefill
        is needed.
    """
    generation = stream.admitted.request.generation
    if generation is None:
        return
    n_unread_tokens = 0 if has_whole_prompt else generation.n_prompt_tokens
    _report(stream, context, announcement.target, announcement.born_ms, n_unread_tokens)


def record_first_event(stream, context, engine):
    """Record the first event of an engine; report that its prefill is finished."""
    request = stream.admitted.request
    since_ms = stream.last_sent_ms if stream.is_started else request.arrived_ms
    waited_ms = monotonic_ms() - since_ms
    decide(
        log,
        "resumed a stream after a loss" if stream.is_started else "started a stream",
        request=stream.request_id,
        target=engine.announcement.target,
        software_version=engine.announcement.version,
        n_tries=stream.n_attempts,
        last_event_id=stream.last_event_id,
        pause_ms=round(waited_ms),
    )
    if stream.is_started:
        context.metrics.record_resume(waited_ms)
    run = stream.run
    if run is not None and run.n_unread_tokens:
        _report(stream, context, run.target, run.born_ms, 0)


def report_copy(stream, context):
    """Report where the copy of the run's KV cache is."""
    run = stream.run
    if run is not None:
        _report(stream, context, run.target, run.born_ms, run.n_unread_tokens)


def report_run_end(stream, context):
    """Report that the run ended; `is_cut` if its response started but did not end."""
    context.moving_streams.discard(stream)
    run = stream.run
    if run is not None:
        is_cut = stream.is_started and not stream.is_ended
        _report(stream, context, run.target, run.born_ms, 0, True, is_cut)


def _report(
    stream, context, target, born_ms, n_unread_tokens, is_ended=False, is_cut=False
):
    copy = stream.copy
    backup = copy.backup.announcement if copy is not None else None
    stream.run = Run(
        stream.request_id,
        context.instance,
        target,
        born_ms,
        stream.n_tokens,
        n_unread_tokens,
        is_ended,
        backup.target if copy is not None else "",
        stream.admitted.request.stream_fingerprint,
        backup.born_ms if copy is not None else 0,
        is_cut,
        copy.issuer_address if copy is not None else "",
        copy.copy_id if copy is not None else "",
    )
    context.report(stream.run)
