"""Simulation of a plain service with a request that crashes its targets."""

import random

import anyio

from almonddeal.relay.plain import relay_plain
from almonddeal.relay.quarantine import Quarantine
from almonddeal.relay.requests import AdmittedRequest
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    make_announcement,
    make_request,
    make_route,
)
from almonddeal.routing.model import LOOKUP, ORDER, Service
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import LINK_LOST, NOT_REACHED, AlmonddealError

N_INSTANCES = 4
N_TARGETS = 3
WORK_S = 0.045
CRASH_AFTER_S = 0.04
RESTART_S = 3.2
SHARE_DELAY_S = 0.01  # evidence passes a control instance
DEADLY_PATH = b"/a/deadly"
DEADLY_SINCE_S = 5.0
DEADLY_INTERVAL_S = 0.7
SOUND_RATE_PER_S = 14.0
DURATION_S = 40.0


def admit(request_id, path=b"/a/b", key=None, body=b"", customer=None, route=None):
    """Return an admitted request of a caller with a key."""
    request = make_request()
    request.request_id = request_id
    request.path_and_query = path
    request.key = key
    request.body = body
    route = route or make_route()
    return AdmittedRequest(request, route, Service("s", None), customer)


class DeadlyDay:
    """Simulation of a plain service with a request that crashes its targets.

    Attributes
    ----------
    crashes_ms : list of float
    sends : list of tuple
        Time and path of each request that reached a target.
    sound_outcomes : list of tuple
        Time and whether the caller got a response, for each of the other requests.
    """

    def __init__(self, seed, kind, deadly_interval_s=DEADLY_INTERVAL_S):
        self._rng = random.Random(seed)
        self._route = make_route(kind, max_attempts=3 if kind == LOOKUP else 1)
        self._deadly_interval_s = deadly_interval_s
        self._group = None
        self._born_ms_by_target = {}
        self._contexts = []
        self.crashes_ms = []
        self.sends = []
        self.sound_outcomes = []

    async def play(self):
        """Send both kinds of requests for `DURATION_S`."""
        random.seed(self._rng.random())
        fleet = FakeFleet(
            {f"i-{number}": self._run for number in range(1, N_TARGETS + 1)}
        )
        self._fleet = fleet
        self._contexts = [fleet.add_instance(f"entry-{n}") for n in range(N_INSTANCES)]
        for number, context in enumerate(self._contexts):
            context.quarantine = Quarantine(f"entry-{number}", monotonic_ms)
        for target in sorted(fleet.alive):
            self._announce(target)
        async with anyio.create_task_group() as group:
            self._group = group
            for context in self._contexts:
                group.start_soon(self._share_evidence, context)
            group.start_soon(self._send_sound)
            group.start_soon(self._send_deadly)
            await anyio.sleep(DURATION_S)
            group.cancel_scope.cancel()
        return self

    def _announce(self, target):
        self._born_ms_by_target[target] = int(monotonic_ms())
        domain = f"fd{target[-1]}"
        for context in self._contexts:
            context.targets.merge(
                make_announcement(target, domain, self._born_ms_by_target[target])
            )

    async def _share_evidence(self, context):
        evidence = context.quarantine.evidence
        revision = 0
        while True:
            records = evidence.changed_since(revision)
            revision = evidence.revision
            await anyio.sleep(SHARE_DELAY_S)
            for other in self._contexts:
                other.quarantine.merge(*records)
            if evidence.revision == revision:
                await evidence.wait()

    async def _run(self, attempt):
        """Run an attempt at a target, which the deadly request crashes."""
        target = attempt.target.target
        if target not in self._fleet.alive:
            raise AlmonddealError(NOT_REACHED, "refused")
        path = attempt.admitted.request.path_and_query
        born_ms = self._born_ms_by_target[target]
        self.sends.append((monotonic_ms(), path))
        if path == DEADLY_PATH:
            await anyio.sleep(CRASH_AFTER_S)
            if born_ms == self._born_ms_by_target[target]:
                self._crash(target)
        else:
            await anyio.sleep(WORK_S)
        if target not in self._fleet.alive:
            raise AlmonddealError(LINK_LOST, "reset")
        yield 200
        yield b"whole"

    def _crash(self, target):
        if target in self._fleet.alive:
            self._fleet.alive.discard(target)
            self.crashes_ms.append(monotonic_ms())
            self._group.start_soon(self._restart, target)

    async def _restart(self, target):
        await anyio.sleep(RESTART_S)
        self._fleet.alive.add(target)
        self._announce(target)

    async def _send_sound(self):
        for number in range(10_000):
            await anyio.sleep(self._rng.expovariate(SOUND_RATE_PER_S))
            path = b"/a/%d" % self._rng.randrange(300)
            self._group.start_soon(self._request, f"s{number}", path)

    async def _send_deadly(self):
        await anyio.sleep(DEADLY_SINCE_S)
        for number in range(10_000):
            self._group.start_soon(self._request, f"d{number}", DEADLY_PATH)
            await anyio.sleep(self._rng.expovariate(1 / self._deadly_interval_s))

    async def _request(self, request_id, path):
        """Send a request, and a failed lookup once more, at any instance."""
        sent_ms = monotonic_ms()
        writer = FakeResponseWriter()
        for repeat in range(2):
            admitted = admit(f"{request_id}-{repeat}", path, route=self._route)
            context = self._rng.choice(self._contexts)
            try:
                await relay_plain(admitted, context, writer)
                break
            except AlmonddealError as error:
                if self._route.kind == ORDER and error.was_run != "no":
                    break
        if path != DEADLY_PATH:
            self.sound_outcomes.append((sent_ms, writer.is_complete))

    def deadly_sends_after(self, since_ms):
        """Return the times after `since_ms` at which a target got the request."""
        return [ms for ms, path in self.sends if path == DEADLY_PATH and ms > since_ms]

    def served_share(self, since_ms):
        """Return the share of the other requests since a time that were served."""
        outcomes = [
            is_ok for sent_ms, is_ok in self.sound_outcomes if sent_ms > since_ms
        ]
        return sum(outcomes) / len(outcomes)
