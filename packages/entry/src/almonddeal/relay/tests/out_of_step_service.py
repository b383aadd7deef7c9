"""Simulation of releases during which instances are cut off or stand still.

Engines also restart under their id with another software version. Some callers do not
name the stream that they resume.
"""

import anyio

from almonddeal.announced.announcement import READY
from almonddeal.publication.follower import MAX_SILENCE_MS
from almonddeal.relay.tests.announcements import make_announcement
from almonddeal.relay.tests.resuming_callers import Caller
from almonddeal.relay.tests.versioned_service import (
    DURATION_S,
    N_ENGINES,
    SHARE_DELAY_S,
    VersionedDay,
)
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import NOT_REACHED, AlmonddealError

RELEASE_INTERVAL_S = 3.0
OUTAGE_S = (1.5, 3.0)
STREAMS_BEGIN_S = (0.4, 1.2)  # from a release to the loss of connections
BACKLOG_S = (0.05, 0.3)  # for which an instance that wakes has not read its updates
UNNAMED_SHARE = 0.5
RESTART_S = 0.1


class UnnamedCaller(Caller):
    """A caller that resumes its stream without naming it."""

    __slots__ = ()

    def request(self, n_tries):
        """Return the request of the next try."""
        request = super().request(n_tries)
        request.resumed_request_id = None
        return request


class OutOfStepDay(VersionedDay):
    """Simulation with instances that miss releases."""

    def __init__(self, seed):
        super().__init__(seed)
        self._fleet.read_start_ms = self._read_start_ms
        self._unreached = set()  # instances that control does not reach
        self._stopped = set()
        self._heard_ms_by_instance = {}

    # Engines

    def _start_engine(self, version=None):
        is_first = len(self._engine_by_id) < N_ENGINES
        super()._start_engine("v1" if is_first else version)

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

    async def _restart(self, engine, version):
        """Restart an engine under its id and address, with another version."""
        engine.is_up = False
        engine.n_resets += 1
        await anyio.sleep(RESTART_S)
        engine.version = version
        engine.announcement.born_ms = int(monotonic_ms())
        engine.is_up = True
        self._announce(engine, READY)

    async def _read_start_ms(self, announcement):
        await anyio.sleep(0.001)
        engine = self._engine_by_id[announcement.target]
        if not engine.is_up:
            raise AlmonddealError(NOT_REACHED, "refused")
        return engine.announcement.born_ms

    # Instances

    def _start_instance(self, name):
        super()._start_instance(name)
        instance = self._instances[-1]
        instance.context.catch_up = lambda: self._catch_up(instance)
        instance.context.is_current = lambda: self._is_current(instance)

    def _is_reached(self, instance):
        return instance not in self._unreached and instance not in self._stopped

    def _is_current(self, instance):
        heard_ms = self._heard_ms_by_instance.get(instance, float("-inf"))
        return monotonic_ms() - heard_ms <= MAX_SILENCE_MS

    async def _catch_up(self, instance):
        await anyio.sleep(SHARE_DELAY_S)
        if not self._is_reached(instance):
            return False
        self._deliver(instance)
        return True

    def _deliver(self, instance):
        """Bring an instance all that control has, and its origins to control."""
        context = instance.context
        for announcement in self._announcement_by_id.values():
            context.targets.merge(announcement)
        for origin in context.stream_origins.values():
            self._origin_by_request.setdefault(origin.request, origin)
        for origin in self._origin_by_request.values():
            context.stream_origins.add(origin)
        self._heard_ms_by_instance[instance] = monotonic_ms()

    async def _share_reports(self, instance):
        await anyio.sleep(self._rng.uniform(0.02, 0.5))
        while instance.is_up:
            if self._is_reached(instance):
                self._deliver(instance)
            await anyio.sleep(SHARE_DELAY_S)

    async def _cut_off(self, instance):
        self._unreached.add(instance)
        await anyio.sleep(self._rng.uniform(*OUTAGE_S))
        self._unreached.discard(instance)

    async def _stop(self, instance):
        """Have an instance stand still; it reads requests before older updates."""
        self._stopped.add(instance)
        self._unreached.add(instance)
        for scope in list(instance.scopes):
            scope.cancel()
        await anyio.sleep(self._rng.uniform(*OUTAGE_S))
        self._stopped.discard(instance)
        # Time stood still for it.
        self._heard_ms_by_instance.pop(instance, None)
        await anyio.sleep(self._rng.uniform(*BACKLOG_S))
        self._unreached.discard(instance)

    async def _kill_all_instances(self):
        """Release versions while an instance is out of step, then break streams."""
        rng = self._rng
        for number in range(int(DURATION_S / RELEASE_INTERVAL_S)):
            await anyio.sleep(rng.uniform(0.3, 1.0))
            if self._instances:
                disturb = rng.choice([self._cut_off, self._stop])
                self._group.start_soon(disturb, rng.choice(self._instances))
            self._n_released += 1
            version = f"v{self._n_released}"
            await anyio.sleep(rng.uniform(0.05, 0.3))
            for engine in rng.sample(self._serving, min(4, len(self._serving))):
                change = self._restart if number % 2 else self._leave
                self._group.start_soon(change, engine, version)
            await anyio.sleep(rng.uniform(*STREAMS_BEGIN_S))
            for engine in self._serving:
                engine.n_resets += 1

    # Callers

    def _make_caller(self, name):
        is_unnamed = self._rng.random() < UNNAMED_SHARE
        return UnnamedCaller(name) if is_unnamed else Caller(name)

    async def _serve(self, instance, request, writer):
        while instance in self._stopped:
            await anyio.sleep(0.01)
        await super()._serve(instance, request, writer)
