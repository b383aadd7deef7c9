"""Scripted sound targets that fall silent for a time and then continue."""

import anyio

from almonddeal.relay.tests.fakes import FakeFleet, FakeResponseWriter, make_event

PROBE_TIMEOUT_S = 0.25
EVENT_GAP_S = 0.02
DARK_S = 3600.0  # of an engine that never comes back


class SilentFleet(FakeFleet):
    """Targets whose process is paused at times: connections stay open.

    Parameters
    ----------
    pauses_by_target : dict of str to list of (float, float)
        Start and end of each pause, in seconds from the creation.
    domain_by_target : dict of str to str, optional
    n_events : int
        Events of a stream.
    answers_probes : bool
        Whether a paused target responds to probes all the same.
    """

    def __init__(
        self,
        pauses_by_target,
        domain_by_target=None,
        n_events=60,
        answers_probes=False,
    ):
        super().__init__(
            dict.fromkeys(pauses_by_target, self._behave), domain_by_target
        )
        self.n_events = n_events
        self.probed = []
        self._answers_probes = answers_probes
        self._pauses_by_target = pauses_by_target
        self._started_s = anyio.current_time()
        self.context.is_alive = self._probe

    def _pause_left_s(self, target):
        now_s = anyio.current_time() - self._started_s
        return max(
            (
                end - now_s
                for start, end in self._pauses_by_target[target]
                if start <= now_s < end
            ),
            default=0.0,
        )

    async def _probe(self, announcement):
        self.probed.append(announcement.target)
        left_s = self._pause_left_s(announcement.target)
        if self._answers_probes:
            return True
        await anyio.sleep(min(left_s, PROBE_TIMEOUT_S))
        return left_s <= PROBE_TIMEOUT_S

    async def _respond(self, target):
        """Take a step, after the pause if there is one."""
        await anyio.sleep(EVENT_GAP_S)
        await anyio.sleep(self._pause_left_s(target))

    async def _behave(self, attempt):
        target = attempt.target.target
        await self._respond(target)
        yield 200
        for number in range((attempt.last_event_id or 0) + 1, self.n_events + 1):
            await self._respond(target)
            yield make_event(number)

    def is_complete(self, writer):
        """Tell whether each event of a stream arrived once and in order, to the end."""
        return writer.is_complete and writer.event_ids == list(
            range(1, self.n_events + 1)
        )


class TimedWriter(FakeResponseWriter):
    """Records when events were sent, in seconds of the event loop's clock."""

    def __init__(self):
        super().__init__()
        self.sent_s = []

    async def send(self, data):
        self.sent_s.append(anyio.current_time())
        await super().send(data)

    @property
    def longest_gap_s(self):
        pairs = zip(self.sent_s, self.sent_s[1:], strict=False)
        return max(after - before for before, after in pairs)
