"""Tests of the time limit for request heads and of shutdown, over real sockets."""

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
    """ASGI application that returns the body of the request."""
    message = await receive()
    body = message["body"]
    while message["more_body"]:
        message = await receive()
        body += message["body"]
    headers = [(b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def run_with_connection(test):
    """Run an async test with a connection to an echo server."""

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
    """Connect, retrying until the server listens."""
    while True:
        try:
            return await anyio.connect_tcp(ADDRESS.host, ADDRESS.port)
        except OSError:
            await anyio.sleep(0.02)


async def read_response(connection):
    """Return the received bytes up to the end of an echoed body."""
    received = b""
    while not received.endswith(b"body"):
        received += await connection.receive()
    return received


async def read_all(connection):
    """Return the received bytes up to the end of the connection."""
    received = b""
    with suppress(anyio.EndOfStream):
        while True:
            received += await connection.receive()
    return received


class TestSlowRequests:
    def test_incomplete_head_closes_the_connection(self):
        async def test(connection):
            await connection.send(b"POST / HTTP/1.1\r\nHo")
            with pytest.raises(anyio.EndOfStream):
                await connection.receive()

        run_with_connection(test)

    def test_head_sent_byte_by_byte_closes_the_connection(self):
        async def test(connection):
            await connection.send(b"POST / HTTP/1.1\r\nX: ")
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                while True:
                    with anyio.move_on_after(HEAD_TIMEOUT_S / 4):
                        await connection.receive()
                    await connection.send(b"a")

        run_with_connection(test)

    def test_body_is_not_limited_by_the_head_timeout(self):
        async def test(connection):
            await connection.send(HEAD + b"bo")
            await anyio.sleep(2 * HEAD_TIMEOUT_S)
            await connection.send(b"dy")
            assert (await read_response(connection)).startswith(b"HTTP/1.1 200")

        run_with_connection(test)

    def test_idle_time_is_not_limited_by_the_head_timeout(self):
        async def test(connection):
            await anyio.sleep(2 * HEAD_TIMEOUT_S)
            for _ in range(2):
                await connection.send(HEAD + b"body")
                await read_response(connection)
                await anyio.sleep(2 * HEAD_TIMEOUT_S)

        run_with_connection(test)

    def test_second_head_on_a_connection_is_limited(self):
        async def test(connection):
            await connection.send(HEAD + b"body")
            await read_response(connection)
            await connection.send(HEAD[:20])
            with pytest.raises(anyio.EndOfStream):
                await connection.receive()

        run_with_connection(test)


class TestShutdown:
    def test_response_completes_and_idle_connection_is_closed(self):
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
                        response = await read_response(busy)
            assert response.startswith(b"HTTP/1.1 200")

        anyio.run(main)

    def test_endless_response_is_cancelled_without_an_error_log(self, caplog):
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

    def test_port_is_closed_after_shutdown(self):
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


class TestClientDisconnect:
    def test_connection_closed_by_client_is_closed_at_once(self):
        async def test(connection):
            await connection.send(HEAD + b"body")
            await read_response(connection)
            await connection.send_eof()
            with pytest.raises(anyio.EndOfStream):
                await connection.receive()

        run_with_connection(test)

    # Guards against work for a client that has left: no server can tell that from one
    # that ends only its sending.
    def test_end_of_sending_counts_as_a_disconnect(self):
        told = []

        async def app(scope, receive, send):
            while (message := await receive())["type"] != "http.disconnect":
                pass
            told.append(message["type"])

        async def main():
            stop = anyio.Event()
            with anyio.fail_after(20):
                async with anyio.create_task_group() as group:
                    group.start_soon(serve_http, app, ADDRESS, stop)
                    async with await connect() as connection:
                        await connection.send(HEAD + b"body")
                        await connection.send_eof()
                        received = await read_all(connection)
                    stop.set()
            assert received == b""
            assert told == ["http.disconnect"]

        anyio.run(main)


class TestOfferedProtocols:
    # Guards against bytes of another protocol, or an error, in place of the answer.
    @pytest.mark.parametrize(
        "offer",
        [
            b"Upgrade: h2c\r\n",
            b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
            b"HTTP2-Settings: AAMAAABkAAQAAP__\r\n",
            b"Connection: Upgrade\r\nUpgrade: websocket\r\n",
            b"Connection: Upgrade\r\nUpgrade: other\r\n",
        ],
    )
    def test_request_is_answered_in_its_own(self, offer):
        async def test(connection):
            for _ in range(2):
                await connection.send(
                    b"GET / HTTP/1.1\r\nHost: a\r\n" + offer + b"\r\n"
                )
                received = await connection.receive()
                assert received.startswith(b"HTTP/1.1 200")
                assert received.endswith(b"\r\n\r\n")

        run_with_connection(test)
