"""Reports of pauses that targets asked for, as kept by control and entry instances."""

from almonddeal.announced.versioned_map import VersionedMap
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.wire.gen.ttypes import PauseReport

# The pause was asked of one instance; the others find out by a request whether it holds
# for them too.
MAX_REPORTED_MS = 5000.0
# A report is passed on only if the pause ends so much later than is known already.
MIN_EXTENSION_MS = 250.0
MIN_EXTENSION_SHARE = 0.25  # of what is left of it
MAX_REPORTS = 1000


def check_pause_report(report):
    """Return a report, if it has what instances derive from it.

    Parameters
    ----------
    report : PauseReport

    Returns
    -------
    report : PauseReport

    Raises
    ------
    ValueError
        If the report names no target process, or has no end.
    """
    if not (
        isinstance(report, PauseReport)
        and isinstance(report.target, str)
        and isinstance(report.born_ms, int)
        and isinstance(report.left_ms, int)
    ):
        raise ValueError("report of a pause without its target process or its end")
    return report


class PauseReports(VersionedMap):
    """Records of `PauseReport` by target id and start time, until the pauses end.

    Reports are sent with what is left of the pause.
    """

    def __init__(self):
        super().__init__()
        self._end_ms_by_key = {}

    def add(self, report):
        """Add a report; return whether it says more than is known.

        Raises
        ------
        ValueError
            If the report is malformed.
        """
        check_pause_report(report)
        key = (report.target, report.born_ms)
        known_ms = self.left_ms(key)
        left_ms = min(report.left_ms, MAX_REPORTED_MS)
        if left_ms - known_ms < max(MIN_EXTENSION_MS, MIN_EXTENSION_SHARE * known_ms):
            return False
        self._end_ms_by_key[key] = monotonic_ms() + left_ms
        self.put(key, report)
        if len(self) > MAX_REPORTS:
            self.discard(min(self._end_ms_by_key, key=self._end_ms_by_key.get))
        return True

    def left_ms(self, key):
        """Return the time until the reported pause of a target process ends, in ms."""
        end_ms = self._end_ms_by_key.get(key)
        return 0.0 if end_ms is None else max(0.0, end_ms - monotonic_ms())

    def values(self):
        """Return the reports of pauses that are not over, as a list."""
        return self._with_present_left(super().values())

    def changed_since(self, revision):
        """Return the reports added after a revision, of pauses that are not over."""
        return self._with_present_left(super().changed_since(revision))

    def _with_present_left(self, reports):
        present = []
        for report in reports:
            left_ms = round(self.left_ms((report.target, report.born_ms)))
            if left_ms > 0:
                present.append(
                    PauseReport(report.instance, report.target, report.born_ms, left_ms)
                )
        return present

    def discard(self, key):
        """Remove a report, if present, without a new revision; no waiter is woken."""
        self._end_ms_by_key.pop(key, None)
        super().discard(key)

    def evict_stale(self):
        """Drop the reports of pauses that are over."""
        for key in list(self._end_ms_by_key):
            if not self.left_ms(key):
                self.discard(key)
