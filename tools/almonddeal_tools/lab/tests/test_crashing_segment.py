"""Pattern: one segment of a prompt crashes every engine that generates after it.

Requests with the segment arrive at all entry instances, each with another first
segment and another last one. Other requests share these first segments. The engines are
simulated in virtual time.
"""

import random

import anyio
import pytest

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_tools.lab.callers import Outcome, request_answer
from almonddeal_tools.lab.fleet import LabFleet
from almonddeal_tools.lab.policies import POLICY_BY_NAME
from almonddeal_tools.lab.runs import EngineProfile

N_INSTANCES = 4
FIRST_SEGMENTS = [f"first-{number}" for number in range(20)]
CRASHING_SEGMENT = "crashes"
SOUND_RATE_PER_S = 3.1
CRASHING_RATE_PER_S = 0.8
CRASHING_SINCE_S = 12.0
DURATION_S = 60.0
RESTART_S = 4.0
# The users' bounds: after the fifth crash, and the time that instances have to learn of
# it, so many more requests with the segment may reach engines.
N_TOLERATED_CRASHES = 5
LEARN_MS = 3000.0
N_TOLERATED_SENDS = 3
MIN_SERVED_RATIO = 0.5


class CrashingDay:
    """One simulation: its fleet and the outcomes of the sound requests."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = None
        self.sound_outcomes = []
        self.started_ms = 0.0

    async def play(self):
        """Send both kinds of requests for `DURATION_S`."""
        random.seed(self.rng.random())
        policy = POLICY_BY_NAME["product"]
        async with anyio.create_task_group() as group:
            self.fleet = LabFleet(
                group, EngineProfile(), 12, 3, N_INSTANCES, policy.selection
            )
            self.fleet.start()
            self.fleet.crash_on_segment(CRASHING_SEGMENT, RESTART_S)
            self.started_ms = monotonic_ms()
            group.start_soon(self._send, group, SOUND_RATE_PER_S, 0.0, ())
            group.start_soon(
                self._send,
                group,
                CRASHING_RATE_PER_S,
                CRASHING_SINCE_S,
                (CRASHING_SEGMENT,),
            )
            await anyio.sleep(DURATION_S)
            group.cancel_scope.cancel()
        return self

    async def _send(self, group, rate_per_s, since_s, more_segments):
        await anyio.sleep(since_s)
        for number in range(10_000):
            await anyio.sleep(self.rng.expovariate(rate_per_s))
            outcome = Outcome()
            if not more_segments:
                self.sound_outcomes.append(outcome)
            group.start_soon(
                request_answer,
                self.fleet,
                self.rng.sample(range(N_INSTANCES), 2),
                f"r{len(more_segments)}-{number}",
                5200,
                600,
                outcome,
                (self.rng.choice(FIRST_SEGMENTS), *more_segments),
            )

    @property
    def crashing_sends_ms(self):
        """Times at which requests with the segment reached engines."""
        return [ms for ms, hashes in self.fleet.sends if CRASHING_SEGMENT in hashes]

    def started_share(self, since_ms, until_ms):
        """Return the share of sound requests, by time, whose first attempt started."""
        outcomes = [
            outcome
            for outcome in self.sound_outcomes
            if since_ms <= outcome.sent_ms < until_ms
        ]
        assert len(outcomes) >= 20
        started = [o for o in outcomes if o.first_event_ms is not None]
        return sum(not o.n_refusals for o in started) / len(outcomes)


@pytest.fixture(scope="module", params=[1, 2, 3])
def day(request):
    return run_in_virtual_time(CrashingDay(request.param).play)


class TestCrashingSegment:
    def test_engines_stop_receiving_a_segment_that_crashes_them(self, day):
        """Guards against engines crashing one after the other by a prompt segment."""
        crashes_ms = day.fleet.crashes_ms
        assert crashes_ms, "the pattern did not come about"
        if len(crashes_ms) < N_TOLERATED_CRASHES:
            return
        since_ms = crashes_ms[N_TOLERATED_CRASHES - 1] + LEARN_MS
        late_sends = [ms for ms in day.crashing_sends_ms if ms > since_ms]
        assert len(late_sends) <= N_TOLERATED_SENDS

    def test_requests_that_share_other_segments_are_still_served(self, day):
        """Guards against rejecting sound requests for a segment they share."""
        crashes_ms = day.fleet.crashes_ms
        last_ms = crashes_ms[:N_TOLERATED_CRASHES][-1]
        crashing_since_ms = day.started_ms + CRASHING_SINCE_S * 1000
        before = day.started_share(day.started_ms, crashing_since_ms)
        until_ms = day.started_ms + (DURATION_S - 5.0) * 1000
        after = day.started_share(last_ms + 2 * LEARN_MS, until_ms)
        assert after >= MIN_SERVED_RATIO * before
