"""Tests of limits on slow requests, on connections that real sockets make."""

import socket
from contextlib import suppress
from functools import partial

import anyio
import pytest

from almonddeal_common.address import Address
from almonddeal_common.http import make_config, serve_http

ADDRESS = Address("127.0.0.1", 11_732)
HEAD_TIMEOUT_S = 0.2
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"


async def echo(scope, receive, send):
    """Answer a request with its body."""
    message = await receive()
    body = message["body"]
    while message["more_body"]:
        message = await receive()
        body += message["body"]
    headers = [(b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def play(test):
    """Run a test beside a server, with a connection to it."""

    async def main():
        stop = anyio.Event()
        config = make_config(ADDRESS)
        config.head_timeout = HEAD_TIMEOUT_S
        with anyio.fail_after(20):
            async with anyio.create_task_group() as group:
                serve = partial(serve_http, config=config)
                group.start_soon(serve, echo, ADDRESS, stop)
                try:
                    async with await connect() as connection:
                        await test(connection)
                finally:
                    stop.set()

    anyio.run(main)


async def connect():
    """Return a connection once the server listens."""
    while True:
        try:
            return await anyio.connect_tcp(ADDRESS.host, ADDRESS.port)
        except OSError:
            await anyio.sleep(0.02)


async def read_answer(connection):
    """Return the bytes up to the end of an echoed body."""
    received = b""
    while not received.endswith(b"body"):
        received += await connection.receive()
    return received


async def read_all(connection):
    """Return the bytes up to the end of a connection."""
    received = b""
    with suppress(anyio.EndOfStream):
        while True:
            received += await connection.receive()
    return received


class TestSlowRequests:
    def test_head_that_stops_midway_is_closed(self):
        async def test(connection):
            await connection.send(b"POST / HTTP/1.1\r\nHo")
            with pytest.raises(anyio.EndOfStream):
                await connection.receive()

        play(test)

    def test_head_that_drips_is_closed_though_never_silent(self):
        async def test(connection):
            await connection.send(b"POST / HTTP/1.1\r\nX: ")
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                while True:
                    with anyio.move_on_after(HEAD_TIMEOUT_S / 4):
                        await connection.receive()
                    await connection.send(b"a")

        play(test)

    def test_body_may_take_longer_than_a_head(self):
        async def test(connection):
            await connection.send(HEAD + b"bo")
            await anyio.sleep(2 * HEAD_TIMEOUT_S)
            await connection.send(b"dy")
            assert (await read_answer(connection)).startswith(b"HTTP/1.1 200")

        play(test)

    def test_connection_may_be_idle_longer_than_a_head_takes(self):
        async def test(connection):
            await anyio.sleep(2 * HEAD_TIMEOUT_S)
            for _ in range(2):
                await connection.send(HEAD + b"body")
                await read_answer(connection)
                await anyio.sleep(2 * HEAD_TIMEOUT_S)

        play(test)

    def test_next_head_on_a_kept_connection_is_limited_too(self):
        async def test(connection):
            await connection.send(HEAD + b"body")
            await read_answer(connection)
            await connection.send(HEAD[:20])
            with pytest.raises(anyio.EndOfStream):
                await connection.receive()

        play(test)


class TestStop:
    def test_running_answer_ends_and_idle_connection_is_closed(self):
        async def main():
            stop = anyio.Event()
            with anyio.fail_after(20):
                async with anyio.create_task_group() as group:
                    group.start_soon(serve_http, echo, ADDRESS, stop)
                    async with await connect() as idle, await connect() as busy:
                        await busy.send(HEAD + b"bo")
                        await anyio.sleep(0.1)
                        stop.set()
                        with pytest.raises(anyio.EndOfStream):
                            await idle.receive()
                        await busy.send(b"dy")
                        answer = await read_answer(busy)
            assert answer.startswith(b"HTTP/1.1 200")

        anyio.run(main)

    def test_answer_that_never_ends_is_cut_without_an_error(self, caplog):
        async def endless(scope, receive, send):
            started.set()
            await anyio.sleep(3600)

        async def main():
            stop = anyio.Event()
            config = make_config(ADDRESS)
            config.graceful_timeout = 0.1
            with anyio.fail_after(20):
                async with anyio.create_task_group() as group:
                    serve = partial(serve_http, config=config)
                    group.start_soon(serve, endless, ADDRESS, stop)
                    async with await connect() as connection:
                        await connection.send(HEAD + b"body")
                        await started.wait()
                        stop.set()
                        received = await read_all(connection)
            assert received.startswith(b"HTTP/1.1 500") or not received

        started = anyio.Event()
        anyio.run(main)
        assert [r for r in caplog.records if r.levelname == "ERROR"] == []

    def test_nobody_listens_after_the_stop(self):
        async def main():
            stop = anyio.Event()
            with anyio.fail_after(20):
                async with anyio.create_task_group() as group:
                    group.start_soon(serve_http, echo, ADDRESS, stop)
                    await (await connect()).aclose()
                    stop.set()
            with pytest.raises(OSError):
                socket.create_connection((ADDRESS.host, ADDRESS.port))

        anyio.run(main)


class TestCallersThatClose:
    def test_their_connection_is_closed_at_once(self):
        async def test(connection):
            await connection.send(HEAD + b"body")
            await read_answer(connection)
            await connection.send_eof()
            with pytest.raises(anyio.EndOfStream):
                await connection.receive()

        play(test)
