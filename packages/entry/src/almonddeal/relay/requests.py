"""Types that the relay exchanges with the HTTP interface and the target client."""

from hashlib import blake2b

from almonddeal_common.clock import monotonic_ms


class Generation:
    """Token counts and identity of the generation that a request asks for.

    Parameters
    ----------
    n_prompt_tokens : int
    n_output_tokens : int
        Upper limit of generated tokens.
    fingerprint : str
        Digest of the request; equal for equal requests, also of other streams.
    last_prefix_hash : str or None
        Hash of the last prompt segment, which is specific to this request or session.
    shared_prefix_hashes : tuple of str
        Hashes of the segments before the last one, which other requests may share.
    """

    __slots__ = (
        "fingerprint",
        "last_prefix_hash",
        "n_output_tokens",
        "n_prompt_tokens",
        "shared_prefix_hashes",
    )

    def __init__(
        self,
        n_prompt_tokens,
        n_output_tokens,
        fingerprint,
        last_prefix_hash=None,
        shared_prefix_hashes=(),
    ):
        self.n_prompt_tokens = n_prompt_tokens
        self.n_output_tokens = n_output_tokens
        self.fingerprint = fingerprint
        self.last_prefix_hash = last_prefix_hash
        self.shared_prefix_hashes = shared_prefix_hashes


class CallerRequest:
    """One request of a caller, with its complete body.

    Parameters
    ----------
    request_id : str
    method : str
    host : str
        In lower case, without a port.
    path : str
        Without a query.
    path_and_query : bytes
        Path and query as received.
    headers : list of (bytes, bytes)
        Headers that are forwarded to targets unchanged.
    body : bytes
    timeout_ms : float or None
        How long the caller waits, from `arrived_ms`.
    key : str or None
        API key.
    last_event_id : int or None
        Last event that the caller received, if it resumes a stream.
    generation : Generation or None
    resumed_request_id : str or None
        Id of the caller's request that brought the first event of a resumed stream.

    Attributes
    ----------
    arrived_ms : float
        When the request was received, body included.
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
        "path_and_query",
        "request_id",
        "resumed_request_id",
        "timeout_ms",
    )

    def __init__(
        self,
        request_id,
        method,
        host,
        path,
        path_and_query,
        headers,
        body,
        timeout_ms,
        key,
        last_event_id,
        generation,
        resumed_request_id=None,
    ):
        self.arrived_ms = monotonic_ms()
        self.request_id = request_id
        self.method = method
        self.host = host
        self.path = path
        self.path_and_query = path_and_query
        self.headers = headers
        self.body = body
        self.timeout_ms = timeout_ms
        self.key = key
        self.last_event_id = last_event_id
        self.generation = generation
        self.resumed_request_id = resumed_request_id

    @property
    def stream_fingerprint(self):
        """Digest that the runs of one stream share, also over its caller's requests.

        Equal requests of other streams have other ones: the id of the request that
        brought the first event is part of it.
        """
        stream_id = self.request_id
        if self.last_event_id is not None and self.resumed_request_id is not None:
            stream_id = self.resumed_request_id
        digest = blake2b(self.generation.fingerprint.encode(), digest_size=12)
        digest.update(b":" + stream_id.encode())
        return digest.hexdigest()


class AdmittedRequest:
    """A request with its route, service, customer and deadline."""

    __slots__ = (
        "_fingerprint",
        "customer",
        "deadline_ms",
        "request",
        "route",
        "service",
    )

    def __init__(self, request, route, service, customer):
        self._fingerprint = None
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
    def fingerprint(self):
        """Digest of caller, method, path and body; equal for repeats of a request."""
        if self._fingerprint is None:
            self._fingerprint = self._compute_fingerprint()
        return self._fingerprint

    def _compute_fingerprint(self):
        request = self.request
        caller = request.key if self.customer is None else self.customer.name
        digest = blake2b(request.body, digest_size=12)
        for field in (
            (caller or "").encode(),
            request.method.encode(),
            request.host.encode(),
            request.path_and_query,
        ):
            digest.update(b"%d:" % len(field) + field)
        return digest.hexdigest()

    @property
    def left_ms(self):
        """Time left until the deadline in ms; may be negative."""
        return self.deadline_ms - monotonic_ms()

    @property
    def priority(self):
        """Priority of the customer if set, else of the route; 0 is the most urgent."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority


class Attempt:
    """One attempt to send a request to one target.

    Parameters
    ----------
    admitted : AdmittedRequest
    target : AnnouncedTarget
    backup_address : str or None
        Engine to which the target replicates the KV cache of the run.
    copy : KvCopy or None
        Copy of the KV cache from which the target resumes.
    last_event_id : int or None
        Event after which the target resumes.
    may_send : callable
        ``may_send()`` tells whether the target still takes requests. Connecting to it
        takes time, so this is asked again just before the request is sent.
    """

    __slots__ = (
        "admitted",
        "backup_address",
        "copy",
        "last_event_id",
        "may_send",
        "target",
    )

    def __init__(
        self,
        admitted,
        target,
        backup_address=None,
        copy=None,
        last_event_id=None,
        may_send=lambda: True,
    ):
        self.admitted = admitted
        self.target = target
        self.backup_address = backup_address
        self.copy = copy
        self.last_event_id = last_event_id
        self.may_send = may_send

    @property
    def priority(self):
        """Priority at the target, 0 is the most urgent.

        At an engine, a resumed stream is one step more urgent than a new one:
        engines preempt the newest of the least urgent runs, which it would be.
        """
        is_new = self.last_event_id is None
        has_generation = self.admitted.request.generation is not None
        return self.admitted.priority + (has_generation and is_new)


class QueryResponse:
    """What the response of a target to a query states of the target.

    A query has no id, so that its response is taken for one of the target.

    Parameters
    ----------
    is_leaving, retry_after_ms
        As of a `TargetResponse`.
    """

    __slots__ = ("is_leaving", "retry_after_ms")

    is_of_target = True
    is_of_other_request = False

    def __init__(self, is_leaving=False, retry_after_ms=None):
        self.is_leaving = is_leaving
        self.retry_after_ms = retry_after_ms


class TargetResponse:
    """Response of a target: the head, and the body as a stream of chunks.

    Parameters
    ----------
    status : int
    headers : list of (bytes, bytes)
        Headers that callers receive.
    is_not_run : bool
        Whether the target states that it did not execute the request.
    is_misdirected : bool
        Whether the address belongs to another target now.
    is_authentic : bool
        Whether the response has a signature header, whose value is not verified, and
        the id of the request.
    is_leaving : bool
        Whether the response states that the target is about to leave.
    reported_counts : tuple of int or None
        Number of running and of waiting requests, and of slots; None if not reported.
    request_limit_per_s : float or None
        Requests a second that the target accepts from all instances; None for no limit.
    is_of_other_request : bool
        Whether the response has the id of another request: nothing is known then about
        the one that was sent.
    retry_after_ms : float or None
        For how long the target, which rejects the request, wants none from this
        instance; None if it did not say.
    chunks : async iterator of bytes
    """

    __slots__ = (
        "chunks",
        "headers",
        "is_authentic",
        "is_leaving",
        "is_misdirected",
        "is_not_run",
        "is_of_other_request",
        "reported_counts",
        "request_limit_per_s",
        "retry_after_ms",
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
        reported_counts,
        chunks,
        request_limit_per_s=None,
        is_of_other_request=False,
        retry_after_ms=None,
    ):
        self.status = status
        self.headers = headers
        self.is_not_run = is_not_run
        self.is_misdirected = is_misdirected
        self.is_authentic = is_authentic
        self.is_leaving = is_leaving
        self.reported_counts = reported_counts
        self.chunks = chunks
        self.request_limit_per_s = request_limit_per_s
        self.is_of_other_request = is_of_other_request
        self.retry_after_ms = retry_after_ms

    @property
    def is_success(self):
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    @property
    def is_of_target(self):
        """Whether the response is of the target to which the request was sent.

        Error responses may have no signature.
        """
        if self.is_misdirected or self.is_of_other_request:
            return False
        return self.is_authentic or not self.is_success

    @property
    def media_type(self):
        """Media type of the body, without parameters; None if not given."""
        value = dict(self.headers).get(b"content-type")
        return None if value is None else value.partition(b";")[0].strip().lower()
