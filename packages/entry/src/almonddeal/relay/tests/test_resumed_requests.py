"""Tests of callers that resume a stream after a broken connection."""

import anyio
import pytest

from almonddeal.announced.announcement import DEREGISTERED, DRAINING
from almonddeal.announced.stream_origins import RETENTION_MS
from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeResponseWriter,
    admit_stream,
    loses_connection,
    make_run,
    stream_fingerprint,
    streams,
)
from almonddeal.relay.tests.resumed_requests import (
    LAST_RECEIVED,
    ONE_VERSION,
    add_origin,
    announce,
    is_not_run,
    is_rest_of,
    make_fleet,
    relay_rejected,
    relay_whole,
    resume_request,
)
from almonddeal.relay.tests.stream_runs import LAST
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import LINK_LOST, AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time

MAX_WAIT_AT_START_MS = 1500.0  # for the origin of a stream, from the start
MAX_WAIT_MS = 500.0  # for the origin of a stream, later
IMMEDIATELY_MS = 50.0
LONG_UPTIME_S = 10.0
SHORT_TIMEOUT_MS = 200.0
N_STREAMS = 16


class TestKnownOrigin:
    # Guards against a resumed request that goes to the nearest engine of any version.
    def test_stream_goes_on_at_the_version_that_began_it(self):
        async def main():
            fleet = make_fleet()
            add_origin(fleet.context)
            assert is_rest_of("v1", await relay_whole(fleet.context, resume_request()))
            assert fleet.attempts[0].last_event_id == LAST_RECEIVED

        run_in_virtual_time(main)

    # Guards against a resumed request that continues wherever its prompt is cached.
    def test_cached_prefix_at_another_version_is_not_used(self):
        async def main():
            fleet = make_fleet()
            fleet.cached_by_target = {"i-1": {"part1"}}
            add_origin(fleet.context)
            assert is_rest_of("v1", await relay_whole(fleet.context, resume_request()))

        run_in_virtual_time(main)

    # Guards against the KV-cache copy of an earlier run at another version.
    @pytest.mark.parametrize("is_ended", [False, True])
    def test_copy_at_another_version_is_not_used(self, is_ended):
        async def main():
            fleet = make_fleet()
            earlier = make_run(
                "req1",
                "i-2",
                backup="i-1",
                backup_born_ms=1000,
                copy_address="10.0.0.1:80",
                copy_id="req1",
                fingerprint=stream_fingerprint("req1"),
                is_ended=is_ended,
                is_cut=is_ended,
            )
            fleet.context.load_view.merge(earlier)
            add_origin(fleet.context)
            assert is_rest_of("v1", await relay_whole(fleet.context, resume_request()))

        run_in_virtual_time(main)

    # Guards against a resumed request that loses the copy of its own version.
    def test_copy_at_the_same_version_is_used_while_the_first_run_is_known(self):
        async def main():
            fleet = make_fleet()
            earlier = make_run(
                "req1",
                "i-2",
                backup="i-3",
                backup_born_ms=1000,
                copy_address="10.0.0.3:80",
                copy_id="req1",
                fingerprint=stream_fingerprint("req1"),
            )
            fleet.context.load_view.merge(earlier)
            add_origin(fleet.context)
            assert is_rest_of("v1", await relay_whole(fleet.context, resume_request()))
            assert fleet.tried == ["i-3"]
            assert fleet.attempts[0].copy.copy_id == "req1"

        run_in_virtual_time(main)

    # Guards against a resumed answer that changes its version after a second loss.
    def test_stream_that_was_taken_up_stays_at_its_version(self):
        async def main():
            fleet = make_fleet(
                i_2=streams(1, LAST, lose_at=12), i_3=streams(1, LAST, lose_at=12)
            )
            add_origin(fleet.context)
            assert is_rest_of("v1", await relay_whole(fleet.context, resume_request()))
            assert len(fleet.attempts) == 2

        run_in_virtual_time(main)

    # Guards against the other version before the first event of a resumed request.
    def test_resumed_request_stays_at_its_version_before_its_first_event(self):
        async def main():
            fleet = make_fleet()
            add_origin(fleet.context)
            fleet.behaviour_by_target["i-2"] = loses_connection
            fleet.context.load_view.merge(make_run("more", "i-3", n_tokens=12_000))
            assert is_rest_of("v1", await relay_whole(fleet.context, resume_request()))
            assert fleet.tried == ["i-2", "i-3"]

        run_in_virtual_time(main)

    # Guards against an engine that kept its id but restarted with another version.
    def test_engine_that_restarted_with_another_version_is_not_used(self):
        async def main():
            fleet = make_fleet()
            add_origin(fleet.context)
            announce(fleet.context, "i-2", born_ms=2000, version="v2")
            assert is_rest_of("v1", await relay_whole(fleet.context, resume_request()))
            assert fleet.tried == ["i-3"]

        run_in_virtual_time(main)

    # Guards against a resumed request that is answered by the only engines left.
    @pytest.mark.parametrize("state", [DEREGISTERED, DRAINING])
    def test_resumed_request_is_rejected_at_once_if_its_version_has_left(self, state):
        async def main():
            fleet = make_fleet()
            add_origin(fleet.context)
            await anyio.sleep(LONG_UPTIME_S)
            for target in ("i-2", "i-3"):
                announce(fleet.context, target, state)
            error, took_ms = await relay_rejected(fleet.context, resume_request())
            assert is_not_run(error)
            assert fleet.attempts == []
            assert took_ms < IMMEDIATELY_MS

        run_in_virtual_time(main)

    # Guards against an answer that is lost because its engines were ejected for a time.
    def test_ejected_engines_are_used_if_no_others_have_the_version(self):
        async def main():
            fleet = make_fleet()
            add_origin(fleet.context)
            for target in ("i-2", "i-3"):
                ejected = fleet.target_table.get(target)
                fleet.target_table.eject(ejected, "connection failed", "other")
            assert is_rest_of("v1", await relay_whole(fleet.context, resume_request()))

        run_in_virtual_time(main)

    # Guards against streams that are abandoned although their version still serves.
    def test_all_streams_go_on_while_two_engines_have_their_version(self):
        async def main():
            fleet = make_fleet()
            writers = []

            async def serve(number):
                writers.append(
                    await relay_whole(
                        fleet.context,
                        resume_request(
                            request_id=f"second{number}",
                            resumed=f"first{number}",
                            timeout_ms=20_000.0,
                        ),
                    )
                )

            async with anyio.create_task_group() as group:
                for number in range(N_STREAMS):
                    add_origin(fleet.context, "v1", f"first{number}")
                    group.start_soon(serve, number)
            assert len(writers) == N_STREAMS
            assert all(is_rest_of("v1", writer) for writer in writers)

        run_in_virtual_time(main)


class TestUnknownOrigin:
    # Guards against a guess at the version of a stream.
    @pytest.mark.parametrize("uptime_s", [0.0, LONG_UPTIME_S])
    @pytest.mark.parametrize("resumed", ["req1", None])
    def test_resumed_request_is_rejected_after_a_short_wait(self, uptime_s, resumed):
        async def main():
            fleet = make_fleet()
            add_origin(fleet.context, "v2", "unrelated")
            add_origin(fleet.context, "v1", "other")
            await anyio.sleep(uptime_s)
            error, took_ms = await relay_rejected(
                fleet.context, resume_request(resumed=resumed)
            )
            assert is_not_run(error)
            assert error.retry_after_ms
            assert fleet.attempts == []
            limit_ms = MAX_WAIT_MS if uptime_s else MAX_WAIT_AT_START_MS
            assert took_ms <= limit_ms + IMMEDIATELY_MS

        run_in_virtual_time(main)

    # Guards against callers that don't name their stream and lose it although all
    # streams and engines of the service have one version.
    def test_unnamed_stream_goes_on_at_the_only_version_that_began_streams(self):
        async def main():
            fleet = make_fleet(ONE_VERSION)
            add_origin(fleet.context, "v1", "other")
            writer = await relay_whole(fleet.context, resume_request(resumed=None))
            assert is_rest_of("v1", writer)

        run_in_virtual_time(main)

    # Guards against a guess by the engines that are known, without any stream.
    def test_unnamed_stream_is_rejected_if_no_origin_is_known(self):
        async def main():
            fleet = make_fleet()
            error, _ = await relay_rejected(fleet.context, resume_request(resumed=None))
            assert is_not_run(error)
            assert fleet.attempts == []

        run_in_virtual_time(main)

    # Guards against the version of a stream that has expired.
    def test_unnamed_stream_is_not_held_up_by_streams_of_the_past(self):
        async def main():
            fleet = make_fleet()
            add_origin(fleet.context, "v2", "past")
            announce(fleet.context, "i-1", DEREGISTERED)
            await anyio.sleep(RETENTION_MS / 1000 + 1)
            fleet.context.stream_origins.evict_stale()
            add_origin(fleet.context, "v1", "other")
            writer = await relay_whole(fleet.context, resume_request(resumed=None))
            assert is_rest_of("v1", writer)

        run_in_virtual_time(main)

    # Guards against an answer that comes only when its caller has left.
    @pytest.mark.parametrize("uptime_s", [0.0, LONG_UPTIME_S])
    def test_wait_for_an_origin_leaves_time_to_serve(self, uptime_s):
        async def main():
            fleet = make_fleet()
            await anyio.sleep(uptime_s)
            _, took_ms = await relay_rejected(
                fleet.context, resume_request(timeout_ms=SHORT_TIMEOUT_MS)
            )
            assert took_ms <= SHORT_TIMEOUT_MS / 2

        run_in_virtual_time(main)

    # Guards against a guess where all known engines have one version.
    def test_resumed_request_is_rejected_although_one_version_is_known(self):
        async def main():
            fleet = make_fleet()
            for target in ("i-2", "i-3"):
                announce(fleet.context, target, DEREGISTERED)
            error, _ = await relay_rejected(fleet.context, resume_request())
            assert is_not_run(error)
            assert fleet.attempts == []

        run_in_virtual_time(main)

    # Guards against resumed requests that are lost because control is a moment behind.
    @pytest.mark.parametrize(
        ("uptime_s", "late_s"), [(0.0, 0.3), (0.0, 1.2), (LONG_UPTIME_S, 0.3)]
    )
    def test_resumed_request_goes_on_when_its_origin_arrives(self, uptime_s, late_s):
        async def main():
            fleet = make_fleet()
            await anyio.sleep(uptime_s)
            writers = []

            async def serve():
                writers.append(await relay_whole(fleet.context, resume_request()))

            async with anyio.create_task_group() as group:
                group.start_soon(serve)
                await anyio.sleep(late_s)
                assert fleet.attempts == []
                add_origin(fleet.context)
                added_ms = monotonic_ms()
            assert is_rest_of("v1", writers[0])
            assert monotonic_ms() - added_ms < MAX_WAIT_MS

        run_in_virtual_time(main)

    # Guards against the version of an attempt that brought the caller no event.
    @pytest.mark.parametrize("n_comments", [0, 1])
    def test_attempt_without_an_event_is_no_origin(self, n_comments):
        async def silent(attempt):
            yield 200
            for _ in range(n_comments):
                yield b": waiting\n\n"
            await anyio.sleep(0.05)
            raise AlmonddealError(LINK_LOST, "reset")

        async def main():
            fleet = make_fleet(i_1=silent, i_2=silent, i_3=silent)
            try:
                await relay_stream(admit_stream(), fleet.context, FakeResponseWriter())
            except AlmonddealError:
                assert not n_comments
            assert fleet.context.stream_origins.get("req1") is None
            del fleet.attempts[:]
            error, _ = await relay_rejected(fleet.context, resume_request())
            assert is_not_run(error)
            assert fleet.attempts == []

        run_in_virtual_time(main)
