"""Tests of targets that reject requests and ask for a pause, in virtual time."""

import random

import anyio
import pytest

from almonddeal.relay.hold_offs import HoldOffs
from almonddeal.relay.requests import TargetResponse
from almonddeal.relay.tests.fakes import make_announcement
from almonddeal.relay.tests.pausing_service import (
    KINDS,
    N_TOLERATED,
    RESUMED,
    PausingService,
)
from almonddeal.relay.tracked_target import TrackedTarget
from almonddeal.routing.model import LOOKUP, ORDER, STREAM
from almonddeal_common.codes import OVERLOADED
from almonddeal_common.virtual_time import run_in_virtual_time

ONE = {"i-1": "fd1"}
TWO = {"i-1": "fd1", "i-2": "fd2"}
FOUR = {"i-1": "fd1", "i-2": "fd2", "i-3": "fd3", "i-4": "fd1"}
PAUSE_S = 3.0
MAX_REJECTION_MS = 150.0  # a request to a target that rejects it, and the way back


def play(service, kinds, duration_s):
    """Send requests of some kinds for a time, while i-1 asks for pauses."""

    async def main():
        service.ask_for_pause("i-1", PAUSE_S)
        await service.send_for(duration_s, kinds)

    run_in_virtual_time(main)
    assert service.pauses_s_by_target["i-1"]
    return service


class TestPauses:
    # Guards against requests to a target in the time for which it wanted none.
    @pytest.mark.parametrize("is_not_run", [True, False])
    @pytest.mark.parametrize("domains", [ONE, TWO], ids=["only", "other"])
    @pytest.mark.parametrize("kind", KINDS)
    def test_target_gets_no_requests_until_the_end(self, kind, domains, is_not_run):
        service = PausingService(domains)
        service.is_not_run = is_not_run
        play(service, [kind], PAUSE_S)
        assert len(service.calls) > 60
        assert service.most_late_arrivals() == 0

    # Guards against requests that are turned away beside a target that takes them.
    @pytest.mark.parametrize("kind", KINDS)
    def test_other_target_serves_the_requests(self, kind):
        service = play(PausingService(TWO), [kind], PAUSE_S)
        assert all(call.is_served for call in service.calls)

    # Guards against a target that is left out for longer than it asked.
    @pytest.mark.parametrize("kind", KINDS)
    def test_target_is_asked_again_after_the_end(self, kind):
        service = PausingService(ONE)

        async def main():
            service.ask_for_pause("i-1", PAUSE_S)
            await service.call(kind)
            service.serve("i-1")
            await anyio.sleep(PAUSE_S)
            return await service.call(kind)

        call = run_in_virtual_time(main)
        assert call.is_served
        assert call.took_ms < 1000.0
        assert service.fleet.tried == ["i-1", "i-1"]
        assert not service.fleet.target_table.get("i-1").ejected_until_ms

    # Guards against a pause that keeps a target out that started again.
    def test_target_that_starts_again_is_asked_at_once(self):
        service = PausingService(ONE)

        async def main():
            service.ask_for_pause("i-1", PAUSE_S)
            await service.call(ORDER)
            service.serve("i-1")
            restarted = make_announcement("i-1", born_ms=2000)
            service.fleet.target_table.merge(restarted)
            return await service.call(ORDER)

        assert run_in_virtual_time(main).is_served

    # Guards against rejections beside an ejected target that would take the request.
    @pytest.mark.parametrize("kind", [LOOKUP, ORDER, STREAM])
    def test_ejected_target_is_asked_if_the_others_hold_off(self, kind):
        service = PausingService(TWO)

        async def main():
            service.ask_for_pause("i-1", PAUSE_S)
            while not service.pauses_s_by_target["i-1"]:
                await service.call(ORDER)
            table = service.fleet.target_table
            table.eject(table.get("i-2"), "a test", "r1")
            return await service.call(kind)

        assert run_in_virtual_time(main).is_served

    # Guards against requests in a pause, with targets that ask and lose streams at any
    # time and callers that send all kinds.
    @pytest.mark.parametrize("seed", range(12))
    def test_random_pauses_are_kept(self, seed):
        random.seed(seed)
        service = PausingService((ONE, TWO, FOUR)[seed % 3], seed)
        service.loss_share = 0.01

        async def main():
            async with anyio.create_task_group() as group:
                group.start_soon(service.ask_at_random)
                await service.send_for(15.0)
                group.cancel_scope.cancel()

        run_in_virtual_time(main)
        assert sum(map(len, service.pauses_s_by_target.values())) > 10
        assert service.most_late_arrivals() <= N_TOLERATED
        assert sum(call.is_served for call in service.calls) > 10
        for call in service.calls:
            if call.error is not None and call.error.code == OVERLOADED:
                assert call.error.retry_after_ms > 0


class TestCallers:
    # Guards against callers that wait in vain, or are told to return during the pause.
    @pytest.mark.parametrize("kind", KINDS)
    def test_callers_are_rejected_at_once_with_the_time_left(self, kind):
        service = play(PausingService(ONE), [kind], PAUSE_S - 0.2)
        if kind in (STREAM, RESUMED):
            # Those late in the pause wait, as they can still be on time.
            service.calls = [c for c in service.calls if c.took_ms < MAX_REJECTION_MS]
        assert len(service.calls) > 20
        for call in service.calls:
            assert call.error.code == OVERLOADED
            assert call.error.was_run == "no"
            assert call.took_ms < MAX_REJECTION_MS
            left_s = service.left_s(call.sent_s + call.took_ms / 1000)
            assert 1000 * left_s <= call.error.retry_after_ms + 1
            assert call.error.retry_after_ms < 1000 * left_s * 1.25 + 60

    # Guards against callers that all return at the same moment.
    def test_callers_return_at_different_times(self):
        service = play(PausingService(ONE), [LOOKUP], PAUSE_S / 2)
        returns_ms = sorted(
            1000 * call.sent_s + call.took_ms + call.error.retry_after_ms
            for call in service.calls
        )
        assert len({round(ms) for ms in returns_ms}) > 0.8 * len(returns_ms)
        assert returns_ms[-1] - returns_ms[0] > 400

    # Guards against a rejection where a wait of a moment serves the caller.
    @pytest.mark.parametrize("kind", [LOOKUP, ORDER])
    def test_request_waits_for_the_end_of_a_short_pause(self, kind):
        service = PausingService(ONE)

        async def main():
            service.ask_for_pause("i-1", 0.1)
            await service.call(kind)
            service.serve("i-1")
            return await service.call(kind)

        call = run_in_virtual_time(main)
        assert call.is_served
        assert call.took_ms < 200.0
        assert service.most_late_arrivals() == 0

    # Guards against a stream that is rejected though it can be on time.
    def test_stream_waits_for_a_pause_that_ends_in_time(self):
        service = PausingService(ONE)

        async def main():
            service.ask_for_pause("i-1", 1.0)
            await service.call(ORDER)
            service.serve("i-1")
            return await service.call(STREAM)

        call = run_in_virtual_time(main)
        assert call.is_served
        assert 900.0 < call.took_ms < 2000.0


class TestHoldOffs:
    def target(self, number=1, born_ms=1000):
        return TrackedTarget(make_announcement(f"i-{number}", born_ms=born_ms))

    def record(self, hold_offs, target, retry_after_ms, is_of_other_request=False):
        response = TargetResponse(
            503,
            [],
            True,
            False,
            True,
            False,
            None,
            None,
            is_of_other_request=is_of_other_request,
            retry_after_ms=retry_after_ms,
        )
        hold_offs.record(target.announcement, response, "r1")

    def test_pause_ends(self, virtual_time):
        hold_offs, target = HoldOffs(), self.target()
        self.record(hold_offs, target, 2500.0)
        virtual_time.now_s += 2.49
        assert not hold_offs.allows(target.announcement)
        virtual_time.now_s += 0.02
        assert hold_offs.allows(target.announcement)

    def test_later_response_does_not_shorten_a_pause(self, virtual_time):
        hold_offs, target = HoldOffs(), self.target()
        self.record(hold_offs, target, 3000.0)
        virtual_time.now_s += 1.0
        for retry_after_ms in (None, 0.0, 500.0):
            self.record(hold_offs, target, retry_after_ms)
        assert hold_offs.left_ms([target]) == pytest.approx(2000.0)
        self.record(hold_offs, target, 4000.0)
        assert hold_offs.left_ms([target]) == pytest.approx(4000.0)

    def test_response_to_another_request_is_ignored(self):
        hold_offs, target = HoldOffs(), self.target()
        self.record(hold_offs, target, 3000.0, is_of_other_request=True)
        assert hold_offs.allows(target.announcement)

    def test_other_process_at_the_same_id_does_not_hold_off(self):
        hold_offs = HoldOffs()
        self.record(hold_offs, self.target(), 3000.0)
        assert hold_offs.allows(self.target(born_ms=2000).announcement)

    def test_time_left_is_that_of_the_pause_that_ends_first(self):
        hold_offs, first, second = HoldOffs(), self.target(1), self.target(2)
        self.record(hold_offs, first, 3000.0)
        assert hold_offs.left_ms([]) == 0.0
        assert hold_offs.left_ms([first, second]) == 0.0
        assert hold_offs.retry_after_ms([first, second]) is None
        self.record(hold_offs, second, 5000.0)
        assert hold_offs.left_ms([first, second]) == pytest.approx(3000.0)

    def test_pauses_that_are_over_are_dropped(self, virtual_time):
        hold_offs = HoldOffs()
        self.record(hold_offs, self.target(1), 1000.0)
        self.record(hold_offs, self.target(2), 3000.0)
        virtual_time.now_s += 2.0
        hold_offs.evict_stale()
        assert len(hold_offs) == 1
