"""Tests that the simulated engine follows the published behaviour of engines."""

import anyio
import pytest

from almonddeal.relay.requests import Generation
from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_tools.lab.engine import MAX_WAITING_RUNS, SimulatedEngine
from almonddeal_tools.lab.runs import CONNECTION_LOST, EngineProfile


def make_generation(n_prompt_tokens=5000, n_output_tokens=60, prefix_hash="p"):
    return Generation(n_prompt_tokens, n_output_tokens, prefix_hash, prefix_hash)


def run_with_engines(test, **profile_fields):
    """Run an async function with two running engines; returns its result."""

    async def main():
        engine_by_address = {}
        for number in (1, 2):
            address = f"e{number}"
            engine_by_address[address] = SimulatedEngine(
                address,
                f"fd{number}",
                EngineProfile(**profile_fields),
                engine_by_address,
            )
        async with anyio.create_task_group() as group:
            for engine in engine_by_address.values():
                engine.start("i-" + engine.address, 1)
                group.start_soon(engine.run)
            result = await test(engine_by_address["e1"], engine_by_address["e2"])
            group.cancel_scope.cancel()
        return result

    return run_in_virtual_time(main)


def submit(
    engine, number=1, last_event_id=None, copy_id=None, backup_address=None, **fields
):
    fields.setdefault("prefix_hash", f"p{number}")
    return engine.submit(
        f"r{number}", make_generation(**fields), last_event_id, copy_id, backup_address
    )


async def receive_all(run):
    """Return the items of a run's event stream and their arrival times in s."""
    items, times_s = [], []
    while True:
        item = await run.events.receive()
        items.append(item)
        times_s.append(anyio.current_time())
        if item is None or item is CONNECTION_LOST:
            return items, times_s


class TestPrefill:
    def test_first_event_comes_after_prefill(self):
        async def test(engine, other):
            before_s = anyio.current_time()
            _, times_s = await receive_all(submit(engine))
            return times_s[0] - before_s

        assert 1.0 < run_with_engines(test) < 1.6

    def test_prompts_are_prefilled_one_after_another(self):
        async def test(engine, other):
            before_s = anyio.current_time()
            runs = [submit(engine, number) for number in range(3)]
            return [(await receive_all(run))[1][0] - before_s for run in runs]

        first, second, third = run_with_engines(test)
        assert second == pytest.approx(2 * first, rel=0.3)
        assert third == pytest.approx(3 * first, rel=0.3)

    def test_prefill_slows_the_decoding_of_other_runs(self):
        async def test(engine, other):
            run = submit(engine, 1, n_prompt_tokens=64, n_output_tokens=600)
            for _ in range(20):
                await run.events.receive()
            decode_only_s = -anyio.current_time()
            await run.events.receive()
            decode_only_s += anyio.current_time()
            submit(engine, 2)
            await run.events.receive()
            with_prefill_s = -anyio.current_time()
            await run.events.receive()
            return decode_only_s, with_prefill_s + anyio.current_time()

        decode_only_s, with_prefill_s = run_with_engines(test)
        assert with_prefill_s > 2 * decode_only_s

    def test_cached_prefix_needs_no_prefill(self):
        async def test(engine, other):
            run = submit(engine, 1)
            await run.events.receive()
            engine.release_run(run, "p1")
            n_prefilled_before = engine.n_prefilled_tokens
            await receive_all(submit(engine, 1))
            return engine.n_prefilled_tokens - n_prefilled_before

        assert run_with_engines(test) == 0


class TestEvents:
    def test_each_event_comes_once_and_in_order(self):
        async def test(engine, other):
            return (await receive_all(submit(engine)))[0]

        assert run_with_engines(test) == [*range(1, 11), None]

    def test_run_resumes_after_the_last_event_id(self):
        async def test(engine, other):
            return (await receive_all(submit(engine, last_event_id=4)))[0]

        assert run_with_engines(test) == [*range(5, 11), None]


class TestAdmission:
    def test_prompt_larger_than_the_kv_cache_is_not_run(self):
        async def test(engine, other):
            return submit(engine, n_prompt_tokens=2000)

        assert run_with_engines(test, n_cache_tokens=1000) is None

    def test_requests_beyond_the_queue_limit_are_not_run(self):
        async def test(engine, other):
            return [submit(engine, number) for number in range(3 + MAX_WAITING_RUNS)]

        runs = run_with_engines(test, n_cache_tokens=11_000)
        assert [run is None for run in runs] == [False] * (2 + MAX_WAITING_RUNS) + [
            True
        ]

    def test_newest_run_is_preempted_and_recomputed_when_the_kv_cache_is_full(self):
        async def test(engine, other):
            runs = [submit(engine, n, n_output_tokens=900) for n in range(2)]
            for run in runs:
                await receive_all(run)
            return engine.n_preemptions, engine.n_recomputed_tokens

        n_preemptions, n_recomputed_tokens = run_with_engines(
            test, n_cache_tokens=10_400
        )
        assert n_preemptions >= 1
        assert n_recomputed_tokens >= 5000


class TestKvCopies:
    def test_run_resumes_from_its_copy_with_little_prefill(self):
        async def test(engine, other):
            run = submit(engine, n_output_tokens=600, backup_address="e2")
            for _ in range(30):
                await run.events.receive()
            engine.stop(is_partitioned=False)
            n_prefilled_before = other.n_prefilled_tokens
            before_s = anyio.current_time()
            resumed = submit(other, last_event_id=30, copy_id="r1", n_output_tokens=600)
            first = await resumed.events.receive()
            return (
                first,
                anyio.current_time() - before_s,
                (other.n_prefilled_tokens - n_prefilled_before),
            )

        first, took_s, n_prefilled_tokens = run_with_engines(test)
        assert first == 31
        assert took_s < 0.3
        assert n_prefilled_tokens < 200

    def test_request_to_resume_from_a_missing_copy_is_not_run(self):
        async def test(engine, other):
            return submit(other, last_event_id=3, copy_id="r1")

        assert run_with_engines(test) is None

    def test_copy_is_freed_when_its_run_ends(self):
        async def test(engine, other):
            run = submit(engine, n_output_tokens=300, backup_address="e2")
            await anyio.sleep(2.0)
            had_kv_copy = other.has_kv_copy("r1")
            await receive_all(run)
            return had_kv_copy, other.has_kv_copy("r1")

        assert run_with_engines(test) == (True, False)


class TestFaults:
    def test_crash_resets_open_streams(self):
        async def test(engine, other):
            run = submit(engine)
            await run.events.receive()
            engine.stop(is_partitioned=False)
            return (await receive_all(run))[0][-1]

        assert run_with_engines(test) is CONNECTION_LOST

    def test_partition_stalls_open_streams(self):
        async def test(engine, other):
            run = submit(engine)
            await run.events.receive()
            engine.stop(is_partitioned=True)
            with anyio.move_on_after(3600.0):
                return await run.events.receive()
            return "stalled"

        assert run_with_engines(test) == "stalled"

    def test_restart_clears_runs_and_kv_cache(self):
        async def test(engine, other):
            run = submit(engine, 1)
            await run.events.receive()
            engine.stop(is_partitioned=False)
            engine.start("i-new", 2)
            return engine.n_runs, engine.has_cached_prefix("p1"), engine.n_used_tokens

        assert run_with_engines(test) == (0, False, 0)

    def test_slowdown_scales_the_time_of_a_run(self):
        async def test(engine, other):
            other.slowdown = 4.0
            times_s = []
            for each_engine in (engine, other):
                before_s = anyio.current_time()
                await receive_all(submit(each_engine))
                times_s.append(anyio.current_time() - before_s)
            return times_s

        usual_s, slow_s = run_with_engines(test)
        assert slow_s == pytest.approx(4 * usual_s, rel=0.01)
