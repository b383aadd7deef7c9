"""Table of the targets that an entry instance knows, and which requests may use."""

import math

import anyio

from almonddeal.announced.announcement import (
    DEREGISTERED,
    DRAINING,
    READY,
    is_same_heartbeat,
    is_unheard,
    supersedes,
)
from almonddeal.announced.leaving_reports import LeavingReports
from almonddeal.announced.stream_origins import RETENTION_MS
from almonddeal.relay.tracked_target import TrackedTarget
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.wire.gen.ttypes import LeavingReport

MIN_DOMAIN_EJECTIONS = 2  # in one failure domain, for it to count as lost
DOMAIN_LOSS_MS = 1000  # window of these ejections, and how long the domain is avoided
UNPROVEN_MS = 1000  # a sound target responds in milliseconds
OUTDATED_MS = 3000  # more than two announcement intervals

log = get_logger("targets")


def _is_unverified(target):
    """Tell whether a target restarted, and is to be announced or asked first."""
    return max(target.outdated_until_ms, target.unproven_until_ms) > monotonic_ms()


class TargetTable:
    """Known targets by id, merged from the announcements that control sends.

    Parameters
    ----------
    instance : str
        This instance, for its reports.

    Attributes
    ----------
    leaving_reports : LeavingReports
        Targets that stated to this or another instance that they are about to leave.
    """

    def __init__(self, instance=""):
        self.leaving_reports = LeavingReports()
        self._instance = instance
        self.target_by_id = {}
        self._id_by_address = {}
        self._ejected_ms_by_domain = {}
        self._announced_ms_by_version_by_service = {}
        self._doubtful = set()
        self._has_doubtful = anyio.Event()

    def merge(self, announcement):
        """Merge an announcement; returns whether it was newer than the known one."""
        target = self.target_by_id.get(announcement.target)
        known = None if target is None else target.announcement
        if not supersedes(announcement, known):
            if is_same_heartbeat(announcement, known):
                self._record_silence(target, announcement)
            return False
        if target is None:
            target = self.target_by_id[announcement.target] = TrackedTarget(
                announcement
            )
        else:
            self._record_version(target.announcement)
            if announcement.born_ms != target.announcement.born_ms:
                self._reset(target)
            target.announcement = announcement
            target.confirmed_ms = math.inf
        self._apply_leaving_report(target)
        self._record_silence(target, announcement)
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

    def _record_silence(self, target, announcement):
        """Record for how long control had not heard a target, if it is overdue."""
        if not is_unheard(announcement):
            return
        heard_ms = monotonic_ms() - announcement.age_ms
        target.confirmed_ms = min(target.confirmed_ms, heard_ms)
        self._add_doubtful(target)

    def _reset(self, target):
        """Discard what is known of a target's earlier incarnation.

        The response that it is about to leave may have been one of the present
        incarnation, which was not announced yet.
        """
        is_unproven = target.is_leaving or target.unproven_until_ms > monotonic_ms()
        target.reset()
        if is_unproven:
            target.unproven_until_ms = monotonic_ms() + UNPROVEN_MS
            self._add_doubtful(target)

    def _add_doubtful(self, target):
        self._doubtful.add(target)
        self._has_doubtful.set()

    async def next_doubtful(self):
        """Wait for targets that are to be asked for what announcements do not tell.

        Returns
        -------
        targets : list of TrackedTarget
            Those that became so since the last call: their heartbeats are overdue, or
            they restarted after a response that they are about to leave.
        """
        await self._has_doubtful.wait()
        self._has_doubtful = anyio.Event()
        targets, self._doubtful = list(self._doubtful), set()
        return targets

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

        A target that restarted after its announcement is not used until the next one;
        one that may have said that it leaves just after its restart, until it is asked.
        """
        return self._is_registered(target) and not _is_unverified(target)

    def _is_registered(self, target):
        announcement = target.announcement
        if target.is_leaving or announcement.state in (DEREGISTERED, DRAINING):
            return False
        return self._id_by_address.get(announcement.address) == announcement.target

    def may_become_usable(self, service_name, software_version):
        """Tell whether a target of a version is left out only for a short time.

        Parameters
        ----------
        service_name : str
        software_version : str
        """
        return any(
            (target.announcement.service_name, target.announcement.version)
            == (service_name, software_version)
            and self._is_registered(target)
            and _is_unverified(target)
            for target in self.target_by_id.values()
        )

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

        That stands until another incarnation of the target is announced and has been
        asked, whatever this one announces.

        Parameters
        ----------
        announcement : AnnouncedTarget
            Of the target, as the request was sent.
        response : TargetResponse or QueryResponse
        request_id : str or None
            For the log; None of a query.
        """
        if not (response.is_leaving and response.is_of_target):
            return
        target = self.target_by_id.get(announcement.target)
        if target is None or target.announcement.born_ms != announcement.born_ms:
            return
        if target.is_leaving:
            return
        self._mark_leaving(target, request_id)
        # Without a start time, a report would be taken for one of the next process.
        if announcement.born_ms > 0:
            self.leaving_reports.add(
                LeavingReport(
                    self._instance, announcement.target, announcement.born_ms, 0
                )
            )

    def merge_leaving_report(self, report):
        """Merge a `LeavingReport` of another instance, which may come early.

        It counts for its incarnation, as a response to this instance would.

        Raises
        ------
        ValueError
            If the report is malformed.
        """
        if self.leaving_reports.add(report):
            target = self.target_by_id.get(report.target)
            if target is not None:
                self._apply_leaving_report(target)

    def _apply_leaving_report(self, target):
        announcement = target.announcement
        report = self.leaving_reports.get((announcement.target, announcement.born_ms))
        if report is not None and not target.is_leaving:
            self._mark_leaving(target, None, report.instance)

    def _mark_leaving(self, target, request_id, reported_by=None):
        target.is_leaving = True
        decide(
            log,
            "target is leaving",
            target=target.announcement.target,
            born_ms=target.announcement.born_ms,
            request=request_id,
            reported_by=reported_by,
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
