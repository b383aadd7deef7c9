"""Delivery of answers to callers, whole or as a stream of events."""

from starlette.responses import JSONResponse, StreamingResponse

from almonddeal.callers.errors import error_event
from almonddeal.callers.events import CompletionFormatter
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import CODE_BY_NUMBER, DEADLINE, AlmonddealError
from almonddeal_common.logs import decide, get_logger

KEEP_ALIVE_INTERVAL_MS = 10_000.0
KEEP_ALIVE_COMMENT = ": waiting\n\n"
STREAM_HEADERS = {"cache-control": "no-cache", "x-accel-buffering": "no"}

log = get_logger("callers")


def end_error(answer):
    """Return the error with which an ended answer finished, or None."""
    if not answer.end_code:
        return None
    return AlmonddealError(CODE_BY_NUMBER[answer.end_code], "")


class AnswerWaiter:
    """Waits for an answer on behalf of a caller, up to the caller's deadline.

    Parameters
    ----------
    service : AnswerService
    answer : OwnedAnswer
    deadline_ms : float or None
        On the monotonic clock.
    """

    __slots__ = ("_answer", "_deadline_ms", "_service")

    def __init__(self, service, answer, deadline_ms):
        self._service = service
        self._answer = answer
        self._deadline_ms = deadline_ms

    async def wait_progress(self):
        """Wait until the answer may have changed.

        The deadline needs no timer per token: `AnswerService.clean_periodically` wakes
        all waiting callers.

        Raises
        ------
        AlmonddealError
            `DEADLINE`, after cancelling the answer.
        """
        await self._answer.wait_changed()
        if self._deadline_ms is not None and monotonic_ms() >= self._deadline_ms:
            self._service.cancel_answer(self._answer)
            raise AlmonddealError(DEADLINE, "the caller's deadline passed")

    async def wait_ended(self):
        """Wait for the end of the answer, or raise the error that stopped it."""
        answer = self._answer
        while not answer.is_ended:
            if answer.error is not None:
                raise answer.error
            await self.wait_progress()

    async def wait_beyond(self, n_seen):
        """Wait for more than `n_seen` tokens or the end, or raise the error."""
        answer = self._answer
        while answer.n_deliverable <= n_seen and not answer.is_ended:
            if answer.error is not None:
                raise answer.error
            await self.wait_progress()


class Delivery:
    """Delivery of an answer to one caller.

    Parameters
    ----------
    answer : OwnedAnswer
    request_id : str
    is_chat : bool
    n_seen : int
        Number of events that the caller has received already: tokens, then the end.
    deadline_ms : float or None
        On the monotonic clock.
    """

    __slots__ = ("answer", "deadline_ms", "is_chat", "n_seen", "request_id")

    def __init__(self, answer, request_id, is_chat, n_seen, deadline_ms):
        self.answer = answer
        self.request_id = request_id
        self.is_chat = is_chat
        self.n_seen = n_seen
        self.deadline_ms = deadline_ms

    def make_formatter(self):
        """Return the formatter for the caller's completion format."""
        return CompletionFormatter(self.request_id, self.answer.spec, self.is_chat)


class CountedResponse:
    """ASGI response whose caller counts as waiting for the answer until it is sent.

    Parameters
    ----------
    response : starlette.responses.Response
    caller_count : context manager
        Entered already; left when the response has been sent or has failed.
    """

    __slots__ = ("_caller_count", "_response")

    def __init__(self, response, caller_count):
        self._response = response
        self._caller_count = caller_count

    async def __call__(self, scope, receive, send):
        """Send the response over ASGI."""
        with self._caller_count:
            await self._response(scope, receive, send)


async def whole_response(service, delivery):
    """Wait for the end of the answer and return it as one response.

    Raises
    ------
    AlmonddealError
        If the answer failed or finished with an error, or at the deadline.
    """
    answer = delivery.answer
    await AnswerWaiter(service, answer, delivery.deadline_ms).wait_ended()
    error = end_error(answer)
    if error is not None:
        raise error
    text = "".join(answer.texts)
    body = delivery.make_formatter().response_body(
        text, len(answer.tokens), answer.finish_reason
    )
    return JSONResponse(body, headers={"x-request-id": delivery.request_id})


async def stream_response(service, delivery):
    """Return a streaming response of the events that the caller has not seen.

    Waits for the first of them, so that an earlier error still becomes an HTTP status.

    Raises
    ------
    AlmonddealError
        If the answer failed before the first event, or at the deadline.
    """
    answer = delivery.answer
    waiter = AnswerWaiter(service, answer, delivery.deadline_ms)
    await waiter.wait_beyond(delivery.n_seen)
    events = _events(answer, delivery.make_formatter(), delivery.n_seen, waiter)
    headers = {"x-request-id": delivery.request_id, **STREAM_HEADERS}
    return StreamingResponse(events, media_type="text/event-stream", headers=headers)


async def _events(answer, formatter, n_seen, waiter):
    sent_ms = monotonic_ms()
    while True:
        n_ready = answer.n_deliverable
        if n_ready > n_seen:
            sent_ms = monotonic_ms()
            yield _token_events(answer, formatter, n_seen, n_ready)
            n_seen = n_ready
        elif answer.is_ended:
            yield _final_events(answer, formatter)
            return
        elif answer.error is not None:
            yield _end_with_error(answer, answer.error)
            return
        else:
            try:
                await waiter.wait_progress()
            except AlmonddealError as error:
                yield _end_with_error(answer, error)
                return
            if monotonic_ms() - sent_ms > KEEP_ALIVE_INTERVAL_MS:
                sent_ms = monotonic_ms()
                yield KEEP_ALIVE_COMMENT


def _end_with_error(answer, error):
    """Return the event for an error that ends a stream, and log it."""
    decide(
        log,
        "stream ended with an error event",
        request=answer.spec.request,
        code=error.code.name,
        detail=error.detail,
        n_tokens=len(answer.tokens),
    )
    return error_event(error)


def _token_events(answer, formatter, n_seen, n_ready):
    texts = answer.texts[n_seen:n_ready]
    assert len(texts) == n_ready - n_seen, "a committed token is missing"
    return "".join(
        formatter.token_event(n_seen + offset, text)
        for offset, text in enumerate(texts)
    )


def _final_events(answer, formatter):
    error = end_error(answer)
    if error is not None:
        return _end_with_error(answer, error)
    return formatter.end_event(len(answer.tokens), answer.finish_reason)
