"""Tests of requests that callers send again, at any instance, and that crash targets.

Pattern: whatever target runs the request crashes and is back after some seconds, while
other requests run beside it.
"""

import random

import anyio
import pytest

from almonddeal.announced.evidence import MAX_RECORDS
from almonddeal.relay.plain import relay_plain
from almonddeal.relay.quarantine import MAX_CRASHES, Quarantine
from almonddeal.relay.requests import Generation
from almonddeal.relay.streams import relay_stream
from almonddeal.relay.suspects import list_suspects
from almonddeal.relay.tests.crashing_service import (
    DEADLY_INTERVAL_S,
    DEADLY_PATH,
    DeadlyDay,
    admit,
)
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    ResponseHead,
    admit_stream,
    make_announcement,
    make_route,
    streams,
)
from almonddeal.relay.tests.stream_runs import LAST, is_complete_response
from almonddeal.routing.model import LOOKUP, ORDER, Customer
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    LINK_LOST,
    NOT_REACHED,
    REQUEST_QUARANTINED,
    AlmonddealError,
)
from almonddeal_common.virtual_time import run_in_virtual_time

# The users' bounds: after the third crash, and the time that instances have to learn of
# it, so many more sends of the request may reach targets.
N_TOLERATED_CRASHES = 3
LEARN_MS = 3000.0
N_TOLERATED_SENDS = 3


class TestFingerprint:
    def test_repeats_of_a_request_have_the_same(self):
        assert admit("r1").fingerprint == admit("r2").fingerprint

    @pytest.mark.parametrize(
        "change", [{"path": b"/a/b?c"}, {"key": "k2"}, {"body": b"x"}]
    )
    def test_other_requests_have_another(self, change):
        assert admit("r", **change).fingerprint != admit("r").fingerprint

    def test_keys_of_a_customer_are_the_same_caller(self):
        customer = Customer("c", ["a", "b"], None)
        first, second = (admit("r", key=key, customer=customer) for key in "ab")
        assert first.fingerprint == second.fingerprint


class TestSuspectedRequests:
    """Evidence on requests as such, at one instance."""

    def crash(self, quarantine, number, admitted, domain=None):
        """Record a crash of target `number` under a request."""
        domain = domain or f"fd{number % 3}"
        announcement = make_announcement(f"i-{number}", domain)
        quarantine.record_crash(admitted, announcement, has_response=False)

    def code(self, quarantine, admitted):
        """Return the code with which a request is rejected, or None."""
        try:
            quarantine.check(admitted)
        except AlmonddealError as error:
            assert error.was_run == "no"
            assert error.retry_after_ms is None
            return error.code
        return None

    def test_request_is_rejected_after_three_crashes(self, virtual_time):
        quarantine = Quarantine("entry-1", monotonic_ms)
        for number in range(3):
            assert self.code(quarantine, admit("r")) is None
            self.crash(quarantine, number, admit(f"r{number}"))
            virtual_time.now_s += 0.1
        assert self.code(quarantine, admit("r9")) == REQUEST_QUARANTINED
        assert self.code(quarantine, admit("r9", b"/a/c")) is None

    def test_request_that_a_target_survives_is_released(self, virtual_time):
        quarantine = Quarantine("entry-1", monotonic_ms)
        for number in range(3):
            self.crash(quarantine, number, admit(f"r{number}"))
            virtual_time.now_s += 0.1
        quarantine.record_sound(list_suspects(admit("r9")))
        assert self.code(quarantine, admit("r9")) is None

    def test_requests_beside_the_crashing_one_are_not_blamed(self, virtual_time):
        # They are sent on together, and the crashing one comes again.
        quarantine = Quarantine("entry-1", monotonic_ms)
        for number in range(4):
            self.crash(quarantine, number, admit(f"r{number}", DEADLY_PATH))
            if number < 3:
                self.crash(quarantine, number, admit(f"n{number}", b"/a/neighbour"))
            virtual_time.now_s += 2.0
        assert self.code(quarantine, admit("r9", DEADLY_PATH)) == REQUEST_QUARANTINED
        assert self.code(quarantine, admit("n9", b"/a/neighbour")) is None

    def test_requests_that_nothing_tells_apart_are_both_rejected(self, virtual_time):
        quarantine = Quarantine("entry-1", monotonic_ms)
        for number in range(3):
            self.crash(quarantine, number, admit(f"r{number}", DEADLY_PATH))
            self.crash(quarantine, number, admit(f"n{number}", b"/a/neighbour"))
            virtual_time.now_s += 0.1
        for path in (DEADLY_PATH, b"/a/neighbour"):
            assert self.code(quarantine, admit("r9", path)) == REQUEST_QUARANTINED
        self.crash(quarantine, 4, admit("r4", DEADLY_PATH))
        assert self.code(quarantine, admit("r9", DEADLY_PATH)) == REQUEST_QUARANTINED
        assert self.code(quarantine, admit("r9", b"/a/neighbour")) is None

    def test_request_that_came_more_often_is_blamed(self, virtual_time):
        quarantine = Quarantine("entry-1", monotonic_ms)
        for number in range(3):
            self.crash(quarantine, number, admit(f"r{number}", DEADLY_PATH))
            self.crash(quarantine, number, admit("n", b"/a/neighbour"))
            virtual_time.now_s += 0.1
        assert self.code(quarantine, admit("r9", DEADLY_PATH)) == REQUEST_QUARANTINED
        assert self.code(quarantine, admit("n9", b"/a/neighbour")) is None

    def test_domain_that_is_lost_as_a_whole_counts_once(self, virtual_time):
        quarantine = Quarantine("entry-1", monotonic_ms)
        for number in range(4):
            self.crash(quarantine, number, admit(f"r{number}"), "fd1")
            neighbour = admit(f"n{number}", b"/a/n%d" % number)
            self.crash(quarantine, 10 + number, neighbour, "fd1")
            virtual_time.now_s += 0.2
        assert self.code(quarantine, admit("r9")) is None

    def test_crashes_of_a_request_alone_count_in_one_domain_too(self, virtual_time):
        """Guards against services whose targets are all in one failure domain."""
        quarantine = Quarantine("entry-1", monotonic_ms)
        for number in range(3):
            self.crash(quarantine, number, admit(f"r{number}"), "fd1")
            virtual_time.now_s += 0.1
        assert self.code(quarantine, admit("r9")) == REQUEST_QUARANTINED

    def test_crashes_at_the_same_moment_count_if_the_request_is_at_each(self):
        """Guards against a request that is sent to several targets at once."""
        quarantine = Quarantine("entry-1", monotonic_ms)
        for number in range(3):
            self.crash(quarantine, number, admit(f"r{number}"))
        assert self.code(quarantine, admit("r9")) == REQUEST_QUARANTINED

    def test_request_that_starts_to_crash_targets_is_found_within_seconds(
        self, virtual_time
    ):
        """Guards against a release whose targets crash under a request sound before."""
        quarantine = Quarantine("entry-1", monotonic_ms)
        quarantine.record_sound(list_suspects(admit("r")))
        for number in range(8):
            virtual_time.now_s += 1.0
            self.crash(quarantine, number, admit(f"r{number}"))
        assert self.code(quarantine, admit("r9")) == REQUEST_QUARANTINED

    def test_many_other_crashes_do_not_release_a_request(self, virtual_time):
        """Guards against forgetting a request as domains with many targets are lost."""
        quarantine = Quarantine("entry-1", monotonic_ms)
        for number in range(3):
            self.crash(quarantine, number, admit(f"r{number}"))
            virtual_time.now_s += 0.1
        for number in range(2 * MAX_RECORDS):
            neighbour = admit(f"n{number}", b"/a/n%d" % number)
            self.crash(quarantine, 3 + number // 40, neighbour)
        assert len(quarantine.evidence) == MAX_RECORDS
        assert self.code(quarantine, admit("r9")) == REQUEST_QUARANTINED

    def test_request_often_asked_is_not_blamed(self, virtual_time):
        quarantine = Quarantine("entry-1", monotonic_ms)
        for number in range(6):
            quarantine.record_sound(list_suspects(admit(f"s{number}")))
            virtual_time.now_s += 1.0
            self.crash(quarantine, number, admit(f"r{number}"))
        assert not quarantine.evidence.values()

    def test_crashing_segment_is_told_from_the_requests_with_it(self, virtual_time):
        quarantine = Quarantine("entry-1", monotonic_ms)
        for number in range(4):
            admitted = admit(f"r{number}", b"/a/%d" % (number // 2))
            generation = Generation(10, 10, "f", "last", (f"f{number // 2}", "bad"))
            admitted.request.generation = generation
            self.crash(quarantine, number, admitted)
            virtual_time.now_s += 1.0
        assert quarantine.culprits == [frozenset(("bad",))]

    def test_rejected_request_that_was_refused_before_is_not_run(self):
        """Guards against telling callers to come back with a rejected request."""
        fleet = FakeFleet({f"i-{number}": None for number in range(1, 4)})
        quarantine = fleet.context.quarantine = Quarantine("entry-1", monotonic_ms)

        async def refuses(attempt):
            for number in range(3):
                self.crash(quarantine, number, admit(f"r{number}"))
                await anyio.sleep(1.1)
            yield ResponseHead(503, is_not_run=True)

        fleet.behaviour_by_target = dict.fromkeys(fleet.behaviour_by_target, refuses)
        admitted = admit("r9", route=make_route(timeout_ms=9000.0, max_attempts=3))
        admitted.deadline_ms += 9000.0
        with pytest.raises(AlmonddealError) as caught:
            run_in_virtual_time(
                relay_plain, admitted, fleet.context, FakeResponseWriter()
            )
        assert caught.value.code == REQUEST_QUARANTINED
        assert len(fleet.attempts) == 1


# Kind, seed and mean interval in s. The last ones had several targets crash at the same
# moment, as the request was on its way to each of them.
DAYS = [
    *(
        (kind, seed, DEADLY_INTERVAL_S)
        for kind in (LOOKUP, ORDER)
        for seed in (1, 2, 3)
    ),
    (LOOKUP, 120, 0.2),
    (LOOKUP, 145, DEADLY_INTERVAL_S),
]


@pytest.fixture(
    scope="module", params=DAYS, ids=lambda param: "-".join(map(str, param))
)
def day(request):
    kind, seed, interval_s = request.param
    return run_in_virtual_time(DeadlyDay(seed, kind, interval_s).play)


class TestRepeatedRequest:
    def test_targets_stop_receiving_a_request_that_crashes_them(self, day):
        """Guards against targets crashing one after the other by a repeated request."""
        assert len(day.crashes_ms) >= N_TOLERATED_CRASHES, (
            "the pattern did not come about"
        )
        since_ms = day.crashes_ms[N_TOLERATED_CRASHES - 1] + LEARN_MS
        assert len(day.deadly_sends_after(since_ms)) <= N_TOLERATED_SENDS

    def test_other_requests_are_served_again(self, day):
        """Guards against rejecting requests that ran beside the crashing one."""
        since_ms = day.crashes_ms[N_TOLERATED_CRASHES - 1] + 2 * LEARN_MS
        assert day.served_share(since_ms) >= 0.99


class TestRepeatedStream:
    """Pattern: the prompt of the request has no segment that other prompts lack."""

    def fleet(self, n_engines=12):
        """Return a fleet whose engines crash under requests to `DEADLY_PATH`."""
        domain_by_target = {f"i-{n}": f"fd{n % 3}" for n in range(1, n_engines + 1)}
        fleet = FakeFleet(dict.fromkeys(domain_by_target), domain_by_target)
        fleet.context.quarantine = Quarantine("entry-1", monotonic_ms)
        sound = streams(1, LAST, gap_s=0.05)

        async def steps(attempt):
            if attempt.target.target not in fleet.alive:
                raise AlmonddealError(NOT_REACHED, "refused")
            if attempt.admitted.request.path_and_query != DEADLY_PATH:
                async for step in sound(attempt):
                    yield step
                return
            await anyio.sleep(0.2)
            yield 200
            fleet.alive.discard(attempt.target.target)
            raise AlmonddealError(LINK_LOST, "reset")

        fleet.behaviour_by_target = dict.fromkeys(domain_by_target, steps)
        return fleet

    async def relay(self, fleet, request_id, path):
        """Relay a request; return the writer of its response, or the error."""
        admitted = admit_stream()
        admitted.request.request_id = request_id
        admitted.request.path_and_query = path
        admitted.request.generation = Generation(
            1000, 100, request_id, "last", ("first",)
        )
        writer = FakeResponseWriter()
        try:
            await relay_stream(admitted, fleet.context, writer)
        except AlmonddealError as error:
            return error
        return writer

    @pytest.mark.parametrize("kind", ["stream", "lookup"])
    def test_request_lost_with_a_failure_domain_goes_on_elsewhere(self, kind):
        """Guards against giving up requests that met several targets of one domain."""
        fleet = self.fleet(n_engines=9)

        async def crashes_with_its_domain(attempt):
            target = attempt.target
            await anyio.sleep(0.1)
            if target.failure_domain == "fd1":
                yield 200
                fleet.alive.discard(target.target)
                raise AlmonddealError(LINK_LOST, "reset")
            async for step in streams(1, LAST)(attempt):
                yield step

        fleet.behaviour_by_target = dict.fromkeys(fleet.alive, crashes_with_its_domain)
        # The others are busy, so that the engines of the domain are chosen first.
        for number in range(1, 10):
            target = fleet.target_table.get(f"i-{number}")
            if target.announcement.failure_domain != "fd1":
                target.start_ejection(monotonic_ms() + 900.0)
        writer = FakeResponseWriter()

        async def main():
            # Others lose the rest of the domain at the same time.
            for number in (20, 21):
                neighbour = admit(f"n{number}", b"/a/n%d" % number)
                announcement = make_announcement(f"i-{number}", "fd1")
                fleet.context.quarantine.record_crash(neighbour, announcement, False)
            if kind == "lookup":
                route = make_route(max_attempts=5)
                await relay_plain(admit("r1", route=route), fleet.context, writer)
            else:
                await relay_stream(admit_stream(), fleet.context, writer)

        run_in_virtual_time(main)
        assert writer.is_complete
        n_lost = sum(a.target.failure_domain == "fd1" for a in fleet.attempts)
        assert n_lost >= MAX_CRASHES

    @pytest.mark.parametrize("seed", range(10))
    def test_engines_stop_receiving_a_stream_that_crashes_them(self, seed):
        """Guards against engines crashing one after the other by a repeated stream."""
        random.seed(seed)
        fleet = self.fleet()

        async def main():
            assert is_complete_response(await self.relay(fleet, "s1", b"/a/b"))
            n_lost, errors = [], []
            for number in range(5):
                n_alive = len(fleet.alive)
                errors.append(await self.relay(fleet, f"d{number}", DEADLY_PATH))
                n_lost.append(n_alive - len(fleet.alive))
                await anyio.sleep(1.0)
            n_attempts = len(fleet.attempts)
            await self.relay(fleet, "d9", DEADLY_PATH)
            assert len(fleet.attempts) == n_attempts
            assert is_complete_response(await self.relay(fleet, "s2", b"/a/b"))
            return n_lost, errors

        n_lost, errors = run_in_virtual_time(main)
        # An attempt at an engine that is down loses none.
        assert n_lost[0] == MAX_CRASHES
        assert sum(n_lost) == N_TOLERATED_CRASHES
        assert errors[-1].code == REQUEST_QUARANTINED
