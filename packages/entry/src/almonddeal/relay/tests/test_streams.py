"""Tests of streams over engines that are lost, hang, refuse or send wrong events.

Most cases lose the engines of a failure domain in the middle of a response.
"""

import logging

import anyio
import pytest

from almonddeal.relay import attempts
from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    ResponseHead,
    admit_stream,
    hangs,
    loses_connection,
    make_event,
    make_route,
    make_run,
    refuses,
    responds,
    responds_with_head,
    streams,
    unreachable,
)
from almonddeal.relay.tests.stream_runs import (
    LAST,
    TWO_DOMAINS,
    is_complete_response,
    relay,
)
from almonddeal.routing.model import STREAM
from almonddeal_common.codes import (
    ATTEMPT_LOST,
    DEADLINE,
    NO_TARGET,
    OVERLOADED,
    AlmonddealError,
)
from almonddeal_common.virtual_time import run_in_virtual_time


def rejection(fleet, admitted=None):
    with pytest.raises(AlmonddealError) as caught:
        relay(fleet, admitted)
    return caught.value


class TestStreams:
    def test_complete_stream_of_one_engine(self):
        assert is_complete_response(relay(FakeFleet({"i-1": streams(1, LAST)})))

    def test_incomplete_event_is_never_forwarded(self):
        fleet = FakeFleet(
            {"i-1": streams(1, LAST, lose_at=7), "i-2": streams(1, LAST)}, TWO_DOMAINS
        )
        writer = relay(fleet)
        assert b"da" not in writer.body.replace(b"data", b"")

    def test_stream_of_a_stalled_engine_resumes_elsewhere(self):
        async def main():
            fleet = FakeFleet(
                {"i-1": streams(1, LAST, hang_at=7), "i-2": streams(1, LAST)},
                TWO_DOMAINS,
            )
            fleet.context.load_view.merge(make_run("other-i-2", "i-2"))
            writer = FakeResponseWriter()
            await relay_stream(admit_stream(), fleet.context, writer)
            assert is_complete_response(writer)
            assert fleet.n_open == 0

        run_in_virtual_time(main)

    def test_events_stay_in_order_over_several_losses(self):
        fleet = FakeFleet(
            {
                "i-1": streams(1, LAST, lose_at=5),
                "i-2": streams(1, LAST, lose_at=9),
                "i-3": streams(1, LAST, lose_at=14),
                "i-4": streams(1, LAST),
            },
            {"i-1": "fd1", "i-2": "fd2", "i-3": "fd3", "i-4": "fd2"},
        )
        writer = relay(fleet)
        assert writer.event_ids == sorted(set(writer.event_ids))
        assert writer.event_ids[0] == 1

    def test_engine_silent_before_its_first_event_is_probed_and_abandoned(self):
        fleet = FakeFleet({"i-1": hangs, "i-2": streams(1, LAST)}, TWO_DOMAINS)
        fleet.alive = {"i-2"}
        fleet.context.load_view.merge(make_run("other-i-2", "i-2"))
        assert is_complete_response(relay(fleet, admit_stream(n_prompt=100)))
        assert fleet.n_probes == 1

    def test_slow_caller_is_not_a_stall(self):
        class SlowResponseWriter(FakeResponseWriter):
            async def send(self, data):
                await anyio.sleep(0.4 if self.body else 0)
                await super().send(data)

        fleet = FakeFleet({"i-1": streams(1, 3)}, TWO_DOMAINS)
        writer = relay(fleet, writer=SlowResponseWriter())
        assert writer.event_ids == [1, 2, 3]
        assert fleet.tried == ["i-1"]

    def test_duplicate_events_of_a_resumed_stream_are_dropped(self):
        async def repeats(attempt):
            yield 200
            for number in range(1, LAST + 1):
                yield make_event(number)

        fleet = FakeFleet(
            {"i-1": streams(1, LAST, lose_at=7), "i-2": repeats}, TWO_DOMAINS
        )
        fleet.context.load_view.merge(make_run("other-i-2", "i-2"))
        assert is_complete_response(relay(fleet))

    def test_missing_event_id_is_a_loss(self):
        async def skips(attempt):
            yield 200
            for number in (1, 2, 3, 5, 6):
                yield make_event(number)

        fleet = FakeFleet({"i-1": skips, "i-2": streams(1, LAST)}, TWO_DOMAINS)
        fleet.context.load_view.merge(make_run("other-i-2", "i-2"))
        assert is_complete_response(relay(fleet))

    def test_stream_that_is_not_resumable_is_truncated(self):
        fleet = FakeFleet({"i-1": streams(1, LAST, lose_at=7)})
        route = make_route(STREAM, is_resumable=False)
        writer = relay(fleet, admit_stream(route))
        assert not writer.is_complete
        assert writer.event_ids == list(range(1, 8))

    # Guards against a line that says of a complete response that it was truncated.
    def test_deadline_behind_the_end_does_not_truncate(self, monkeypatch, caplog):
        async def free_slowly(stream, context, announcement):
            await anyio.sleep(5.0)

        monkeypatch.setattr(attempts, "free_copy", free_slowly)
        fleet = FakeFleet({"i-1": streams(1, LAST)})
        with caplog.at_level(logging.INFO, "almonddeal.relay"):
            writer = relay(fleet, admit_stream(timeout_ms=300.0))
        assert is_complete_response(writer)
        messages = [record.getMessage() for record in caplog.records]
        assert "truncated a stream at its deadline" not in messages

    def test_started_stream_is_truncated_at_its_deadline(self):
        fleet = FakeFleet({"i-1": streams(1, 1000, gap_s=0.02)})
        writer = relay(fleet, admit_stream(timeout_ms=300.0))
        assert writer.event_ids
        assert not writer.is_complete

    def test_resuming_caller_receives_only_missing_events(self):
        fleet = FakeFleet({"i-1": streams(1, LAST)})
        fleet.add_origin("req0")
        writer = relay(fleet, admit_stream(last_event_id=12, resumed_request_id="req0"))
        assert writer.event_ids == list(range(13, LAST + 1))
        assert fleet.attempts[0].last_event_id == 12

    def test_run_is_reported_from_start_to_end(self):
        fleet = FakeFleet({"i-1": streams(1, LAST)})
        relay(fleet)
        (run,) = fleet.context.runs.values()
        assert run.is_ended
        assert (
            fleet.context.load_view.load(
                fleet.target_table.get("i-1").announcement
            ).n_runs
            == 0
        )

    def test_cancelled_request_is_cancelled_at_its_engine(self):
        async def main():
            fleet = FakeFleet({"i-1": streams(1, 1000, gap_s=0.01)})
            with anyio.move_on_after(0.1):
                await relay_stream(admit_stream(), fleet.context, FakeResponseWriter())
            assert fleet.n_open == 0
            (run,) = fleet.context.runs.values()
            assert run.is_ended

        run_in_virtual_time(main)


class TestRejections:
    def test_no_engine(self):
        error = rejection(FakeFleet({}))
        assert error.code == NO_TARGET
        assert error.retry_after_ms > 0

    def test_all_engines_refuse(self):
        fleet = FakeFleet({"i-1": refuses(), "i-2": refuses()})
        error = rejection(fleet)
        assert error.code == OVERLOADED
        assert sorted(fleet.tried) == ["i-1", "i-2"]

    def test_unreachable_engine_is_not_tried_again(self):
        fleet = FakeFleet({"i-1": unreachable, "i-2": streams(1, LAST)})

        async def main():
            for _ in range(6):
                writer = FakeResponseWriter()
                await relay_stream(admit_stream(), fleet.context, writer)
                assert is_complete_response(writer)

        run_in_virtual_time(main)
        assert fleet.tried.count("i-1") <= 1

    def test_error_response_of_an_engine_is_forwarded(self):
        fleet = FakeFleet({"i-1": responds(500, b"bad"), "i-2": responds(500, b"bad")})
        writer = relay(fleet)
        assert (writer.status, writer.body) == (500, b"bad")

    def test_stream_that_is_not_resumable_is_sent_once(self):
        fleet = FakeFleet({"i-1": loses_connection, "i-2": loses_connection})
        error = rejection(fleet, admit_stream(make_route(STREAM, is_resumable=False)))
        assert error.code == ATTEMPT_LOST
        assert len(fleet.attempts) == 1

    def test_request_at_a_hanging_engine_ends_at_its_deadline(self):
        fleet = FakeFleet({"i-1": hangs})
        error = rejection(fleet, admit_stream(timeout_ms=150.0))
        assert error.code == DEADLINE

    def test_unsigned_stream_is_not_forwarded(self):
        fleet = FakeFleet(
            {"i-1": responds_with_head(ResponseHead(200, is_authentic=False))}
        )
        assert rejection(fleet).code in (ATTEMPT_LOST, OVERLOADED)


def sends_spoiled_id(number, spoiled_line, n_together=0):
    """Return a behaviour: all events, one of them with a spoiled line for its id.

    That one is read together with `n_together` events before it.
    """

    async def steps(attempt):
        yield 200
        first = 1 if attempt.last_event_id is None else attempt.last_event_id + 1
        data = b""
        for event_id in range(first, LAST + 1):
            event = make_event(event_id)
            if event_id == number:
                event = event.replace(b"id:%d" % event_id, spoiled_line)
            data += event
            if not number - n_together <= event_id < number:
                yield data
                data = b""
                await anyio.sleep(0.002)

    return steps


class TestSpoiledEventId:
    """Pattern: an engine hands out wrong bytes in the id of one event."""

    # Guards against sound events that are lost because a wrong id was read with them,
    # or because their ids are lower than a wrong one.
    @pytest.mark.parametrize("n_together", [0, 1, 2])
    @pytest.mark.parametrize(
        "line", [b"id:70", b"id:0", b"id:1", b"id:7", b"id:x", b"xd:5", b"id:13"]
    )
    @pytest.mark.parametrize("number", [1, 2, 3, 4, 10, LAST])
    def test_all_events_are_sent_once(self, number, line, n_together):
        engines = {
            "i-1": sends_spoiled_id(number, line, n_together),
            "i-2": streams(1, LAST),
        }
        body = relay(FakeFleet(engines, TWO_DOMAINS)).body
        sound = [make_event(n) for n in range(1, LAST + 1)]
        spoiled = sound[number - 1].replace(b"id:%d" % number, line)
        events = [event + b"\n\n" for event in body.split(b"\n\n")[:-1]]
        places = [spoiled if event == spoiled else None for event in events]
        assert [s for s, p in zip(sound, places, strict=True) if p is None] == [
            e for e, p in zip(events, places, strict=True) if p is None
        ]

    # Guards against the same in a stream that a caller resumes.
    @pytest.mark.parametrize("line", [b"id:70", b"id:2", b"id:x"])
    @pytest.mark.parametrize("number", [6, 7, 8])
    def test_all_events_of_a_resumed_stream_are_sent_once(self, number, line):
        engines = {"i-1": sends_spoiled_id(number, line), "i-2": streams(1, LAST)}
        fleet = FakeFleet(engines, TWO_DOMAINS)
        fleet.add_origin()
        admitted = admit_stream(last_event_id=5, resumed_request_id="req0")
        assert relay(fleet, admitted).event_ids == list(range(6, LAST + 1))


class TestEventIds:
    """Pattern: an engine sends an event whose id is a very long number."""

    # Guards against a stream that ends with an exception, and against an event that is
    # forwarded although its place in the stream is unknown.
    @pytest.mark.parametrize("n_digits", [20, 4000, 5000])
    @pytest.mark.parametrize("n_events", [0, 1, 7])
    def test_stream_goes_on_elsewhere(self, n_digits, n_events):
        async def send_long_id(attempt):
            yield 200
            for event_id in range(1, n_events + 1):
                yield make_event(event_id)
            yield b"id: %s\ndata: x\n\n" % (n_digits * b"9")
            await anyio.sleep(60)

        engines = {"i-1": send_long_id, "i-2": streams(1, LAST)}
        fleet = FakeFleet(engines, TWO_DOMAINS)
        writer = relay(fleet)
        assert is_complete_response(writer)
        assert 20 * b"9" not in writer.body

    def test_error_text_with_a_long_id_does_not_begin_a_resumed_stream(self):
        async def send_long_id(attempt):
            yield 200
            yield b"id: %s\ndata: x\n\n" % (5000 * b"9")

        engines = {"i-1": streams(1, LAST, lose_at=7), "i-2": send_long_id}
        engines["i-3"] = streams(1, LAST)
        fleet = FakeFleet(engines, {**TWO_DOMAINS, "i-3": "fd3"})
        assert is_complete_response(relay(fleet))
