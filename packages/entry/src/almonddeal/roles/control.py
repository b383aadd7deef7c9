"""A control instance: member of the group, registry of targets, feed of followers."""

import os
import time
from contextlib import ExitStack
from signal import SIGHUP, SIGINT, SIGTERM

import anyio

from almonddeal.announced.registry import TargetRegistry
from almonddeal.control.client import ControlClient
from almonddeal.control.consensus import Consensus
from almonddeal.control.identity import bootstrap_group, load_identity
from almonddeal.control.peers import PeerSet
from almonddeal.control.storage import LogStore
from almonddeal.publication.feed import Feed
from almonddeal.publication.metrics import ControlMetrics
from almonddeal.publication.state import Publication, compress_content
from almonddeal.roles.reload import reload_settings
from almonddeal_common.address import Address
from almonddeal_common.clock import monotonic_ms, wall_ms
from almonddeal_common.codes import DATA_DAMAGED, NO_QUORUM, OK, AlmonddealError
from almonddeal_common.http import make_config, serve_http
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.metrics import metrics_app
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
JOIN_TIMEOUT_MS = 800
PUBLISH_TIMEOUT_MS = 900  # an operator's call goes elsewhere after 1 s
READ_TIMEOUT_MS = 900
STOP_S = 0.3

log = get_logger("control")


def end_process(reason):
    """End the process at once, when the disk can no longer be trusted."""
    log.critical("%s", reason)
    for handler in log.root.handlers:
        handler.flush()
    os._exit(DATA_DAMAGED.exit_status)


class ControlRole:
    """One control instance.

    Parameters
    ----------
    settings : RoleSettings
    parse : callable
        ``parse(content)`` returns the `RoutingTable` of a configuration or raises
        `DOCUMENT_INVALID`.
    load_settings : callable
        Returns the settings as they are written now.

    Attributes
    ----------
    feed : Feed
    """

    def __init__(self, settings, parse, load_settings):
        self.settings = settings
        self._load_settings = load_settings
        self._metrics = ControlMetrics()
        self.feed = None
        self._parse = parse
        self._publication = Publication()
        self._registry = TargetRegistry()

    # ---- operators -------------------------------------------------------------

    async def publish(self, content, origin):
        """Check a configuration and have it agreed on; see `_publish`."""
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
        """Check a configuration and have it agreed on.

        Parameters
        ----------
        content : bytes
            As the operator sent it.
        origin : str
            Who sent it, for the audit trail.

        Returns
        -------
        result : PublishResult

        Raises
        ------
        AlmonddealError
            `DOCUMENT_INVALID`, or a code that tells that the outcome is not known.
        """
        version = self._parse(content).version
        command = Command(
            publish=PublishConfiguration(
                version, compress_content(content), origin, wall_ms()
            )
        )
        result = await self._control.submit(command, PUBLISH_TIMEOUT_MS)
        if result.code != OK.number:
            raise AlmonddealError(NO_QUORUM, "the group refused the configuration")
        decide(
            log,
            "publishes a configuration",
            version=version,
            in_force=result.publish.version_in_force,
            is_stored=result.publish.is_stored,
            origin=origin,
        )
        return result.publish

    async def read(self):
        """Return version and content of the newest configuration agreed on."""
        await self._control.refresh_with_retries(READ_TIMEOUT_MS)
        return self._publication.version, self._publication.content

    # ---- targets ---------------------------------------------------------------

    async def announce(self, record, origin):
        """Take a target's word; tells whether a majority of the group knows it."""
        is_known = await self.feed.accept_announcement(record, origin)
        self._metrics.record_announcement("acknowledged" if is_known else "not shared")
        return is_known

    async def deregister(self, target, born_ms, origin):
        """Note that a target left; tells whether a majority of the group knows it."""
        record = self._registry.deregister(target, born_ms, origin)
        return await self.feed.replicate_announcement(record)

    # ---- running ---------------------------------------------------------------

    async def run(self, app):
        """Run until told to stop.

        Parameters
        ----------
        app : callable
            ASGI application for operators and targets.
        """
        settings = self.settings
        with ExitStack() as stack:
            listener = await listen(settings.link_address)
            async with anyio.create_task_group() as group:
                name, store, consensus = self._build(stack, group)
                handlers = self._handlers(consensus)
                group.start_soon(serve_links, listener, self._hello, handlers)
                group.start_soon(consensus.run)
                group.start_soon(self._join_for_ever, name, consensus)
                group.start_soon(self._compact_periodically, consensus)
                group.start_soon(self._control.refresh_periodically)
                group.start_soon(self._registry.watch_silence)
                group.start_soon(self.feed.monitor_freshness)
                decide(
                    log,
                    "starts",
                    name=name,
                    term=store.meta.term,
                    index=consensus.applied_index,
                    n_entries=len(store.entries),
                )
                await self._serve(app)
                decide(log, "stops", name=name)
                group.cancel_scope.cancel()

    async def _serve(self, app):
        """Serve operators, targets and metrics until told to stop."""
        settings = self.settings
        stop = anyio.Event()
        config = make_config(settings.control)
        config.graceful_timeout = STOP_S
        async with anyio.create_task_group() as servers:
            servers.start_soon(serve_http, app, settings.control, stop, None, config)
            servers.start_soon(serve_http, metrics_app, settings.metrics, stop)
            await self._wait_for_stop()
            stop.set()

    def _build(self, stack, group):
        settings = self.settings
        address = str(settings.link_address)
        name, bootstrap_addresses = load_identity(
            settings.data_folder,
            address,
            settings.seed_addresses,
            settings.is_bootstrap,
        )
        store = stack.enter_context(LogStore(settings.data_folder, end_process))
        bootstrap_group(store, bootstrap_addresses)
        self._hello = Hello(
            PROTOCOL_VERSION,
            LOWEST_PROTOCOL_VERSION,
            "control",
            name,
            time.time_ns(),
            settings.failure_domain,
        )
        peers = PeerSet(self._hello, group, self._greet_peer)
        consensus = Consensus(
            name,
            peers.peer_by_name,
            store,
            self._publication,
            self._notify_applied,
            peers.connect,
            peers.disconnect,
        )
        self._control = ControlClient(name, consensus, peers.peer_by_name, None)
        self.feed = Feed(
            name,
            self._publication,
            self._registry,
            self._control,
            consensus,
            peers.peer_by_name,
        )
        return name, store, consensus

    def _notify_applied(self):
        if self.feed is not None:
            self.feed.notify_changed()

    def _greet_peer(self, link):
        self.feed.send_full_state(link)

    def _handlers(self, consensus):
        return {
            Vote: consensus.handle_vote,
            AppendLog: consensus.handle_append,
            InstallSnapshot: consensus.handle_snapshot,
            JoinGroup: consensus.handle_join,
            Propose: self._control.handle_propose,
            ReadFresh: self._control.handle_read_fresh,
            Follow: self.feed.handle_follow,
            ShareTargets: self.feed.handle_share_targets,
            ShareRuns: self.feed.handle_share_runs,
        }

    async def _wait_for_stop(self):
        with anyio.open_signal_receiver(SIGTERM, SIGINT, SIGHUP) as signals:
            async for signal in signals:
                if signal != SIGHUP:
                    return
                decide(log, "reloads its settings")
                reload_settings(self.settings, self._load_settings)

    # ---- peers -----------------------------------------------------------------

    async def _join_for_ever(self, name, consensus):
        """Ask to become a voter whenever this member is none or hears no leader."""
        while True:
            if name not in consensus.members or consensus.is_leaderless:
                await self._ask_to_join(name, consensus)
            await anyio.sleep(JOIN_INTERVAL_S)

    async def _ask_to_join(self, name, consensus):
        known = consensus.members.address_by_name.values()
        addresses = {*known, *self.settings.seed_addresses}
        addresses.discard(str(self.settings.link_address))
        request = JoinGroup(
            name, str(self.settings.link_address), self.settings.is_bootstrap
        )
        for address in addresses:
            leader = await self._join_at(address, request)
            if leader and leader not in addresses:
                await self._join_at(leader, request)

    async def _join_at(self, address, request):
        """Ask one process; returns the address of the leader as far as it knows."""
        try:
            link = await dial(Address.parse(address), self._hello, {})
        except AlmonddealError as error:
            log.info("could not ask %s to join, %s", address, error)
            return None
        reply = None
        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            with anyio.move_on_after(JOIN_TIMEOUT_MS / 1000):
                await link.ready.wait()
                try:
                    reply = await link.call(request, JOIN_TIMEOUT_MS)
                except AlmonddealError as error:
                    log.info("%s did not let this member join, %s", address, error)
            group.cancel_scope.cancel()
        return reply.leader_address if reply is not None else None

    async def _compact_periodically(self, consensus):
        while True:
            await anyio.sleep(COMPACT_INTERVAL_S)
            self._metrics.set_followers(self.feed.n_followers)
            await consensus.compact()
