"""Tests of requests that are broken off as an instance stops."""

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
