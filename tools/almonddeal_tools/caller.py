"""A client of the completion API that validates every token it receives."""

import json
import uuid

import httpx

from almonddeal_tools.chain import digest_request, first_invalid_index, parse_tokens

CLIENT_TIMEOUT = httpx.Timeout(60.0, connect=2.0)


class Answer:
    """An answer as received so far; kept over reconnects.

    Attributes
    ----------
    text : str
    n_tokens : int
    last_event_id : str or None
        ``Last-Event-ID`` with which any entry instance can resume the answer.
    finish_reason : str or None
    error : dict or None
        Error object that ended the latest stream.
    sequence_errors : list of str
        Events whose index was not the next one.
    """

    def __init__(self, prompt, max_tokens, settings=None, version="v1"):
        self.request_id = uuid.uuid4().hex
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.settings = settings or {}
        self.version = version
        self.text = ""
        self.n_tokens = 0
        self.last_event_id = None
        self.finish_reason = None
        self.error = None
        self.sequence_errors = []

    @property
    def tokens(self):
        """Token ids in the text."""
        return parse_tokens(self.text)

    @property
    def is_complete(self):
        """Whether the finish reason was received and nothing is violated."""
        return self.finish_reason is not None and not self.violations()

    def violations(self):
        """Return descriptions of all invalid or missing tokens, as a list of str."""
        settings_json = json.dumps(self.settings, sort_keys=True)
        request_digest = digest_request(
            "draft", self.version, self.prompt, settings_json
        )
        violations_found = list(self.sequence_errors)
        tokens = self.tokens
        invalid_index = first_invalid_index(request_digest, tokens)
        if invalid_index is not None:
            violations_found.append(f"hash of token {invalid_index} is invalid")
        if self.finish_reason == "length" and len(tokens) != self.max_tokens:
            violations_found.append(f"{len(tokens)} tokens, expected {self.max_tokens}")
        return violations_found

    def apply_event(self, event_id, data):
        """Append the token or the finish reason of one server-sent event."""
        choice = data["choices"][0]
        _, _, index = event_id.rpartition(":")
        if choice["finish_reason"] is not None:
            self.finish_reason = choice["finish_reason"]
        else:
            if int(index) != self.n_tokens:
                self.sequence_errors.append(
                    f"event index {index}, but {self.n_tokens} expected"
                )
            self.text += choice["text"]
            self.n_tokens += 1
        self.last_event_id = event_id


def make_headers(key, **extra):
    """Return request headers with a customer's key."""
    return {"authorization": f"Bearer {key}", **extra}


def make_body(answer, stream=True):
    """Return the JSON body of a completion request."""
    return {
        "model": "draft",
        "prompt": answer.prompt,
        "max_tokens": answer.max_tokens,
        "stream": stream,
        **answer.settings,
    }


async def read_events(response, answer):
    """Apply the events of a streaming response to `answer`; yields it after each."""
    event_id = None
    kind = "message"
    async for line in response.aiter_lines():
        if line.startswith("id: "):
            event_id = line[4:]
        elif line.startswith("event: "):
            kind = line[7:]
        elif line.startswith("data: ") and line != "data: [DONE]":
            data = json.loads(line[6:])
            if kind == "error":
                answer.error = data["error"]
            else:
                answer.apply_event(event_id, data)
            yield answer
            kind = "message"


async def stream_answer(client, url, key, answer):
    """Request an answer, or resume it after its last event; yields it at each event.

    The error object of a response other than 200 is stored in ``answer.error``.

    Raises
    ------
    httpx.HTTPError
        If the connection fails.
    """
    answer.error = None
    headers = make_headers(key, **{"x-request-id": answer.request_id})
    if answer.last_event_id is None:
        request = client.build_request(
            "POST", f"{url}/v1/completions", json=make_body(answer), headers=headers
        )
    else:
        headers["last-event-id"] = answer.last_event_id
        path = f"{url}/v1/answers/{answer.request_id}"
        request = client.build_request("GET", path, headers=headers)
    response = await client.send(request, stream=True)
    try:
        if response.status_code != 200:
            data = json.loads(await response.aread())
            answer.error = data["error"]
            return
        async for progress in read_events(response, answer):
            yield progress
    finally:
        await response.aclose()


def make_client():
    """Return an `httpx.AsyncClient` that allows up to 2000 connections."""
    limits = httpx.Limits(max_connections=2000, max_keepalive_connections=200)
    return httpx.AsyncClient(timeout=CLIENT_TIMEOUT, limits=limits, trust_env=False)
