"""Tests of calls whose cancellation arrives together with them."""

import anyio

from almonddeal_common.wire.gen.ttypes import Fence, FenceReply
from almonddeal_common.wire.tests.test_link import run


class TestCancelledCall:
    # Guards against a handler that runs for a call which its caller has given up, as both
    # frames are read at once, such as by a process that was frozen.
    def test_handler_does_not_run_on(self):
        ended = []

        async def wait(link, message, emit):
            await anyio.sleep(0.3)
            ended.append(message.request)
            return FenceReply(code=0, promised_epoch=1)

        async def test(link):
            await link.ready.wait()
            # Call and cancellation go out in one write, as no task runs in between.
            call_id, _ = link._start_call(Fence("r", 1))
            link.discard_call(call_id, cancel=True)
            await anyio.sleep(0.6)
            assert ended == []

        run({Fence: wait}, test)
