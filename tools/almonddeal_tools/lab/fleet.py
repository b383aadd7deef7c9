"""Entry instances that run the product's relay code against simulated engines.

Engines, network links and callers are simulated.
"""

from contextlib import asynccontextmanager
from functools import partial

import anyio

from almonddeal.announced.announcement import READY
from almonddeal.relay.context import RelayContext, TargetClient
from almonddeal.relay.load import LoadView
from almonddeal.relay.quarantine import Quarantine
from almonddeal.relay.requests import TargetResponse
from almonddeal.relay.targets import TargetTable
from almonddeal.relay.tests.fakes import NoMetrics
from almonddeal.roles.settings import RetryLimits
from almonddeal.routing.model import EngineTraits, Service
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import LINK_LOST, NOT_REACHED, AlmonddealError
from almonddeal_common.wire.gen.ttypes import AnnouncedTarget
from almonddeal_tools.lab.engine import SimulatedEngine
from almonddeal_tools.lab.runs import CONNECTION_LOST

SERVICE_NAME = "pool"
LINK_LATENCY_S = 0.001  # one way, between an instance and an engine
CONNECT_TIMEOUT_S = 0.25  # same as in the platform's target client
PROBE_TIMEOUT_S = 0.25  # same as in the platform's target client
PROPAGATION_DELAY_S = 0.02  # until instances receive run reports and announcements
CLEAN_INTERVAL_S = 1.0
KV_COPY_LIFETIME_MS = 4000.0
RETRY_LIMITS = (0.8, 10.0, 150.0)  # ratio, window in s, slack


class RunBroadcaster:
    """Stand-in for the `VersionedMap` of one instance's own runs.

    Parameters
    ----------
    broadcast : callable
        ``broadcast(run)`` schedules the delivery of a run report to other instances.
    """

    __slots__ = ("_broadcast",)

    def __init__(self, broadcast):
        self._broadcast = broadcast

    def put(self, request_id, run):
        """Broadcast the latest report of a run."""
        self._broadcast(run)


class LabFleet:
    """Engines in failure domains, and entry instances that relay to them.

    Parameters
    ----------
    group : anyio.abc.TaskGroup
        Runs the background tasks of engines and instances.
    profile : EngineProfile
    n_engines, n_failure_domains, n_instances : int
    selection_policy : SelectionPolicy
    shares_runs : bool
        Whether instances receive each other's run reports.

    Attributes
    ----------
    engine_by_address : dict of str to SimulatedEngine
    instances : list of RelayContext
    service : Service
    crashes_ms : list of float
        Times of crashes by a prompt segment.
    sends : list of (float, tuple of str)
        Times in ms and shared prefix hashes of the requests that reached an engine.
    """

    def __init__(
        self,
        group,
        profile,
        n_engines,
        n_failure_domains,
        n_instances,
        selection_policy,
        shares_runs=True,
    ):
        self.engine_by_address = {}
        self.instances = []
        self.crashes_ms = []
        self.sends = []
        self._group = group
        self._n_incarnations = 0
        self._shares_runs = shares_runs
        traits = EngineTraits(
            profile.n_slots,
            profile.n_cache_tokens,
            True,
            profile.tokens_per_event,
            KV_COPY_LIFETIME_MS,
        )
        self.service = Service(SERVICE_NAME, traits)
        for index in range(n_engines):
            address = f"10.0.{index}.1:80"
            self.engine_by_address[address] = SimulatedEngine(
                address,
                f"fd{index % n_failure_domains}",
                profile,
                self.engine_by_address,
            )
        for index in range(n_instances):
            self._add_instance(
                index, f"fd{index % n_failure_domains}", selection_policy
            )

    def _add_instance(self, index, failure_domain, selection_policy):
        instance = RelayContext(
            f"entry-{index}",
            failure_domain,
            TargetTable(),
            LoadView(),
            RunBroadcaster(partial(self._broadcast_run, index)),
            TargetClient(
                self._open,
                self._is_alive,
                self._is_alive,
                self._send_kv_copy,
                self._free_kv_copy,
                self._list_cached_prefixes,
                self._read_start_ms,
            ),
            RetryLimits(*RETRY_LIMITS),
            NoMetrics(),
            selection_policy,
            Quarantine(f"entry-{index}", monotonic_ms),
        )
        instance.is_current = lambda: True
        self.instances.append(instance)
        self._group.start_soon(self._share_evidence, instance)

    def start(self):
        """Start and announce all engines without delay, and start the clean-up."""
        for engine in self.engine_by_address.values():
            self._group.start_soon(engine.run)
            self._start_incarnation(engine)
            for instance in self.instances:
                instance.targets.merge(self._make_announcement(engine))
        self._group.start_soon(self._clean_periodically)

    async def _share_evidence(self, instance):
        evidence = instance.quarantine.evidence
        sent_revision = 0
        while True:
            while evidence.revision == sent_revision:
                await evidence.wait()
            records = evidence.changed_since(sent_revision)
            sent_revision = evidence.revision
            await anyio.sleep(PROPAGATION_DELAY_S)
            for other in self.instances:
                other.quarantine.merge(*records)

    async def _clean_periodically(self):
        while True:
            await anyio.sleep(CLEAN_INTERVAL_S)
            for instance in self.instances:
                instance.load_view.evict_stale()

    def _start_incarnation(self, engine):
        self._n_incarnations += 1
        engine.start(f"i-{self._n_incarnations}", int(monotonic_ms()))

    def _make_announcement(self, engine):
        return AnnouncedTarget(
            engine.target,
            SERVICE_NAME,
            engine.address,
            engine.failure_domain,
            "v1",
            engine.profile.n_slots,
            READY,
            engine.born_ms,
            1,
            0,
            0,
        )

    def engines_in(self, failure_domain):
        """Return the engines of a failure domain as a list."""
        return [
            e
            for e in self.engine_by_address.values()
            if e.failure_domain == failure_domain
        ]

    async def simulate_outage(self, engines, outage_s, is_partitioned):
        """Stop engines, and after a time start each again as a new process.

        Parameters
        ----------
        engines : list of SimulatedEngine
        outage_s : float
            Time between stop and restart.
        is_partitioned : bool
            Whether connections time out rather than being reset or refused.
        """
        for engine in engines:
            engine.stop(is_partitioned)
        await anyio.sleep(outage_s)
        for engine in engines:
            self._start_incarnation(engine)
        await anyio.sleep(PROPAGATION_DELAY_S)
        for engine in engines:
            for instance in self.instances:
                instance.targets.merge(self._make_announcement(engine))

    def crash_on_segment(self, prefix_hash, restart_s):
        """Have engines crash at the first token after a prompt with a segment.

        Parameters
        ----------
        prefix_hash : str
        restart_s : float
            Time after which a crashed engine starts again.
        """

        def crash(engine):
            self.crashes_ms.append(monotonic_ms())
            self._group.start_soon(self.simulate_outage, [engine], restart_s, False)

        for engine in self.engine_by_address.values():
            engine.crashing_prefix_hash = prefix_hash
            engine.crash = crash

    def _broadcast_run(self, index, run):
        if self._shares_runs:
            self._group.start_soon(self._deliver_run, index, run)

    async def _deliver_run(self, index, run):
        await anyio.sleep(PROPAGATION_DELAY_S)
        for other_index, instance in enumerate(self.instances):
            if other_index != index:
                instance.merge_remote_run(run)

    async def _connect(self, address, timeout_s):
        """Return the engine at an address after a successful connection attempt.

        Raises
        ------
        AlmonddealError
            `NOT_REACHED`, at once if the engine refuses, else after the timeout.
        """
        engine = self.engine_by_address[address]
        await anyio.sleep(LINK_LATENCY_S)
        if engine.is_partitioned:
            await anyio.sleep(timeout_s)
            raise AlmonddealError(NOT_REACHED, "no connection in time")
        if not engine.is_up:
            raise AlmonddealError(NOT_REACHED, "refused")
        return engine

    @asynccontextmanager
    async def _open(self, attempt):
        engine = await self._connect(attempt.target.address, CONNECT_TIMEOUT_S)
        if engine.target != attempt.target.target:
            yield _make_response(421, _empty_body(), is_misdirected=True)
            return
        await engine.wait_until_heard()
        generation = attempt.admitted.request.generation
        self.sends.append((monotonic_ms(), generation.shared_prefix_hashes))
        run = engine.submit(
            attempt.admitted.request.request_id,
            generation,
            attempt.last_event_id,
            attempt.copy.copy_id if attempt.copy is not None else None,
            attempt.backup_address,
        )
        if run is None:
            yield _make_response(503, _empty_body(), is_not_run=True)
            return
        try:
            first_item = await run.events.receive()
            if first_item is CONNECTION_LOST and run.is_prefilling:
                raise AlmonddealError(LINK_LOST, "reset before a response")
            yield _make_response(200, _event_chunks(run, first_item))
        finally:
            engine.release_run(run, generation.last_prefix_hash)

    async def _is_alive(self, target):
        try:
            engine = await self._connect(target.address, PROBE_TIMEOUT_S)
        except AlmonddealError:
            return False
        return engine.target == target.target and await self._is_heard(engine)

    async def _is_heard(self, engine):
        """Return whether an engine that was connected to responds to a probe."""
        with anyio.move_on_after(PROBE_TIMEOUT_S):
            await engine.wait_until_heard()
            return True
        return False

    async def _send_kv_copy(self, target, request_id, address):
        try:
            engine = await self._connect(target.address, PROBE_TIMEOUT_S)
        except AlmonddealError:
            return None
        return request_id if engine.send_kv_copy(request_id, address) else None

    async def _free_kv_copy(self, target, copy_id):
        for engine in self.engine_by_address.values():
            engine.free_kv_copy(copy_id)

    async def _list_cached_prefixes(self, target):
        try:
            engine = await self._connect(target.address, PROBE_TIMEOUT_S)
        except AlmonddealError:
            return frozenset()
        return _CachedPrefixes(engine)

    async def _read_start_ms(self, target):
        if not await self._is_heard(self.engine_by_address[target.address]):
            raise AlmonddealError(NOT_REACHED, "no report in time")
        return target.born_ms if await self._is_alive(target) else None


class _CachedPrefixes:
    """Set-like view of the prompt prefixes in the KV cache of an engine."""

    __slots__ = ("_engine",)

    def __init__(self, engine):
        self._engine = engine

    def __contains__(self, prefix_hash):
        return self._engine.has_cached_prefix(prefix_hash)


def _make_response(status, chunks, is_not_run=False, is_misdirected=False):
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


async def _empty_body():
    return
    yield  # makes this a generator


async def _event_chunks(run, item):
    """Yield the events of a run as bytes, from an item already received."""
    while item is not None:
        if item is CONNECTION_LOST:
            raise AlmonddealError(LINK_LOST, "reset")
        yield b"id: %d\ndata: x\n\n" % item
        try:
            item = await run.events.receive()
        except anyio.EndOfStream:
            raise AlmonddealError(LINK_LOST, "closed") from None
    await anyio.sleep(LINK_LATENCY_S)
