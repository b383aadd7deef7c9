"""HTTP endpoints for callers.

``POST /v1/completions`` and ``/v1/chat/completions`` create an answer, ``GET
/v1/answers/{id}`` attaches to one, ``DELETE`` cancels it, and ``/services/{name}/...``
forwards calls to plain services.
"""

from contextlib import ExitStack

import anyio
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from almonddeal.callers.errors import with_error_responses
from almonddeal.callers.requests import (
    check_request_id,
    find_customer,
    parse_completion,
    parse_last_event_id,
    read_body,
)
from almonddeal.callers.streams import (
    CountedResponse,
    Delivery,
    stream_response,
    whole_response,
)
from almonddeal.orders.lookups import run_lookup
from almonddeal.orders.runner import order_id
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    BAD_REQUEST,
    FORBIDDEN,
    KEY_MISSING,
    LEASE_EXPIRED,
    NOT_FOUND,
    STOPPING,
    AlmonddealError,
)
from almonddeal_common.wire.gen.ttypes import ServiceCall

MAX_IDEMPOTENCY_KEY_CHARS = 256
METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
DROPPED_HEADERS = frozenset(
    ("authorization", "connection", "content-length", "host", "transfer-encoding")
)


class CallerInterface:
    """Caller endpoints of one entry instance.

    Parameters
    ----------
    entry : EntryInstance
        Provides the document, the limits and the services that the endpoints use.
    """

    def __init__(self, entry):
        self._entry = entry

    def make_app(self):
        """Return the ASGI application."""
        return Starlette(
            routes=[
                self._route("/v1/completions", self._complete, "POST"),
                self._route("/v1/chat/completions", self._chat, "POST"),
                self._route("/v1/models", self._models, "GET"),
                self._route("/v1/answers/{request_id}", self._attach, "GET"),
                self._route("/v1/answers/{request_id}", self._cancel, "DELETE"),
                self._route(
                    "/services/{service}/{path:path}", self._call_service, *METHODS
                ),
                self._route("/healthz", self._health, "GET"),
            ]
        )

    @staticmethod
    def _route(path, endpoint, *methods):
        return Route(path, with_error_responses(endpoint), methods=list(methods))

    async def _complete(self, request):
        return await self._generate(request, is_chat=False)

    async def _chat(self, request):
        return await self._generate(request, is_chat=True)

    async def _generate(self, request, is_chat):
        """Create an answer; with ``Last-Event-ID``, attach to an existing one."""
        entry = self._entry
        customer = self._find_customer(request)
        request_id = request.headers.get("x-request-id", "")
        if request_id:
            check_request_id(request_id)
        if "last-event-id" in request.headers:
            return await self._attach_to_answer(request, customer, is_chat)
        deadline_ms = _parse_deadline_ms(request)
        data = await read_body(request)
        body = parse_completion(data, is_chat, request_id, customer, entry.document)
        self._require_fresh_document()
        entry.limits.check_rate(customer)
        answer = await entry.answers.create_or_attach(customer, body.answer_request)
        request_id = answer.spec.request.partition(":")[2]
        delivery = Delivery(answer, request_id, is_chat, 0, deadline_ms)
        return await self._respond(request, delivery, body.is_streamed)

    async def _respond(self, request, delivery, is_streamed):
        service = self._entry.answers
        respond = stream_response if is_streamed else whole_response
        with ExitStack() as stack:
            stack.enter_context(service.count_caller(delivery.answer))
            response = await _run_until_disconnect(request, respond(service, delivery))
            return CountedResponse(response, stack.pop_all())

    async def _attach(self, request):
        customer = self._find_customer(request)
        is_chat = request.query_params.get("form") == "chat"
        return await self._attach_to_answer(request, customer, is_chat)

    async def _attach_to_answer(self, request, customer, is_chat):
        request_id = request.path_params.get("request_id", "")
        n_seen = 0
        if "last-event-id" in request.headers:
            event_id = request.headers["last-event-id"]
            named_id, index = parse_last_event_id(event_id)
            if request_id and named_id != request_id:
                raise AlmonddealError(BAD_REQUEST, "Last-Event-ID is of another answer")
            request_id = named_id
            n_seen = index + 1
        check_request_id(request_id)
        deadline_ms = _parse_deadline_ms(request)
        is_streamed = request.query_params.get("stream", "true") != "false"
        answer = await self._entry.answers.attach(customer, request_id)
        delivery = Delivery(answer, request_id, is_chat, n_seen, deadline_ms)
        return await self._respond(request, delivery, is_streamed)

    async def _cancel(self, request):
        customer = self._find_customer(request)
        request_id = request.path_params["request_id"]
        check_request_id(request_id)
        await self._entry.answers.cancel_anywhere(customer, request_id)
        return JSONResponse({"id": request_id, "cancelled": True})

    async def _models(self, request):
        customer = self._find_customer(request)
        models = [
            {"id": name, "object": "model", "owned_by": "almonddeal"}
            for name in sorted(customer.models)
        ]
        return JSONResponse({"object": "list", "data": models})

    async def _call_service(self, request):
        entry = self._entry
        customer = self._find_customer(request)
        service = self._find_service(request, customer)
        path = "/" + request.path_params["path"]
        query = request.url.query
        call = ServiceCall(
            method=request.method,
            path=f"{path}?{query}" if query else path,
            headers=_forwarded_headers(request, customer),
            body=await read_body(request),
            timeout_ms=service.timeout_ms,
        )
        self._require_fresh_document()
        if entry.answers.is_stopping:
            raise AlmonddealError(STOPPING, "use another entry instance")
        if service.is_lookup(request.method, path):
            entry.limits.check_rate(customer)
            coroutine = run_lookup(
                service, call, entry.call_transport, entry.retry_budget
            )
            entry.n_lookups_in_flight += 1
            try:
                reply = await _run_until_disconnect(request, coroutine)
            finally:
                entry.n_lookups_in_flight -= 1
        else:
            reply = await self._run_order(request, customer, service, call)
        return Response(reply.body, reply.status, reply.headers)

    async def _run_order(self, request, customer, service, call):
        key = request.headers.get("idempotency-key", "")
        if not key:
            raise AlmonddealError(
                KEY_MISSING, "what is not declared a lookup is an order"
            )
        if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
            raise AlmonddealError(
                BAD_REQUEST, f"key longer than {MAX_IDEMPOTENCY_KEY_CHARS}"
            )
        self._entry.limits.check_rate(customer)
        order = order_id(customer, service, key)
        return await self._entry.orders.execute(service, order, call)

    def _find_service(self, request, customer):
        name = request.path_params["service"]
        service = self._entry.document.service_by_name.get(name)
        if service is None:
            raise AlmonddealError(NOT_FOUND, f"service {name!r}")
        if name not in customer.services:
            raise AlmonddealError(FORBIDDEN, f"service {name!r}")
        return service

    def _find_customer(self, request):
        """Return the customer of a request.

        An instance whose document is not fresh raises `LEASE_EXPIRED` instead of an
        authentication error, since a newer version of the document may contain the
        API key.
        """
        try:
            return find_customer(request, self._entry.document)
        except AlmonddealError:
            self._require_fresh_document()
            raise

    def _require_fresh_document(self):
        """Raise `LEASE_EXPIRED` if this instance may have missed a document change."""
        if not self._entry.is_fresh:
            raise AlmonddealError(
                LEASE_EXPIRED, "cut off from control", retry_after_ms=1000
            )

    async def _health(self, request):
        entry = self._entry
        ready = entry.is_fresh and not entry.answers.is_stopping
        return JSONResponse({"ready": ready}, 200 if ready else 503)


def _parse_deadline_ms(request):
    """Return the caller's deadline in ms on the monotonic clock, or None."""
    text = request.headers.get("x-timeout-ms")
    if text is None:
        return None
    if not text.isdigit() or int(text) == 0:
        raise AlmonddealError(BAD_REQUEST, "x-timeout-ms: allowed are whole numbers")
    return monotonic_ms() + int(text)


def _forwarded_headers(request, customer):
    headers = {
        name: value
        for name, value in request.headers.items()
        if name not in DROPPED_HEADERS
    }
    headers["x-customer"] = customer.name
    return headers


async def _run_until_disconnect(request, coroutine):
    """Return the result of `coroutine`, or cancel it when the caller disconnects.

    Raises
    ------
    ClientDisconnect
        If the caller disconnected first.
    """
    result = None
    error = None

    async def run_coroutine(scope):
        nonlocal result, error
        try:
            result = await coroutine
        except AlmonddealError as failure:
            error = failure
        scope.cancel()

    async def watch_connection(scope):
        while True:
            message = await request.receive()
            if message["type"] == "http.disconnect":
                scope.cancel()
                return

    async with anyio.create_task_group() as group:
        group.start_soon(run_coroutine, group.cancel_scope)
        group.start_soon(watch_connection, group.cancel_scope)
    if error is not None:
        raise error
    if result is None:
        raise ClientDisconnect
    return result
