"""Tests of who begins, who waits and who is refused, under named loads."""

import random
from contextlib import ExitStack

import anyio
import pytest

from almonddeal.relay import waiting
from almonddeal.relay.admission import (
    LEAST_RETRY_MS,
    MOST_RETRY_MS,
    Returns,
    Wish,
    expected_wait_ms,
    longest_wait_ms,
    possible_engines,
    spacing_ms,
)
from almonddeal.relay.load import LoadView
from almonddeal.relay.streams import relay_stream
from almonddeal.relay.targets import TargetBook
from almonddeal.relay.tests.fakes import (
    TRAITS,
    FakeReply,
    Fleet,
    admit_stream,
    make_route,
    record,
    streams,
)
from almonddeal.relay.waiting import WaitingRoom
from almonddeal.routing.model import STREAM
from almonddeal_common.codes import (
    ATTEMPT_LOST,
    LINK_LOST,
    NO_TARGET,
    OVERLOADED,
    AlmonddealError,
)
from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_common.wire.gen.ttypes import Run

OBJECTIVE_MS = 4500.0


def run(request, target, n_tokens=6000, n_unread_tokens=0, **changes):
    values = {
        "request": request,
        "instance": "entry-9",
        "target": target,
        "born_ms": 1000,
        "n_tokens": n_tokens,
        "n_unread_tokens": n_unread_tokens,
        "is_ended": False,
        "backup": "",
        "fingerprint": request,
        "backup_born_ms": 0,
        "is_cut": False,
    }
    return Run(**{**values, **changes})


def engines(*targets):
    book = TargetBook()
    for target in targets:
        book.take(record(target))
    return book.candidates("s")


def wish(objective_left_ms=OBJECTIVE_MS, left_ms=25_000.0):
    return Wish(5000, 6000, objective_left_ms, left_ms)


def fill(loads, target, n_runs=9):
    """Fill an engine's memory with runs that have read their prompts."""
    for number in range(n_runs):
        loads.take(run(f"{target}-{number}", target))


class TestAdmission:
    """Pattern: more prompts come than the engines can read at once."""

    def test_engine_that_would_begin_late_is_left_out(self):
        states, loads = engines("i-1", "i-2"), LoadView()
        for number in range(4):
            loads.take(run(f"r{number}", "i-1", n_unread_tokens=5000))
        possible = possible_engines(states, loads, wish())
        assert [s.record.target for s in possible] == ["i-2"]

    def test_late_answer_takes_only_an_engine_that_reads_little(self):
        states, loads = engines("i-1", "i-2"), LoadView()
        loads.take(run("r1", "i-1", n_unread_tokens=5000))
        loads.take(run("r2", "i-2", n_unread_tokens=500))
        late = wish(objective_left_ms=-100.0)
        possible = possible_engines(states, loads, late)
        assert [s.record.target for s in possible] == ["i-2"]

    def test_prompt_too_long_for_its_objective_is_treated_like_others(self):
        states, loads = engines("i-1", "i-2"), LoadView()
        fill(loads, "i-1", 4)
        long_prompt = Wish(20_000, 21_000, OBJECTIVE_MS, 25_000.0)
        possible = possible_engines(states, loads, long_prompt)
        assert len(possible) == 2
        assert longest_wait_ms(loads, long_prompt) >= 3000.0

    def test_wait_is_that_for_the_oldest_run(self, virtual_time):
        states, loads = engines("i-1", "i-2"), LoadView()
        fill(loads, "i-1")
        virtual_time.now_s += 3.0
        fill(loads, "i-2")
        waits_ms = [
            expected_wait_ms(states, loads, wish(), TRAITS, n_ahead)
            for n_ahead in (0, 8, 9, 18)
        ]
        assert waits_ms[0] == waits_ms[1] == pytest.approx(loads.run_ms - 3000.0)
        assert waits_ms[2] == pytest.approx(loads.run_ms)
        assert waits_ms[3] > waits_ms[2]

    def test_no_wait_beside_an_idle_engine(self):
        states, loads = engines("i-1", "i-2"), LoadView()
        fill(loads, "i-1")
        assert expected_wait_ms(states, loads, wish(), TRAITS, 0) == 0.0

    def test_answer_that_an_engine_lost_takes_any_engine_and_waits_longer(self):
        states, loads = engines("i-1"), LoadView()
        loads.take(run("r1", "i-1", n_unread_tokens=5000))
        lost = Wish(5000, 6000, -100.0, 15_000.0, was_sent=True)
        assert possible_engines(states, loads, lost) == states
        late = wish(objective_left_ms=-100.0, left_ms=15_000.0)
        assert longest_wait_ms(loads, lost) > 2 * longest_wait_ms(loads, late)

    def test_no_engine_is_waited_for_when_none_is_known(self):
        wait_ms = expected_wait_ms([], LoadView(), wish(), TRAITS, 0)
        assert wait_ms == float("inf")

    def test_longest_wait_leaves_time_to_read_the_prompt(self):
        loads = LoadView()
        reading_ms = 5000 * loads.usual_ms_per_token
        wait_ms = longest_wait_ms(loads, wish())
        assert 0 < wait_ms <= OBJECTIVE_MS - reading_ms

    def test_answer_without_time_to_run_does_not_wait(self):
        late = wish(objective_left_ms=-1.0, left_ms=2000.0)
        assert longest_wait_ms(LoadView(), late) == 0.0

    def test_usual_time_of_a_run_is_learned(self, virtual_time):
        loads = LoadView()
        before = loads.run_ms
        for number in range(30):
            loads.take(run(f"r{number}", "i-1"))
            virtual_time.now_s += 2.0
            loads.take(run(f"r{number}", "i-1", is_ended=True))
        assert 2000.0 <= loads.run_ms < before / 2


class TestReturns:
    """Pattern: callers that were refused together come back together."""

    def test_each_is_told_a_later_time(self):
        returns = Returns()
        times = [returns.after_ms(1000.0, 300.0) for _ in range(5)]
        assert times == pytest.approx([1000.0, 1300.0, 1600.0, 1900.0, 2200.0])

    def test_times_are_bounded(self):
        returns = Returns()
        assert returns.after_ms(0.0, 1.0) == LEAST_RETRY_MS
        for _ in range(100):
            last_ms = returns.after_ms(float("inf"), 500.0)
        assert last_ms == MOST_RETRY_MS

    def test_spacing_grows_with_instances_and_falls_with_engines(self):
        loads = LoadView()
        few = spacing_ms(engines("i-1"), loads, wish(), TRAITS)
        more = spacing_ms(engines("i-1", "i-2"), loads, wish(), TRAITS)
        assert more == pytest.approx(few / 2)
        for number in range(3):
            loads.take(run(f"r{number}", "i-1", instance=f"entry-{number}"))
        assert spacing_ms(engines("i-1"), loads, wish(), TRAITS) > 2 * few


class TestWaitingRoom:
    def order(self, keys):
        """Return the places of tickets with given keys, as a list."""
        room = WaitingRoom()
        with ExitStack() as stack:
            tickets = [stack.enter_context(room.ticket(*key)) for key in keys]
            return [room.n_ahead(ticket) for ticket in tickets]

    def test_urgent_ones_then_those_due_first(self):
        keys = [(1, 50.0), (0, 90.0), (1, 40.0)]
        assert self.order(keys) == [2, 0, 1]

    def test_equal_ones_keep_their_order(self):
        assert self.order([(1, 50.0)] * 3) == [0, 1, 2]


class TestWaiting:
    """Pattern: a burst that fills the memory of all engines for some seconds."""

    def fleet(self):
        fleet = Fleet({"i-1": streams(1, 20)})
        fill(fleet.parts.loads, "i-1")
        return fleet

    async def free(self, fleet, after_s, n_runs=1):
        await anyio.sleep(after_s)
        for number in range(n_runs):
            fleet.parts.report(run(f"i-1-{number}", "i-1", is_ended=True))

    def test_answer_begins_as_soon_as_there_is_room(self, virtual_time):
        fleet = self.fleet()
        virtual_time.now_s += 7.0

        async def main():
            reply = FakeReply()
            async with anyio.create_task_group() as group:
                group.start_soon(self.free, fleet, 1.0)
                before_s = anyio.current_time()
                await relay_stream(admit_stream(n_prompt=5000), fleet.parts, reply)
                return reply, anyio.current_time() - before_s

        reply, took_s = run_in_virtual_time(main)
        assert reply.event_ids == list(range(1, 21))
        assert 1.0 <= took_s < 1.1

    def test_refusal_comes_at_once_if_no_room_is_in_sight(self):
        async def main():
            before_s = anyio.current_time()
            with pytest.raises(AlmonddealError) as caught:
                admitted = admit_stream(n_prompt=5000)
                await relay_stream(admitted, self.fleet().parts, FakeReply())
            return caught.value, anyio.current_time() - before_s

        error, took_s = run_in_virtual_time(main)
        assert error.code == OVERLOADED
        assert took_s == 0.0
        # All runs have just begun; the first of them is expected to end much later.
        assert error.after_ms > 4000.0

    def test_forecast_that_fails_ends_in_a_refusal_within_the_objective(
        self, virtual_time
    ):
        fleet = self.fleet()
        virtual_time.now_s += 7.0

        async def main():
            before_s = anyio.current_time()
            with pytest.raises(AlmonddealError) as caught:
                await relay_stream(
                    admit_stream(n_prompt=5000), fleet.parts, FakeReply()
                )
            return caught.value, anyio.current_time() - before_s

        error, took_s = run_in_virtual_time(main)
        assert error.code == OVERLOADED
        assert took_s < OBJECTIVE_MS / 1000
        assert fleet.attempts == []

    def test_caller_that_leaves_gives_its_turn_to_the_next(self, virtual_time):
        fleet = self.fleet()
        virtual_time.now_s += 7.0

        async def main():
            reply = FakeReply()
            async with anyio.create_task_group() as group:
                group.start_soon(self.free, fleet, 1.0)
                with anyio.move_on_after(0.5):
                    await relay_stream(
                        admit_stream(n_prompt=5000), fleet.parts, FakeReply()
                    )
                await relay_stream(admit_stream(n_prompt=5000), fleet.parts, reply)
            return reply

        assert run_in_virtual_time(main).is_complete
        assert len(fleet.attempts) == 1

    def test_more_urgent_answer_begins_first(self, virtual_time):
        fleet = self.fleet()
        virtual_time.now_s += 7.0
        order = []

        async def ask(priority):
            route = make_route(STREAM, priority=priority)
            admitted = admit_stream(route, n_prompt=5000)
            await relay_stream(admitted, fleet.parts, FakeReply())
            order.append(priority)

        async def main():
            async with anyio.create_task_group() as group:
                for priority in (3, 0):
                    group.start_soon(ask, priority)
                await self.free(fleet, 0.3)
                await self.free(fleet, 0.6, n_runs=2)

        run_in_virtual_time(main)
        assert order == [0, 3]

    def test_answer_that_may_have_run_is_not_said_to_have_not(self):
        async def breaks_and_fills(attempt):
            fill(fleet.parts.loads, "i-1")
            raise AlmonddealError(LINK_LOST, "reset")
            yield  # makes this a generator

        fleet = Fleet({"i-1": breaks_and_fills})

        async def main():
            with pytest.raises(AlmonddealError) as caught:
                admitted = admit_stream(n_prompt=5000)
                await relay_stream(admitted, fleet.parts, FakeReply())
            return caught.value

        error = run_in_virtual_time(main)
        assert len(fleet.attempts) == 1
        assert error.code == ATTEMPT_LOST
        assert error.code.http_status == 502
        assert error.after_ms is None

    def test_failure_of_an_engine_is_passed_on_when_no_other_has_room(self):
        async def fails_and_fills(attempt):
            fill(fleet.parts.loads, "i-1")
            yield 500
            yield b"why"

        fleet = Fleet({"i-1": fails_and_fills})

        async def main():
            reply = FakeReply()
            await relay_stream(admit_stream(n_prompt=5000), fleet.parts, reply)
            return reply

        reply = run_in_virtual_time(main)
        assert (reply.status, reply.body) == (500, b"why")

    def test_prompt_larger_than_any_engine_is_refused_at_once_for_good(self):
        async def main():
            before_s = anyio.current_time()
            admitted = admit_stream(n_prompt=TRAITS.n_cache_tokens + 1)
            with pytest.raises(AlmonddealError) as caught:
                await relay_stream(
                    admitted, Fleet({"i-1": streams(1, 20)}).parts, FakeReply()
                )
            return caught.value, anyio.current_time() - before_s

        error, took_s = run_in_virtual_time(main)
        assert (error.code, error.after_ms, took_s) == (NO_TARGET, None, 0.0)

    def test_answer_that_may_outgrow_an_engine_begins_at_an_empty_one(self):
        fleet = Fleet({"i-1": streams(1, 20), "i-2": streams(1, 20)})
        fill(fleet.parts.loads, "i-1", 1)

        async def main():
            reply = FakeReply()
            admitted = admit_stream(n_prompt=TRAITS.n_cache_tokens - 10)
            await relay_stream(admitted, fleet.parts, reply)
            return reply

        assert run_in_virtual_time(main).is_complete
        assert fleet.tried == ["i-2"]

    def test_no_known_engine_is_said_at_once(self):
        async def main():
            before_s = anyio.current_time()
            with pytest.raises(AlmonddealError) as caught:
                await relay_stream(admit_stream(), Fleet({}).parts, FakeReply())
            return caught.value, anyio.current_time() - before_s

        error, took_s = run_in_virtual_time(main)
        assert (error.code, took_s) == (NO_TARGET, 0.0)
        assert error.after_ms > 0

    def test_begun_answer_does_not_queue_behind_new_ones(self, virtual_time):
        fleet = Fleet(
            {"i-1": streams(1, 20, lose_at=5), "i-2": streams(1, 20)},
            {"i-1": "fd1", "i-2": "fd1"},
        )
        fill(fleet.parts.loads, "i-2", 2)

        async def main():
            room = fleet.parts.waiting_room("s")
            reply = FakeReply()
            with anyio.fail_after(5.0):
                admitted = admit_stream()
                async with anyio.create_task_group() as group:
                    group.start_soon(relay_stream, admitted, fleet.parts, reply)
                    await anyio.sleep(0.004)
                    with room.ticket(0, 0.0):
                        while not reply.is_complete:
                            await anyio.sleep(0.01)
            return reply

        reply = run_in_virtual_time(main)
        assert reply.event_ids == list(range(1, 21))

    @pytest.mark.parametrize("seed", range(5))
    def test_room_is_empty_after_any_mix_of_ends(self, virtual_time, seed):
        chance = random.Random(seed)
        fleet = self.fleet()
        virtual_time.now_s += 7.0

        async def ask():
            with anyio.move_on_after(chance.uniform(0.0, 2.0)):
                try:
                    await relay_stream(
                        admit_stream(n_prompt=5000), fleet.parts, FakeReply()
                    )
                except AlmonddealError as error:
                    assert error.after_ms > 0

        async def main():
            async with anyio.create_task_group() as group:
                for _ in range(20):
                    group.start_soon(ask)
                await self.free(fleet, 1.0, n_runs=chance.randrange(8))

        run_in_virtual_time(main)
        room = fleet.parts.waiting_room("s")
        with room.ticket(0, 0.0) as ticket:
            assert room.n_ahead(ticket) == 0
        assert fleet.n_open == 0

    def test_poll_is_short_beside_a_reading(self):
        assert waiting.POLL_S < 0.2
