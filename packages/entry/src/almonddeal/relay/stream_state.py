"""State of one answer in events."""


class Copy:
    """Memory of a run that an engine keeps for another one.

    Parameters
    ----------
    state : TrackedTarget
        The engine that keeps it.
    address : str
        Engine that names the copy: the keeper, or the one that sent it.
    copy_id : str
        What that engine calls it.
    """

    __slots__ = ("_born_ms", "address", "copy_id", "state")

    def __init__(self, state, address, copy_id):
        self.state = state
        self.address = address
        self.copy_id = copy_id
        self._born_ms = state.announcement.born_ms

    def is_sound(self, targets, now_ms):
        """Tell whether its keeper still is the process that received it."""
        return (
            targets.is_reachable(self.state)
            and self.state.announcement.born_ms == self._born_ms
            and self.state.avoid_until_ms <= now_ms
        )


class Stream:
    """State of one answer over all its attempts.

    Parameters
    ----------
    admitted : AdmittedRequest
    reply : object
        The caller's side.

    Attributes
    ----------
    last_event_id : int or None
        Last event that the caller has.
    is_begun, is_ended : bool
        Whether the head, and the end, of the answer were sent.
    copy : Copy or None
        Where the run's memory lies beside its engine.
    refused, left_by : set of str
        Targets that refused the answer, and those that lost it.
    last_answer : tuple or None
        Failure of an engine, as answer and body, that the caller may get.
    step : int or None
        Distance of successive event ids.
    """

    __slots__ = (
        "admitted",
        "copy",
        "is_begun",
        "is_ended",
        "last_answer",
        "last_event_id",
        "last_sent_ms",
        "left_by",
        "n_sends",
        "n_tries",
        "refused",
        "reply",
        "run",
        "step",
    )

    def __init__(self, admitted, reply):
        self.admitted = admitted
        self.reply = reply
        self.last_event_id = admitted.request.last_event_id
        self.is_begun = False
        self.is_ended = False
        self.copy = None
        self.run = None
        self.refused = set()
        self.left_by = set()
        self.last_answer = None
        self.last_sent_ms = 0.0
        self.step = None
        self.n_sends = 0
        self.n_tries = 0

    @property
    def request_id(self):
        """Id of the request."""
        return self.admitted.request.request_id

    @property
    def n_tokens(self):
        """Most tokens that the run takes in memory, never more than an engine has."""
        generation = self.admitted.request.generation
        if generation is None:
            return 0
        n_tokens = generation.n_prompt_tokens + generation.n_output_tokens
        traits = self.admitted.service.engine
        return n_tokens if traits is None else min(n_tokens, traits.n_cache_tokens)
