"""The agent process: builds its components from the settings and runs them."""

import time

import anyio

from almonddeal_agent.admission import Admission
from almonddeal_agent.announce import announce_periodically
from almonddeal_agent.attempts import AttemptRunner, EngineMonitor
from almonddeal_agent.calls import CallForwarder
from almonddeal_agent.engine import http_engine, make_client
from almonddeal_agent.fencing import TargetOrderForwarder
from almonddeal_agent.metrics import AgentMetrics
from almonddeal_common.address import Address
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.event_loop_lag import measure_event_loop_lag
from almonddeal_common.http import serve_http
from almonddeal_common.logs import get_logger
from almonddeal_common.metrics import metrics_app
from almonddeal_common.replicas.handlers import answer_replica_handlers
from almonddeal_common.replicas.store import AnswerStore
from almonddeal_common.signals import handle_signals
from almonddeal_common.wire.connect import Peer, listen, serve_links
from almonddeal_common.wire.gen.constants import PROTOCOL_VERSION
from almonddeal_common.wire.gen.ttypes import (
    Hello,
    Load,
    OrderQuery,
    ServiceCall,
    StartAttempt,
    TargetOrder,
    TargetState,
)
from almonddeal_common.wire.link import LOWEST_PROTOCOL_VERSION

STOP_TIMEOUT_S = 30.0
HANDOVER_TIMEOUT_S = 3.0
STOP_ANNOUNCE_S = 1.0
EXPIRE_INTERVAL_S = 5.0
DEFAULT_MAX_CALLS = 64

log = get_logger("agent")


class Agent:
    """The process beside one target.

    Parameters
    ----------
    settings : dict
        Validated settings.
    """

    def __init__(self, settings):
        target = settings["target"]
        self._settings = settings
        self._target = target
        self._incarnation = time.time_ns()
        self._listen_address = Address.parse(settings["listen"])
        self._advertised_address = Address.parse(
            settings.get("advertise", settings["listen"])
        )
        self._admission = Admission()
        self._store = AnswerStore()
        self._sequence = 0
        self._client = make_client()
        self._monitor = None
        self._attempts = None
        self._empty_load = Load(0, 0, 0, 0, 0.0, 0)

    async def run(self):
        """Run until a stop signal, then drain and end what still runs.

        Owners resume the ended attempts on other targets.
        """
        started, stop = anyio.Event(), anyio.Event()
        with handle_signals(stop.set, has_started=started.is_set):
            await self._run(started, stop)

    async def _run(self, started, stop):
        listener = await listen(self._listen_address)
        async with self._client, anyio.create_task_group() as group:
            handlers = self._make_handlers(group)
            hello = self._make_hello()
            group.start_soon(serve_links, listener, hello, handlers)
            group.start_soon(self._expire_replicas_periodically)
            for entry_address in self._settings["entries"]:
                peer = Peer(entry_address, Address.parse(entry_address), hello, {})
                group.start_soon(peer.run)
                group.start_soon(
                    announce_periodically,
                    peer,
                    self._make_target_state,
                    self._admission,
                )
            if "metrics" in self._settings:
                address = Address.parse(self._settings["metrics"])
                group.start_soon(serve_http, metrics_app, address, anyio.Event())
                group.start_soon(AgentMetrics(self._metric_values).run)
                group.start_soon(measure_event_loop_lag)
            log.info("agent started for target %s", self._target["name"])
            started.set()
            await stop.wait()
            await self._drain()
            group.cancel_scope.cancel()

    def _make_hello(self):
        return Hello(
            PROTOCOL_VERSION,
            LOWEST_PROTOCOL_VERSION,
            "agent",
            self._settings["instance"],
            self._incarnation,
            self._settings["failure_domain"],
        )

    def _make_handlers(self, group):
        handlers = answer_replica_handlers(self._store)
        address = Address.parse(self._target["address"])
        if self._target["kind"] == "engine":
            engine = http_engine(self._client, address)
            self._monitor = EngineMonitor(engine, self._empty_load, self._is_busy)
            self._attempts = AttemptRunner(engine, self._monitor, self._admission)
            handlers[StartAttempt] = self._attempts.handle_start
            order_forwarder = TargetOrderForwarder(
                self._admission, engine.send_target_order
            )
            handlers[TargetOrder] = order_forwarder.handle_target_order
            group.start_soon(self._monitor.run)
            group.start_soon(self._attempts.cancel_stalled_periodically)
        else:
            calls = CallForwarder(self._client, address, self._admission, group)
            handlers[ServiceCall] = calls.handle_call
            handlers[OrderQuery] = calls.handle_query
        return handlers

    def _make_target_state(self):
        self._sequence += 1
        return TargetState(
            target=self._target["name"],
            instance=self._settings["instance"],
            incarnation=self._incarnation,
            failure_domain=self._settings["failure_domain"],
            host=self._advertised_address.host,
            port=self._advertised_address.port,
            kind=self._target["kind"],
            service_name=self._target.get("service", ""),
            labels=self._target.get("labels", {}),
            models=self._monitor.models if self._monitor else [],
            load=self._monitor.load if self._monitor else self._service_load(),
            stopping=self._admission.is_stopping,
            sequence=self._sequence,
            document_version=self._admission.document_version,
            n_in_flight=self._admission.n_in_flight,
            cache_epoch=self._monitor.cache.cache_epoch if self._monitor else 0,
            evicted_keys=self._monitor.cache.evicted_keys if self._monitor else [],
            role=self._monitor.role if self._monitor else "",
        )

    def _metric_values(self):
        admission, attempts = self._admission, self._attempts
        return {
            "in_flight": admission.n_in_flight,
            "has_lease": int(admission.has_lease),
            "is_leaving": int(admission.is_leaving),
            "document_version": admission.document_version,
            "fence": admission.fencing_number,
            "answers_held": len(self._store),
            "answers_held_bytes": self._store.n_bytes,
            "attempts_started": attempts.n_started if attempts else 0,
            "attempts_stalled": attempts.n_stalled if attempts else 0,
            "engine_token_ms": self._monitor.load.token_ms if self._monitor else 0.0,
        }

    def _is_busy(self):
        return self._admission.n_in_flight > 0

    def _service_load(self):
        n_slots = self._target.get("max_calls", DEFAULT_MAX_CALLS)
        return Load(self._admission.n_in_flight, 0, n_slots, 0, 0.0, 0)

    async def _expire_replicas_periodically(self):
        while True:
            await anyio.sleep(EXPIRE_INTERVAL_S)
            self._store.expire()

    async def _drain(self):
        """Wait for work in flight; after the stop timeout, end the attempts left."""
        log.info(
            "stopping with %d attempts and calls in flight", self._admission.n_in_flight
        )
        self._admission.is_stopping = True
        timeout_s = self._settings.get("stop_timeout_s", STOP_TIMEOUT_S)
        # Announcements tell entry instances of the stop before the listener closes.
        await anyio.sleep(STOP_ANNOUNCE_S)
        await self._wait_idle(timeout_s)
        if self._attempts is not None:
            self._attempts.hand_over()
        await self._wait_idle(HANDOVER_TIMEOUT_S)
        log.info(
            "stopped with %d attempts and calls in flight", self._admission.n_in_flight
        )

    async def _wait_idle(self, timeout_s):
        deadline_ms = monotonic_ms() + timeout_s * 1000
        while self._admission.n_in_flight and monotonic_ms() < deadline_ms:
            await anyio.sleep(0.02)
