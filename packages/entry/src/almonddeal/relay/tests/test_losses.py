"""Tests of answers on engines whose whole failure domain is lost."""

import anyio

from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeReply,
    Fleet,
    admit_stream,
    hangs,
    make_run,
    streams,
)
from almonddeal_common.virtual_time import run_in_virtual_time

LAST = 20


def whole(reply):
    """Tell whether each event came once and in order, and then the end."""
    return reply.is_complete and reply.event_ids == list(range(1, LAST + 1))


class TestLostDomain:
    """Pattern: a failure domain falls silent while its engines still read prompts."""

    def fleet(self):
        fleet = Fleet(
            {"i-1": hangs, "i-2": hangs, "i-3": hangs, "i-4": streams(1, LAST)},
            {"i-1": "fd1", "i-2": "fd1", "i-3": "fd1", "i-4": "fd2"},
        )
        fleet.context.load_view.merge(make_run("other-i-4", "i-4"))
        for number in (2, 3, 2, 3):
            loaded = make_run("other", f"i-{number}")
            loaded.request = f"other-{len(fleet.context.runs)}"
            fleet.context.report(loaded)
        return fleet

    def took_s(self, fleet, happen):
        """Return how long an answer takes, begun at i-1 while something happens."""

        async def later():
            await anyio.sleep(0.3)
            happen()

        async def main():
            reply = FakeReply()
            before_s = anyio.current_time()
            async with anyio.create_task_group() as group:
                group.start_soon(later)
                await relay_stream(admit_stream(n_prompt=5000), fleet.context, reply)
            assert whole(reply)
            return anyio.current_time() - before_s

        took_s = run_in_virtual_time(main)
        assert fleet.tried == ["i-1", "i-4"]
        return took_s

    def test_loss_of_two_neighbours_has_the_others_asked_at_once(self):
        fleet = self.fleet()
        fleet.alive = {"i-4"}

        def happen():
            for target in ("i-2", "i-3"):
                fleet.target_table.avoid(
                    fleet.target_table.get(target), "is silent", "r"
                )

        assert self.took_s(fleet, happen) < 0.5

    def test_run_that_another_instance_moved_has_the_engine_asked_at_once(self):
        fleet = self.fleet()
        fleet.alive = {"i-4"}

        def happen():
            for target, is_ended in (("i-1", False), ("i-4", False), ("i-4", True)):
                moved = make_run(f"other-{target}", target)
                moved.request = "moved"
                moved.is_ended = is_ended
                fleet.context.merge_remote_run(moved)

        assert self.took_s(fleet, happen) < 0.5

    def test_engine_that_answers_is_kept(self):
        fleet = self.fleet()
        fleet.behaviour_by_target["i-1"] = streams(1, LAST, gap_s=0.04)

        async def main():
            reply = FakeReply()
            async with anyio.create_task_group() as group:
                admitted = admit_stream(n_prompt=5000)
                group.start_soon(relay_stream, admitted, fleet.context, reply)
                await anyio.sleep(0.01)
                for _ in range(5):
                    await anyio.sleep(0.1)
                    fleet.target_table.suspect("i-1", 1000)
            return reply

        assert whole(run_in_virtual_time(main))
        assert fleet.tried == ["i-1"]
