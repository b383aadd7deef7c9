"""Pauses that targets ask for: this instance sends them no requests until the end."""

import random

from almonddeal.announced.pause_reports import MAX_REPORTED_MS, PauseReports
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.wire.gen.ttypes import PauseReport

# Callers that are rejected during a pause return over this share of the time that was
# left of it, and at least over this time.
RETURN_SPREAD_SHARE = 0.25
MIN_RETURN_SPREAD_MS = 50.0

log = get_logger("relay")


class HoldOffs:
    """When the pauses end for which target processes asked this instance.

    A pause is no ejection: it says nothing of the health of the target, and no shortage
    of other targets ends it. Requests that run at the target continue.

    A pause that another instance reported binds that instance alone. Here others are
    preferred to the target, but it is used if there is none.

    Parameters
    ----------
    instance : str
        This instance, for its reports.

    Attributes
    ----------
    reports : PauseReports
        Pauses for which targets asked this or another instance.
    """

    __slots__ = ("_end_ms_by_key", "_instance", "reports")

    def __init__(self, instance=""):
        self.reports = PauseReports()
        self._instance = instance
        self._end_ms_by_key = {}

    def __len__(self):
        return len(self._end_ms_by_key)

    def record(self, announcement, response, request_id):
        """Record whether a target asked for a pause in a response.

        A later response does not shorten a pause.

        Parameters
        ----------
        announcement : AnnouncedTarget
            Of the target, as the request was sent.
        response : TargetResponse or QueryResponse
        request_id : str or None
            For the log; None of a query.
        """
        if not response.retry_after_ms or response.is_of_other_request:
            return
        key = (announcement.target, announcement.born_ms)
        now_ms = monotonic_ms()
        end_ms = self._end_ms_by_key.get(key, now_ms)
        if end_ms <= now_ms:
            decide(
                log,
                "target asked for a pause",
                target=announcement.target,
                born_ms=announcement.born_ms,
                retry_after_ms=round(response.retry_after_ms),
                request=request_id,
            )
        self._end_ms_by_key[key] = max(end_ms, now_ms + response.retry_after_ms)
        left_ms = round(min(MAX_REPORTED_MS, response.retry_after_ms))
        self.reports.add(PauseReport(self._instance, *key, left_ms))

    def merge(self, report):
        """Merge a `PauseReport` of another instance.

        Raises
        ------
        ValueError
            If the report is malformed.
        """
        if self.reports.add(report):
            decide(
                log,
                "target asked another instance for a pause",
                target=report.target,
                born_ms=report.born_ms,
                left_ms=report.left_ms,
                reported_by=report.instance,
            )

    def choose(self, choose, targets):
        """Choose a target, one that asked another instance for a pause only at last.

        Parameters
        ----------
        choose : callable
            ``choose(targets)`` returns one of them, or None if none will do.
        targets : list of TrackedTarget

        Returns
        -------
        target : TrackedTarget or None
        """
        others = [t for t in targets if not self._is_reported(t.announcement)]
        chosen = choose(others)
        if chosen is None and len(others) < len(targets):
            chosen = choose(targets)
        return chosen

    def _is_reported(self, announcement):
        return self.reports.left_ms((announcement.target, announcement.born_ms)) > 0

    def allows(self, announcement):
        """Tell whether requests may be sent to an announced target now."""
        return not self.pause_left_ms(announcement)

    def pause_left_ms(self, announcement):
        """Return the time until requests may be sent to an announced target, in ms."""
        key = (announcement.target, announcement.born_ms)
        end_ms = self._end_ms_by_key.get(key)
        return 0.0 if end_ms is None else max(0.0, end_ms - monotonic_ms())

    def paused_ids(self, targets):
        """Return the ids of the targets in a `TargetTable` that hold off, as a set."""
        paused_ids = set()
        for target_id, _ in self._end_ms_by_key:
            target = targets.get(target_id)
            if target is not None and not self.allows(target.announcement):
                paused_ids.add(target_id)
        return paused_ids

    def left_ms(self, targets):
        """Return the time until one of some targets may get a request, in ms.

        Parameters
        ----------
        targets : list of TrackedTarget

        Returns
        -------
        left_ms : float
            0 if one of them may get a request now, or there are none.
        """
        return min((self.pause_left_ms(t.announcement) for t in targets), default=0.0)

    def retry_after_ms(self, targets):
        """Return the Retry-After time in ms of a request if all targets hold off.

        Each caller is told another moment after the end of the first pause, so that not
        all return at once.

        Parameters
        ----------
        targets : list of TrackedTarget

        Returns
        -------
        retry_after_ms : int or None
            None unless all targets hold off.
        """
        left_ms = self.left_ms(targets)
        if not left_ms:
            return None
        spread_ms = max(MIN_RETURN_SPREAD_MS, RETURN_SPREAD_SHARE * left_ms)
        return round(left_ms + random.uniform(1.0, spread_ms))

    def evict_stale(self):
        """Drop the pauses that are over, and the reports of them."""
        self.reports.evict_stale()
        now_ms = monotonic_ms()
        for key, end_ms in list(self._end_ms_by_key.items()):
            if end_ms <= now_ms:
                del self._end_ms_by_key[key]
