"""Control instance: member of the control group, target registry and feed."""

import os
import time
from contextlib import ExitStack
from functools import partial

import anyio

from almonddeal.announced.registry import TargetRegistry
from almonddeal.control.client import ControlClient
from almonddeal.control.consensus import Consensus
from almonddeal.control.identity import open_member_store
from almonddeal.control.peers import PeerSet
from almonddeal.publication.evidence_file import load_evidence, store_evidence
from almonddeal.publication.feed import Feed
from almonddeal.publication.metrics import ControlMetrics
from almonddeal.publication.record_file import RecordFile
from almonddeal.publication.state import Publication, compress_content
from almonddeal.roles.reload import reload_settings
from almonddeal_common.address import Address
from almonddeal_common.clock import monotonic_ms, wall_ms
from almonddeal_common.codes import DATA_DAMAGED, NO_QUORUM, OK, AlmonddealError
from almonddeal_common.event_loop_lag import measure_event_loop_lag
from almonddeal_common.http import make_config, serve_http
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.metrics import metrics_app
from almonddeal_common.signals import handle_signals
from almonddeal_common.wire.connect import dial, listen, serve_links
from almonddeal_common.wire.gen.constants import PROTOCOL_VERSION
from almonddeal_common.wire.gen.ttypes import (
    AppendLog,
    Command,
    Follow,
    Hello,
    InstallSnapshot,
    JoinGroup,
    Propose,
    PublishConfiguration,
    ReadFresh,
    ShareRuns,
    ShareTargets,
    Vote,
)
from almonddeal_common.wire.link import LOWEST_PROTOCOL_VERSION

COMPACT_INTERVAL_S = 1.0
JOIN_INTERVAL_S = 0.3
JOIN_TIMEOUT_MS = 1500  # covers packets that are lost and sent again
PUBLISH_TIMEOUT_MS = 900  # operators call another control instance after 1 s
READ_TIMEOUT_MS = 900
HTTP_STOP_TIMEOUT_S = 0.3
LEAVE_TIMEOUT_S = 2.0
ENTRY_ROLE = "entry"  # in the handshake of subscribers
ORIGINS_WRITE_DELAY_S = 0.25  # streams begin several times a second

log = get_logger("control")


def end_process(reason):
    """End the process at once because the data on its disk may be damaged."""
    log.critical("%s", reason)
    for handler in log.root.handlers:
        handler.flush()
    os._exit(DATA_DAMAGED.exit_status)


class ControlRole:
    """Control instance: replicates configurations and announcements, feeds subscribers.

    Parameters
    ----------
    settings : RoleSettings
    parse : callable
        ``parse(content)`` returns the `RoutingTable` of a configuration or raises an
        `AlmonddealError` with `DOCUMENT_INVALID`.
    load_settings : callable
        Reads the settings file and returns its `RoleSettings`.

    Attributes
    ----------
    feed : Feed or None
        None until `run` is called.
    """

    def __init__(self, settings, parse, load_settings):
        self.settings = settings
        self._load_settings = load_settings
        self._metrics = ControlMetrics()
        self.feed = None
        self._parse = parse
        self._publication = Publication()
        self._registry = TargetRegistry()
        self._addresses_asked_to_join = set()
        self._origins_file = RecordFile(
            settings.data_folder, "origins", ORIGINS_WRITE_DELAY_S
        )

    async def publish_configuration(self, content, origin):
        """Validate a configuration and commit it in the control group.

        Parameters
        ----------
        content : bytes
            Configuration as sent by the operator.
        origin : str
            Address of the operator, for the audit trail.

        Returns
        -------
        result : PublishResult

        Raises
        ------
        AlmonddealError
            `DOCUMENT_INVALID`, or a code that states that the outcome is unknown.
        """
        started_ms = monotonic_ms()
        outcome = "error"
        try:
            result = await self._publish(content, origin)
            outcome = "stored" if result.is_stored else "overtaken"
            return result
        except AlmonddealError as error:
            outcome = error.code.name
            raise
        finally:
            self._metrics.record_publication(outcome, monotonic_ms() - started_ms)

    async def _publish(self, content, origin):
        """Validate and commit a configuration, without metrics."""
        version = self._parse(content).version
        command = Command(
            publish=PublishConfiguration(
                version, compress_content(content), origin, wall_ms()
            )
        )
        result = await self._control_client.submit(command, PUBLISH_TIMEOUT_MS)
        if result.code != OK.number:
            raise AlmonddealError(NO_QUORUM, "the group refused the configuration")
        decide(
            log,
            "publish command committed",
            version=version,
            in_force=result.publish.version_in_force,
            is_stored=result.publish.is_stored,
            origin=origin,
        )
        return result.publish

    async def read_configuration(self):
        """Return the version and content of the newest committed configuration.

        Raises
        ------
        AlmonddealError
            If the control group does not confirm the read in time.
        """
        await self._control_client.refresh_with_retries(READ_TIMEOUT_MS)
        return self._publication.version, self._publication.content

    async def announce(self, announcement, origin):
        """Merge the announcement of a target and replicate it to the control group.

        Parameters
        ----------
        announcement : AnnouncedTarget
        origin : str
            Address of the target, for the log.

        Returns
        -------
        is_replicated : bool
            Whether a majority of the control group has the state of the target.
        """
        is_replicated = await self.feed.accept_announcement(announcement, origin)
        self._metrics.record_announcement(
            "acknowledged" if is_replicated else "not shared"
        )
        return is_replicated

    async def deregister(self, target, born_ms, origin):
        """Deregister a target and replicate this to the control group.

        Parameters
        ----------
        target : str
        born_ms : int or None
            Start time of the incarnation that ends; None for the known one.
        origin : str
            Address of the target, for the log.

        Returns
        -------
        is_replicated : bool
            Whether a majority of the control group has it.
        """
        announcement = self._registry.deregister(target, born_ms, origin)
        return await self.feed.replicate_announcement(announcement)

    async def run(self, app):
        """Run the instance until SIGTERM or SIGINT.

        Parameters
        ----------
        app : callable
            ASGI application for operators and targets.
        """
        settings = self.settings
        stop = anyio.Event()
        start_scope = anyio.CancelScope()

        def request_stop():
            stop.set()
            # A start may wait for room on the disk.
            start_scope.cancel()

        reload = partial(reload_settings, settings, self._load_settings)
        with ExitStack() as stack:
            stack.enter_context(handle_signals(request_stop, reload))
            listener = await listen(settings.link_address)
            async with anyio.create_task_group() as group:
                with start_scope:
                    name, store, consensus = await self._build_member(stack, group)
                if start_scope.cancelled_caught:
                    group.cancel_scope.cancel()
                    return
                handlers = self._handlers(consensus)
                group.start_soon(serve_links, listener, self._hello, handlers)
                group.start_soon(consensus.run)
                group.start_soon(measure_event_loop_lag)
                group.start_soon(self._join_periodically, name, consensus, stop)
                group.start_soon(self._compact_periodically, consensus)
                group.start_soon(self._control_client.refresh_periodically)
                group.start_soon(self._registry.expire_periodically)
                group.start_soon(self.feed.monitor_periodically)
                group.start_soon(
                    store_evidence, settings.data_folder, self.feed.evidence
                )
                group.start_soon(self._origins_file.store_changes, self.feed.origins)
                decide(
                    log,
                    "control instance started",
                    name=name,
                    term=store.meta.term,
                    index=consensus.applied_index,
                    n_entries=len(store.entries),
                )
                await self._serve(app, stop)
                with anyio.move_on_after(LEAVE_TIMEOUT_S):
                    await consensus.leave()
                decide(log, "control instance stopped", name=name)
                group.cancel_scope.cancel()

    async def _serve(self, app, stop):
        """Serve HTTP to operators, targets and metrics until a stop signal."""
        settings = self.settings
        config = make_config(settings.control)
        config.graceful_timeout = HTTP_STOP_TIMEOUT_S
        async with anyio.create_task_group() as servers:
            servers.start_soon(serve_http, app, settings.control, stop, None, config)
            servers.start_soon(serve_http, metrics_app, settings.metrics, stop)
            await stop.wait()

    async def _build_member(self, stack, task_group):
        settings = self.settings
        name, store = await open_member_store(
            settings.data_folder,
            str(settings.link_address),
            settings.seed_addresses,
            settings.is_bootstrap,
            end_process,
        )
        stack.push(store)
        self._hello = Hello(
            PROTOCOL_VERSION,
            LOWEST_PROTOCOL_VERSION,
            "control",
            name,
            time.time_ns(),
            settings.failure_domain,
        )
        peers = PeerSet(self._hello, task_group, self._send_state)
        consensus = Consensus(
            name,
            peers.peer_by_name,
            store,
            self._publication,
            self._notify_feed,
            peers.connect,
            peers.disconnect,
        )
        self._control_client = ControlClient(name, consensus, peers.peer_by_name, None)
        self.feed = Feed(
            name,
            self._publication,
            self._registry,
            self._control_client,
            consensus,
            peers.peer_by_name,
        )
        for record in load_evidence(settings.data_folder):
            self.feed.evidence.add(record)
        for origin in self._origins_file.load():
            self.feed.origins.add(origin)
        return name, store, consensus

    def _notify_feed(self):
        if self.feed is not None:
            self.feed.notify_changed()

    def _send_state(self, link):
        self.feed.send_state(link)

    def _handlers(self, consensus):
        return {
            Vote: consensus.handle_vote,
            AppendLog: consensus.handle_append,
            InstallSnapshot: consensus.handle_snapshot,
            JoinGroup: consensus.handle_join,
            Propose: self._control_client.handle_propose,
            ReadFresh: self._handle_read_fresh,
            Follow: self.feed.handle_follow,
            ShareTargets: self.feed.handle_share_targets,
            ShareRuns: self.feed.handle_share_runs,
        }

    async def _handle_read_fresh(self, link, message, emit):
        if link.peer.role == ENTRY_ROLE:
            return await self.feed.handle_read_fresh(link, message, emit)
        return await self._control_client.handle_read_fresh(link, message, emit)

    async def _join_periodically(self, name, consensus, stop):
        """Request to join while this process is no member or knows no leader."""
        async with anyio.create_task_group() as requests:
            while not stop.is_set():
                if name not in consensus.members or consensus.is_leaderless:
                    self._request_join(consensus, requests)
                await anyio.sleep(JOIN_INTERVAL_S)

    def _request_join(self, consensus, requests):
        member_addresses = consensus.members.address_by_name.values()
        addresses = {*member_addresses, *self.settings.seed_addresses}
        addresses.discard(str(self.settings.link_address))
        request = consensus.make_join_request(
            str(self.settings.link_address), self.settings.is_bootstrap
        )
        # A lost machine takes long not to reply; other addresses are asked again.
        for address in addresses - self._addresses_asked_to_join:
            requests.start_soon(self._ask_to_join, address, addresses, request)

    async def _ask_to_join(self, address, addresses, request):
        self._addresses_asked_to_join.add(address)
        try:
            leader_address = await self._send_join_request(address, request)
        finally:
            self._addresses_asked_to_join.discard(address)
        asked_addresses = addresses | self._addresses_asked_to_join
        if leader_address and leader_address not in asked_addresses:
            await self._ask_to_join(
                leader_address, addresses | {leader_address}, request
            )

    async def _send_join_request(self, address, request):
        """Send a join request; return the leader's address as known there, or None."""
        try:
            link = await dial(Address.parse(address), self._hello, {})
        except AlmonddealError as error:
            log.info(
                "could not connect to %s to join the control group: %s", address, error
            )
            return None
        reply = None
        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            with anyio.move_on_after(JOIN_TIMEOUT_MS / 1000):
                await link.ready.wait()
                try:
                    reply = await link.call(request, JOIN_TIMEOUT_MS)
                except AlmonddealError as error:
                    log.info("join request to %s failed: %s", address, error)
            group.cancel_scope.cancel()
        return reply.leader_address if reply is not None else None

    async def _compact_periodically(self, consensus):
        while True:
            await anyio.sleep(COMPACT_INTERVAL_S)
            self._metrics.set_n_followers(self.feed.n_followers)
            await consensus.compact()
