"""Tests of dispatching requests to targets with free slots."""

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almonddeal.document.model import Customer
from almonddeal.limits.dispatch import Dispatcher
from almonddeal.targets.choose import least_loaded
from almonddeal.targets.tests.fakes import make_target
from almonddeal_common.codes import AlmonddealError


def make_customer(name="kite"):
    return Customer(name, {"key_sha256": ["0" * 64]})


class TestDispatcher:
    def test_no_target_is_rejected_at_once(self):
        async def main():
            dispatcher = Dispatcher(list, least_loaded())
            with pytest.raises(AlmonddealError, match="NO_TARGET"):
                await dispatcher.acquire_target(make_customer(), "", 1000, False)

        anyio.run(main)

    def test_wait_ends_at_the_deadline(self):
        async def main():
            target = make_target(n_running=100, n_slots=10)
            dispatcher = Dispatcher(lambda: [target], least_loaded())
            with pytest.raises(AlmonddealError, match="OVERLOADED") as caught:
                await dispatcher.acquire_target(make_customer(), "", 50, False)
            assert caught.value.was_run == "no"
            assert dispatcher.n_waiting == 0
            assert target.n_in_flight_here == 0

        anyio.run(main)

    def test_failed_target_is_used_if_there_is_no_other(self):
        async def main():
            target = make_target()
            target.record_failure()
            dispatcher = Dispatcher(lambda: [target], least_loaded())
            acquired = await dispatcher.acquire_target(
                make_customer(), "", 50, True, (target.name,)
            )
            assert acquired is target

        anyio.run(main)

    def test_queued_request_does_not_return_to_the_target_that_failed_it(self):
        async def main():
            lost = make_target("a", n_running=100, n_slots=10)
            other = make_target("b", n_running=100, n_slots=10)
            dispatcher = Dispatcher(lambda: [lost, other], least_loaded())
            acquired = []

            async def wait_for_target():
                acquired.append(
                    await dispatcher.acquire_target(
                        make_customer(), "", 5000, True, ("a",)
                    )
                )

            async with anyio.create_task_group() as group:
                group.start_soon(wait_for_target)
                await anyio.sleep(0.02)
                lost.state.load.n_running = 0
                dispatcher.dispatch_waiting()
                await anyio.sleep(0.02)
                assert acquired == []
                other.state.load.n_running = 0
                dispatcher.dispatch_waiting()
            assert acquired == [other]

        anyio.run(main)

    def test_healthy_target_is_chosen_before_a_failed_one(self):
        async def main():
            failed = make_target("a")
            healthy = make_target("b", n_running=5)
            dispatcher = Dispatcher(lambda: [failed, healthy], least_loaded())
            acquired = await dispatcher.acquire_target(
                make_customer(), "", 50, True, ("a",)
            )
            assert acquired is healthy

        anyio.run(main)

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.integers(1, 40), st.booleans()),
            max_size=30,
        )
    )
    def test_every_wait_ends_once_and_all_slots_are_released(self, requests):
        targets = [make_target(name, n_slots=2) for name in ("x", "y")]
        outcomes = []

        async def serve(dispatcher, customer, max_wait_ms, is_resume):
            try:
                target = await dispatcher.acquire_target(
                    make_customer(customer), "", max_wait_ms, is_resume
                )
            except AlmonddealError as error:
                assert error.was_run == "no"
                outcomes.append("refused")
                return
            await anyio.sleep(0.002)
            target.__exit__(None, None, None)
            target.n_sent_since_update = max(0, target.n_sent_since_update - 1)
            dispatcher.dispatch_waiting()
            outcomes.append("served")

        async def main():
            dispatcher = Dispatcher(lambda: targets, least_loaded())
            async with anyio.create_task_group() as group:
                for customer, max_wait_ms, is_resume in requests:
                    group.start_soon(
                        serve, dispatcher, customer, max_wait_ms, is_resume
                    )
            assert dispatcher.n_waiting == 0

        anyio.run(main)
        assert len(outcomes) == len(requests)
        assert all(target.n_in_flight_here == 0 for target in targets)
