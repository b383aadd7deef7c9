"""Tests of the engine model against the published behaviour of engines."""

import anyio
import pytest

from almonddeal.relay.requests import Generation
from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_tools.lab.engine import LOST, MAX_WAITING, EngineModel, EngineSpeed


def generation(n_prompt=5000, n_output=60, part="p"):
    return Generation(n_prompt, n_output, part, part)


def play(test, **speed):
    """Run a test with two engines that work."""

    async def main():
        engines = {}
        for number in (1, 2):
            address = f"e{number}"
            engines[address] = EngineModel(
                address, f"fd{number}", EngineSpeed(**speed), engines
            )
        async with anyio.create_task_group() as group:
            for engine in engines.values():
                engine.start("i-" + engine.address, 1)
                group.start_soon(engine.run)
            result = await test(engines["e1"], engines["e2"])
            group.cancel_scope.cancel()
        return result

    return run_in_virtual_time(main)


def submit(engine, number=1, last=None, copy_id=None, backup=None, **sizes):
    sizes.setdefault("part", f"p{number}")
    return engine.submit(f"r{number}", generation(**sizes), last, copy_id, backup)


async def read_all(run):
    """Return the events of a run up to its end or loss, and when they came, in s."""
    items, times = [], []
    while True:
        item = await run.events.receive()
        items.append(item)
        times.append(anyio.current_time())
        if item is None or item is LOST:
            return items, times


class TestReading:
    def test_first_event_comes_after_the_prompt_was_read(self):
        async def test(engine, other):
            before_s = anyio.current_time()
            _, times = await read_all(submit(engine))
            return times[0] - before_s

        assert 1.0 < play(test) < 1.6

    def test_prompts_are_read_one_after_another(self):
        async def test(engine, other):
            before_s = anyio.current_time()
            runs = [submit(engine, number) for number in range(3)]
            return [(await read_all(run))[1][0] - before_s for run in runs]

        first, second, third = play(test)
        assert second == pytest.approx(2 * first, rel=0.3)
        assert third == pytest.approx(3 * first, rel=0.3)

    def test_neighbours_generate_more_slowly_while_a_prompt_is_read(self):
        async def test(engine, other):
            run = submit(engine, 1, n_prompt=64, n_output=600)
            for _ in range(20):
                await run.events.receive()
            alone_s = -anyio.current_time()
            await run.events.receive()
            alone_s += anyio.current_time()
            submit(engine, 2)
            await run.events.receive()
            beside_s = -anyio.current_time()
            await run.events.receive()
            return alone_s, beside_s + anyio.current_time()

        alone_s, beside_s = play(test)
        assert beside_s > 2 * alone_s

    def test_prompt_that_stayed_in_memory_is_not_read_again(self):
        async def test(engine, other):
            run = submit(engine, 1)
            await run.events.receive()
            engine.leave(run, "p1")
            before = engine.n_read_tokens
            await read_all(submit(engine, 1))
            return engine.n_read_tokens - before

        assert play(test) == 0


class TestEvents:
    def test_each_event_comes_once_and_in_order(self):
        async def test(engine, other):
            return (await read_all(submit(engine)))[0]

        assert play(test) == [*range(1, 11), None]

    def test_run_goes_on_after_an_event(self):
        async def test(engine, other):
            return (await read_all(submit(engine, last=4)))[0]

        assert play(test) == [*range(5, 11), None]


class TestMemory:
    def test_request_over_the_memory_is_not_run(self):
        async def test(engine, other):
            return submit(engine, n_prompt=2000)

        assert play(test, n_cache_tokens=1000) is None

    def test_requests_beyond_the_queue_are_not_run(self):
        async def test(engine, other):
            return [submit(engine, number) for number in range(3 + MAX_WAITING)]

        runs = play(test, n_cache_tokens=11_000)
        assert [run is None for run in runs] == [False] * (2 + MAX_WAITING) + [True]

    def test_newest_run_is_preempted_and_read_again(self):
        async def test(engine, other):
            runs = [submit(engine, n, n_output=900) for n in range(2)]
            for run in runs:
                await read_all(run)
            return engine.n_preempted, engine.n_read_again_tokens

        n_preempted, n_again = play(test, n_cache_tokens=10_400)
        assert n_preempted >= 1
        assert n_again >= 5000


class TestCopies:
    def test_run_goes_on_from_its_copy_without_reading(self):
        async def test(engine, other):
            run = submit(engine, n_output=600, backup="e2")
            for _ in range(30):
                await run.events.receive()
            engine.stop(is_dark=False)
            read_before = other.n_read_tokens
            before_s = anyio.current_time()
            resumed = submit(other, last=30, copy_id="r1", n_output=600)
            first = await resumed.events.receive()
            return (
                first,
                anyio.current_time() - before_s,
                (other.n_read_tokens - read_before),
            )

        first, took_s, n_read = play(test)
        assert first == 31
        assert took_s < 0.3
        assert n_read < 200

    def test_copy_that_is_not_there_is_refused(self):
        async def test(engine, other):
            return submit(other, last=3, copy_id="r1")

        assert play(test) is None

    def test_copy_is_freed_when_its_run_ends(self):
        async def test(engine, other):
            run = submit(engine, n_output=300, backup="e2")
            await anyio.sleep(2.0)
            had_copy = other.has_copy("r1")
            await read_all(run)
            return had_copy, other.has_copy("r1")

        assert play(test) == (True, False)


class TestLosses:
    def test_crash_is_seen_at_once(self):
        async def test(engine, other):
            run = submit(engine)
            await run.events.receive()
            engine.stop(is_dark=False)
            return (await read_all(run))[0][-1]

        assert play(test) is LOST

    def test_dark_engine_says_nothing(self):
        async def test(engine, other):
            run = submit(engine)
            await run.events.receive()
            engine.stop(is_dark=True)
            with anyio.move_on_after(3600.0):
                return await run.events.receive()
            return "silence"

        assert play(test) == "silence"

    def test_next_process_remembers_nothing(self):
        async def test(engine, other):
            run = submit(engine, 1)
            await run.events.receive()
            engine.stop(is_dark=False)
            engine.start("i-new", 2)
            return engine.n_runs, engine.has_cached("p1"), engine.n_used_tokens

        assert play(test) == (0, False, 0)

    def test_slow_engine_takes_longer(self):
        async def test(engine, other):
            other.slowness = 4.0
            times = []
            for one in (engine, other):
                before_s = anyio.current_time()
                await read_all(submit(one))
                times.append(anyio.current_time() - before_s)
            return times

        usual_s, slow_s = play(test)
        assert slow_s == pytest.approx(4 * usual_s, rel=0.01)
