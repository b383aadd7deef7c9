"""Tests of links, and of compatibility between two releases."""

from contextlib import suppress

import anyio
import pytest
from anyio import create_tcp_listener
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from almonddeal_common.address import Address
from almonddeal_common.codes import OVERLOADED, AlmonddealError
from almonddeal_common.wire import link as link_module
from almonddeal_common.wire.codec import (
    FRAME_HEADER,
    KIND_BY_TYPE,
    FrameReader,
    decode,
    encode,
    encode_frame,
)
from almonddeal_common.wire.connect import Peer, dial, serve_links
from almonddeal_common.wire.gen.ttypes import (
    AttemptChunk,
    Fence,
    FenceReply,
    Hello,
    OrderQuery,
    Phase,
    Ping,
    ServiceReply,
    StartAttempt,
)


def make_hello(name="a", version=1, lowest=1):
    return Hello(version, lowest, "entry", name, 1, "fd1")


def run(handlers, test, server_hello=None):
    """Run an async test with a link to a server that has the given handlers."""

    async def main():
        listener = await create_tcp_listener(local_host="127.0.0.1")
        port = listener.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
        address = Address("127.0.0.1", port)
        async with anyio.create_task_group() as group:
            hello = server_hello or make_hello("server")
            group.start_soon(serve_links, listener, hello, handlers)
            link = await dial(address, make_hello(), {})
            group.start_soon(link.run)
            await test(link)
            group.cancel_scope.cancel()

    anyio.run(main)


async def echo(link, message, emit):
    return FenceReply(code=0, promised_epoch=message.epoch)


class TestLink:
    def test_call(self):
        async def test(link):
            await link.ready.wait()
            reply = await link.call(Fence("r", 7, False), 1000)
            assert reply.promised_epoch == 7

        run({Fence: echo}, test)

    def test_error_of_handler_keeps_its_code(self):
        async def raise_overloaded(link, message, emit):
            raise AlmonddealError(OVERLOADED, "full")

        async def test(link):
            await link.ready.wait()
            with pytest.raises(AlmonddealError, match="OVERLOADED: full"):
                await link.call(Fence("r", 7, False), 1000)

        run({Fence: raise_overloaded}, test)

    def test_call_times_out(self):
        async def sleep(link, message, emit):
            await anyio.sleep(5)

        async def test(link):
            await link.ready.wait()
            with pytest.raises(AlmonddealError, match="DEADLINE"):
                await link.call(Fence("r", 7, False), 50)

        run({Fence: sleep}, test)

    def test_stream_is_ordered_and_complete(self):
        async def count(link, message, emit):
            for index in range(500):
                emit(AttemptChunk(1, index, [index], ["x"], ""))
                if index % 50 == 0:
                    await anyio.sleep(0)
            return ServiceReply(status=1)

        async def test(link):
            await link.ready.wait()
            async with link.open_stream(StartAttempt()) as stream:
                indices = [chunk.index async for chunk in stream]
            assert indices == list(range(500))
            assert stream.reply.status == 1

        run({StartAttempt: count}, test)

    def test_leaving_a_stream_cancels_the_handler(self):
        make_event = anyio.Event

        class State:
            event = None

        async def block(link, message, emit):
            emit(AttemptChunk(1, 0, [0], ["x"], ""))
            try:
                await anyio.sleep(60)
            finally:
                State.event.set()

        async def test(link):
            State.event = make_event()
            await link.ready.wait()
            async with link.open_stream(StartAttempt()) as stream:
                await anext(stream)
            with anyio.fail_after(2):
                await State.event.wait()

        run({StartAttempt: block}, test)

    def test_message_without_handler_is_rejected(self):
        async def test(link):
            await link.ready.wait()
            with pytest.raises(AlmonddealError, match="PROTOCOL_MISMATCH"):
                await link.call(OrderQuery("x"), 1000)

        run({}, test)

    @pytest.mark.parametrize("n_bytes", [0, 1, 5])
    def test_malformed_message_fails_its_call_only(self, n_bytes):
        def fence(message):
            return FenceReply(code=0, promised_epoch=message.epoch)

        async def test(link):
            await link.ready.wait()
            for kind in (KIND_BY_TYPE[Fence], KIND_BY_TYPE[OrderQuery], 9999):
                for phase in (Phase.CALL, Phase.NOTICE, Phase.REPLY, Phase.ITEM, 77):
                    body = b"\x0b" * n_bytes
                    header = FRAME_HEADER.pack(len(body), phase, kind, 4_000)
                    await link._stream.send(header + body)
            reply = await link.call(Fence("r", 7, False), 1000)
            assert reply.promised_epoch == 7

        run({Fence: fence, OrderQuery: echo}, test)

    def test_failure_of_an_inline_handler_keeps_the_link(self):
        def fail(message):
            raise AssertionError("conflicting tokens")

        async def test(link):
            await link.ready.wait()
            with pytest.raises(AlmonddealError, match="INTERNAL"):
                await link.call(Fence("r", 7, False), 1000)
            assert link.is_open

        run({Fence: fail}, test)

    @pytest.mark.parametrize(
        "first",
        [
            b"GET / HTTP/1.1\r\n\r\n" * 4,
            b"\x00" * 64,
            FRAME_HEADER.pack(3, Phase.NOTICE, KIND_BY_TYPE[Hello], 0)
            + b"\x0b\x00\x05",
            FRAME_HEADER.pack(2**31, Phase.NOTICE, KIND_BY_TYPE[Hello], 0),
        ],
    )
    def test_bytes_that_are_no_handshake_end_only_their_link(self, first):
        async def test(link):
            await link.ready.wait()
            port = link._stream.extra(anyio.abc.SocketAttribute.remote_port)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(first)
                with anyio.move_on_after(2), suppress(anyio.EndOfStream, OSError):
                    while True:
                        await stream.receive()
            reply = await link.call(Fence("r", 7, False), 1000)
            assert reply.promised_epoch == 7

        run({Fence: echo}, test)

    def test_calls_of_a_closed_link_get_the_reason(self):
        async def sleep(link, message, emit):
            await anyio.sleep(5)

        async def test(link):
            await link.ready.wait()
            async with anyio.create_task_group() as group:
                group.start_soon(expect_reason, link)
                await anyio.sleep(0.05)
                link.close("no longer needed")

        async def expect_reason(link):
            with pytest.raises(AlmonddealError, match="no longer needed"):
                await link.call(Fence("r", 7, False), 1000)

        run({Fence: sleep}, test)

    def test_incompatible_release_is_rejected(self):
        async def test(link):
            with anyio.fail_after(2):
                await link.closed.wait()
            assert not link.is_open

        run({}, test, make_hello("server", version=9, lowest=9))

    def test_link_to_silent_peer_is_closed(self, monkeypatch):
        monkeypatch.setattr(link_module, "SILENCE_LIMIT_MS", 300)

        async def main():
            listener = await create_tcp_listener(local_host="127.0.0.1")
            port = listener.listeners[0].extra(anyio.abc.SocketAttribute.local_port)

            async def never_respond(stream):
                await stream.send(encode_frame(Phase.NOTICE, 0, make_hello("mute")))
                await anyio.sleep(60)

            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, never_respond)
                link = await dial(Address("127.0.0.1", port), make_hello(), {})
                group.start_soon(link.run)
                with anyio.fail_after(5):
                    await link.closed.wait()
                group.cancel_scope.cancel()

        anyio.run(main)


class TestCancelledCall:
    # Guards against a handler that runs for a call that its caller has cancelled, if
    # both frames are read at once, such as by a process that was frozen.
    def test_handler_does_not_run(self):
        ended = []

        async def wait(link, message, emit):
            await anyio.sleep(0.3)
            ended.append(message.request)
            return FenceReply(code=0, promised_epoch=1)

        async def test(link):
            await link.ready.wait()
            # Call and cancellation are sent in one write, as no task runs in between.
            call_id, _ = link._start_call(Fence("r", 1))
            link.discard_call(call_id, cancel=True)
            await anyio.sleep(0.6)
            assert ended == []

        run({Fence: wait}, test)


class TestPeer:
    def test_wait_for_first_link_survives_a_failed_connection(self):
        async def main():
            listener = await create_tcp_listener(local_host="127.0.0.1")
            port = listener.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
            n_accepted = 0

            async def serve(stream):
                nonlocal n_accepted
                n_accepted += 1
                if n_accepted == 1:
                    await anyio.aclose_forcefully(stream)
                    return
                await link_module.Link(stream, make_hello("server"), {}).run()

            peer = Peer("server", Address("127.0.0.1", port), make_hello(), {})
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, serve)
                group.start_soon(peer.run)
                with anyio.fail_after(5):
                    await peer.connected.wait()
                assert peer.is_up
                group.cancel_scope.cancel()

        anyio.run(main)


class TestCodec:
    def test_frames_are_reassembled_from_fragments(self):
        data = b"".join(encode_frame(Phase.NOTICE, n, Ping(n)) for n in range(5))
        for size in (1, 3, 7, len(data)):
            reader = FrameReader()
            frames = []
            for start in range(0, len(data), size):
                frames += reader.feed(data[start : start + size])
            assert [frame.call_id for frame in frames] == list(range(5))

    def test_unknown_field_of_a_newer_release_is_skipped(self):
        buffer = TMemoryBuffer()
        protocol = TBinaryProtocol(buffer)
        protocol.writeFieldBegin("sent_us", TType.I64, 1)
        protocol.writeI64(5)
        protocol.writeFieldBegin("future", TType.STRING, 99)
        protocol.writeString("what an older release does not know")
        protocol.writeFieldStop()
        assert decode(Ping, buffer.getvalue()).sent_us == 5

    def test_missing_field_of_an_older_release_is_none(self):
        data = encode(Fence("r", 7, None))
        assert decode(Fence, data).only_read is None

    def test_oversized_frame_is_rejected(self):
        with pytest.raises(AlmonddealError, match="PROTOCOL_MISMATCH"):
            FrameReader().feed(b"\xff" * 15)
