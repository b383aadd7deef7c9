"""Tests of calls to a service that answers too much, too slowly or not at all."""

import struct
import time
from socket import SO_LINGER, SOL_SOCKET

import anyio
import pytest
from anyio.abc import SocketAttribute
from anyio.streams.buffered import BufferedByteReceiveStream

from almonddeal_agent.admission import Admission
from almonddeal_agent.calls import MAX_REPLY_BYTES, CallForwarder
from almonddeal_agent.engine import make_client
from almonddeal_agent.tests.raw_target import RawTarget
from almonddeal_common.address import Address
from almonddeal_common.codes import NOT_REACHED, OK, ORDER_OUTCOME_UNKNOWN
from almonddeal_common.wire.gen.ttypes import AnnounceReply, OrderQuery, ServiceCall

OK_HEAD = b"HTTP/1.1 200 OK\r\n"
TIMEOUT_MS = 200


def make_call(is_order=True, timeout_ms=1000):
    return ServiceCall(
        method="POST",
        path="/orders",
        headers={},
        body=b"x",
        timeout_ms=timeout_ms,
        order="o1" if is_order else "",
        is_order=is_order,
    )


def forward(target, *calls, address=None):
    """Forward calls in sequence; returns their replies, then that to an `OrderQuery`.

    The query is for the last call, and is sent only if that is an order.
    """
    replies = []

    async def main():
        admission = Admission()
        admission.apply_announce_reply(AnnounceReply(1, 0, False, 0, True), 0.0)
        with anyio.fail_after(20):
            async with make_client() as client, target.serve() as group:
                forwarder = CallForwarder(
                    client, address or target.address, admission, group
                )
                for call in calls:
                    replies.append(await forwarder.handle_call(None, call, None))
                if calls[-1].is_order:
                    query = OrderQuery(calls[-1].order)
                    replies.append(await forwarder.handle_query(None, query, None))
                assert admission.n_in_flight == 0

    anyio.run(main)
    return replies


ENDLESS = [
    pytest.param(
        OK_HEAD + b"Content-Length: %d\r\n\r\n" % (2 * MAX_REPLY_BYTES),
        b"x" * 65_536,
        id="large reply",
    ),
    pytest.param(OK_HEAD + b"\r\n", b"x" * 65_536, id="reply without end"),
    pytest.param(OK_HEAD, b"a: %s\r\n" % (b"y" * 4000), id="head without end"),
    pytest.param(b"", b"\x00\xff" * 4096, id="no HTTP"),
]


class ResettingTarget(RawTarget):
    """Sends bytes before it has read the body of a request, and resets."""

    async def handle(self, connection):
        reader = BufferedByteReceiveStream(connection)
        await reader.receive_until(b"\r\n\r\n", 65_536)
        await connection.send(self._start)
        # With a linger time of 0 s, close() sends a reset.
        raw_socket = connection.extra(SocketAttribute.raw_socket)
        raw_socket.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
        await anyio.aclose_forcefully(connection)


class TestReplies:
    @pytest.mark.parametrize(("start", "piece"), ENDLESS)
    def test_order_with_an_unusable_reply_has_an_unknown_outcome(self, start, piece):
        # The error ended the task group of the agent, and with it the process.
        target = RawTarget(start, piece)
        reply, queried = forward(target, make_call(timeout_ms=10_000))
        assert (reply.code, reply.was_run) == (ORDER_OUTCOME_UNKNOWN.number, "unknown")
        assert queried.code == ORDER_OUTCOME_UNKNOWN.number
        assert target.n_sent_bytes < 4 * MAX_REPLY_BYTES

    @pytest.mark.parametrize(("start", "piece"), ENDLESS)
    def test_repeated_order_is_not_sent_again(self, start, piece):
        target = RawTarget(start, piece)
        forward(target, make_call(timeout_ms=10_000), make_call(timeout_ms=10_000))
        assert len(target.heads) == 1

    @pytest.mark.parametrize("is_order", [True, False])
    @pytest.mark.parametrize(
        ("start", "piece"),
        [
            pytest.param(OK_HEAD + b"\r\n", b"x", id="byte now and then"),
            pytest.param(OK_HEAD, b"a: b\r\n", id="slow head"),
            pytest.param(b"", b"", id="silence"),
        ],
    )
    def test_slow_reply_ends_with_the_timeout_of_the_call(self, start, piece, is_order):
        target = RawTarget(start, piece, interval_s=0.05)
        started_s = time.monotonic()
        replies = forward(target, make_call(is_order, timeout_ms=400))
        assert time.monotonic() - started_s < 3.0
        assert replies[0].code == ORDER_OUTCOME_UNKNOWN.number

    # Guards against a reply with a status that HTTP does not have.
    @pytest.mark.parametrize("is_order", [True, False])
    @pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
    def test_reply_with_an_invalid_status_is_no_reply(self, status, is_order):
        head = b"HTTP/1.1 " + status + b" Odd\r\n"
        target = RawTarget(head + b"Content-Length: 2\r\n\r\nok")
        reply = forward(target, make_call(is_order))[0]
        assert (reply.code, reply.was_run) == (ORDER_OUTCOME_UNKNOWN.number, "unknown")

    # Guards against a part of a reply that counts as all of it.
    def test_reply_that_is_reset_within_the_upload_is_no_reply(self):
        target = ResettingTarget(OK_HEAD + b"\r\npart")
        call = make_call()
        call.body = b"x" * 3_000_000
        reply = forward(target, call)[0]
        assert (reply.code, reply.was_run) == (ORDER_OUTCOME_UNKNOWN.number, "unknown")

    def test_complete_reply_is_returned(self):
        target = RawTarget(OK_HEAD + b"Content-Length: 2\r\n\r\nok")
        reply, queried = forward(target, make_call())
        assert (reply.code, reply.status, reply.body) == (OK.number, 200, b"ok")
        assert queried.body == b"ok"

    def test_order_that_was_not_sent_was_not_run(self):
        target = RawTarget(b"")
        address = Address("127.0.0.1", 9)
        reply = forward(target, make_call(), address=address)[0]
        assert (reply.code, reply.was_run) == (NOT_REACHED.number, "no")


class RepeatingTarget(RawTarget):
    """Sends each response again when the next request arrives on its connection."""

    def __init__(self):
        super().__init__(b"")
        self._n_served = 0

    async def handle(self, connection):
        """Serve one connection until it is closed."""
        async with connection:
            reader = BufferedByteReceiveStream(connection)
            late_copy = b""
            while True:
                try:
                    head = await reader.receive_until(b"\r\n\r\n", 65_536)
                    await reader.receive_exactly(1)
                except (
                    anyio.BrokenResourceError,
                    anyio.EndOfStream,
                    anyio.IncompleteRead,
                ):
                    return
                self.heads.append(head)
                self._n_served += 1
                body = b"reply %d" % self._n_served
                response = OK_HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
                await connection.send(late_copy + response)
                late_copy = response


class TestRepeatedResponses:
    def test_late_second_copy_is_not_the_reply_to_the_next_call(self):
        calls = [make_call(is_order=False) for _ in range(4)]
        replies = forward(RepeatingTarget(), *calls)
        bodies = [reply.body for reply in replies]
        assert bodies == [b"reply 1", b"reply 2", b"reply 3", b"reply 4"]


class StallingTarget(RawTarget):
    """Service that replies, whereupon the agent beside it stalls."""

    async def handle(self, connection):
        async with connection:
            reader = BufferedByteReceiveStream(connection)
            await reader.receive_until(b"\r\n\r\n", 65_536)
            await connection.send(OK_HEAD + b"Content-Length: 2\r\n\r\nok")
            time.sleep(2 * TIMEOUT_MS / 1000)


class TestStalls:
    # Guards against a reply that came in time and is dropped, so that the outcome of an
    # order is unknown for good, as the agent stalls at the end of the time limit.
    @pytest.mark.parametrize("is_order", [True, False])
    def test_reply_before_a_stall_is_passed_on(self, is_order):
        call = make_call(is_order, TIMEOUT_MS)
        replies = forward(StallingTarget(b""), call)
        assert [(r.code, r.body) for r in replies] == [(OK.number, b"ok")] * len(
            replies
        )
