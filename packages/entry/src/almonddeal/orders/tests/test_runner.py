"""Tests of orders that are in flight as their instance stops."""

from types import SimpleNamespace

import anyio
import pytest

from almonddeal.orders.runner import OrderRunner
from almonddeal_common.codes import ORDER_OUTCOME_UNKNOWN, AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_common.wire.gen.ttypes import ServiceCall


class SilentControl:
    """Control client whose group does not reply."""

    async def submit(self, command, timeout_ms):
        await anyio.sleep_forever()


class TestStop:
    # Guards against an order without a reply that is taken for one with a reply: its
    # caller got a fault of our own, 500, in place of its unknown outcome.
    def test_order_that_is_cut_has_an_unknown_outcome(self):
        service = SimpleNamespace(timeout_ms=8000)
        call = ServiceCall(
            method="POST", path="/order/7", headers={}, body=b"x", timeout_ms=8000
        )
        errors = []

        async def execute(runner):
            with pytest.raises(AlmonddealError) as caught:
                await runner.execute(service, "order-7", call)
            errors.append(caught.value)

        async def main():
            async with (
                anyio.create_task_group() as callers,
                anyio.create_task_group() as group,
            ):
                runner = OrderRunner("entry0", 1, SilentControl(), None, group)
                callers.start_soon(execute, runner)
                await anyio.sleep(1.0)
                assert runner.n_in_flight == 1
                # The end of the process, while callers are still connected.
                group.cancel_scope.cancel()

        run_in_virtual_time(main)
        [error] = errors
        assert error.code == ORDER_OUTCOME_UNKNOWN
        assert error.was_run == "unknown"
