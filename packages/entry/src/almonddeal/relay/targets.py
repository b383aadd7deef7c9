"""Targets known to an entry instance: announcements, measurements and ejection."""

import math

import anyio

from almonddeal.announced.announcement import DEREGISTERED, DRAINING, READY, supersedes
from almonddeal.announced.stream_origins import RETENTION_MS
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import decide, get_logger

MIN_EJECTION_MS = 400  # doubles with each ejection in a row
MAX_EJECTION_MS = 8000
PRIOR_LATENCY_MS = 50.0  # of a target without measurements
MEASUREMENT_DECAY_MS = 3000.0  # time constant with which measurements lose weight
MEASUREMENT_GAIN = 0.25  # weight of a new measurement
REPEATED_LOSS_MS = 400  # a second connection loss within this time ejects a target
MIN_DOMAIN_EJECTIONS = 2  # in one failure domain, for it to count as lost
DOMAIN_LOSS_MS = 1000  # window of these ejections, and how long the domain is avoided
OUTDATED_MS = 3000  # more than two announcement intervals

log = get_logger("targets")


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
        cancels it if its request can go on elsewhere.
    last_activity_ms : float
        When the last events of a stream arrived, or a probe succeeded.
    probed_ms : float
        When the last probe was sent.
    silent_ms : float
        When a probe failed last.
    incarnation_since_ms : float
        When the present incarnation of the target became known here.
    is_leaving : bool
        Whether the present incarnation stated in a response that it is about to leave.
    suspicion : anyio.Event
        Set, and replaced by a new event, when the target may be lost, so that attempts
        probe it at once.
    """

    __slots__ = (
        "_failure_rate",
        "_last_loss_ms",
        "_measured_ms",
        "_n_successive_ejections",
        "announcement",
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
        self.is_leaving = False
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
        """Cancel the attempts of this instance that can go on at another target."""
        for leave_attempt in list(self.leave_by_scope.values()):
            leave_attempt()


class TargetTable:
    """Known targets by id, merged from the announcements that control sends."""

    def __init__(self):
        self.target_by_id = {}
        self._id_by_address = {}
        self._ejected_ms_by_domain = {}
        self._announced_ms_by_version_by_service = {}

    def merge(self, announcement):
        """Merge an announcement; returns whether it was newer than the known one."""
        target = self.target_by_id.get(announcement.target)
        if not supersedes(
            announcement, None if target is None else target.announcement
        ):
            return False
        if target is None:
            target = self.target_by_id[announcement.target] = TrackedTarget(
                announcement
            )
        else:
            self._record_version(target.announcement)
            if announcement.born_ms != target.announcement.born_ms:
                target.reset()
            target.announcement = announcement
        self._record_version(announcement)
        self._claim_address(announcement)
        decide(
            log,
            "received an announcement",
            target=announcement.target,
            state=announcement.state,
            software_version=announcement.version,
            born_ms=announcement.born_ms,
            address=announcement.address,
        )
        return True

    def _record_version(self, announcement):
        announced_ms_by_version = self._announced_ms_by_version_by_service.setdefault(
            announcement.service_name, {}
        )
        announced_ms_by_version[announcement.version] = monotonic_ms()

    def announced_versions(self, service_name):
        """Return the software versions of a service, as a set.

        Includes those of targets that left while streams that they began may still be
        resumed.
        """
        oldest_ms = monotonic_ms() - RETENTION_MS
        announced_ms_by_version = self._announced_ms_by_version_by_service.get(
            service_name, {}
        )
        left = {v for v, ms in announced_ms_by_version.items() if ms >= oldest_ms}
        present = {
            target.announcement.version
            for target in self.target_by_id.values()
            if target.announcement.service_name == service_name
            and target.announcement.state in (READY, DRAINING)
        }
        return present | left

    def _claim_address(self, announcement):
        """Assign an address to the target that started last."""
        owner = self.target_by_id.get(self._id_by_address.get(announcement.address))
        if owner is None or owner.announcement.born_ms <= announcement.born_ms:
            self._id_by_address[announcement.address] = announcement.target

    def get(self, target_id):
        """Return the `TrackedTarget` with an id, or None."""
        return self.target_by_id.get(target_id)

    def is_usable(self, target):
        """Tell whether a target is registered, holds its address and is not leaving.

        A target that restarted after its announcement is not used until the next one.
        """
        announcement = target.announcement
        if target.is_leaving or announcement.state in (DEREGISTERED, DRAINING):
            return False
        if target.outdated_until_ms > monotonic_ms():
            return False
        return self._id_by_address.get(announcement.address) == announcement.target

    def candidates(self, service_name, excluded=(), software_version=None):
        """Return the targets of a service for new requests, as a list.

        Ejected targets, those whose announcements stopped, and those in a lost failure
        domain are included only if there is no other.

        Parameters
        ----------
        service_name : str
        excluded : collection of str
            Ids of targets to leave out.
        software_version : str or None
            Version that the targets must have; None for any.
        """
        now_ms = monotonic_ms()
        usable = [
            target
            for target in self.target_by_id.values()
            if target.announcement.service_name == service_name
            and self.is_usable(target)
            and target.announcement.target not in excluded
            and software_version in (None, target.announcement.version)
        ]
        healthy = [
            target
            for target in usable
            if target.announcement.state == READY and target.ejected_until_ms <= now_ms
        ]
        outside_lost_domains = [
            t for t in healthy if not self._is_in_lost_domain(t, now_ms)
        ]
        return outside_lost_domains or healthy or usable

    def eject(self, target, reason, request_id):
        """Eject a target for a time: it is used only if there is no other.

        Parameters
        ----------
        target : TrackedTarget
        reason : str
            For the log.
        request_id : str
            Request that met the failure, for the log.
        """
        now_ms = monotonic_ms()
        if now_ms < target.ejected_until_ms:
            return
        duration_ms = target.start_ejection(now_ms)
        self._record_ejection(target, now_ms)
        decide(
            log,
            "ejected a target",
            target=target.announcement.target,
            reason=reason,
            request=request_id,
            pause_ms=round(duration_ms),
        )

    def record_response(self, announcement, response, request_id):
        """Record whether a target states in a response that it is about to leave.

        That stands until another incarnation of the target is announced, whatever this
        one announces.

        Parameters
        ----------
        announcement : AnnouncedTarget
            Of the target, as the request was sent.
        response : TargetResponse
        request_id : str
            For the log.
        """
        if not (response.is_leaving and response.is_of_target):
            return
        target = self.target_by_id.get(announcement.target)
        if target is None or target.announcement.born_ms != announcement.born_ms:
            return
        if target.is_leaving:
            return
        target.is_leaving = True
        decide(
            log,
            "target is leaving",
            target=announcement.target,
            born_ms=announcement.born_ms,
            request=request_id,
        )

    def record_restart(self, target, start_ms, request_id):
        """Record that a target started at another time than its announcement says."""
        target.outdated_until_ms = monotonic_ms() + OUTDATED_MS
        decide(
            log,
            "target restarted after its announcement",
            target=target.announcement.target,
            born_ms=target.announcement.born_ms,
            reported_ms=start_ms,
            request=request_id,
        )

    def record_connection_loss(self, target, request_id):
        """Record a lost connection; the second one in a short time ejects the target.

        A single loss may have causes other than the target.
        """
        if target.record_loss(monotonic_ms()):
            self.eject(target, "repeated connection loss", request_id)

    def _record_ejection(self, target, now_ms):
        """Record an ejection; several in one failure domain have the rest probed."""
        key = (target.announcement.service_name, target.announcement.failure_domain)
        ejected_ms_by_id = self._ejected_ms_by_domain.setdefault(key, {})
        ejected_ms_by_id[target.announcement.target] = now_ms
        for target_id, ejected_ms in list(ejected_ms_by_id.items()):
            if now_ms - ejected_ms > DOMAIN_LOSS_MS:
                del ejected_ms_by_id[target_id]
        if len(ejected_ms_by_id) >= MIN_DOMAIN_EJECTIONS:
            self._suspect_domain(*key)

    def _suspect_domain(self, service_name, failure_domain):
        for target in self.target_by_id.values():
            announcement = target.announcement
            if (announcement.service_name, announcement.failure_domain) == (
                service_name,
                failure_domain,
            ):
                target.suspect()

    def suspect(self, target_id, born_ms):
        """Have a target probed at once, as another instance moved a run from it."""
        target = self.target_by_id.get(target_id)
        if target is not None and target.announcement.born_ms == born_ms:
            target.suspect()

    def has_activity(self, announcement, since_ms):
        """Tell whether engines of other failure domains were active since a time.

        If none was, this instance may be cut off from all of them.

        Parameters
        ----------
        announcement : AnnouncedTarget
            An engine of the failure domain to leave out.
        since_ms : float
        """
        return any(
            target.last_activity_ms >= since_ms
            and target.announcement.failure_domain != announcement.failure_domain
            for target in self.target_by_id.values()
        )

    def _is_in_lost_domain(self, target, now_ms):
        """Tell whether several targets of its failure domain were ejected recently.

        A target that started after those ejections is not affected.
        """
        key = (target.announcement.service_name, target.announcement.failure_domain)
        ejected_ms_by_id = self._ejected_ms_by_domain.get(key, {})
        recent = [
            ms for ms in ejected_ms_by_id.values() if now_ms - ms <= DOMAIN_LOSS_MS
        ]
        if len(recent) < MIN_DOMAIN_EJECTIONS:
            return False
        return target.incarnation_since_ms < min(recent)
