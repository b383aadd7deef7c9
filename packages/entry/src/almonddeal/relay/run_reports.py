"""Reports of own runs, from which all instances see the load of each engine."""

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.wire.gen.ttypes import Run

log = get_logger("relay")


def begin_run(stream, parts, record, backup, resumes_copy):
    """Report that an engine was given the run."""
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


def note_first(stream, parts, state):
    """Report that an engine has read the prompt and sent its first event."""
    request = stream.admitted.request
    since_ms = stream.last_sent_ms if stream.is_begun else request.arrived_ms
    decide(
        log,
        "goes on after a loss" if stream.is_begun else "begins an answer",
        request=stream.request_id,
        target=state.record.target,
        n_tries=stream.n_tries,
        last_event_id=stream.last_event_id,
        pause_ms=round(monotonic_ms() - since_ms),
    )
    if stream.is_begun:
        parts.metrics.note_resume(monotonic_ms() - since_ms)
    run = stream.run
    if run is not None and run.n_unread_tokens:
        stream.run = _copy_run(run, is_ended=False)
        parts.report(stream.run)


def note_backup(stream, parts, copy):
    """Report where the run's memory lies beside its engine now."""
    run = stream.run
    if run is None:
        return
    stream.run = _copy_run(run, is_ended=False)
    stream.run.backup = copy.state.record.target
    stream.run.backup_born_ms = copy.state.record.born_ms
    parts.report(stream.run)


def end_run(stream, parts):
    """Report that the run has ended."""
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
