"""Requests to plain services: lookups are retried, orders only if not executed."""

import asyncio
from contextlib import contextmanager

import anyio

from almonddeal.relay.culprits import count_successive
from almonddeal.relay.plain_attempts import run_attempt
from almonddeal.relay.quarantine import MAX_CRASHES
from almonddeal.relay.suspects import list_suspects
from almonddeal.routing.model import ORDER
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    DEADLINE,
    LINK_LOST,
    NO_TARGET,
    ORDER_OUTCOME_UNKNOWN,
    OVERLOADED,
    SERVICE_FAILED,
    AlmonddealError,
)
from almonddeal_common.logs import decide, get_logger

LOOKUP_TIMEOUT_SHARE = 0.4  # of the time left; then a lookup is also sent elsewhere
RECHECK_INTERVAL_S = 0.05  # at which a late lookup looks for another target
RETRY_AFTER_MS = 100  # targets free a slot within tens of milliseconds
MAX_PAUSE_WAIT_MS = 100.0  # for targets that hold off; well within most objectives
PAUSE_MARGIN_MS = 1.0  # after the end of a pause; timers are not exact
MAX_UNREACHED = 4  # retries after reaching no target, not counted in max_attempts
MIN_LEFT_MS = 15.0  # no target responds within less

log = get_logger("relay")


class _Progress:
    """How far a request has come over its attempts.

    Attributes
    ----------
    tried : set of str
        Targets of its attempts.
    n_sends : int
        Attempts that count against the limit of the route: all but those that reached
        no target.
    n_unreached : int
    crashes : list of SegmentEvidence
    preferred : Outcome or None
        Of the attempts that failed, the one that says most of the request.
    """

    __slots__ = ("crashes", "n_sends", "n_unreached", "preferred", "tried")

    def __init__(self):
        self.tried = set()
        self.n_sends = 0
        self.n_unreached = 0
        self.crashes = []
        self.preferred = None

    def count(self, outcome):
        """Count an attempt that ended before it was late."""
        self.n_unreached += int(outcome.is_unreached)
        self.n_sends += int(not outcome.is_unreached)

    @property
    def response(self):
        """The preferred outcome if a target executed the request, else None."""
        preferred = self.preferred
        if preferred is None or preferred.error is not None or preferred.is_not_run:
            return None
        return preferred


async def relay_plain(admitted, context, writer):
    """Relay one request to a plain service.

    Parameters
    ----------
    admitted : AdmittedRequest
    context : RelayContext
    writer : object
        Writes the response to the caller.

    Raises
    ------
    AlmonddealError
        If no target responded; nothing has been written to the caller then.
    """
    context.record_request(admitted.service.name)
    progress = _Progress()
    outcome = await _attempt_in_turn(admitted, context, progress)
    if outcome is None:
        raise _failure(progress.preferred, admitted, context)
    await writer.send_response(
        outcome.response.status, outcome.response.headers, outcome.body
    )


async def _attempt_in_turn(admitted, context, progress):
    """Send a request to one target after the other, until one responds.

    Parameters
    ----------
    admitted : AdmittedRequest
    context : RelayContext
    progress : _Progress

    Returns
    -------
    outcome : Outcome or None
        The response for the caller; None if there is none.
    """
    is_order = admitted.route.kind == ORDER
    while not _is_quarantined(admitted, context):
        target = _select_target(admitted, context, progress.tried)
        if target is None:
            if await _wait_out_pause(admitted, context, progress.tried):
                continue
            break
        progress.tried.add(target.announcement.target)
        if is_order or progress.n_sends + 1 >= admitted.route.max_attempts:
            outcome = await run_attempt(admitted, context, target)
            progress.count(outcome)
        else:
            outcome = await _attempt_beside_others(admitted, context, progress, target)
        if not _needs_retry(outcome, is_order):
            return outcome
        progress.preferred = _preferred_outcome(progress.preferred, outcome)
        crash = await _record_crash(admitted, context, target, outcome)
        if crash is not None:
            progress.crashes.append(crash)
        if not _may_be_sent(admitted, progress, outcome):
            break
        if not outcome.is_unreached and not context.take_retry(admitted.service.name):
            decide(log, "retry budget exhausted", request=admitted.request.request_id)
            break
    return progress.response


async def _attempt_beside_others(admitted, context, progress, target):
    """Run an attempt of a lookup; once it is late, others run beside it.

    A sound target may be silent for about a second, and another one may not take the
    lookup. The late attempt is therefore ended only by a response from elsewhere.

    Parameters
    ----------
    admitted : AdmittedRequest
    context : RelayContext
    progress : _Progress
    target : TrackedTarget

    Returns
    -------
    outcome : Outcome
        Of this attempt, or the response from elsewhere.
    """
    started_ms = monotonic_ms()
    outcome = elsewhere = None
    is_late = False

    def start_elsewhere():
        nonlocal is_late
        if not _has_alternative(admitted, context, progress.tried):
            return False
        if not context.take_retry(admitted.service.name):
            return False
        is_late = True
        progress.n_sends += 1
        took_ms = monotonic_ms() - started_ms
        target.record_outcome(True, took_ms)
        decide(
            log,
            "sent a late lookup to another target as well",
            request=admitted.request.request_id,
            target=target.announcement.target,
            took_ms=round(took_ms),
            left_ms=round(admitted.left_ms),
        )
        group.start_soon(attempt_elsewhere)
        return True

    async def attempt_elsewhere():
        nonlocal elsewhere
        elsewhere = await _attempt_in_turn(admitted, context, progress)
        if elsewhere is not None:
            group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        with _calling_when_late(admitted, start_elsewhere):
            outcome = await run_attempt(admitted, context, target)
        if not _needs_retry(outcome, is_order=False):
            group.cancel_scope.cancel()
    if not is_late:
        progress.count(outcome)
    if elsewhere is not None and (outcome is None or _needs_retry(outcome, False)):
        return elsewhere
    return outcome


def _is_quarantined(admitted, context):
    quarantine = context.quarantine
    return bool(quarantine.culprits) and quarantine.blocks(list_suspects(admitted))


def _may_be_sent(admitted, progress, outcome):
    """Tell whether a request may be sent once more after an attempt failed."""
    if admitted.route.kind == ORDER and not outcome.is_not_run:
        return False
    if progress.n_sends >= admitted.route.max_attempts:
        return False
    if progress.n_unreached > MAX_UNREACHED:
        return False
    if count_successive(progress.crashes) >= MAX_CRASHES:
        decide(
            log,
            "no further target for a request under which targets crashed",
            request=admitted.request.request_id,
            n_crashes=len(progress.crashes),
        )
        return False
    return admitted.left_ms >= MIN_LEFT_MS


async def _record_crash(admitted, context, target, outcome):
    """Record a crash of the target during an attempt; return its evidence, or None.

    A connection may also be lost between two sound processes, so the target is probed.
    """
    if outcome.error is None or outcome.error.code != LINK_LOST:
        return None
    if not context.quarantine.unproven(list_suspects(admitted)):
        return None
    if await context.is_reachable(target.announcement):
        return None
    request_id = admitted.request.request_id
    context.targets.eject(target, "connection failed after a loss", request_id)
    return context.quarantine.record_crash(
        admitted, target.announcement, has_response=False
    )


def _select_target(admitted, context, tried):
    targets = context.candidates(admitted.service.name, tried)
    return context.choose_plain([t for t in targets if context.allows(t)])


async def _wait_out_pause(admitted, context, tried):
    """Wait if all targets hold off for a short time; returns whether it did."""
    targets = context.targets.candidates(admitted.service.name, tried)
    pause_ms = context.hold_offs.left_ms(targets)
    elapsed_ms = monotonic_ms() - admitted.request.arrived_ms
    max_wait_ms = min(MAX_PAUSE_WAIT_MS, admitted.route.objective_ms - elapsed_ms)
    if not 0 < pause_ms <= min(max_wait_ms, admitted.left_ms - MIN_LEFT_MS):
        return False
    await anyio.sleep((pause_ms + PAUSE_MARGIN_MS) / 1000)
    return True


def _has_alternative(admitted, context, tried):
    """Tell whether a lookup can be sent to another target now."""
    if admitted.left_ms < MIN_LEFT_MS:
        return False
    if context.quarantine.blocks(list_suspects(admitted)):
        return False
    target = _select_target(admitted, context, tried)
    return target is not None and target.ejected_until_ms <= monotonic_ms()


def _needs_retry(outcome, is_order):
    if outcome.error is not None or outcome.is_not_run:
        return True
    return not is_order and outcome.response.status >= 500


def _preferred_outcome(preferred, outcome):
    """Return the later outcome, unless the other one says more of the request.

    A response of a target that ran it says most, then a failure after which it may have
    run.
    """

    def rank(candidate):
        if candidate.is_not_run:
            return 0
        return 1 if candidate.response is None else 2

    if preferred is None or rank(outcome) >= rank(preferred):
        return outcome
    return preferred


def _failure(preferred, admitted, context):
    """Return the error of a request to which no target responded."""
    if preferred is None or preferred.is_not_run:
        try:
            context.quarantine.check(admitted)
        except AlmonddealError as error:
            return error
    if preferred is None:
        return no_target_error(admitted.service.name, context)
    if preferred.is_not_run:
        targets = context.targets.candidates(admitted.service.name)
        return AlmonddealError(
            OVERLOADED,
            "no target took the request",
            retry_after_ms=context.retry_after_ms(targets, lambda: RETRY_AFTER_MS),
        )
    if preferred.error.code == DEADLINE:
        return AlmonddealError(DEADLINE, "the target did not answer in time")
    is_order = admitted.route.kind == ORDER
    code = ORDER_OUTCOME_UNKNOWN if is_order else SERVICE_FAILED
    return AlmonddealError(code, "the target's answer was lost")


@contextmanager
def _calling_when_late(admitted, start_elsewhere):
    """Call a function once a lookup is late, at intervals until it returns True.

    Parameters
    ----------
    admitted : AdmittedRequest
    start_elsewhere : callable
        Sends the lookup to another target as well; returns whether it did.
    """
    # A task for this would cost as much as the rest of the relay of a lookup.
    loop = asyncio.get_running_loop()
    timeout_ms = max(
        admitted.route.objective_ms, admitted.left_ms * LOOKUP_TIMEOUT_SHARE
    )

    def check():
        nonlocal timer
        if not start_elsewhere():
            timer = loop.call_later(RECHECK_INTERVAL_S, check)

    timer = loop.call_later(timeout_ms / 1000, check)
    try:
        yield
    finally:
        timer.cancel()


def no_target_error(service_name, context):
    """Return the error of a request that was sent to no target."""
    targets = context.targets.candidates(service_name)
    if not targets:
        return AlmonddealError(
            NO_TARGET,
            "no target of the service is known",
            retry_after_ms=RETRY_AFTER_MS,
        )
    return AlmonddealError(
        OVERLOADED,
        "all targets have their limit of requests or asked for a pause",
        retry_after_ms=context.retry_after_ms(
            targets,
            lambda: context.named_limits.retry_after_ms(
                service_name, context.candidates(service_name)
            ),
        ),
    )
