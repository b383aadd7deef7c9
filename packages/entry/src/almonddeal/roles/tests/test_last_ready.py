"""Tests of which stopping instance stays ready, by patterns of stops of a fleet."""

import heapq
import math
import random

import pytest

from almonddeal.announced.entry_states import NOT_READY, READY, STOPPING, YIELDED
from almonddeal.roles.last_ready import (
    OwnStop,
    StayBounds,
    decide_stay,
    make_bounds,
)
from almonddeal_common.wire.gen.ttypes import EntryState

GRACE_MS = 8000
RESPONSE_TIMEOUT_S = 7.0
DRAIN_DELAY_S = 2.6
BOUNDS = make_bounds(RESPONSE_TIMEOUT_S, DRAIN_DELAY_S)
STEP_MS = 10
PROBE_INTERVAL_MS = 1000
READY_LIMIT_MS = 4000  # of the users' rule
HANDOVER_MS = 300
SIZES = (5, 28, 68)


def state(name, number, stopped_ms=0):
    return EntryState(name, 1, 2, number, stopped_ms)


def decide(since_ms=300, others=(), age_ms=50, is_last=False, stopped_ms=1000):
    own = OwnStop("e2", stopped_ms, since_ms, is_last)
    return decide_stay(own, list(others), age_ms, BOUNDS)


class TestDecision:
    def test_bounds_leave_the_load_balancer_its_time(self):
        assert StayBounds(250, 1400, 4400) == BOUNDS
        assert BOUNDS.decide_ms + 1000 * DRAIN_DELAY_S <= READY_LIMIT_MS

    @pytest.mark.parametrize("grace_s", [0.5, 1, 3, 5, 12, 30])
    def test_bounds_of_any_grace_are_in_order(self, grace_s):
        settle_ms, decide_ms, hold_ms = make_bounds(grace_s * 0.875, grace_s / 2)
        assert 0 <= settle_ms <= decide_ms <= hold_ms <= 1000 * grace_s

    def test_last_one_stays_until_what_it_accepts_cannot_end(self):
        others = [state("e1", YIELDED), state("e3", NOT_READY)]
        assert decide(since_ms=300, others=others)[:3] == (True, 4400, True)
        assert decide(since_ms=4399, others=others, is_last=True).is_ready
        assert not decide(since_ms=4400, others=others, is_last=True).is_ready

    @pytest.mark.parametrize("is_last", [False, True])
    def test_it_yields_once_another_is_ready(self, is_last):
        others = [state("e1", READY), state("e3", YIELDED)]
        assert not decide(others=others, is_last=is_last).is_ready

    # Guards against all that are stopped together yielding to one another.
    def test_report_that_another_is_ready_may_be_old_at_first(self):
        others = [state("e1", READY)]
        assert decide(since_ms=100, others=others)[:2] == (True, BOUNDS.settle_ms)

    @pytest.mark.parametrize(
        ("stopped_ms", "is_ready"), [(999, True), (1000, True), (1001, False)]
    )
    def test_the_one_stopped_last_stays_and_names_decide_ties(
        self, stopped_ms, is_ready
    ):
        others = [state("e1", STOPPING, stopped_ms), state("e3", YIELDED, 5000)]
        assert decide(others=others).is_ready == is_ready
        assert not decide(others=[state("e3", STOPPING, 1000)]).is_ready

    def test_it_is_not_certain_before_all_others_have_yielded(self):
        others = [state("e1", STOPPING, 900)]
        assert decide(since_ms=1399, others=others)[:3] == (True, 1400, False)
        assert not decide(since_ms=1400, others=others).is_ready

    @pytest.mark.parametrize("age_ms", [501, math.inf])
    def test_it_drains_at_once_without_fresh_word(self, age_ms):
        others = [state("e1", YIELDED)]
        assert not decide(since_ms=0, others=others, age_ms=age_ms).is_ready

    def test_it_drains_at_once_if_no_other_instance_is_known(self):
        assert not decide(since_ms=0).is_ready


class Instance:
    """One entry instance of the simulated fleet."""

    def __init__(self, name, phase_ms):
        self.name = name
        self.phase_ms = phase_ms  # of its probes
        self.incarnation = 0
        self.sequence = 0
        self.is_cut = False
        self.ready_ms = 0
        self.view = {}
        self.start(READY)

    def start(self, number):
        self.incarnation += 1
        self.number = number
        self.stopped_ms = self.yielded_ms = self.out_ms = self.ends_ms = None
        self.is_last = False
        self.n_misses = 0 if number == READY else 2
        self.is_running = True

    @property
    def is_ready(self):
        return self.is_running and self.number in (READY, STOPPING)

    @property
    def is_in_rotation(self):
        return self.is_running and self.n_misses < 2


class Fleet:
    """Fleet whose reports arrive late, out of order, or not at all.

    Parameters
    ----------
    n_instances : int
    seed : int
    delays_ms : tuple of float
        Shortest and longest time of a report to another instance.
    run_ms : tuple of float
        Shortest and longest time for which requests run after the listener is closed.
    """

    def __init__(self, n_instances, seed, delays_ms=(2, 60), run_ms=(0, 6000)):
        self.random = random.Random(seed)
        self.now_ms = 0
        self.delays_ms = delays_ms
        self.run_ms = run_ms
        self.messages = []
        self.n_messages = 0
        self.instances = [
            Instance(f"e{n}", self.random.randrange(PROBE_INTERVAL_MS))
            for n in range(n_instances)
        ]
        for one in self.instances:
            for other in self.instances:
                if other is not one:
                    one.view[other.name] = self.report(other)
        self.gaps_ms = []
        self.n_late_most = 0

    def report(self, instance):
        instance.sequence += 1
        return EntryState(
            instance.name,
            instance.incarnation,
            instance.sequence,
            instance.number,
            instance.stopped_ms or 0,
        )

    def send(self, instance):
        record = self.report(instance)
        if instance.is_cut:
            return
        for other in self.instances:
            if other is not instance:
                at_ms = self.now_ms + self.random.uniform(*self.delays_ms)
                self.n_messages += 1
                heapq.heappush(self.messages, (at_ms, self.n_messages, other, record))

    def deliver(self):
        while self.messages and self.messages[0][0] <= self.now_ms:
            _, _, receiver, record = heapq.heappop(self.messages)
            known = receiver.view.get(record.instance)
            if receiver.is_cut or not receiver.is_running:
                continue
            if known is None or known.sequence < record.sequence:
                receiver.view[record.instance] = record

    def stop(self, instance):
        if not instance.is_running or instance.stopped_ms is not None:
            return
        was_ready = instance.number == READY
        instance.stopped_ms = self.now_ms
        if was_ready:
            instance.number = STOPPING
            self.send(instance)
        else:
            self.yield_(instance)

    def yield_(self, instance):
        instance.number = YIELDED
        instance.yielded_ms = self.now_ms
        self.send(instance)

    def step_instance(self, instance):
        now_ms = self.now_ms
        if not instance.is_running:
            if now_ms >= instance.starts_ms:
                instance.start(NOT_READY)
                instance.ready_ms = now_ms + 200
                if not instance.is_cut:
                    instance.view = {
                        other.name: EntryState(
                            other.name,
                            other.incarnation,
                            other.sequence,
                            other.number,
                            other.stopped_ms or 0,
                        )
                        for other in self.instances
                        if other is not instance and not other.is_cut
                    }
                else:
                    instance.view = {}
                self.send(instance)
            return
        # One without control gets no configuration.
        can_start = now_ms >= instance.ready_ms and not instance.is_cut
        if instance.number == NOT_READY and instance.stopped_ms is None and can_start:
            instance.number = READY
            self.send(instance)
        if instance.number == STOPPING:
            own = OwnStop(
                instance.name,
                instance.stopped_ms,
                now_ms - instance.stopped_ms,
                instance.is_last,
            )
            age_ms = math.inf if instance.is_cut else 50
            decision = decide_stay(own, list(instance.view.values()), age_ms, BOUNDS)
            instance.is_last = decision.is_last
            if not decision.is_ready:
                self.yield_(instance)
        if now_ms % PROBE_INTERVAL_MS // STEP_MS == instance.phase_ms // STEP_MS:
            instance.n_misses = 0 if instance.is_ready else instance.n_misses + 1
        if instance.number == YIELDED:
            self.step_drain(instance)

    def step_drain(self, instance):
        now_ms = self.now_ms
        if instance.out_ms is None:
            is_late = now_ms >= instance.yielded_ms + 1000 * DRAIN_DELAY_S
            if instance.n_misses >= 2 or is_late:
                instance.out_ms = now_ms
                closed_ms = now_ms + HANDOVER_MS
                run_ms = self.random.uniform(*self.run_ms)
                limit_ms = instance.stopped_ms + 1000 * RESPONSE_TIMEOUT_S
                assert now_ms <= limit_ms, "accepts what cannot end"
                instance.ends_ms = min(closed_ms + run_ms, limit_ms) + 200
        elif now_ms >= instance.ends_ms:
            assert now_ms <= instance.stopped_ms + GRACE_MS
            instance.is_running = False
            instance.starts_ms = now_ms + self.random.uniform(400, 1200)

    def run(self, events, duration_ms=20_000):
        """Play events, pairs of a time in ms and a function, and count."""
        events = sorted(events, key=lambda event: event[0])
        while self.now_ms < duration_ms:
            while events and events[0][0] <= self.now_ms:
                events.pop(0)[1]()
            self.deliver()
            for instance in self.instances:
                self.step_instance(instance)
            self.count()
            self.now_ms += STEP_MS

    def count(self):
        # Somebody is ready wherever one that runs has the time for it.
        could = [
            one
            for one in self.instances
            if one.is_running
            and not one.is_cut
            and one.number != NOT_READY
            and (
                one.stopped_ms is None
                or self.now_ms < one.stopped_ms + BOUNDS.hold_ms - STEP_MS
            )
        ]
        if could and not any(one.is_ready for one in self.instances):
            self.gaps_ms.append(self.now_ms)
        late = [
            one
            for one in self.instances
            if one.is_in_rotation
            and one.stopped_ms is not None
            and self.now_ms >= one.stopped_ms + READY_LIMIT_MS
        ]
        self.n_late_most = max(self.n_late_most, len(late))

    def stops(self, at_ms):
        """Return the events that stop the instances at the given times, in turn."""
        order = self.random.sample(self.instances, len(self.instances))
        return [
            (ms, lambda one=one: self.stop(one))
            for ms, one in zip(at_ms, order, strict=True)
        ]


def spread(n_instances, duration_ms):
    return [1000 + duration_ms * k / n_instances for k in range(n_instances)]


def in_groups(n_instances, size, gap_ms):
    return [1000 + gap_ms * (k // size) for k in range(n_instances)]


PATTERN_BY_NAME = {
    "all within 3 s": lambda n: spread(n, 3000),
    "all within 50 ms": lambda n: spread(n, 50),
    "all at once": lambda n: [1000] * n,
    "two at a time": lambda n: in_groups(n, 2, 1300),
    "one at a time": lambda n: in_groups(n, 1, 1300),
}


@pytest.mark.parametrize("n_instances", SIZES)
@pytest.mark.parametrize("name", PATTERN_BY_NAME)
@pytest.mark.parametrize("seed", range(3))
class TestStopsOfAFleet:
    """Pattern: the platform stops all instances."""

    def play(self, n_instances, name, seed, events=(), **options):
        fleet = Fleet(n_instances, seed, **options)
        at_ms = PATTERN_BY_NAME[name](n_instances)
        made = events(fleet) if events else []
        fleet.run([*fleet.stops(at_ms), *made], max(at_ms) + 14_000)
        return fleet

    # Guards against a fleet of which all stop while one could still take callers.
    def test_somebody_is_ready(self, n_instances, name, seed):
        fleet = self.play(n_instances, name, seed)
        assert fleet.gaps_ms == []
        assert fleet.n_late_most <= 1

    # Guards against two that stay, each of which has not heard of the other.
    def test_one_stays_at_most_under_a_cut_from_control(self, n_instances, name, seed):
        def cut(fleet):
            def set_cut(is_cut):
                for one in fleet.random.sample(fleet.instances, n_instances // 2):
                    one.is_cut = is_cut

            def join():
                for one in fleet.instances:
                    one.is_cut = False

            start_ms = fleet.random.uniform(500, 3000)
            return [
                (start_ms, lambda: set_cut(True)),
                (start_ms + fleet.random.uniform(300, 4000), join),
            ]

        assert self.play(n_instances, name, seed, cut).n_late_most <= 1

    def test_one_stays_at_most_with_stale_reports(self, n_instances, name, seed):
        fleet = self.play(n_instances, name, seed, delays_ms=(100, 3000))
        assert fleet.n_late_most <= 1
