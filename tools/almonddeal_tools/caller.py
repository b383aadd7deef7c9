"""A caller of the completion interface that checks every token it gets."""

import json
import uuid

import httpx

from almonddeal_tools.chain import context_digest, first_break, parse_text

TIMEOUT = httpx.Timeout(60.0, connect=2.0)


class Answer:
    """An answer as a caller has it so far.

    Attributes
    ----------
    text : str
    last_event_id : str
        For going on with the answer at any entry instance.
    finish_reason : str or None
    error : dict or None
        The error object that ended the stream.
    breaks : list of str
        Events that did not follow the one before.
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
        self.breaks = []

    @property
    def tokens(self):
        """Token ids of the text."""
        return parse_text(self.text)

    @property
    def is_whole(self):
        """Whether the end was seen and everything before it follows."""
        return self.finish_reason is not None and not self.violations()

    def violations(self):
        """Return everything that breaks the promise on answers, as texts."""
        settings_json = json.dumps(self.settings, sort_keys=True)
        context = context_digest("draft", self.version, self.prompt, settings_json)
        found = list(self.breaks)
        tokens = self.tokens
        broken = first_break(context, tokens)
        if broken is not None:
            found.append(f"token {broken} does not follow")
        if self.finish_reason == "length" and len(tokens) != self.max_tokens:
            found.append(f"{len(tokens)} tokens instead of {self.max_tokens}")
        return found

    def take_event(self, event_id, data):
        """Take one server-sent event."""
        choice = data["choices"][0]
        _, _, index = event_id.rpartition(":")
        if choice["finish_reason"] is not None:
            self.finish_reason = choice["finish_reason"]
        else:
            if int(index) != self.n_tokens:
                self.breaks.append(f"event {index} where {self.n_tokens} belongs")
            self.text += choice["text"]
            self.n_tokens += 1
        self.last_event_id = event_id


def headers_of(key, **more):
    """Return the headers of a customer's request."""
    return {"authorization": f"Bearer {key}", **more}


def body_of(answer, stream=True):
    """Return the JSON body that asks for an answer."""
    return {
        "model": "draft",
        "prompt": answer.prompt,
        "max_tokens": answer.max_tokens,
        "stream": stream,
        **answer.settings,
    }


async def read_events(response, answer):
    """Yield after each event of a streaming response that was put into `answer`."""
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
                answer.take_event(event_id, data)
            yield answer
            kind = "message"


async def stream_answer(client, url, key, answer):
    """Ask for an answer, or go on with it; yields after each event.

    An HTTP error is put into ``answer.error``.
    """
    answer.error = None
    headers = headers_of(key, **{"x-request-id": answer.request_id})
    if answer.last_event_id is None:
        request = client.build_request(
            "POST", f"{url}/v1/completions", json=body_of(answer), headers=headers
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
    """Return an HTTP client for callers."""
    limits = httpx.Limits(max_connections=2000, max_keepalive_connections=200)
    return httpx.AsyncClient(timeout=TIMEOUT, limits=limits, trust_env=False)
