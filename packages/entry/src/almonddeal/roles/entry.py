"""Entry instance without stored state: follows the control group, relays requests."""

import time
from functools import partial

import anyio

from almonddeal.announced.entry_states import (
    NOT_READY,
    READY,
    YIELDED,
    EntryStates,
    OwnEntryState,
)
from almonddeal.announced.evidence import check_record
from almonddeal.announced.versioned_map import VersionedMap
from almonddeal.publication.follower import Follower
from almonddeal.publication.state import decompress_content
from almonddeal.relay.context import RelayContext
from almonddeal.relay.gateway import serve_request
from almonddeal.relay.incarnations import check_doubtful_targets
from almonddeal.relay.load import LoadView
from almonddeal.relay.metrics import RelayMetrics
from almonddeal.relay.targets import TargetTable
from almonddeal.roles.drain_times import (
    BREAK_OFF,
    CONNECTIONS,
    LAST_READY,
    LOAD_BALANCER,
    REPORTS,
    REQUESTS,
    SERVERS,
    DrainMetrics,
    DrainTimes,
)
from almonddeal.roles.in_flight import RequestsInFlight
from almonddeal.roles.last_ready import make_bounds
from almonddeal.roles.planned_work import CHANGE, RELOAD, STOP, PlannedWork
from almonddeal.roles.readiness import ReadinessProbes
from almonddeal.roles.reload import reload_settings
from almonddeal.roles.stay import stay_ready
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.event_loop_lag import measure_event_loop_lag
from almonddeal_common.http import make_config, serve_http
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.metrics import metrics_app
from almonddeal_common.signals import handle_signals
from almonddeal_common.step_timer import move_on_after_steps
from almonddeal_common.wire.gen.constants import PROTOCOL_VERSION
from almonddeal_common.wire.gen.ttypes import Hello
from almonddeal_common.wire.link import LOWEST_PROTOCOL_VERSION

MAINTENANCE_INTERVAL_S = 1.0
# The load balancer probes once a second and removes an instance after two failures;
# this is for a stop during which no probes arrive.
MAX_DRAIN_DELAY_S = 2.6
MAX_DRAIN_SHARE = 0.5  # of the stop timeout; the rest is for requests in flight
# To break off the last requests and report their KV-cache copies.
MAX_STOP_MARGIN_S = 1.0
MAX_STOP_MARGIN_SHARE = 0.125  # of the stop timeout
BREAK_OFF_SHARE = 0.2  # of the stop margin; for the responses of the last requests
N_BREAK_OFF_STEPS = 10  # of this time; a stall of the process takes up only one
# Of the stop margin, for reports of truncated streams to reach other instances.
LAST_REPORTS_SHARE = 0.1
# By the users' rules, what is sent later than 3 s after SIGTERM may not be cut.
LATE_FROM_S = 2.8
MAX_LOGGED_CHARACTERS = 300  # of a part of an update that fails
DEFAULT_IDLE_TIMEOUT_S = 60.0  # until a configuration is applied

log = get_logger("entry")


def drain_delay_s(stop_timeout_s):
    """Return how long a stopping instance accepts at most, from SIGTERM, in s."""
    return min(MAX_DRAIN_DELAY_S, MAX_DRAIN_SHARE * stop_timeout_s)


def response_timeout_s(stop_timeout_s):
    """Return when a stopping instance breaks off requests, from SIGTERM, in s."""
    return stop_timeout_s - stop_margin_s(stop_timeout_s)


def stop_margin_s(stop_timeout_s):
    """Return the time in s from breaking off requests to the end of the process."""
    return min(MAX_STOP_MARGIN_S, MAX_STOP_MARGIN_SHARE * stop_timeout_s)


def _apply_each(apply, values):
    """Call a function with each value; log a value with which it fails."""
    for value in values:
        try:
            apply(value)
        except Exception as error:
            text = repr(value)[:MAX_LOGGED_CHARACTERS]
            log.error("could not apply a part of an update (%r): %s", error, text)


class EntryRole:
    """Entry instance: relays requests by the configuration of the control group.

    Parameters
    ----------
    settings : RoleSettings
    parse : callable
        ``parse(content)`` returns the `RoutingTable` of a configuration or raises an
        `AlmonddealError`.
    target_client : TargetClient
        Client for the targets.
    load_settings : callable
        Reads the settings file and returns its `RoleSettings`.

    Attributes
    ----------
    table : RoutingTable or None
        Configuration in force on this instance.
    is_draining : bool
        Whether the instance is draining, so that callers should use another one.
    http_config : hypercorn.Config
        Settings of the HTTP server for callers.
    probes : ReadinessProbes
        Responses to the load balancer.
    """

    def __init__(self, settings, parse, target_client, load_settings):
        self.settings = settings
        self._load_settings = load_settings
        self.table = None
        self.is_draining = False
        self._has_yielded = False
        self.http_config = make_config(settings.callers)
        self._drain_delay_s = drain_delay_s(settings.stop_timeout_s)
        self._response_timeout_s = response_timeout_s(settings.stop_timeout_s)
        self._stop_margin_s = stop_margin_s(settings.stop_timeout_s)
        self.http_config.cut = anyio.Event()
        self.http_config.keep_alive_timeout = DEFAULT_IDLE_TIMEOUT_S
        self._parse = parse
        self._planned_work = PlannedWork()
        self._requests = RequestsInFlight(self._planned_work)
        self.probes = ReadinessProbes()
        self._relay_context = RelayContext(
            settings.instance,
            settings.failure_domain,
            TargetTable(settings.instance),
            LoadView(),
            VersionedMap(),
            target_client,
            settings.retry_limits,
            RelayMetrics(),
        )
        self._relay_context.open_attempt = self._open_attempt
        self._target_client = target_client
        self._hello = Hello(
            PROTOCOL_VERSION,
            LOWEST_PROTOCOL_VERSION,
            "entry",
            settings.instance,
            time.time_ns(),
            settings.failure_domain,
        )
        self._own_state = OwnEntryState(
            EntryStates(), settings.instance, self._hello.incarnation
        )
        self._follower = Follower(
            settings,
            self._hello,
            self._apply_update,
            self._version,
            self._relay_context.runs,
            self._relay_context.named_limits.reports,
            self._relay_context.quarantine.evidence,
            self._relay_context.stream_origins,
            self._relay_context.targets.leaving_reports,
            self._relay_context.hold_offs.reports,
            self._own_state,
        )
        self._relay_context.catch_up = self._follower.catch_up
        self._relay_context.is_current = lambda: self._follower.is_current

    @property
    def is_ready(self):
        """Whether the load balancer may send callers to this instance."""
        has_targets = bool(self._relay_context.targets.target_by_id)
        return self.table is not None and has_targets and not self._has_yielded

    def _version(self):
        return self.table.version if self.table is not None else 0

    def _apply_update(self, update):
        """Apply a `FollowUpdate` of the followed control instance.

        A part that fails is logged and left out.
        """
        context = self._relay_context
        _apply_each(context.targets.merge, update.targets)
        _apply_each(context.merge_remote_run, update.runs)
        # These are None in the messages of earlier releases.
        _apply_each(context.stream_origins.add, update.origins or [])
        _apply_each(context.named_limits.merge, update.limits or [])
        _apply_each(context.targets.merge_leaving_report, update.leaving or [])
        _apply_each(context.hold_offs.merge, update.pauses or [])
        evidence = []
        _apply_each(
            lambda record: evidence.append(check_record(record)), update.evidence or []
        )
        # Merged as a whole, as each merge searches all evidence.
        _apply_each(lambda records: context.quarantine.merge(*records), [evidence])
        if update.content and update.version > self._version():
            self._apply_configuration(update.version, update.content)
        _apply_each(self._own_state.states.add, update.entries or [])
        if not self.is_draining:
            self._own_state.report(READY if self.is_ready else NOT_READY)

    def _apply_configuration(self, version, compressed):
        before = self._version()
        try:
            self.table = self._parse(decompress_content(compressed))
        except Exception as error:
            log.error(
                "configuration version %d could not be applied: %r", version, error
            )
            return
        self._relay_context.version = version
        self._planned_work.begin(CHANGE)
        limits = self.table.limits
        # Idle connections stay open this long, since callers reuse younger ones.
        self.http_config.keep_alive_timeout = limits.idle_timeout_ms / 1000
        self.http_config.head_timeout = limits.header_timeout_ms / 1000
        self.http_config.h11_max_incomplete_size = limits.max_header_bytes
        decide(log, "configuration applied", version=version, before=before)

    async def serve(self, request, writer):
        """Serve one request; cancelled when its caller disconnects.

        Parameters
        ----------
        request : CallerRequest
        writer : object
            Writes the response to the caller; see `serve_request`.
        """
        serve = partial(
            serve_request, request, lambda: self.table, self._relay_context, writer
        )
        await self._requests.serve(request, writer, serve)

    def _open_attempt(self, attempt):
        self._requests.record_attempt(attempt)
        return self._target_client.open_attempt(attempt)

    async def run(self, callers_app, readiness_app):
        """Run the instance until SIGTERM or SIGINT, then drain it.

        Parameters
        ----------
        callers_app, readiness_app : callable
            ASGI applications.
        """
        settings = self.settings
        stop = anyio.Event()
        with handle_signals(stop.set, self._reload):
            async with anyio.create_task_group() as group:
                group.start_soon(self._follower.run)
                group.start_soon(self._maintain_periodically)
                group.start_soon(measure_event_loop_lag)
                group.start_soon(check_doubtful_targets, self._relay_context)
                decide(log, "entry instance started", instance=settings.instance)
                times = await self._serve(callers_app, readiness_app, stop)
                n_in_flight = len(self._requests)
                decide(
                    log,
                    "entry instance stopped",
                    n_in_flight=n_in_flight,
                    **times.rounded(),
                )
                group.cancel_scope.cancel()

    def _reload(self):
        self._planned_work.begin(RELOAD)
        reload_settings(self.settings, self._load_settings)

    async def _serve(self, callers_app, readiness_app, stop):
        """Serve HTTP until `stop` is set and the requests in flight have ended.

        Returns
        -------
        times : DrainTimes
        """
        settings = self.settings
        stop_callers = anyio.Event()
        callers_stopped = anyio.Event()
        stop_others = anyio.Event()
        async with anyio.create_task_group() as servers:
            servers.start_soon(
                self._serve_callers, callers_app, stop_callers, callers_stopped
            )
            servers.start_soon(
                serve_http, readiness_app, settings.readiness, stop_others
            )
            servers.start_soon(serve_http, metrics_app, settings.metrics, stop_others)
            await stop.wait()
            times = await self._drain(stop_callers, callers_stopped)
            await anyio.sleep(LAST_REPORTS_SHARE * self._stop_margin_s)
            times.record(REPORTS)
            stop_others.set()
        times.record(SERVERS)
        return times

    async def _serve_callers(self, app, stop, stopped):
        address = self.settings.callers
        await serve_http(app, address, stop, None, self.http_config)
        stopped.set()

    async def _drain(self, stop_callers, callers_stopped):
        """Report not ready; stop serving once the load balancer has reacted.

        The last instance that is ready reports so until another one is.
        """
        times = DrainTimes(DrainMetrics())
        was_ready = self.is_ready
        self.is_draining = True
        self._planned_work.begin(STOP)
        now_ms = monotonic_ms()
        self._relay_context.late_from_ms = now_ms + 1000 * LATE_FROM_S
        self._relay_context.ends_ms = now_ms + 1000 * self._response_timeout_s
        decide(log, "entry instance draining", n_in_flight=len(self._requests))
        if was_ready:
            bounds = make_bounds(self._response_timeout_s, self._drain_delay_s)
            await stay_ready(
                self._own_state, lambda: self._follower.control_silence_ms, bounds
            )
        else:
            self._own_state.report(YIELDED)
        self._has_yielded = True
        times.record(LAST_READY)
        await self.probes.wait_until_missed(self._drain_delay_s)
        times.record(LOAD_BALANCER)
        stop_callers.set()
        left_ms = self._relay_context.ends_ms - monotonic_ms()
        with anyio.move_on_after(left_ms / 1000):
            await callers_stopped.wait()
        times.record(REQUESTS, None if self._requests else self._requests.last_ended_ms)
        times.record(CONNECTIONS)
        self._requests.break_off()
        # Counted from here: after a stall of the event loop, a timer that started with
        # the stop would close the connections before their responses are written.
        timeout_s = BREAK_OFF_SHARE * self._stop_margin_s
        with move_on_after_steps(timeout_s, N_BREAK_OFF_STEPS):
            await callers_stopped.wait()
        # Closes only connections whose caller does not read its response.
        self.http_config.cut.set()
        await callers_stopped.wait()
        times.record(BREAK_OFF)
        return times

    async def _maintain_periodically(self):
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL_S)
            try:
                self._maintain()
            except Exception:
                # The process has requests to serve.
                log.exception("maintenance failed")

    def _maintain(self):
        self._relay_context.load_view.evict_stale()
        self._relay_context.quarantine.evict_stale()
        self._relay_context.named_limits.refresh()
        self._relay_context.hold_offs.evict_stale()
        self._relay_context.targets.leaving_reports.evict_stale()
        self._relay_context.stream_origins.evict_stale()
        self._own_state.states.evict_stale()
        self._own_state.repeat_if_due()
        self._relay_context.update_metrics()
        if not self._follower.follows_fresh_instance:
            # The control addresses in the file may have changed without a SIGHUP.
            reload_settings(self.settings, self._load_settings)
