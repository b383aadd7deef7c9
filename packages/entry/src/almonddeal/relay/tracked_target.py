"""A target as one entry instance knows it: announcement, measurements, ejection."""

import math
from collections import deque

import anyio

from almonddeal_common.clock import monotonic_ms

MIN_EJECTION_MS = 400  # doubles with each ejection in a row
MAX_EJECTION_MS = 8000
PRIOR_LATENCY_MS = 50.0  # of a target without measurements
MEASUREMENT_DECAY_MS = 3000.0  # time constant with which measurements lose weight
MEASUREMENT_GAIN = 0.25  # weight of a new measurement
MAX_BEGUN = 2000
REPEATED_LOSS_MS = 400  # a second connection loss within this time ejects a target


class TrackedTarget:
    """A target with its announcement and what this instance measured of it.

    Attributes
    ----------
    announcement : AnnouncedTarget
        Its newest announcement.
    n_in_flight : int
        Requests of this instance in flight at the target.
    latency_ms : float
        Smoothed latency of plain responses.
    reported_counts : tuple of int or None
        Last reported number of running and of waiting requests, and of slots.
    counts_reported_ms : float
        When `reported_counts` was received.
    ejected_until_ms : float
        Until then the target is a candidate only if there is no other.
    outdated_until_ms : float
        Until then the target is not used, as it restarted after its announcement.
    leave_by_scope : dict of anyio.CancelScope to callable
        Of attempts in flight, by the scope that cancels the attempt: ``leave()``
        cancels it if its request can continue elsewhere.
    confirmed_ms : float
        Until when the announced process is known to have run; infinite while control
        hears the target.
    last_activity_ms : float
        When the last events of a stream arrived, or a probe succeeded.
    probed_ms : float
        When the last probe was sent.
    silent_ms : float
        When a probe failed last.
    incarnation_since_ms : float
        When the present incarnation of the target became known here.
    is_leaving : bool
        Whether the present incarnation stated in a response, to this or another
        instance, that it is about to leave.
    unproven_until_ms : float
        Until then the target is not used, as its response that it is about to leave may
        be one of the present incarnation.
    suspicion : anyio.Event
        Set, and replaced by a new event, when the target may be lost, so that attempts
        probe it at once.
    """

    __slots__ = (
        "_begun",
        "_failure_rate",
        "_last_loss_ms",
        "_measured_ms",
        "_n_successive_ejections",
        "announcement",
        "confirmed_ms",
        "counts_reported_ms",
        "ejected_until_ms",
        "incarnation_since_ms",
        "is_leaving",
        "last_activity_ms",
        "latency_ms",
        "leave_by_scope",
        "n_in_flight",
        "outdated_until_ms",
        "probed_ms",
        "reported_counts",
        "silent_ms",
        "suspicion",
        "unproven_until_ms",
    )

    def __init__(self, announcement):
        self.announcement = announcement
        self.leave_by_scope = {}
        self.suspicion = anyio.Event()
        self.n_in_flight = 0
        self.last_activity_ms = 0.0
        self.probed_ms = float("-inf")
        self.silent_ms = float("-inf")
        self.reset()

    def __repr__(self):
        return (
            f"<TrackedTarget {self.announcement.target} at {self.announcement.address}>"
        )

    def reset(self):
        """Discard what was observed of an earlier incarnation of the target."""
        self.incarnation_since_ms = monotonic_ms()
        self.confirmed_ms = math.inf
        self._begun = deque(maxlen=MAX_BEGUN)
        self.is_leaving = False
        self.unproven_until_ms = 0.0
        self.latency_ms = PRIOR_LATENCY_MS
        self.ejected_until_ms = 0.0
        self.outdated_until_ms = 0.0
        self.reported_counts = None
        self.counts_reported_ms = 0.0
        self._failure_rate = 0.0
        self._measured_ms = float("-inf")
        self._n_successive_ejections = 0
        self._last_loss_ms = 0.0

    def failure_rate(self, now_ms):
        """Return the smoothed share of failed requests; it decays over time."""
        age_ms = now_ms - self._measured_ms
        return self._failure_rate * math.exp(-age_ms / MEASUREMENT_DECAY_MS)

    def latency_weight(self, now_ms):
        """Return the weight of the smoothed latency by its age, from 0 to 1."""
        return math.exp(-(now_ms - self._measured_ms) / MEASUREMENT_DECAY_MS)

    def expected_latency_ms(self, now_ms, prior_ms):
        """Return the smoothed latency; it decays towards `prior_ms`."""
        weight = self.latency_weight(now_ms)
        return weight * self.latency_ms + (1 - weight) * prior_ms

    def record_outcome(self, is_failure, latency_ms):
        """Record the outcome and latency of one request."""
        now_ms = monotonic_ms()
        failures = self.failure_rate(now_ms)
        self.latency_ms = self.expected_latency_ms(now_ms, latency_ms)
        self.latency_ms += MEASUREMENT_GAIN * (latency_ms - self.latency_ms)
        self._failure_rate = failures + MEASUREMENT_GAIN * (int(is_failure) - failures)
        self._measured_ms = now_ms
        if not is_failure:
            self._n_successive_ejections = 0

    @property
    def is_unheard(self):
        """Whether heartbeats of the target are overdue at control."""
        return self.confirmed_ms < math.inf

    def record_begun(self, request_id, began_ms):
        """Record that the target sent the first event of a stream.

        Parameters
        ----------
        request_id : str
        began_ms : int
            Wall-clock time of the event.
        """
        self._begun.append((request_id, began_ms, monotonic_ms()))

    def unconfirmed_streams(self, start_ms=0):
        """Return the streams that a process that was not announced may have begun.

        Parameters
        ----------
        start_ms : int
            Wall-clock time at which the other process started.

        Returns
        -------
        request_ids : list of str
        """
        return [
            request_id
            for request_id, began_ms, received_ms in self._begun
            if received_ms > self.confirmed_ms and began_ms >= start_ms
        ]

    def record_activity(self):
        """Record that events arrived or a probe succeeded."""
        self.last_activity_ms = monotonic_ms()

    def record_silence(self):
        """Record that a probe failed."""
        self.silent_ms = monotonic_ms()

    @property
    def is_silent(self):
        """Whether a probe failed, and nothing has arrived since."""
        return self.silent_ms > self.last_activity_ms

    def start_ejection(self, now_ms):
        """Eject the target with exponential backoff; returns the duration in ms."""
        duration_ms = min(
            MAX_EJECTION_MS, MIN_EJECTION_MS * 2**self._n_successive_ejections
        )
        self._n_successive_ejections = min(self._n_successive_ejections + 1, 8)
        self.ejected_until_ms = now_ms + duration_ms
        return duration_ms

    def record_loss(self, now_ms):
        """Record a connection loss; returns whether another occurred just before."""
        is_repeated = now_ms - self._last_loss_ms < REPEATED_LOSS_MS
        self._last_loss_ms = now_ms
        return is_repeated

    def suspect(self):
        """Make the attempts at this target probe it at once."""
        self.suspicion.set()
        self.suspicion = anyio.Event()

    def leave(self):
        """Cancel the attempts of this instance that can continue at another target."""
        for leave_attempt in list(self.leave_by_scope.values()):
            leave_attempt()
