"""Registry of announced targets on a control instance, with heartbeat expiry."""

import anyio

from almonddeal.announced.announcement import (
    DEREGISTERED,
    DRAINING,
    EXPIRED,
    READY,
    differs,
    make_deregistration,
    supersedes,
)
from almonddeal.announced.versioned_map import VersionedMap
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.wire.gen.ttypes import AnnouncedTarget

HEARTBEAT_TIMEOUT_MS = 8000  # over six announcements at the usual interval of 1.2 s
# An unchanged announcement is replicated to other control instances at most this often.
REPLICATION_INTERVAL_MS = 3000
INACTIVE_RETENTION_MS = 120_000  # longer than an announcement can be delayed
EXPIRY_CHECK_INTERVAL_S = 1.0

log = get_logger("announced")


class TargetRegistry:
    """Newest announcement of each target, as known to one control instance.

    Attributes
    ----------
    announcements : VersionedMap
        Announcements by target id; the feed reads its changes.
    """

    def __init__(self):
        self.announcements = VersionedMap()
        self._heartbeat_ms_by_target = {}
        self._replicated_ms_by_target = {}
        self._acknowledged_by_target = {}

    def merge(self, announcement, origin):
        """Merge an announcement if it supersedes the known one.

        Parameters
        ----------
        announcement : AnnouncedTarget
        origin : str
            Address of the target or name of the control instance that sent it, for
            the log.

        Returns
        -------
        is_replication_due : bool
            Whether to send the announcement to the other control instances now.
        """
        known = self.announcements.get(announcement.target)
        now_ms = monotonic_ms()
        if not supersedes(announcement, known):
            return False
        self._heartbeat_ms_by_target[announcement.target] = now_ms
        if not differs(announcement, known):
            self.announcements.replace_silently(announcement.target, announcement)
            return self._is_replication_due(announcement.target, now_ms)
        self._replicated_ms_by_target[announcement.target] = now_ms
        self.announcements.put(announcement.target, announcement)
        decide(
            log,
            "target updated",
            target=announcement.target,
            state=announcement.state,
            born_ms=announcement.born_ms,
            sequence=announcement.sequence,
            address=announcement.address,
            origin=origin,
        )
        return True

    def is_acknowledged(self, target):
        """Return whether a majority has acknowledged the known state of a target."""
        known = self.announcements.get(target)
        return known is not None and (
            self._acknowledged_by_target.get(target) == _replicated_part(known)
        )

    def record_acknowledgement(self, announcement):
        """Record that a majority of the control group has an announcement."""
        target = announcement.target
        self._acknowledged_by_target[target] = _replicated_part(announcement)

    def _is_replication_due(self, target, now_ms):
        if (
            now_ms - self._replicated_ms_by_target.get(target, 0.0)
            < REPLICATION_INTERVAL_MS
        ):
            return False
        self._replicated_ms_by_target[target] = now_ms
        return True

    def deregister(self, target, born_ms, origin):
        """Mark an incarnation of a target as deregistered, unless a later one is known.

        Parameters
        ----------
        target : str
        born_ms : int or None
            Start time of the incarnation; None for the known one.
        origin : str
            Address of the sender, for the log.

        Returns
        -------
        announcement : AnnouncedTarget
            Newest announcement of the target, which may be that of a later incarnation.
        """
        known = self.announcements.get(target)
        announcement = make_deregistration(target, known, born_ms)
        self.merge(announcement, origin)
        return self.announcements.get(target)

    async def expire_periodically(self):
        """Expire targets without heartbeats periodically, until cancelled."""
        while True:
            await anyio.sleep(EXPIRY_CHECK_INTERVAL_S)
            self.expire_targets(monotonic_ms())

    def expire_targets(self, now_ms):
        """Expire targets without heartbeats; evict long inactive targets."""
        for announcement in self.announcements.values():
            silence_ms = now_ms - self._heartbeat_ms_by_target.get(
                announcement.target, now_ms
            )
            if (
                announcement.state in (READY, DRAINING)
                and silence_ms > HEARTBEAT_TIMEOUT_MS
            ):
                decide(
                    log,
                    "target expired",
                    target=announcement.target,
                    silence_ms=round(silence_ms),
                )
                self.announcements.put(
                    announcement.target, _with_state(announcement, EXPIRED)
                )
            elif (
                announcement.state in (DEREGISTERED, EXPIRED)
                and silence_ms > INACTIVE_RETENTION_MS
            ):
                self.announcements.discard(announcement.target)
                self._heartbeat_ms_by_target.pop(announcement.target, None)
                self._replicated_ms_by_target.pop(announcement.target, None)
                self._acknowledged_by_target.pop(announcement.target, None)


def _replicated_part(announcement):
    """Return the fields of an announcement that determine where requests are sent."""
    return announcement.born_ms, announcement.state, announcement.address


def _with_state(announcement, state):
    return AnnouncedTarget(
        announcement.target,
        announcement.service_name,
        announcement.address,
        announcement.failure_domain,
        announcement.version,
        announcement.n_slots,
        state,
        announcement.born_ms,
        announcement.sequence,
        announcement.warmup_ms,
        0,
    )
