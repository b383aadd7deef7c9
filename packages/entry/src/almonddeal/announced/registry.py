"""The control side of announcements: newest word of each target, and its silence."""

import anyio

from almonddeal.announced.board import Board
from almonddeal.announced.records import (
    DRAINING,
    GONE,
    READY,
    SILENT,
    differs,
    gone_record,
    is_newer,
)
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
    board : Board
        Records by target, for those who follow them.
    """

    def __init__(self):
        self.board = Board()
        self._heard_ms_by_target = {}
        self._shared_ms_by_target = {}

    def take(self, record, origin):
        """Merge a record; returns whether others should hear of it now.

        Parameters
        ----------
        record : AnnouncedTarget
        origin : str
            Who brought it, for the log.
        """
        known = self.board.get(record.target)
        now_ms = monotonic_ms()
        if not is_newer(record, known):
            return False
        self._heard_ms_by_target[record.target] = now_ms
        if not differs(record, known):
            self.board.replace_quietly(record.target, record)
            return self._is_refresh_due(record.target, now_ms)
        self._shared_ms_by_target[record.target] = now_ms
        self.board.put(record.target, record)
        decide(
            log,
            "takes the word of a target",
            target=record.target,
            state=record.state,
            born_ms=record.born_ms,
            sequence=record.sequence,
            address=record.address,
            origin=origin,
        )
        return True

    def _is_refresh_due(self, target, now_ms):
        if now_ms - self._shared_ms_by_target.get(target, 0.0) < REFRESH_MS:
            return False
        self._shared_ms_by_target[target] = now_ms
        return True

    def leave(self, target, born_ms, origin):
        """Note that a target left for good; returns its record."""
        known = self.board.get(target)
        record = gone_record(target, known, born_ms)
        self.take(record, origin)
        return self.board.get(target)

    async def watch_silence(self):
        """Mark targets that are not heard any more, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.check_silence(monotonic_ms())

    def check_silence(self, now_ms):
        """Mark ready targets not heard for long; forget those that left long ago."""
        for record in self.board.values():
            silence_ms = now_ms - self._heard_ms_by_target.get(record.target, now_ms)
            if record.state in (READY, DRAINING) and silence_ms > SILENT_AFTER_MS:
                decide(
                    log,
                    "misses a target",
                    target=record.target,
                    silence_ms=round(silence_ms),
                )
                self.board.put(record.target, _with_state(record, SILENT))
            elif record.state in (GONE, SILENT) and silence_ms > KEEP_GONE_MS:
                self.board.discard(record.target)
                self._heard_ms_by_target.pop(record.target, None)
                self._shared_ms_by_target.pop(record.target, None)


def _with_state(record, state):
    return AnnouncedTarget(
        record.target,
        record.service_name,
        record.address,
        record.failure_domain,
        record.version,
        record.n_slots,
        state,
        record.born_ms,
        record.sequence,
        record.warmup_ms,
        0,
    )
