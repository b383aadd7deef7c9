"""Scripted targets for relay tests, without a network."""

from contextlib import asynccontextmanager

import anyio

from almonddeal.announced.versioned_map import VersionedMap
from almonddeal.relay.context import RelayContext, TargetClient
from almonddeal.relay.load import LoadView
from almonddeal.relay.requests import (
    AdmittedRequest,
    CallerRequest,
    Generation,
    TargetResponse,
)
from almonddeal.relay.targets import TargetTable
from almonddeal.relay.tests.announcements import make_announcement
from almonddeal.roles.settings import RetryLimits
from almonddeal.routing.model import (
    LOOKUP,
    STREAM,
    EngineTraits,
    RequestLimits,
    Route,
    RoutingTable,
    Service,
)
from almonddeal_common.codes import LINK_LOST, NOT_REACHED, AlmonddealError
from almonddeal_common.wire.gen.ttypes import Run, StreamOrigin

TRAITS = EngineTraits(64, 55_000, True, 6, 4000.0)
SIGNED_HEADERS = [(b"x-signature", b"s")]


class NoMetrics:
    """Discards all metrics."""

    def record_request(self, kind, outcome, took_ms):
        return None

    def record_resume(self, pause_ms):
        return None


class FakeResponseWriter:
    """Collects the response that a caller would receive."""

    def __init__(self):
        self.status = None
        self.body = b""
        self.error = None
        self.is_complete = False

    async def send_response(self, status, headers, body):
        self.status = status
        self.body = body
        self.is_complete = True

    async def start(self, status, headers):
        assert self.status is None, "the response head was sent twice"
        self.status = status

    async def send(self, data):
        self.body += data

    async def finish(self):
        self.is_complete = True

    async def send_error(self, error):
        self.error = error

    @property
    def is_started(self):
        return self.status is not None or self.error is not None

    @property
    def is_written(self):
        return self.is_complete or (self.error is not None and self.status is None)

    @property
    def event_ids(self):
        lines = self.body.split(b"\n")
        return [int(line[3:]) for line in lines if line.startswith(b"id:")]

    @property
    def versions(self):
        """Software versions that wrote the events, as a set."""
        lines = self.body.split(b"\n")
        return {line[6:].decode() for line in lines if line.startswith(b"data: ")}


def make_run(request="r1", target="i-1", **changes):
    """Return another instance's report of a run that is still in prefill."""
    values = {
        "request": request,
        "instance": "entry-2",
        "target": target,
        "born_ms": 1000,
        "n_tokens": 6000,
        "n_unread_tokens": 5000,
        "is_ended": False,
        "backup": "",
        "fingerprint": request,
        "backup_born_ms": 0,
        "is_cut": False,
        "copy_address": "",
        "copy_id": "",
    }
    return Run(**{**values, **changes})


def stream_fingerprint(request_id="req0"):
    """Return the fingerprint of the runs of a stream that `admit_stream` began."""
    return admit_stream(request_id=request_id).request.stream_fingerprint


def fill_engine(load_view, target, n_runs=9):
    """Fill an engine's KV cache with runs that have finished their prefill."""
    for number in range(n_runs):
        load_view.merge(make_run(f"{target}-{number}", target, n_unread_tokens=0))


def make_event(number, version="v1"):
    """Return the bytes of one server-sent event, written by a software version."""
    return b"id:%d\ndata: %s\n\n" % (number, version.encode())


class FakeFleet:
    """Scripted targets by id, with the relay state of one instance.

    Parameters
    ----------
    behaviour_by_target : dict of str to callable
        An async generator function of the attempt. It first yields a status or a
        `ResponseHead`, or raises; then it yields the chunks of the body.
    domain_by_target : dict of str to str
        Failure domains; ``fd1`` if not given.
    version_by_target : dict of str to str
        Software versions; ``v1`` if not given.
    """

    def __init__(
        self, behaviour_by_target, domain_by_target=None, version_by_target=None
    ):
        self.behaviour_by_target = behaviour_by_target
        self.attempts = []
        self.n_open = 0
        self.n_probes = 0
        self.transfers = []
        self.cached_by_target = {}
        self.freed_copy_ids = []
        # Instead of the announced start times; an error stands for no response.
        self.start_ms_by_target = {}
        self.start_queries = []
        self.alive = set(behaviour_by_target)
        self._domain_by_target = domain_by_target or {}
        self._version_by_target = version_by_target or {}
        self.context = self.add_instance("entry-1")
        self.target_table = self.context.targets

    def add_instance(self, name, failure_domain="fd1"):
        """Return the relay state of one more instance, with the same targets."""
        target_table = TargetTable()
        for target in self.behaviour_by_target:
            domain = self._domain_by_target.get(target, "fd1")
            version = self._version_by_target.get(target, "v1")
            target_table.merge(make_announcement(target, domain, version=version))
        context = RelayContext(
            name,
            failure_domain,
            target_table,
            LoadView(),
            VersionedMap(),
            TargetClient(
                self.open_attempt,
                self.is_alive,
                self.is_reachable,
                self.send_kv_copy,
                self.free_kv_copy,
                self.list_cached_prefixes,
                self.read_start_ms,
            ),
            RetryLimits(0.8, 10.0, 150.0),
            NoMetrics(),
        )
        context.catch_up = self.catch_up
        context.is_current = lambda: True
        return context

    async def catch_up(self):
        return True

    async def is_alive(self, announcement):
        self.n_probes += 1
        return announcement.target in self.alive

    async def is_reachable(self, announcement):
        return announcement.target in self.alive

    async def list_cached_prefixes(self, announcement):
        return self.cached_by_target.get(announcement.target, set())

    async def read_start_ms(self, announcement):
        self.start_queries.append(announcement.target)
        start_ms = self.start_ms_by_target.get(
            announcement.target, announcement.born_ms
        )
        if isinstance(start_ms, AlmonddealError):
            raise start_ms
        return start_ms

    async def send_kv_copy(self, announcement, request_id, address):
        self.transfers.append((announcement.target, address))
        return f"copy-{len(self.transfers)}"

    async def free_kv_copy(self, announcement, copy_id):
        self.freed_copy_ids.append(copy_id)

    @asynccontextmanager
    async def open_attempt(self, attempt):
        self.attempts.append(attempt)
        steps = self.behaviour_by_target[attempt.target.target](attempt)
        self.n_open += 1
        try:
            first = await anext(steps)
            head = first if isinstance(first, ResponseHead) else ResponseHead(first)
            yield TargetResponse(
                head.status,
                SIGNED_HEADERS,
                head.is_not_run,
                head.is_misdirected,
                head.is_authentic,
                head.is_leaving,
                None,
                steps,
                head.request_limit_per_s,
                retry_after_ms=head.retry_after_ms,
            )
        finally:
            self.n_open -= 1
            await steps.aclose()

    def add_origin(self, request_id="req0", version="v1"):
        """Let the first instance know which software version began a stream."""
        self.context.stream_origins.add(StreamOrigin(request_id, "s", version, 0, ""))

    @property
    def tried(self):
        """Targets of all attempts, in order, as a list."""
        return [attempt.target.target for attempt in self.attempts]


class ResponseHead:
    """Head of a scripted response."""

    def __init__(
        self,
        status,
        is_not_run=False,
        is_misdirected=False,
        is_authentic=True,
        request_limit_per_s=None,
        is_leaving=False,
        retry_after_ms=None,
    ):
        self.retry_after_ms = retry_after_ms
        self.request_limit_per_s = request_limit_per_s
        self.is_leaving = is_leaving
        self.status = status
        self.is_not_run = is_not_run
        self.is_misdirected = is_misdirected
        self.is_authentic = is_authentic


def responds(status=200, body=b"whole"):
    """Return a behaviour: one complete response."""

    async def steps(attempt):
        yield status
        yield body

    return steps


def responds_with_head(head):
    """Return a behaviour: a response head with an empty body."""

    async def steps(attempt):
        yield head

    return steps


def refuses():
    """Return a behaviour: no free slot, request not executed."""
    return responds_with_head(ResponseHead(503, is_not_run=True))


async def unreachable(attempt):
    """Behaviour: the connection fails."""
    raise AlmonddealError(NOT_REACHED, "refused")
    yield  # makes this a generator


async def loses_connection(attempt):
    """Behaviour: the connection is lost after the request was sent."""
    raise AlmonddealError(LINK_LOST, "reset")
    yield  # makes this a generator


async def hangs(attempt):
    """Behaviour: the request is accepted, but no response is sent."""
    await anyio.sleep(3600)
    yield 200


def streams(first, last, lose_at=None, hang_at=None, gap_s=0.002):
    """Return a behaviour: a stream of events up to `last`.

    Parameters
    ----------
    first, last : int
        Event ids; a resumed attempt starts after its ``last_event_id`` instead.
    lose_at, hang_at : int, optional
        Event after which the connection is lost, or the stream stalls.
    gap_s : float
        Pause before each event.
    """

    async def steps(attempt):
        yield 200
        start = first if attempt.last_event_id is None else attempt.last_event_id + 1
        for number in range(start, last + 1):
            await anyio.sleep(gap_s)
            yield make_event(number, attempt.target.version)
            if number == lose_at:
                yield b"id:%d\nda" % (number + 1)
                raise AlmonddealError(LINK_LOST, "reset within an event")
            if number == hang_at:
                await anyio.sleep(3600)

    return steps


def make_route(kind=LOOKUP, **changes):
    """Return a route to service s."""
    values = {
        "name": "r",
        "host": "h",
        "prefix": "/a/",
        "kind": kind,
        "timeout_ms": 1000.0 if kind != STREAM else 10_000.0,
        "objective_ms": 150.0 if kind != STREAM else 4500.0,
        "priority": 1,
        "weight_by_service": {"s": 1.0},
        "max_attempts": 2 if kind != STREAM else 5,
        "is_public": True,
        "is_resumable": kind == STREAM,
        "max_gap_ms": 700.0,
    }
    return Route(**{**values, **changes})


def make_table(route, traits=None):
    """Return a routing table with one route and its service."""
    limits = RequestLimits(16384, 4194304, 3000.0, 15000.0)
    return RoutingTable(3, [route], [Service("s", traits)], None, limits)


def make_request(
    timeout_ms=1000.0,
    generation=None,
    last_event_id=None,
    request_id="req1",
    **changes,
):
    """Return a request that matches `make_route`."""
    return CallerRequest(
        request_id,
        "GET",
        "h",
        "/a/b",
        b"/a/b",
        [],
        b"",
        timeout_ms,
        None,
        last_event_id,
        generation,
        **changes,
    )


def admit_plain(route, timeout_ms=1000.0):
    """Return an admitted request to a plain service."""
    return AdmittedRequest(make_request(timeout_ms), route, Service("s", None), None)


def admit_stream(
    route=None, timeout_ms=10_000.0, last_event_id=None, n_prompt=1000, **changes
):
    """Return an admitted request for a streamed response."""
    generation = Generation(n_prompt, 100, "print1", "part1")
    request = make_request(timeout_ms, generation, last_event_id, **changes)
    return AdmittedRequest(
        request, route or make_route(STREAM), Service("s", TRAITS), None
    )
