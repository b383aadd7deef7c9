"""Reports of own runs, from which all instances see load and the place of copies."""

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.wire.gen.ttypes import Run

log = get_logger("relay")


def begin_run(stream, context, announcement, resumes_copy):
    """Report that an engine was given the run.

    Parameters
    ----------
    stream : Stream
        Its copy is the one that the engine is to make.
    context : RelayContext
    announcement : AnnouncedTarget
    resumes_copy : bool
        Whether the engine has the prompt already.
    """
    generation = stream.admitted.request.generation
    if generation is None:
        return
    n_unread_tokens = 0 if resumes_copy else generation.n_prompt_tokens
    _report(stream, context, announcement.target, announcement.born_ms, n_unread_tokens)


def note_first(stream, context, state):
    """Report that an engine has read the prompt and sent its first event."""
    request = stream.admitted.request
    since_ms = stream.last_sent_ms if stream.is_begun else request.arrived_ms
    pause_ms = monotonic_ms() - since_ms
    decide(
        log,
        "goes on after a loss" if stream.is_begun else "begins an answer",
        request=stream.request_id,
        target=state.announcement.target,
        n_tries=stream.n_tries,
        last_event_id=stream.last_event_id,
        pause_ms=round(pause_ms),
    )
    if stream.is_begun:
        context.metrics.note_resume(pause_ms)
    run = stream.run
    if run is not None and run.n_unread_tokens:
        _report(stream, context, run.target, run.born_ms, 0)


def note_copy(stream, context):
    """Report where the run's memory lies beside its engine now."""
    run = stream.run
    if run is not None:
        _report(stream, context, run.target, run.born_ms, run.n_unread_tokens)


def end_run(stream, context):
    """Report that the run has ended, or was cut off with a copy left."""
    run = stream.run
    if run is not None:
        is_cut = stream.is_begun and not stream.is_ended
        _report(stream, context, run.target, run.born_ms, 0, True, is_cut)


def _report(
    stream, context, target, born_ms, n_unread_tokens, is_ended=False, is_cut=False
):
    copy = stream.copy
    keeper = copy.state.announcement if copy is not None else None
    stream.run = Run(
        stream.request_id,
        context.instance,
        target,
        born_ms,
        stream.n_tokens,
        n_unread_tokens,
        is_ended,
        keeper.target if copy is not None else "",
        stream.admitted.request.generation.fingerprint,
        keeper.born_ms if copy is not None else 0,
        is_cut,
        copy.address if copy is not None else "",
        copy.copy_id if copy is not None else "",
    )
    context.report(stream.run)
