"""Limits of requests a second that targets name, divided among the instances.

A target names its limit to all instances together, in the responses that each of them
happens to receive. Instances therefore report the limits that they were told, with the
number of requests that their callers send for the service, and each takes the share of
the limit that it has in these requests.
"""

import random

from almonddeal.announced.versioned_map import VersionedMap
from almonddeal.relay.admission import RetrySchedule
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.wire.gen.ttypes import LimitReport

HOLD_MS = 5000.0  # for which a limit stands, as not each response may name it
EXPIRY_MS = 30_000.0  # for which it stands while the target sends no other response
# A target that accepts no requests gets some all the same: only its responses tell that
# it accepts more again.
MIN_LIMIT_PER_S = 0.25
REPORT_INTERVAL_MS = 500.0
# Reports are repeated every second. An instance that is cut off from the others keeps
# their shares for longer, as they are still sending.
REPORT_EXPIRY_MS = 15_000.0
NEVER_MS = 1e12  # age of what has not happened
BURST_MS = 250.0  # of its rate, which an instance may send at once

log = get_logger("relay")


class _NamedLimit:
    """Limit of one target process, and the token bucket of this instance's share.

    Attributes
    ----------
    named_ms, unnamed_ms : float
        When the target last sent a response with and one without a limit, to any
        instance.
    reported_ms : float
        When this instance last reported the limit.
    """

    __slots__ = (
        "_demand_by_instance",
        "_refilled_ms",
        "_tokens",
        "limit_per_s",
        "named_ms",
        "reported_ms",
        "service_name",
        "unnamed_ms",
    )

    def __init__(self, service_name, limit_per_s, named_ms):
        self.unnamed_ms = monotonic_ms() - NEVER_MS
        self.service_name = service_name
        self.limit_per_s = limit_per_s
        self.named_ms = named_ms
        self.reported_ms = float("-inf")
        self._demand_by_instance = {}
        # Otherwise the first tokens of all instances come at the same moment.
        self._tokens = random.random()
        self._refilled_ms = monotonic_ms()

    def is_in_force(self, now_ms):
        """Tell whether the target still limits its requests, as far as is known."""
        age_ms = now_ms - self.named_ms
        is_lifted = self.unnamed_ms > self.named_ms
        return age_ms <= (HOLD_MS if is_lifted else EXPIRY_MS)

    def record_demand(self, instance, n_requests, now_ms):
        """Record the number of requests of another instance."""
        self._demand_by_instance[instance] = (n_requests, now_ms)

    def rate_per_s(self, n_own_requests, now_ms):
        """Return the requests a second that this instance may send."""
        # One request more for each: an instance without any yet may send its first.
        n_other_requests = sum(
            n_requests + 1
            for n_requests, reported_ms in self._demand_by_instance.values()
            if now_ms - reported_ms <= REPORT_EXPIRY_MS
        )
        share = (n_own_requests + 1) / (n_own_requests + 1 + n_other_requests)
        return max(MIN_LIMIT_PER_S, self.limit_per_s) * share

    def refill(self, rate_per_s, now_ms):
        """Add the tokens since the last call; return how many there are."""
        capacity = max(1.0, rate_per_s * BURST_MS / 1000)
        added = rate_per_s * (now_ms - self._refilled_ms) / 1000
        self._tokens = min(capacity, self._tokens + added)
        self._refilled_ms = now_ms
        return self._tokens

    def take(self):
        """Take one token."""
        self._tokens -= 1.0


class NamedLimits:
    """Limits that targets named to this or another instance.

    Parameters
    ----------
    instance : str
    count_requests : callable
        ``count_requests(service_name)`` returns the number of requests that callers
        sent to this instance for a service recently.

    Attributes
    ----------
    reports : VersionedMap
        Reports of this instance, published to the others.
    """

    __slots__ = (
        "_count_requests",
        "_instance",
        "_limit_by_key",
        "_retry_schedule_by_service",
        "reports",
    )

    def __init__(self, instance, count_requests):
        self.reports = VersionedMap()
        self._instance = instance
        self._count_requests = count_requests
        self._limit_by_key = {}
        self._retry_schedule_by_service = {}

    def record(self, announcement, response, request_id):
        """Record whether a target named a limit in a response.

        Parameters
        ----------
        announcement : AnnouncedTarget
        response : TargetResponse
        request_id : str
            For the log.
        """
        key = (announcement.target, announcement.born_ms)
        limit_per_s = response.request_limit_per_s
        if limit_per_s is None:
            limit = self._limit_by_key.get(key)
            if limit is not None and response.is_success and response.is_authentic:
                limit.unnamed_ms = monotonic_ms()
            return
        service_name = announcement.service_name
        limit = self._name(key, service_name, limit_per_s, monotonic_ms(), request_id)
        if monotonic_ms() - limit.reported_ms >= REPORT_INTERVAL_MS:
            self._report(key, limit)

    def merge(self, report):
        """Merge a `LimitReport` of another instance."""
        now_ms = monotonic_ms()
        if report.named_age_ms > HOLD_MS:
            return
        key = (report.target, report.born_ms)
        is_new = key not in self._limit_by_key
        limit = self._name(
            key,
            report.service_name,
            report.limit_per_s,
            now_ms - report.named_age_ms,
            None,
        )
        limit.record_demand(report.instance, report.n_requests, now_ms)
        limit.unnamed_ms = max(limit.unnamed_ms, now_ms - report.unnamed_age_ms)
        if is_new:
            self._report(key, limit)

    def _name(self, key, service_name, limit_per_s, named_ms, request_id):
        """Apply a named limit, if it is newer than the known one; return the state."""
        limit = self._limit_by_key.get(key)
        if limit is None:
            limit = _NamedLimit(service_name, limit_per_s, named_ms)
            self._limit_by_key[key] = limit
            decide(
                log,
                "target limits its requests",
                target=key[0],
                born_ms=key[1],
                limit_per_s=limit_per_s,
                age_ms=round(monotonic_ms() - named_ms),
                request=request_id,
            )
        elif named_ms > limit.named_ms:
            limit.limit_per_s = limit_per_s
            limit.named_ms = named_ms
        return limit

    def _report(self, key, limit):
        target, born_ms = key
        now_ms = monotonic_ms()
        limit.reported_ms = now_ms
        report = LimitReport(
            self._instance,
            limit.service_name,
            target,
            born_ms,
            limit.limit_per_s,
            round(now_ms - limit.named_ms),
            self._count_requests(limit.service_name),
            round(min(now_ms - limit.unnamed_ms, NEVER_MS)),
        )
        self.reports.put(key, report)

    def refresh(self):
        """Report the limits in force again, and drop those no longer named."""
        now_ms = monotonic_ms()
        for key, limit in list(self._limit_by_key.items()):
            if limit.is_in_force(now_ms):
                self._report(key, limit)
                continue
            del self._limit_by_key[key]
            self.reports.discard(key)
            decide(log, "target no longer limits its requests", target=key[0])

    def allows(self, target):
        """Tell whether this instance may send a request to a `TrackedTarget` now."""
        limit = self._limit_in_force(target.announcement)
        if limit is None:
            return True
        now_ms = monotonic_ms()
        return limit.refill(self._rate_per_s(limit, now_ms), now_ms) >= 1.0

    def take(self, target):
        """Count a request that is sent to a `TrackedTarget`."""
        limit = self._limit_in_force(target.announcement)
        if limit is not None:
            limit.take()

    def retry_after_ms(self, service_name, targets):
        """Return the Retry-After time in ms of a request that no target may get.

        Each caller is told the time of another token, so that not all return for the
        same one.

        Parameters
        ----------
        service_name : str
        targets : list of TrackedTarget
            The targets that would be tried.
        """
        now_ms = monotonic_ms()
        limits = [self._limit_in_force(target.announcement) for target in targets]
        rates_per_s = [self._rate_per_s(limit, now_ms) for limit in limits if limit]
        spacing_ms = 1000 / sum(rates_per_s) if rates_per_s else 0.0
        schedule = self._retry_schedule_by_service.setdefault(
            service_name, RetrySchedule()
        )
        return schedule.retry_after_ms(spacing_ms, spacing_ms)

    def _limit_in_force(self, announcement):
        limit = self._limit_by_key.get((announcement.target, announcement.born_ms))
        if limit is None or not limit.is_in_force(monotonic_ms()):
            return None
        return limit

    def _rate_per_s(self, limit, now_ms):
        return limit.rate_per_s(self._count_requests(limit.service_name), now_ms)
