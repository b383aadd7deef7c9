"""Requests to plain services: lookups are retried, orders only if not executed."""

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
    NOT_REACHED,
    ORDER_OUTCOME_UNKNOWN,
    OVERLOADED,
    SERVICE_FAILED,
    AlmonddealError,
)
from almonddeal_common.logs import decide, get_logger

RETRY_AFTER_MS = 100  # targets free a slot within tens of milliseconds
MAX_PAUSE_WAIT_MS = 100.0  # for targets that hold off; well within most objectives
PAUSE_MARGIN_MS = 1.0  # after the end of a pause; timers are not exact
MAX_UNREACHED = 4  # retries after reaching no target, not counted in max_attempts
MIN_LEFT_MS = 15.0  # no target responds within less

log = get_logger("relay")


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
    is_order = admitted.route.kind == ORDER
    tried = set()
    # Refused requests count as sent; only those that reached no target do not.
    n_sends = n_unreached = 0
    crashes = []
    preferred = None
    has_retry = False

    def claim_retry():
        """Take a retry from the budget if the lookup can be sent elsewhere now."""
        nonlocal has_retry
        if not has_retry and _has_alternative(admitted, context, tried):
            has_retry = context.take_retry(admitted.service.name)
        return has_retry

    context.record_request(admitted.service.name)
    while True:
        if preferred is None or preferred.is_not_run:
            context.quarantine.check(admitted)
        elif context.quarantine.blocks(list_suspects(admitted)):
            break
        target = _select_target(admitted, context, tried)
        if target is None:
            if await _wait_out_pause(admitted, context, tried):
                continue
            break
        tried.add(target.announcement.target)
        is_last = is_order or n_sends + 1 >= admitted.route.max_attempts
        outcome = await run_attempt(
            admitted, context, target, None if is_last else claim_retry
        )
        is_unreached = _is_unreached(outcome)
        n_unreached += int(is_unreached)
        n_sends += int(not is_unreached)
        if outcome.error is None and not _needs_retry(outcome, is_order):
            await writer.send_response(
                outcome.response.status, outcome.response.headers, outcome.body
            )
            return
        preferred = _preferred_outcome(preferred, outcome)
        crash = await _record_crash(admitted, context, target, outcome)
        if crash is not None:
            crashes.append(crash)
        if is_order and not outcome.is_not_run:
            break
        if n_sends >= admitted.route.max_attempts or n_unreached > MAX_UNREACHED:
            break
        if count_successive(crashes) >= MAX_CRASHES:
            decide(
                log,
                "no further target for a request under which targets crashed",
                request=admitted.request.request_id,
                n_crashes=len(crashes),
            )
            break
        if admitted.left_ms < MIN_LEFT_MS:
            break
        has_claimed, has_retry = has_retry, False
        if (
            not is_unreached
            and not has_claimed
            and not context.take_retry(admitted.service.name)
        ):
            decide(
                log,
                "retry budget exhausted",
                request=admitted.request.request_id,
            )
            break
    await _finish(preferred, is_order, admitted, context, writer)


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


def _is_unreached(outcome):
    """Tell whether no part of the request reached the intended target."""
    if outcome.error is not None:
        return outcome.error.code == NOT_REACHED
    return outcome.response.is_misdirected


def _needs_retry(outcome, is_order):
    response = outcome.response
    if response.is_not_run:
        return True
    return not is_order and response.status >= 500


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


async def _finish(preferred, is_order, admitted, context, writer):
    """Send the preferred outcome to the caller, or raise the error for it."""
    if preferred is None:
        raise no_target_error(admitted.service.name, context)
    if preferred.response is not None and not preferred.response.is_not_run:
        await writer.send_response(
            preferred.response.status, preferred.response.headers, preferred.body
        )
        return
    if preferred.is_not_run:
        targets = context.targets.candidates(admitted.service.name)
        raise AlmonddealError(
            OVERLOADED,
            "no target took the request",
            retry_after_ms=context.retry_after_ms(targets, lambda: RETRY_AFTER_MS),
        )
    if preferred.error.code == DEADLINE:
        raise AlmonddealError(DEADLINE, "the target did not answer in time")
    code = ORDER_OUTCOME_UNKNOWN if is_order else SERVICE_FAILED
    raise AlmonddealError(code, "the target's answer was lost")


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
