"""Reports of targets that leave, as kept by control and entry instances."""

from almonddeal.announced.expiring_map import ExpiringMap
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.wire.gen.ttypes import LeavingReport

RETENTION_MS = 600_000.0  # longer than a target takes to leave
MAX_REPORTS = 1000


def check_leaving_report(report):
    """Return a report, if it has what instances derive from it.

    Parameters
    ----------
    report : LeavingReport

    Returns
    -------
    report : LeavingReport

    Raises
    ------
    ValueError
        If the report names no incarnation of a target, or has no age.
    """
    if not (
        isinstance(report, LeavingReport)
        and isinstance(report.target, str)
        and isinstance(report.born_ms, int)
        and report.born_ms > 0
        and isinstance(report.age_ms, int)
        and report.age_ms >= 0
    ):
        raise ValueError("report of a leaving target without its start time or an age")
    return report


class LeavingReports(ExpiringMap):
    """Records of `LeavingReport` by target id and start time; each is accepted once.

    Reports are sent with their present age, so that none outlives its retention,
    however often instances pass it on.
    """

    def __init__(self):
        super().__init__(RETENTION_MS, MAX_REPORTS)

    def add(self, report):
        """Add a report; return whether it was new.

        Raises
        ------
        ValueError
            If the report is malformed.
        """
        check_leaving_report(report)
        key = (report.target, report.born_ms)
        if key in self or report.age_ms > RETENTION_MS:
            return False
        self.put(key, report, report.age_ms)
        return True

    def values(self):
        """Return all reports with their present age, as a list."""
        return list(map(self._with_present_age, super().values()))

    def changed_since(self, revision):
        """Return the reports added after a revision, with their present age."""
        return list(map(self._with_present_age, super().changed_since(revision)))

    def _with_present_age(self, report):
        set_ms = self._set_ms_by_key[report.target, report.born_ms]
        return LeavingReport(
            report.instance,
            report.target,
            report.born_ms,
            round(monotonic_ms() - set_ms),
        )
