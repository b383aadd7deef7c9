"""Requests in flight at an entry instance, which are broken off before it exits."""

import anyio

from almonddeal.roles.planned_work import PlannedWork
from almonddeal.routing.model import LOOKUP, ORDER, STREAM
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    ATTEMPT_LOST,
    ORDER_OUTCOME_UNKNOWN,
    SERVICE_FAILED,
    STOPPING,
    AlmonddealError,
)
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.metrics import Counter

RETRY_AFTER_MS = 100.0  # callers are directed to other instances by then
CODE_BY_KIND = {
    LOOKUP: SERVICE_FAILED,
    ORDER: ORDER_OUTCOME_UNKNOWN,
    STREAM: ATTEMPT_LOST,
}

# How requests end.
COMPLETE = "complete"
DISCONNECTED = "caller disconnected"
FAILED = "failed midway"
STOPPED = "instance stopped"

log = get_logger("entry")
n_ended = Counter(
    "almonddeal_entry_requests_ended_total",
    "Requests by their end and by the planned work beside it.",
)


class _Entry:
    """One request in flight; `route` is None until it is sent to a target."""

    __slots__ = ("route", "scope")

    def __init__(self):
        self.route = None
        self.scope = anyio.CancelScope()


class RequestsInFlight:
    """Requests that an instance is serving.

    Each is counted by its end and by the planned work beside it. One whose caller waits
    and receives neither a complete response nor an error is logged.

    Parameters
    ----------
    planned_work : PlannedWork, optional
        Default: none.

    Attributes
    ----------
    last_ended_ms : float
        When the last request ended, by `monotonic_ms`; 0 before the first one.
    """

    def __init__(self, planned_work=None):
        self._planned_work = planned_work or PlannedWork()
        self.last_ended_ms = 0.0
        self._entry_by_request = {}
        self._is_broken_off = False

    def __len__(self):
        return len(self._entry_by_request)

    async def serve(self, request, writer, serve_request):
        """Serve a request until its response is sent or `break_off` is called.

        A request that comes after `break_off` is refused.

        Parameters
        ----------
        request : CallerRequest
        writer : object
            Writes the response to the caller; `is_written` tells whether a complete
            response or an error was written.
        serve_request : callable
            ``await serve_request()`` serves the request.
        """
        end = DISCONNECTED
        try:
            is_stopped = await self._serve(request, writer, serve_request)
            end = STOPPED if is_stopped else FAILED
        except Exception:
            end = FAILED
            raise
        finally:
            self._record_end(request, writer, end)

    def _record_end(self, request, writer, end):
        if writer.is_written:
            end = COMPLETE
        planned_work = self._planned_work.describe()
        n_ended.inc({"end": end, "planned_work": planned_work})
        if end in (FAILED, STOPPED):
            decide(
                log,
                "request ended without a complete response",
                request=request.request_id,
                end=end,
                is_started=writer.is_started,
                after_ms=round(monotonic_ms() - request.arrived_ms),
                planned_work=planned_work,
            )

    async def _serve(self, request, writer, serve_request):
        """Serve a request; returns whether the stop of the instance ended it."""
        entry = _Entry()
        if not self._is_broken_off:
            self._entry_by_request[request] = entry
            try:
                with entry.scope:
                    await serve_request()
            finally:
                del self._entry_by_request[request]
                self.last_ended_ms = monotonic_ms()
            if not entry.scope.cancelled_caught:
                return False
        error = _error(entry.route)
        decide(
            log,
            "request broken off by the stop of the instance",
            request=request.request_id,
            code=error.code.name,
        )
        await writer.send_error(error)
        return True

    def record_attempt(self, attempt):
        """Record that a request is being sent to a target."""
        entry = self._entry_by_request.get(attempt.admitted.request)
        if entry is not None:
            entry.route = attempt.admitted.route

    def break_off(self):
        """End all requests, also later ones; those without a response get an error."""
        self._is_broken_off = True
        for entry in self._entry_by_request.values():
            entry.scope.cancel()


def _error(route):
    if route is None:
        return AlmonddealError(
            STOPPING, "sent to no target", retry_after_ms=RETRY_AFTER_MS
        )
    return AlmonddealError(CODE_BY_KIND[route.kind], "the instance stopped first")
