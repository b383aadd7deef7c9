"""Parsing and validation of callers' requests."""

import hashlib
import json
import re

from almonddeal.answers.requests import MAX_ID_CHARS, AnswerRequest
from almonddeal_common.bodies import BodyTooLargeError, read_limited
from almonddeal_common.codes import (
    BAD_REQUEST,
    FORBIDDEN,
    NOT_FOUND,
    TOO_LARGE,
    UNAUTHENTICATED,
    AlmonddealError,
)
from almonddeal_common.step_timer import move_on_after_steps

MAX_BODY_BYTES = 4 * 1024 * 1024
BODY_TIMEOUT_S = 20.0
N_BODY_STEPS = 10  # of this time; a stall of the process takes up only one
DEFAULT_MAX_TOKENS = 1024
MAX_TOKENS = 1_000_000
SAMPLING_KEYS = ("temperature", "top_p", "top_k", "seed", "stop", "presence_penalty")
REQUEST_ID_PATTERN = re.compile(rf"[A-Za-z0-9._-]{{1,{MAX_ID_CHARS}}}")


def find_customer(request, document):
    """Return the customer whose API key a request carries.

    Raises
    ------
    AlmonddealError
        `UNAUTHENTICATED`.
    """
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise AlmonddealError(UNAUTHENTICATED, "no bearer key")
    key_hash = hashlib.sha256(key.strip().encode()).hexdigest()
    customer = document.customer_by_key_hash.get(key_hash)
    if customer is None:
        raise AlmonddealError(UNAUTHENTICATED, "unknown key")
    return customer


async def read_body(request):
    """Return the body of a request.

    Raises
    ------
    AlmonddealError
        `TOO_LARGE` above `MAX_BODY_BYTES`, `BAD_REQUEST` after `BODY_TIMEOUT_S`.
    """
    with move_on_after_steps(BODY_TIMEOUT_S, N_BODY_STEPS):
        try:
            return await read_limited(request.stream(), MAX_BODY_BYTES)
        except BodyTooLargeError as error:
            raise AlmonddealError(TOO_LARGE, str(error)) from None
    raise AlmonddealError(BAD_REQUEST, f"no body within {BODY_TIMEOUT_S:g} s")


def check_request_id(request_id):
    """Raise `BAD_REQUEST` unless a caller's request id has a valid format."""
    if REQUEST_ID_PATTERN.fullmatch(request_id) is None:
        allowed = f"1 to {MAX_ID_CHARS} letters, digits, dots, dashes or underscores"
        raise AlmonddealError(BAD_REQUEST, f"request id: allowed are {allowed}")


def parse_last_event_id(text):
    """Return the request id and the token index of a ``Last-Event-ID`` header."""
    request_id, _, index = text.rpartition(":")
    if not request_id or not index.isdigit():
        raise AlmonddealError(BAD_REQUEST, "Last-Event-ID is <request>:<index>")
    return request_id, int(index)


class CompletionBody:
    """The validated body of a completion request.

    Attributes
    ----------
    answer_request : AnswerRequest
    is_streamed : bool
        Whether the caller wants server-sent events.
    is_chat : bool
    """

    __slots__ = ("answer_request", "is_chat", "is_streamed")

    def __init__(self, answer_request, is_streamed, is_chat):
        self.answer_request = answer_request
        self.is_streamed = is_streamed
        self.is_chat = is_chat


def parse_completion(data, is_chat, request_id, customer, document):
    """Parse and validate the body of a completion request.

    Parameters
    ----------
    data : bytes
    is_chat : bool
    request_id : str
        The caller's request id, or empty.
    customer : Customer
    document : FleetDocument

    Returns
    -------
    body : CompletionBody

    Raises
    ------
    AlmonddealError
        `BAD_REQUEST`, `NOT_FOUND` or `FORBIDDEN`.
    """
    raw = _parse_json(data)
    model = _field(raw, "model", str, None)
    _check_model(model, customer, document)
    prompt = _chat_prompt(raw) if is_chat else _field(raw, "prompt", str, None)
    max_tokens = raw.get("max_completion_tokens", raw.get("max_tokens"))
    if max_tokens is None:
        max_tokens = DEFAULT_MAX_TOKENS
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_TOKENS:
        raise AlmonddealError(BAD_REQUEST, f"max_tokens: allowed are 1 to {MAX_TOKENS}")
    if raw.get("n", 1) != 1:
        raise AlmonddealError(BAD_REQUEST, "n: allowed is 1")
    sampling = {key: raw[key] for key in SAMPLING_KEYS if raw.get(key) is not None}
    adapter = _field(raw, "adapter", str, "")
    answer_request = AnswerRequest(
        model, prompt, sampling, max_tokens, request_id, adapter
    )
    return CompletionBody(answer_request, _field(raw, "stream", bool, False), is_chat)


def _parse_json(data):
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError):
        raise AlmonddealError(BAD_REQUEST, "the body is not valid JSON") from None
    if not isinstance(raw, dict):
        raise AlmonddealError(BAD_REQUEST, "the body is not a JSON object")
    return raw


def _field(raw, name, type_, default):
    """Return a checked field; a field whose default is None is required."""
    value = raw.get(name, default)
    if value is None and default is None:
        raise AlmonddealError(BAD_REQUEST, f"{name}: is required")
    if not isinstance(value, type_):
        raise AlmonddealError(BAD_REQUEST, f"{name}: allowed is a {type_.__name__}")
    return value


def _check_model(model, customer, document):
    if model not in document.model_by_name:
        raise AlmonddealError(NOT_FOUND, f"model {model!r}")
    if model not in customer.models:
        raise AlmonddealError(FORBIDDEN, f"model {model!r}")


def _chat_prompt(raw):
    messages = _field(raw, "messages", list, None)
    if not messages:
        raise AlmonddealError(BAD_REQUEST, "messages: at least one is required")
    return "\n".join(_chat_line(message) for message in messages)


def _chat_line(message):
    if not isinstance(message, dict):
        raise AlmonddealError(BAD_REQUEST, "messages: allowed are objects")
    role = _field(message, "role", str, None)
    content = message.get("content")
    if isinstance(content, list):
        texts = [part.get("text") for part in content if isinstance(part, dict)]
        if len(texts) < len(content) or not all(isinstance(t, str) for t in texts):
            raise AlmonddealError(BAD_REQUEST, "content: allowed are text parts")
        content = "".join(texts)
    if not isinstance(content, str):
        raise AlmonddealError(BAD_REQUEST, "content: allowed is text")
    return f"{role}: {content}"
