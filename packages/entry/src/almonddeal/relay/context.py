"""State, target client and metrics shared by all requests of an instance."""

import math
import random

from almonddeal.announced.stream_origins import StreamOrigins
from almonddeal.relay.admission_queue import AdmissionQueue
from almonddeal.relay.choose import SelectionPolicy
from almonddeal.relay.hold_offs import HoldOffs
from almonddeal.relay.named_limits import NamedLimits
from almonddeal.relay.quarantine import Quarantine
from almonddeal.relay.retry_window import RetryWindow
from almonddeal_common.clock import monotonic_ms


class TargetClient:
    """Client for requests to targets, as async functions.

    Parameters
    ----------
    open_attempt : callable
        ``open_attempt(attempt)`` sends a request; an async context manager that yields
        a `TargetResponse`. Raises `NOT_REACHED` if nothing was sent, or `LINK_LOST`.
    is_alive : callable
        ``is_alive(announcement)`` probes a target; returns whether it responds.
    is_reachable : callable
        ``is_reachable(announcement)`` returns whether a target accepts connections. It
        sends no request, which would wait for a slot at a plain service.
    send_kv_copy : callable
        ``send_kv_copy(announcement, request_id, address)`` has an engine transfer the
        KV cache of a run to the engine at an address; returns the id of the copy, or
        None.
    free_kv_copy : callable
        ``free_kv_copy(announcement, copy_id)`` frees such a copy.
    list_cached_prefixes : callable
        ``list_cached_prefixes(announcement)`` returns the hashes of the prompt segments
        in the prefix cache of an engine, as a set; empty if the query fails.
    read_start_ms : callable
        ``read_start_ms(announcement)`` returns the start time in ms of the engine that
        responds at the address of a target, or None if it reports none. Raises
        `NOT_REACHED` without a report, for the time being.

    Attributes
    ----------
    observe : callable
        ``observe(announcement, response)`` is called with the `QueryResponse` of each
        response to a query, before its body is read.
    """

    __slots__ = (
        "free_kv_copy",
        "is_alive",
        "is_reachable",
        "list_cached_prefixes",
        "observe",
        "open_attempt",
        "read_start_ms",
        "send_kv_copy",
    )

    def __init__(
        self,
        open_attempt,
        is_alive,
        is_reachable,
        send_kv_copy,
        free_kv_copy,
        list_cached_prefixes,
        read_start_ms,
    ):
        self.open_attempt = open_attempt
        self.is_alive = is_alive
        self.is_reachable = is_reachable
        self.send_kv_copy = send_kv_copy
        self.free_kv_copy = free_kv_copy
        self.list_cached_prefixes = list_cached_prefixes
        self.read_start_ms = read_start_ms
        self.observe = _ignore


def _ignore(announcement, response):
    pass


class RelayContext:
    """State, target client and metrics that all requests of an instance share.

    Parameters
    ----------
    instance : str
    domain : str
        Failure domain of this instance.
    targets : TargetTable
    load_view : LoadView
    runs : VersionedMap
        Reports of this instance's runs, published to the other instances.
    client : TargetClient
    retry_limits : RetryLimits
    metrics : RelayMetrics
    selection_policy : SelectionPolicy, optional
        Replaces the default selection of targets, for experiments.
    quarantine : Quarantine, optional
        Replaces the default, for tests.

    Attributes
    ----------
    version : int
        Version of the routing table, for log lines.
    late_from_ms : float
        From when, as `monotonic_ms`, requests that may be broken off at `ends_ms` are
        refused; infinite until this instance is told to stop.
    ends_ms : float
        When this instance breaks off its requests, as `monotonic_ms`; infinite until
        it is told to stop.
    moving_streams : set of Stream
        Streams that left a silent engine and are not at another one yet.
    stream_origins : StreamOrigins
        Software versions that began streams, of all instances.
    is_current : callable
        ``is_current()`` returns whether updates of control arrive without a gap.
    catch_up : callable
        ``catch_up()`` receives all that the control group has; an async function that
        returns whether it did.
    """

    def __init__(
        self,
        instance,
        domain,
        targets,
        load_view,
        runs,
        client,
        retry_limits,
        metrics,
        selection_policy=None,
        quarantine=None,
    ):
        self.instance = instance
        self.domain = domain
        self.targets = targets
        self.load_view = load_view
        self.runs = runs
        self.open_attempt = client.open_attempt
        self.is_alive = client.is_alive
        self.is_reachable = client.is_reachable
        self.send_kv_copy = client.send_kv_copy
        self.free_kv_copy = client.free_kv_copy
        self.list_cached_prefixes = client.list_cached_prefixes
        self.read_start_ms = client.read_start_ms
        self.metrics = metrics
        self.selection_policy = selection_policy or SelectionPolicy()
        self.quarantine = quarantine or Quarantine(instance)
        self.named_limits = NamedLimits(instance, self._count_requests)
        self.hold_offs = HoldOffs(instance)
        client.observe = self._record_query_response
        self.version = 0
        self.late_from_ms = math.inf
        self.ends_ms = math.inf
        self.moving_streams = set()
        self.stream_origins = StreamOrigins()
        self.is_current = lambda: False
        self.catch_up = _never_catch_up
        self._started_ms = monotonic_ms()
        self._retry_limits = retry_limits
        self._retry_window_by_service = {}
        self._admission_queue_by_service = {}

    @property
    def uptime_ms(self):
        """Time in ms since this process started."""
        return monotonic_ms() - self._started_ms

    def record_request(self, service_name):
        """Count a request of a caller to a service, for its retry budget."""
        self._retry_window(service_name).record_request(monotonic_ms())

    def _count_requests(self, service_name):
        return self._retry_window(service_name).n_requests(monotonic_ms())

    def take_retry(self, service_name):
        """Take one retry from the budget of a service; False if none is left now."""
        return self._retry_window(service_name).take_retry(
            monotonic_ms(), self.load_view.n_instances
        )

    def _retry_window(self, service_name):
        window = self._retry_window_by_service.get(service_name)
        if window is None:
            window = RetryWindow(self._retry_limits, self._started_ms)
            self._retry_window_by_service[service_name] = window
        return window

    def admission_queue(self, service_name):
        """Return the queue of requests that wait for engines of a service."""
        return self._admission_queue_by_service.setdefault(
            service_name, AdmissionQueue()
        )

    def allows(self, target):
        """Tell whether a request may be sent to a `TrackedTarget` now.

        It may unless the target asked for a pause, or named a limit of which the share
        of this instance is used up.
        """
        return self.hold_offs.allows(target.announcement) and self.named_limits.allows(
            target
        )

    def _record_query_response(self, announcement, response):
        self.targets.record_response(announcement, response, None)
        self.hold_offs.record(announcement, response, None)

    def may_send(self, target):
        """Tell whether a `TrackedTarget` that was chosen still takes requests."""
        return self.targets.is_usable(target) and self.hold_offs.allows(
            target.announcement
        )

    async def responds(self, announcement):
        """Tell whether a target responds to a probe.

        One that holds off is only connected to, as it wants no requests.
        """
        if self.hold_offs.allows(announcement):
            return await self.is_alive(announcement)
        return await self.is_reachable(announcement)

    def candidates(self, service_name, excluded=(), software_version=None):
        """Return the targets of a service that do not hold off, as a list.

        As of `TargetTable.candidates`: one that is ejected is included if all others
        hold off.

        Parameters
        ----------
        service_name : str
        excluded : collection of str
            Ids of targets to leave out.
        software_version : str or None
            Version that the targets must have; None for any.
        """
        excluded = self.hold_offs.paused_ids(self.targets).union(excluded)
        return self.targets.candidates(service_name, excluded, software_version)

    def retry_after_ms(self, targets, otherwise):
        """Return the Retry-After time of a request that no target took, in ms.

        Parameters
        ----------
        targets : list of TrackedTarget
            The targets that might serve the request.
        otherwise : callable
            Returns the time if one of them does not hold off.
        """
        retry_after_ms = self.hold_offs.retry_after_ms(targets)
        return otherwise() if retry_after_ms is None else retry_after_ms

    def choose_plain(self, targets):
        """Return the target of a plain service for a request, or None without any.

        One that asked another instance for a pause is chosen if there is no other.
        """

        def choose(targets):
            return self.selection_policy.plain(targets, self.domain, random.random)

        return self.hold_offs.choose(choose, targets)

    def choose_engine(self, engines, admitted, n_tokens):
        """Return the engine for a request, or None if none has capacity.

        One that asked another instance for a pause is chosen if no other has.
        """

        def choose(engines):
            return self.selection_policy.engine(
                engines,
                self.load_view,
                n_tokens,
                admitted.service.engine,
                self.domain,
                random.random,
            )

        return self.hold_offs.choose(choose, engines)

    def merge_remote_run(self, run):
        """Merge a run report of another instance.

        A target from which that instance moved the run is probed at once.
        """
        abandoned = self.load_view.abandoned_target(run)
        self._merge_run(run)
        if abandoned is not None:
            self.targets.suspect(*abandoned)

    def report(self, run):
        """Merge a report of an own run and publish it to the other instances."""
        self._merge_run(run)
        self.runs.put(run.request, run)

    def update_metrics(self):
        """Set the metrics that describe the state of this instance."""
        self.metrics.set_n_quarantined(len(self.quarantine.culprits))

    def _merge_run(self, run):
        self.load_view.merge(run)
        if run.is_ended:
            for queue in self._admission_queue_by_service.values():
                queue.wake()


async def _never_catch_up():
    return False
