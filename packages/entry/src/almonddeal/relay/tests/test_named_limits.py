"""Tests of targets that name a limit of requests a second, in virtual time.

Pattern: some targets of a plain service are in need and name a limit in each answer,
while callers send far more requests, unevenly over the instances.
"""

import random

import anyio
import pytest

from almonddeal.relay.plain import relay_plain
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    ResponseHead,
    admit_plain,
    make_route,
)
from almonddeal.routing.model import LOOKUP, ORDER
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time

DOMAINS = {"i-1": "fd1", "i-2": "fd2", "i-3": "fd3"}
RATE_PER_S = 28.0
SHARES = (0.55, 0.25, 0.15, 0.05)  # of the requests, by instance
NAMED_SINCE_S = 4.0
DURATION_S = 30.0
# The users' bounds: after this time, and in any span, a target gets at most so many
# times what its limit allows, and some more.
LEARN_S = 3.0
SPAN_S = 4.0
TOLERATED_RATIO = 1.5
N_TOLERATED = 5


class LimitedDay:
    """One simulation: arrivals at the targets and outcomes of the requests."""

    def __init__(self, limit_by_target, seed):
        self.rng = random.Random(seed)
        self.limit_by_target = limit_by_target
        self.named_until_s = float("inf")
        self.arrivals_s_by_target = {target: [] for target in DOMAINS}
        self.outcomes = []
        self.started_s = 0.0

    async def play(self):
        """Send requests for `DURATION_S`."""
        random.seed(self.rng.random())
        self.started_s = anyio.current_time()
        behaviours = {target: self._responds(target) for target in DOMAINS}
        fleet = FakeFleet(behaviours, DOMAINS)
        instances = [
            fleet.add_instance(f"entry-{number}", f"fd{number % 3 + 1}")
            for number in range(len(SHARES))
        ]
        async with anyio.create_task_group() as group:
            self.connect(instances, group)
            while self.now_s < DURATION_S:
                await anyio.sleep(self.rng.expovariate(RATE_PER_S))
                (instance,) = self.rng.choices(instances, SHARES)
                group.start_soon(self._request, instance)
            await anyio.sleep(1.0)
            group.cancel_scope.cancel()
        return self

    def connect(self, instances, group):
        """Connect the instances, so that each receives the reports of the others."""

    @property
    def now_s(self):
        return anyio.current_time() - self.started_s

    def _responds(self, target):
        async def steps(attempt):
            self.arrivals_s_by_target[target].append(self.now_s)
            await anyio.sleep(self.rng.uniform(0.03, 0.08))
            is_named = NAMED_SINCE_S <= self.now_s < self.named_until_s
            limit_per_s = self.limit_by_target.get(target) if is_named else None
            yield ResponseHead(200, request_limit_per_s=limit_per_s)
            yield b"whole"

        return steps

    async def _request(self, instance):
        kind = self.rng.choice((LOOKUP, ORDER))
        writer, sent_s, sent_ms = FakeResponseWriter(), self.now_s, monotonic_ms()
        try:
            await relay_plain(admit_plain(make_route(kind)), instance, writer)
        except AlmonddealError as error:
            writer.error = error
        self.outcomes.append((sent_s, monotonic_ms() - sent_ms, writer))

    def most_arrivals(self, target):
        """Return the most arrivals at a target in any span, once it named its limit."""
        since_s = NAMED_SINCE_S + LEARN_S
        arrivals_s = [s for s in self.arrivals_s_by_target[target] if s >= since_s]
        return max(
            (
                sum(start_s <= s < start_s + SPAN_S for s in arrivals_s)
                for start_s in arrivals_s
            ),
            default=0,
        )

    def tolerated(self, target):
        limit_per_s = self.limit_by_target[target]
        return TOLERATED_RATIO * limit_per_s * SPAN_S + N_TOLERATED


def play(limit_by_target, seed):
    return run_in_virtual_time(LimitedDay(limit_by_target, seed).play)


class TestLimit:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize(
        "limit_by_target",
        [{"i-1": 3.8, "i-2": 3.0}, {"i-1": 3.0, "i-2": 4.0, "i-3": 5.0}, {"i-1": 0.0}],
        ids=["some", "all", "none-accepted"],
    )
    def test_targets_get_no_more_than_the_limit_they_named(self, limit_by_target, seed):
        """Guards against a target in need getting more requests than it named."""
        day = play(limit_by_target, seed)
        for target in limit_by_target:
            assert day.most_arrivals(target) <= day.tolerated(target)
