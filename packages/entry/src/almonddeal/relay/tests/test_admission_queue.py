"""Tests of the admission queue and of streamed requests that wait for an engine."""

import random
from contextlib import ExitStack

import anyio
import pytest

from almonddeal.relay import admission_queue
from almonddeal.relay.admission_queue import AdmissionQueue
from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    TRAITS,
    FakeFleet,
    FakeResponseWriter,
    admit_stream,
    fill_engine,
    make_route,
    make_run,
    streams,
)
from almonddeal.routing.model import STREAM
from almonddeal_common.codes import (
    ATTEMPT_LOST,
    LINK_LOST,
    NO_TARGET,
    OVERLOADED,
    AlmonddealError,
)
from almonddeal_common.virtual_time import run_in_virtual_time

OBJECTIVE_MS = 4500.0


class TestAdmissionQueue:
    def positions(self, keys):
        """Return the queue positions of entries with the given keys, as a list."""
        queue = AdmissionQueue()
        with ExitStack() as stack:
            entries = [stack.enter_context(queue.enqueue(*key)) for key in keys]
            return [queue.n_ahead(entry) for entry in entries]

    def test_order_is_by_priority_then_deadline(self):
        keys = [(1, 50.0), (0, 90.0), (1, 40.0)]
        assert self.positions(keys) == [2, 0, 1]

    def test_equal_keys_keep_their_arrival_order(self):
        assert self.positions([(1, 50.0)] * 3) == [0, 1, 2]


class TestWaiting:
    """A burst fills the KV cache of every engine for some seconds."""

    def fleet(self):
        fleet = FakeFleet({"i-1": streams(1, 20)})
        fill_engine(fleet.context.load_view, "i-1")
        return fleet

    async def end_runs(self, fleet, after_s, n_runs=1):
        await anyio.sleep(after_s)
        for number in range(n_runs):
            fleet.context.report(
                make_run(f"i-1-{number}", "i-1", is_ended=True, n_unread_tokens=0)
            )

    def test_request_starts_as_soon_as_capacity_is_free(self, virtual_time):
        fleet = self.fleet()
        virtual_time.now_s += 7.0

        async def main():
            writer = FakeResponseWriter()
            async with anyio.create_task_group() as group:
                group.start_soon(self.end_runs, fleet, 1.0)
                before_s = anyio.current_time()
                await relay_stream(admit_stream(n_prompt=5000), fleet.context, writer)
                return writer, anyio.current_time() - before_s

        writer, took_s = run_in_virtual_time(main)
        assert writer.event_ids == list(range(1, 21))
        assert 1.0 <= took_s < 1.1

    def test_request_is_rejected_at_once_if_the_expected_wait_is_too_long(self):
        async def main():
            before_s = anyio.current_time()
            with pytest.raises(AlmonddealError) as caught:
                admitted = admit_stream(n_prompt=5000)
                await relay_stream(admitted, self.fleet().context, FakeResponseWriter())
            return caught.value, anyio.current_time() - before_s

        error, took_s = run_in_virtual_time(main)
        assert error.code == OVERLOADED
        assert took_s == 0.0
        # All runs have just started; the first is expected to end much later.
        assert error.retry_after_ms > 4000.0

    def test_wrong_forecast_ends_in_a_rejection_within_the_objective(
        self, virtual_time
    ):
        fleet = self.fleet()
        virtual_time.now_s += 7.0

        async def main():
            before_s = anyio.current_time()
            with pytest.raises(AlmonddealError) as caught:
                await relay_stream(
                    admit_stream(n_prompt=5000), fleet.context, FakeResponseWriter()
                )
            return caught.value, anyio.current_time() - before_s

        error, took_s = run_in_virtual_time(main)
        assert error.code == OVERLOADED
        assert took_s < OBJECTIVE_MS / 1000
        assert fleet.attempts == []

    def test_cancelled_request_leaves_the_queue(self, virtual_time):
        fleet = self.fleet()
        virtual_time.now_s += 7.0

        async def main():
            writer = FakeResponseWriter()
            async with anyio.create_task_group() as group:
                group.start_soon(self.end_runs, fleet, 1.0)
                with anyio.move_on_after(0.5):
                    await relay_stream(
                        admit_stream(n_prompt=5000), fleet.context, FakeResponseWriter()
                    )
                await relay_stream(admit_stream(n_prompt=5000), fleet.context, writer)
            return writer

        assert run_in_virtual_time(main).is_complete
        assert len(fleet.attempts) == 1

    def test_more_urgent_request_starts_first(self, virtual_time):
        fleet = self.fleet()
        virtual_time.now_s += 7.0
        served = []

        async def send(priority):
            route = make_route(STREAM, priority=priority)
            admitted = admit_stream(route, n_prompt=5000)
            await relay_stream(admitted, fleet.context, FakeResponseWriter())
            served.append(priority)

        async def main():
            async with anyio.create_task_group() as group:
                for priority in (3, 0):
                    group.start_soon(send, priority)
                await self.end_runs(fleet, 0.3)
                await self.end_runs(fleet, 0.6, n_runs=2)

        run_in_virtual_time(main)
        assert served == [0, 3]

    def test_request_that_may_have_run_is_not_reported_as_not_executed(self):
        async def loses_connection_and_fills_engine(attempt):
            fill_engine(fleet.context.load_view, "i-1")
            raise AlmonddealError(LINK_LOST, "reset")
            yield  # makes this a generator

        fleet = FakeFleet({"i-1": loses_connection_and_fills_engine})

        async def main():
            with pytest.raises(AlmonddealError) as caught:
                admitted = admit_stream(n_prompt=5000)
                await relay_stream(admitted, fleet.context, FakeResponseWriter())
            return caught.value

        error = run_in_virtual_time(main)
        assert len(fleet.attempts) == 1
        assert error.code == ATTEMPT_LOST
        assert error.code.http_status == 502
        assert error.retry_after_ms is None

    def test_error_response_is_forwarded_when_no_other_engine_has_capacity(self):
        async def responds_500_and_fills_engine(attempt):
            fill_engine(fleet.context.load_view, "i-1")
            yield 500
            yield b"why"

        fleet = FakeFleet({"i-1": responds_500_and_fills_engine})

        async def main():
            writer = FakeResponseWriter()
            await relay_stream(admit_stream(n_prompt=5000), fleet.context, writer)
            return writer

        writer = run_in_virtual_time(main)
        assert (writer.status, writer.body) == (500, b"why")

    def test_prompt_larger_than_any_engine_is_rejected_without_retry_after(self):
        async def main():
            before_s = anyio.current_time()
            admitted = admit_stream(n_prompt=TRAITS.n_cache_tokens + 1)
            with pytest.raises(AlmonddealError) as caught:
                await relay_stream(
                    admitted,
                    FakeFleet({"i-1": streams(1, 20)}).context,
                    FakeResponseWriter(),
                )
            return caught.value, anyio.current_time() - before_s

        error, took_s = run_in_virtual_time(main)
        assert (error.code, error.retry_after_ms, took_s) == (NO_TARGET, None, 0.0)

    def test_request_near_the_engine_capacity_starts_at_an_idle_engine(self):
        fleet = FakeFleet({"i-1": streams(1, 20), "i-2": streams(1, 20)})
        fill_engine(fleet.context.load_view, "i-1", 1)

        async def main():
            writer = FakeResponseWriter()
            admitted = admit_stream(n_prompt=TRAITS.n_cache_tokens - 10)
            await relay_stream(admitted, fleet.context, writer)
            return writer

        assert run_in_virtual_time(main).is_complete
        assert fleet.tried == ["i-2"]

    def test_request_is_rejected_at_once_without_known_engines(self):
        async def main():
            before_s = anyio.current_time()
            with pytest.raises(AlmonddealError) as caught:
                await relay_stream(
                    admit_stream(), FakeFleet({}).context, FakeResponseWriter()
                )
            return caught.value, anyio.current_time() - before_s

        error, took_s = run_in_virtual_time(main)
        assert (error.code, took_s) == (NO_TARGET, 0.0)
        assert error.retry_after_ms > 0

    def test_started_stream_does_not_queue_behind_new_requests(self, virtual_time):
        fleet = FakeFleet(
            {"i-1": streams(1, 20, lose_at=5), "i-2": streams(1, 20)},
            {"i-1": "fd1", "i-2": "fd1"},
        )
        fill_engine(fleet.context.load_view, "i-2", 2)

        async def main():
            queue = fleet.context.admission_queue("s")
            writer = FakeResponseWriter()
            with anyio.fail_after(5.0):
                admitted = admit_stream()
                async with anyio.create_task_group() as group:
                    group.start_soon(relay_stream, admitted, fleet.context, writer)
                    await anyio.sleep(0.004)
                    with queue.enqueue(0, 0.0):
                        while not writer.is_complete:
                            await anyio.sleep(0.01)
            return writer

        writer = run_in_virtual_time(main)
        assert writer.event_ids == list(range(1, 21))

    @pytest.mark.parametrize("seed", range(5))
    def test_queue_is_empty_after_any_mix_of_outcomes(self, virtual_time, seed):
        rng = random.Random(seed)
        fleet = self.fleet()
        virtual_time.now_s += 7.0

        async def send():
            with anyio.move_on_after(rng.uniform(0.0, 2.0)):
                try:
                    await relay_stream(
                        admit_stream(n_prompt=5000), fleet.context, FakeResponseWriter()
                    )
                except AlmonddealError as error:
                    assert error.retry_after_ms > 0

        async def main():
            async with anyio.create_task_group() as group:
                for _ in range(20):
                    group.start_soon(send)
                await self.end_runs(fleet, 1.0, n_runs=rng.randrange(8))

        run_in_virtual_time(main)
        queue = fleet.context.admission_queue("s")
        with queue.enqueue(0, 0.0) as entry:
            assert queue.n_ahead(entry) == 0
        assert fleet.n_open == 0

    def test_poll_interval_is_short_against_a_prefill(self):
        assert admission_queue.POLL_INTERVAL_S < 0.2
