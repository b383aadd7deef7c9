"""Entry point of a caller request: routing, authentication, then the relay."""

import math

import anyio

from almonddeal.relay.plain import relay_plain
from almonddeal.relay.requests import AdmittedRequest
from almonddeal.relay.resumption import (
    MAX_STARTUP_WAIT_MS,
    POLL_INTERVAL_S,
    STARTUP_MS,
    find_origin,
)
from almonddeal.relay.streams import relay_stream
from almonddeal.routing.model import STREAM
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    NO_CONFIGURATION,
    NOT_FOUND,
    STOPPING,
    UNAUTHENTICATED,
    AlmonddealError,
)
from almonddeal_common.logs import decide, get_logger

NOT_READY_RETRY_MS = 500  # a new process receives its configuration within this time
STOPPING_RETRY_MS = 500  # callers are directed to other instances soon after
LATE_STREAM_RETRY_MS = 2000  # no other instance is ready, one has to return first
STARTUP_WAIT_SHARE = 0.25  # of a request's timeout; the rest is for serving it

log = get_logger("relay")


def admit(request, table):
    """Match a request to its route, customer and service; returns an `AdmittedRequest`.

    Parameters
    ----------
    request : CallerRequest
    table : RoutingTable or None
        None while no configuration has been received.

    Raises
    ------
    AlmonddealError
        `NO_CONFIGURATION`, `NOT_FOUND` or `UNAUTHENTICATED`.
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


def check_time_left(admitted, context):
    """Check that a request can end before this instance does.

    That is expected of those that run at most once. Early in a stop others begin all
    the same, as their callers may find no other instance. Late in it, a stream has to
    end by its own time limit, since no estimate bounds how long it runs.

    Raises
    ------
    AlmonddealError
        `STOPPING`.
    """
    retry_after_ms = STOPPING_RETRY_MS
    is_late = monotonic_ms() > context.late_from_ms
    if admitted.route.may_run_again and not is_late:
        return
    if is_late and admitted.route.kind == STREAM:
        expected_ms = math.inf
        retry_after_ms = LATE_STREAM_RETRY_MS
    elif admitted.request.generation is not None:
        expected_ms = context.load_view.mean_run_ms
    else:
        expected_ms = admitted.route.objective_ms
    expected_ms = min(expected_ms, admitted.left_ms)
    if monotonic_ms() + expected_ms > context.ends_ms:
        raise AlmonddealError(
            STOPPING,
            "would be broken off by the stop of the instance",
            retry_after_ms=retry_after_ms,
        )


async def wait_for_targets(request, context, current_table):
    """Wait, shortly after start, until targets are known for a request.

    Waits at most a share of the request's timeout. Returns at once when the process has
    been running for `STARTUP_MS`.

    Parameters
    ----------
    request : CallerRequest
    context : RelayContext
    current_table : callable
        Returns the current `RoutingTable`, or None.

    Returns
    -------
    table : RoutingTable or None
    """
    timeout_ms = (
        request.timeout_ms if request.timeout_ms is not None else MAX_STARTUP_WAIT_MS
    )
    max_wait_ms = min(MAX_STARTUP_WAIT_MS, STARTUP_WAIT_SHARE * timeout_ms)
    if context.uptime_ms > STARTUP_MS:
        return current_table()
    while not _may_proceed(request, context, current_table()):
        if monotonic_ms() - request.arrived_ms > max_wait_ms:
            break
        await anyio.sleep(POLL_INTERVAL_S)
    waited_ms = monotonic_ms() - request.arrived_ms
    if waited_ms > POLL_INTERVAL_S * 1000:
        decide(
            log,
            "waited for configuration and targets after start",
            request=request.request_id,
            waited_ms=round(waited_ms),
        )
    return current_table()


def _may_proceed(request, context, table):
    """Tell whether a request need not wait: targets are known or no route matches."""
    if table is None:
        return False
    route = table.find_route(request.host, request.path)
    if route is None:
        return True
    return any(context.targets.candidates(name) for name in route.weight_by_service)


async def _keep_service(admitted, context, table):
    """Send a resumed stream to the service that began it, if its route is split."""
    request, route = admitted.request, admitted.route
    if request.last_event_id is None or len(route.weight_by_service) == 1:
        return
    origin = await find_origin(request, context)
    if origin is not None:
        admitted.service = table.pick_service(route, origin.service_name)


async def serve_request(request, current_table, context, writer):
    """Serve one request until its response, or an error, is sent.

    Cancellation means that the caller disconnected; it also cancels the request at
    targets.

    Parameters
    ----------
    request : CallerRequest
    current_table : callable
        Returns the current `RoutingTable`, or None.
    context : RelayContext
    writer : object
        Writes the response to the caller: ``send_response(status, headers, body)``, or
        ``start(status, headers)``, ``send(data)`` and ``finish()``, or
        ``send_error(error)``.
    """
    kind = "none"
    admitted = None
    table = await wait_for_targets(request, context, current_table)
    try:
        admitted = admit(request, table)
        kind = admitted.route.kind
        check_time_left(admitted, context)
        if kind == STREAM:
            await _keep_service(admitted, context, table)
            await relay_stream(admitted, context, writer)
        else:
            await relay_plain(admitted, context, writer)
        outcome = "OK"
    except AlmonddealError as error:
        outcome = error.code.name
        decide(
            log,
            "request failed",
            request=request.request_id,
            code=error.code.name,
            detail=error.detail,
            version=table.version if table is not None else 0,
            after_ms=error.retry_after_ms,
            left_ms=None if admitted is None else round(admitted.left_ms),
        )
        await writer.send_error(error)
    context.metrics.record_request(kind, outcome, monotonic_ms() - request.arrived_ms)
