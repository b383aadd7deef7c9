"""Lookups: idempotent calls, retried within a budget."""

from almonddeal.targets.directory import released_on_exit
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    DEADLINE,
    OK,
    SERVICE_FAILED,
    AlmonddealError,
)

MAX_TRIES = 3
REPLY_MARGIN_MS = 500  # added to the call's timeout for the way to the agent
RETRY_STATUSES = frozenset((502, 503, 504))


async def run_lookup(service, call, transport, budget):
    """Run a lookup; after a failure, retry it on a newly chosen target.

    Parameters
    ----------
    service : Service
    call : ServiceCall
    transport : CallTransport
    budget : RetryBudget
        Limits the retries of all lookups to a fraction of the lookups.

    Returns
    -------
    reply : ServiceReply

    Raises
    ------
    AlmonddealError
        `SERVICE_FAILED` with the last failure, or an error of the acquisition of a
        target.
    """
    call.order = ""
    call.is_order = False
    budget.earn()
    deadline_ms = monotonic_ms() + service.timeout_ms
    error = AlmonddealError(DEADLINE, "no time for a first try")
    for n_tries in range(MAX_TRIES):
        left_ms = deadline_ms - monotonic_ms()
        if left_ms <= 0 or (n_tries and not budget.spend()):
            break
        target = await transport.acquire_target(service, left_ms)
        with released_on_exit(target):
            try:
                reply = await _call_once(call, target, transport, left_ms)
                target.record_success()
                return reply
            except AlmonddealError as failure:
                target.record_failure()
                error = failure
    raise AlmonddealError(SERVICE_FAILED, str(error))


async def _call_once(call, target, transport, left_ms):
    call.timeout_ms = int(left_ms)
    link = await transport.open_link(target.state)
    reply = await link.call(call, left_ms + REPLY_MARGIN_MS)
    if reply.code != OK.number or reply.status in RETRY_STATUSES:
        raise AlmonddealError(SERVICE_FAILED, reply.detail or f"status {reply.status}")
    return reply
