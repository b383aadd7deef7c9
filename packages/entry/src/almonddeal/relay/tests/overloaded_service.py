"""Simulation of an overloaded service where callers resume streams beside new requests.

Engines of two software versions have no room left. A part of the callers lose their
connections at the same moment and resume their streams some seconds later, when they
find that the connections are dead; some seconds after that the service fails.
"""

import random

import anyio

from almonddeal.relay.gateway import serve_request
from almonddeal.relay.requests import Generation
from almonddeal.relay.tests.fakes import (
    TRAITS,
    FakeFleet,
    FakeResponseWriter,
    ResponseHead,
    make_event,
    make_request,
    make_route,
    make_table,
)
from almonddeal.routing.model import STREAM
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.virtual_time import run_in_virtual_time

N_INSTANCES = 5
VERSION_BY_TARGET = {f"i-{n}": "v1" if n <= 3 else "v2" for n in range(1, 7)}
DOMAIN_BY_TARGET = {target: f"fd{int(target[2:]) % 3}" for target in VERSION_BY_TARGET}
MAX_RUNS = 12  # of an engine; it refuses more
N_PROMPT_TOKENS = 5000
N_EVENTS_RANGE = (60, 180)  # of a response
TOKENS_PER_EVENT = 6
EVENT_INTERVAL_S = 0.1
PREFILL_S = 0.25  # of one prompt; an engine reads one after the other
TIMEOUT_MS = 25_000.0
REQUEST_RATE_PER_S = 16.0  # about twice of what the engines take in
LOSS_S = 8.0
LOST_SHARE = 0.7  # of the connections
END_S = 20.0  # four seconds after callers came back
SHARE_DELAY_S = 0.01  # reports pass a control instance
SILENCE_S = 8.0  # after which callers find that their connections are dead
MAX_TRIES = 4
MAX_RETRY_SHARE = 1 / 3  # of the time left, that a caller waits before a retry
TABLE = make_table(make_route(STREAM, timeout_ms=TIMEOUT_MS), TRAITS)


class Caller:
    """What one caller received over all its tries.

    Attributes
    ----------
    n_taken_up : int or None
        How many events it had when it first resumed its stream.
    """

    __slots__ = (
        "event_ids",
        "first_request_id",
        "n_events",
        "n_taken_up",
        "name",
        "started_ms",
    )

    def __init__(self, name, n_events):
        self.name = name
        self.n_events = n_events
        self.started_ms = monotonic_ms()
        self.event_ids = []
        self.first_request_id = None
        self.n_taken_up = None

    @property
    def left_ms(self):
        """Time left until the deadline of the caller."""
        return TIMEOUT_MS - (monotonic_ms() - self.started_ms)

    def request(self, n_tries):
        """Return the request of the next try."""
        changes = {}
        if self.event_ids:
            self.n_taken_up = self.n_taken_up or len(self.event_ids)
            changes["last_event_id"] = self.event_ids[-1]
            changes["resumed_request_id"] = self.first_request_id
        generation = Generation(
            N_PROMPT_TOKENS,
            self.n_events * TOKENS_PER_EVENT,
            f"print-{self.name}",
            f"part-{self.name}",
        )
        request_id = f"{self.name}-{n_tries}"
        return make_request(self.left_ms, generation, request_id=request_id, **changes)

    def add(self, request, writer):
        """Add what a try brought."""
        if writer.event_ids and not self.event_ids:
            self.first_request_id = request.request_id
        self.event_ids += writer.event_ids


class OverloadedDay:
    """Simulation of a service that receives more requests than its engines take in.

    It ends soon after the callers of lost connections have come back.

    Parameters
    ----------
    seed : int

    Attributes
    ----------
    callers : list of Caller
    rejected_left_ms : list of float
        Time left to callers of each resumed request that was rejected.
    """

    def __init__(self, seed):
        self._rng = random.Random(seed)
        behaviours = dict.fromkeys(VERSION_BY_TARGET, self._run)
        self._fleet = FakeFleet(behaviours, DOMAIN_BY_TARGET, VERSION_BY_TARGET)
        self._instances = [
            self._fleet.add_instance(f"entry-{n}", f"fd{n}") for n in range(N_INSTANCES)
        ]
        self._n_runs = dict.fromkeys(VERSION_BY_TARGET, 0)
        self._prefill_lock = {target: anyio.Lock() for target in VERSION_BY_TARGET}
        self._scopes = set()
        self.callers = []
        self.rejected_left_ms = []

    @property
    def begun(self):
        """Whether each stream began, as a list."""
        return [bool(caller.event_ids) for caller in self.callers]

    @property
    def resumed(self):
        """Whether each stream that its caller took up again went on, as a list."""
        return [
            len(caller.event_ids) > caller.n_taken_up
            for caller in self.callers
            if caller.n_taken_up is not None
        ]

    async def play(self):
        """Send requests until `END_S`, and break all connections at `LOSS_S`."""
        random.seed(self._rng.random())
        async with anyio.create_task_group() as group:
            for instance in self._instances:
                group.start_soon(self._share_reports, instance)
            group.start_soon(self._lose_connections)
            end_s = anyio.current_time() + END_S
            while anyio.current_time() < end_s:
                await anyio.sleep(self._rng.expovariate(REQUEST_RATE_PER_S))
                n_events = self._rng.randint(*N_EVENTS_RANGE)
                caller = Caller(f"c{len(self.callers)}", n_events)
                self.callers.append(caller)
                group.start_soon(self._call, caller)
            group.cancel_scope.cancel()
        return self

    async def _run(self, attempt):
        """Run an attempt at an engine."""
        target = attempt.target.target
        if self._n_runs[target] >= MAX_RUNS:
            yield ResponseHead(503, is_not_run=True)
            return
        self._n_runs[target] += 1
        try:
            async with self._prefill_lock[target]:
                await anyio.sleep(PREFILL_S)
            yield 200
            n_tokens = attempt.admitted.request.generation.n_output_tokens
            n_events = n_tokens // TOKENS_PER_EVENT
            for number in range((attempt.last_event_id or 0) + 1, n_events + 1):
                await anyio.sleep(EVENT_INTERVAL_S)
                yield make_event(number, VERSION_BY_TARGET[target])
        finally:
            self._n_runs[target] -= 1

    async def _share_reports(self, instance):
        """Pass the reports of an instance on to the others."""
        n_runs = n_origins = 0
        while True:
            await anyio.sleep(SHARE_DELAY_S)
            runs = instance.runs.changed_since(n_runs)
            n_runs = instance.runs.revision
            origins = instance.stream_origins.changed_since(n_origins)
            n_origins = instance.stream_origins.revision
            for other in self._instances:
                if other is instance:
                    continue
                for origin in origins:
                    other.stream_origins.add(origin)
                for run in runs:
                    if run.instance == instance.instance:
                        other.merge_remote_run(run)

    async def _lose_connections(self):
        await anyio.sleep(LOSS_S)
        for scope in list(self._scopes):
            if self._rng.random() < LOST_SHARE:
                scope.cancel()

    async def _call(self, caller):
        """Send the request of a caller; resume its stream until it is complete."""
        for n_tries in range(MAX_TRIES):
            instance = self._rng.choice(self._instances)
            request = caller.request(n_tries)
            writer = FakeResponseWriter()
            try:
                with anyio.CancelScope() as scope:
                    self._scopes.add(scope)
                    await serve_request(request, lambda: TABLE, instance, writer)
            finally:
                self._scopes.discard(scope)
                caller.add(request, writer)
            if caller.event_ids and writer.error is not None:
                self.rejected_left_ms.append(caller.left_ms)
            if writer.is_complete:
                return
            await anyio.sleep(self._retry_delay_s(caller, writer.error))
            if caller.left_ms <= 0:
                return

    def _retry_delay_s(self, caller, error):
        """Return how long a caller waits before its next try."""
        if error is None:
            return SILENCE_S
        max_delay_ms = MAX_RETRY_SHARE * max(0.0, caller.left_ms)
        return min(error.retry_after_ms or 0.0, max_delay_ms) / 1000


def play_overloaded_day(seed):
    """Return an `OverloadedDay` after its end."""

    async def main():
        return await OverloadedDay(seed).play()

    return run_in_virtual_time(main)
