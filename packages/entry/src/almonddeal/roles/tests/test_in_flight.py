"""Tests of requests that are broken off as an instance stops."""

import logging
from functools import partial

import anyio
import pytest

from almonddeal.relay.requests import Attempt
from almonddeal.relay.tests.fakes import (
    FakeResponseWriter,
    admit_plain,
    admit_stream,
    make_announcement,
    make_route,
)
from almonddeal.roles.in_flight import RequestsInFlight
from almonddeal.roles.planned_work import (
    CHANGE,
    DURATION_MS_BY_KIND,
    STOP,
    PlannedWork,
)
from almonddeal.routing.model import LOOKUP, ORDER
from almonddeal_common.codes import (
    ATTEMPT_LOST,
    ORDER_OUTCOME_UNKNOWN,
    SERVICE_FAILED,
    STOPPING,
)
from almonddeal_common.virtual_time import run_in_virtual_time


def break_off(admitted, is_sent):
    """Return the error of a request that is broken off while it waits."""
    requests, writer = RequestsInFlight(), FakeResponseWriter()

    async def serve_request():
        if is_sent:
            target = make_announcement("i-1")
            requests.record_attempt(Attempt(admitted, target))
        await anyio.sleep(3600)

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(requests.serve, admitted.request, writer, serve_request)
            await anyio.sleep(1)
            assert len(requests) == 1
            requests.break_off()
        assert len(requests) == 0

    run_in_virtual_time(main)
    return writer.error


class TestBreakOff:
    @pytest.mark.parametrize(
        ("admitted", "code"),
        [
            (admit_plain(make_route(LOOKUP)), SERVICE_FAILED),
            (admit_plain(make_route(ORDER)), ORDER_OUTCOME_UNKNOWN),
            (admit_stream(), ATTEMPT_LOST),
        ],
    )
    def test_request_that_a_target_may_have_run(self, admitted, code):
        assert break_off(admitted, is_sent=True).code == code

    def test_request_that_was_sent_to_no_target_may_be_sent_again(self):
        error = break_off(admit_plain(make_route(ORDER)), is_sent=False)
        assert error.code == STOPPING
        assert error.retry_after_ms > 0

    def test_request_that_ends_by_itself_gets_no_error(self):
        requests, writer = RequestsInFlight(), FakeResponseWriter()
        request = admit_plain(make_route(LOOKUP)).request

        async def main():
            await requests.serve(request, writer, lambda: anyio.sleep(1))
            requests.break_off()

        run_in_virtual_time(main)
        assert writer.error is None

    def test_disconnect_of_the_caller_sends_no_error(self):
        requests, writer = RequestsInFlight(), FakeResponseWriter()
        request = admit_plain(make_route(LOOKUP)).request

        async def main():
            with anyio.move_on_after(1):
                await requests.serve(request, writer, lambda: anyio.sleep(3600))

        run_in_virtual_time(main)
        assert writer.error is None

    # Guards against a request that is sent to a target after the others were broken
    # off, and is cut there without an answer.
    def test_request_that_is_read_after_the_break_off_is_refused(self):
        requests, writer = RequestsInFlight(), FakeResponseWriter()
        request = admit_plain(make_route(LOOKUP)).request
        served = []

        async def serve_request():
            served.append(request)

        async def main():
            requests.break_off()
            await requests.serve(request, writer, serve_request)
            assert len(requests) == 0

        run_in_virtual_time(main)
        assert not served
        assert writer.error.code == STOPPING
        assert writer.error.retry_after_ms > 0


class TestEnds:
    """Tests of the count and the log line that tell how a request ended."""

    @staticmethod
    def serve(caplog, serve_request, kind=None, break_off_s=None):
        """Serve a request beside planned work of a kind.

        Returns the messages that were logged and their fields.
        """
        planned_work = PlannedWork()
        requests, writer = RequestsInFlight(planned_work), FakeResponseWriter()
        request = admit_stream().request

        async def main():
            if kind is not None:
                planned_work.begin(kind)
            async with anyio.create_task_group() as group:
                group.start_soon(
                    requests.serve, request, writer, partial(serve_request, writer)
                )
                if break_off_s is not None:
                    await anyio.sleep(break_off_s)
                    requests.break_off()

        with caplog.at_level(logging.INFO, "almonddeal.entry"):
            run_in_virtual_time(main)
        return [(record.getMessage(), record.facts) for record in caplog.records]

    @staticmethod
    async def begin(writer):
        await writer.start(200, [])
        await writer.send(b"id: 1\n\n")

    # Guards against a response that is cut without a line in the log.
    def test_response_that_fails_midway_is_logged_beside_its_planned_work(self, caplog):
        [(message, facts)] = self.serve(caplog, self.begin, CHANGE)
        assert message == "request ended without a complete response"
        assert facts["end"] == "failed midway"
        assert facts["is_started"]
        assert facts["planned_work"] == "change"

    def test_response_that_the_stop_cuts_is_logged(self, caplog):
        async def serve_request(writer):
            await self.begin(writer)
            await anyio.sleep(3600)

        lines = self.serve(caplog, serve_request, STOP, break_off_s=1)
        _, (message, facts) = lines
        assert message == "request ended without a complete response"
        assert facts["end"] == "instance stopped"
        assert facts["planned_work"] == "stop"

    def test_complete_response_is_not_logged(self, caplog):
        async def serve_request(writer):
            await writer.send_response(200, [], b"")

        assert self.serve(caplog, serve_request) == []

    def test_request_that_the_stop_answers_with_an_error_is_complete(self, caplog):
        lines = self.serve(caplog, lambda _: anyio.sleep(3600), break_off_s=1)
        [(message, _)] = lines
        assert message == "request broken off by the stop of the instance"


class TestPlannedWork:
    def test_kinds_are_described_until_they_cannot_end_a_request_any_more(self):
        async def main():
            planned_work = PlannedWork()
            descriptions.append(planned_work.describe())
            planned_work.begin(CHANGE)
            planned_work.begin(STOP)
            descriptions.append(planned_work.describe())
            await anyio.sleep(DURATION_MS_BY_KIND[CHANGE] / 1000 + 0.1)
            descriptions.append(planned_work.describe())

        descriptions = []
        run_in_virtual_time(main)
        assert descriptions == ["none", "change+stop", "stop"]
