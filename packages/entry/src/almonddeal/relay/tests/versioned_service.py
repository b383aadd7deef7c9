"""Simulation of a service whose engines change their software version while it serves.

Engines crash, leave, fall silent, lose connections and are replaced by others, some of
another version. Instances are killed and lose their memory; control is reached always.
"""

import random

import anyio

from almonddeal.announced.announcement import DEREGISTERED, DRAINING, READY
from almonddeal.relay.gateway import serve_request
from almonddeal.relay.tests.fakes import (
    TRAITS,
    FakeFleet,
    FakeResponseWriter,
    ResponseHead,
    make_announcement,
    make_event,
    make_route,
    make_table,
)
from almonddeal.relay.tests.resuming_callers import N_EVENTS, Caller
from almonddeal.routing.model import STREAM
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import LINK_LOST, NOT_REACHED, AlmonddealError

N_INSTANCES = 3
N_ENGINES = 8
MAX_RUNS = 16  # of an engine; it refuses more
EVENT_INTERVAL_S = 0.015
PREFILL_S = 0.08
DURATION_S = 20.0
MAX_DURATION_S = 60.0
STREAM_RATE_PER_S = 8.0
MEAN_FAULT_INTERVAL_S = 0.7
KILL_INTERVAL_S = 6.0  # between kills of all instances
SHARE_DELAY_S = 0.01  # reports pass a control instance
RESUME_DELAYS_S = (0.05, 0.6)
MAX_TRIES = 6
TABLE = make_table(make_route(STREAM), TRAITS)


class Engine:
    """One process of the service, under an id of its own."""

    __slots__ = (
        "announcement",
        "is_leaving",
        "is_up",
        "n_resets",
        "n_runs",
        "silent_until_ms",
        "version",
    )

    def __init__(self, number, version):
        self.version = version
        self.announcement = make_announcement(
            f"i-{number}", f"fd{number % 3}", int(monotonic_ms()), version=version
        )
        self.is_up = True
        self.is_leaving = False
        self.n_resets = 0
        self.n_runs = 0
        self.silent_until_ms = 0.0

    @property
    def target(self):
        """Its id."""
        return self.announcement.target

    @property
    def serves(self):
        """Whether it takes requests."""
        return self.is_up and not self.is_leaving


class Instance:
    """One entry instance from its start to its kill."""

    __slots__ = ("context", "is_up", "name", "scopes")

    def __init__(self, name, context):
        self.name = name
        self.context = context
        self.is_up = True
        self.scopes = set()


class VersionedDay:
    """Simulation of a service with engines of several software versions.

    Parameters
    ----------
    seed : int
    min_resumed : int
        Streams that are resumed before the day ends; it lasts up to `MAX_DURATION_S`.

    Attributes
    ----------
    callers : list of Caller
    n_mixed_copies : int
        KV-cache copies that were sent to an engine of another version.
    begun : list of bool
        Whether the first tries of callers brought events.
    resumed : list of bool
        Whether resumed requests brought events, of those that were answered while two
        engines served the version of the stream.
    """

    _make_caller = Caller

    def __init__(self, seed, min_resumed=0):
        self._rng = random.Random(seed)
        self._min_resumed = min_resumed
        self._fleet = FakeFleet({})
        self._fleet.is_alive = self._fleet.is_reachable = self._is_alive
        self._fleet.send_kv_copy = self._send_kv_copy
        self._engine_by_id = {}
        self._id_by_address = {}
        self._announcement_by_id = {}
        self._origin_by_request = {}
        self._instances = []
        self._n_released = 2
        self._group = None
        self.callers = []
        self.n_mixed_copies = 0
        self.begun = []
        self.resumed = []

    async def play(self):
        """Send streams for `DURATION_S` while engines and instances fail."""
        random.seed(self._rng.random())
        async with anyio.create_task_group() as group:
            self._group = group
            for number in range(N_ENGINES):
                self._start_engine(f"v{1 + number % 2}")
            for number in range(N_INSTANCES):
                self._start_instance(f"entry-{number}")
            await anyio.sleep(1.0)
            group.start_soon(self._break_things)
            group.start_soon(self._kill_all_instances)
            await self._send_streams()
            group.cancel_scope.cancel()
        return self

    # Engines

    def _start_engine(self, version=None):
        number = len(self._engine_by_id) + 1
        newest = self._n_released
        version = version or f"v{self._rng.randint(max(1, newest - 1), newest)}"
        engine = Engine(number, version)
        self._engine_by_id[engine.target] = engine
        self._id_by_address[engine.announcement.address] = engine.target
        self._fleet.behaviour_by_target[engine.target] = self._run
        self._announce(engine, READY)

    def _announce(self, engine, state):
        announcement = make_announcement(
            engine.target,
            engine.announcement.failure_domain,
            engine.announcement.born_ms,
            state,
            version=engine.version,
        )
        announcement.sequence = state
        self._announcement_by_id[engine.target] = announcement
        for instance in self._instances:
            instance.context.targets.merge(announcement)

    @property
    def _serving(self):
        return [engine for engine in self._engine_by_id.values() if engine.serves]

    async def _replace(self, engine, version=None):
        await anyio.sleep(self._rng.uniform(0.3, 2.0))
        self._start_engine(version)

    def _crash(self, engine):
        engine.is_up = False
        self._group.start_soon(self._replace, engine)
        self._group.start_soon(self._expire, engine)

    async def _expire(self, engine):
        await anyio.sleep(2.0)
        self._announce(engine, DEREGISTERED)

    async def _leave(self, engine, version=None):
        """Have an engine drain, end and be replaced."""
        engine.is_leaving = True
        self._announce(engine, DRAINING)
        await anyio.sleep(self._rng.uniform(0.0, 1.2))
        engine.is_up = False
        self._announce(engine, DEREGISTERED)
        await self._replace(engine, version)

    def _release(self):
        """Replace all engines of the oldest version by those of the newest one."""
        self._n_released += 1
        oldest = min(engine.version for engine in self._serving)
        for engine in self._serving:
            if engine.version == oldest:
                version = f"v{self._n_released}"
                self._group.start_soon(self._leave, engine, version)

    async def _is_alive(self, announcement):
        return self._engine_by_id[announcement.target].is_up

    async def _send_kv_copy(self, announcement, request_id, address):
        self._check_copy(announcement.target, address)
        return f"copy-{request_id}-{address}"

    def _check_copy(self, target, address):
        backup = self._engine_by_id[self._id_by_address[address]]
        self.n_mixed_copies += backup.version != self._engine_by_id[target].version

    async def _run(self, attempt):
        """Run an attempt at an engine, which writes its version into the events."""
        engine = self._engine_by_id[attempt.target.target]
        if not engine.is_up:
            raise AlmonddealError(NOT_REACHED, "refused")
        if engine.n_runs >= MAX_RUNS or engine.is_leaving:
            yield ResponseHead(503, is_not_run=True)
            return
        if attempt.backup_address is not None:
            self._check_copy(engine.target, attempt.backup_address)
        n_resets = engine.n_resets
        engine.n_runs += 1
        try:
            await anyio.sleep(PREFILL_S if attempt.copy is None else EVENT_INTERVAL_S)
            parts = self._fleet.cached_by_target.setdefault(engine.target, set())
            parts.add(attempt.admitted.request.generation.last_prefix_hash)
            self._check_connection(engine, n_resets)
            yield 200
            for number in range((attempt.last_event_id or 0) + 1, N_EVENTS + 1):
                silent_ms = max(0.0, engine.silent_until_ms - monotonic_ms())
                await anyio.sleep(EVENT_INTERVAL_S + silent_ms / 1000)
                if not engine.is_up or engine.n_resets != n_resets:
                    yield b"id:%d\nda" % number
                self._check_connection(engine, n_resets)
                yield make_event(number, engine.version)
        finally:
            engine.n_runs -= 1

    def _check_connection(self, engine, n_resets):
        if not engine.is_up or engine.n_resets != n_resets:
            raise AlmonddealError(LINK_LOST, "reset")

    # Instances

    def _start_instance(self, name):
        context = self._fleet.add_instance(name, f"fd{name[-1]}")
        context.targets.target_by_id.clear()
        instance = Instance(name, context)
        self._instances.append(instance)
        self._group.start_soon(self._share_reports, instance)

    async def _share_reports(self, instance):
        """Bring an instance all reports; then pass its own on to the others."""
        context = instance.context
        await anyio.sleep(self._rng.uniform(0.02, 0.5))
        for announcement in self._announcement_by_id.values():
            context.targets.merge(announcement)
        await anyio.sleep(self._rng.uniform(0.0, 0.2))
        for origin in self._origin_by_request.values():
            context.stream_origins.add(origin)
        n_runs = 0
        while instance.is_up:
            runs = context.runs.changed_since(n_runs)
            n_runs = context.runs.revision
            new = [
                origin
                for origin in context.stream_origins.values()
                if origin.request not in self._origin_by_request
            ]
            await anyio.sleep(SHARE_DELAY_S)
            for origin in new:
                self._origin_by_request[origin.request] = origin
            for other in self._instances:
                if other is instance or not other.is_up:
                    continue
                for origin in new:
                    other.context.stream_origins.add(origin)
                for run in runs:
                    other.context.merge_remote_run(run)

    async def _kill(self, instances):
        """Kill instances at the same moment; they start again without memory."""
        for instance in instances:
            instance.is_up = False
            self._instances.remove(instance)
            for scope in list(instance.scopes):
                scope.cancel()
        for instance in instances:
            await anyio.sleep(self._rng.uniform(0.1, 0.8))
            self._start_instance(instance.name)

    async def _kill_all_instances(self):
        for _ in range(int(DURATION_S / KILL_INTERVAL_S)):
            await anyio.sleep(KILL_INTERVAL_S)
            self._group.start_soon(self._kill, list(self._instances))

    async def _break_things(self):
        rng = self._rng
        while True:
            await anyio.sleep(rng.expovariate(1 / MEAN_FAULT_INTERVAL_S))
            if not self._serving:
                continue
            engine = rng.choice(self._serving)
            kind = rng.choices(
                ["crash", "leave", "silence", "reset", "kill", "release"],
                [4, 2, 2, 3, 4, 1],
            )[0]
            if kind == "crash":
                self._crash(engine)
            elif kind == "leave":
                self._group.start_soon(self._leave, engine)
            elif kind == "silence":
                engine.silent_until_ms = monotonic_ms() + rng.uniform(300.0, 1500.0)
            elif kind == "reset":
                engine.n_resets += 1
            elif kind == "release":
                self._release()
            elif self._instances:
                self._group.start_soon(self._kill, [rng.choice(self._instances)])

    # Callers

    def _is_day(self, elapsed_ms):
        has_too_few = len(self.resumed) < self._min_resumed
        return elapsed_ms < 1000 * (MAX_DURATION_S if has_too_few else DURATION_S)

    async def _send_streams(self):
        async with anyio.create_task_group() as group:
            started_ms = monotonic_ms()
            while self._is_day(monotonic_ms() - started_ms):
                await anyio.sleep(self._rng.expovariate(STREAM_RATE_PER_S))
                caller = self._make_caller(f"c{len(self.callers)}")
                self.callers.append(caller)
                group.start_soon(self._call, caller)

    def _serves_twice(self, versions):
        return sum(engine.version in versions for engine in self._serving) >= 2

    async def _serve(self, instance, request, writer):
        await serve_request(request, lambda: TABLE, instance.context, writer)

    async def _call(self, caller):
        """Send the request of a caller; resume its stream until it is complete."""
        for n_tries in range(MAX_TRIES):
            if not self._instances:
                await anyio.sleep(self._rng.uniform(*RESUME_DELAYS_S))
                continue
            instance = self._rng.choice(self._instances)
            request = caller.request(n_tries)
            versions = set(caller.versions)
            counts = not versions or self._serves_twice(versions)
            writer = FakeResponseWriter()
            with anyio.CancelScope() as scope:
                instance.scopes.add(scope)
                await self._serve(instance, request, writer)
            instance.scopes.discard(scope)
            has_brought = caller.add(request, writer)
            if counts and instance.is_up and not n_tries:
                self.begun.append(has_brought)
            elif (
                counts and instance.is_up and versions and self._serves_twice(versions)
            ):
                self.resumed.append(has_brought)
            if caller.is_complete:
                return
            await anyio.sleep(self._rng.uniform(*RESUME_DELAYS_S))
