"""Tests of connections whose packets are lost."""

import asyncio
import time

import anyio
import pytest

from almonddeal_common.address import Address
from almonddeal_common.codes import NOT_REACHED, AlmonddealError
from almonddeal_common.wire import connect
from almonddeal_common.wire.gen.ttypes import Hello

HELLO = Hello(1, 1, "control", "a", 1, "zone")
ADDRESS = Address("127.0.0.1", 9)


class StreamStub:
    """Connection that is only closed."""

    def __init__(self):
        self.is_closed = False

    async def aclose(self):
        self.is_closed = True


class TestDial:
    # Guards against a process that is out of reach for as long as the opening packet
    # of each of its connections is lost, though others would pass.
    def test_connects_beside_an_attempt_whose_packet_is_lost(self, monkeypatch):
        streams = []

        async def connect_tcp(host, port):
            if not streams:
                streams.append(None)
                await anyio.sleep_forever()
            streams.append(StreamStub())
            return streams[-1]

        monkeypatch.setattr(connect, "connect_tcp", connect_tcp)
        started_s = time.monotonic()
        link = anyio.run(connect.dial, ADDRESS, HELLO, {})
        assert link is not None
        assert time.monotonic() - started_s < connect.CONNECT_TIMEOUT_S
        assert [stream.is_closed for stream in streams[1:]] == [False]

    def test_closes_a_connection_that_is_not_needed(self, monkeypatch):
        streams = []

        async def main():
            is_second_open = anyio.Event()

            async def connect_tcp(host, port):
                stream = StreamStub()
                streams.append(stream)
                if len(streams) == 2:
                    # Both attempts end in the same step of the event loop.
                    asyncio.get_running_loop().call_later(0.01, is_second_open.set)
                await is_second_open.wait()
                return stream

            monkeypatch.setattr(connect, "connect_tcp", connect_tcp)
            await connect.dial(ADDRESS, HELLO, {})

        anyio.run(main)
        assert sorted(stream.is_closed for stream in streams) == [False, True]

    def test_reports_a_refused_connection_at_once(self, monkeypatch):
        async def connect_tcp(host, port):
            raise OSError("refused")

        monkeypatch.setattr(connect, "connect_tcp", connect_tcp)
        started_s = time.monotonic()
        with pytest.raises(AlmonddealError) as caught:
            anyio.run(connect.dial, ADDRESS, HELLO, {})
        assert caught.value.code == NOT_REACHED
        assert time.monotonic() - started_s < connect.CONNECT_ATTEMPT_INTERVAL_S

    def test_ends_at_its_time_limit(self, monkeypatch):
        async def connect_tcp(host, port):
            await anyio.sleep_forever()

        monkeypatch.setattr(connect, "connect_tcp", connect_tcp)
        started_s = time.monotonic()
        with pytest.raises(AlmonddealError) as caught:
            anyio.run(connect.dial, ADDRESS, HELLO, {}, 0.5)
        assert caught.value.code == NOT_REACHED
        assert time.monotonic() - started_s >= 0.5
