"""Tests of requests whose prompts crash engines, up to their rejection."""

import anyio
import pytest

from almonddeal.relay.quarantine import MAX_CRASHES
from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    admit_stream,
    fill_engine,
    loses_connection,
    make_event,
    streams,
)
from almonddeal.relay.tests.stream_runs import LAST, is_complete_response
from almonddeal.relay.tests.test_quarantine import (
    BAD,
    DOMAINS,
    crash,
    make_prompt,
    make_quarantine,
)
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    ATTEMPT_LOST,
    LINK_LOST,
    NOT_REACHED,
    PROMPT_QUARANTINED,
    AlmonddealError,
)
from almonddeal_common.virtual_time import run_in_virtual_time


class TestRelay:
    def fleet(self, n_engines=9):
        """Return a fleet whose engines crash under the segment `BAD`."""
        fleet = FakeFleet(
            {f"i-{number}": None for number in range(1, n_engines + 1)},
            {f"i-{n}": DOMAINS[n % 3] for n in range(1, n_engines + 1)},
        )
        fleet.context.quarantine = make_quarantine()
        sound = streams(1, LAST, gap_s=0.05)

        async def steps(attempt):
            if attempt.target.target not in fleet.alive:
                raise AlmonddealError(NOT_REACHED, "refused")
            if BAD not in attempt.admitted.request.generation.shared_prefix_hashes:
                async for step in sound(attempt):
                    yield step
                return
            await anyio.sleep(0.2)
            yield 200
            fleet.alive.discard(attempt.target.target)
            raise AlmonddealError(LINK_LOST, "reset")

        for target in fleet.behaviour_by_target:
            fleet.behaviour_by_target[target] = steps
        return fleet

    async def relay(self, fleet, *prefix_hashes, request_id="r1"):
        """Relay a request with these segments; return its writer, or the error."""
        admitted = admit_stream()
        admitted.request = make_prompt(request_id, *prefix_hashes)
        writer = FakeResponseWriter()
        try:
            await relay_stream(admitted, fleet.context, writer)
        except AlmonddealError as error:
            return error
        return writer

    def test_request_crashes_few_engines(self):
        fleet = self.fleet()
        error = run_in_virtual_time(self.relay, fleet, "first", BAD)
        assert error.code == ATTEMPT_LOST
        assert len(fleet.attempts) == MAX_CRASHES

    def test_quarantined_prompt_is_rejected_unsent(self):
        fleet = self.fleet()

        async def main():
            for number in (1, 2):
                await self.relay(fleet, f"f{number}", BAD, request_id=f"r{number}")
                await anyio.sleep(1.0)  # longer than the crashes of a domain take
            n_attempts = len(fleet.attempts)
            error = await self.relay(fleet, "f3", BAD, request_id="r3")
            assert len(fleet.attempts) == n_attempts
            writer = await self.relay(fleet, "f1", request_id="r4")
            return error, writer

        error, writer = run_in_virtual_time(main)
        assert error.code == PROMPT_QUARANTINED
        assert error.was_run == "no"
        assert error.retry_after_ms is None
        assert is_complete_response(writer)

    def test_request_that_waits_for_an_engine_is_rejected_at_once(self):
        fleet = self.fleet(n_engines=1)
        fill_engine(fleet.context.load_view, "i-1")
        fleet.context.load_view.mean_run_ms = 2000.0
        admitted = admit_stream()
        admitted.request = make_prompt("r9", BAD)

        async def main():
            before_ms = monotonic_ms()
            async with anyio.create_task_group() as group:
                group.start_soon(self.record_crashes_later, fleet.context.quarantine)
                with pytest.raises(AlmonddealError) as caught:
                    await relay_stream(admitted, fleet.context, FakeResponseWriter())
            assert caught.value.code == PROMPT_QUARANTINED
            return monotonic_ms() - before_ms

        assert run_in_virtual_time(main) < 700
        assert not fleet.attempts

    async def record_crashes_later(self, quarantine):
        for number in range(3):
            await anyio.sleep(0.2)
            crash(quarantine, number, make_prompt(f"r{number}", BAD))

    def test_run_is_cancelled_before_it_crashes_its_engine(self):
        fleet = self.fleet()
        admitted = admit_stream()
        admitted.request = make_prompt("r9", BAD)

        async def prefills(attempt):
            await anyio.sleep(1.0)
            raise AssertionError("the engine was to generate")
            yield 200

        for target in fleet.behaviour_by_target:
            fleet.behaviour_by_target[target] = prefills

        async def main():
            async with anyio.create_task_group() as group:
                group.start_soon(self.record_crashes_later, fleet.context.quarantine)
                with pytest.raises(AlmonddealError) as caught:
                    await relay_stream(admitted, fleet.context, FakeResponseWriter())
            return caught.value

        assert run_in_virtual_time(main).code == ATTEMPT_LOST
        assert len(fleet.attempts) == 1
        assert fleet.n_open == 0

    def test_lost_connection_to_a_live_engine_is_no_crash(self):
        fleet = self.fleet()

        def lose_first(attempt):
            is_lost = len(fleet.attempts) < 4
            return (loses_connection if is_lost else streams(1, LAST))(attempt)

        for target in fleet.behaviour_by_target:
            fleet.behaviour_by_target[target] = lose_first
        assert is_complete_response(run_in_virtual_time(self.relay, fleet, "first"))
        assert len(fleet.attempts) == 4
        assert not fleet.context.quarantine.evidence.values()

    async def relay_beside_traffic(self, fleet, is_reachable):
        """Relay a request to an engine that falls silent as it responds."""

        async def goes_dark(attempt):
            await anyio.sleep(0.2)
            yield 200
            fleet.alive.discard(attempt.target.target)
            if not is_reachable:
                fleet.alive.clear()
            await anyio.sleep(3600)

        async def send_events():
            for _ in range(100):
                await anyio.sleep(0.1)
                for target in fleet.target_table.target_by_id.values():
                    if target.announcement.target in fleet.alive:
                        target.record_activity()

        for target in fleet.behaviour_by_target:
            fleet.behaviour_by_target[target] = goes_dark
        async with anyio.create_task_group() as group:
            group.start_soon(send_events)
            error = await self.relay(fleet, "first", BAD)
            group.cancel_scope.cancel()
        return error

    def test_engine_that_falls_silent_as_it_responds_has_crashed(self):
        fleet = self.fleet()
        run_in_virtual_time(self.relay_beside_traffic, fleet, True)
        assert len(fleet.context.quarantine.evidence) == MAX_CRASHES
        assert len(fleet.attempts) == MAX_CRASHES

    def test_engines_that_are_all_silent_are_cut_off(self):
        fleet = self.fleet()
        run_in_virtual_time(self.relay_beside_traffic, fleet, False)
        assert not fleet.context.quarantine.evidence.values()

    def test_late_crash_is_not_blamed_on_the_prompt(self):
        fleet = self.fleet()

        async def steps(attempt):
            yield 200
            for number in range((attempt.last_event_id or 0) + 1, LAST + 1):
                await anyio.sleep(0.05)
                yield make_event(number)
                if number == LAST - 1 and attempt.last_event_id is None:
                    fleet.alive.discard(attempt.target.target)
                    raise AlmonddealError(LINK_LOST, "reset")

        for target in fleet.behaviour_by_target:
            fleet.behaviour_by_target[target] = steps
        assert is_complete_response(run_in_virtual_time(self.relay, fleet, "first"))
        assert not fleet.context.quarantine.evidence.values()
