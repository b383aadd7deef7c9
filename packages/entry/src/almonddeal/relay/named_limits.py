"""Limits of requests a second that targets name, divided among the instances.

A target names its limit to all instances together, in the responses that each of them
happens to receive. Instances therefore report the limits that they were told, with the
number of requests that their callers send for the service, and each takes the share of
the limit that it has in these requests.
"""

import math
import random
import zlib

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
SHARE_INTERVAL_MS = 100.0  # in which the share is not computed again
NEVER_MS = 1e12  # age of what has not happened
BURST_MS = 250.0  # of its rate, which an instance may send at once
# Instances that send to a target: two for each request a second of its limit, and a few
# more.
SENDERS_PER_REQUEST_PER_S = 2.0
MIN_SENDERS = 4

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
        "_share",
        "_share_ms",
        "_tokens",
        "limit_per_s",
        "named_ms",
        "reported_ms",
        "service_name",
        "target",
        "unnamed_ms",
    )

    def __init__(self, target, service_name, limit_per_s, named_ms):
        self.target = target
        self.unnamed_ms = monotonic_ms() - NEVER_MS
        self.service_name = service_name
        self.limit_per_s = limit_per_s
        self.named_ms = named_ms
        self.reported_ms = float("-inf")
        self._demand_by_instance = {}
        self._share = 0.0
        self._share_ms = float("-inf")
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
        if instance not in self._demand_by_instance:
            self._share_ms = float("-inf")
        self._demand_by_instance[instance] = (n_requests, now_ms)

    def rate_per_s(self, instance, count_requests, now_ms):
        """Return the requests a second that an instance may send.

        Parameters
        ----------
        instance : str
            This instance.
        count_requests : callable
            ``count_requests(service_name)`` returns its demand.
        now_ms : float
        """
        if now_ms - self._share_ms >= SHARE_INTERVAL_MS:
            self._share_ms = now_ms
            n_requests = count_requests(self.service_name)
            self._share = self._compute_share(instance, n_requests, now_ms)
        return max(MIN_LIMIT_PER_S, self.limit_per_s) * self._share

    def _compute_share(self, instance, n_requests, now_ms):
        demand_by_instance = {
            other: n_other_requests
            for other, (n_other_requests, ms) in self._demand_by_instance.items()
            if now_ms - ms <= REPORT_EXPIRY_MS
        }
        demand_by_instance[instance] = n_requests
        senders = self._select_senders(demand_by_instance)
        if instance not in senders:
            return 0.0
        # One request more for each: an instance without any yet may send its first.
        total = sum(demand_by_instance[sender] + 1 for sender in senders)
        return (n_requests + 1) / total

    def _select_senders(self, instances):
        """Return the instances that send to the target, the same at each of them.

        Each may have a token left, and all might use it at the same time, so there are
        only as many as the target bears.
        """
        n_senders = (
            math.ceil(SENDERS_PER_REQUEST_PER_S * self.limit_per_s) + MIN_SENDERS
        )
        if len(instances) <= n_senders:
            return set(instances)

        def rank(instance):
            return zlib.crc32(f"{self.target}/{instance}".encode()), instance

        return set(sorted(instances, key=rank)[:n_senders])

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
            limit = _NamedLimit(key[0], service_name, limit_per_s, named_ms)
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
        limits = [limit for limit in limits if limit is not None]
        rate_per_s = sum(self._rate_per_s(limit, now_ms) for limit in limits)
        if not rate_per_s:
            # The caller may return to an instance that sends to these targets.
            rate_per_s = sum(max(MIN_LIMIT_PER_S, n.limit_per_s) for n in limits)
        spacing_ms = 1000 / rate_per_s if rate_per_s else 0.0
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
        return limit.rate_per_s(self._instance, self._count_requests, now_ms)
