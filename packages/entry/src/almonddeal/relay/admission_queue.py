"""Queue of requests that wait for an engine at this instance."""

from bisect import bisect_left, insort
from contextlib import contextmanager

import anyio

from almonddeal.relay.admission import (
    Demand,
    RetrySchedule,
    admissible_engines,
    expected_wait_ms,
    max_wait_ms,
    retry_spacing_ms,
)
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import ATTEMPT_LOST, NO_TARGET, OVERLOADED, AlmonddealError
from almonddeal_common.logs import decide, get_logger

POLL_INTERVAL_S = 0.05  # engines also become admissible without the end of a run
NO_ENGINE_RETRY_MS = 1000.0  # about the interval of announcements

log = get_logger("relay")


class QueueEntry:
    """One waiting request; entries sort by priority, deadline and arrival.

    Attributes
    ----------
    is_paused : bool
        Whether all engines that the request might get hold off. It does not keep those
        after it waiting, which may get others.
    """

    __slots__ = ("_key", "is_paused")

    def __init__(self, key):
        self._key = key
        self.is_paused = False

    def __lt__(self, other):
        return self._key < other._key


class AdmissionQueue:
    """Waiting requests of one service, earliest deadline first within a priority."""

    def __init__(self):
        self.retry_schedule = RetrySchedule()
        self._entries = []
        self._n_enqueued = 0
        self._changed = anyio.Event()

    @contextmanager
    def enqueue(self, priority, deadline_ms):
        """Keep a `QueueEntry` in the queue for as long as the context lasts.

        Parameters
        ----------
        priority : int
            0 is the most urgent.
        deadline_ms : float
            When the first event is due.
        """
        self._n_enqueued += 1
        entry = QueueEntry((priority, deadline_ms, self._n_enqueued))
        insort(self._entries, entry)
        try:
            yield entry
        finally:
            self._entries.remove(entry)
            self.wake()

    def __len__(self):
        return len(self._entries)

    def n_ahead(self, entry):
        """Return the number of entries before this one."""
        return self._entries.index(entry)

    def is_first(self, entry):
        """Tell whether no entry before this one could get an engine now."""
        return all(other.is_paused for other in self._entries[: self.n_ahead(entry)])

    def would_be_first(self, priority, deadline_ms):
        """Tell the same of an entry that would be added now."""
        entry = QueueEntry((priority, deadline_ms, self._n_enqueued + 1))
        n_ahead = bisect_left(self._entries, entry)
        return all(other.is_paused for other in self._entries[:n_ahead])

    def wake(self):
        """Wake all waiting requests so that they check for capacity."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait(self, timeout_s):
        """Wait until woken or until the timeout."""
        with anyio.move_on_after(timeout_s):
            await self._changed.wait()


def can_start_now(stream, context, engines):
    """Tell whether a request that may have run would start at one of some engines.

    Parameters
    ----------
    stream : Stream
    context : RelayContext
    engines : list of TrackedTarget
    """
    queue = context.admission_queue(stream.admitted.service.name)
    deadline_ms = _first_event_deadline_ms(stream)
    if not queue.would_be_first(stream.admitted.priority, deadline_ms):
        return False
    demand = _make_demand(stream, may_have_run=True)
    return _choose(stream, context, engines, demand) is not None


def _first_event_deadline_ms(stream):
    admitted = stream.admitted
    return admitted.request.arrived_ms + admitted.route.objective_ms


def _make_demand(stream, may_have_run=False):
    request = stream.admitted.request
    generation = request.generation
    elapsed_ms = monotonic_ms() - request.arrived_ms
    return Demand(
        generation.n_prompt_tokens if generation is not None else 0,
        stream.n_tokens,
        stream.admitted.route.objective_ms - elapsed_ms,
        stream.admitted.left_ms,
        may_have_run or bool(stream.n_sends),
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
    demand = _make_demand(stream)
    if demand.n_prompt_tokens > stream.admitted.service.engine.n_cache_tokens:
        # No Retry-After: no engine will ever have the capacity.
        raise AlmonddealError(NO_TARGET, "no engine is large enough for the prompt")
    wait_deadline_ms = monotonic_ms() + max_wait_ms(context.load_view, demand)
    has_waited = False
    deadline_ms = _first_event_deadline_ms(stream)
    with queue.enqueue(stream.admitted.priority, deadline_ms) as entry:
        while True:
            context.quarantine.check(stream.admitted)
            n_ahead = queue.n_ahead(entry)
            engines = _untried_engines(stream, context)
            demand = _make_demand(stream)
            paused = _paused_engines(stream, context)
            entry.is_paused = bool(paused) and not engines
            if queue.is_first(entry):
                engine = _choose(stream, context, engines, demand)
                if engine is not None:
                    return engine
            wait_ms = min(
                _expected_wait_ms(stream, context, engines, demand, n_ahead),
                context.hold_offs.left_ms(paused)
                + _expected_wait_ms(stream, context, paused, demand, n_ahead),
            )
            if monotonic_ms() + wait_ms > wait_deadline_ms:
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
        spacing_ms = retry_spacing_ms(engines, context.load_view, demand, traits)
        retry_after_ms = context.retry_after_ms(
            stream.candidates(context.targets),
            lambda: queue.retry_schedule.retry_after_ms(wait_ms, spacing_ms),
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
