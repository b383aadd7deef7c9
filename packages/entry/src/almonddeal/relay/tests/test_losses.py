"""Tests of streams whose engine is lost together with its failure domain."""

import anyio

from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    admit_stream,
    hangs,
    make_run,
    streams,
)
from almonddeal.relay.tests.stream_runs import LAST, is_complete_response
from almonddeal_common.virtual_time import run_in_virtual_time


class TestLostDomain:
    """A failure domain becomes silent while its engines are still in prefill."""

    def fleet(self):
        fleet = FakeFleet(
            {"i-1": hangs, "i-2": hangs, "i-3": hangs, "i-4": streams(1, LAST)},
            {"i-1": "fd1", "i-2": "fd1", "i-3": "fd1", "i-4": "fd2"},
        )
        fleet.context.load_view.merge(make_run("other-i-4", "i-4"))
        for number in (2, 3, 2, 3):
            loaded = make_run("other", f"i-{number}")
            loaded.request = f"other-{len(fleet.context.runs)}"
            fleet.context.report(loaded)
        return fleet

    def stream_duration_s(self, fleet, report_losses):
        """Return the duration of a stream at i-1; `report_losses` runs after 0.3 s."""

        async def later():
            await anyio.sleep(0.3)
            report_losses()

        async def main():
            writer = FakeResponseWriter()
            before_s = anyio.current_time()
            async with anyio.create_task_group() as group:
                group.start_soon(later)
                await relay_stream(admit_stream(n_prompt=5000), fleet.context, writer)
            assert is_complete_response(writer)
            return anyio.current_time() - before_s

        took_s = run_in_virtual_time(main)
        assert fleet.tried == ["i-1", "i-4"]
        return took_s

    def test_loss_of_two_engines_has_the_rest_of_the_domain_probed_at_once(self):
        fleet = self.fleet()
        fleet.alive = {"i-4"}

        def report_losses():
            for target in ("i-2", "i-3"):
                fleet.target_table.eject(fleet.target_table.get(target), "stalled", "r")

        assert self.stream_duration_s(fleet, report_losses) < 0.5

    def test_run_moved_by_another_instance_has_its_engine_probed_at_once(self):
        fleet = self.fleet()
        fleet.alive = {"i-4"}

        def report_losses():
            for target, is_ended in (("i-1", False), ("i-4", False), ("i-4", True)):
                moved = make_run(f"other-{target}", target)
                moved.request = "moved"
                moved.is_ended = is_ended
                fleet.context.merge_remote_run(moved)

        assert self.stream_duration_s(fleet, report_losses) < 0.5

    def test_suspected_engine_that_sends_events_is_kept(self):
        fleet = self.fleet()
        fleet.behaviour_by_target["i-1"] = streams(1, LAST, gap_s=0.04)

        async def main():
            writer = FakeResponseWriter()
            async with anyio.create_task_group() as group:
                admitted = admit_stream(n_prompt=5000)
                group.start_soon(relay_stream, admitted, fleet.context, writer)
                await anyio.sleep(0.01)
                for _ in range(5):
                    await anyio.sleep(0.1)
                    fleet.target_table.suspect("i-1", 1000)
            return writer

        assert is_complete_response(run_in_virtual_time(main))
        assert fleet.tried == ["i-1"]
