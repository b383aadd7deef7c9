"""Tests of when the load balancer has taken an instance out of rotation."""

import anyio
import pytest

from almonddeal.roles.readiness import HANDOVER_S, ReadinessProbes
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.virtual_time import run_in_virtual_time

TIMEOUT_S = 2.6


def wait_s(*probes):
    """Return how long the wait takes from time 0; probes are (s, host, is_ready)."""

    async def main():
        # Virtual time begins at 0, a silent prober is one of long ago.
        await anyio.sleep(10.0)
        readiness = ReadinessProbes()
        started_ms = monotonic_ms()
        elapsed_s = None

        async def wait():
            nonlocal elapsed_s
            await readiness.wait_until_missed(TIMEOUT_S)
            elapsed_s = (monotonic_ms() - started_ms) / 1000

        async with anyio.create_task_group() as group:
            started_ms += 2000.0
            now_s = -2.0
            for at_s, host, is_ready in probes:
                if now_s < 0 <= at_s:
                    await anyio.sleep(-now_s)
                    now_s = 0.0
                    group.start_soon(wait)
                await anyio.sleep(at_s - now_s)
                now_s = at_s
                readiness.record(host, is_ready)
            if now_s < 0:
                await anyio.sleep(-now_s)
                await wait()
        return round(elapsed_s, 3)

    return run_in_virtual_time(main)


class TestReadinessProbes:
    """Pattern: an instance stops while the load balancer asks it once a second."""

    @pytest.mark.parametrize("first_s", [0.0, 0.4, 0.99])
    def test_wait_ends_after_the_second_miss(self, first_s):
        probes = [(first_s - 1.0, "lb", True)]
        probes += [(first_s + n, "lb", False) for n in (0.0, 1.0, 2.0)]
        expected_s = first_s + 1.0 + HANDOVER_S
        assert wait_s(*probes) == pytest.approx(expected_s, abs=0.01)

    def test_wait_without_probes_is_the_whole_timeout(self):
        assert wait_s((-0.5, "lb", True)) == pytest.approx(TIMEOUT_S, abs=0.01)

    # Guards against the end of the wait by questions of others than the load balancer.
    def test_questions_of_others_are_no_misses_of_the_load_balancer(self):
        others = [(0.1 + 0.6 * n, "other", False) for n in range(4)]
        probes = [(-0.5, "lb", True), *others, (2.5, "lb", False)]
        assert wait_s(*probes) == pytest.approx(TIMEOUT_S, abs=0.01)

    # Guards against two questions that follow each other faster than probes.
    def test_questions_within_half_a_second_count_once(self):
        probes = [(-0.5, "lb", True), (0.1, "lb", False), (0.2, "lb", False)]
        probes.append((1.1, "lb", False))
        assert wait_s(*probes) == pytest.approx(1.1 + HANDOVER_S, abs=0.01)

    def test_success_between_two_misses_starts_anew(self):
        probes = [(0.1, "lb", False), (0.9, "lb", True), (1.7, "lb", False)]
        assert wait_s(*probes) == pytest.approx(TIMEOUT_S, abs=0.01)

    def test_instance_that_was_out_of_rotation_waits_for_the_handover_only(self):
        probes = [(-1.9, "lb", False), (-0.9, "lb", False)]
        assert wait_s(*probes) == pytest.approx(HANDOVER_S, abs=0.01)
