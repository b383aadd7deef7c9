"""Answers that wait for an engine at this instance, in the order of their turns."""

from bisect import insort
from contextlib import contextmanager

import anyio

from almonddeal.relay.admission import (
    Demand,
    RetrySchedule,
    expected_wait_ms,
    longest_wait_ms,
    possible_engines,
    spacing_ms,
)
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import ATTEMPT_LOST, NO_TARGET, OVERLOADED, AlmonddealError
from almonddeal_common.logs import decide, get_logger

POLL_S = 0.05  # a run elsewhere may have ended without a word yet
NO_ENGINE_RETRY_MS = 1000.0  # about the interval of announcements

log = get_logger("relay")


class Ticket:
    """The place of one answer; the least one has its turn first."""

    __slots__ = ("_key",)

    def __init__(self, key):
        self._key = key

    def __lt__(self, other):
        return self._key < other._key


class AdmissionQueue:
    """The answers that wait for engines of one service."""

    def __init__(self):
        self.retry_schedule = RetrySchedule()
        self._tickets = []
        self._n_taken = 0
        self._changed = anyio.Event()

    @contextmanager
    def ticket(self, priority, due_ms):
        """Give a place among those that wait.

        Less urgent answers come after more urgent ones; the one that is due first goes
        first.
        """
        self._n_taken += 1
        ticket = Ticket((priority, due_ms, self._n_taken))
        insort(self._tickets, ticket)
        try:
            yield ticket
        finally:
            self._tickets.remove(ticket)
            self.wake()

    def n_ahead(self, ticket):
        """Return how many have their turn before a ticket."""
        return self._tickets.index(ticket)

    def wake(self):
        """Have those that wait look again."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait(self, limit_s):
        """Wait for a change, at most for a time."""
        with anyio.move_on_after(limit_s):
            await self._changed.wait()


def _make_demand(stream):
    request = stream.admitted.request
    generation = request.generation
    waited_ms = monotonic_ms() - request.arrived_ms
    return Demand(
        generation.n_prompt_tokens if generation is not None else 0,
        stream.n_tokens,
        stream.admitted.route.objective_ms - waited_ms,
        stream.admitted.left_ms,
        bool(stream.n_sends),
    )


async def wait_for_engine(stream, context):
    """Return the state of the engine at which an answer begins now.

    Parameters
    ----------
    stream : Stream
    context : RelayContext

    Raises
    ------
    AlmonddealError
        `OVERLOADED` or `NO_TARGET`, with the time to come back unless no engine is
        large enough; `ATTEMPT_LOST` if the answer may have run already.
    """
    queue = context.admission_queue(stream.admitted.service.name)
    demand = _make_demand(stream)
    if demand.n_prompt_tokens > stream.admitted.service.engine.n_cache_tokens:
        # Without a time to come back: no engine will ever take it.
        raise AlmonddealError(NO_TARGET, "no engine is large enough for the prompt")
    limit_ms = monotonic_ms() + longest_wait_ms(context.load_view, demand)
    due_ms = stream.admitted.request.arrived_ms + stream.admitted.route.objective_ms
    has_waited = False
    with queue.ticket(stream.admitted.priority, due_ms) as ticket:
        while True:
            n_ahead = queue.n_ahead(ticket)
            states = _usable_states(stream, context)
            demand = _make_demand(stream)
            state = _choose(stream, context, states, demand) if not n_ahead else None
            if state is not None:
                return state
            wait_ms = _expect_wait(stream, context, states, demand, n_ahead)
            if monotonic_ms() + wait_ms > limit_ms:
                _refuse(stream, context, queue, states, demand, wait_ms)
            if not has_waited:
                has_waited = True
                _log_wait(stream, n_ahead, len(states), wait_ms)
            await queue.wait(POLL_S)


def _usable_states(stream, context):
    name = stream.admitted.service.name
    possible = context.targets.candidates(name, stream.refused)
    fresh = [s for s in possible if s.announcement.target not in stream.left_by]
    return fresh or possible


def _choose(stream, context, states, demand):
    possible = possible_engines(states, context.load_view, demand)
    return context.choose_engine(possible, stream.admitted, stream.n_tokens)


def _expect_wait(stream, context, states, demand, n_ahead):
    # The others' queues are not known here; they see the same engines as this one.
    n_ahead *= max(1, context.load_view.n_instances)
    traits = stream.admitted.service.engine
    return expected_wait_ms(states, context.load_view, demand, traits, n_ahead)


def _log_wait(stream, n_ahead, n_engines, wait_ms):
    decide(
        log,
        "waits for an engine",
        request=stream.request_id,
        n_ahead=n_ahead,
        n_engines=n_engines,
        expected_ms=round(wait_ms),
        left_ms=round(stream.admitted.left_ms),
    )


def _refuse(stream, context, queue, states, demand, wait_ms):
    traits = stream.admitted.service.engine
    if stream.n_sends:
        # An engine that was given up may have run it, so nothing can be promised.
        error = AlmonddealError(ATTEMPT_LOST, "no engine has room after a loss")
    elif not context.targets.candidates(stream.admitted.service.name):
        error = AlmonddealError(
            NO_TARGET,
            "no engine of the service is known",
            retry_after_ms=NO_ENGINE_RETRY_MS,
        )
    else:
        retry_after_ms = queue.retry_schedule.retry_after_ms(
            wait_ms, spacing_ms(states, context.load_view, demand, traits)
        )
        error = AlmonddealError(
            OVERLOADED, "no engine has room", retry_after_ms=retry_after_ms
        )
    decide(
        log,
        "refuses an answer",
        request=stream.request_id,
        n_engines=len(states),
        n_refused=len(stream.refused),
        n_sends=stream.n_sends,
        code=error.code.name,
        expected_ms=round(min(wait_ms, 1e9)),
        objective_left_ms=round(demand.objective_left_ms),
        after_ms=error.retry_after_ms,
    )
    raise error
