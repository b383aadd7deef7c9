"""An entry instance without a disk: follows control, relays requests of callers."""

import time
from signal import SIGHUP, SIGINT, SIGTERM

import anyio

from almonddeal.announced.versioned_map import VersionedMap
from almonddeal.publication.follower import Follower
from almonddeal.publication.state import decompress_content
from almonddeal.relay.context import RelayContext
from almonddeal.relay.gateway import serve_request
from almonddeal.relay.load import LoadView
from almonddeal.relay.metrics import RelayMetrics
from almonddeal.relay.targets import TargetTable
from almonddeal.roles.reload import reload_settings
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.http import make_config, serve_http
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.metrics import metrics_app
from almonddeal_common.wire.gen.constants import PROTOCOL_VERSION
from almonddeal_common.wire.gen.ttypes import Hello
from almonddeal_common.wire.link import LOWEST_PROTOCOL_VERSION

CLEAN_INTERVAL_S = 1.0
LEAVE_ROTATION_S = 2.6  # the balancer asks once a second and needs two misses
END_MARGIN_S = 1.0  # for the last answers to be cut and handed over
HAND_OVER_S = 0.1  # in which others hear where the memory of cut answers lies
DEFAULT_IDLE_TIMEOUT_S = 60.0  # until a configuration sets it

log = get_logger("entry")


class EntryRole:
    """One entry instance.

    Parameters
    ----------
    settings : RoleSettings
    parse : callable
        ``parse(content)`` returns the `RoutingTable` of a configuration.
    calls : TargetClient
        What can be asked of targets.
    load_settings : callable
        Returns the settings as they are written now.

    Attributes
    ----------
    table : RoutingTable or None
        The configuration in force here.
    is_stopping : bool
        Whether callers should use another instance from now on.
    """

    def __init__(self, settings, parse, calls, load_settings):
        self.settings = settings
        self._load_settings = load_settings
        self.table = None
        self.is_stopping = False
        self.http_config = make_config(settings.callers)
        self.http_config.graceful_timeout = max(
            0.0, settings.stop_timeout_s - LEAVE_ROTATION_S - END_MARGIN_S
        )
        self.http_config.keep_alive_timeout = DEFAULT_IDLE_TIMEOUT_S
        self._parse = parse
        self._n_in_flight = 0
        self._relay_context = RelayContext(
            settings.instance,
            settings.failure_domain,
            TargetTable(),
            LoadView(),
            VersionedMap(),
            calls,
            settings.retry_limits,
            RelayMetrics(),
        )
        self._hello = Hello(
            PROTOCOL_VERSION,
            LOWEST_PROTOCOL_VERSION,
            "entry",
            settings.instance,
            time.time_ns(),
            settings.failure_domain,
        )
        self._follower = Follower(
            settings, self._hello, self._take, self._version, self._relay_context.runs
        )

    @property
    def is_ready(self):
        """Whether new callers should come here."""
        has_targets = bool(self._relay_context.targets.target_by_id)
        return self.table is not None and has_targets and not self.is_stopping

    def _version(self):
        return self.table.version if self.table is not None else 0

    def _take(self, update):
        """Take what a control instance says."""
        for record in update.targets:
            self._relay_context.targets.merge(record)
        for run in update.runs:
            self._relay_context.merge_remote_run(run)
        if update.content and update.version > self._version():
            self._use(update.version, decompress_content(update.content))

    def _use(self, version, content):
        before = self._version()
        try:
            self.table = self._parse(content)
        except AlmonddealError as error:
            log.error("could not read version %d, %s", version, error)
            return
        self._relay_context.version = version
        limits = self.table.limits
        # Callers come back on connections that were idle for less than the limit.
        self.http_config.keep_alive_timeout = limits.idle_timeout_ms / 1000
        self.http_config.head_timeout = limits.header_timeout_ms / 1000
        self.http_config.h11_max_incomplete_size = limits.max_header_bytes
        decide(log, "uses a configuration", version=version, before=before)

    async def serve(self, request, reply):
        """Serve one request; cancelled when its caller leaves."""
        self._n_in_flight += 1
        try:
            await serve_request(request, lambda: self.table, self._relay_context, reply)
        finally:
            self._n_in_flight -= 1

    # ---- running ---------------------------------------------------------------

    async def run(self, callers_app, readiness_app):
        """Run until told to stop, then finish what callers wait for.

        Parameters
        ----------
        callers_app, readiness_app : callable
            ASGI applications.
        """
        settings = self.settings
        async with anyio.create_task_group() as group:
            group.start_soon(self._follower.run)
            group.start_soon(self._clean_periodically)
            decide(log, "starts", instance=settings.instance)
            await self._serve(callers_app, readiness_app)
            decide(log, "stops", n_in_flight=self._n_in_flight)
            group.cancel_scope.cancel()

    async def _serve(self, callers_app, readiness_app):
        """Serve until told to stop and what runs has ended."""
        settings = self.settings
        stop_callers = anyio.Event()
        callers_ended = anyio.Event()
        stop_others = anyio.Event()
        async with anyio.create_task_group() as servers:
            servers.start_soon(
                self._serve_callers, callers_app, stop_callers, callers_ended
            )
            servers.start_soon(
                serve_http, readiness_app, settings.readiness, stop_others
            )
            servers.start_soon(serve_http, metrics_app, settings.metrics, stop_others)
            await self._wait_for_stop()
            await self._drain(stop_callers)
            await callers_ended.wait()
            await anyio.sleep(HAND_OVER_S)
            stop_others.set()

    async def _serve_callers(self, app, stop, ended):
        address = self.settings.callers
        await serve_http(app, address, stop, None, self.http_config)
        ended.set()

    async def _wait_for_stop(self):
        with anyio.open_signal_receiver(SIGTERM, SIGINT, SIGHUP) as signals:
            async for signal in signals:
                if signal != SIGHUP:
                    return
                decide(log, "reloads its settings")
                reload_settings(self.settings, self._load_settings)

    async def _drain(self, stop_callers):
        """Leave the balancer's rotation, then let what runs come to its end."""
        self.is_stopping = True
        decide(log, "drains", n_in_flight=self._n_in_flight)
        await anyio.sleep(LEAVE_ROTATION_S)
        stop_callers.set()

    async def _clean_periodically(self):
        while True:
            await anyio.sleep(CLEAN_INTERVAL_S)
            self._relay_context.load_view.evict_stale()
            self._relay_context.rescale_retry_budgets()
            if not self._follower.is_connected:
                # The settings may have changed without a signal.
                reload_settings(self.settings, self._load_settings)
