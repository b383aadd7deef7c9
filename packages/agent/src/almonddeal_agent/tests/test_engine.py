"""Tests of the engine client with engines that break the protocol."""

import time

import anyio
import httpx
import pytest

from almonddeal_agent import engine as engine_module
from almonddeal_agent.engine import http_engine, make_client
from almonddeal_agent.tests.raw_target import RawTarget
from almonddeal_common.codes import ATTEMPT_LOST, TARGET_REFUSED, AlmonddealError
from almonddeal_common.wire.gen.ttypes import AnswerSpec, StartAttempt, TargetOrder

OK_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
SPEC = AnswerSpec("kite:r1", "kite", "draft", "v1", "", "hello", "{}", 10, 1)
START = StartAttempt(SPEC, 1, [], 5, False, b"")


def run_with_engine(target, test):
    """Run an async test with the client of a `RawTarget`, for 10 s at most."""

    async def main():
        with anyio.fail_after(10):
            async with make_client() as client, target.serve():
                await test(http_engine(client, target.address))

    anyio.run(main)


async def read_all(engine):
    return [tokens async for tokens in engine.generate(START)]


class TestGenerate:
    @pytest.mark.parametrize(
        ("start", "piece"),
        [
            pytest.param(OK_HEAD, b"x" * 65_536, id="line without end"),
            pytest.param(OK_HEAD + b"not JSON\n", b"", id="no JSON"),
            pytest.param(OK_HEAD + b"[1]\n", b"", id="no object"),
            pytest.param(
                b"HTTP/1.1 200 OK\r\n", b"a: %s\r\n" % (b"y" * 4000), id="head"
            ),
            pytest.param(b"", b"\x00\xff" * 4096, id="no HTTP"),
        ],
    )
    def test_malformed_stream_loses_the_attempt(self, start, piece):
        target = RawTarget(start, piece)

        async def test(engine):
            with pytest.raises(AlmonddealError) as error_info:
                await read_all(engine)
            assert error_info.value.code == ATTEMPT_LOST

        run_with_engine(target, test)
        assert target.n_sent_bytes < 16 * 1024 * 1024

    def test_engine_that_accepts_no_connection_has_not_run(self, monkeypatch):
        async def time_out(self, request):
            raise httpx.ConnectTimeout("no handshake")

        monkeypatch.setattr(httpx.AsyncHTTPTransport, "handle_async_request", time_out)

        async def test(engine):
            with pytest.raises(AlmonddealError) as error_info:
                await read_all(engine)
            assert error_info.value.code == TARGET_REFUSED

        run_with_engine(RawTarget(b""), test)


class TestQueries:
    @pytest.mark.parametrize(
        ("start", "piece", "interval_s"),
        [
            pytest.param(OK_HEAD, b"x" * 65_536, 0.0, id="body without end"),
            pytest.param(OK_HEAD, b"x", 0.05, id="byte now and then"),
            pytest.param(b"", b"", 0.0, id="silence"),
        ],
    )
    def test_queries_fail_in_time(self, start, piece, interval_s, monkeypatch):
        monkeypatch.setattr(engine_module, "TARGET_ORDER_TIMEOUT_S", 0.5)
        target = RawTarget(start, piece, interval_s)

        async def test(engine):
            started_s = time.monotonic()
            with pytest.raises((TimeoutError, ValueError)):
                await engine.report()
            with pytest.raises((TimeoutError, ValueError)):
                await engine.cache_events(0)
            await engine.cancel(START)
            with pytest.raises(AlmonddealError) as error_info:
                await engine.send_target_order(TargetOrder(1, "load", "m", "v", ""))
            assert error_info.value.code == TARGET_REFUSED
            assert time.monotonic() - started_s < 6.0

        run_with_engine(target, test)
        assert target.n_sent_bytes < 64 * 1024 * 1024
