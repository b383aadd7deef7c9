"""Composition of an entry instance: builds its components and runs them."""

import os
import time
from contextlib import ExitStack

import anyio

from almonddeal.answers.generate import AnswerGenerator
from almonddeal.answers.ownership import Ownership
from almonddeal.answers.prime import Primer
from almonddeal.answers.replicate import Replicator
from almonddeal.answers.replication_monitor import ReplicationMonitor
from almonddeal.answers.service import AnswerService
from almonddeal.callers.app import CallerInterface
from almonddeal.control.client import ControlClient
from almonddeal.control.consensus import Consensus
from almonddeal.control.replica import DocumentReplica
from almonddeal.control.state import ControlState
from almonddeal.control.storage import LogStore
from almonddeal.limits.buckets import CustomerLimits
from almonddeal.limits.budget import RetryBudget
from almonddeal.limits.dispatchers import Dispatchers
from almonddeal.membership.digest import DigestExchange
from almonddeal.membership.fleet_view import FleetView
from almonddeal.metrics import EntryMetrics
from almonddeal.operators.app import OperatorInterface
from almonddeal.operators.changes import Changes
from almonddeal.operators.confirmations import Confirmations
from almonddeal.operators.status import entry_rows, target_rows
from almonddeal.orders.runner import CallTransport, OrderRunner
from almonddeal.rollout.controller import RolloutController
from almonddeal.rollout.planner import simulate_rollout
from almonddeal.targets.directory import TargetDirectory
from almonddeal.targets.links import AgentLinks
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    DATA_DAMAGED,
    NOT_LEADER,
    AlmonddealError,
)
from almonddeal_common.event_loop_lag import measure_event_loop_lag
from almonddeal_common.http import serve_http
from almonddeal_common.logs import get_logger
from almonddeal_common.replicas.handlers import answer_replica_handlers
from almonddeal_common.replicas.store import AnswerStore
from almonddeal_common.signals import handle_signals
from almonddeal_common.wire.connect import Peer, listen, serve_links
from almonddeal_common.wire.gen.constants import PROTOCOL_VERSION
from almonddeal_common.wire.gen.ttypes import (
    Announce,
    AppendLog,
    FetchDocument,
    Hello,
    InstallSnapshot,
    OrderAlive,
    PeerDigest,
    Propose,
    ReadFresh,
    Vote,
)
from almonddeal_common.wire.link import LOWEST_PROTOCOL_VERSION

COMPACT_INTERVAL_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05
HANDOVER_S = 1.0  # for the load balancer to notice a stop, and for last events
BYTES_PER_MB = 1024 * 1024

log = get_logger("entry")


def end_process(reason):
    """End the process at once because the data on its disk may be damaged."""
    log.critical("%s", reason)
    os._exit(DATA_DAMAGED.exit_status)


class EntryInstance:
    """Entry instance with all its components, which `run` builds.

    Parameters
    ----------
    settings : EntrySettings

    Attributes
    ----------
    replica : DocumentReplica
    answers : AnswerService
    orders : OrderRunner
    call_transport : CallTransport
    changes : Changes
    limits : CustomerLimits
    retry_budget : RetryBudget
        For lookups; shared by all callers.
    n_lookups_in_flight : int
    """

    def __init__(self, settings):
        self.settings = settings
        self.replica = None
        self.answers = None
        self.orders = None
        self.call_transport = None
        self.changes = None
        self.limits = None
        self.retry_budget = RetryBudget()
        self.n_lookups_in_flight = 0
        self._incarnation = time.time_ns()
        self._control_state = None
        self._consensus = None
        self._control = None
        self._directory = None
        self._links = None
        self._rollout = None
        self._digests = None
        self._peer_by_name = {}
        self._dispatchers = None
        self._started_ms = monotonic_ms()

    @property
    def document(self):
        """The `FleetDocument` in force on this instance."""
        return self.replica.document

    @property
    def is_fresh(self):
        """Whether every change accepted more than a lease ago is known here.

        Always true if the document allows serving without the control group.
        """
        if self.document.serves_without_control:
            return True
        age_ms = self._control.fresh_age_ms
        return 0 <= age_ms < self.document.lease_ms

    @property
    def generation_stats(self):
        """Counters of the generation attempts of this instance."""
        return self._generator.stats

    def audit_trail(self):
        """Return the audit trail.

        Raises
        ------
        AlmonddealError
            `NOT_LEADER` if this instance has no disk.
        """
        if self._control_state is None:
            raise AlmonddealError(NOT_LEADER, "ask an instance with a disk")
        return self._control_state.audit

    def status(self):
        """Return the state of the fleet as seen by this instance, for JSON."""
        return {
            "instance": self.settings.instance,
            "version": self.document.version,
            "leader": self._control.leader,
            "fresh_age_ms": round(self._control.fresh_age_ms),
            "is_fresh": self.is_fresh,
            "entries": entry_rows(
                self.settings, self._view, self._digests, self.document
            ),
            "targets": target_rows(self._directory, self.document),
            "answers": {
                "working": self.answers.n_generating,
                "held": len(self._store),
                "held_bytes": self._store.n_bytes,
                "attempts": self._generator.stats.n_attempts,
                "resumes": self._generator.stats.n_resumes,
                "losses": dict(self._generator.stats.n_losses_by_code),
            },
            "orders_in_flight": self.orders.n_in_flight,
            "rollout_paused": self._rollout.pause_reason if self._rollout else None,
        }

    def plan_steps(self, document):
        """Return the rollout steps that a `FleetDocument` would cause from now on."""
        return simulate_rollout(document, self._directory.observed_engines())

    async def run(self):
        """Run until a stop signal; then drain, and end what is still in progress.

        Callers resume unfinished answers at another instance.
        """
        with ExitStack() as stack:
            listener = await listen(self.settings.listen)
            started, stop, stop_http = anyio.Event(), anyio.Event(), anyio.Event()
            stack.enter_context(handle_signals(stop.set, has_started=started.is_set))
            async with anyio.create_task_group() as group:
                self._build_components(stack, group)
                group.start_soon(serve_links, listener, self._hello, self._handlers())
                self._start_tasks(group)
                self._start_http(group, stop_http)
                log.info("entry instance %s started", self.settings.instance)
                started.set()
                await stop.wait()
                await self._drain()
                stop_http.set()
                # Open connections deliver their last events before they are cancelled.
                await anyio.sleep(HANDOVER_S)
                group.cancel_scope.cancel()

    def _build_components(self, stack, group):
        settings = self.settings
        self._hello = Hello(
            PROTOCOL_VERSION,
            LOWEST_PROTOCOL_VERSION,
            "entry",
            settings.instance,
            self._incarnation,
            settings.own_entry.failure_domain,
        )
        self._peer_by_name = {
            name: Peer(name, entry.address, self._hello, {})
            for name, entry in settings.entry_by_name.items()
            if name != settings.instance
        }
        self._build_control(stack)
        self._build_targets(group)
        self._build_answers(group)
        self._build_orders(group)
        confirmations = Confirmations(self.replica, self._digests, self._directory)
        self.changes = Changes(self._control, self.replica, confirmations)

    def _build_control(self, stack):
        settings = self.settings
        other_members = {
            name: self._peer_by_name[name]
            for name in settings.member_names
            if name != settings.instance
        }
        if settings.data_folder is not None:
            store = stack.enter_context(LogStore(settings.data_folder, end_process))
            self._control_state = ControlState()
            self.replica = DocumentReplica(self._control_state)
            self._consensus = Consensus(
                settings.instance,
                other_members,
                store,
                self._control_state,
                self.replica.notify_changed,
            )
        else:
            self.replica = DocumentReplica(None)
        self._control = ControlClient(
            settings.instance, self._consensus, other_members, self.replica
        )

    def _build_targets(self, group):
        self._dispatchers = Dispatchers(self.replica)
        self._directory = TargetDirectory(
            self.replica, self._control, self._dispatchers.dispatch_waiting
        )
        self._dispatchers.directory = self._directory
        self._links = AgentLinks(self._hello, group)
        self._view = FleetView(
            self.settings, self._peer_by_name, self._directory, self._links
        )
        self._digests = DigestExchange(
            self.settings.instance,
            self._peer_by_name,
            self.replica,
            self._directory,
            self._n_streams_by_customer,
            self._local_versions_in_use,
        )
        self.limits = CustomerLimits(
            lambda: self._digests.n_live_entries, self._digests.n_streams_elsewhere
        )

    def _build_answers(self, group):
        name = self.settings.instance
        self._store = AnswerStore(self.settings.answer_memory_mb * BYTES_PER_MB)
        replicator = Replicator(name, self._store, self._view.link_to, group)
        ownership = Ownership(name, self._store, self._view, replicator)
        self._generator = AnswerGenerator(
            self._dispatchers.dispatcher_of,
            self._links.open,
            replicator,
            self._dispatchers.is_version_loaded,
            Primer(self._dispatchers.spare_target, self._links.open, group),
        )
        self.answers = AnswerService(
            ownership,
            self._generator,
            replicator,
            self._store,
            self.replica,
            self.limits,
            self._dispatchers.version_for_new_requests,
            group,
        )

    def _build_orders(self, group):
        self.call_transport = CallTransport(
            self._dispatchers.acquire_call_target,
            self._links.open,
            self._dispatchers.known_target_states,
            self._call_entry,
        )
        self.orders = OrderRunner(
            self.settings.instance,
            self._incarnation,
            self._control,
            self.call_transport,
            group,
        )

    def _handlers(self):
        handlers = answer_replica_handlers(self._store)
        handlers[Announce] = self._directory.handle_announce
        handlers[PeerDigest] = self._digests.handle_digest
        handlers[OrderAlive] = self.orders.handle_alive
        if self._consensus is not None:
            handlers[Vote] = self._consensus.handle_vote
            handlers[AppendLog] = self._consensus.handle_append
            handlers[InstallSnapshot] = self._consensus.handle_snapshot
            handlers[Propose] = self._control.handle_propose
            handlers[ReadFresh] = self._control.handle_read_fresh
            handlers[FetchDocument] = self._handle_fetch_document
        return handlers

    def _start_tasks(self, group):
        for peer in self._peer_by_name.values():
            group.start_soon(peer.run)
        if self._consensus is not None:
            self._rollout = RolloutController(
                self._consensus,
                self._control,
                self.replica,
                self._directory,
                self._links,
                self._fleet_versions_in_use,
            )
            group.start_soon(self._rollout.run)
            group.start_soon(self._consensus.run)
            group.start_soon(self._compact_periodically)
        group.start_soon(self._control.refresh_periodically)
        group.start_soon(self._digests.run)
        group.start_soon(self.answers.clean_periodically)
        group.start_soon(self.answers.repair_periodically)
        replication_monitor = ReplicationMonitor(
            self.settings.instance,
            self._store,
            self._view,
            self._digests.is_reachable_from_peers,
            self.answers,
        )
        group.start_soon(replication_monitor.run)
        group.start_soon(EntryMetrics(self).run)
        group.start_soon(measure_event_loop_lag)

    def _start_http(self, group, stop_http):
        callers_app = CallerInterface(self).make_app()
        operators_app = OperatorInterface(self).make_app()
        settings = self.settings
        group.start_soon(
            serve_http, callers_app, settings.callers, stop_http, settings.tls
        )
        group.start_soon(
            serve_http,
            operators_app,
            settings.operators_listen,
            stop_http,
            settings.tls,
        )

    async def _compact_periodically(self):
        while True:
            await anyio.sleep(COMPACT_INTERVAL_S)
            await self._consensus.compact()

    async def _drain(self):
        """Refuse new work, wait up to `stop_timeout_s` for it, then end the rest."""
        log.info(
            "entry instance draining, %d answers being generated",
            self.answers.n_generating,
        )
        self.answers.is_stopping = True
        deadline_ms = monotonic_ms() + self.settings.stop_timeout_s * 1000
        # Gives the load balancer time to notice that this instance is not ready.
        await anyio.sleep(HANDOVER_S)
        while monotonic_ms() < deadline_ms:
            if not (
                self.answers.n_generating
                or self.orders.n_in_flight
                or self.n_lookups_in_flight
            ):
                break
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        self.answers.hand_over()

    async def _handle_fetch_document(self, link, message, emit):
        return self.replica.make_fetch_reply(
            message.have_version, self._control.fresh_age_ms, self._control.term
        )

    def _n_streams_by_customer(self):
        return self.limits.usage()

    def _local_versions_in_use(self):
        return self._store.versions_in_use() | self.answers.versions_in_use()

    def _fleet_versions_in_use(self):
        return self._digests.versions_in_use(self.settings.entry_by_name)

    async def _call_entry(self, name, message, timeout_ms):
        return await self._peer_by_name[name].call(message, timeout_ms)
