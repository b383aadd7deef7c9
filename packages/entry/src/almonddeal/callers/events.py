"""Formatting of answers as completion events and response bodies."""

import json

DONE_EVENT = "data: [DONE]\n\n"


class CompletionFormatter:
    """Formats one answer as a completion or a chat completion.

    Parameters
    ----------
    request_id : str
        Request id as the caller knows it, without the customer's name.
    spec : AnswerSpec
    is_chat : bool
    """

    __slots__ = ("_event_prefix", "_created", "_is_chat", "_model", "_request_id")

    def __init__(self, request_id, spec, is_chat):
        self._request_id = request_id
        self._is_chat = is_chat
        self._model = spec.model
        self._created = spec.created_ms // 1000
        kind = "chat.completion.chunk" if is_chat else "text_completion"
        self._event_prefix = json.dumps(
            {
                "id": request_id,
                "object": kind,
                "created": self._created,
                "model": spec.model,
            }
        )[:-1]

    def token_event(self, index, text):
        """Return the server-sent event of the token at an index."""
        content = json.dumps(text)
        if self._is_chat:
            role = '"role": "assistant", ' if index == 0 else ""
            choice = f'"delta": {{{role}"content": {content}}}'
        else:
            choice = f'"text": {content}'
        return (
            f"id: {self._request_id}:{index}\ndata: {self._event_prefix}, "
            f'"choices": [{{"index": 0, {choice}, "finish_reason": null}}]}}\n\n'
        )

    def end_event(self, n_tokens, finish_reason):
        """Return the server-sent events that end a complete answer."""
        choice = '"delta": {}' if self._is_chat else '"text": ""'
        reason = json.dumps(finish_reason)
        return (
            f"id: {self._request_id}:{n_tokens}\ndata: {self._event_prefix}, "
            f'"choices": [{{"index": 0, {choice}, "finish_reason": {reason}}}]}}\n\n'
            f"{DONE_EVENT}"
        )

    def response_body(self, text, n_tokens, finish_reason):
        """Return the response body of a complete answer as a dict for JSON."""
        if self._is_chat:
            content = {"message": {"role": "assistant", "content": text}}
        else:
            content = {"text": text}
        return {
            "id": self._request_id,
            "object": "chat.completion" if self._is_chat else "text_completion",
            "created": self._created,
            "model": self._model,
            "choices": [{"index": 0, **content, "finish_reason": finish_reason}],
            "usage": {
                "prompt_tokens": 0,
                "completion_tokens": n_tokens,
                "total_tokens": n_tokens,
            },
        }
