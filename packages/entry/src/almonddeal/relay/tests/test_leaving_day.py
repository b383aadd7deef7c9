"""Simulated runs with targets that say that they leave, end and start again.

Several leave at a time while requests wait for engines. All still announce that they
are ready, until they start again under the same id.
"""

import math
import random

import anyio
import pytest

from almonddeal.relay.gateway import serve_request
from almonddeal.relay.requests import Generation
from almonddeal.relay.tests.fakes import (
    TRAITS,
    FakeFleet,
    FakeResponseWriter,
    ResponseHead,
    make_announcement,
    make_event,
    make_request,
    make_route,
    make_table,
)
from almonddeal.routing.model import LOOKUP, ORDER, STREAM
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import LINK_LOST, NOT_REACHED, AlmonddealError
from almonddeal_common.virtual_time import VirtualTime

N_TARGETS = 5
N_INSTANCES = 2
DURATION_S = 30.0
REQUEST_RATE_PER_S = 30.0
N_PROMPT_TOKENS = 40_000  # an engine has room for one of them
N_EVENTS = 40
EVENT_INTERVAL_S = 0.02
LEAVE_INTERVAL_S = 1.0
MAX_LEAVING = 3  # at a time
LEAVE_S = (2.0, 5.0)  # from the first response that says so to the end
DOWN_S = (0.2, 1.0)
ANNOUNCE_INTERVAL_S = 0.3
REFUSAL_SHARE = 0.1
LOSS_SHARE = 0.05
TABLE_BY_KIND = {
    LOOKUP: make_table(make_route(LOOKUP)),
    ORDER: make_table(make_route(ORDER)),
    STREAM: make_table(make_route(STREAM), TRAITS),
}


class Process:
    """One process of a target."""

    __slots__ = ("announcement", "is_leaving", "is_up", "n_received")

    def __init__(self, number):
        self.announcement = make_announcement(
            f"i-{number}", f"fd{number % 3}", int(monotonic_ms())
        )
        self.is_leaving = False
        self.is_up = True
        self.n_received = 0


class LeavingDay:
    """One simulated run.

    Attributes
    ----------
    told_ms_by_key : dict of tuple to float
        When a process first told an instance that it leaves, by instance, target and
        start time.
    n_late : int
        Requests that reached a process from an instance that it had told before.
    n_waiting_at_leave : list of int
        Requests that waited for an engine at these moments.
    processes : list of Process
        All processes, in the order of their start.
    writers : list of FakeResponseWriter
        Of all requests.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        random.seed(seed)
        self.process_by_target = {}
        self.processes = []
        self.told_ms_by_key = {}
        self.n_late = 0
        self.n_waiting_at_leave = []
        self.writers = []
        self.fleets = []

    async def play(self):
        """Send requests for `DURATION_S`."""
        for number in range(1, N_TARGETS + 1):
            self._start(number)
        for instance in range(N_INSTANCES):
            steps = self._make_steps(instance)
            self.fleets.append(FakeFleet(dict.fromkeys(self.process_by_target, steps)))
            self._announce(self.fleets[-1])
        async with anyio.create_task_group() as group:
            group.start_soon(self._announce_periodically)
            group.start_soon(self._have_targets_leave, group)
            ends_s = anyio.current_time() + DURATION_S
            while anyio.current_time() < ends_s:
                await anyio.sleep(self.rng.expovariate(REQUEST_RATE_PER_S))
                group.start_soon(self._request)
            await anyio.sleep(10.0)
            group.cancel_scope.cancel()
        return self

    def _start(self, number):
        process = Process(number)
        self.process_by_target[process.announcement.target] = process
        self.processes.append(process)

    def _announce(self, fleet):
        for process in self.process_by_target.values():
            if process.is_up:
                process.announcement.sequence += 1
                announcement = make_announcement(
                    process.announcement.target,
                    process.announcement.failure_domain,
                    process.announcement.born_ms,
                )
                announcement.sequence = process.announcement.sequence
                fleet.target_table.merge(announcement)

    async def _announce_periodically(self):
        while True:
            for fleet in self.fleets:
                await anyio.sleep(self.rng.uniform(0.0, ANNOUNCE_INTERVAL_S))
                self._announce(fleet)
                # A late announcement of an earlier process.
                earlier = self.rng.choice(self.processes)
                fleet.target_table.merge(earlier.announcement)

    async def _have_targets_leave(self, group):
        while True:
            await anyio.sleep(self.rng.expovariate(1 / LEAVE_INTERVAL_S))
            serving = [
                process
                for process in self.process_by_target.values()
                if process.is_up and not process.is_leaving
            ]
            if len(serving) > N_TARGETS - MAX_LEAVING:
                group.start_soon(self._leave, self.rng.choice(serving))

    async def _leave(self, process):
        process.is_leaving = True
        await anyio.sleep(self.rng.uniform(*LEAVE_S))
        process.is_up = False
        await anyio.sleep(self.rng.uniform(*DOWN_S))
        self._start(int(process.announcement.target[2:]))

    def _make_steps(self, instance):
        async def steps(attempt):
            process = self.process_by_target[attempt.target.target]
            if not process.is_up:
                raise AlmonddealError(NOT_REACHED, "refused")
            process.n_received += 1
            key = (instance, attempt.target.target, attempt.target.born_ms)
            told_ms = self.told_ms_by_key.get(key, math.inf)
            self.n_late += monotonic_ms() > told_ms
            await anyio.sleep(self.rng.uniform(0.02, 0.06))
            if self.rng.random() < LOSS_SHARE:
                raise AlmonddealError(LINK_LOST, "reset")
            is_refused = self.rng.random() < REFUSAL_SHARE
            if process.is_leaving and key not in self.told_ms_by_key:
                self.told_ms_by_key[key] = monotonic_ms()
                queue = self.fleets[instance].context.admission_queue("s")
                self.n_waiting_at_leave.append(len(queue))
            yield ResponseHead(
                503 if is_refused else 200,
                is_not_run=is_refused,
                is_leaving=process.is_leaving,
            )
            if attempt.admitted.route.kind != STREAM:
                yield b"whole"
                return
            first = (attempt.last_event_id or 0) + 1
            for number in range(first, N_EVENTS + 1):
                await anyio.sleep(EVENT_INTERVAL_S)
                if not process.is_up:
                    raise AlmonddealError(LINK_LOST, "ended")
                yield make_event(number)

        return steps

    async def _request(self):
        fleet = self.rng.choice(self.fleets)
        kind = self.rng.choice([LOOKUP, ORDER, STREAM])
        name = f"req-{len(self.writers)}"
        generation = None
        if kind == STREAM:
            generation = Generation(N_PROMPT_TOKENS, 100, name, name)
        request = make_request(10_000.0, generation, request_id=name)
        writer = FakeResponseWriter()
        self.writers.append(writer)
        await serve_request(request, lambda: TABLE_BY_KIND[kind], fleet.context, writer)
        if kind == STREAM and writer.is_complete:
            assert writer.event_ids == list(range(1, N_EVENTS + 1))


@pytest.fixture(scope="module", params=[1, 2, 3])
def day(request):
    """One run for all tests, by its seed."""
    with VirtualTime() as virtual:
        return virtual.run(LeavingDay(request.param).play)


class TestLeavingDay:
    def test_targets_that_said_they_leave_get_no_requests(self, day):
        """Guards against requests that reach a target long after it said it leaves."""
        assert len(day.told_ms_by_key) > N_INSTANCES * N_TARGETS
        assert day.n_late == 0

    def test_targets_that_started_again_get_requests(self, day):
        restarted = day.processes[N_TARGETS:-N_TARGETS]
        assert len(restarted) > N_TARGETS
        n_used = sum(process.n_received > 0 for process in restarted)
        assert n_used > 0.6 * len(restarted)

    def test_requests_wait_and_are_served(self, day):
        assert any(day.n_waiting_at_leave)
        n_served = sum(writer.status == 200 for writer in day.writers)
        assert n_served > 0.7 * len(day.writers)

    def test_rejected_requests_are_not_run_or_were_lost(self, day):
        errors = [writer.error for writer in day.writers if writer.error]
        assert errors
        for error in errors:
            assert error.was_run != "no" or error.retry_after_ms > 0
