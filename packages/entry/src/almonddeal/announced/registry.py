"""Registry of announced targets on a control instance, with heartbeat expiry."""

from almonddeal.announced.announcement import (
    DEREGISTERED,
    DRAINING,
    EXPIRED,
    READY,
    differs,
    is_same_heartbeat,
    is_unheard,
    make_deregistration,
    supersedes,
    with_state,
)
from almonddeal.announced.versioned_map import VersionedMap
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.pauses import PauseDetector

HEARTBEAT_TIMEOUT_MS = 8000  # over six announcements at the usual interval of 1.2 s
# An unchanged announcement is replicated to other control instances at most this often.
REPLICATION_INTERVAL_MS = 3000
# At the control instance that the target sends its heartbeats to. The others hear of it
# once in `REPLICATION_INTERVAL_MS`.
OVERDUE_MS = 2000  # over one and a half announcements
ANNOUNCEMENT_INTERVAL_MS = 1200  # the usual one of a target
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
        self._heard_directly = set()
        self._overdue_from_ms = float("-inf")

    def merge(self, announcement, origin, is_direct=False):
        """Merge an announcement if it supersedes the known one.

        Parameters
        ----------
        announcement : AnnouncedTarget
        origin : str
            Address of the target or name of the control instance that sent it, for
            the log.
        is_direct : bool
            Whether the target sent it.

        Returns
        -------
        is_replication_due : bool
            Whether to send the announcement to the other control instances now.
        """
        known = self.announcements.get(announcement.target)
        now_ms = monotonic_ms()
        if not supersedes(announcement, known):
            self._merge_silence(announcement, known)
            return False
        self._heartbeat_ms_by_target[announcement.target] = now_ms
        has_moved = self._record_receiver(announcement.target, is_direct)
        if not differs(announcement, known):
            self.announcements.replace_silently(announcement.target, announcement)
            return has_moved or self._is_replication_due(announcement.target, now_ms)
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

    def _record_receiver(self, target, is_direct):
        """Record who gets the heartbeats; return whether this instance now does."""
        if not is_direct:
            self._heard_directly.discard(target)
            return False
        has_moved = target not in self._heard_directly
        self._heard_directly.add(target)
        return has_moved

    def _merge_silence(self, announcement, known):
        """Merge that another control instance misses the heartbeats of a target."""
        if (
            is_unheard(announcement)
            and is_same_heartbeat(announcement, known)
            and known.state == READY
            and not is_unheard(known)
        ):
            self.announcements.put(announcement.target, announcement)

    def record_pause(self, now_ms):
        """Record that this instance did not run for some time before `now_ms`.

        No target is overdue until the heartbeats that wait can have been read and those
        of targets that paused as well can have arrived. Further pauses in that time do
        not extend it.
        """
        if now_ms >= self._overdue_from_ms:
            self._overdue_from_ms = now_ms + ANNOUNCEMENT_INTERVAL_MS

    def mark_unheard(self, now_ms):
        """Mark the ready targets whose next heartbeat is overdue.

        Parameters
        ----------
        now_ms : float

        Returns
        -------
        announcements : list of AnnouncedTarget
            Those that were marked now.
        """
        marked = []
        if now_ms < self._overdue_from_ms:
            return marked
        for announcement in self.announcements.values():
            if announcement.state != READY or is_unheard(announcement):
                continue
            target = announcement.target
            max_silence_ms = OVERDUE_MS
            if target not in self._heard_directly:
                max_silence_ms += REPLICATION_INTERVAL_MS
            silence_ms = now_ms - self._heartbeat_ms_by_target.get(target, now_ms)
            if silence_ms > max_silence_ms:
                marked.append(with_state(announcement, READY, silence_ms))
        for announcement in marked:
            self.announcements.put(announcement.target, announcement)
        return marked

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
        pauses = PauseDetector()
        while True:
            if await pauses.sleep(EXPIRY_CHECK_INTERVAL_S):
                self.record_pause(monotonic_ms())
            self.expire_targets(monotonic_ms())

    def expire_targets(self, now_ms):
        """Expire ready targets without heartbeats; evict long inactive targets.

        A draining target stays so: subscribers use an expired one as a last resort.
        """
        if now_ms < self._overdue_from_ms:
            return
        for announcement in self.announcements.values():
            silence_ms = now_ms - self._heartbeat_ms_by_target.get(
                announcement.target, now_ms
            )
            if announcement.state == READY and silence_ms > HEARTBEAT_TIMEOUT_MS:
                decide(
                    log,
                    "target expired",
                    target=announcement.target,
                    silence_ms=round(silence_ms),
                )
                self.announcements.put(
                    announcement.target,
                    with_state(announcement, EXPIRED, silence_ms),
                )
            elif (
                announcement.state in (DEREGISTERED, DRAINING, EXPIRED)
                and silence_ms > INACTIVE_RETENTION_MS
            ):
                self.announcements.discard(announcement.target)
                self._heartbeat_ms_by_target.pop(announcement.target, None)
                self._replicated_ms_by_target.pop(announcement.target, None)
                self._acknowledged_by_target.pop(announcement.target, None)
                self._heard_directly.discard(announcement.target)


def _replicated_part(announcement):
    """Return the fields of an announcement that determine where requests are sent."""
    return announcement.born_ms, announcement.state, announcement.address
