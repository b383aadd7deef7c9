"""The control side of announcements: newest word of each target, and its silence."""

import anyio

from almonddeal.announced.announcement import (
    DEREGISTERED,
    DRAINING,
    EXPIRED,
    READY,
    differs,
    gone_record,
    supersedes,
)
from almonddeal.announced.versioned_map import VersionedMap
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.wire.gen.ttypes import AnnouncedTarget

SILENT_AFTER_MS = 8000  # over six announcements at the usual interval of 1.2 s
REFRESH_MS = 3000  # other control instances hear at least this often that it lives
KEEP_GONE_MS = 120_000  # longer than a delayed announcement can be on its way
CHECK_INTERVAL_S = 1.0

log = get_logger("announced")


class TargetRegistry:
    """Targets by id as one control instance knows them.

    Attributes
    ----------
    announcements : VersionedMap
        Records by target, for those who follow them.
    """

    def __init__(self):
        self.announcements = VersionedMap()
        self._heard_ms_by_target = {}
        self._shared_ms_by_target = {}

    def merge(self, announcement, origin):
        """Merge a record; returns whether others should hear of it now.

        Parameters
        ----------
        announcement : AnnouncedTarget
        origin : str
            Who brought it, for the log.
        """
        known = self.announcements.get(announcement.target)
        now_ms = monotonic_ms()
        if not supersedes(announcement, known):
            return False
        self._heard_ms_by_target[announcement.target] = now_ms
        if not differs(announcement, known):
            self.announcements.replace_quietly(announcement.target, announcement)
            return self._is_refresh_due(announcement.target, now_ms)
        self._shared_ms_by_target[announcement.target] = now_ms
        self.announcements.put(announcement.target, announcement)
        decide(
            log,
            "takes the word of a target",
            target=announcement.target,
            state=announcement.state,
            born_ms=announcement.born_ms,
            sequence=announcement.sequence,
            address=announcement.address,
            origin=origin,
        )
        return True

    def _is_refresh_due(self, target, now_ms):
        if now_ms - self._shared_ms_by_target.get(target, 0.0) < REFRESH_MS:
            return False
        self._shared_ms_by_target[target] = now_ms
        return True

    def deregister(self, target, born_ms, origin):
        """Note that a target left for good; returns its record."""
        known = self.announcements.get(target)
        announcement = gone_record(target, known, born_ms)
        self.merge(announcement, origin)
        return self.announcements.get(target)

    async def watch_silence(self):
        """Mark targets that are not heard any more, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.check_silence(monotonic_ms())

    def check_silence(self, now_ms):
        """Mark ready targets not heard for long; forget those that left long ago."""
        for announcement in self.announcements.values():
            silence_ms = now_ms - self._heard_ms_by_target.get(
                announcement.target, now_ms
            )
            if announcement.state in (READY, DRAINING) and silence_ms > SILENT_AFTER_MS:
                decide(
                    log,
                    "misses a target",
                    target=announcement.target,
                    silence_ms=round(silence_ms),
                )
                self.announcements.put(
                    announcement.target, _with_state(announcement, EXPIRED)
                )
            elif (
                announcement.state in (DEREGISTERED, EXPIRED)
                and silence_ms > KEEP_GONE_MS
            ):
                self.announcements.discard(announcement.target)
                self._heard_ms_by_target.pop(announcement.target, None)
                self._shared_ms_by_target.pop(announcement.target, None)


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
