"""Tests of requests that break the protocol, or are left unread by the application."""

import asyncio
import gc
from functools import partial

import anyio
import pytest

from almonddeal_common.connections import DISCARD_TIMEOUT_S
from almonddeal_common.http import make_config, serve_http
from almonddeal_common.tests.test_connections import ADDRESS, connect, read_all

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
BAD_CHUNK = b"no size\r\n"
RUN_S = 0.2  # of a response, less than the server waits for the end of the input


class StreamingApp:
    """ASGI application that responds until it is told of a disconnect or `RUN_S` ends.

    Attributes
    ----------
    n_started : int
        Number of requests.
    told_s : float or None
        When it was told of a disconnect, on the clock of the event loop.
    """

    def __init__(self, run_s=RUN_S, starts_response=True):
        self._run_s = run_s
        self._starts_response = starts_response
        self.n_started = 0
        self.told_s = None

    async def __call__(self, scope, receive, send):
        if self._starts_response:
            await send({"type": "http.response.start", "status": 200, "headers": []})
        self.n_started += 1
        with anyio.move_on_after(self._run_s):
            while (await receive())["type"] != "http.disconnect":
                pass
            self.told_s = asyncio.get_running_loop().time()
        if self._starts_response:
            await send({"type": "http.response.body", "body": b"end"})


def run_with_broken_request(app, test):
    """Run a test with a connection on which a bad chunk follows a response's start.

    Returns the errors that no task has handled.
    """
    errors = []

    async def main():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        stop = anyio.Event()
        config = make_config(ADDRESS)
        with anyio.fail_after(20):
            async with anyio.create_task_group() as group:
                group.start_soon(partial(serve_http, config=config), app, ADDRESS, stop)
                async with await connect() as connection:
                    await connection.send(HEAD)
                    while not app.n_started:
                        await anyio.sleep(0.01)
                    await connection.send(BAD_CHUNK)
                    await test(connection)
                stop.set()
        gc.collect()
        await anyio.sleep(0)

    anyio.run(main)
    return errors


class TestBadChunks:
    # Guards against two tasks that read the same connection.
    def test_response_may_end_while_the_input_is_discarded(self, caplog):
        async def test(connection):
            await anyio.sleep(2 * RUN_S)
            await connection.send(1000 * b"x")
            await read_all(connection)

        app = StreamingApp()
        assert not run_with_broken_request(app, test)
        assert not [r for r in caplog.records if r.levelname == "ERROR"]

    # Guards against a response that goes on, at a target, for a connection whose end
    # the server has already sent.
    @pytest.mark.parametrize("starts_response", [True, False])
    def test_application_is_told_of_the_end_at_once(self, starts_response):
        async def test(connection):
            ended_s = asyncio.get_running_loop().time()
            received = await read_all(connection)
            await anyio.sleep(DISCARD_TIMEOUT_S / 4)
            assert app.told_s is not None
            assert app.told_s - ended_s < DISCARD_TIMEOUT_S / 2
            assert received.startswith(b"HTTP/1.1 " + expected)

        expected = b"200" if starts_response else b"400"
        app = StreamingApp(10 * DISCARD_TIMEOUT_S, starts_response)
        assert not run_with_broken_request(app, test)


class TestUnreadBodies:
    # Guards against a connection that is held for good by parts of a body that its
    # application leaves unread.
    @pytest.mark.parametrize("fails", [False, True])
    def test_response_before_many_small_chunks_ends_the_connection(self, fails):
        chunks = 100 * b"1\r\nx\r\n"

        async def app(scope, receive, send):
            await anyio.sleep(RUN_S)
            if fails:
                raise ValueError("x")
            headers = [(b"content-length", b"2")]
            start = {"type": "http.response.start", "status": 413, "headers": headers}
            await send(start)
            await send({"type": "http.response.body", "body": b"no"})

        async def main():
            stop = anyio.Event()
            with anyio.fail_after(20):
                async with anyio.create_task_group() as group:
                    group.start_soon(serve_http, app, ADDRESS, stop)
                    async with await connect() as connection:
                        await connection.send(HEAD + chunks)
                        with anyio.move_on_after(3 * DISCARD_TIMEOUT_S) as scope:
                            received = await read_all(connection)
                    stop.set()
            assert not scope.cancelled_caught
            return received

        received = anyio.run(main)
        assert received.startswith(b"HTTP/1.1 500" if fails else b"HTTP/1.1 413")
