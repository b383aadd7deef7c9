"""One attempt of a request to a plain service."""

from almonddeal.relay.requests import Attempt
from almonddeal.relay.suspects import list_suspects
from almonddeal_common.bodies import BodyTooLargeError, read_limited
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    DEADLINE,
    LINK_LOST,
    NOT_REACHED,
    AlmonddealError,
)
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.step_timer import move_on_after_steps

MAX_BODY_BYTES = 4 * 1024 * 1024  # of a response, which is kept whole until its end

log = get_logger("relay")


class Outcome:
    """Outcome of one attempt: a response with its body, or an error."""

    __slots__ = ("body", "error", "response")

    def __init__(self, response=None, body=b"", error=None):
        self.response = response
        self.body = body
        self.error = error

    @property
    def is_not_run(self):
        """Whether the target has certainly not executed the request."""
        if self.error is not None:
            return self.error.code == NOT_REACHED
        return self.response.is_not_run

    @property
    def is_unreached(self):
        """Whether no part of the request reached the intended target."""
        if self.error is not None:
            return self.error.code == NOT_REACHED
        return self.response.is_misdirected

    @property
    def request_limit_per_s(self):
        """Limit that the target named in its response, or None."""
        return None if self.response is None else self.response.request_limit_per_s

    @property
    def retry_after_ms(self):
        """Pause for which the target asked in its response, or None."""
        return None if self.response is None else self.response.retry_after_ms

    @property
    def label(self):
        """Name of the error, or status of the response, for the log."""
        if self.error is not None:
            return self.error.code.name
        return str(self.response.status)


async def run_attempt(admitted, context, target):
    """Send a request to one target, until its deadline; returns an `Outcome`.

    Parameters
    ----------
    admitted : AdmittedRequest
    context : RelayContext
    target : TrackedTarget
    """
    started_ms = monotonic_ms()
    context.named_limits.take(target)
    target.n_in_flight += 1
    outcome = None
    try:
        # A response that came in time is read behind a stall at the deadline.
        with move_on_after_steps(max(0.0, admitted.left_ms) / 1000, 1):
            outcome = await _receive(admitted, context, target)
    finally:
        target.n_in_flight -= 1
    if outcome is None:
        detail = f"{monotonic_ms() - started_ms:.0f} ms passed"
        outcome = Outcome(error=AlmonddealError(DEADLINE, detail))
    _record_outcome(admitted, context, target, outcome, monotonic_ms() - started_ms)
    decide(
        log,
        "finished an attempt",
        request=admitted.request.request_id,
        fingerprint=admitted.fingerprint,
        target=target.announcement.target,
        born_ms=target.announcement.born_ms,
        version=context.version,
        outcome=outcome.label,
        not_run=outcome.is_not_run,
        limit_per_s=outcome.request_limit_per_s,
        retry_after_ms=outcome.retry_after_ms,
        took_ms=round(monotonic_ms() - started_ms),
        left_ms=round(admitted.left_ms),
    )
    return outcome


async def _receive(admitted, context, target):
    request = admitted.request
    attempt = Attempt(
        admitted,
        target.announcement,
        last_event_id=request.last_event_id,
        may_send=lambda: context.may_send(target),
    )
    try:
        async with context.open_attempt(attempt) as response:
            # Before the body, which may be slow.
            request_id = request.request_id
            context.targets.record_response(attempt.target, response, request_id)
            context.hold_offs.record(attempt.target, response, request_id)
            body = await read_limited(response.chunks, MAX_BODY_BYTES)
    except AlmonddealError as error:
        return Outcome(error=error)
    except BodyTooLargeError as error:
        return Outcome(error=AlmonddealError(LINK_LOST, f"response body: {error}"))
    if response.is_of_other_request:
        return Outcome(error=AlmonddealError(LINK_LOST, "answer to another request"))
    if response.is_success and not response.is_authentic:
        return Outcome(error=AlmonddealError(LINK_LOST, "not the target's answer"))
    return Outcome(response, body)


def _record_outcome(admitted, context, target, outcome, took_ms):
    request_id = admitted.request.request_id
    if outcome.error is not None:
        target.record_outcome(True, took_ms)
        if outcome.error.code == NOT_REACHED:
            if context.may_send(target):
                context.targets.eject(target, "connection failed", request_id)
        elif outcome.error.code == LINK_LOST:
            context.targets.record_connection_loss(target, request_id)
        return
    response = outcome.response
    if not response.is_not_run:
        context.quarantine.record_sound(list_suspects(admitted))
    context.named_limits.record(target.announcement, response, request_id)
    if response.reported_counts is not None:
        target.reported_counts = response.reported_counts
        target.counts_reported_ms = monotonic_ms()
    if response.is_misdirected:
        context.targets.eject(target, "address belongs to another target", request_id)
    else:
        # A refusal counts as a failure, so that other targets are preferred.
        target.record_outcome(response.is_not_run or response.status >= 500, took_ms)
