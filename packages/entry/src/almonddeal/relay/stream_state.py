"""State of a streamed response across its attempts."""

from contextlib import contextmanager

from almonddeal.relay.event_sequence import EventSequence
from almonddeal_common.clock import monotonic_ms

LOST_DOMAIN_MS = 1500.0  # for which a failure domain may stay without its engines


class KvCopy:
    """Copy of a run's KV cache at a backup engine.

    Parameters
    ----------
    backup : TrackedTarget
        The engine that holds the copy.
    issuer_address : str
        Address of the engine that issued `copy_id`: the backup, or the engine that
        sent the copy.
    copy_id : str
        Id of the copy at the issuer.
    """

    __slots__ = ("_backup_born_ms", "backup", "copy_id", "issuer_address")

    def __init__(self, backup, issuer_address, copy_id):
        self.backup = backup
        self.issuer_address = issuer_address
        self.copy_id = copy_id
        self._backup_born_ms = backup.announcement.born_ms

    def is_valid(self, targets, now_ms):
        """Tell whether the backup is the same process and takes requests.

        A draining backup is left out: a resume is a new request to it.
        """
        return (
            targets.is_usable(self.backup)
            and self.backup.announcement.born_ms == self._backup_born_ms
            and self.backup.ejected_until_ms <= now_ms
        )


SURVIVAL_MS = 500.0  # of generation, after which a prompt did not crash its engine
MIN_SURVIVED_EVENTS = 10  # after a stall of this process, events arrive all at once


class AttemptProgress:
    """How far an attempt is, and when its engine last sent an event.

    Attributes
    ----------
    has_response : bool
        Whether the engine has started its response, which it does with the first token.
    request_limit_per_s : float or None
        Limit that the engine named in the head of its response.
    retry_after_ms : float or None
        Pause for which the engine asked there.
    has_event : bool
        Whether the attempt has received an event.
    has_fallen_silent : bool
        Whether the engine, and not the network, seemed to have failed as it was left.
    """

    __slots__ = (
        "_first_event_ms",
        "_is_sending",
        "_last_event_ms",
        "_n_events",
        "_silent_since_ms",
        "has_event",
        "has_fallen_silent",
        "has_response",
        "request_limit_per_s",
        "retry_after_ms",
    )

    def __init__(self):
        self._first_event_ms = 0.0
        self._is_sending = False
        self._n_events = 0
        self.has_response = False
        self.request_limit_per_s = None
        self.retry_after_ms = None
        self._last_event_ms = 0.0
        self._silent_since_ms = 0.0
        self.has_event = False
        self.has_fallen_silent = False

    @contextmanager
    def sending(self):
        """Exclude the time in the context, which the caller takes to read."""
        self._is_sending = True
        try:
            yield
        finally:
            self._is_sending = False

    def record_response(self, now_ms):
        """Record that the head of a successful response was received."""
        self.has_response = True
        self._last_event_ms = self._first_event_ms = now_ms

    @property
    def last_received_ms(self):
        """When the head of the response or the last event was received."""
        return self._last_event_ms

    def record_events(self, n_events, now_ms):
        """Record that events were received and sent on."""
        if not self.has_event:
            self._first_event_ms = now_ms
        self._last_event_ms = now_ms
        self._n_events += n_events
        self.restart(now_ms)
        self.has_event = True

    @property
    def has_survived(self):
        """Whether the engine has generated for long enough not to crash any more."""
        duration_ms = self._last_event_ms - self._first_event_ms
        return duration_ms >= SURVIVAL_MS and self._n_events >= MIN_SURVIVED_EVENTS

    def restart(self, now_ms):
        """Start a new period of silence."""
        self._silent_since_ms = now_ms

    def silence_ms(self, now_ms):
        """Return the time since the last event; 0 before the first."""
        if self._is_sending or not self.has_event:
            return 0.0
        return now_ms - self._silent_since_ms


class Stream:
    """State of one streamed response over all its attempts.

    Parameters
    ----------
    admitted : AdmittedRequest
    writer : object
        Writes the response to the caller.

    Attributes
    ----------
    sequence : EventSequence
        Which events were sent to the caller.
    is_started, is_ended : bool
        Whether the response head, and the end of the response, were sent.
    origin : StreamOrigin or None
        Names the software version that began the stream; None before the first event.
    status : int or None
    media_type : bytes or None
        Status and media type of the response whose head was sent.
    copy : KvCopy or None
        During an attempt, the copy that its engine makes; between attempts, the copy to
        resume from.
    refusing_targets, failed_targets : set of str
        Targets that refused the request, and those at which an attempt failed.
    lost_ms_by_domain : dict of str to float
        When the last engine of the stream was lost, by its failure domain.
    error_response : tuple or None
        Error response of an engine, with its body; sent if no attempt succeeds.
    last_sent_ms : float
        When events were last sent to the caller.
    n_sends : int
        Finished attempts that an engine may have executed: those that succeeded, or
        failed otherwise than with `NOT_REACHED` or `TARGET_REFUSED`.
    n_attempts : int
        All attempts.
    crashes : list of SegmentEvidence
        Crashes of engines that had started to respond, of which this request may be the
        cause: none from before an engine survived it.
    has_left_silent_engine : bool
        Whether the last engine that may have executed the request was left as it was
        silent; it may be sound.
    has_retry : bool
        Whether the retry for the next attempt was taken from the budget already.
    run : Run or None
        Last reported state of the run.
    """

    __slots__ = (
        "admitted",
        "copy",
        "crashes",
        "error_response",
        "failed_targets",
        "has_left_silent_engine",
        "has_retry",
        "is_ended",
        "is_started",
        "last_sent_ms",
        "lost_ms_by_domain",
        "media_type",
        "n_attempts",
        "n_sends",
        "origin",
        "refusing_targets",
        "run",
        "sequence",
        "status",
        "writer",
    )

    def __init__(self, admitted, writer):
        self.admitted = admitted
        self.writer = writer
        self.sequence = EventSequence(admitted.request.last_event_id)
        self.is_started = False
        self.is_ended = False
        self.origin = None
        self.status = None
        self.media_type = None
        self.copy = None
        self.run = None
        self.refusing_targets = set()
        self.failed_targets = set()
        self.lost_ms_by_domain = {}
        self.error_response = None
        self.last_sent_ms = 0.0
        self.n_sends = 0
        self.n_attempts = 0
        self.crashes = []
        self.has_left_silent_engine = False
        self.has_retry = False

    @property
    def tries_until_deadline(self):
        """Whether the stream looks for an engine until its deadline.

        That is so once its response has started, or it left an engine that may be
        sound, which would have completed it.
        """
        return self.is_started or self.has_left_silent_engine

    @property
    def request_id(self):
        """Id of the request."""
        return self.admitted.request.request_id

    @property
    def software_version(self):
        """Version of the engine that began the stream, which alone may continue it.

        None before the first event.
        """
        return None if self.origin is None else self.origin.version

    @property
    def last_event_id(self):
        """Id of the last event sent to the caller, or None."""
        return self.sequence.last_id

    def candidates(self, targets, excluded=()):
        """Return the targets at which the stream may begin or continue, as a list.

        Parameters
        ----------
        targets : TargetTable
        excluded : collection of str
            Ids of targets to leave out.
        """
        return targets.candidates(
            self.admitted.service.name, excluded, self.software_version
        )

    def unpaused_candidates(self, context):
        """Return the candidates that neither refused the stream nor hold off.

        Parameters
        ----------
        context : RelayContext
        """
        return context.candidates(
            self.admitted.service.name, self.refusing_targets, self.software_version
        )

    def forget_refusals(self):
        """Let the targets that refused the stream be tried again."""
        self.failed_targets -= self.refusing_targets
        self.refusing_targets.clear()

    def is_compatible(self, announcement):
        """Tell whether a target may serve the stream.

        It has to be of the service to which the route sends the stream now, and of the
        software version that began it.
        """
        if announcement.service_name != self.admitted.service.name:
            return False
        return self.software_version in (None, announcement.version)

    def can_use_copy(self, context):
        """Tell whether the stream may resume from its copy now.

        Parameters
        ----------
        context : RelayContext
        """
        copy = self.copy
        return (
            copy is not None
            and self.is_compatible(copy.backup.announcement)
            and copy.is_valid(context.targets, monotonic_ms())
            and context.allows(copy.backup)
        )

    def outside_lost_domains(self, engines, now_ms):
        """Return the engines outside domains where this stream just lost one.

        Returns all of them if there are no others.
        """
        lost_domains = {
            domain
            for domain, lost_ms in self.lost_ms_by_domain.items()
            if now_ms - lost_ms <= LOST_DOMAIN_MS
        }
        others = [
            engine
            for engine in engines
            if engine.announcement.failure_domain not in lost_domains
        ]
        return others or engines

    @property
    def n_tokens(self):
        """Most KV-cache tokens that the run may use, at most an engine's capacity."""
        generation = self.admitted.request.generation
        if generation is None:
            return 0
        n_tokens = generation.n_prompt_tokens + generation.n_output_tokens
        traits = self.admitted.service.engine
        return n_tokens if traits is None else min(n_tokens, traits.n_cache_tokens)
