"""Requests for answers, and the keys under which answers are kept."""

MAX_ID_CHARS = 128  # of a caller's request id


class AnswerRequest:
    """A caller's request for an answer.

    Parameters
    ----------
    model : str
    prompt : str
    settings : dict
        Sampling settings for the engine.
    max_tokens : int
    request_id : str
        The caller's id, or empty to have one generated.
    adapter : str
    """

    __slots__ = ("adapter", "max_tokens", "model", "prompt", "request_id", "settings")

    def __init__(self, model, prompt, settings, max_tokens, request_id="", adapter=""):
        self.model = model
        self.prompt = prompt
        self.settings = settings
        self.max_tokens = max_tokens
        self.request_id = request_id
        self.adapter = adapter


def request_key(customer, request_id):
    """Return the key of a request: its id, prefixed with the customer's name."""
    return f"{customer.name}:{request_id}"
