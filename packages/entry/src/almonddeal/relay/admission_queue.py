"""Queue of requests that wait for an engine at this instance.

A caller that holds a part of a response is served before new responses begin.
"""

import math
from bisect import bisect_left, insort
from contextlib import contextmanager

import anyio

from almonddeal.relay.admission import (
    Demand,
    RetrySchedule,
    admissible_engines,
    bounded_retry_ms,
    expected_wait_ms,
    max_wait_ms,
    on_time_wait_ms,
    retry_spacing_ms,
)
from almonddeal.relay.choose import KV_CACHE_SHARE
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import ATTEMPT_LOST, NO_TARGET, OVERLOADED, AlmonddealError
from almonddeal_common.logs import decide, get_logger

POLL_INTERVAL_S = 0.05  # engines also become admissible without the end of a run
REFUSAL_BACKOFF_MS = 300.0  # before a resumed stream asks the same engines again
NO_ENGINE_RETRY_MS = 1000.0  # about the interval of announcements

log = get_logger("relay")


class QueueEntry:
    """One waiting request.

    Entries sort by whether they resume a stream, then by priority, time at which an
    event is due, and arrival.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    due_ms : float
        When the next event is due.
    number : int
        In the order of arrival.
    resumes : bool
        Whether the caller has received a part of the response.
    software_version : str or None
        Version of the engines that may take the request; None for any.

    Attributes
    ----------
    is_paused : bool
        Whether all engines that the request might get hold off. It does not keep those
        after it waiting, which may get others.
    could_take : callable
        ``could_take(engine)`` tells whether a request that resumes a stream could start
        at an engine now. It keeps those after it waiting for these engines only.
    """

    __slots__ = ("_key", "could_take", "is_paused", "resumes", "software_version")

    def __init__(self, priority, due_ms, number, resumes, software_version):
        self._key = (not resumes, priority, due_ms, number)
        self.resumes = resumes
        self.could_take = lambda engine: True
        self.software_version = software_version
        self.is_paused = False

    def __lt__(self, other):
        return self._key < other._key

    def competes_with(self, other):
        """Tell whether some engine may take either request."""
        return (
            self.software_version is None
            or other.software_version is None
            or self.software_version == other.software_version
        )


class AdmissionQueue:
    """Waiting requests of one service, earliest deadline first within a priority."""

    def __init__(self):
        self.retry_schedule = RetrySchedule()
        self._entries = []
        self._n_enqueued = 0
        self._changed = anyio.Event()

    @contextmanager
    def enqueue(self, priority, due_ms, resumes=False, software_version=None):
        """Keep a `QueueEntry` in the queue for as long as the context lasts.

        Parameters
        ----------
        priority : int
        due_ms : float
        resumes : bool
        software_version : str or None
        """
        self._n_enqueued += 1
        entry = QueueEntry(
            priority, due_ms, self._n_enqueued, resumes, software_version
        )
        insort(self._entries, entry)
        try:
            yield entry
        finally:
            self._entries.remove(entry)
            self.wake()

    def __len__(self):
        return len(self._entries)

    def n_ahead(self, entry):
        """Return the number of entries before this one that compete with it."""
        return sum(entry.competes_with(other) for other in self._ahead(entry))

    def unclaimed(self, entry, engines):
        """Return those of some engines that no entry before this one waits for."""
        ahead = [other for other in self._ahead(entry) if not other.is_paused]
        if not all(other.resumes for other in ahead):
            return []
        return [e for e in engines if not any(other.could_take(e) for other in ahead)]

    def _ahead(self, entry):
        return self._entries[: bisect_left(self._entries, entry)]

    def wake(self):
        """Wake all waiting requests so that they check for capacity."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait(self, timeout_s):
        """Wait until woken or until the timeout."""
        with anyio.move_on_after(timeout_s):
            await self._changed.wait()


def _enqueue(stream, context):
    """Return a context manager that keeps a stream in the queue of its service."""
    admitted = stream.admitted
    if stream.is_started:
        due_ms = stream.last_sent_ms + admitted.route.max_gap_ms
    else:
        due_ms = admitted.request.arrived_ms + admitted.route.objective_ms
    return context.admission_queue(admitted.service.name).enqueue(
        admitted.priority,
        due_ms,
        stream.last_event_id is not None,
        stream.software_version,
    )


def can_start_now(stream, context, engines):
    """Tell whether a request that may have run would start at one of some engines.

    Parameters
    ----------
    stream : Stream
    context : RelayContext
    engines : list of TrackedTarget
    """
    queue = context.admission_queue(stream.admitted.service.name)
    with _enqueue(stream, context) as entry:
        unclaimed = queue.unclaimed(entry, engines)
    demand = make_demand(stream, may_have_run=True)
    return _choose(stream, context, unclaimed, demand) is not None


async def wait_for_room(stream, context, list_engines):
    """Wait until an engine has room for a stream that tries until its deadline.

    Parameters
    ----------
    stream : Stream
    context : RelayContext
    list_engines : callable
        Returns the engines that may take the stream now, as a list.

    Returns
    -------
    engine : TrackedTarget or None
        None if no engine may take the stream.

    Raises
    ------
    AlmonddealError
        If its prompt is put in quarantine while it waits.
    """
    queue = context.admission_queue(stream.admitted.service.name)
    with _enqueue(stream, context) as entry:
        while engines := list_engines():
            context.quarantine.check(stream.admitted)
            entry.could_take = _make_could_take(stream, context, engines)
            unclaimed = queue.unclaimed(entry, engines)
            engine = context.choose_engine(unclaimed, stream.admitted, stream.n_tokens)
            if engine is not None:
                return engine
            await queue.wait(POLL_INTERVAL_S)
    return None


def _make_could_take(stream, context, engines):
    """Return the `could_take` of the entry of a stream that may use some engines."""
    target_ids = {engine.announcement.target for engine in engines}
    n_usable_tokens = KV_CACHE_SHARE * stream.admitted.service.engine.n_cache_tokens

    def could_take(engine):
        announcement = engine.announcement
        if announcement.target not in target_ids:
            return False
        load = context.load_view.load(announcement)
        return (
            load.n_runs < announcement.n_slots
            and load.n_reserved_tokens + stream.n_tokens <= n_usable_tokens
        )

    return could_take


def make_demand(stream, may_have_run=False):
    """Return the `Demand` of a stream at this moment."""
    request = stream.admitted.request
    generation = request.generation
    elapsed_ms = monotonic_ms() - request.arrived_ms
    return Demand(
        generation.n_prompt_tokens if generation is not None else 0,
        stream.n_tokens,
        stream.admitted.route.objective_ms - elapsed_ms,
        stream.admitted.left_ms,
        may_have_run or bool(stream.n_sends),
        stream.last_event_id is not None,
    )


async def wait_for_engine(stream, context):
    """Wait until an engine has capacity for a request.

    Parameters
    ----------
    stream : Stream
    context : RelayContext

    Returns
    -------
    engine : TrackedTarget
        The engine at which to start now.

    Raises
    ------
    AlmonddealError
        `OVERLOADED` or `NO_TARGET`, with a Retry-After time unless the prompt exceeds
        the capacity of every engine; `ATTEMPT_LOST` if an engine may have executed the
        request.
    """
    queue = context.admission_queue(stream.admitted.service.name)
    demand = make_demand(stream)
    if demand.n_prompt_tokens > stream.admitted.service.engine.n_cache_tokens:
        # No Retry-After: no engine will ever have the capacity.
        raise AlmonddealError(NO_TARGET, "no engine is large enough for the prompt")
    now_ms = monotonic_ms()
    wait_deadline_ms = now_ms + max_wait_ms(context.load_view, demand)
    refusals_end_ms = now_ms + REFUSAL_BACKOFF_MS
    has_waited = False
    with _enqueue(stream, context) as entry:
        while True:
            context.quarantine.check(stream.admitted)
            if stream.last_event_id is not None and monotonic_ms() >= refusals_end_ms:
                refusals_end_ms = monotonic_ms() + REFUSAL_BACKOFF_MS
                stream.forget_refusals()
            n_ahead = queue.n_ahead(entry)
            engines = _untried_engines(stream, context)
            demand = make_demand(stream)
            paused = _paused_engines(stream, context)
            entry.is_paused = bool(paused) and not engines
            entry.could_take = _make_could_take(stream, context, engines)
            unclaimed = queue.unclaimed(entry, engines)
            engine = _choose(stream, context, unclaimed, demand)
            if engine is not None:
                return engine
            wait_ms = min(
                _expected_wait_ms(stream, context, engines, demand, n_ahead),
                context.hold_offs.left_ms(paused)
                + _expected_wait_ms(stream, context, paused, demand, n_ahead),
            )
            pause_ms = context.hold_offs.left_ms(paused) if entry.is_paused else 0.0
            if demand.resumes and wait_ms < math.inf:
                late_ms = wait_ms - on_time_wait_ms(context.load_view, demand)
                is_over = monotonic_ms() > wait_deadline_ms or (
                    # Forecasts err, but the end of a pause is known.
                    pause_ms > REFUSAL_BACKOFF_MS and late_ms > 0
                )
            else:
                is_over = monotonic_ms() + wait_ms > wait_deadline_ms
            if is_over:
                _reject(stream, context, queue, engines, demand, wait_ms, n_ahead)
            if not has_waited:
                has_waited = True
                _log_wait(stream, n_ahead, len(engines), wait_ms)
            await queue.wait(POLL_INTERVAL_S)


def _untried_engines(stream, context):
    candidates = stream.unpaused_candidates(context)
    untried = [
        e for e in candidates if e.announcement.target not in stream.failed_targets
    ]
    return stream.outside_lost_domains(untried or candidates, monotonic_ms())


def _paused_engines(stream, context):
    """Return the engines that hold off and have not refused a stream, as a list."""
    if not context.hold_offs:
        return []
    candidates = stream.candidates(context.targets, stream.refusing_targets)
    return [e for e in candidates if not context.hold_offs.allows(e.announcement)]


def _choose(stream, context, engines, demand):
    allowed = [engine for engine in engines if context.allows(engine)]
    admissible = admissible_engines(allowed, context.load_view, demand)
    return context.choose_engine(admissible, stream.admitted, stream.n_tokens)


def _expected_wait_ms(stream, context, engines, demand, n_ahead):
    # The queues of other instances are not known; assume that each is as long as this.
    n_ahead *= max(1, context.load_view.n_instances)
    traits = stream.admitted.service.engine
    return expected_wait_ms(engines, context.load_view, demand, traits, n_ahead)


def _log_wait(stream, n_ahead, n_engines, wait_ms):
    decide(
        log,
        "queued a request for an engine",
        request=stream.request_id,
        last_event_id=stream.last_event_id,
        software_version=stream.software_version,
        n_ahead=n_ahead,
        n_engines=n_engines,
        expected_ms=round(wait_ms),
        left_ms=round(stream.admitted.left_ms),
    )


def _scheduled_retry_ms(context, queue, engines, demand, wait_ms, traits):
    if demand.resumes:
        # It goes before those that come back at the times of the schedule.
        return round(bounded_retry_ms(wait_ms))
    return queue.retry_schedule.retry_after_ms(
        wait_ms, retry_spacing_ms(engines, context.load_view, demand, traits)
    )


def _reject(stream, context, queue, engines, demand, wait_ms, n_ahead):
    traits = stream.admitted.service.engine
    if stream.n_sends:
        # An engine may have executed the request: it must not be reported as not run.
        error = AlmonddealError(ATTEMPT_LOST, "no engine has room after a loss")
    elif not stream.candidates(context.targets):
        error = AlmonddealError(
            NO_TARGET,
            "no engine of the service is known",
            retry_after_ms=NO_ENGINE_RETRY_MS,
        )
    else:
        retry_after_ms = context.retry_after_ms(
            stream.candidates(context.targets),
            lambda: _scheduled_retry_ms(
                context, queue, engines, demand, wait_ms, traits
            ),
        )
        error = AlmonddealError(
            OVERLOADED, "no engine has room", retry_after_ms=retry_after_ms
        )
    decide(
        log,
        "rejected a request without an available engine",
        request=stream.request_id,
        last_event_id=stream.last_event_id,
        software_version=stream.software_version,
        n_ahead=n_ahead,
        n_engines=len(engines),
        n_refused=len(stream.refusing_targets),
        n_sends=stream.n_sends,
        code=error.code.name,
        expected_ms=round(min(wait_ms, 1e9)),
        objective_left_ms=round(demand.objective_left_ms),
        left_ms=round(demand.left_ms),
        after_ms=error.retry_after_ms,
    )
    raise error
