"""Tests of the times of a stop, by reason."""

import anyio

from almonddeal.roles.drain_times import (
    BREAK_OFF,
    CONNECTIONS,
    LOAD_BALANCER,
    REQUESTS,
    DrainTimes,
)
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.virtual_time import run_in_virtual_time


class FakeMetrics:
    def __init__(self):
        self.ms_by_reason = {}

    def set_drain_ms(self, reason, took_ms):
        self.ms_by_reason[reason] = round(took_ms)


class TestDrainTimes:
    def test_times_add_up_to_the_time_since_the_start(self):
        async def main():
            metrics = FakeMetrics()
            times = DrainTimes(metrics)
            await anyio.sleep(1.0)
            times.record(LOAD_BALANCER)
            await anyio.sleep(0.5)
            last_request_ms = monotonic_ms()
            await anyio.sleep(0.25)
            times.record(REQUESTS, last_request_ms)
            times.record(CONNECTIONS)
            times.record(BREAK_OFF)
            return times.rounded(), metrics.ms_by_reason

        fields, metric_by_reason = run_in_virtual_time(main)
        assert fields == {
            "drain_ms": 1750,
            "load_balancer_ms": 1000,
            "requests_ms": 500,
            "connections_ms": 250,
            "break_off_ms": 0,
        }
        assert metric_by_reason[REQUESTS] == 500

    def test_wait_that_ended_before_it_began_took_no_time(self):
        async def main():
            await anyio.sleep(1.0)
            times = DrainTimes(FakeMetrics())
            times.record(REQUESTS, 0.0)
            await anyio.sleep(0.2)
            times.record(CONNECTIONS)
            return times.rounded()

        fields = run_in_virtual_time(main)
        assert (fields["requests_ms"], fields["connections_ms"]) == (0, 200)
