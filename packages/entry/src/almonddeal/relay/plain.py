"""Requests with one short answer: lookups may be sent again, orders only if not run."""

import random

import anyio

from almonddeal.relay.requests import Attempt
from almonddeal.routing.model import ORDER
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    DEADLINE,
    LINK_LOST,
    NO_TARGET,
    NOT_REACHED,
    ORDER_OUTCOME_UNKNOWN,
    OVERLOADED,
    SERVICE_FAILED,
    AlmonddealError,
)
from almonddeal_common.logs import decide, get_logger

RETRY_AFTER_MS = 100  # targets free a place within tens of milliseconds
SLOW_LOOKUP_SHARE = 0.4  # of the time left that one of several tries may take
MAX_UNREACHED = 4  # connections that are tried without counting as a send
LEAST_LEFT_MS = 15.0  # no target answers within less

log = get_logger("relay")


class _Outcome:
    """How one attempt ended: an answer with its body, or an error."""

    __slots__ = ("answer", "body", "error")

    def __init__(self, answer=None, body=b"", error=None):
        self.answer = answer
        self.body = body
        self.error = error

    @property
    def is_not_run(self):
        if self.error is not None:
            return self.error.code == NOT_REACHED
        return self.answer.is_not_run

    @property
    def label(self):
        if self.error is not None:
            return self.error.code.name
        return str(self.answer.status)


async def relay_plain(admitted, context, reply):
    """Serve one request of a plain service.

    Parameters
    ----------
    admitted : AdmittedRequest
    context : RelayContext
    reply : object
        The caller's side.

    Raises
    ------
    AlmonddealError
    """
    is_order = admitted.route.kind == ORDER
    tried = set()
    n_sends = n_unreached = 0
    last = None
    context.budget(admitted.service.name).earn()
    while True:
        state = _next_target(admitted, context, tried)
        if state is None:
            break
        tried.add(state.announcement.target)
        is_last = n_sends + 1 >= admitted.route.max_attempts
        outcome = await _send(admitted, context, state, is_order, is_last)
        is_free = _is_free(outcome)
        n_unreached += int(is_free)
        n_sends += int(not is_free)
        if outcome.error is None and not _is_worth_another(outcome, is_order):
            await reply.send_response(
                outcome.answer.status, outcome.answer.headers, outcome.body
            )
            return
        last = _better(last, outcome)
        if is_order and not outcome.is_not_run:
            break
        if n_sends >= admitted.route.max_attempts or n_unreached > MAX_UNREACHED:
            break
        if admitted.left_ms < LEAST_LEFT_MS:
            break
        if not is_free and not context.budget(admitted.service.name).spend():
            decide(log, "has no budget to retry", request=admitted.request.request_id)
            break
    await _end(last, is_order, admitted, reply)


def _next_target(admitted, context, tried):
    states = context.targets.candidates(admitted.service.name, tried)
    return context.choices.plain(states, context.domain, random.random)


def _is_free(outcome):
    """Tell whether nothing of the request reached its target."""
    if outcome.error is not None:
        return outcome.error.code == NOT_REACHED
    return outcome.answer.is_misdirected


def _is_worth_another(outcome, is_order):
    answer = outcome.answer
    if answer.is_not_run:
        return True
    return not is_order and answer.status >= 500


def _better(last, outcome):
    """Return the outcome to end with: an answer goes before an error."""
    if last is None or last.error is not None or outcome.answer is not None:
        return outcome
    return last


async def _end(last, is_order, admitted, reply):
    if last is None:
        raise AlmonddealError(
            NO_TARGET,
            "no target of the service is known",
            retry_after_ms=RETRY_AFTER_MS,
        )
    if last.answer is not None and not last.answer.is_not_run:
        await reply.send_response(last.answer.status, last.answer.headers, last.body)
        return
    if last.is_not_run:
        raise AlmonddealError(
            OVERLOADED, "no target took the request", retry_after_ms=RETRY_AFTER_MS
        )
    if last.error.code == DEADLINE:
        raise AlmonddealError(DEADLINE, "the target did not answer in time")
    code = ORDER_OUTCOME_UNKNOWN if is_order else SERVICE_FAILED
    raise AlmonddealError(code, "the target's answer was lost")


async def _send(admitted, context, state, is_order, is_last):
    """Send once and read the whole answer; returns its `_Outcome`."""
    limit_ms = max(0.0, admitted.left_ms)
    if not is_order and not is_last:
        limit_ms = max(admitted.route.objective_ms, limit_ms * SLOW_LOOKUP_SHARE)
        limit_ms = min(limit_ms, admitted.left_ms)
    started_ms = monotonic_ms()
    state.n_in_flight += 1
    outcome = _Outcome(error=AlmonddealError(DEADLINE, f"{limit_ms:.0f} ms passed"))
    try:
        with anyio.move_on_after(limit_ms / 1000):
            outcome = await _receive(admitted, context, state)
    finally:
        state.n_in_flight -= 1
    _learn(admitted, context, state, outcome, monotonic_ms() - started_ms)
    decide(
        log,
        "sent a request",
        request=admitted.request.request_id,
        target=state.announcement.target,
        born_ms=state.announcement.born_ms,
        version=context.version,
        outcome=outcome.label,
        not_run=outcome.is_not_run,
        took_ms=round(monotonic_ms() - started_ms),
        left_ms=round(admitted.left_ms),
    )
    return outcome


async def _receive(admitted, context, state):
    last_event_id = admitted.request.last_event_id
    attempt = Attempt(admitted, state.announcement, last_event_id=last_event_id)
    try:
        async with context.open(attempt) as answer:
            body = b"".join([chunk async for chunk in answer.chunks])
    except AlmonddealError as error:
        return _Outcome(error=error)
    if answer.is_success and not answer.is_authentic:
        return _Outcome(error=AlmonddealError(LINK_LOST, "not the target's answer"))
    return _Outcome(answer, body)


def _learn(admitted, context, state, outcome, took_ms):
    request_id = admitted.request.request_id
    if outcome.error is not None:
        state.rate(True, took_ms)
        if outcome.error.code == NOT_REACHED:
            context.targets.avoid(state, "could not be reached", request_id)
        elif outcome.error.code == LINK_LOST:
            context.targets.lose_connection(state, request_id)
        return
    answer = outcome.answer
    if answer.load is not None:
        state.load = answer.load
        state.load_ms = monotonic_ms()
    if answer.is_misdirected:
        context.targets.avoid(state, "another target has its address", request_id)
    else:
        # A target that refuses while others have room is no better than one that fails.
        state.rate(answer.is_not_run or answer.status >= 500, took_ms)
