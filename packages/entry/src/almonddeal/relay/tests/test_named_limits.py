"""Tests of targets that name a limit of requests a second, in virtual time.

Pattern: some targets of a plain service are in need and name a limit in each answer,
while callers send far more requests, unevenly over the instances.
"""

import random
from collections import Counter

import anyio
import pytest

from almonddeal.relay.named_limits import EXPIRY_MS, HOLD_MS, NamedLimits
from almonddeal.relay.plain import relay_plain
from almonddeal.relay.requests import TargetResponse
from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    ResponseHead,
    admit_plain,
    admit_stream,
    make_announcement,
    make_event,
    make_route,
)
from almonddeal.relay.tests.stream_runs import LAST, is_complete_response
from almonddeal.relay.tracked_target import TrackedTarget
from almonddeal.routing.model import LOOKUP, ORDER
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import OVERLOADED, AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_common.wire.gen.ttypes import LimitReport

DOMAINS = {"i-1": "fd1", "i-2": "fd2", "i-3": "fd3"}
RATE_PER_S = 28.0
SHARES = (0.55, 0.25, 0.15, 0.05)  # of the requests, by instance
NAMED_SINCE_S = 4.0
DURATION_S = 30.0
PROPAGATION_DELAY_S = 0.02
REFRESH_INTERVAL_S = 1.0
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
        self.requests_by_instance = Counter()
        self.served_by_instance = Counter()
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
        for instance in instances:
            others = [other for other in instances if other is not instance]
            group.start_soon(self._share_reports, instance.named_limits, others)
            group.start_soon(self._refresh_periodically, instance.named_limits)

    async def _share_reports(self, limits, others):
        sent_revision = 0
        while True:
            reports = limits.reports.changed_since(sent_revision)
            sent_revision = limits.reports.revision
            await anyio.sleep(PROPAGATION_DELAY_S)
            for other in others:
                for report in reports:
                    other.named_limits.merge(report)
            while limits.reports.revision == sent_revision:
                await limits.reports.wait()

    async def _refresh_periodically(self, limits):
        while True:
            await anyio.sleep(REFRESH_INTERVAL_S)
            limits.refresh()

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
        if sent_s >= NAMED_SINCE_S + LEARN_S:
            self.requests_by_instance[instance.instance] += 1
            self.served_by_instance[instance.instance] += writer.status == 200

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


class TestService:
    def test_requests_go_to_the_targets_without_a_limit(self):
        day = play({"i-1": 3.8, "i-2": 3.0}, 1)
        assert all(writer.status == 200 for _, _, writer in day.outcomes)

    def test_limits_are_used_up_before_requests_are_rejected(self):
        day = play({"i-1": 3.0, "i-2": 4.0, "i-3": 5.0}, 1)
        since_s = NAMED_SINCE_S + LEARN_S
        served = [w for s, _, w in day.outcomes if s >= since_s and w.status == 200]
        assert len(served) >= 0.8 * 12.0 * (DURATION_S - since_s)

    def test_rejected_requests_are_not_run_and_may_return_soon(self):
        day = play({"i-1": 3.0, "i-2": 4.0, "i-3": 5.0}, 2)
        rejected = [(took_ms, w.error) for _, took_ms, w in day.outcomes if w.error]
        assert rejected
        for took_ms, error in rejected:
            assert error.code == OVERLOADED
            assert error.was_run == "no"
            assert error.retry_after_ms > 0
            assert took_ms < 200.0
        assert len({error.retry_after_ms for _, error in rejected}) > 10

    def test_each_instance_serves_its_share_of_the_callers(self):
        day = play({"i-1": 6.0, "i-2": 6.0, "i-3": 6.0}, 3)
        shares = [
            day.served_by_instance[name] / max(1, day.requests_by_instance[name])
            for name in sorted(day.requests_by_instance)[:3]
        ]
        assert max(shares) < 1.6 * min(shares)

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_limit_ends_some_time_after_it_was_last_named(self, seed):
        day = LimitedDay({"i-1": 1.0, "i-2": 1.0, "i-3": 1.0}, seed)
        day.named_until_s = 12.0
        run_in_virtual_time(day.play)
        since_s = day.named_until_s + HOLD_MS / 1000 + 1.0
        late = [writer for s, _, writer in day.outcomes if s >= since_s]
        assert all(writer.status == 200 for writer in late)


class TestNamedLimits:
    def limits(self, n_requests=9, instance="entry-1"):
        return NamedLimits(instance, lambda service_name: n_requests)

    def target(self, born_ms=1000):
        return TrackedTarget(make_announcement("i-1", born_ms=born_ms))

    def name(self, limits, target, limit_per_s=None):
        """Record a response that names a limit, or none."""
        response = TargetResponse(
            200, [], False, False, True, False, None, None, limit_per_s
        )
        limits.record(target.announcement, response, "r1")

    def name_at_all(self, instances, target, limit_per_s):
        """Have all instances learn a limit, and of each other."""
        for limits in instances:
            self.name(limits, target, limit_per_s)
        for limits in instances:
            for other in instances:
                if other is not limits:
                    other.merge(limits.reports.values()[0])

    def n_sent(self, limits, target, duration_s, virtual_time):
        """Return how many requests the limits allow in a time."""
        n_sent = 0
        for _ in range(int(duration_s * 100)):
            virtual_time.now_s += 0.01
            if limits.allows(target):
                limits.take(target)
                n_sent += 1
        return n_sent

    def test_rate_of_a_single_instance_is_the_limit(self, virtual_time):
        limits, target = self.limits(), self.target()
        self.name(limits, target, 3.0)
        assert not limits.allows(target)
        assert self.n_sent(limits, target, 4.0, virtual_time) in (11, 12, 13)

    def test_newest_limit_applies(self, virtual_time):
        limits, target = self.limits(), self.target()
        self.name(limits, target, 100.0)
        virtual_time.now_s += 1.0
        self.name(limits, target, 2.0)
        assert self.n_sent(limits, target, 4.0, virtual_time) <= 8 + 25

    def test_other_process_at_the_same_id_has_no_limit(self):
        limits = self.limits()
        self.name(limits, self.target(), 0.0)
        assert not limits.allows(self.target())
        assert limits.allows(self.target(born_ms=2000))

    def test_limit_reported_by_another_instance_is_shared_by_demand(self, virtual_time):
        limits, target = self.limits(n_requests=29), self.target()
        limits.merge(LimitReport("entry-2", "s", "i-1", 1000, 8.0, 100, 9, 10**9))
        assert [report.n_requests for report in limits.reports.values()] == [29]
        assert self.n_sent(limits, target, 4.0, virtual_time) in (23, 24, 25)

    def test_report_does_not_prolong_a_limit(self, virtual_time):
        first, second = self.limits(), self.limits(instance="entry-2")
        target = self.target()
        self.name(first, target, 0.0)
        for _ in range(int(EXPIRY_MS / 1000) + 2):
            first.refresh()
            for report in first.reports.values():
                second.merge(report)
            second.refresh()
            for report in second.reports.values():
                first.merge(report)
            virtual_time.now_s += 1.0
        assert first.allows(target)
        assert second.allows(target)
        first.refresh()
        assert not first.reports.values()

    def test_limit_stands_beside_responses_that_do_not_name_it(self, virtual_time):
        limits, target = self.limits(), self.target()
        for _ in range(10):
            self.name(limits, target, 0.0)
            virtual_time.now_s += 0.9 * HOLD_MS / 1000
            self.name(limits, target)
        limits.refresh()
        assert len(limits.reports) == 1
        virtual_time.now_s += 0.2 * HOLD_MS / 1000
        limits.refresh()
        assert not limits.reports.values()
        assert limits.allows(target)

    def test_limit_is_lifted_by_what_another_instance_was_told(self, virtual_time):
        first, second = self.limits(), self.limits(instance="entry-2")
        target = self.target()
        self.name(first, target, 0.0)
        second.merge(first.reports.values()[0])
        virtual_time.now_s += 0.5 * HOLD_MS / 1000
        self.name(first, target)
        first.refresh()
        second.merge(first.reports.values()[0])
        second.refresh()
        assert len(second.reports) == 1
        virtual_time.now_s += 0.6 * HOLD_MS / 1000
        second.refresh()
        assert not second.reports.values()
        assert second.allows(target)

    def test_limit_stands_without_other_responses(self, virtual_time):
        limits, target = self.limits(), self.target()
        self.name(limits, target, 0.0)
        virtual_time.now_s += 0.9 * EXPIRY_MS / 1000
        limits.refresh()
        assert len(limits.reports) == 1

    @pytest.mark.parametrize("seed", range(5))
    def test_instances_do_not_all_send_at_the_same_moment(self, virtual_time, seed):
        random.seed(seed)
        target = self.target()
        instances = [self.limits(instance=f"entry-{n}") for n in range(60)]
        sends_s = []
        for step in range(4000):
            if step % 1000 == 0:
                self.name_at_all(instances, target, 3.0)
            virtual_time.now_s += 0.01
            for limits in instances:
                if limits.allows(target):
                    limits.take(target)
                    sends_s.append(virtual_time.now_s)
        assert len(sends_s) >= 0.8 * 3.0 * 40
        most = max(sum(s <= t < s + SPAN_S for t in sends_s) for s in sends_s)
        assert most <= TOLERATED_RATIO * 3.0 * SPAN_S + N_TOLERATED

    def test_old_report_is_ignored(self):
        limits = self.limits()
        age_ms = int(HOLD_MS) + 1
        limits.merge(LimitReport("entry-2", "s", "i-1", 1000, 8.0, age_ms, 9, 10**9))
        assert limits.allows(self.target())


class TestStreams:
    """Pattern: engines in need name limits while streams start and resume."""

    def fleet(self, limit_per_s):
        def steps_of(target):
            async def steps(attempt):
                self.sent[target] = self.sent.get(target, 0) + 1
                yield ResponseHead(200, request_limit_per_s=limit_per_s.get(target))
                for number in range(1, LAST + 1):
                    await anyio.sleep(0.002)
                    yield make_event(number)

            return steps

        self.sent = {}
        return FakeFleet({target: steps_of(target) for target in DOMAINS}, DOMAINS)

    def relay(self, fleet, n_requests):
        async def main():
            writers = []
            for _ in range(n_requests):
                writer = FakeResponseWriter()
                await relay_stream(admit_stream(), fleet.context, writer)
                writers.append(writer)
            return writers

        return run_in_virtual_time(main)

    def test_streams_avoid_engines_at_their_limit(self):
        writers = self.relay(self.fleet({"i-1": 0.5, "i-2": 0.5}), 60)
        assert all(map(is_complete_response, writers))
        # 60 streams of 40 ms: two tokens at most each, and the first one of each.
        assert self.sent["i-1"] <= 3
        assert self.sent["i-2"] <= 3

    def test_streams_wait_for_an_engine_that_is_below_its_limit(self):
        fleet = self.fleet(dict.fromkeys(DOMAINS, 1.0))
        writers = self.relay(fleet, 9)
        assert all(map(is_complete_response, writers))
