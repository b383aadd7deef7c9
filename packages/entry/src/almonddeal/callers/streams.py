"""Delivering an answer to a caller, whole or as it grows."""

from starlette.responses import JSONResponse, StreamingResponse

from almonddeal.callers.errors import error_event
from almonddeal.callers.events import CompletionForm
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import CODE_BY_NUMBER, DEADLINE, AlmonddealError

COMMENT_INTERVAL_MS = 10_000.0
KEEP_ALIVE_COMMENT = ": waiting\n\n"
STREAM_HEADERS = {"cache-control": "no-cache", "x-accel-buffering": "no"}


def end_error(answer):
    """Return the error that an ended answer carries, or None."""
    if not answer.end_code:
        return None
    return AlmonddealError(CODE_BY_NUMBER[answer.end_code], "")


class Waiting:
    """A caller's wait for an answer: until progress, its deadline or its leaving.

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

    async def progress(self):
        """Wait until something may have changed.

        The upkeep of the answers wakes those who wait at intervals, so that no timer
        is needed for each token.

        Raises
        ------
        AlmonddealError
            `DEADLINE`; the answer is cancelled then.
        """
        await self._answer.wait_changed()
        if self._deadline_ms is not None and monotonic_ms() >= self._deadline_ms:
            self._service.cancel_answer(self._answer)
            raise AlmonddealError(DEADLINE, "the caller's deadline passed")

    async def until_ended(self):
        """Wait for the end of the answer, or raise its error."""
        answer = self._answer
        while not answer.is_ended:
            if answer.error is not None:
                raise answer.error
            await self.progress()

    async def until_beyond(self, n_seen):
        """Wait until something is new after position `n_seen`, or raise its error."""
        answer = self._answer
        while answer.n_deliverable <= n_seen and not answer.is_ended:
            if answer.error is not None:
                raise answer.error
            await self.progress()


class Delivery:
    """What one caller is to get of an answer.

    Parameters
    ----------
    answer : OwnedAnswer
    request_id : str
    is_chat : bool
    n_seen : int
        Number of tokens that the caller has.
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

    def make_form(self):
        """Return the form in which the caller reads the answer."""
        return CompletionForm(self.request_id, self.answer.spec, self.is_chat)


async def whole_response(service, delivery):
    """Return the response that holds the whole answer."""
    answer = delivery.answer
    with service.subscribe(answer):
        await Waiting(service, answer, delivery.deadline_ms).until_ended()
    error = end_error(answer)
    if error is not None:
        raise error
    text = "".join(answer.texts)
    body = delivery.make_form().whole(text, len(answer.tokens), answer.finish_reason)
    return JSONResponse(body, headers={"x-request-id": delivery.request_id})


async def stream_response(service, delivery):
    """Return a stream of events after what the caller has seen.

    Errors that come before the first event become an HTTP status.
    """
    answer = delivery.answer
    waiting = Waiting(service, answer, delivery.deadline_ms)
    with service.subscribe(answer):
        await waiting.until_beyond(delivery.n_seen)
    events = _events(service, answer, delivery.make_form(), delivery.n_seen, waiting)
    headers = {"x-request-id": delivery.request_id, **STREAM_HEADERS}
    return StreamingResponse(events, media_type="text/event-stream", headers=headers)


async def _events(service, answer, form, n_seen, waiting):
    sent_ms = monotonic_ms()
    with service.subscribe(answer):
        while True:
            n_ready = answer.n_deliverable
            if n_ready > n_seen:
                sent_ms = monotonic_ms()
                yield _token_events(answer, form, n_seen, n_ready)
                n_seen = n_ready
            elif answer.is_ended:
                yield _last_event(answer, form)
                return
            elif answer.error is not None:
                yield error_event(answer.error)
                return
            else:
                try:
                    await waiting.progress()
                except AlmonddealError as error:
                    yield error_event(error)
                    return
                if monotonic_ms() - sent_ms > COMMENT_INTERVAL_MS:
                    sent_ms = monotonic_ms()
                    yield KEEP_ALIVE_COMMENT


def _token_events(answer, form, n_seen, n_ready):
    texts = answer.texts[n_seen:n_ready]
    assert len(texts) == n_ready - n_seen, "a committed token is missing"
    return "".join(
        form.token_event(n_seen + offset, text) for offset, text in enumerate(texts)
    )


def _last_event(answer, form):
    error = end_error(answer)
    if error is not None:
        return error_event(error)
    return form.end_event(len(answer.tokens), answer.finish_reason)
