"""Tests of streams beside a process that did not run for some seconds."""

import time

import anyio

from almonddeal_agent.admission import Admission
from almonddeal_agent.attempts import AttemptRunner, EngineMonitor
from almonddeal_agent.engine import EngineInterface, Token
from almonddeal_common.wire.gen.ttypes import (
    AnnounceReply,
    AnswerSpec,
    Load,
    ModelState,
    StartAttempt,
)

FROZEN_S = 1.0  # over the time for which a stream may be silent
SPEC = AnswerSpec("kite:r1", "kite", "draft", "v1", "", "hello", "{}", 10, 1)


class TestFrozenMachine:
    # Guards against an agent that counts the time for which it did not run itself as
    # silence of the engine, and ends all streams of a sound engine.
    def test_stream_continues(self):
        async def generate(start):
            for index in range(3):
                yield [Token(index, index, "a", "")]
                await anyio.sleep(0.05)
            # The machine, with engine and agent, does not run.
            time.sleep(FROZEN_S)
            await anyio.sleep(0.05)
            yield [Token(3, 3, "a", "")]
            yield [Token(4, 0, "", "stop")]

        async def cancel(start):
            pass

        engine = EngineInterface(generate, cancel, None, None, None)
        admission = Admission()
        admission.apply_announce_reply(AnnounceReply(1, 0, False, 0, True), 0.0)
        monitor = EngineMonitor(engine, Load(1, 0, 1, 1, 50.0, 0), lambda: True)
        monitor.models = [ModelState("draft", "v1", [])]
        runner = AttemptRunner(engine, monitor, admission)

        async def main():
            async with anyio.create_task_group() as group:
                group.start_soon(runner.cancel_stalled_periodically)
                chunks = []
                start = StartAttempt(SPEC, 1, [], 5, False, b"")
                end = await runner.handle_start(None, start, chunks.append)
                assert (end.finish_reason, runner.n_stalled) == ("stop", 0)
                group.cancel_scope.cancel()

        anyio.run(main)
