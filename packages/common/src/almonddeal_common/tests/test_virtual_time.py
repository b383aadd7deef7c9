"""Tests of virtual time."""

import time

import anyio
import pytest

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.virtual_time import START_S, VirtualTime, run_in_virtual_time

HOUR_S = 3600.0


class TestVirtualTime:
    def test_sleep_advances_only_the_virtual_clock(self):
        async def main():
            before_ms = monotonic_ms()
            await anyio.sleep(HOUR_S)
            return monotonic_ms() - before_ms

        started_s = time.monotonic()
        assert run_in_virtual_time(main) == pytest.approx(HOUR_S * 1000)
        assert time.monotonic() - started_s < HOUR_S

    def test_tasks_wake_in_timer_order(self):
        async def main():
            order = []

            async def wait(delay_s):
                await anyio.sleep(delay_s)
                order.append((delay_s, anyio.current_time() - START_S))

            async with anyio.create_task_group() as group:
                for delay_s in (3.0, 1.0, 2.0):
                    group.start_soon(wait, delay_s)
            return order

        order = run_in_virtual_time(main)
        assert [delay_s for delay_s, _ in order] == [1.0, 2.0, 3.0]
        assert all(delay_s == pytest.approx(at_s) for delay_s, at_s in order)

    def test_timeout_expires_in_virtual_time(self):
        async def main():
            with anyio.move_on_after(5.0) as scope:
                await anyio.sleep(HOUR_S)
            return scope.cancelled_caught, monotonic_ms()

        assert run_in_virtual_time(main) == (True, pytest.approx(START_S * 1000 + 5000))

    def test_deadlock_raises(self):
        async def main():
            await anyio.Event().wait()

        with pytest.raises(RuntimeError):
            run_in_virtual_time(main)

    def test_runs_in_one_context_share_the_clock(self):
        async def main():
            await anyio.sleep(7.0)

        with VirtualTime() as virtual:
            run_in_virtual_time(main)
            virtual.run(main)
            assert monotonic_ms() == pytest.approx(START_S * 1000 + 14_000)

    def test_real_clock_is_restored(self):
        async def main():
            return monotonic_ms()

        assert run_in_virtual_time(main) == pytest.approx(START_S * 1000)
        assert monotonic_ms() == pytest.approx(time.monotonic() * 1000, abs=60_000)
