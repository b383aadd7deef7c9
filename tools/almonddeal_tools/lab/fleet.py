"""Simulated engines and the product's own relay in several entry instances.

The relay's code and decisions are the product's; engines, links and callers are models.
"""

from contextlib import asynccontextmanager
from functools import partial

import anyio

from almonddeal.announced.announcement import READY
from almonddeal.relay.context import RelayContext, TargetClient
from almonddeal.relay.load import LoadView
from almonddeal.relay.requests import TargetResponse
from almonddeal.relay.targets import TargetTable
from almonddeal.relay.tests.fakes import NoMetrics
from almonddeal.roles.settings import RetryLimits
from almonddeal.routing.model import EngineTraits, Service
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import LINK_LOST, NOT_REACHED, AlmonddealError
from almonddeal_common.wire.gen.ttypes import AnnouncedTarget
from almonddeal_tools.lab.engine import LOST, EngineModel

SERVICE_NAME = "pool"
LINK_S = 0.001  # one way between an instance and an engine
CONNECT_TIMEOUT_S = 0.25  # as in the adapter
PROBE_TIMEOUT_S = 0.25  # as in the adapter
WORD_S = 0.02  # until an instance hears of a run of another one, or of a target
CLEAN_INTERVAL_S = 1.0
COPY_LIFETIME_MS = 4000.0
RETRY_LIMITS = (0.8, 10.0, 150.0)


class SharedRuns:
    """The runs of one instance, told to the others after a while.

    Parameters
    ----------
    tell : callable
        ``tell(run)`` brings a run to the other instances.
    """

    __slots__ = ("_tell",)

    def __init__(self, tell):
        self._tell = tell

    def put(self, request_id, run):
        """Tell the newest state of a run."""
        self._tell(run)


class LabFleet:
    """Engines in failure domains, and entry instances that relay to them.

    Parameters
    ----------
    group : anyio.abc.TaskGroup
        Runs the engines.
    speed : EngineSpeed
    n_engines, n_domains, n_instances : int
    choices : SelectionPolicy
        Where work goes.
    shares_runs : bool
        Whether instances hear of each other's runs.

    Attributes
    ----------
    engine_by_address : dict of str to EngineModel
    instances : list of RelayContext
    service : Service
    """

    def __init__(
        self,
        group,
        speed,
        n_engines,
        n_domains,
        n_instances,
        choices,
        shares_runs=True,
    ):
        self.engine_by_address = {}
        self.instances = []
        self._group = group
        self._n_lives = 0
        self._shares_runs = shares_runs
        traits = EngineTraits(
            speed.n_slots,
            speed.n_cache_tokens,
            True,
            speed.tokens_per_event,
            COPY_LIFETIME_MS,
        )
        self.service = Service(SERVICE_NAME, traits)
        for number in range(n_engines):
            address = f"10.0.{number}.1:80"
            self.engine_by_address[address] = EngineModel(
                address, f"fd{number % n_domains}", speed, self.engine_by_address
            )
        for number in range(n_instances):
            self._add_instance(number, f"fd{number % n_domains}", choices)

    def _add_instance(self, number, domain, choices):
        instance = RelayContext(
            f"entry-{number}",
            domain,
            TargetTable(),
            LoadView(),
            SharedRuns(partial(self._share_run, number)),
            TargetClient(
                self._open,
                self._is_alive,
                self._send_copy,
                self._free_copy,
                self._list_cached,
            ),
            RetryLimits(*RETRY_LIMITS),
            NoMetrics(),
            choices,
        )
        self.instances.append(instance)

    def start(self):
        """Start all engines, known everywhere at once, and the clean-up."""
        for engine in self.engine_by_address.values():
            self._group.start_soon(engine.run)
            self._begin_life(engine)
            for instance in self.instances:
                instance.targets.merge(self._record(engine))
        self._group.start_soon(self._clean_periodically)

    async def _clean_periodically(self):
        while True:
            await anyio.sleep(CLEAN_INTERVAL_S)
            for instance in self.instances:
                instance.load_view.evict_stale()
                instance.rescale_retry_budgets()

    # ---- engines ---------------------------------------------------------------

    def _begin_life(self, engine):
        self._n_lives += 1
        engine.start(f"i-{self._n_lives}", int(monotonic_ms()))

    def _record(self, engine):
        return AnnouncedTarget(
            engine.target,
            SERVICE_NAME,
            engine.address,
            engine.domain,
            "v1",
            engine.speed.n_slots,
            READY,
            engine.born_ms,
            1,
            0,
            0,
        )

    def engines_of(self, domain):
        """Return the engines of a failure domain, as a list."""
        return [e for e in self.engine_by_address.values() if e.domain == domain]

    async def lose(self, engines, for_s, is_dark):
        """Lose engines for a time; each comes back as a new process."""
        for engine in engines:
            engine.stop(is_dark)
        await anyio.sleep(for_s)
        for engine in engines:
            self._begin_life(engine)
        await anyio.sleep(WORD_S)
        for engine in engines:
            for instance in self.instances:
                instance.targets.merge(self._record(engine))

    # ---- what instances hear -----------------------------------------------------

    def _share_run(self, number, run):
        if self._shares_runs:
            self._group.start_soon(self._deliver_run, number, run)

    async def _deliver_run(self, number, run):
        await anyio.sleep(WORD_S)
        for other, instance in enumerate(self.instances):
            if other != number:
                instance.merge_remote_run(run)

    # ---- calls of the relay ------------------------------------------------------

    async def _reach(self, address, timeout_s):
        """Return the engine at an address once a call has reached it."""
        engine = self.engine_by_address[address]
        await anyio.sleep(LINK_S)
        if engine.is_dark:
            await anyio.sleep(timeout_s)
            raise AlmonddealError(NOT_REACHED, "no connection in time")
        if not engine.is_up:
            raise AlmonddealError(NOT_REACHED, "refused")
        return engine

    @asynccontextmanager
    async def _open(self, attempt):
        engine = await self._reach(attempt.target.address, CONNECT_TIMEOUT_S)
        if engine.target != attempt.target.target:
            yield _make_answer(421, _nothing(), is_misdirected=True)
            return
        generation = attempt.admitted.request.generation
        run = engine.submit(
            attempt.admitted.request.request_id,
            generation,
            attempt.last_event_id,
            attempt.copy.copy_id if attempt.copy is not None else None,
            attempt.backup_address,
        )
        if run is None:
            yield _make_answer(503, _nothing(), is_not_run=True)
            return
        try:
            first = await run.events.receive()
            yield _make_answer(200, _events(run, first))
        finally:
            engine.leave(run, generation.last_prefix_hash)

    async def _is_alive(self, target):
        try:
            engine = await self._reach(target.address, PROBE_TIMEOUT_S)
        except AlmonddealError:
            return False
        return engine.target == target.target

    async def _send_copy(self, target, request_id, address):
        try:
            engine = await self._reach(target.address, PROBE_TIMEOUT_S)
        except AlmonddealError:
            return None
        return request_id if engine.send_kv_copy(request_id, address) else None

    async def _free_copy(self, target, copy_id):
        for engine in self.engine_by_address.values():
            engine.drop_copy(copy_id)

    async def _list_cached(self, target):
        try:
            engine = await self._reach(target.address, PROBE_TIMEOUT_S)
        except AlmonddealError:
            return frozenset()
        return _CachedParts(engine)


class _CachedParts:
    """The parts that an engine keeps, asked one by one."""

    __slots__ = ("_engine",)

    def __init__(self, engine):
        self._engine = engine

    def __contains__(self, part):
        return self._engine.has_cached(part)


def _make_answer(status, chunks, is_not_run=False, is_misdirected=False):
    return TargetResponse(
        status,
        [],
        is_not_run or is_misdirected,
        is_misdirected,
        True,
        False,
        None,
        chunks,
    )


async def _nothing():
    return
    yield  # makes this a generator


async def _events(run, item):
    """Give the events of a run as bytes, from its first item on."""
    while item is not None:
        if item is LOST:
            raise AlmonddealError(LINK_LOST, "reset")
        yield b"id: %d\ndata: x\n\n" % item
        try:
            item = await run.events.receive()
        except anyio.EndOfStream:
            raise AlmonddealError(LINK_LOST, "closed") from None
    await anyio.sleep(LINK_S)
