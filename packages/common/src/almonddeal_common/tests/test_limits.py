"""Tests of requests beyond the limits of the server, over real sockets."""

from functools import partial

import anyio
import pytest
from hypercorn.events import RawData
from hypercorn.protocol.h11 import H11Protocol

from almonddeal_common.http import make_config, serve_http
from almonddeal_common.tests.test_connections import (
    ADDRESS,
    HEAD,
    connect,
    echo,
    read_all,
    read_response,
)

CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
BODY_BYTES = 4 * 1024 * 1024


async def reject(scope, receive, send):
    """ASGI application that responds before it has read the body."""
    await receive()
    headers = [(b"content-length", b"4")]
    await send({"type": "http.response.start", "status": 413, "headers": headers})
    await send({"type": "http.response.body", "body": b"body"})


class TestLongHeads:
    def test_head_beyond_the_limit_is_refused(self):
        async def main():
            stop = anyio.Event()
            config = make_config(ADDRESS)
            with anyio.fail_after(20):
                async with anyio.create_task_group() as group:
                    serve = partial(serve_http, config=config)
                    group.start_soon(serve, echo, ADDRESS, stop)
                    async with await connect() as kept:
                        await kept.send(HEAD + b"body")
                        await read_response(kept)
                        config.h11_max_incomplete_size = 1000
                        async with await connect() as new:
                            await new.send(HEAD[:-2] + b"X: " + 2000 * b"a")
                            refused = await read_all(new)
                        await kept.send(HEAD[:-2] + b"X: " + 2000 * b"a")
                        await anyio.sleep(0.05)
                        await kept.send(b"\r\n\r\nbody")
                        served = await read_response(kept)
                    stop.set()
            assert refused.startswith(b"HTTP/1.1 431")
            assert served.startswith(b"HTTP/1.1 200")

        anyio.run(main)

    # Guards against a 431 on a kept connection, from before the limit was raised, for
    # a head that the limit in force allows.
    def test_raised_limit_holds_for_open_connections(self):
        async def main():
            stop = anyio.Event()
            config = make_config(ADDRESS)
            config.h11_max_incomplete_size = 1000
            with anyio.fail_after(20):
                async with anyio.create_task_group() as group:
                    serve = partial(serve_http, config=config)
                    group.start_soon(serve, echo, ADDRESS, stop)
                    async with await connect() as kept:
                        await kept.send(HEAD + b"body")
                        await read_response(kept)
                        config.h11_max_incomplete_size = 3000
                        await kept.send(HEAD[:-2] + b"X: " + 2000 * b"a")
                        await anyio.sleep(0.05)
                        await kept.send(b"\r\n\r\nbody")
                        served = await kept.receive()
                        await kept.send(HEAD[:-2] + b"X: " + 4000 * b"a")
                        refused = await read_all(kept)
                    stop.set()
            assert served.startswith(b"HTTP/1.1 200")
            assert refused.startswith(b"HTTP/1.1 431")

        anyio.run(main)

    # Guards against a refusal that is lost as the connection is reset.
    def test_refusal_of_a_much_longer_head_arrives(self):
        async def main():
            stop = anyio.Event()
            with anyio.fail_after(20):
                async with anyio.create_task_group() as group:
                    group.start_soon(serve_http, echo, ADDRESS, stop)
                    async with await connect() as connection:
                        with anyio.fail_after(5):
                            await connection.send(HEAD[:-2] + b"X: ")
                            await connection.send(BODY_BYTES * b"a")
                            received = await read_all(connection)
                    stop.set()
            assert received.startswith(b"HTTP/1.1 431")

        anyio.run(main)


class TestLongBodies:
    # Guards against a response that is lost as the connection is reset.
    @pytest.mark.parametrize("n_bytes", [100, 100_000, BODY_BYTES])
    def test_response_before_the_end_of_the_body_arrives(self, n_bytes):
        async def main():
            stop = anyio.Event()
            received = b""
            with anyio.fail_after(20):
                async with anyio.create_task_group() as group:
                    config = make_config(ADDRESS)
                    serve = partial(serve_http, config=config)
                    group.start_soon(serve, reject, ADDRESS, stop)
                    async with await connect() as connection:
                        head = (
                            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
                        )
                        await connection.send(head % n_bytes)
                        with anyio.fail_after(5):
                            await connection.send(n_bytes * b"x")
                            received = await read_response(connection)
                    stop.set()
            assert received.startswith(b"HTTP/1.1 413")

        anyio.run(main)

    # Guards against a server that keeps in memory what it reads after a response.
    def test_small_chunks_after_the_response_are_dropped(self, monkeypatch):
        handled = []
        handle = H11Protocol.handle

        async def count(protocol, event):
            if isinstance(event, RawData):
                handled.append(len(event.data))
            await handle(protocol, event)

        async def main():
            stop = anyio.Event()
            with anyio.fail_after(20):
                async with anyio.create_task_group() as group:
                    group.start_soon(serve_http, reject, ADDRESS, stop)
                    async with await connect() as connection:
                        await connection.send(CHUNKED_HEAD + b"1\r\nx\r\n")
                        await read_response(connection)
                        with anyio.fail_after(5):
                            await connection.send(BODY_BYTES // 6 * b"1\r\nx\r\n")
                    stop.set()

        monkeypatch.setattr(H11Protocol, "handle", count)
        anyio.run(main)
        assert sum(handled) < BODY_BYTES / 8
