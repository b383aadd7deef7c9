"""Tests of subscriptions in which an update, or a record to send, fails."""

from almonddeal.publication.tests.test_follower import (
    ADDRESS_1,
    ADDRESS_2,
    FakeControlInstance,
    run_follower,
    wait_for,
)
from almonddeal_common.wire.gen.ttypes import Run


class TestFailures:
    def test_instance_follows_on_after_an_update_that_fails(self):
        """Guards against an update that ends the process of an entry instance."""
        controls = [
            FakeControlInstance(address, "fd1") for address in (ADDRESS_1, ADDRESS_2)
        ]
        received = []

        def fail_once(update):
            received.append(update)
            if len(received) == 1:
                raise TypeError("unexpected")

        async def test(follower, runs):
            follower._on_update = fail_once
            await wait_for(lambda: len(received) == 2)
            await wait_for(lambda: follower.follows_fresh_instance)

        run_follower(controls, [ADDRESS_1, ADDRESS_2], test)

    def test_run_that_cannot_be_encoded_does_not_keep_back_the_others(self):
        """Guards against a run that ends the process of an entry instance."""
        control = FakeControlInstance(ADDRESS_1)

        async def test(follower, runs):
            await wait_for(lambda: follower.follows_fresh_instance)
            runs.put("bad", Run(request="bad", copy_id=["c1"]))
            runs.put("r1", Run(request="r1"))
            await wait_for(lambda: control.runs)
            runs.put("bad", Run(request="bad", n_tokens=2**31))
            runs.put("r2", Run(request="r2"))
            await wait_for(lambda: len(control.runs) == 2)
            assert [run.request for run in control.runs] == ["r1", "r2"]

        run_follower([control], [ADDRESS_1], test)
