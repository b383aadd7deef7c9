"""The way of a request through an entry instance: route, customer, then the relay."""

import anyio

from almonddeal.relay.plain import relay_plain
from almonddeal.relay.requests import AdmittedRequest
from almonddeal.relay.streams import relay_stream
from almonddeal.routing.model import STREAM
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    NO_CONFIGURATION,
    NOT_FOUND,
    UNAUTHENTICATED,
    AlmonddealError,
)
from almonddeal_common.logs import decide, get_logger

NOT_READY_RETRY_MS = 500  # a new process gets its configuration within this time
NEW_PROCESS_MS = 5000  # four announcements of every target at the usual interval
WAIT_SHARE = 0.25  # of a request's time; the rest is for serving it
MAX_WAIT_MS = 1500.0  # one announcement of every target, and some more
POLL_S = 0.02

log = get_logger("relay")


def admit(request, table):
    """Return the `AdmittedRequest` for a request.

    Parameters
    ----------
    request : CallerRequest
    table : RoutingTable or None

    Raises
    ------
    AlmonddealError
    """
    if table is None:
        raise AlmonddealError(
            NO_CONFIGURATION, "not ready yet", retry_after_ms=NOT_READY_RETRY_MS
        )
    route = table.find_route(request.host, request.path)
    if route is None:
        raise AlmonddealError(NOT_FOUND, "no route matches")
    customer = None
    if table.needs_keys and not route.is_public:
        customer = table.customer_by_key.get(request.key)
        if customer is None:
            raise AlmonddealError(UNAUTHENTICATED, "the key is unknown")
    return AdmittedRequest(request, route, table.pick_service(route), customer)


async def wait_ready(request, context, current_table):
    """Wait a part of the request's time for what a new process does not have yet.

    Parameters
    ----------
    request : CallerRequest
    context : RelayContext
    current_table : callable
        Returns the `RoutingTable` in force, or None.

    Returns
    -------
    table : RoutingTable or None
    """
    timeout_ms = request.timeout_ms if request.timeout_ms is not None else MAX_WAIT_MS
    limit_ms = min(MAX_WAIT_MS, WAIT_SHARE * timeout_ms)
    if context.age_ms > NEW_PROCESS_MS:
        return current_table()
    while not _has_targets(request, context, current_table()):
        if monotonic_ms() - request.arrived_ms > limit_ms:
            break
        await anyio.sleep(POLL_S)
    waited_ms = monotonic_ms() - request.arrived_ms
    if waited_ms > POLL_S * 1000:
        decide(log, "waited", request=request.request_id, waited_ms=round(waited_ms))
    return current_table()


def _has_targets(request, context, table):
    """Tell whether targets for a request are known, or that it needs none."""
    if table is None:
        return False
    route = table.find_route(request.host, request.path)
    if route is None:
        return True
    return any(context.targets.candidates(name) for name in route.weight_by_service)


async def serve_request(request, current_table, context, reply):
    """Serve one request to its end.

    Cancelling it means that the caller left: what it runs at targets is stopped.

    Parameters
    ----------
    request : CallerRequest
    current_table : callable
        Returns the `RoutingTable` in force, or None.
    context : RelayContext
    reply : object
        The caller's side: ``send_response(status, headers, body)``, or ``start(status,
        headers)``, ``send(data)`` and ``finish()``, or ``refuse(refusal)``.
    """
    kind = "none"
    table = await wait_ready(request, context, current_table)
    try:
        admitted = admit(request, table)
        kind = admitted.route.kind
        if kind == STREAM:
            await relay_stream(admitted, context, reply)
        else:
            await relay_plain(admitted, context, reply)
        outcome = "OK"
    except AlmonddealError as refusal:
        outcome = refusal.code.name
        decide(
            log,
            "ends a request itself",
            request=request.request_id,
            code=refusal.code.name,
            detail=refusal.detail,
            version=table.version if table is not None else 0,
            after_ms=refusal.retry_after_ms,
        )
        await reply.send_error(refusal)
    context.metrics.note(kind, outcome, monotonic_ms() - request.arrived_ms)
