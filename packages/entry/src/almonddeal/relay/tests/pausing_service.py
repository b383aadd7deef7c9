"""Simulation of a service whose targets ask for pauses while callers send all kinds."""

import random

import anyio

from almonddeal.relay.plain import relay_plain
from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    ResponseHead,
    admit_plain,
    admit_stream,
    make_event,
    make_route,
)
from almonddeal.routing.model import LOOKUP, ORDER, STREAM
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import LINK_LOST, AlmonddealError

RESUMED = "resumed stream"
KINDS = (LOOKUP, ORDER, STREAM, RESUMED)
LAST = 20  # event of a stream
RESUMED_AFTER = 5
RATE_PER_S = 40.0
MAX_DELAY_S = 0.03  # of a request or a response on its way
# The users' bound: from this time after a rejection with a pause, to the end of the
# pause, a target gets at most so many requests from an instance.
GRACE_S = 0.5
N_TOLERATED = 2


class Call:
    """One request of a caller and its outcome."""

    __slots__ = ("error", "kind", "sent_s", "took_ms", "writer")

    def __init__(self, kind, sent_s):
        self.kind = kind
        self.sent_s = sent_s
        self.writer = FakeResponseWriter()
        self.error = None
        self.took_ms = 0.0

    @property
    def is_served(self):
        """Whether the caller received the whole response."""
        if self.kind in (LOOKUP, ORDER):
            return self.writer.status == 200
        first = RESUMED_AFTER + 1 if self.kind == RESUMED else 1
        expected = list(range(first, LAST + 1))
        return self.writer.is_complete and self.writer.event_ids == expected


class PausingService:
    """Targets that may reject requests and ask for pauses, and calls to them.

    Parameters
    ----------
    domain_by_target : dict of str to str
    seed : int

    Attributes
    ----------
    pauses_s_by_target : dict of str to list of (float, float)
        Times from when and until when a target asked for no requests.
    arrivals_s_by_target : dict of str to list of float
    calls : list of Call
    """

    def __init__(self, domain_by_target, seed=1):
        self.rng = random.Random(seed)
        self.pause_s_by_target = {}
        self.loss_share = 0.0
        self.is_not_run = True
        self.pauses_s_by_target = {target: [] for target in domain_by_target}
        self.arrivals_s_by_target = {target: [] for target in domain_by_target}
        self.calls = []
        behaviours = dict.fromkeys(domain_by_target, self._respond)
        self.fleet = FakeFleet(behaviours, domain_by_target)
        self.fleet.add_origin()

    def ask_for_pause(self, target, pause_s):
        """Have a target reject its requests; the pause is the value or drawn by it."""
        self.pause_s_by_target[target] = pause_s

    def serve(self, target):
        """Have a target serve its requests again."""
        self.pause_s_by_target.pop(target, None)

    async def _respond(self, attempt):
        target = attempt.target.target
        await anyio.sleep(self.rng.uniform(0.0, MAX_DELAY_S))
        self.arrivals_s_by_target[target].append(anyio.current_time())
        pause_s = self.pause_s_by_target.get(target)
        if pause_s is not None:
            pause_s = pause_s() if callable(pause_s) else pause_s
            now_s = anyio.current_time()
            self.pauses_s_by_target[target].append((now_s, now_s + pause_s))
            await anyio.sleep(self.rng.uniform(0.0, MAX_DELAY_S))
            yield ResponseHead(503, self.is_not_run, retry_after_ms=1000 * pause_s)
            yield b"later"
            return
        await anyio.sleep(self.rng.uniform(0.01, 0.06))
        yield 200
        if attempt.admitted.route.kind != STREAM:
            yield b"whole"
            return
        for number in range((attempt.last_event_id or 0) + 1, LAST + 1):
            await anyio.sleep(0.02)
            if self.rng.random() < self.loss_share:
                raise AlmonddealError(LINK_LOST, "reset")
            yield make_event(number)

    async def call(self, kind, timeout_ms=None):
        """Send one request; return its `Call`."""
        call = Call(kind, anyio.current_time())
        self.calls.append(call)
        number = len(self.calls)
        started_ms = monotonic_ms()
        context = self.fleet.context
        try:
            if kind in (LOOKUP, ORDER):
                admitted = admit_plain(make_route(kind), timeout_ms or 1000.0)
                await relay_plain(admitted, context, call.writer)
            else:
                admitted = admit_stream(
                    timeout_ms=timeout_ms or 10_000.0,
                    last_event_id=RESUMED_AFTER if kind == RESUMED else None,
                    resumed_request_id="req0" if kind == RESUMED else None,
                    request_id=f"call-{number}",
                )
                await relay_stream(admitted, context, call.writer)
        except AlmonddealError as error:
            call.error = error
        call.took_ms = monotonic_ms() - started_ms
        return call

    async def send_for(self, duration_s, kinds=KINDS):
        """Send requests at random moments for a time, and wait for their ends."""
        end_s = anyio.current_time() + duration_s
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(self.rng.expovariate(RATE_PER_S))
                if anyio.current_time() >= end_s:
                    break
                group.start_soon(self.call, self.rng.choice(kinds))

    async def ask_at_random(self):
        """Have targets ask for pauses of any length, now and then, without end."""
        targets = sorted(self.pauses_s_by_target)
        while True:
            await anyio.sleep(self.rng.expovariate(len(targets)))
            target = self.rng.choice(targets)
            self.is_not_run = self.rng.random() < 0.8
            self.ask_for_pause(target, self._draw_pause_s)
            await anyio.sleep(self.rng.uniform(0.05, 1.5))
            if self.rng.random() < 0.7:
                self.serve(target)

    def _draw_pause_s(self):
        return self.rng.choice((0.0, 0.1, 0.6, 1.0, 2.5, 3.0, 5.0))

    def most_late_arrivals(self):
        """Return the most requests that reached a target in the rest of a pause."""
        return max(
            (
                sum(since_s + GRACE_S < s < until_s for s in arrivals_s)
                for target, arrivals_s in self.arrivals_s_by_target.items()
                for since_s, until_s in self.pauses_s_by_target[target]
            ),
            default=0,
        )

    def left_s(self, at_s):
        """Return the time left until a target takes requests, of what was asked."""
        return min(
            max((end_s - at_s for since_s, end_s in pauses_s if since_s <= at_s))
            for pauses_s in self.pauses_s_by_target.values()
        )
