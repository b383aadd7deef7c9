"""What the relay is given and gives back: requests, attempts, answers of targets."""

from almonddeal_common.clock import monotonic_ms


class Generation:
    """What a request asks an engine for.

    Parameters
    ----------
    n_prompt_tokens : int
    n_output_tokens : int
        Most tokens that it may generate.
    fingerprint : str
        Same for two requests for the same answer, else different.
    last_prefix_hash : str or None
        Id of the last part of the prompt, which belongs to this request or session.
    """

    __slots__ = (
        "fingerprint",
        "last_prefix_hash",
        "n_output_tokens",
        "n_prompt_tokens",
    )

    def __init__(
        self, n_prompt_tokens, n_output_tokens, fingerprint, last_prefix_hash=None
    ):
        self.n_prompt_tokens = n_prompt_tokens
        self.n_output_tokens = n_output_tokens
        self.fingerprint = fingerprint
        self.last_prefix_hash = last_prefix_hash


class CallerRequest:
    """One request of a caller, read as a whole.

    Parameters
    ----------
    request_id : str
    method : str
    host : str
        In lower case, without a port.
    path : str
        Without a query.
    raw_target : bytes
        Path and query exactly as they came.
    headers : list of (bytes, bytes)
        What targets receive as it came.
    body : bytes
    timeout_ms : float or None
        How long the caller waits, from now.
    key : str or None
    last_event_id : int or None
        Last event that the caller has of this answer.
    generation : Generation or None
    """

    __slots__ = (
        "arrived_ms",
        "body",
        "generation",
        "headers",
        "host",
        "key",
        "last_event_id",
        "method",
        "path",
        "raw_target",
        "request_id",
        "timeout_ms",
    )

    def __init__(
        self,
        request_id,
        method,
        host,
        path,
        raw_target,
        headers,
        body,
        timeout_ms,
        key,
        last_event_id,
        generation,
    ):
        self.arrived_ms = monotonic_ms()
        self.request_id = request_id
        self.method = method
        self.host = host
        self.path = path
        self.raw_target = raw_target
        self.headers = headers
        self.body = body
        self.timeout_ms = timeout_ms
        self.key = key
        self.last_event_id = last_event_id
        self.generation = generation


class AdmittedRequest:
    """A request with the route, customer and time that it was admitted under."""

    __slots__ = ("customer", "deadline_ms", "request", "route", "service")

    def __init__(self, request, route, service, customer):
        self.request = request
        self.route = route
        self.service = service
        self.customer = customer
        self.deadline_ms = request.arrived_ms + route.timeout_ms
        if request.timeout_ms is not None:
            self.deadline_ms = min(
                self.deadline_ms, request.arrived_ms + request.timeout_ms
            )

    @property
    def left_ms(self):
        """Time left in ms; may be negative."""
        return self.deadline_ms - monotonic_ms()

    @property
    def priority(self):
        """Urgency, 0 first: the customer's if it has one, else the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority


class Attempt:
    """One send of a request to one target.

    Parameters
    ----------
    admitted : AdmittedRequest
    target : AnnouncedTarget
    backup_address : str or None
        Engine that shall receive a copy of the run's memory as it grows.
    copy : Copy or None
        Memory of the run that the target keeps and goes on from.
    last_event_id : int or None
        Event after which the target shall go on.
    """

    __slots__ = (
        "admitted",
        "backup_address",
        "copy",
        "last_event_id",
        "target",
    )

    def __init__(
        self,
        admitted,
        target,
        backup_address=None,
        copy=None,
        last_event_id=None,
    ):
        self.admitted = admitted
        self.target = target
        self.backup_address = backup_address
        self.copy = copy
        self.last_event_id = last_event_id


class TargetResponse:
    """The head of a target's answer, and its body as it arrives.

    Parameters
    ----------
    status : int
    headers : list of (bytes, bytes)
        What callers receive.
    is_not_run : bool
        Whether the target says that it did not run the request.
    is_misdirected : bool
        Whether another target has the address now.
    is_authentic : bool
        Whether the answer belongs to this request and bears the target's signature.
    is_leaving : bool
        Whether the target closes its connections.
    load : tuple of int or None
        Running, waiting and slots, where the target tells.
    chunks : async iterator of bytes
    """

    __slots__ = (
        "chunks",
        "headers",
        "is_authentic",
        "is_leaving",
        "is_not_run",
        "is_misdirected",
        "load",
        "status",
    )

    def __init__(
        self,
        status,
        headers,
        is_not_run,
        is_misdirected,
        is_authentic,
        is_leaving,
        load,
        chunks,
    ):
        self.status = status
        self.headers = headers
        self.is_not_run = is_not_run
        self.is_misdirected = is_misdirected
        self.is_authentic = is_authentic
        self.is_leaving = is_leaving
        self.load = load
        self.chunks = chunks

    @property
    def is_success(self):
        """Whether the status tells of success."""
        return 200 <= self.status < 300
